"""`scalefall run` as a user starts it: with a file, with reloads of that file, and with JSON log lines."""

import contextlib
import http.client
import json
import shutil
import signal
import socket

import pytest
from test_program import ROOT, Process, send_request


@pytest.fixture
def toy():
    process = Process("example/toy_server.py", "--discovery", "0", "--endpoints", "0", "0")
    process.reports = process.line("discovery at").split()[-1]
    with contextlib.closing(http.client.HTTPConnection(process.reports)) as connection:
        connection.request("GET", "/v1/servers")
        process.endpoints = [row["dial"] for row in json.loads(connection.getresponse().read())["hosts"]][:2]
    yield process
    process.end()


@pytest.fixture
def site(toy, tmp_path):
    """The example site with the toy server's addresses."""
    shutil.copy(ROOT / "example" / "site.scale", tmp_path)
    shutil.copytree(ROOT / "example" / "partners", tmp_path / "partners")
    edit(tmp_path / "partners" / "pojistovna.scale", "127.0.0.1:9001", toy.endpoints[0])
    edit(tmp_path / "partners" / "pojistovna.scale", "127.0.0.1:9002", toy.endpoints[1])
    (tmp_path / "state").mkdir()
    return tmp_path


def edit(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


@pytest.fixture
def run(site, toy):
    started = []

    def start(*more):
        process = Process(
            "-m",
            "scalefall",
            "run",
            "--config",
            str(site),
            "--listen",
            "127.0.0.1:0",
            *more,
            SCALEFALL_STATE=str(site / "state"),
            SCALEFALL_REPORTS=toy.reports,
        )
        started.append(process)
        return process

    yield start
    for process in started:
        if process.child.poll() is None:
            process.end()


def ready(process):
    host, _, port = process.line("ready: demo at").split()[-1].rpartition(":")
    process.at = (host, int(port))
    return process


def test_it_runs_from_a_file_and_a_reload_of_an_invalid_file_changes_nothing(site, toy, run):
    sender = ready(run())
    assert send_request(sender, "m1").status == 202
    toy.line("delivered m1 at")
    partner = site / "partners" / "pojistovna.scale"
    edit(partner, "5 per 1s", "250ms")
    edit(site / "site.scale", "deadline 24s; repeat never", "deadline 24; repeat never")
    sender.child.send_signal(signal.SIGHUP)
    assert f"{site}/partners/pojistovna.scale:5:9: 250ms is a duration where a rate belongs" in sender.line("not taken")
    assert f"{site}/site.scale:11:36: 24 has no unit" in sender.line("not taken")
    assert send_request(sender, "m2").status == 202
    toy.line("delivered m2 at")
    assert sender.end(signal.SIGTERM) == 0


def test_an_endpoint_removed_from_the_file_gets_no_more_messages_and_changes_that_need_a_restart_are_logged(
    site, toy, run
):
    sender = ready(run())
    removed, remaining = toy.endpoints
    edit(site / "partners" / "pojistovna.scale", f"endpoint a {{ at {removed}; zone praha }}", "")
    edit(site / "site.scale", "slots 12", "slots 13")
    sender.child.send_signal(signal.SIGHUP)
    assert f"{site}/site.scale:8: slots of sender is 13 in the file, and stays 12" in sender.line(
        "setting not applied, needs a restart"
    )
    assert "2 endpoints, 0 added, 1 removed, 0 changed; 2 routes" in sender.line("configuration read again")
    for number in range(8):
        assert send_request(sender, f"m{number}").status == 202
        assert toy.line(f"delivered m{number} at").split()[-1] == remaining.rpartition(":")[2]


def test_json_log_lines_have_event_names_and_a_messages_fields(toy, run):
    sender = run("--log-format", "json", "--log-level", "debug")
    line = json.loads(sender.line('"ready"'))
    assert line["event"] == "ready"
    assert line["level"] == "info"
    assert line["text"].startswith("ready: demo at ")
    host, _, port = line["text"].split()[-1].rpartition(":")
    sender.at = (host, int(port))
    assert send_request(sender, "m1", path="/status-update").status == 202
    accepted = json.loads(sender.line('"accepted"'))
    assert (accepted["id"], accepted["class"], accepted["dest"]) == ("m1", "status-update", 7)
    outcome = json.loads(sender.line('"outcome"'))
    assert outcome["outcome"] == "ok"
    assert outcome["endpoint"].startswith("pojistovna/")
    assert send_request(sender, "m2", path="/status-update", dest=9, deadline="300m").status == 202
    assert json.loads(sender.line('"shed"'))["id"] == "m2"


def test_an_address_in_use_gives_one_error_line_and_exit_code_2(run):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        process = run("--listen", "{}:{}".format(*listener.getsockname()))
        assert "in use" in process.line("scalefall: ")
        assert process.child.wait(60) == 2
        assert not any("Traceback" in line for line in process.seen)
