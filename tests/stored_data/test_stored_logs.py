"""Logs as revision 1d28f5d wrote them: `scalefall control audit` gives the same exit code and the same text."""

import json
import pathlib
import subprocess
import sys

import pytest

STORED = pathlib.Path(__file__).parent / "audit_logs"
ROOT = STORED.parents[2]
RULES = ("drain", "wait", "grants", "fall", "twice", "answer")
VERDICTS = {path.stem: json.loads(path.read_text()) for path in sorted(STORED.glob("*.json"))}


@pytest.mark.parametrize("name", VERDICTS)
def test_the_audit_of_stored_logs_is_unchanged(name, tmp_path):
    stored = VERDICTS[name]
    command = [sys.executable, "-m", "scalefall", "control", "audit", *stored["logs"]]
    for log in stored["logs"]:
        (tmp_path / log).write_bytes((STORED / log).read_bytes())
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, env={"PYTHONPATH": str(ROOT)})
    assert done.stdout.splitlines() == stored["text"]
    assert (done.returncode, done.stderr) == (stored["code"], "")


def test_the_stored_logs_obey_and_break_each_rule_at_least_once():
    found = {tuple(line.split()[:2]) for stored in VERDICTS.values() for line in stored["text"] if line[0] != " "}
    assert {(rule, verdict) for rule in RULES for verdict in ("kept", "broken")} <= found
    assert {stored["code"] for stored in VERDICTS.values()} == {0, 1}


def test_the_stored_logs_contain_both_time_fields():
    assert '"timestamp":' in (STORED / "processes.jsonl").read_text()
    assert '"at":' in (STORED / "world.jsonl").read_text()
