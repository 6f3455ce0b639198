"""No message is repeated after its key's lifetime, counted from the earliest start of its first attempt, even with a
lifetime of 1 s and a killed process in between."""

import contextlib

import pytest
from helpers import message_class
from nethelp import MS, S
from test_sender import SenderHarness, play

from scalefall.net import http, streams
from scalefall.policy.settings import Idempotency

KEY_LIFETIME_US = S
TICK_US = 5 * MS  # the engine reserves one tick of the lifetime for the sender's next step


@pytest.fixture
def harness(tmp_path):
    """A sender that was killed during the first attempt of a message with a key, which started at `began`."""
    classes = {"keyed": message_class("keyed", Idempotency.WITH_KEY, key_ttl_us=KEY_LIFETIME_US)}
    harness = SenderHarness(tmp_path, classes=classes, tick_us=TICK_US, dial_timeout_us=S)

    def steps():
        harness.world.sleep(MS)
        harness.submitted = harness.world.now()
        harness.submit_accepted("m", cls="keyed", key="k")
        harness.accept_call()
        harness.began = harness.sender.journal.pending["m"].attempt_started_wall_us - harness.sender.wall_offset_us
        harness.kill()

    play(harness, steps)
    return harness


def restart(harness, later):
    """Start the next process this long after the start of the first attempt."""
    harness.world.clock = harness.began + later
    harness.start()


def slow_dial(harness, monkeypatch, duration_us):
    """Delay connections to the endpoint by this duration."""
    dial = streams.dial

    def dial_slowly(scheduler, address, until):
        if address == harness.endpoint.address:
            scheduler.sleep(duration_us)
        return dial(scheduler, address, until)

    monkeypatch.setattr(streams, "dial", dial_slowly)


def assert_repeated(harness):
    sock, request = harness.accept_call()
    assert harness.world.now() <= harness.began + KEY_LIFETIME_US
    assert (request.fields["x-request-id"], request.fields["idempotency-key"]) == ("m", "k")
    sock.send(http.answer(200, []))
    harness.world.wait_until(lambda: harness.pending_ids() == [])
    assert not harness.posts


def assert_not_repeated(harness):
    """Check that the message is reported and no byte of it was sent; a connection may have been opened."""
    assert [report["id"] for report in harness.receive_reports()] == ["m"]
    with contextlib.suppress(BlockingIOError):
        sock, _ = harness.endpoint.listener.accept()
        sock.setblocking(False)
        assert sock.recv(1) == b""


def test_an_attempt_counts_from_its_record_which_precedes_its_first_byte(harness):
    assert harness.submitted <= harness.began <= harness.world.now()


@pytest.mark.parametrize("later", [0, KEY_LIFETIME_US // 2, KEY_LIFETIME_US - TICK_US - MS])
def test_it_is_repeated_within_the_lifetime(harness, later):
    restart(harness, later)
    harness.world.play(lambda: assert_repeated(harness))


@pytest.mark.parametrize("later", [KEY_LIFETIME_US - TICK_US + 1, KEY_LIFETIME_US, KEY_LIFETIME_US + 1, 3 * S])
def test_it_is_not_repeated_after_the_lifetime_or_in_its_last_tick(harness, later):
    restart(harness, later)
    harness.world.play(lambda: assert_not_repeated(harness))


@pytest.mark.parametrize(
    ("dial", "check"),
    [
        (490 * MS, assert_repeated),
        (500 * MS, assert_repeated),
        (501 * MS, assert_not_repeated),
        (990 * MS, assert_not_repeated),
    ],
)
def test_it_is_not_repeated_if_the_dial_outlasts_the_lifetime(harness, monkeypatch, dial, check):
    """The first byte may be sent at the end of the lifetime, to the microsecond, and not after it."""
    slow_dial(harness, monkeypatch, dial)
    restart(harness, KEY_LIFETIME_US // 2)
    harness.world.play(lambda: check(harness))
