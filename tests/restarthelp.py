"""Helpers for restarts with large state: a full journal, a long endpoint list, and learned rates of every endpoint.

Used by test_restart.py and benchmarks/restart.py.
"""

import json
import os
import pathlib
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass
from itertools import cycle

from nethelp import host_row

from scalefall.net import learned_rates
from scalefall.net.journal import Journal
from scalefall.net.journal_records import PendingDelivery
from scalefall.policy.events import LearnedRate
from scalefall.policy.settings import Idempotency

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = json.loads((ROOT / "example" / "config.json").read_text())
DISK_BYTES = EXAMPLE["limits"]["disk_mb"] * 1_000_000
ENDPOINT_COUNT = 1024  # each endpoint has its own destination
CLASSES = (
    ("status-update", Idempotency.IDEMPOTENT),
    ("event-notice", Idempotency.WITH_KEY),
    ("fee-order", Idempotency.NOT_IDEMPOTENT),
)
MIN_UNUSED_BYTES = 4096  # stops filling before the journal would compact itself
DEADLINE_US = 24_000_000  # the shortest deadline of the example's classes
TIMEOUT_S = 60  # of one start


def write_config(folder, **settings):
    """Write a configuration with ENDPOINT_COUNT known endpoints at an unreachable address, and with discovery down."""
    hosts = [
        host_row(f"s-{number:08x}", ("127.0.0.1", 9), block=number, kind="toy") for number in range(ENDPOINT_COUNT)
    ]
    table = EXAMPLE | {
        "discovery": "127.0.0.1:9",
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": EXAMPLE["settings"] | settings,
    }
    path = pathlib.Path(folder, "config.json")
    path.write_text(json.dumps(table))
    return path


def fill_state(folder):
    """Fill a state folder, and return the number of messages in it.

    Accepts messages until the journal is full, then records attempts until the file reaches its limit: earlier ones
    that may have run, and for each message a last one in flight.
    """
    limit, wall = learned_rates.reserved_bytes(DISK_BYTES), time.time_ns() // 1000
    learned_rates.save(folder, limit, [LearnedRate(number, "", 1.0, 5.0) for number in range(ENDPOINT_COUNT)], wall)
    journal, accepted = Journal(str(folder), DISK_BYTES - limit), 0
    while journal.record_accepted(_message(accepted, wall)):
        accepted += 1
    for name in cycle(list(journal.pending)):
        if journal.unused_bytes < MIN_UNUSED_BYTES:
            break
        if journal.pending[name].in_flight:
            journal.record_attempt_finished(name, True)
        journal.record_attempt_started([name], wall, "here")
    journal.close()
    return accepted


def _message(number, wall):
    name, idempotency = CLASSES[number % len(CLASSES)]
    key = f"k{number}" if idempotency is Idempotency.WITH_KEY else None
    key_ttl_us = 6_000_000 if idempotency is Idempotency.WITH_KEY else 0
    return PendingDelivery(
        f"m{number}",
        name,
        number % ENDPOINT_COUNT,
        wall + DEADLINE_US,
        key,
        b"body",
        idempotency=idempotency,
        key_ttl_us=key_ttl_us,
    )


@dataclass(slots=True, frozen=True)
class Start:
    seconds: float  # from the start of the program to the first 200 on /healthz
    restored: int  # pending messages in its journal


def start(config, state):
    """Start the program, wait until it is ready, and kill it."""
    environ = dict(RELAY_CONFIG=str(config), RELAY_STATE=str(state), RELAY_LISTEN="127.0.0.1:0")
    began = time.monotonic()
    child = subprocess.Popen(
        [sys.executable, "-O", "-m", "scalefall"], cwd=ROOT, env=os.environ | environ, stderr=subprocess.PIPE, text=True
    )
    try:
        lines = _until_ready(child.stderr)
        address = lines[-1].split()[-1]
        with urllib.request.urlopen(f"http://{address}/healthz", timeout=TIMEOUT_S) as answer:
            assert answer.status == 200
        seconds = time.monotonic() - began
        restored = [int(line.split("restored: ")[1].split()[0]) for line in lines if "restored: " in line]
        return Start(seconds, sum(restored))
    finally:
        child.kill()
        child.wait(TIMEOUT_S)
        child.stderr.close()


def _until_ready(stream):
    lines = []
    for line in stream:
        lines.append(line.rstrip())
        if "ready: " in line:
            return lines
    raise AssertionError(f"process ended before it was ready: {lines}")
