"""SIGHUP with changed settings: classes and the attempt limit change, and pending messages keep their rules."""

from dataclasses import replace

import pytest
from helpers import message_class, settings
from nethelp import S, StubServer, list_update, host_row, reset
from test_sender import SenderHarness, play

from scalefall.net import http
from scalefall.net.config import ConfigError
from scalefall.net.list_stream import read_list
from scalefall.policy.settings import Idempotency


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path)


def reload_settings(harness, *classes, **changes):
    new = settings(classes={cls.name: cls for cls in classes}, **changes)
    harness.sender.reload(lambda: replace(harness.sender.config, settings=new))


def test_new_classes_apply_at_once_and_removed_ones_only_to_pending_messages(harness):
    def steps():
        harness.submit_accepted("old")
        sock, _ = harness.accept_call()
        reload_settings(
            harness, message_class("fresh", Idempotency.NOT_IDEMPOTENT), message_class("unsafe"), max_attempts=1
        )
        assert harness.read_answer(harness.submit("no")).status == 404
        for _ in range(5):  # the attempt limit as of its acceptance
            sock.send(http.answer(504, [], keep=False))
            sock, request = harness.accept_call()
            assert request.fields["x-request-id"] == "old"
        sock.send(http.answer(200, [], keep=False))
        harness.submit_accepted("new", cls="fresh")
        sock, request = harness.accept_call()
        reset(sock)  # it may have run, and its class is not idempotent
        assert request.fields["x-request-id"] == "new"
        assert harness.receive_reports() == [{"id": "new", "state": "failed"}]
        harness.submit_accepted("other", cls="unsafe")  # the attempt limit is 1 now
        harness.accept_call()[0].send(http.answer(504, [], keep=False))
        assert [report["state"] for report in harness.receive_reports()] == ["returned"]

    play(harness, steps)


def test_a_pending_message_that_is_not_idempotent_stays_so_after_a_reload(harness):
    def steps():
        harness.submit_accepted("old", cls="unsafe")
        sock, _ = harness.accept_call()
        reload_settings(harness, message_class("unsafe", Idempotency.IDEMPOTENT))
        reset(sock)
        assert harness.receive_reports() == [{"id": "old", "state": "failed"}]
        assert harness.endpoint.accepted == 1

    play(harness, steps)


def test_a_reload_of_an_unchanged_or_invalid_configuration_changes_nothing(harness, caplog):
    def broken():
        raise ConfigError("settings: grades[0].deadline must be a number")

    def steps():
        for again in (lambda: harness.sender.config, broken):
            harness.sender.reload(again)
            harness.submit_accepted(f"m{again is broken}")
        assert "not taken, the old settings stay: settings: grades[0].deadline" in caplog.text
        assert "settings changed" not in caplog.text

    play(harness, steps)


@pytest.mark.parametrize(
    ("before", "after", "taken"),
    [
        ({"discovery", "limits.sockets"}, {"discovery", "limits.sockets", "admin"}, True),
        ({"limits.sockets"}, {"limits.sockets"}, True),  # the environment has named discovery from the start
        ({"discovery", "limits.sockets"}, {"limits.sockets"}, False),
        ({"discovery", "limits.sockets"}, {"discovery"}, False),
    ],
)
def test_a_configuration_that_lacks_a_key_of_the_one_in_force_is_not_taken(harness, caplog, before, after, taken):
    """Guards against an incomplete file: what stood in for its missing address was that of the process's start."""
    other = StubServer(harness.world)

    def reload_from(address, keys):
        harness.sender.reload(lambda: replace(harness.sender.config, discovery=address, keys=frozenset(keys)))

    def steps():
        reload_from(harness.platform.address, before)
        reload_from(other.address, after)
        assert ("missing keys" in caplog.text) is not taken
        harness.submit_accepted("m", cls="unsafe")
        reset(harness.accept_call()[0])  # it may have run: failed, with a report
        platform = other if taken else harness.platform
        while platform.read(sock := platform.accept()).method != "POST":
            sock.close()

    play(harness, steps)


def test_what_a_configuration_lacks_is_compared_with_the_last_one_that_was_taken(harness):
    """A key that came with a later file has to stay, too, and a file that was not taken changes nothing of this."""

    def reload_with(*keys):
        harness.sender.reload(lambda: replace(harness.sender.config, keys=frozenset(keys)))
        return harness.sender.reloader._keys

    def steps():
        assert reload_with("discovery") == {"discovery"}
        assert reload_with("discovery", "admin") == {"discovery", "admin"}
        assert reload_with("admin", "peers") == {"discovery", "admin"}

    play(harness, steps)


KEYED = {"idempotency": Idempotency.WITH_KEY}
CHANGED = {  # the class at acceptance, the class at the next start, the message's final answer
    "was not idempotent, now is": ({"idempotency": Idempotency.NOT_IDEMPOTENT}, {}, "failed"),
    "had a shorter key lifetime": (KEYED | {"key_ttl_us": S}, KEYED | {"key_ttl_us": 7 * S}, "returned"),
    "had keys valid in one zone only": (KEYED | {"key_scope_zone": True}, KEYED, "failed"),
    "was idempotent, now is not": ({}, {"idempotency": Idempotency.NOT_IDEMPOTENT}, None),
}


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("change", CHANGED)
def test_a_message_that_may_have_run_is_repeated_by_the_rules_of_its_acceptance(tmp_path, change, restarts):
    """Guards against a restart that applies changed settings to restored messages: it repeated one that was not
    idempotent, one after its key's lifetime, or one in a zone that does not know the key."""
    before, after, end = CHANGED[change]
    harness = SenderHarness(tmp_path, classes={"c": message_class("c", **before)})

    def steps():
        harness.submit_accepted("m", cls="c", key="k")
        harness.accept_call()
        harness.kill()
        harness.world.clock += 2 * S

    play(harness, steps)
    harness.changes["classes"] = {"c": message_class("c", **after)}
    harness.known = read_list(
        list_update(2, host_row("e", harness.endpoint.address) | {"site": "b"})
    )  # the endpoint is in another zone now
    for _ in range(restarts - 1):  # the journal is compacted in between
        harness.start()
        harness.sender.journal.compact()
        harness.kill()
    harness.start()

    def after_restart():
        if end:
            assert [(report["id"], report["state"]) for report in harness.receive_reports()] == [("m", end)]
            with pytest.raises(BlockingIOError):
                harness.endpoint.listener.accept()  # no attempt since
        else:
            sock, request = harness.accept_call()
            assert request.fields["x-request-id"] == "m"
            sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, after_restart)
