"""The end and the next start of a process, crossed by what may come in that moment; on real sockets, both orders."""

import contextlib
import json
import signal
import socket
from itertools import count

import pytest
from helpers import message_class
from nethelp import MS, STREAM, S, chunk, list_update, listed, reset, woken
from test_journal import used_bytes
from test_sender import SenderHarness, accepted_delivery, play

from scalefall.net import http
from scalefall.net.config import ConfigError
from scalefall.policy.settings import Idempotency


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path)


class Killed(BaseException):
    """SIGKILL: no code that handles errors sees it."""


class Others:
    """Clients, the endpoint and the platform go on while the sender dies and comes back."""

    def __init__(self, harness, answers):
        self.harness, self.answers = harness, list(answers)
        self.calls, self.delivered, self.notices, self.taken = [], set(), set(), False

    def stay(self):
        for task in (self.endpoint, self.platform):
            self.harness.world.spawn(task)

    def endpoint(self):
        while True:
            sock, request = self.harness.accept_call()
            self.calls.append(request.fields["x-request-id"])
            status = self.answers.pop(0) if self.answers else 200
            if status:
                sock.send(http.answer(status, [], keep=False))
                self.delivered |= {self.calls[-1]} if status == 200 else set()
            else:
                reset(sock)

    def platform(self):
        while True:
            sock = self.harness.platform.accept()
            request = self.harness.platform.read(sock)
            if request.method == "GET":
                sock.send(STREAM + chunk(None))
                continue
            self.notices |= {json.loads(line)["id"] for line in request.body.splitlines()}
            sock.send(http.answer(204, [], keep=False))

    def client(self, cls):
        with contextlib.suppress(AssertionError, OSError):  # no answer: nothing is owed
            self.taken = self.harness.read_answer(self.harness.submit("m", cls=cls, key="k")).status == 202


def dies_at(journal, number, before):
    """The process is killed just before, or just after, it has written the record of this number."""
    real, written = journal._append, 0

    def append(record, grows=0):
        nonlocal written
        written += 1
        if written > number or (written == number and before):
            raise Killed
        done = real(record, grows)
        if written == number:
            raise Killed
        return done

    journal._append = append


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("answers", [[200], [500, 200], [None, 200], [503, 503, 200], [500] * 9])
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_killed_at_any_record_what_was_taken_on_has_its_end_and_what_may_have_run_is_not_repeated(
    tmp_path, cls, answers, before
):
    """Each record against the byte that it stands for: the 202, a call's first byte, an outcome, a notice, its 204."""
    for number in count(1):
        (tmp_path / str(number)).mkdir()
        harness = SenderHarness(tmp_path / str(number))
        others, over, killed = Others(harness, answers), [], False
        dies_at(harness.sender.journal, number, before)

        def life(*clients, harness=harness, others=others, over=over):
            others.stay()
            for cls in clients:
                others.client(cls)
            harness.world.sleep(20 * S)
            over.append(True)
            harness.world.stop()

        harness.world.spawn(life, cls)
        try:
            harness.world.run()
        except Killed:
            killed = True
            harness.kill()
            harness.start()
            harness.world.spawn(life)
            harness.world.run()
        assert over
        assert harness.world.broken is None
        assert not others.taken or "m" in others.delivered | others.notices, f"record {number}: no end"
        assert cls != "unsafe" or len(others.calls) <= 1 + answers.count(503), f"record {number}: sent again"
        assert harness.pending_ids() == []
        harness.kill()
        if not killed:  # it has no more records than that
            break
    assert number > 3


def ends(harness, steps):
    """Whether the process ends by itself, in time after it was first told to, however long the steps would go on."""
    close, told = harness.sender.close, []

    def closed():
        told.append(harness.world.now())
        close()

    def whole():
        harness.accept_watch()
        steps()
        harness.world.sleep(60 * S)

    harness.sender.close = closed
    harness.world.spawn(whole)
    harness.world.run()
    assert harness.world.broken is None
    return harness.world.now() - told[0] < 3300 * MS


@pytest.mark.parametrize("more", ["SIGTERM", "SIGHUP", "SIGHUP to a broken file"])
@pytest.mark.parametrize("later", [0, 1200 * MS])
def test_what_comes_again_while_the_process_ends_does_not_hold_it_up(harness, more, later):
    def broken():
        raise ConfigError("seen in a test")

    def steps():
        harness.submit_accepted("m")
        calls.append(harness.accept_call())  # hangs
        harness.sender.close()
        harness.world.sleep(later)
        if more == "SIGTERM":
            harness.sender.close()
        else:
            harness.sender.reload(broken if "broken" in more else lambda: harness.sender.config)

    calls = []
    assert ends(harness, steps)
    assert harness.pending_ids() == ["m"]


@pytest.mark.parametrize("asked", ["before", "after"])
def test_sigterm_before_the_first_look_answers_who_has_come(harness, asked):
    """The signal came while the process started: it is heeded in the first look, beside the first client."""
    world, socks = harness.world, []
    before = signal.getsignal(signal.SIGUSR1)

    def sigterm():
        if asked == "after":
            socks.append(harness.submit("m"))
        harness.sender.close()

    try:
        world.on_signal(signal.SIGUSR1, sigterm)
        if asked == "before":
            socks.append(harness.submit("m"))
        signal.raise_signal(signal.SIGUSR1)

        def steps():
            harness.accept_watch()
            assert harness.read_answer(socks[0]).status == 202
            harness.accept_call()[0].send(http.answer(200, []))
            world.sleep(60 * S)

        world.spawn(steps)
        world.run()
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)
    assert world.broken is None
    assert harness.pending_ids() == []
    assert world.now() - harness.sender.shutdown.started_at_us < 3300 * MS


@pytest.mark.parametrize("heard", [False, True])
def test_a_notice_whose_answer_is_lost_as_the_process_ends_goes_out_again(harness, heard):
    """The platform may have heard it; twice told does no harm."""

    def steps():
        harness.submit_accepted("m", dest=7, cls="unsafe")
        reset(harness.accept_call()[0])  # it may have run: failed
        harness.sender.close()
        while not harness.posts:
            harness.accept_platform()
        if heard:
            harness.posts[0][0].close()  # with its 204 on the way

    assert ends(harness, steps)
    assert harness.pending_ids() == ["m"]
    harness.posts.clear()
    harness.kill()
    harness.start()
    play(harness, lambda: harness.receive_reports() == [{"id": "m", "state": "failed"}] or pytest.fail("not told"))


def test_calls_that_hang_as_the_process_ends_are_out_to_the_next_one(harness):
    """Out at 3.2 s with no answer: what may be repeated goes out again, what must not fails."""
    calls = []

    def steps():
        harness.submit_accepted("a", cls="safe")
        harness.submit_accepted("b", cls="unsafe")
        calls.extend((harness.accept_call(), harness.accept_call()))
        harness.sender.close()

    assert ends(harness, steps)
    assert harness.pending_ids() == ["a", "b"]
    harness.kill()
    harness.start()

    def again():
        sock, request = harness.accept_call()
        assert request.fields["x-request-id"] == "a"
        sock.send(http.answer(200, []))
        assert harness.receive_reports() == [{"id": "b", "state": "failed"}]
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, again)


def test_what_is_owed_of_a_class_that_the_next_settings_have_no_more_is_failed_at_once(harness):
    def steps():
        harness.sender.journal.record_accepted(accepted_delivery(harness, "m", "keyed"))
        harness.kill()

    play(harness, steps)
    harness.changes["classes"] = {"other": message_class("other", Idempotency.NOT_IDEMPOTENT)}
    harness.start()
    play(harness, lambda: harness.receive_reports() == [{"id": "m", "state": "failed"}] or pytest.fail("not told"))


@pytest.mark.parametrize("cls", ["safe", "keyed", "zoned", "unsafe"])
def test_what_a_restart_finds_in_a_full_folder_is_sent(tmp_path, cls):
    """The journal keeps room for each call's record beside what it has taken on."""
    harness = SenderHarness(tmp_path, disk=150_000, max_queued=5000, call_slots=50)

    def steps():
        while harness.sender.journal.record_accepted(accepted_delivery(harness, f"m{len(harness.pending_ids())}", cls)):
            pass
        harness.kill()

    play(harness, steps)
    harness.start()

    def again():
        names = set(harness.pending_ids())
        assert len(names) > 100
        assert harness.read_answer(harness.submit("more", cls="safe")).status == 503
        while names:
            sock, request = harness.accept_call()
            names.discard(request.fields["x-request-id"])
            sock.send(http.answer(200, [], keep=False))
            assert used_bytes(tmp_path) <= 150_000
            harness.world.sleep(MS)
        assert not harness.posts

    play(harness, again)


@pytest.mark.parametrize("first", ["the list", "the death of its watch"])
def test_a_change_in_the_moment_in_which_its_watch_breaks_is_told(harness, first):
    """Where the word came first it holds; where the break came first the next watch brings it."""

    def steps():
        word = chunk(list_update(2, listed("e", harness.endpoint.address, health="terminating")))
        woken(harness.world)
        if first == "the list":
            harness.watch.send(word)
        harness.watch.close()
        if first != "the list":
            harness.accept_watch()
            harness.watch.send(word)
        harness.world.until(lambda: "e" in harness.sender.endpoint_list.left_at)

    play(harness, steps)


def test_a_client_that_hands_in_and_leaves_in_one_moment_leaves_nothing_that_is_sent(harness):
    """Its request and its end lie there together as they are read."""

    def steps():
        woken(harness.world)
        sock = harness.submit("gone")
        sock.shutdown(socket.SHUT_WR)
        sock.close()
        harness.world.sleep(S)
        assert harness.pending_ids() == []
        assert harness.endpoint.accepted == 0
        harness.submit_accepted("stays")
        assert harness.accept_call()[1].fields["x-request-id"] == "stays"

    play(harness, steps)
