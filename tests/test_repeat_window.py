"""Nothing is repeated after its key's window, counted from when the endpoint may have begun, also where that is 1 s and
the process was killed meanwhile."""

import contextlib

import pytest
from helpers import message_class
from nethelp import MS, S
from test_sender import SenderHarness, play

from scalefall.net import http, streams
from scalefall.policy.settings import Idempotency

WINDOW = S
TICK = 5 * MS  # the engine leaves so much of the window for the sender's next step


@pytest.fixture
def harness(tmp_path):
    """A sender that was killed with its first attempt of a keyed message out; `began` is when that may have begun."""
    classes = {"keyed": message_class("keyed", Idempotency.WITH_KEY, key_ttl_us=WINDOW)}
    harness = SenderHarness(tmp_path, classes=classes, tick_us=TICK, dial_timeout_us=S)

    def steps():
        harness.world.sleep(MS)
        harness.handed_in = harness.world.now()
        harness.submit_accepted("m", cls="keyed", key="k")
        harness.accept_call()
        harness.began = harness.sender.journal.pending["m"].attempt_started_wall_us - harness.sender.wall_offset_us
        harness.kill()

    play(harness, steps)
    return harness


def restart(harness, later):
    """The next process starts so long after the first attempt may have begun."""
    harness.world.clock = harness.began + later
    harness.start()


def slow_dial(harness, monkeypatch, span):
    """Connections to the endpoint come up after the span."""
    dial = streams.dial

    def dial_slowly(scheduler, address, until):
        if address == harness.endpoint.address:
            scheduler.sleep(span)
        return dial(scheduler, address, until)

    monkeypatch.setattr(streams, "dial", dial_slowly)


def repeated(harness):
    sock, request = harness.accept_call()
    assert harness.world.now() <= harness.began + WINDOW
    assert (request.fields["x-request-id"], request.fields["idempotency-key"]) == ("m", "k")
    sock.send(http.answer(200, []))
    harness.world.until(lambda: harness.pending_ids() == [])
    assert not harness.posts


def ended(harness):
    """It has its end, and no byte of it went out: a connection may have come up for it."""
    assert [notice["id"] for notice in harness.receive_reports()] == ["m"]
    with contextlib.suppress(BlockingIOError):
        sock, _ = harness.endpoint.listener.accept()
        sock.setblocking(False)
        assert sock.recv(1) == b""


def test_an_attempt_counts_as_begun_from_its_record_which_is_before_its_first_byte(harness):
    assert harness.handed_in <= harness.began <= harness.world.now()


@pytest.mark.parametrize("later", [0, WINDOW // 2, WINDOW - TICK - MS])
def test_within_the_window_it_is_repeated(harness, later):
    restart(harness, later)
    harness.world.play(lambda: repeated(harness))


@pytest.mark.parametrize("later", [WINDOW - TICK + 1, WINDOW, WINDOW + 1, 3 * S])
def test_after_it_or_where_no_look_is_left_within_it_it_is_not(harness, later):
    restart(harness, later)
    harness.world.play(lambda: ended(harness))


@pytest.mark.parametrize(
    ("dial", "ends"), [(490 * MS, repeated), (500 * MS, repeated), (501 * MS, ended), (990 * MS, ended)]
)
def test_a_dial_that_takes_past_the_window_does_not_carry_a_repeat(harness, monkeypatch, dial, ends):
    """To the microsecond: the first byte may go out at the window's end, and not after it."""
    slow_dial(harness, monkeypatch, dial)
    restart(harness, WINDOW // 2)
    harness.world.play(lambda: ends(harness))
