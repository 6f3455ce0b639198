"""Races of shutdown and restart with concurrent events, on real sockets and in both orders."""

import contextlib
import json
import signal
import socket
from itertools import count

import pytest
from helpers import message_class
from nethelp import MS, STREAM_HEAD, S, chunk, host_row, list_update, reset, resume_within_poll
from test_journal import used_bytes
from test_sender import SenderHarness, accepted_delivery, play

from scalefall.net import http, streams
from scalefall.net.config import ConfigError
from scalefall.net.delivery_request import Accepted, DeliveryRequest
from scalefall.net.shutdown import LAST_POLL_US
from scalefall.policy.settings import Idempotency


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path)


class Killed(BaseException):
    """Stands for SIGKILL: derived from BaseException, so that no error handling catches it."""


class Environment:
    """The client, the endpoint and the platform, which keep running while the sender is killed and restarted."""

    def __init__(self, harness, answers):
        self.harness, self.answers = harness, list(answers)
        self.calls, self.delivered, self.reported, self.accepted = [], set(), set(), False

    def start(self):
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
                sock.send(STREAM_HEAD + chunk(None))
                continue
            self.reported |= {json.loads(line)["id"] for line in request.body.splitlines()}
            sock.send(http.answer(204, [], keep=False))

    def client(self, cls):
        with contextlib.suppress(AssertionError, OSError):  # without an answer the message need not end
            self.accepted = self.harness.read_answer(self.harness.submit("m", cls=cls, key="k")).status == 202


def kill_at_record(journal, number, before):
    """Kill the process just before or just after it writes the journal record with this number."""
    real, written = journal._append, 0

    def append(record, more_copy_bytes=0):
        nonlocal written
        written += 1
        if written > number or (written == number and before):
            raise Killed
        done = real(record, more_copy_bytes)
        if written == number:
            raise Killed
        return done

    journal._append = append


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("answers", [[200], [500, 200], [None, 200], [503, 503, 200], [500] * 9])
@pytest.mark.parametrize("cls", ["safe", "keyed", "unsafe"])
def test_after_a_kill_at_any_record_accepted_messages_end_and_those_that_may_have_run_are_not_repeated(
    tmp_path, cls, answers, before
):
    """Guards the order of each record and the byte that depends on it: the 202, the first byte of a call, an outcome, a
    delivery report, its 204."""
    for number in count(1):
        (tmp_path / str(number)).mkdir()
        harness = SenderHarness(tmp_path / str(number))
        environment, finished, killed = Environment(harness, answers), [], False
        kill_at_record(harness.sender.journal, number, before)

        def run_process(*clients, harness=harness, environment=environment, finished=finished):
            environment.start()
            for cls in clients:
                environment.client(cls)
            harness.world.sleep(20 * S)
            finished.append(True)
            harness.world.stop()

        harness.world.spawn(run_process, cls)
        try:
            harness.world.run()
        except Killed:
            killed = True
            harness.kill()
            harness.start()
            harness.world.spawn(run_process)
            harness.world.run()
        assert finished
        assert harness.world.failure is None
        assert not environment.accepted or "m" in environment.delivered | environment.reported, (
            f"record {number}: neither delivered nor reported"
        )
        assert cls != "unsafe" or len(environment.calls) <= 1 + answers.count(503), f"record {number}: repeated"
        assert harness.pending_ids() == []
        harness.kill()
        if not killed:  # all records have been covered
            break
    assert number > 3


def ends_in_time(harness, steps):
    """Return whether the process ends within the time limit of a shutdown, however long the steps take."""
    close, closed_at = harness.sender.close, []

    def record_and_close():
        closed_at.append(harness.world.now())
        close()

    def run_steps():
        harness.accept_watch()
        steps()
        harness.world.sleep(60 * S)

    harness.sender.close = record_and_close
    harness.world.spawn(run_steps)
    harness.world.run()
    assert harness.world.failure is None
    return harness.world.now() - closed_at[0] < 3300 * MS


@pytest.mark.parametrize("more", ["SIGTERM", "SIGHUP", "SIGHUP to a broken file"])
@pytest.mark.parametrize("later", [0, 1200 * MS])
def test_further_signals_do_not_delay_a_shutdown(harness, more, later):
    def broken():
        raise ConfigError("seen in a test")

    def steps():
        harness.submit_accepted("m")
        calls.append(harness.accept_call())  # never answered
        harness.sender.close()
        harness.world.sleep(later)
        if more == "SIGTERM":
            harness.sender.close()
        else:
            harness.sender.reload(broken if "broken" in more else lambda: harness.sender.config)

    calls = []
    assert ends_in_time(harness, steps)
    assert harness.pending_ids() == ["m"]


@pytest.mark.parametrize("submitted", ["before", "after"])
def test_sigterm_before_the_first_poll_still_serves_a_client_that_has_connected(harness, submitted):
    """The signal arrives during the start, so the first poll finds it together with the first client."""
    world, socks = harness.world, []
    before = signal.getsignal(signal.SIGUSR1)

    def sigterm():
        if submitted == "after":
            socks.append(harness.submit("m"))
        harness.sender.close()

    try:
        world.on_signal(signal.SIGUSR1, sigterm)
        if submitted == "before":
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
    assert world.failure is None
    assert harness.pending_ids() == []
    assert world.now() - harness.sender.shutdown.started_at_us < 3300 * MS


@pytest.mark.parametrize("received", [False, True])
def test_a_report_whose_answer_is_lost_in_a_shutdown_is_posted_again(harness, received):
    """The platform may have received the report; a duplicate is harmless."""

    def steps():
        harness.submit_accepted("m", dest=7, cls="unsafe")
        reset(harness.accept_call()[0])  # it may have run: failed
        harness.sender.close()
        while not harness.posts:
            harness.accept_platform()
        if received:
            harness.posts[0][0].close()  # its 204 is lost

    assert ends_in_time(harness, steps)
    assert harness.pending_ids() == ["m"]
    harness.posts.clear()
    harness.kill()
    harness.start()
    play(harness, lambda: harness.receive_reports() == [{"id": "m", "state": "failed"}] or pytest.fail("not reported"))


def test_attempts_still_in_flight_at_the_end_are_handled_by_the_next_process(harness):
    """Without an answer within 3.2 s, a message is repeated after the restart if it is idempotent, and else fails."""
    calls = []

    def steps():
        harness.submit_accepted("a", cls="safe")
        harness.submit_accepted("b", cls="unsafe")
        calls.extend((harness.accept_call(), harness.accept_call()))
        harness.sender.close()

    assert ends_in_time(harness, steps)
    assert harness.pending_ids() == ["a", "b"]
    harness.kill()
    harness.start()

    def after_restart():
        sock, request = harness.accept_call()
        assert request.fields["x-request-id"] == "a"
        sock.send(http.answer(200, []))
        assert harness.receive_reports() == [{"id": "b", "state": "failed"}]
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, after_restart)


def test_requests_sent_as_a_shutdown_ends_their_connections_have_no_effect(tmp_path):
    """Guards against requests that this process or the next one forwarded, though their clients got no answer."""
    harness = SenderHarness(tmp_path, tick_us=LAST_POLL_US)  # the engine's last step comes just as the process ends
    world, crossing = harness.world, []

    def rest(name):
        sock = socket.create_connection(harness.sender.address)
        sock.setblocking(False)
        assert streams.receive(world, sock, world.now() + 10 * S) == b""
        crossing.append(harness.submit(name, cls="unsafe", sock=sock))

    def steps():
        harness.sender.close()
        for number in range(6):
            world.spawn(rest, f"m{number}")

    assert ends_in_time(harness, steps)
    assert len(crossing) == 6
    assert harness.pending_ids() == []
    harness.kill()
    harness.start()
    world.play(lambda: world.sleep(2 * S))
    with pytest.raises(BlockingIOError):
        harness.endpoint.listener.accept()


def test_a_pending_message_of_a_class_that_was_removed_fails_at_the_restart(harness):
    def steps():
        harness.sender.journal.record_accepted(accepted_delivery(harness, "m", "keyed"))
        harness.kill()

    play(harness, steps)
    harness.changes["classes"] = {"other": message_class("other", Idempotency.NOT_IDEMPOTENT)}
    harness.start()
    play(harness, lambda: harness.receive_reports() == [{"id": "m", "state": "failed"}] or pytest.fail("not reported"))


@pytest.mark.parametrize("cls", ["safe", "keyed", "zoned", "unsafe"])
def test_messages_in_a_full_folder_are_sent_after_a_restart(tmp_path, cls):
    """The journal reserves capacity for the records of attempts beside those of accepted messages."""
    harness = SenderHarness(tmp_path, disk=150_000, max_queued=5000, call_slots=50)

    def steps():
        while harness.sender.journal.record_accepted(accepted_delivery(harness, f"m{len(harness.pending_ids())}", cls)):
            pass
        harness.kill()

    play(harness, steps)
    harness.start()

    def after_restart():
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

    play(harness, after_restart)


@pytest.mark.parametrize("first", ["the list", "the end of its watch"])
def test_a_list_update_at_the_moment_when_its_watch_breaks_is_applied(harness, first):
    """An update before the break is applied at once; one after it arrives with the next watch."""

    def steps():
        update = chunk(list_update(2, host_row("e", harness.endpoint.address, health="terminating")))
        resume_within_poll(harness.world)
        if first == "the list":
            harness.watch.send(update)
        harness.watch.close()
        if first != "the list":
            harness.accept_watch()
            harness.watch.send(update)
        harness.world.wait_until(lambda: "e" in harness.sender.endpoint_list.left_at)

    play(harness, steps)


def test_a_message_of_a_client_that_disconnects_at_once_is_not_sent(harness):
    """The request and the end of the connection are read together."""

    def steps():
        resume_within_poll(harness.world)
        sock = harness.submit("gone")
        sock.shutdown(socket.SHUT_WR)
        sock.close()
        harness.world.sleep(S)
        assert harness.pending_ids() == []
        assert harness.endpoint.accepted == 0
        harness.submit_accepted("stays")
        assert harness.accept_call()[1].fields["x-request-id"] == "stays"

    play(harness, steps)


def delivery_request(harness):
    return DeliveryRequest("a", "unsafe", 7, harness.world.now() + 5 * S, None, b"body")


# Guards against an id that ran twice: its client left before the answer, its call was out, and it came again.
@pytest.mark.parametrize("second_at", ["while the call is out", "after the call"])
def test_an_id_whose_client_left_when_its_call_was_out_runs_once_when_it_comes_again(harness, second_at):
    def play():
        harness.accept_watch()
        admission = harness.sender.admission
        first, second = (delivery_request(harness) for _ in range(2))
        admission.submit(first)
        sock, _ = harness.accept_call()
        admission.withdraw(first)  # its answer could not be written
        if second_at == "after the call":
            sock.send(http.answer(200, []))
            harness.world.sleep(S // 10)
        admission.submit(second)
        harness.world.sleep(S // 10)
        assert isinstance(second.admission, Accepted)
        if second_at == "while the call is out":
            sock.send(http.answer(200, []))
        harness.world.sleep(3 * S)
        assert harness.endpoint.accepted == 1
        assert harness.sender.journal.pending == {}

    harness.world.play(play)


# Guards against a message that was journaled twice, and a client with no answer, when an id came twice within a step.
def test_an_id_that_is_withdrawn_and_comes_again_within_a_step_is_accepted_once(harness):
    def play():
        harness.accept_watch()
        admission = harness.sender.admission
        first, second = (delivery_request(harness) for _ in range(2))
        admission.submit(first)
        admission.withdraw(first)
        admission.submit(second)
        sock, _ = harness.accept_call()
        assert isinstance(second.admission, Accepted)
        assert first.admission is None
        sock.send(http.answer(200, []))
        harness.world.sleep(S)
        assert harness.sender.journal._copy_bytes == 0
        assert harness.endpoint.accepted == 1

    harness.world.play(play)
