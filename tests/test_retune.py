"""SIGHUP with other settings: classes come and go, attempts become fewer, and what is open keeps its rules."""
from dataclasses import replace

import pytest
from helpers import message_class, settings
from nethelp import reset
from test_host import Firm, play

from scalefall import interface as i
from scalefall.net import http
from scalefall.net.config import ConfigError


@pytest.fixture
def firm(tmp_path):
    return Firm(tmp_path)


def retune(firm, *classes, **changes):
    new = settings(classes={cls.name: cls for cls in classes}, **changes)
    firm.host.reload(lambda: replace(firm.host._config, settings=new))


def test_new_classes_hold_at_once_and_dropped_ones_only_for_what_is_open(firm):
    def steps():
        firm.taken("old")
        sock, _ = firm.call()
        retune(firm, message_class("fresh", i.Effect.UNSAFE), message_class("unsafe"), max_attempts=1)
        assert firm.answer(firm.hand_in("no")).status == 404
        for _ in range(5):      # attempts as they were when it was taken on
            sock.send(http.answer(504, [], keep=False))
            sock, request = firm.call()
            assert request.fields["x-request-id"] == "old"
        sock.send(http.answer(200, [], keep=False))
        firm.taken("new", cls="fresh")
        sock, request = firm.call()
        reset(sock)             # it may have run: under its class's rules it is over
        assert request.fields["x-request-id"] == "new" and firm.notices() == [{"id": "new", "state": "failed"}]
        firm.taken("other", cls="unsafe")       # one attempt from now on
        firm.call()[0].send(http.answer(504, [], keep=False))
        assert [notice["state"] for notice in firm.notices()] == ["returned"]
    play(firm, steps)


def test_a_class_that_may_not_be_repeated_stays_so_for_what_is_open(firm):
    def steps():
        firm.taken("old", cls="unsafe")
        sock, _ = firm.call()
        retune(firm, message_class("unsafe", i.Effect.SAFE))
        reset(sock)
        assert firm.notices() == [{"id": "old", "state": "failed"}] and firm.endpoint.accepted == 1
    play(firm, steps)


def test_a_configuration_read_again_that_is_the_same_or_broken_changes_nothing(firm, caplog):
    def broken():
        raise ConfigError("settings: grades[0].deadline must be a number")

    def steps():
        for again in (lambda: firm.host._config, broken):
            firm.host.reload(again)
            firm.taken(f"m{again is broken}")
        assert "not taken, the old settings stay: settings: grades[0].deadline" in caplog.text
        assert "retuned" not in caplog.text
    play(firm, steps)
