"""Writes the stored data: `python tests/stored_data/write.py` from the root of a checkout.

The data beside this file was written at revision 1d28f5d, and tests check that later revisions can read it. Do not
write it again unless a format changes on purpose. Clocks are fixed and random values come from seeds; only
audit_logs/processes.jsonl, which real processes wrote, differs from run to run.
"""

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(ROOT), str(HERE), str(ROOT / "tests"), str(ROOT / "tests" / "transport")]

import mapping  # noqa: E402
from scalefall.lab.partner.model import DestinationProfile  # noqa: E402
from scalefall.lab.world import SECOND, Plan, World, world_with_outage  # noqa: E402

WALL_US = 1_800_000_000_000_000
LOGS = {  # name: the logs that one audit reads together
    "world_kept": ["world.jsonl"],
    "world_wait_kept": ["crowded.jsonl"],
    "world_cold_start_kept": ["cold_start.jsonl"],
    "world_drain_and_wait_broken": ["mistakes.jsonl"],
    "world_altered_broken": ["altered.jsonl"],
    "processes_kept": ["processes.jsonl"],
    "two_logs_and_foreign_lines": ["world.jsonl", "cold_start.jsonl", "foreign.txt"],
}


def message(number, **more):
    row = {
        "id": f"message-{number}",
        "class": "status-update",
        "destination": 7,
        "due_us": WALL_US + number * SECOND,
        "key": None,
        "body": bytes([number] * 4).hex(),
        "repeat": "freely",
        "key holds in one zone": False,
        "key_lifetime_us": 0,
    }
    return ["accept", row | more]


OPERATIONS = [
    message(1),
    message(2, body=bytes(range(256)).hex(), destination=2_147_483_647, due_us=-1),
    message(3, id="über-3 \u20ac", key="", repeat="with key", key_lifetime_us=6_000_000),
    message(4, key="key-4", repeat="with key", key_lifetime_us=1_099_511_627_000, **{"key holds in one zone": True}),
    message(5, repeat="never", **{"class": "fee-order"}, body=""),
    message(6, repeat="not recorded"),
    message(7, repeat="never"),
    message(8),
    message(9),
    message(10, repeat="never"),
    message(11),
    message(12),
    ["start attempt", ["message-2", "message-4", "message-5"], WALL_US + 1, "zone-a"],
    ["finish attempt", "message-4", True],
    ["finish attempt", "message-5", False],
    ["start attempt", ["message-4"], WALL_US + 2, "zone-b"],
    ["start attempt", ["message-6", "message-7"], WALL_US + 3, "zöne-" + "c" * 70],
    ["finish attempt", "message-6", True],
    ["finish attempt", "message-7", True],
    ["start attempt", ["message-7"], WALL_US + 4, ""],
    ["finish attempt", "message-7", True],
    ["finish", "message-8"],
    ["start attempt", ["message-9", "message-10"], WALL_US + 5, "zone-a"],
    ["finish attempt", "message-9", False],
    ["owe notice", "message-9", "returned", 1500],
    ["finish attempt", "message-10", True],
    ["owe notice", "message-10", "failed", 0],
    ["owe notice", "message-11", "failed", 4_294_967_295],
    ["finish", "message-11"],
    ["finish", "message-12"],
]
RATES = [
    {"destination": 7, "route": "7", "own_rate": 12.125, "reported_limit": 0.0},
    {"destination": 7, "route": "7 e-é", "own_rate": 0.001, "reported_limit": 1e9},
    {"destination": 2_147_483_647, "route": "", "own_rate": 0.0, "reported_limit": 20.0},
]
MAINTENANCE = ["e0", "endpoint \u20ac", "z"]
CONTROL = {
    "allowances": [
        {
            "destination": 7,
            "route": "7",
            "endpoints": {"e0": None, "e1": 2.5},
            "rate": 20.0,
            "silent_for_us": 900_000,
        },
        {"destination": 8, "route": "8", "endpoints": {"é": 0.0}, "rate": 0.5, "silent_for_us": 0},
    ],
    "rates": RATES,
}
SHARDS = 64
ASSIGNMENT = {
    "settings": f"shards {SHARDS}",
    "generation": 12,
    "own_shards": [[7, 64], [9, 66]],
    "nodes": [["sender-1", "r", "a"], ["sender-2", "r", "b"], ["sender-é", "", ""]],
    "holders": [[0, ["sender-1"]], [3, ["sender-2", "sender-1"]], [9, []], [64, ["sender-é"]], [66, ["sender-1"]]],
}


def put(path, value):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1, ensure_ascii=True) + "\n")


def reopened(folder):
    """Open a journal, which compacts its file, and return its deliveries."""
    opened = mapping.open_journal(folder)
    rows = mapping.deliveries(opened)
    opened.close()
    return rows


def write_sender(to):
    for name in ("appended", "compacted", "torn", "torn_compacted", "torn_first", "empty"):
        (to / name).mkdir(parents=True)
    opened = mapping.open_journal(to / "appended")
    assert all(mapping.perform(opened, operation) for operation in OPERATIONS)
    opened.close()
    complete = (to / "appended" / "journal").read_bytes()
    (to / "torn" / "journal").write_bytes(complete[:-5])
    (to / "torn_first" / "journal").write_bytes(complete[:50])  # the header and a part of the first record
    (to / "empty" / "journal").write_bytes(b"")
    put(to / "empty.json", reopened(to / "empty"))
    put(to / "operations.json", OPERATIONS)
    for name in ("appended", "torn"):
        after = to / ("compacted" if name == "appended" else "torn_compacted")
        shutil.copy(to / name / "journal", after / "journal")
        put(to / f"{name}.json", reopened(after))
    mapping.save_rates(to / "appended", RATES, WALL_US)
    assert mapping.save_maintenance(to / "appended", MAINTENANCE)
    put(to / "rates.json", {"wall_us": WALL_US, "rates": RATES})
    put(to / "maintenance.json", MAINTENANCE)


def write_control(to):
    for name, row in (("without_shards", None), ("with_shards", ASSIGNMENT)):
        folder = to / name
        folder.mkdir(parents=True)
        text = mapping.assignment_text(row) if row else None
        first = mapping.Leader(folder, CONTROL, text, 5_000_000, WALL_US)
        first.lead()
        first.grant_up_to(700_000)
        first.save()
        first.end()
        with tempfile.TemporaryDirectory() as copy:
            shutil.copytree(folder, copy, dirs_exist_ok=True)
            second = mapping.Leader(copy, CONTROL, text, 9_000_000, WALL_US + 300_000)
            put(to / f"{name}.json", second.lead())
            second.end()
            put(to / f"{name}_after.json", (pathlib.Path(copy) / "epoch").read_text())
    put(to / "left.json", CONTROL)
    put(to / "assignment.json", ASSIGNMENT)


def captured():
    """Return the lines that processes of control, a proxy and a destination log in a test of tests/transport."""
    import pytest

    from scalefall.control import audit

    lines, read = [], audit.read_log

    def record_lines(given):
        lines.extend(given)
        return read(lines)

    audit.read_log = record_lines
    name = "test_a_proxy_sends_under_grants_falls_back_while_it_is_cut_off_and_comes_back"
    assert pytest.main(["-q", "-p", "no:cacheprovider", f"{ROOT}/tests/transport/test_standins.py::{name}"]) == 0
    return lines


def write_logs(to):
    to.mkdir()

    def lines(name, rows):
        (to / name).write_text("".join(json.dumps(row) + "\n" for row in rows))

    world = list(World(Plan(seconds=12, load=2.0, destination=DestinationProfile(30.0, reset_ratio=0.1)), 1).run())
    lines("world.jsonl", world)
    crowded = Plan(seconds=8, load=3.0, destination=DestinationProfile(3.0))
    lines("crowded.jsonl", World(crowded, 1).run())
    cold = [row for row in world_with_outage(1).run() if row["event"] in ("took", "capacity", "fell")]
    cold = [row for row in cold if 20 * SECOND < row["at"] < 28 * SECOND]
    lines("cold_start.jsonl", cold)
    mistakes = frozenset({"keeps_expired_lists", "keeps_expired_grants", "ignores_retry_after", "repeats_everything"})
    cuts = ((0, 2 * SECOND, 11 * SECOND),)
    plan = Plan(
        seconds=12,
        load=3.0,
        destination=DestinationProfile(3.0),
        proxy_faults=mistakes,
        drain_rate=1.0,
        link_fault_rate=0.0,
        disconnections=cuts,
    )
    lines("mistakes.jsonl", World(plan, 0).run())
    lines("altered.jsonl", altered(world) + cold + [{"event": "fell", "partner": "p", "at": 28 * SECOND}])
    (to / "foreign.txt").write_text('Traceback\n\n[1]\n{"at": 1}\n')
    (to / "processes.jsonl").write_text("".join(line + "\n" for line in captured()))
    for name, given in LOGS.items():
        put(to / f"{name}.json", {"logs": given} | audited([to / each for each in given]))


def altered(rows):
    """Return rows with half the allowances, one message without an answer, and one effect twice."""
    ended = next(row for row in rows if row["event"] == "ended")
    second_effect = next(row for row in rows if row["event"] == "effect" and row["repeat"] == "never")
    halved = [row | {"amount": row["amount"] // 2} if row["event"] == "allowance" else row for row in rows]
    return [row for row in halved if row is not ended] + [second_effect]


def audited(paths):
    """Return the exit code, the text and the errors of an audit."""
    command = [sys.executable, "-m", "scalefall", "control", "audit", *map(str, paths)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return {"code": done.returncode, "text": done.stdout.splitlines(), "errors": done.stderr}


if __name__ == "__main__":
    for kind, write in (("sender", write_sender), ("control", write_control), ("audit_logs", write_logs)):
        shutil.rmtree(HERE / kind, ignore_errors=True)
        write(HERE / kind)
