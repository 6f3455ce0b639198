"""Demonstrates control, for example/control.sh, and tests it over sockets: `--runs N` runs N seeds.

    python example/control_demo.py [--runs N] [--first SEED] [--keep FOLDER]

Each run takes half a minute: control with a configuration of its own, three proxies with 8 messages a second each, and
two endpoints of one destination of 30 calls a second. An endpoint drains as a proxy's link fails (blackholed, reset or
slow, by the seed); the destination fails and recovers cold; a second link fails during the recovery. The audit reads
the logs.
"""

import argparse
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter

ROOT = pathlib.Path(__file__).parent.parent
SITE = """
sender {{ name demo; listen 127.0.0.1:0 }}
class fee-order {{ aim 3s; deadline 24s; repeat never }}
class event-notice {{ aim 3s; deadline 24s; repeat keyed for 6s }}
class status-update {{ aim 3s; deadline 28s; repeat freely }}
kind one {{ per-call 1 }}
pool partner {{
  kind one; limit 30 per 1s
  endpoint a {{ at 127.0.0.1:{port_a} }}
  endpoint b {{ at 127.0.0.1:{port_b}; state {state} }}
}}
route 7 {{ pool partner }}
rules {{ cold 12s; cold-from 25%; fall 3s; fall-multiple 1.5; drain-grace 1s }}
"""


CLASSES = [
    word for name in ("fee-order=never", "event-notice=keyed:6", "status-update=freely") for word in ("--class", name)
]


def start(*words, log=None, **options):
    return subprocess.Popen(
        [sys.executable, "-u", "-m", *words],
        cwd=ROOT,
        text=True,
        stdout=log or subprocess.PIPE,
        stdin=subprocess.PIPE,
        **options,
    )


def wait_for(path, event):
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        for line in path.read_text().splitlines():
            row = json.loads(line) if line.startswith("{") else {}
            if row.get("event") == event:
                return row
        time.sleep(0.05)
    sys.exit(f"demo: no event {event!r} in {path} within 30 s:\n{path.read_text()[-2000:]}")


def play(folder, seed, report):
    """Run one seed; the logs are in the folder."""
    generator, children = random.Random(seed), []

    def start_logged(name, *words, **options):
        with open(folder / f"{name}.log", "w") as log:
            children.append(start(*words, log=log, **options))
        return children[-1]

    try:
        start_logged(
            "partner-a", "scalefall.lab.partner", "--limit", "30", "--away", "12-16", "--seed", str(seed), *CLASSES
        )
        port_a = wait_for(folder / "partner-a.log", "listening")["port"]
        port_b = port_a  # a second address of the same destination
        second_address = start("scalefall.lab.link", f"127.0.0.1:{port_a}")
        children.append(second_address)
        port_b = int(second_address.stdout.readline())
        (folder / "state").mkdir()
        site = folder / "site.scale"
        site.write_text(SITE.format(port_a=port_a, port_b=port_b, state="ready"))
        with open(folder / "control.log", "w") as log:
            control = start(
                "scalefall",
                "control",
                "--config",
                str(site),
                "--state",
                str(folder / "state"),
                "--listen",
                "127.0.0.1:0",
                "--plain-text",
                "--log-level",
                "debug",
                "--log-format",
                "json",
                "--report-every",
                "0.25",
                log=subprocess.DEVNULL,
                stderr=log,
            )
        children.append(control)
        control_address = wait_for(folder / "control.log", "ready")["listen"]
        links = []
        for number in range(3):
            links.append(start("scalefall.lab.link", control_address))
            children.append(links[-1])
            port = links[-1].stdout.readline().strip()
            start_logged(
                f"proxy-{number}",
                "scalefall.lab.proxy",
                "--control",
                f"127.0.0.1:{port}",
                "--node",
                f"proxy-{number}",
                "--routes",
                "7",
                "--load",
                "8",
                "--seed",
                str(seed * 10 + number),
                *CLASSES,
            )

        def link(number, word):
            report(f"link of proxy-{number}: {word}")
            links[number].stdin.write(word + "\n")
            links[number].stdin.flush()

        def cut(number):
            word = generator.choice(["silence", "reset", f"delay {generator.randint(200, 3000)}"])
            link(number, word)
            return lambda: link(number, "delay 0" if word.startswith("delay") else "heal")

        time.sleep(6 + generator.random())
        drained, extra_wait_s = generator.randrange(3), generator.uniform(0, 0.1)
        report("endpoint b starts to drain")
        site.write_text(SITE.format(port_a=port_a, port_b=port_b, state="draining"))
        control.send_signal(signal.SIGHUP)
        wait_for(folder / "control.log", "configuration read again") if extra_wait_s < 0.03 else time.sleep(
            0.45 + extra_wait_s
        )
        restore = cut(drained)
        time.sleep(4)
        restore()
        site.write_text(SITE.format(port_a=port_a, port_b=port_b, state="ready"))
        control.send_signal(signal.SIGHUP)
        report("endpoint b is ready again; the destination fails soon and recovers cold")
        time.sleep(2 + generator.random())
        restore = cut((drained + 1) % 3)
        time.sleep(8)
        restore()
        time.sleep(6)
        for proxy in [each for each in children if "scalefall.lab.proxy" in each.args]:
            proxy.send_signal(signal.SIGTERM)
        for proxy in [each for each in children if "scalefall.lab.proxy" in each.args]:
            proxy.wait(30)
        control.send_signal(signal.SIGTERM)
        if control.wait(10):
            sys.exit(f"demo: control exited with code {control.returncode}")
    finally:
        for each in children:
            if each.poll() is None:
                each.kill()
            each.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--keep", help="folder in which the logs are kept")
    options = parser.parse_args()
    codes = Counter()
    for seed in range(options.first, options.first + options.runs):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(options.keep or name) / f"run-{seed}"
            folder.mkdir(parents=True)
            print(f"run {seed}", flush=True)
            play(folder, seed, (lambda text: print("  " + text, flush=True)) if options.runs == 1 else lambda _: None)
            logs = sorted(str(path) for path in folder.glob("*.log"))
            answers = Counter(
                row["how"]
                for path in logs
                for line in open(path)
                if '"ended"' in line
                if (row := json.loads(line)).get("how")
            )
            print("  " + ", ".join(f"{number} {how}" for how, number in sorted(answers.items())))
            if options.runs == 1:
                print(f"$ scalefall control audit {' '.join(os.path.basename(path) for path in logs)}", flush=True)
            codes[
                subprocess.run([sys.executable, "-m", "scalefall", "control", "audit", *logs], cwd=ROOT).returncode
            ] += 1
    print(f"{codes[0]} of {options.runs} runs kept every rule that could be judged")
    return 0 if codes[0] == options.runs else 1


if __name__ == "__main__":
    sys.exit(main())
