"""The stand-ins as processes: a proxy on a link with faults, a destination, control, and the audit of their logs."""

import contextlib
import http.client
import signal
import subprocess
import sys

import pytest
from test_program import PROCESS_TIMEOUT_S, ROOT
from transporthelp import CLASS_FLAGS, LoggedProcess, reload_configuration, running_control, write_configuration

from scalefall.control import audit
from scalefall.lab.classes import read_class
from scalefall.policy.settings import Idempotency


@pytest.fixture
def start_process():
    """Return a function that starts a Python module as a process, which is killed after the test."""
    started = []

    def start(*arguments):
        started.append(LoggedProcess("-u", "-m", *arguments))
        return started[-1]

    yield start
    for process in started:
        process.child.kill()


@contextlib.contextmanager
def link_to(address):
    """Run a link that can inject faults; yield its address and a function that sends it a command."""
    link = subprocess.Popen(
        [sys.executable, "-u", "-m", "scalefall.lab.link", address],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )

    def send_command(command):
        link.stdin.write(command + "\n")
        link.stdin.flush()

    try:
        yield f"127.0.0.1:{link.stdout.readline().strip()}", send_command
    finally:
        link.kill()
        link.communicate()


def proxy_flags(address, load):
    return ("--control", address, "--node", "p", "--routes", "7", "--load", load, *CLASS_FLAGS)


def test_a_proxy_sends_under_grants_falls_back_while_it_is_cut_off_and_comes_back(tmp_path, start_process):
    destination = start_process("scalefall.lab.partner", "--limit", "20", *CLASS_FLAGS)
    port = destination.event("listening")["port"]
    write_configuration(tmp_path, port, limit="limit 20 per 1s;")
    flags = ("--plain-text", "--log-level", "debug", "--report-every", "0.2", "--lease", "1")
    with running_control(tmp_path, *flags) as process, link_to(process.address) as (address, send_command):
        proxy = start_process("scalefall.lab.proxy", *proxy_flags(address, "20"))
        proxy.event("ended", how="ok")
        destination.event("effect", repeat="never")  # without one, the audit would have none to check
        send_command("silence")
        proxy.event("ended", how="fallback")
        send_command("reset")
        send_command("heal")
        proxy.event("ended", how="ok")
        write_configuration(tmp_path, port, limit="limit 20 per 1s;", e0="draining")
        reload_configuration(process)
        process.line("configuration read again")
        proxy.event("ended", how="refused")
        assert proxy.end(signal.SIGTERM) == 0
        assert process.end(signal.SIGTERM) == 0
    rows, _ = audit.read_log([*process.output, *proxy.output, *destination.output])
    findings = {finding.rule: finding for finding in audit.audit(rows)}
    assert not [finding.violations for finding in findings.values() if finding.violations]
    assert findings["answer"].checked
    assert findings["grants"].checked
    assert findings["twice"].checked


def test_without_control_a_proxy_sends_messages_through_a_senders_ingress(tmp_path, start_process):
    destination = start_process("scalefall.lab.partner", "--limit", "20", *CLASS_FLAGS)
    write_configuration(tmp_path, destination.event("listening")["port"], limit="limit 20 per 1s;")
    (tmp_path / "sender").mkdir()
    sender = start_process(
        "scalefall", "run", "--config", str(tmp_path), "--state", str(tmp_path / "sender"), "--listen", "127.0.0.1:0"
    )
    ingress_address = sender.line("ready: ").split()[-1]
    proxy = start_process("scalefall.lab.proxy", *proxy_flags("127.0.0.1:1", "10"), "--sender", ingress_address)
    message_id = proxy.event("ended", how="fallback 202")["id"]
    destination.event("effect", id=message_id)
    assert proxy.end(signal.SIGTERM) == 0
    assert not [line for line in proxy.output if '"sent"' in line]


def test_a_destination_reports_effects_with_the_repeat_setting_of_the_class(start_process):
    destination = start_process(
        "scalefall.lab.partner", "--limit", "20", "--class", "ledger=freely", "--class", "vote=never"
    )
    port = destination.event("listening")["port"]
    for class_name, repeat in (("ledger", "freely"), ("vote", "never"), ("unlisted", "never")):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PROCESS_TIMEOUT_S)
        connection.request("POST", f"/{class_name}", b"body", {"X-Request-Id": class_name})
        assert connection.getresponse().status == 200
        connection.close()
        assert destination.event("effect", id=class_name)["repeat"] == repeat


@pytest.mark.parametrize("argument", ["", "=never", "a", "a=", "a=twice", "a=keyed:soon"])
def test_an_invalid_class_argument_is_reported_in_one_line(start_process, argument):
    destination = start_process("scalefall.lab.partner", "--limit", "20", "--class", argument)
    destination.line(f"argument --class: invalid read_class value: {argument!r}")
    assert destination.child.wait(PROCESS_TIMEOUT_S) == 2


def test_a_class_is_parsed_from_its_argument():
    message_class = read_class("a=keyed:1.5")
    assert (message_class.name, message_class.idempotency, message_class.key_ttl_us) == (
        "a",
        Idempotency.WITH_KEY,
        1_500_000,
    )
    assert (read_class("b=never").idempotency, read_class("c=freely").idempotency) == (
        Idempotency.NOT_IDEMPOTENT,
        Idempotency.IDEMPOTENT,
    )
