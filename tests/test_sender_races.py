"""The end and the next start of a process, crossed by what may come in that moment; on real sockets, both orders."""

import contextlib
import json
import signal
import socket
from itertools import count

import pytest
from helpers import message_class
from nethelp import MS, STREAM_HEAD, S, chunk, host_row, list_update, reset, resume_within_poll
from test_journal import used_bytes
from test_sender import Firm, owed, play

from scalefall.net import http
from scalefall.net.config import ConfigError
from scalefall.policy.settings import Idempotency


@pytest.fixture
def firm(tmp_path):
    return Firm(tmp_path)


class Killed(BaseException):
    """SIGKILL: no code that handles errors sees it."""


class Others:
    """Clients, the endpoint and the platform go on while the sender dies and comes back."""

    def __init__(self, firm, answers):
        self.firm, self.answers = firm, list(answers)
        self.calls, self.delivered, self.notices, self.taken = [], set(), set(), False

    def stay(self):
        for task in (self.endpoint, self.platform):
            self.firm.world.spawn(task)

    def endpoint(self):
        while True:
            sock, request = self.firm.call()
            self.calls.append(request.fields["x-request-id"])
            status = self.answers.pop(0) if self.answers else 200
            if status:
                sock.send(http.answer(status, [], keep=False))
                self.delivered |= {self.calls[-1]} if status == 200 else set()
            else:
                reset(sock)

    def platform(self):
        while True:
            sock = self.firm.platform.accept()
            request = self.firm.platform.read(sock)
            if request.method == "GET":
                sock.send(STREAM_HEAD + chunk(None))
                continue
            self.notices |= {json.loads(line)["id"] for line in request.body.splitlines()}
            sock.send(http.answer(204, [], keep=False))

    def client(self, cls):
        with contextlib.suppress(AssertionError, OSError):  # no answer: nothing is owed
            self.taken = self.firm.answer(self.firm.hand_in("m", cls=cls, key="k")).status == 202


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
        firm = Firm(tmp_path / str(number))
        others, over, killed = Others(firm, answers), [], False
        dies_at(firm.sender.journal, number, before)

        def life(*clients, firm=firm, others=others, over=over):
            others.stay()
            for cls in clients:
                others.client(cls)
            firm.world.sleep(20 * S)
            over.append(True)
            firm.world.stop()

        firm.world.spawn(life, cls)
        try:
            firm.world.run()
        except Killed:
            killed = True
            firm.die()
            firm.start()
            firm.world.spawn(life)
            firm.world.run()
        assert over
        assert firm.world.failure is None
        assert not others.taken or "m" in others.delivered | others.notices, f"record {number}: no end"
        assert cls != "unsafe" or len(others.calls) <= 1 + answers.count(503), f"record {number}: sent again"
        assert firm.owed() == []
        firm.die()
        if not killed:  # it has no more records than that
            break
    assert number > 3


def ends(firm, steps):
    """Whether the process ends by itself, in time after it was first told to, however long the steps would go on."""
    close, told = firm.sender.close, []

    def closed():
        told.append(firm.world.now())
        close()

    def whole():
        firm.watched()
        steps()
        firm.world.sleep(60 * S)

    firm.sender.close = closed
    firm.world.spawn(whole)
    firm.world.run()
    assert firm.world.failure is None
    return firm.world.now() - told[0] < 3300 * MS


@pytest.mark.parametrize("more", ["SIGTERM", "SIGHUP", "SIGHUP to a broken file"])
@pytest.mark.parametrize("later", [0, 1200 * MS])
def test_what_comes_again_while_the_process_ends_does_not_hold_it_up(firm, more, later):
    def broken():
        raise ConfigError("seen in a test")

    def steps():
        firm.taken("m")
        calls.append(firm.call())  # hangs
        firm.sender.close()
        firm.world.sleep(later)
        if more == "SIGTERM":
            firm.sender.close()
        else:
            firm.sender.reload(broken if "broken" in more else lambda: firm.sender.config)

    calls = []
    assert ends(firm, steps)
    assert firm.owed() == ["m"]


@pytest.mark.parametrize("asked", ["before", "after"])
def test_sigterm_before_the_first_look_answers_who_has_come(firm, asked):
    """The signal came while the process started: it is heeded in the first look, beside the first client."""
    world, socks = firm.world, []
    before = signal.getsignal(signal.SIGUSR1)

    def sigterm():
        if asked == "after":
            socks.append(firm.hand_in("m"))
        firm.sender.close()

    try:
        world.on_signal(signal.SIGUSR1, sigterm)
        if asked == "before":
            socks.append(firm.hand_in("m"))
        signal.raise_signal(signal.SIGUSR1)

        def steps():
            firm.watched()
            assert firm.answer(socks[0]).status == 202
            firm.call()[0].send(http.answer(200, []))
            world.sleep(60 * S)

        world.spawn(steps)
        world.run()
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)
    assert world.failure is None
    assert firm.owed() == []
    assert world.now() - firm.sender.shutdown.started_at_us < 3300 * MS


@pytest.mark.parametrize("heard", [False, True])
def test_a_notice_whose_answer_is_lost_as_the_process_ends_goes_out_again(firm, heard):
    """The platform may have heard it; twice told does no harm."""

    def steps():
        firm.taken("m", dest=7, cls="unsafe")
        reset(firm.call()[0])  # it may have run: failed
        firm.sender.close()
        while not firm.posts:
            firm.platform_met()
        if heard:
            firm.posts[0][0].close()  # with its 204 on the way

    assert ends(firm, steps)
    assert firm.owed() == ["m"]
    firm.posts.clear()
    firm.die()
    firm.start()
    play(firm, lambda: firm.notices() == [{"id": "m", "state": "failed"}] or pytest.fail("not told"))


def test_calls_that_hang_as_the_process_ends_are_out_to_the_next_one(firm):
    """Out at 3.2 s with no answer: what may be repeated goes out again, what must not fails."""
    calls = []

    def steps():
        firm.taken("a", cls="safe")
        firm.taken("b", cls="unsafe")
        calls.extend((firm.call(), firm.call()))
        firm.sender.close()

    assert ends(firm, steps)
    assert firm.owed() == ["a", "b"]
    firm.die()
    firm.start()

    def again():
        sock, request = firm.call()
        assert request.fields["x-request-id"] == "a"
        sock.send(http.answer(200, []))
        assert firm.notices() == [{"id": "b", "state": "failed"}]
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, again)


def test_what_is_owed_of_a_class_that_the_next_settings_have_no_more_is_failed_at_once(firm):
    def steps():
        firm.sender.journal.record_accepted(owed(firm, "m", "keyed"))
        firm.die()

    play(firm, steps)
    firm.changes["classes"] = {"other": message_class("other", Idempotency.NOT_IDEMPOTENT)}
    firm.start()
    play(firm, lambda: firm.notices() == [{"id": "m", "state": "failed"}] or pytest.fail("not told"))


@pytest.mark.parametrize("cls", ["safe", "keyed", "zoned", "unsafe"])
def test_what_a_restart_finds_in_a_full_folder_is_sent(tmp_path, cls):
    """The journal keeps room for each call's record beside what it has taken on."""
    firm = Firm(tmp_path, disk=150_000, max_queued=5000, call_slots=50)

    def steps():
        while firm.sender.journal.record_accepted(owed(firm, f"m{len(firm.owed())}", cls)):
            pass
        firm.die()

    play(firm, steps)
    firm.start()

    def again():
        names = set(firm.owed())
        assert len(names) > 100
        assert firm.answer(firm.hand_in("more", cls="safe")).status == 503
        while names:
            sock, request = firm.call()
            names.discard(request.fields["x-request-id"])
            sock.send(http.answer(200, [], keep=False))
            assert used_bytes(tmp_path) <= 150_000
            firm.world.sleep(MS)
        assert not firm.posts

    play(firm, again)


@pytest.mark.parametrize("first", ["the list", "the death of its watch"])
def test_a_change_in_the_moment_in_which_its_watch_breaks_is_told(firm, first):
    """Where the word came first it holds; where the break came first the next watch brings it."""

    def steps():
        word = chunk(list_update(2, host_row("e", firm.endpoint.address, health="terminating")))
        resume_within_poll(firm.world)
        if first == "the list":
            firm.watch.send(word)
        firm.watch.close()
        if first != "the list":
            firm.watched()
            firm.watch.send(word)
        firm.world.wait_until(lambda: "e" in firm.sender.endpoint_list.left_at)

    play(firm, steps)


def test_a_client_that_hands_in_and_leaves_in_one_moment_leaves_nothing_that_is_sent(firm):
    """Its request and its end lie there together as they are read."""

    def steps():
        resume_within_poll(firm.world)
        sock = firm.hand_in("gone")
        sock.shutdown(socket.SHUT_WR)
        sock.close()
        firm.world.sleep(S)
        assert firm.owed() == []
        assert firm.endpoint.accepted == 0
        firm.taken("stays")
        assert firm.call()[1].fields["x-request-id"] == "stays"

    play(firm, steps)
