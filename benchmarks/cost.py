"""Measures the sender's CPU per message, peak memory and start-up, against another revision and between log formats.

    python benchmarks/cost.py [--against REV] [--rounds 20]

All variants run at once, and each in turn gets a slice of messages at the same rate for the same destination, round
after round; the figures are medians over the slices, and the ratios are to the first row in the same round. Against REV
it checks that revision out beside this one (git worktree) and runs it with the same interpreter.
"""

import argparse
import json
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from language import ROOT
from reload import hand_in, serve

MESSAGES_PER_S = 200
SLICE_MESSAGES = 100
DESTINATION = 900000


def start_platform(tree, state, address, **environment):
    """Start the sender of a source tree in the platform's form, with a JSON configuration."""
    table = json.loads((ROOT / "example" / "config.json").read_text())
    table["known"] = {
        "seq": 1,
        "whole": True,
        "hosts": [
            {
                "host": "t",
                "dial": "{}:{}".format(*address),
                "site": "here",
                "class": "toy",
                "block": DESTINATION,
                "health": "in_service",
                "share": 1.0,
                "born_ms": 0,
            }
        ],
    }
    table |= {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    table["settings"]["familyInfo"]["workers"] = 50
    path = pathlib.Path(state).with_suffix(".json")
    path.write_text(json.dumps(table))
    return start_sender(tree, "-m", "scalefall", RELAY_CONFIG=str(path), RELAY_STATE=str(state), **environment)


def start_on_file(tree, state, address, *words):
    path = pathlib.Path(state).with_suffix(".scale")
    path.write_text(
        f"sender {{ slots 50; listen 127.0.0.1:0 }}\nkind toy {{ per-call 10 }}\n"
        f"class fee-order {{ aim 3s; deadline 24s; repeat never; worth 3; late-worth 40% }}\n"
        f"pool p {{ kind toy; endpoint t {{ at {address[0]}:{address[1]} }} }}\n"
        f"route {DESTINATION} {{ pool p }}\n"
    )
    return start_sender(tree, "-m", "scalefall", "run", "--config", str(path), "--state", str(state), *words)


def start_sender(tree, *words, **environment):
    started = time.perf_counter()
    child = subprocess.Popen(
        [sys.executable, "-O", "-B", *words],
        cwd=tree,
        env=os.environ | environment,
        text=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    for line in child.stderr:
        if "ready: " in line:
            start_s = time.perf_counter() - started
            text = json.loads(line)["text"] if line.startswith("{") else line
            host, _, port = text.split()[-1].rpartition(":")
            threading.Thread(target=child.stderr.read, daemon=True).start()
            return child, (host, int(port)), start_s
    sys.exit(f"the sender did not become ready: {words}")


def peak_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def measure_slices(running, rounds):
    """Return the CPU microseconds a message of each variant, by slice.

    Each variant gets a slice in each round, so that other load on the machine affects all of them alike.
    """
    cpu_by_variant = {name: [] for name in running}
    for number in range(rounds):
        for name, (child, address, _) in running.items():
            before = cpu_s(child.pid)
            hand_in(address, MESSAGES_PER_S, SLICE_MESSAGES / MESSAGES_PER_S, f"m{number}")
            time.sleep(0.1)
            cpu_by_variant[name].append((cpu_s(child.pid) - before) / SLICE_MESSAGES * 1e6)
    return cpu_by_variant


def cpu_s(pid):
    """Return the CPU seconds of a process with one thread."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against")
    parser.add_argument("--rounds", type=int, default=20)
    options = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    address = listener.getsockname()
    with tempfile.TemporaryDirectory() as folder:
        old = pathlib.Path(folder, "old")
        if options.against:
            subprocess.run(
                ["git", "worktree", "add", "--detach", "-q", str(old), options.against], cwd=ROOT, check=True
            )
        variants = {
            "platform": lambda state: start_platform(ROOT, state, address),
            "platform, debug": lambda state: start_platform(ROOT, state, address, SCALEFALL_LOG="debug"),
            "on a file": lambda state: start_on_file(ROOT, state, address),
            "on a file, JSON": lambda state: start_on_file(ROOT, state, address, "--log-format", "json"),
            "on a file, debug": lambda state: start_on_file(ROOT, state, address, "--log-level", "debug"),
            "on a file, JSON, debug": lambda state: start_on_file(
                ROOT, state, address, "--log-format", "json", "--log-level", "debug"
            ),
        }
        if options.against:
            variants = {
                f"platform at {options.against}": lambda state: start_platform(old, state, address),
                f"the same, debug at {options.against}": lambda state: start_platform(
                    old, state, address, SCALEFALL_LOG="debug"
                ),
            } | variants
        running = {}
        try:
            for number, (name, begin) in enumerate(variants.items()):
                state = pathlib.Path(folder, f"state{number}")
                state.mkdir()
                running[name] = begin(state)
            cpu_by_variant = measure_slices(running, options.rounds)
            peaks = {name: peak_mb(child.pid) for name, (child, _, _) in running.items()}
        finally:
            for child, _, _ in running.values():
                child.kill()
                child.wait()
            if options.against:
                subprocess.run(["git", "worktree", "remove", "--force", str(old)], cwd=ROOT, check=True)
    first = next(iter(cpu_by_variant))
    print(f"{'':<34}{'CPU us/message':>15}{'ratio':>7}{'peak MB':>9}{'ratio':>7}{'start s':>9}")
    for name, rows in cpu_by_variant.items():
        ratio = statistics.median(row / base for row, base in zip(rows, cpu_by_variant[first], strict=False))
        print(
            f"{name:<34}{statistics.median(rows):>15.0f}{ratio:>7.2f}{peaks[name]:>9.1f}"
            f"{peaks[name] / peaks[first]:>7.2f}{running[name][2]:>9.2f}"
        )


if __name__ == "__main__":
    main()
