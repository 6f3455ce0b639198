"""The stand-ins as processes: a proxy behind a link that is cut, a partner, control, and the audit of their logs."""

import contextlib
import http.client
import signal
import subprocess
import sys

import pytest
from test_program import PROCESS_TIMEOUT_S, ROOT
from transporthelp import CLASSES, LoggedProcess, reload_configuration, running_control, write_site

from scalefall.control import audit
from scalefall.lab.classes import read_class
from scalefall.policy.settings import Idempotency


@pytest.fixture
def children():
    started = []

    def start(*words):
        started.append(LoggedProcess("-u", "-m", *words))
        return started[-1]

    yield start
    for each in started:
        each.child.kill()


@contextlib.contextmanager
def link_to(address):
    """A link that can be cut: its address, and a function that tells it what to do."""
    link = subprocess.Popen(
        [sys.executable, "-u", "-m", "scalefall.lab.link", address],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )

    def tell(word):
        link.stdin.write(word + "\n")
        link.stdin.flush()

    try:
        yield f"127.0.0.1:{link.stdout.readline().strip()}", tell
    finally:
        link.kill()
        link.communicate()


def proxy_flags(address, load):
    return ("--control", address, "--node", "p", "--routes", "7", "--load", load, *CLASSES)


def test_a_proxy_sends_under_grants_falls_back_while_it_is_cut_off_and_comes_back(tmp_path, children):
    partner = children("scalefall.lab.partner", "--limit", "20", *CLASSES)
    port = partner.event("listening")["port"]
    write_site(tmp_path, port, limit="limit 20 per 1s;")
    flags = ("--plain-text", "--log-level", "debug", "--report-every", "0.2", "--lease", "1")
    with running_control(tmp_path, *flags) as process, link_to(process.address) as (address, tell):
        proxy = children("scalefall.lab.proxy", *proxy_flags(address, "20"))
        proxy.event("ended", how="ok")
        partner.event("effect", repeat="never")  # or the audit has none to check
        tell("silence")
        proxy.event("ended", how="fallback")
        tell("reset")
        tell("heal")
        proxy.event("ended", how="ok")
        write_site(tmp_path, port, limit="limit 20 per 1s;", e0="draining")
        reload_configuration(process)
        process.line("configuration read again")
        proxy.event("ended", how="refused")
        assert proxy.end(signal.SIGTERM) == 0
        assert process.end(signal.SIGTERM) == 0
    rows, _ = audit.read_log([*process.printed, *proxy.printed, *partner.printed])
    found = {each.rule: each for each in audit.audit(rows)}
    assert not [each.violations for each in found.values() if each.violations]
    assert found["answer"].checked
    assert found["grants"].checked
    assert found["twice"].checked


def test_without_control_messages_go_over_a_senders_own_front_and_reach_the_partner(tmp_path, children):
    partner = children("scalefall.lab.partner", "--limit", "20", *CLASSES)
    write_site(tmp_path, partner.event("listening")["port"], limit="limit 20 per 1s;")
    (tmp_path / "sender").mkdir()
    sender = children(
        "scalefall", "run", "--config", str(tmp_path), "--state", str(tmp_path / "sender"), "--listen", "127.0.0.1:0"
    )
    front = sender.line("ready: ").split()[-1]
    proxy = children("scalefall.lab.proxy", *proxy_flags("127.0.0.1:1", "10"), "--sender", front)
    name = proxy.event("ended", how="fallback 202")["id"]
    partner.event("effect", id=name)
    assert proxy.end(signal.SIGTERM) == 0
    assert not [line for line in proxy.printed if '"sent"' in line]


def test_a_partner_counts_effects_by_the_classes_it_is_told_of(children):
    partner = children("scalefall.lab.partner", "--limit", "20", "--class", "ledger=freely", "--class", "vote=never")
    port = partner.event("listening")["port"]
    for cls, repeat in (("ledger", "freely"), ("vote", "never"), ("untold", "never")):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PROCESS_TIMEOUT_S)
        connection.request("POST", f"/{cls}", b"body", {"X-Request-Id": cls})
        assert connection.getresponse().status == 200
        connection.close()
        assert partner.event("effect", id=cls)["repeat"] == repeat


@pytest.mark.parametrize("word", ["", "=never", "a", "a=", "a=twice", "a=keyed:soon"])
def test_a_word_that_names_no_class_is_told_in_one_line(children, word):
    partner = children("scalefall.lab.partner", "--limit", "20", "--class", word)
    partner.line(f"argument --class: invalid read_class value: {word!r}")
    assert partner.child.wait(PROCESS_TIMEOUT_S) == 2


def test_a_class_is_read_from_its_word():
    cls = read_class("a=keyed:1.5")
    assert (cls.name, cls.idempotency, cls.key_ttl_us) == ("a", Idempotency.WITH_KEY, 1_500_000)
    assert (read_class("b=never").idempotency, read_class("c=freely").idempotency) == (
        Idempotency.NOT_IDEMPOTENT,
        Idempotency.IDEMPOTENT,
    )
