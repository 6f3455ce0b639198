"""The simulator's adapter: reading, writing, and malformed input."""

import copy
import json
import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
CONFIG = {
    "areas": ["a"],
    "index": 0,
    "siblings": 2,
    "overShareWorth": 0.1,
    "registryMode": "push",
    "shapes": ["one"],
    "caps": {
        "cancelling": True,
        "dialTimeout": 1000.0,
        "idleClose": 5000.0,
        "maxAttempts": 8,
        "maxOpen": 200,
        "maxRetryAfter": 3000.0,
        "maxStreams": 1,
        "probes": False,
        "retryAfter": True,
    },
    "familyInfo": {"kindApart": [False], "late": "halving", "perCall": [1], "workers": 9, "zoneFee": [0.0]},
    "grades": [
        {
            "aim": 800.0,
            "deadline": 8000.0,
            "effect": "safe",
            "keyScope": "all",
            "keyTtl": 5000.0,
            "lateWorth": 0.0,
            "name": "c",
            "stream": False,
            "worth": 1.0,
        }
    ],
    "guarantees": {
        "answerSlack": 20.0,
        "askWithin": 10000.0,
        "cold": 12000.0,
        "coldFrom": 0.28,
        "drainGrace": 1000.0,
        "fall": 3000.0,
        "fallMultiple": 1.5,
    },
    "report": {"fields": ["x0", "x1"], "how": "answers"},
    "tenants": [],
    "tick": 5.0,
    "weights": "none",
    "unknown": {"ignored": 1},
}


def run(*lines, seed="0"):
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "scalefall.adapter"],
        input=text,
        text=True,
        capture_output=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": seed},
        timeout=60,
    )


def opened(config=CONFIG, name="sender_0"):
    return ["openInstance", name, 77, config]


LIST = [
    ["inventory", 0, [["e", "a", "one", 4, 1, 1, None], ["f", "a", "one", 4, 1, 1, None]]],
    ["backendsChanged", "sender_0", 2, 1, 0],
]


def ingress(n, due=9000.0):
    return ["ingress", "sender_0", f"r{n}", None, due, None, "c", 0, None, 4]


def test_a_message_is_sent_and_a_batch_without_events_is_answered():
    done = run({"clock": 0, "inbox": [opened(), *LIST, ingress(1)]}, {"clock": 5, "inbox": []})
    first, second = map(json.loads, done.stdout.splitlines())
    assert ["deliver", "sender_0", "r1", 2000.0] in [row[:4] for row in first["cmds"]]
    assert second == {"cmds": []}
    assert done.returncode == 0
    assert done.stderr == ""


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("{broken", "not valid JSON"),
        ("[]", "'inbox'"),
        ('{"clock":"x","inbox":[]}', "'clock'"),
        ('{"clock":1,"inbox":[["whatever","sender_0"]]}', "unknown event"),
        ('{"clock":1,"inbox":[["timer"]]}', "missing or wrong value"),
        ('{"clock":1,"inbox":[7]}', "not a list"),
        ('{"clock":1,"inbox":[["settled","sender_0","r",0,"e","odd",1,false,null,null]]}', "missing or wrong value"),
    ],
)
def test_malformed_input_causes_one_error_line_and_exit_code_2(line, error):
    done = run({"clock": 0, "inbox": []}, line)
    assert done.returncode == 2
    assert error in done.stderr
    assert "line 2" in done.stderr
    assert len(done.stderr.splitlines()) == 1
    assert done.stdout == '{"cmds":[]}\n'


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("siblings", 0),
        ("familyInfo.workers", None),
        ("familyInfo.workers", "many"),
        ("caps.maxAttempts", -1),
        ("caps.cancelling", 1),
        ("familyInfo.perCall", []),
        ("familyInfo.late", "soon"),
        ("guarantees", 3),
    ],
)
def test_invalid_settings_cause_an_error_that_names_the_key(path, value):
    from scalefall.settings_reader import read_settings

    config = copy.deepcopy(CONFIG)
    *above, last = path.split(".")
    table = config
    for step in above:
        table = table[step]
    table[last] = value
    with pytest.raises(ValueError, match=path):
        read_settings(config)


def test_an_exception_of_the_engine_becomes_a_fault_command(monkeypatch):
    from scalefall import adapter

    simulator_adapter = adapter.SimulatorAdapter()
    simulator_adapter.batch(0, [opened()])

    def fail(self, now, events):
        raise RuntimeError("seen in a test")

    monkeypatch.setattr(adapter.Engine, "handle", fail)
    assert simulator_adapter.batch(1, [ingress(1)]) == [["fault", "sender_0", "RuntimeError: seen in a test"]]


def test_an_instance_that_is_closed_and_reopened_in_one_batch_starts_without_state():
    batch = [opened(), *LIST, ingress(1), ["teardown", "sender_0"], opened(), LIST[1], ingress(2)]
    sent = [row[2] for row in json.loads(run({"clock": 0, "inbox": batch}).stdout)["cmds"] if row[0] == "deliver"]
    assert sent == ["r2"]
    later = run({"clock": 0, "inbox": batch}, {"clock": 9100, "inbox": [["timer", "sender_0", 2]]})
    assert "r1" not in later.stdout


def test_a_megabyte_batch_is_answered():
    done = run({"clock": 0, "inbox": [opened(), *LIST, *(ingress(n) for n in range(20_000))]})
    assert done.returncode == 0
    assert len(done.stdout.splitlines()) == 1


def test_the_same_actions_under_any_hash_seed():
    lines = [{"clock": 0, "inbox": [opened(), *LIST, *(ingress(n) for n in range(40))]}]
    lines += [{"clock": 10 * n, "inbox": [["timer", "sender_0", 1]]} for n in range(1, 50)]
    assert run(*lines, seed="1").stdout == run(*lines, seed="4242").stdout
