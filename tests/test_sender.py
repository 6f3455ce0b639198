"""The sender with its engine on real sockets; the test acts as the clients, the endpoints and the platform."""

import json
import socket

import pytest
from helpers import settings
from nethelp import MS, STREAM_HEAD, S, StubServer, VirtualTimeScheduler, chunk, host_row, list_update, read

from scalefall.net import attempt_dispatcher, deadline_monitor, http, sender_loop, streams
from scalefall.net.config import Config
from scalefall.net.journal_records import PendingDelivery
from scalefall.net.list_stream import read_list
from scalefall.net.sender import Sender
from scalefall.policy.actions import Send
from scalefall.policy.engine import Engine
from scalefall.policy.events import AttemptFinished, Message, Outcome


class SenderHarness:
    """One sender, one endpoint of destination 7, the platform, and a state folder that persists across restarts."""

    def __init__(self, folder, kind="one", disk=3_000_000, host="127.0.0.1", admin=None, **changes):
        self.world, self.folder, self.disk, self.changes = (
            VirtualTimeScheduler(),
            folder,
            disk,
            {"polls_endpoint_list": True} | changes,
        )
        self.endpoint, self.platform = StubServer(self.world, host), StubServer(self.world)
        self.known = read_list(list_update(1, host_row("e", self.endpoint.address, kind=kind)))
        self.watch, self.posts, self.admin = None, [], admin
        self.start()

    def start(self):
        config = Config(
            "n0",
            ("127.0.0.1", 0),
            self.platform.address,
            str(self.folder),
            7,
            256,
            self.disk,
            32_000_000,
            settings(**self.changes),
            self.known,
            admin=self.admin,
        )
        self.sender = Sender(self.world, config)
        self.sender.start()

    def accept_watch(self):
        """Accept the sender's watch on the endpoint list; queue reports posted meanwhile for receive_reports()."""
        while not self.accept_platform():
            pass

    def accept_platform(self):
        """Accept the next request to the platform; return whether it was a watch."""
        sock = self.platform.accept()
        request = self.platform.read(sock)
        if request.method == "GET":
            self.watch = sock
            sock.send(STREAM_HEAD + chunk(None))
            return True
        self.posts.append((sock, request))
        return False

    def kill(self):
        """End the sender as SIGKILL does: only the state folder remains."""
        self.sender.journal.close()
        self.sender.ingress.stop_listening()
        if self.admin:
            self.sender.admin_server.close()
        self.world.kill()

    def send(self, sock, data):
        streams.send(self.world, sock, data, self.world.now() + S)

    def submit(self, name, cls="safe", deadline="8000m", key=None, body=b"body", sock=None, dest=7):
        sock = sock or socket.create_connection(self.sender.address)
        sock.setblocking(False)
        fields = [("X-Request-Id", name), ("X-Deadline", deadline), ("X-Route-To", f"dest={dest}")]
        sock.send(http.request("POST", f"/{cls}", "s", fields + ([("Idempotency-Key", key)] if key else []), body))
        return sock

    def read_answer(self, sock):
        return read(self.world, sock, http.AnswerReader())

    def submit_accepted(self, *names, **more):
        for sock in [self.submit(name, **more) for name in names]:
            assert self.read_answer(sock).status == 202

    def accept_call(self):
        sock = self.endpoint.accept()
        return sock, self.endpoint.read(sock)

    def receive_reports(self):
        while not self.posts:
            self.accept_platform()
        sock, request = self.posts.pop(0)
        sock.send(http.answer(204, []))
        return [json.loads(line) for line in request.body.splitlines()]

    def pending_ids(self):
        return sorted(self.sender.journal.pending)


def accepted_delivery(harness, name, cls):
    """Return the journal record of a message that was just accepted."""
    return PendingDelivery(
        name, cls, 7, harness.world.wall() + 8 * S, "k" if cls in ("keyed", "zoned") else None, b"body"
    )


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path)


def play(harness, function):
    harness.world.play(lambda: (harness.accept_watch(), function()))


def test_a_message_is_journaled_before_its_answer_and_finished_once_delivered(harness):
    def steps():
        harness.submit_accepted("m")
        assert harness.pending_ids() == ["m"]
        sock, request = harness.accept_call()
        assert request.fields["x-request-id"] == "m"
        assert harness.sender.journal.pending["m"].in_flight
        sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_a_message_shed_in_its_first_step_gets_429_and_is_not_journaled(harness):
    def steps():
        assert harness.read_answer(harness.submit("m", deadline="1u")).status == 429
        assert harness.pending_ids() == []
        assert harness.endpoint.accepted == 0

    play(harness, steps)


def test_a_full_sender_rejects_with_503_and_retry_after(tmp_path):
    harness = SenderHarness(tmp_path, disk=100_000)

    def steps():
        harness.submit_accepted("m")
        answer = harness.read_answer(harness.submit("n", body=b"x" * 60_000))
        assert answer.status == 503
        assert answer.fields["retry-after"] == "1.000"

    play(harness, steps)


def test_a_client_that_disconnects_before_its_answer_withdraws_its_message(harness):
    def steps():
        harness.submit("m").close()
        harness.world.sleep(S)
        assert harness.pending_ids() == []
        assert harness.sender.tracker.open == {}

    play(harness, steps)


def test_a_second_request_with_the_id_of_an_open_message_does_not_change_it(harness):
    """Guards against a client that reuses an open id: its body was delivered in place of the other one, which the
    endpoint answered six times with 400, and its disconnecting withdrew the message."""

    def steps():
        first = harness.submit("m")
        harness.world.sleep(MS // 2)
        early = harness.submit("m", body=b"other")
        assert harness.read_answer(early).status == 409
        early.close()
        assert harness.read_answer(first).status == 202
        for changes, status in (({}, 202), ({"body": b"other"}, 409), ({"cls": "unsafe"}, 409), ({"key": "k"}, 409)):
            sock = harness.submit("m", **changes)
            assert harness.read_answer(sock).status == status
            sock.close()
        assert harness.pending_ids() == ["m"]
        sock, request = harness.accept_call()
        assert request.body == b"body"
        sock.send(http.answer(500, []))
        assert harness.endpoint.read(sock).body == b"body"
        sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_a_finished_id_is_rejected_for_another_message_until_it_expires(harness):
    """Guards against a client that reuses the id of a message just delivered: it was accepted, and endpoints answered
    400."""

    def steps():
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])
        assert harness.read_answer(harness.submit("m")).status == 202
        assert harness.pending_ids() == []
        assert harness.read_answer(harness.submit("m", body=b"other")).status == 409
        assert harness.pending_ids() == []
        harness.world.sleep(31 * S)
        harness.submit_accepted("n")
        sock, _ = harness.accept_call()
        sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])
        assert list(harness.sender.tracker.finished) == ["n"]

    play(harness, steps)


def test_messages_of_a_call_answered_400_are_sent_one_by_one(tmp_path):
    """Guards against one unreadable message failing others: it was repeated in calls with all pending messages, and
    all of them were given up."""
    harness = SenderHarness(tmp_path, kind="many")

    def steps():
        harness.submit_accepted("a", "b", "c")
        sock, _ = harness.accept_call()
        sock.send(http.answer(400, []))
        calls = [harness.accept_call()[1] for _ in range(3)]
        assert sorted(call.fields["x-request-id"] for call in calls) == ["a", "b", "c"]

    play(harness, steps)


def test_a_message_for_an_unknown_destination_is_rejected(harness):
    def steps():
        answer = harness.read_answer(harness.submit("m", dest=8))
        assert (answer.status, answer.fields["retry-after"]) == (503, "1.000")
        assert harness.sender.tracker.open == {}

    play(harness, steps)


def test_a_message_that_is_given_up_is_reported_to_the_platform(harness):
    def steps():
        harness.submit_accepted("f", cls="unsafe", deadline="2000m")
        harness.accept_call()[0].close()
        assert harness.receive_reports() == [{"id": "f", "state": "failed"}]
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, steps)


@pytest.mark.parametrize(
    ("cls", "later", "end"),
    [("unsafe", 0, "failed"), ("safe", 0, None), ("keyed", 0, None), ("keyed", 6 * S, "returned")],
)
def test_after_a_kill_with_an_attempt_in_flight_class_and_key_lifetime_decide(harness, cls, later, end):
    """The attempt may have run: a message that is not idempotent must not be repeated, and one with a key only within
    the key's lifetime."""

    def steps():
        harness.submit_accepted("m", cls=cls, key="k")
        harness.accept_call()
        harness.kill()
        harness.world.clock += later

    play(harness, steps)
    harness.start()

    def after_restart():
        if end:
            assert [(report["id"], report["state"]) for report in harness.receive_reports()] == [("m", end)]
            assert harness.endpoint.accepted == 1
        else:
            sock, request = harness.accept_call()
            assert request.fields["x-request-id"] == "m"
            assert request.fields["idempotency-key"] == "k"
            assert request.body == b"body"
            sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, after_restart)


def test_attempts_are_counted_across_restarts(tmp_path):
    harness = SenderHarness(tmp_path, max_attempts=2)

    def steps():
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(500, []))
        harness.world.wait_until(lambda: not harness.sender.journal.pending["m"].in_flight)
        harness.kill()

    play(harness, steps)
    harness.start()

    def after_restart():
        sock, _ = harness.accept_call()
        sock.send(http.answer(500, []))
        assert harness.receive_reports() == [
            {"id": "m", "state": "returned", "after_ms": harness.sender.journal.pending["m"].retry_after_ms}
        ]

    play(harness, after_restart)


@pytest.mark.parametrize(
    ("cls", "ran"), [("safe", False), ("keyed", False), ("zoned", False), ("unsafe", False), ("zoned", True)]
)
@pytest.mark.parametrize("polls", [True, False])
def test_all_restored_messages_that_may_be_sent_are_sent(tmp_path, cls, ran, polls):
    """Guards against restored messages being shed: before a pushed list arrived the engine knew no route, so it queued
    four per destination and shed the others, even those that may have run in one zone and must not be submitted again
    in another one."""
    harness = SenderHarness(tmp_path, polls_endpoint_list=polls, max_queued=24, call_slots=30)
    names = [f"m{number}" for number in range(24)]

    def push_health(health):
        harness.watch.send(chunk(list_update(2, host_row("e", harness.endpoint.address, health=health))))

    def steps():
        push_health("terminating")  # so that no attempt starts before the kill
        harness.world.wait_until(lambda: harness.sender.endpoint_list.seq == 2)
        for name in names:
            harness.sender.journal.record_accepted(accepted_delivery(harness, name, cls))
            if ran:
                harness.sender.journal.record_attempt_started([name], harness.world.wall(), "a")
        harness.kill()

    play(harness, steps)
    harness.start()

    def after_restart():
        harness.world.sleep(S)  # a pushed list may arrive late
        push_health("in_service")
        while harness.pending_ids():
            sock, request = harness.accept_call()
            names.remove(request.fields["x-request-id"])
            sock.send(http.answer(200, []))
            harness.world.sleep(MS)
        assert not names
        assert not harness.posts

    play(harness, after_restart)


def test_unconfirmed_reports_are_posted_after_a_restart(harness):
    def steps():
        harness.submit_accepted("f", cls="unsafe", deadline="2000m")
        harness.accept_call()[0].close()
        harness.platform.read(harness.platform.accept())
        harness.kill()

    play(harness, steps)
    harness.start()
    play(
        harness, lambda: harness.receive_reports() == [{"id": "f", "state": "failed"}] or pytest.fail("another report")
    )


def test_retry_after_and_drain_prevent_attempts_that_have_not_begun(harness):
    """Either may arrive during a dial, so both are checked again before the first byte of a call."""
    entry = harness.sender.endpoint_list.entries["e"]

    def steps():
        assert harness.sender.dispatcher.may_begin(entry)
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(429, [("Retry-After", "0.5")]))
        harness.world.wait_until(lambda: not harness.sender.dispatcher.may_begin(entry))
        harness.sender.dispatcher.drop_expired_waits()  # the wait has not expired
        assert not harness.sender.dispatcher.may_begin(entry)
        harness.world.sleep(600 * MS)
        assert harness.sender.dispatcher.may_begin(entry)
        harness.watch.send(
            chunk(list_update(2, host_row("e", harness.endpoint.address, health="terminating"), whole=False))
        )
        harness.world.wait_until(lambda: "e" in harness.sender.endpoint_list.left_at)
        harness.world.sleep(900 * MS)
        assert not harness.sender.dispatcher.may_begin(entry)

    play(harness, steps)


def test_sends_of_one_step_share_a_call_unless_its_body_would_be_too_long(tmp_path):
    harness = SenderHarness(tmp_path, kind="many")

    def steps():
        harness.submit_accepted("a", "b")
        _sock, request = harness.accept_call()
        assert [row["id"] for row in json.loads(bytes(request.body))] == ["a", "b"]
        harness.submit_accepted("c", "d", body=b"x" * 30_000)
        calls = [harness.accept_call()[1] for _ in range(2)]
        assert [call.fields["x-request-id"] for call in calls] == ["c", "d"]

    play(harness, steps)


@pytest.mark.parametrize("spans", [("3000m", "8000m", "5000m"), ("8000m", "5000m", "3000m")])
def test_a_call_with_several_messages_has_the_latest_deadline_first(tmp_path, spans):
    harness = SenderHarness(tmp_path, kind="many")

    def steps():
        clients = [harness.submit(name, deadline=span) for name, span in zip("abc", spans, strict=False)]
        assert [harness.read_answer(client).status for client in clients] == [202, 202, 202]
        sock, request = harness.accept_call()
        spans_sent = [spans["abc".index(row["id"])] for row in json.loads(request.body)]
        assert spans_sent == ["8000m", "5000m", "3000m"]
        rows = [{"id": row["id"], "state": "accepted"} for row in json.loads(request.body)]
        sock.send(http.answer(200, [], json.dumps(rows).encode()))
        harness.world.wait_until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_a_failed_engine_step_rejects_its_new_messages_and_later_steps_run(harness, monkeypatch):
    counted, handle = [], harness.sender.engine.handle
    monkeypatch.setattr(
        sender_loop, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def fail_once(now, events):
        if any(isinstance(event, Message) for event in events):
            monkeypatch.setattr(harness.sender.engine, "handle", handle)
            raise RuntimeError("seen in a test")
        return handle(now, events)

    monkeypatch.setattr(harness.sender.engine, "handle", fail_once)

    def steps():
        assert harness.read_answer(harness.submit("m")).status == 503
        harness.submit_accepted("n")
        assert harness.pending_ids() == ["n"]
        assert counted == ["an engine step completes without an exception"]

    play(harness, steps)


@pytest.mark.parametrize("restart", [False, True])
def test_a_message_that_the_engine_loses_is_failed_after_its_deadline(harness, monkeypatch, restart):
    """Guards against a message that stays open forever once the engine has lost track of it."""
    counted = []
    monkeypatch.setattr(
        deadline_monitor, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def steps():
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        began = harness.world.now()
        monkeypatch.setattr(Engine, "handle", lambda self, now, events: [])
        if restart:
            harness.kill()
            harness.start()
        assert harness.receive_reports() == [{"id": "m", "state": "failed"}]
        assert 7 * S < harness.world.now() - began < 8 * S
        assert counted == ["the engine ends every message by its deadline"]
        sock.close()

    play(harness, steps)


@pytest.mark.parametrize("stalled", [False, True])
def test_after_a_stall_beyond_the_deadline_the_engine_decides_the_final_answer(harness, stalled):
    """Guards against the deadline monitor overtaking the engine: both timers expired in one round of the scheduler, and
    the monitor failed a message that may be submitted again."""

    def steps():
        harness.watch.send(
            chunk(list_update(2, host_row("e", harness.endpoint.address, health="terminating"), whole=False))
        )
        harness.world.wait_until(lambda: harness.sender.endpoint_list.seq == 2)
        harness.submit_accepted("m", deadline="4000m")
        if stalled:
            harness.world.clock += 10 * S
        assert [report["state"] for report in harness.receive_reports()] == ["returned"]

    play(harness, steps)


def test_a_send_to_an_unknown_endpoint_fails_that_attempt_only(harness, monkeypatch):
    counted, handle, outcomes = [], harness.sender.engine.handle, []
    monkeypatch.setattr(
        attempt_dispatcher, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def add_unknown_endpoint(now, events):
        outcomes.extend(event for event in events if isinstance(event, AttemptFinished))
        actions = handle(now, events)
        if any(isinstance(event, Message) for event in events):
            actions.insert(0, Send("m", "ghost", S, -1))
        return actions

    monkeypatch.setattr(harness.sender.engine, "handle", add_unknown_endpoint)

    def steps():
        harness.submit_accepted("m")
        _, call = harness.accept_call()
        assert call.fields["x-request-id"] == "m"
        harness.world.wait_until(lambda: outcomes)
        assert (outcomes[0].endpoint, outcomes[0].outcome) == ("ghost", Outcome.NOT_SENT)
        assert counted == ["the engine sends only to listed endpoints"]

    play(harness, steps)


def test_a_shutdown_finishes_attempts_and_leaves_late_messages_in_the_journal(harness):
    """A message that arrives during the shutdown is accepted, and delivered after the restart."""

    def steps():
        harness.submit_accepted("out")
        sock, _ = harness.accept_call()
        harness.sender.close()
        began = harness.world.now()
        harness.world.sleep(300 * MS)
        late = harness.submit("late")
        assert harness.read_answer(late).status == 202
        sock.send(http.answer(200, []))
        harness.world.wait_until(lambda: harness.pending_ids() == ["late"])
        harness.world.sleep(60 * S)
        raise AssertionError(f"still running after {harness.world.now() - began} us")

    harness.world.spawn(lambda: (harness.accept_watch(), steps()))
    began = harness.world.now()
    harness.world.run()
    assert harness.world.failure is None
    assert harness.world.now() - began < 4 * S
    assert harness.endpoint.accepted == 1
    assert harness.pending_ids() == ["late"]


def test_a_message_submitted_as_the_listener_closes_is_sent_and_its_answer_awaited(harness, monkeypatch):
    """Guards against a lost answer: with nothing pending at SIGTERM the process ends early, and it ended while the
    attempt of a last message, from the listener's backlog, was in flight."""

    def steps():
        for name in "abcde":  # so that the engine has learned the latency
            harness.submit_accepted(name)
            sock, _ = harness.accept_call()
            sock.send(http.answer(200, []))
            harness.world.wait_until(lambda: not harness.pending_ids())
            sock.close()
        close, last = harness.sender.ingress.stop_listening, []

        def stop_listening():
            last.append(harness.submit("last"))  # waits in the listener's backlog
            close()

        monkeypatch.setattr(harness.sender.ingress, "stop_listening", stop_listening)
        harness.sender.close()
        sock, call = harness.accept_call()
        assert call.fields["x-request-id"] == "last"
        assert harness.read_answer(last[0]).status == 202
        harness.world.sleep(200 * MS)
        sock.send(http.answer(200, []))
        harness.world.sleep(60 * S)
        raise AssertionError("still running")

    harness.world.spawn(lambda: (harness.accept_watch(), steps()))
    harness.world.run()
    assert harness.world.failure is None
    assert harness.pending_ids() == []
