"""Measures the cost of a long list to a sender: longest step, processor time at rest and memory, against a list of 20.

    .venv/bin/python -O benchmarks/size.py [NUMBER ...]

For each number of endpoints (and as many senders) a process of its own runs discovery in a thread and a sender in the
event loop: the sender starts, reads the full list with indentation, reads changes to each tenth entry, and rests until
its learned rates have been saved twice.
Steps are measured in processor time of the loop's thread. Figures are printed with their ratio to the first number's.
"""

from __future__ import annotations

import json
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]


def list_entries(number: int, health: str = "in_service", step: int = 1) -> list[dict]:
    return [
        {
            "host": f"s-{index:08x}",
            "dial": f"127.1.{index // 250}.{1 + index % 250}:9",
            "site": "a",
            "class": "one",
            "block": index,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }
        for index in range(0, number, step)
    ]


def serve_discovery(listener: socket.socket, number: int) -> None:
    """Serve a watch: the full list with indentation, changes to each tenth entry, then heartbeats."""
    sock, _ = listener.accept()
    sock.recv(4096)
    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    full_list = json.dumps({"seq": 2, "whole": True, "hosts": list_entries(number)}, indent=4)
    changes = json.dumps({"seq": 3, "whole": False, "hosts": list_entries(number, "terminating", 10)})
    for text in (full_list, changes, *[""] * 60):
        data = text.encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        time.sleep(1)


def measure(number: int) -> None:
    from helpers import settings

    from scalefall.net.config import Config
    from scalefall.net.list_stream import read_list
    from scalefall.net.rate_saver import SAVE_INTERVAL_PER_RATE_US
    from scalefall.net.scheduler import Scheduler
    from scalefall.net.sender import Sender

    class TimedScheduler(Scheduler):
        longest_ns, spent_ns = 0, 0

        def _run_ready(self):
            started = time.thread_time_ns()
            super()._run_ready()
            self.record(started)

        def call_at(self, at, function, *args):
            def timed(*args):
                started = time.thread_time_ns()
                function(*args)
                self.record(started)

            return super().call_at(at, timed, *args)

        def record(self, started):
            duration_ns = time.thread_time_ns() - started
            self.longest_ns, self.spent_ns = max(self.longest_ns, duration_ns), self.spent_ns + duration_ns

    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve_discovery, args=(listener, number), daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        known = read_list({"seq": 1, "whole": True, "hosts": list_entries(20)})
        config = Config(
            "n0",
            ("127.0.0.1", 0),
            listener.getsockname(),
            folder,
            7,
            512,
            3_000_000,
            64_000_000,
            settings(polls_endpoint_list=False, replica_count=number),
            known,
        )
        scheduler, figures, rest_us = TimedScheduler(), {}, 2_000_000 + 2 * number * SAVE_INTERVAL_PER_RATE_US
        sender = Sender(scheduler, config)
        scheduler.spawn(sender.start)

        def record_list_step():
            figures["list"], scheduler.longest_ns, scheduler.spent_ns = scheduler.longest_ns, 0, 0
            scheduler.call_at(scheduler.now() + rest_us, record_rest)

        def record_rest():
            figures["rest"], figures["share"] = scheduler.longest_ns, scheduler.spent_ns / rest_us / 1000
            scheduler.stop()

        scheduler.call_at(scheduler.now() + 1_900_000, record_list_step)
        scheduler.run()
        assert len(sender.endpoint_list.entries) == number, (
            f"{len(sender.endpoint_list.entries)} of {number} endpoints are in the list"
        )
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(json.dumps([figures["list"] / 1e6, figures["rest"] / 1e6, 100 * figures["share"], memory]))


def main(numbers: list[int]) -> None:
    print("endpoints   longest step, list (ms)   at rest (ms)   processor at rest (%)   memory (MB)")
    first = None
    for number in numbers:
        completed = subprocess.run(
            [sys.executable, "-O", __file__, "--one", str(number)], capture_output=True, text=True, check=True
        )
        row = json.loads(completed.stdout)
        first = first or row
        print(f"{number:9}", *(f"{value:9.2f} (x{value / base:6.1f})" for value, base in zip(row, first, strict=False)))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        measure(int(sys.argv[2]))
    else:
        main([int(number) for number in sys.argv[1:]] or [20, 200, 1024, 4096])
