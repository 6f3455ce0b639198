"""Proxy passes against an endpoint that the test plays: the table of outcomes, and what connections go through."""
import pytest
from helpers import settings
from nethelp import Calls, Peer, S, World

from scalefall import interface as i
from scalefall.net import http

O = i.Outcome  # noqa: E741


@pytest.fixture
def world():
    return World()


def answer(status, fields=(), body=b""):
    return http.answer(status, list(fields), body)


def test_what_might_take_effect_twice_by_now_is_left_out_of_a_call(world):
    """A call whose dial took past the end of a key's window went out all the same: sent again outside its window."""
    def play():
        peer = Peer(world)
        calls = Calls(world, settings(), peer.address)
        calls.passes.begin(calls.entry, [calls.load("late", begin_by=world.now() - 1),
                                         calls.load("fine", begin_by=world.now() + S)])
        sock = peer.accept()
        assert peer.read(sock).fields["x-request-id"] == "fine"
        assert calls.outcome("late").outcome is O.NOT_SENT
        sock.send(answer(200))
        assert calls.outcome("fine").outcome is O.OK
    world.play(play)


def test_nothing_goes_out_if_all_of_a_call_is_too_late_and_its_connection_is_kept(world):
    def play():
        peer = Peer(world)
        calls = Calls(world, settings(), peer.address)
        calls.passes.begin(calls.entry, [calls.load("late", begin_by=world.now() - 1)])
        sock = peer.accept()
        assert calls.outcome("late").outcome is O.NOT_SENT
        calls.begin("next")
        assert peer.read(sock).fields["x-request-id"] == "next" and peer.accepted == 1
    world.play(play)
