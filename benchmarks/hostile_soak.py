"""Soak of a sender under bad clients, kills and shutdowns, by seed: python benchmarks/hostile_soak.py FIRST_SEED COUNT.

Each seed plays one state folder for some seconds at 32 MB and 1,024 descriptors: crowds of bad clients of a drawn kind
and size, good clients that keep connections open or leave before their answer and come again with the same id, SIGTERM
and SIGKILL in series, and a restart after each. It checks that the process stays within its memory limit and ends only
when it is told to, that every good request is answered, that no id runs twice that may not, and that everything that
was accepted is delivered or reported. Exits with 1 if any seed fails. Standard library, loopback only.
"""

from __future__ import annotations

import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import crowd  # noqa: E402

MEMORY_BYTES = 32_000_000
PLAY_S = 8.0
PAUSE_S = 0.6  # from a kill to the next start, as the platform has it
KILL_AFTER_SIGTERM_S = 3.7
SETTLE_S = 6.0  # after the last start: pending messages are delivered or reported
CLIENT_TIMEOUT_S = 5.0
DEADLINE_MS = 5000
CLASSES = ("fee-order", "status-update")
MAY_NOT_REPEAT = "fee-order"


class Platform(BaseHTTPRequestHandler):
    """Discovery, the reports and the one endpoint; counts what ran and what was reported."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    runs: Counter
    reported: set

    def log_message(self, *_):
        pass

    def _answer(self, status, body=b""):
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/reports":
            self.reported.update(json.loads(line)["id"] for line in body.splitlines())
            self._answer(204)
        elif self.path.endswith(":batch"):
            ids = [row["id"] for row in json.loads(body)]
            self.runs.update(ids)
            self._answer(200, json.dumps([{"id": name, "state": "accepted"} for name in ids]).encode())
        else:
            self.runs[self.headers["X-Request-Id"]] += 1
            self._answer(200)

    def do_GET(self):
        host = {"host": "s1", "dial": f"127.0.0.1:{self.server.server_port}", "site": "here", "class": "toy"}
        host |= {"block": 7, "health": "in_service", "share": 1.0, "born_ms": 0}
        data = json.dumps({"seq": 2, "whole": True, "hosts": [host]}).encode() + b"\n"
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            while True:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                data = b"\n"
                time.sleep(2)
        except OSError:
            self.close_connection = True


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Say nothing: the sender is killed with connections open."""


class Play:
    """One seed: a sender, its surroundings, and what went wrong."""

    def __init__(self, seed):
        self.random, self.seed, self.faults = random.Random(seed), seed, []
        handler = type("Handler", (Platform,), {"runs": Counter(), "reported": set()})
        self.platform = QuietServer(("127.0.0.1", 0), handler)
        threading.Thread(target=self.platform.serve_forever, daemon=True).start()
        self.runs, self.reported = handler.runs, handler.reported
        self.folder = pathlib.Path(tempfile.mkdtemp())
        (self.folder / "state").mkdir()
        table = json.loads((ROOT / "example" / "config.json").read_text())
        table["limits"] |= {"memory_mb": MEMORY_BYTES // 1_000_000, "sockets": 1024}
        (self.folder / "config.json").write_text(json.dumps(table))
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.accepted, self.sent = {}, 0
        self.stopping, self.child, self.peak, self.expected_end = threading.Event(), None, 0, False

    def start(self):
        log = (self.folder / "log").open("a")
        environ = {
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_LISTEN": "{}:{}".format(*self.address),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.platform.server_port}",
            "MALLOC_MMAP_THRESHOLD_": "32768",
        }
        self.expected_end = False
        self.child = subprocess.Popen(
            [sys.executable, "-O", "-B", "-m", "scalefall"], cwd=ROOT, env=environ, stderr=log
        )
        log.close()

    def watch(self):
        """Sample the peak of the memory, and check that the process ends only when it is told to."""
        while not self.stopping.wait(0.05):
            child = self.child
            try:
                status = pathlib.Path(f"/proc/{child.pid}/status").read_text()
            except OSError:
                continue
            peak = [line for line in status.splitlines() if line.startswith("VmHWM")]
            self.peak = max(self.peak, int(peak[0].split()[1]) * 1024 if peak else 0)
            if child.poll() is not None and not self.expected_end and child is self.child:
                self.faults.append(f"process ended by itself with {child.returncode}")
                return

    def good_client(self, number):
        """Hand in requests; a fourth of them leaves before the answer and comes again with the same id."""
        chance = random.Random(self.seed * 1000 + number)
        while not self.stopping.wait(chance.uniform(0.01, 0.05)):
            name, leaves = f"{self.seed}-{number}-{chance.getrandbits(48):x}", chance.random() < 0.25
            message_class = chance.choice(CLASSES)
            data = crowd.head(name.encode(), b"Content-Length: 4").replace(b"status-update", message_class.encode())
            data = data.replace(b"20000m", b"%dm" % DEADLINE_MS) + b"\r\nbody"
            try:
                if leaves:
                    with socket.create_connection(self.address, CLIENT_TIMEOUT_S) as sock:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                        sock.sendall(data)
                        time.sleep(chance.uniform(0, 0.008))
                with socket.create_connection(self.address, CLIENT_TIMEOUT_S) as sock:
                    sock.sendall(data)
                    answer = sock.recv(4096)
            except TimeoutError:
                self.faults.append(f"no answer within {CLIENT_TIMEOUT_S} s: {name}")
                continue
            except OSError:
                continue  # the sender is down
            if answer.startswith((b"HTTP/1.1 202", b"HTTP/1.1 200")):
                self.accepted[name] = message_class

    def bad_clients(self):
        kinds = sorted(crowd.KINDS)
        while not self.stopping.is_set():
            kind, size = self.random.choice(kinds), self.random.choice((50, 150, 300, 600))
            command = [sys.executable, "tests/crowd.py", *map(str, self.address), kind, str(size), "1.5", "1"]
            subprocess.run(command, cwd=ROOT, check=False, stderr=subprocess.DEVNULL)

    def restart(self, number):
        """End the process by a signal, or by SIGTERM twice and SIGKILL at the earliest moment, and start it again."""
        self.expected_end = True
        if number == signal.SIGTERM:
            for _ in range(2):
                self.child.send_signal(signal.SIGTERM)
                time.sleep(0.05)
            try:
                self.child.wait(KILL_AFTER_SIGTERM_S - 0.1)
            except subprocess.TimeoutExpired:
                self.faults.append("still running 3.7 s after SIGTERM")
        self.child.kill()
        self.child.wait()
        time.sleep(PAUSE_S)
        self.start()

    def run(self):
        self.start()
        time.sleep(0.5)
        threads = [threading.Thread(target=self.good_client, args=(number,)) for number in range(4)]
        threads += [threading.Thread(target=self.watch), threading.Thread(target=self.bad_clients)]
        for thread in threads:
            thread.start()
        ends_at = time.monotonic() + PLAY_S
        while time.monotonic() < ends_at:
            time.sleep(self.random.uniform(0.5, 3))
            self.restart(self.random.choice((signal.SIGTERM, signal.SIGKILL)))
        self.stopping.set()
        for thread in threads:
            thread.join()
        time.sleep(SETTLE_S)
        self.expected_end = True
        self.child.terminate()
        self.child.wait()
        self.platform.shutdown()
        self.check()

    def check(self):
        if self.peak > MEMORY_BYTES:
            self.faults.append(f"{self.peak / 1e6:.1f} MB")
        lost = [name for name in self.accepted if not self.runs[name] and name not in self.reported]
        if lost:
            self.faults.append(f"{len(lost)} accepted messages neither delivered nor reported: {lost[:3]}")
        twice = [name for name, count in self.runs.items() if count > 1 and self.accepted.get(name) == MAY_NOT_REPEAT]
        if twice:
            self.faults.append(f"{len(twice)} ids run twice that may not: {twice[:3]}")
        log = (self.folder / "log").read_text()
        for word in ("Traceback", "invariant broken"):
            if word in log:
                self.faults.append(f"{word} in {self.folder / 'log'}")


def main():
    first, count = int(sys.argv[1]), int(sys.argv[2])
    crowd.raise_descriptor_limit()
    failed = 0
    for seed in range(first, first + count):
        play = Play(seed)
        play.run()
        failed += bool(play.faults)
        verdict = "; ".join(play.faults) or "held"
        print(f"seed {seed}: {len(play.accepted)} accepted, peak {play.peak / 1e6:.1f} MB: {verdict}", flush=True)
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
