"""SIGHUP with other settings: classes come and go, attempts become fewer, and what is open keeps its rules."""

from dataclasses import replace

import pytest
from helpers import message_class, settings
from nethelp import S, host_row, list_update, reset
from test_sender import Firm, play

from scalefall.net import http
from scalefall.net.config import ConfigError
from scalefall.net.list_stream import read_list
from scalefall.policy.settings import Idempotency


@pytest.fixture
def firm(tmp_path):
    return Firm(tmp_path)


def retune(firm, *classes, **changes):
    new = settings(classes={cls.name: cls for cls in classes}, **changes)
    firm.sender.reload(lambda: replace(firm.sender.config, settings=new))


def test_new_classes_hold_at_once_and_dropped_ones_only_for_what_is_open(firm):
    def steps():
        firm.taken("old")
        sock, _ = firm.call()
        retune(firm, message_class("fresh", Idempotency.NOT_IDEMPOTENT), message_class("unsafe"), max_attempts=1)
        assert firm.answer(firm.hand_in("no")).status == 404
        for _ in range(5):  # attempts as they were when it was taken on
            sock.send(http.answer(504, [], keep=False))
            sock, request = firm.call()
            assert request.fields["x-request-id"] == "old"
        sock.send(http.answer(200, [], keep=False))
        firm.taken("new", cls="fresh")
        sock, request = firm.call()
        reset(sock)  # it may have run: under its class's rules it is over
        assert request.fields["x-request-id"] == "new"
        assert firm.notices() == [{"id": "new", "state": "failed"}]
        firm.taken("other", cls="unsafe")  # one attempt from now on
        firm.call()[0].send(http.answer(504, [], keep=False))
        assert [notice["state"] for notice in firm.notices()] == ["returned"]

    play(firm, steps)


def test_a_class_that_may_not_be_repeated_stays_so_for_what_is_open(firm):
    def steps():
        firm.taken("old", cls="unsafe")
        sock, _ = firm.call()
        retune(firm, message_class("unsafe", Idempotency.IDEMPOTENT))
        reset(sock)
        assert firm.notices() == [{"id": "old", "state": "failed"}]
        assert firm.endpoint.accepted == 1

    play(firm, steps)


def test_a_configuration_read_again_that_is_the_same_or_broken_changes_nothing(firm, caplog):
    def broken():
        raise ConfigError("settings: grades[0].deadline must be a number")

    def steps():
        for again in (lambda: firm.sender.config, broken):
            firm.sender.reload(again)
            firm.taken(f"m{again is broken}")
        assert "not taken, the old settings stay: settings: grades[0].deadline" in caplog.text
        assert "retuned" not in caplog.text

    play(firm, steps)


KEYED = {"effect": Idempotency.WITH_KEY}
CHANGED = {  # what a class was as its message was taken on, what it is at the next start, and that message's end
    "not to be repeated, now it may be": ({"effect": Idempotency.NOT_IDEMPOTENT}, {}, "failed"),
    "its window was shorter": (KEYED | {"key_ttl_us": S}, KEYED | {"key_ttl_us": 7 * S}, "returned"),
    "repeats were dropped in their zone alone": (KEYED | {"key_scope_zone": True}, KEYED, "failed"),
    "it could be repeated, now it may not": ({}, {"effect": Idempotency.NOT_IDEMPOTENT}, None),
}


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("change", CHANGED)
def test_what_may_have_run_is_repeated_as_its_class_was_when_it_was_taken_on(tmp_path, change, restarts):
    """A restart on changed settings took those of now for what the process before had left: a message that must not run
    twice was sent again, or one past its window, or in a zone that does not know the repeat."""
    before, after, end = CHANGED[change]
    firm = Firm(tmp_path, classes={"c": message_class("c", **before)})

    def steps():
        firm.taken("m", cls="c", key="k")
        firm.call()
        firm.die()
        firm.world.clock += 2 * S

    play(firm, steps)
    firm.changes["classes"] = {"c": message_class("c", **after)}
    firm.known = read_list(
        list_update(2, host_row("e", firm.endpoint.address) | {"site": "b"})
    )  # another zone than before
    for _ in range(restarts - 1):  # what was read is written anew
        firm.start()
        firm.sender.journal.compact()
        firm.die()
    firm.start()

    def again():
        if end:
            assert [(n["id"], n["state"]) for n in firm.notices()] == [("m", end)]
            with pytest.raises(BlockingIOError):
                firm.endpoint.listener.accept()  # nobody dialled since
        else:
            sock, request = firm.call()
            assert request.fields["x-request-id"] == "m"
            sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, again)
