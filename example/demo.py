"""Demonstrates a sender, for example/demo.sh: every message that is handed in, with its one final answer.

    python example/demo.py [--config example/site.scale] [--messages N]

The addresses of example/site.scale must be free. example/toy_server.py stands in for the other side: it reports the
deliveries (by its own count, not the sender's) and the delivery reports that it got.
"""

import argparse
import collections
import http.client
import json
import os
import queue
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TIMEOUT_S = 60
AWAY_DEADLINE_MS = 2500  # for messages to the unreachable destination


class Child:
    """A process whose output is read line by line as it arrives."""

    def __init__(self, *words):
        self.process = subprocess.Popen(
            [sys.executable, "-u", *words], cwd=ROOT, text=True, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        self.lines, self.seen = queue.Queue(), []
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.put(line.rstrip("\n"))
        self.lines.put(None)

    def next_line(self, deadline):
        """Return the next line; None after the deadline or the end of the output."""
        try:
            line = self.lines.get(timeout=max(0.01, deadline - time.monotonic()))
        except queue.Empty:
            return None
        if line is not None:
            self.seen.append(line)
        return line

    def wait_for(self, text):
        deadline = time.monotonic() + TIMEOUT_S
        while (line := self.next_line(deadline)) is not None:
            if text in line:
                return line
        sys.exit("demo: no line with {!r}. Output so far:\n{}".format(text, "\n".join(self.seen)))

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)


def hand_in(address, name, class_name, destination, deadline_ms):
    """Return the status of the first answer, and its Retry-After."""
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    headers = {"X-Request-Id": name, "X-Deadline": f"{deadline_ms}m", "X-Route-To": f"dest={destination}"}
    if class_name == "event-notice":
        headers["Idempotency-Key"] = f"key-{name}"
    connection.request("POST", f"/{class_name}", b"a message of the demonstration", headers)
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.status, answer.headers.get("Retry-After", "")


def plan(number):
    """Return rows of (id, class, destination, milliseconds): most succeed, others meet one kind of failure each."""
    classes = ("fee-order", "event-notice", "status-update")
    rows = [(f"m-{index:02}", classes[index % 3], 7, 20_000) for index in range(number)]
    rows += [(f"away-{index}", classes[1 + index % 2], 9, AWAY_DEADLINE_MS) for index in range(4)]
    return [
        *rows,
        ("not-carried", "fee-order", 9, AWAY_DEADLINE_MS),
        ("no-route", "status-update", 8, AWAY_DEADLINE_MS),
    ]


def final_answers(answers):
    return ", ".join(answers) if answers else "NONE"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--config", default="example/site.scale")
    parser.add_argument("--messages", type=int, default=30)
    options = parser.parse_args()
    print(f"$ scalefall check {options.config}", flush=True)
    if subprocess.run([sys.executable, "-m", "scalefall", "check", options.config], cwd=ROOT).returncode:
        return 1
    toy = sender = None
    with tempfile.TemporaryDirectory() as state:
        try:
            toy = Child("example/toy_server.py")
            toy.wait_for("discovery at")
            print(f"$ scalefall run --config {options.config}", flush=True)
            sender = Child("-O", "-m", "scalefall", "run", "--config", options.config, "--state", state)
            host, _, port = sender.wait_for("ready: ").split()[-1].rpartition(":")
            return hand_in_and_report(toy, plan(options.messages), (host, int(port)))
        finally:
            code = sender.stop() if sender else 0
            if toy:
                toy.stop()
            if code:
                print("\n".join(sender.seen))
                sys.exit(f"demo: the sender exited with code {code}")


def hand_in_and_report(toy, rows, address):
    answers = collections.defaultdict(list)
    accepted = set()
    for name, class_name, destination, deadline_ms in rows:
        status, retry_after = hand_in(address, name, class_name, destination, deadline_ms)
        if status == 202:
            accepted.add(name)
        else:
            answers[name].append(f"{status}" + (f", retry after {retry_after} s" if retry_after else ""))
    deadline = time.monotonic() + TIMEOUT_S
    while any(not answers[name] for name in accepted):
        line = toy.next_line(deadline)
        if line is None:
            break
        if line.startswith("delivered "):
            _, name, _, port = line.split()
            answers[name].append(f"delivered at {port}")
        elif line.startswith("notice "):
            report = json.loads(line[len("notice ") :])
            answers[report["id"]].append("notice: " + report["state"])
    print(f"\n{'message':<13}{'class':<15}{'route':<7}{'first answer':<14}final answer")
    for name, class_name, destination, _ in rows:
        print(
            f"{name:<13}{class_name:<15}{destination:<7}{'202' if name in accepted else 'refused':<14}"
            f"{final_answers(answers[name])}"
        )
    without_one_answer = [name for name, *_ in rows if len(answers[name]) != 1]
    counts = collections.Counter(
        answer.split(" at ")[0].split(",")[0] for rows_ in answers.values() for answer in rows_
    )
    print("\n" + ", ".join(f"{number} {what}" for what, number in sorted(counts.items())))
    print(f"{len(rows) - len(without_one_answer)} of {len(rows)} messages had exactly one final answer")
    return 1 if without_one_answer else 0


if __name__ == "__main__":
    sys.exit(main())
