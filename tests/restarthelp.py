"""What a long day leaves to the next process: a journal that is full, a long list, and rates learned of every endpoint.

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
LIST = 1024  # endpoints, each of its own destination
CLASSES = (
    ("status-update", Idempotency.IDEMPOTENT),
    ("event-notice", Idempotency.WITH_KEY),
    ("fee-order", Idempotency.NOT_IDEMPOTENT),
)
SPARE = 4096  # bytes, before the journal would make a shorter copy of itself
TIME_US = 24_000_000  # of each message: a whole deadline of the example's shortest class
LONG = 60  # seconds after which a start is given up


def write_config(folder, **settings):
    """A known list of LIST endpoints at an address that answers nobody, and a discovery that is down."""
    hosts = [host_row(f"s-{number:08x}", ("127.0.0.1", 9), block=number, kind="toy") for number in range(LIST)]
    table = EXAMPLE | {
        "discovery": "127.0.0.1:9",
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": EXAMPLE["settings"] | settings,
    }
    path = pathlib.Path(folder, "config.json")
    path.write_text(json.dumps(table))
    return path


def fill_state(folder):
    """Take on messages until the folder takes no more, and write attempts until the file is as long as it may be: each
    has one or more that may have run, some have one that is out. Gives back how many messages."""
    limit, wall = learned_rates.reserved_bytes(DISK_BYTES), time.time_ns() // 1000
    learned_rates.save(folder, limit, [LearnedRate(number, "", 1.0, 5.0) for number in range(LIST)], wall)
    journal, accepted = Journal(str(folder), DISK_BYTES - limit), 0
    while journal.record_accepted(_message(accepted, wall)):
        accepted += 1
    for name in cycle(list(journal.pending)):
        if journal.unused_bytes < SPARE:
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
        f"m{number}", name, number % LIST, wall + TIME_US, key, b"body", idempotency=idempotency, key_ttl_us=key_ttl_us
    )


@dataclass(slots=True, frozen=True)
class Start:
    seconds: float  # from the start of the program to its 200 on /healthz
    restored: int  # messages that it found open


def start(config, state):
    """Start the program until it is ready, and kill it then."""
    environ = dict(RELAY_CONFIG=str(config), RELAY_STATE=str(state), RELAY_LISTEN="127.0.0.1:0")
    began = time.monotonic()
    child = subprocess.Popen(
        [sys.executable, "-O", "-m", "scalefall"], cwd=ROOT, env=os.environ | environ, stderr=subprocess.PIPE, text=True
    )
    try:
        lines = _until_ready(child.stderr)
        address = lines[-1].split()[-1]
        with urllib.request.urlopen(f"http://{address}/healthz", timeout=LONG) as answer:
            assert answer.status == 200
        seconds = time.monotonic() - began
        restored = [int(line.split("restored: ")[1].split()[0]) for line in lines if "restored: " in line]
        return Start(seconds, sum(restored))
    finally:
        child.kill()
        child.wait(LONG)
        child.stderr.close()


def _until_ready(stream):
    lines = []
    for line in stream:
        lines.append(line.rstrip())
        if "ready: " in line:
            return lines
    raise AssertionError(f"ended before it was ready: {lines}")
