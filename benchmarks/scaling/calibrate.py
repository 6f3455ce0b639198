"""Calibrates the hollow model against processes: control and a proxy on sockets, and one hollow sender.

Both get the same site, traffic of the same rate and the same hour's changes (25, the rate of 600 a day), within
CHANGES_SPAN_S after the sender has opened its streams. The proxy counts what it writes and reads; messages and bytes
must agree within WIRE_TOLERANCE and the contract's state within STATE_TOLERANCE. Threads here answer its calls.
"""

from __future__ import annotations

import json
import pathlib
import queue
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.scaling.checks import Check, Verdict
from scalefall.cli.run import configuration
from scalefall.lab.hollow.clock import SECOND, VirtualClock
from scalefall.lab.hollow.control import Control, ControlOptions
from scalefall.lab.hollow.link import Link
from scalefall.lab.hollow.sender import HollowSender
from scalefall.lab.hollow.stopwatch import Stopwatch
from scalefall.lab.proxy.meter import Meter
from scalefall.lab.sizes import deep_size

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ROUTES = 20
CHANGE_COUNT = 25
CHANGES_SPAN_S = 30.0
MESSAGES_PER_S = 400.0  # each route is in nearly every load report
START_DELAY_S = 3.5  # between the starts of control and sender, so that control grants from the sender's start
TIMEOUT_S = 30.0
WIRE_TOLERANCE = 0.05
STATE_TOLERANCE = 0.10
SEED = 17


@dataclass(slots=True, frozen=True)
class SideCounts:
    """Counts of one side, the processes or the model."""

    messages: dict[str, dict[str, list[int]]]  # by direction and kind: messages, bytes
    state: int  # bytes
    fallback_share: float  # fraction of messages for which the sender had no trusted list or no grant


@dataclass(slots=True, frozen=True)
class Schedule:
    """Times in microseconds since the sender opened its streams."""

    changes: list[int]
    end: int


def run_checks() -> list[Check]:
    """Run both sides, print their counts side by side and compare them."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        ports = [_start_destination() for _ in range(ROUTES)]
        real, schedule = _measure_processes(folder, ports)
        hollow = _measure_hollow(folder, ports, schedule)
    checks = []
    print(f"\n{'Calibration':<32}{'real':>12}{'hollow':>12}")
    for direction, kinds in real.messages.items():
        for kind, counted in kinds.items():
            for what, processes, model in zip(
                ("messages", "bytes"), counted, hollow.messages[direction][kind], strict=False
            ):
                checks.append(_check(f"{kind} {direction}, {what}", processes, model, WIRE_TOLERANCE))
    print(f"{'messages fallen back':<32}{real.fallback_share:>12.1%}{hollow.fallback_share:>12.1%}  (informational)")
    checks.append(_check("contract's state, bytes", real.state, hollow.state, STATE_TOLERANCE))
    return checks


def _check(name: str, real: int, hollow: int, tolerance: float) -> Check:
    print(f"{name:<32}{real:>12,}{hollow:>12,}")
    agrees = abs(real - hollow) <= tolerance * max(real, 1)
    return Check(
        f"calibration: {name}, hollow",
        hollow,
        f"{real:,} of the processes within {tolerance:.0%}",
        Verdict.FITS if agrees else Verdict.FAILED,
    )


# -- processes


class _Process:
    """A child whose lines are JSON objects."""

    def __init__(self, *words: str) -> None:
        self.child = subprocess.Popen(
            [sys.executable, "-u", "-m", *words], cwd=ROOT, text=True, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        self._ended = self._fallbacks = 0  # messages of a sender that ended, and that used the fallback
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in self.child.stdout:
            self._lines.put(line)

    def event(self, name: str) -> dict:
        """Return the next line of this event; raise queue.Empty after TIMEOUT_S without one."""
        until = time.monotonic() + TIMEOUT_S
        while True:
            line = self._lines.get(timeout=max(0.0, until - time.monotonic()))
            row = json.loads(line) if line.startswith("{") else {}
            self._ended += row.get("event") == "ended"
            self._fallbacks += row.get("how") == "fallback"
            if row.get("event") == name:
                return row

    @property
    def fallback_share(self) -> float:
        return self._fallbacks / max(1, self._ended)

    def end(self) -> None:
        if self.child.poll() is None:
            self.child.terminate()
        self.child.wait(TIMEOUT_S)


def _measure_processes(folder: pathlib.Path, ports: list[int]) -> tuple[SideCounts, Schedule]:
    _write_site(folder, ports, 0)
    (folder / "state").mkdir()
    control = _Process(
        *("scalefall", "control", "--config", str(folder), "--state", str(folder / "state")),
        *("--plain-text", "--listen", "127.0.0.1:0", "--log-format", "json"),
    )
    sender = None
    try:
        at = control.event("ready")["listen"]
        time.sleep(START_DELAY_S)
        routes = [str(route) for route in range(1, ROUTES + 1)]
        sender = _Process(
            *("scalefall.lab.proxy", "--control", at, "--node", "n0", "--load", str(MESSAGES_PER_S), "--count"),
            *("--routes", *routes, "--class", "often=freely"),
        )
        opened, changes = sender.event("opened")["at"], []
        for number in range(CHANGE_COUNT):
            due = opened + int((number + 0.5) * CHANGES_SPAN_S / CHANGE_COUNT * SECOND)
            time.sleep(max(0.0, due / SECOND - time.time()))
            _write_site(folder, ports, number + 1)
            control.child.send_signal(signal.SIGHUP)
            changes.append(time.time_ns() // 1000 - opened)
        time.sleep(max(0.0, opened / SECOND + CHANGES_SPAN_S - time.time()))
        sender.child.terminate()
        counted, fallback_share = sender.event("counted"), sender.fallback_share
    finally:
        control.end()
        if sender is not None:
            sender.end()
    return SideCounts(counted["messages"], counted["state"], fallback_share), Schedule(changes, counted["at"] - opened)


def _write_site(folder: pathlib.Path, ports: list[int], changes: int) -> None:
    """Write the site after so many changes, each of which drains or restores one endpoint. The write is atomic."""
    rows = [
        "sender { name t; listen 127.0.0.1:0 }",
        "class often { aim 3s; deadline 24s; repeat freely }",
        "kind one { per-call 1 }",
    ]
    for route in range(1, ROUTES + 1):
        state_changes = (changes + ROUTES - route) // ROUTES  # how often this route's endpoint changed
        state = "; state draining" if state_changes % 2 else ""
        rows.append(f"pool p{route} {{ kind one; endpoint e {{ at 127.0.0.1:{ports[route - 1]}{state} }} }}")
        rows.append(f"route {route} {{ pool p{route}; classes often }}")
    (folder / "new").write_text("\n".join(rows) + "\n")
    (folder / "new").replace(folder / "site.scale")


def _start_destination() -> int:
    """Start a server that answers every call, and return its port."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

    threading.Thread(target=serve, daemon=True).start()
    return listener.getsockname()[1]


# -- the model


def _measure_hollow(folder: pathlib.Path, ports: list[int], schedule: Schedule) -> SideCounts:
    clock, meter, random_ = VirtualClock(), Meter(), random.Random(SEED)

    def site(changes: int) -> object:
        _write_site(folder, ports, changes)
        return configuration(str(folder), str(folder / "state"), {})[0].config

    first = site(0)
    control = Control(clock, first.settings, first.fleet, ControlOptions(), Stopwatch())
    clock.run_for(int(START_DELAY_S * SECOND))
    routes = list(range(1, ROUTES + 1))
    sender = HollowSender(
        clock,
        lambda: control,
        Link(clock, random_, (meter,)),
        "n0",
        "0123abcd",
        routes,
        random_,
        Stopwatch(),
        _traffic(routes, random_),
    )
    opened = clock.now
    sender.start()
    for number, at in enumerate(schedule.changes):
        clock.run_until(opened + at)
        control.configure(site(number + 1).fleet)
    clock.run_until(opened + schedule.end)
    outcomes = sender.outcomes
    fallback_share = outcomes.fell_back / max(1, outcomes.sent + outcomes.refused + outcomes.fell_back)
    return SideCounts(meter.table(), deep_size(sender.contract), fallback_share)


def _traffic(routes: list[int], random_: random.Random) -> Iterator[tuple[int, int]]:
    while True:
        yield int(random_.expovariate(MESSAGES_PER_S) * SECOND), random_.choice(routes)
