"""`scalefall control` as a process: unusable options, invalid reloads, JSON logs, and imports of the sender."""

import json
import signal
import subprocess
import sys

import pytest
from test_program import PROCESS_TIMEOUT_S, ROOT
from transporthelp import ControlProcess, backends, reload_configuration, running_control, write_configuration


@pytest.mark.parametrize(
    ("flags", "expected"),
    [
        ((), "--certificate, --key and --clients are needed"),
        (("--plain-text", "--listen", "10.0.0.1:1"), "loopback only"),
        (("--plain-text", "--listen", "nowhere"), "must be an address and a port"),
        (("--certificate", "none.pem", "--key", "k", "--clients", "c"), "none.pem: No such file"),
        (("--plain-text", "--listen", "127.0.0.1:{port}"), "cannot listen at"),
    ],
)
def test_unusable_options_are_reported_in_one_line(folder, flags, expected):
    with backends("a") as (port,):
        process = ControlProcess(folder, *(flag.format(port=port) for flag in flags))
        assert process.child.wait(PROCESS_TIMEOUT_S) == 2
        process.lines.put(None)
        process.line(expected)
        assert not [line for line in process.seen if "Traceback" in line]


def test_an_invalid_reload_changes_nothing_and_an_invalid_epoch_prevents_a_start(folder):
    with running_control(folder) as process:
        (folder / "site.scale").write_text("route 7 { pool nowhere }")
        reload_configuration(process)
        assert "stays" in process.event("configuration not taken, the one in force stays")["text"]
        assert process.end(signal.SIGTERM) == 0
    write_configuration(folder, 9001)
    (folder / "state" / "epoch").write_text("many")
    process = ControlProcess(folder, "--plain-text")
    assert process.child.wait(PROCESS_TIMEOUT_S) == 2
    process.line("does not hold a number")


def test_the_sender_imports_nothing_of_the_control_transport():
    code = (
        "import sys, scalefall.net.sender, scalefall.cli.main; print([m for m in sys.modules if 'grpc' in m or "
        "'google' in m or 'cryptography' in m or 'control.transport' in m])"
    )
    assert subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).strip() == "[]"


def test_json_log_lines_are_objects_with_an_event(folder):
    with running_control(folder) as process:
        assert process.end(signal.SIGTERM) == 0
        assert all("event" in json.loads(line) for line in process.seen)
