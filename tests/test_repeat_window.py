"""Nothing is repeated after its key's window, counted from when the endpoint may have begun, also where that is 1 s and
the process was killed meanwhile."""

import contextlib

import pytest
from helpers import message_class
from nethelp import MS, S
from test_sender import Firm, play

from scalefall.net import http, streams
from scalefall.policy.settings import Idempotency

WINDOW = S
TICK = 5 * MS  # the engine leaves so much of the window for the sender's next step


@pytest.fixture
def firm(tmp_path):
    """A sender that was killed with its first attempt of a keyed message out; `began` is when that may have begun."""
    classes = {"keyed": message_class("keyed", Idempotency.WITH_KEY, key_ttl_us=WINDOW)}
    firm = Firm(tmp_path, classes=classes, tick_us=TICK, dial_timeout_us=S)

    def steps():
        firm.world.sleep(MS)
        firm.handed_in = firm.world.now()
        firm.taken("m", cls="keyed", key="k")
        firm.call()
        firm.began = firm.sender.journal.pending["m"].attempt_started_wall_us - firm.sender.wall_offset_us
        firm.die()

    play(firm, steps)
    return firm


def restart(firm, later):
    """The next process starts so long after the first attempt may have begun."""
    firm.world.clock = firm.began + later
    firm.start()


def slow_dial(firm, monkeypatch, span):
    """Connections to the endpoint come up after the span."""
    dial = streams.dial

    def dial_slowly(scheduler, address, until):
        if address == firm.endpoint.address:
            scheduler.sleep(span)
        return dial(scheduler, address, until)

    monkeypatch.setattr(streams, "dial", dial_slowly)


def repeated(firm):
    sock, request = firm.call()
    assert firm.world.now() <= firm.began + WINDOW
    assert (request.fields["x-request-id"], request.fields["idempotency-key"]) == ("m", "k")
    sock.send(http.answer(200, []))
    firm.world.wait_until(lambda: firm.owed() == [])
    assert not firm.posts


def ended(firm):
    """It has its end, and no byte of it went out: a connection may have come up for it."""
    assert [notice["id"] for notice in firm.notices()] == ["m"]
    with contextlib.suppress(BlockingIOError):
        sock, _ = firm.endpoint.listener.accept()
        sock.setblocking(False)
        assert sock.recv(1) == b""


def test_an_attempt_counts_as_begun_from_its_record_which_is_before_its_first_byte(firm):
    assert firm.handed_in <= firm.began <= firm.world.now()


@pytest.mark.parametrize("later", [0, WINDOW // 2, WINDOW - TICK - MS])
def test_within_the_window_it_is_repeated(firm, later):
    restart(firm, later)
    firm.world.play(lambda: repeated(firm))


@pytest.mark.parametrize("later", [WINDOW - TICK + 1, WINDOW, WINDOW + 1, 3 * S])
def test_after_it_or_where_no_look_is_left_within_it_it_is_not(firm, later):
    restart(firm, later)
    firm.world.play(lambda: ended(firm))


@pytest.mark.parametrize(
    ("dial", "ends"), [(490 * MS, repeated), (500 * MS, repeated), (501 * MS, ended), (990 * MS, ended)]
)
def test_a_dial_that_takes_past_the_window_does_not_carry_a_repeat(firm, monkeypatch, dial, ends):
    """To the microsecond: the first byte may go out at the window's end, and not after it."""
    slow_dial(firm, monkeypatch, dial)
    restart(firm, WINDOW // 2)
    firm.world.play(lambda: ends(firm))
