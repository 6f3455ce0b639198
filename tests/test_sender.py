"""The sender with its engine on sockets; the test plays the clients, the endpoints and the platform."""

import json
import socket

import pytest
from helpers import settings
from nethelp import MS, STREAM, Peer, S, World, chunk, list_update, listed, read

from scalefall.net import attempt_dispatcher, deadline_monitor, http, sender_loop, streams
from scalefall.net.config import Config
from scalefall.net.journal_records import PendingDelivery
from scalefall.net.list_stream import read_list
from scalefall.net.sender import Sender
from scalefall.policy.actions import Send
from scalefall.policy.engine import Engine
from scalefall.policy.events import AttemptFinished, Message, Outcome


class SenderHarness:
    """One sender, one endpoint for destination 7, the platform, and a folder that outlives the sender."""

    def __init__(self, folder, kind="one", disk=3_000_000, host="127.0.0.1", admin=None, **changes):
        self.world, self.folder, self.disk, self.changes = (
            World(),
            folder,
            disk,
            {"polls_endpoint_list": True} | changes,
        )
        self.endpoint, self.platform = Peer(self.world, host), Peer(self.world)
        self.known = read_list(list_update(1, listed("e", self.endpoint.address, kind=kind)))
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
        """The platform's side of the watch; what is posted meanwhile waits for receive_reports()."""
        while not self.accept_platform():
            pass

    def accept_platform(self):
        """The next one who comes there; whether it was a watch."""
        sock = self.platform.accept()
        request = self.platform.read(sock)
        if request.method == "GET":
            self.watch = sock
            sock.send(STREAM + chunk(None))
            return True
        self.posts.append((sock, request))
        return False

    def kill(self):
        """SIGKILL: nothing of the process is left but the folder."""
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
    """A record as of a message that was just taken on."""
    return PendingDelivery(
        name, cls, 7, harness.world.wall() + 8 * S, "k" if cls in ("keyed", "zoned") else None, b"body"
    )


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path)


def play(harness, function):
    harness.world.play(lambda: (harness.accept_watch(), function()))


def test_a_message_is_in_the_journal_before_its_answer_and_out_of_it_once_delivered(harness):
    def steps():
        harness.submit_accepted("m")
        assert harness.pending_ids() == ["m"]
        sock, request = harness.accept_call()
        assert request.fields["x-request-id"] == "m"
        assert harness.sender.journal.pending["m"].in_flight
        sock.send(http.answer(200, []))
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_what_is_refused_in_its_turn_gets_429_and_is_not_journaled(harness):
    def steps():
        assert harness.read_answer(harness.submit("m", deadline="1u")).status == 429
        assert harness.pending_ids() == []
        assert harness.endpoint.accepted == 0

    play(harness, steps)


def test_a_full_sender_turns_away_with_503_and_when_to_come_back(tmp_path):
    harness = SenderHarness(tmp_path, disk=100_000)

    def steps():
        harness.submit_accepted("m")
        answer = harness.read_answer(harness.submit("n", body=b"x" * 60_000))
        assert answer.status == 503
        assert answer.fields["retry-after"] == "1.000"

    play(harness, steps)


def test_a_client_that_goes_before_its_answer_leaves_nothing_behind(harness):
    def steps():
        harness.submit("m").close()
        harness.world.sleep(S)
        assert harness.pending_ids() == []
        assert harness.sender.tracker.open == {}

    play(harness, steps)


def test_the_id_of_an_open_message_does_nothing_to_it_whoever_sends_it_again(harness):
    """A bad client's body went out under the id of another's message, whose endpoint answered 400 six times over;
    and its leaving took the message away."""

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
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_an_id_that_is_over_is_not_used_for_another_message_and_is_forgotten_in_time(harness):
    """A bad client's message was taken on under the id of one just delivered; its endpoints answered 400."""

    def steps():
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(200, []))
        harness.world.until(lambda: harness.pending_ids() == [])
        assert harness.read_answer(harness.submit("m")).status == 202
        assert harness.pending_ids() == []
        assert harness.read_answer(harness.submit("m", body=b"other")).status == 409
        assert harness.pending_ids() == []
        harness.world.sleep(31 * S)
        harness.submit_accepted("n")
        sock, _ = harness.accept_call()
        sock.send(http.answer(200, []))
        harness.world.until(lambda: harness.pending_ids() == [])
        assert list(harness.sender.tracker.finished) == ["n"]

    play(harness, steps)


def test_messages_of_a_call_that_could_not_be_read_go_one_by_one(tmp_path):
    """One that an endpoint does not take was sent again and again together with all that waited: all were given up."""
    harness = SenderHarness(tmp_path, kind="many")

    def steps():
        harness.submit_accepted("a", "b", "c")
        sock, _ = harness.accept_call()
        sock.send(http.answer(400, []))
        calls = [harness.accept_call()[1] for _ in range(3)]
        assert sorted(call.fields["x-request-id"] for call in calls) == ["a", "b", "c"]

    play(harness, steps)


def test_a_message_for_a_destination_that_the_list_never_named_is_turned_away(harness):
    def steps():
        answer = harness.read_answer(harness.submit("m", dest=8))
        assert (answer.status, answer.fields["retry-after"]) == (503, "1.000")
        assert harness.sender.tracker.open == {}

    play(harness, steps)


def test_what_is_given_up_is_told_to_the_platform_until_it_hears(harness):
    def steps():
        harness.submit_accepted("f", cls="unsafe", deadline="2000m")
        harness.accept_call()[0].close()
        assert harness.receive_reports() == [{"id": "f", "state": "failed"}]
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, steps)


@pytest.mark.parametrize(
    ("cls", "later", "end"),
    [("unsafe", 0, "failed"), ("safe", 0, None), ("keyed", 0, None), ("keyed", 6 * S, "returned")],
)
def test_after_a_death_with_a_pass_out_class_and_window_decide(harness, cls, later, end):
    """It may have run: a fee must not take effect twice, and a key is dropped only so long."""

    def steps():
        harness.submit_accepted("m", cls=cls, key="k")
        harness.accept_call()
        harness.kill()
        harness.world.clock += later

    play(harness, steps)
    harness.start()

    def again():
        if end:
            assert [(n["id"], n["state"]) for n in harness.receive_reports()] == [("m", end)]
            assert harness.endpoint.accepted == 1
        else:
            sock, request = harness.accept_call()
            assert request.fields["x-request-id"] == "m"
            assert request.fields["idempotency-key"] == "k"
            assert request.body == b"body"
            sock.send(http.answer(200, []))
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, again)


def test_attempts_are_counted_across_a_death(tmp_path):
    harness = SenderHarness(tmp_path, max_attempts=2)

    def steps():
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(500, []))
        harness.world.until(lambda: not harness.sender.journal.pending["m"].in_flight)
        harness.kill()

    play(harness, steps)
    harness.start()

    def again():
        sock, _ = harness.accept_call()
        sock.send(http.answer(500, []))
        assert harness.receive_reports() == [
            {"id": "m", "state": "returned", "after_ms": harness.sender.journal.pending["m"].retry_after_ms}
        ]

    play(harness, again)


@pytest.mark.parametrize(
    ("cls", "ran"), [("safe", False), ("keyed", False), ("zoned", False), ("unsafe", False), ("zoned", True)]
)
@pytest.mark.parametrize("ask", [True, False])
def test_all_that_a_restart_finds_and_may_be_sent_has_its_call(tmp_path, cls, ran, ask):
    """Before a pushed list had come the module knew no route: it kept four a destination and refused the others, also
    such as may have run in a zone, whose clients come again where nobody knows the repeat."""
    harness = SenderHarness(tmp_path, polls_endpoint_list=ask, max_queued=24, call_slots=30)
    names = [f"m{number}" for number in range(24)]

    def gone(health):
        harness.watch.send(chunk(list_update(2, listed("e", harness.endpoint.address, health=health))))

    def steps():
        gone("terminating")  # so nothing goes out before the death
        harness.world.until(lambda: harness.sender.endpoint_list.seq == 2)
        for name in names:
            harness.sender.journal.record_accepted(accepted_delivery(harness, name, cls))
            if ran:
                harness.sender.journal.record_attempt_started([name], harness.world.wall(), "a")
        harness.kill()

    play(harness, steps)
    harness.start()

    def again():
        harness.world.sleep(S)  # a list that is pushed may take its time
        gone("in_service")
        while harness.pending_ids():
            sock, request = harness.accept_call()
            names.remove(request.fields["x-request-id"])
            sock.send(http.answer(200, []))
            harness.world.sleep(MS)
        assert not names
        assert not harness.posts

    play(harness, again)


def test_notices_that_were_not_delivered_go_out_after_a_death(harness):
    def steps():
        harness.submit_accepted("f", cls="unsafe", deadline="2000m")
        harness.accept_call()[0].close()
        harness.platform.read(harness.platform.accept())
        harness.kill()

    play(harness, steps)
    harness.start()
    play(
        harness, lambda: harness.receive_reports() == [{"id": "f", "state": "failed"}] or pytest.fail("not this notice")
    )


def test_a_told_wait_and_a_drain_stop_what_has_not_begun(harness):
    """A dial may last past either: both are looked at again before a call's first byte."""
    entry = harness.sender.endpoint_list.entries["e"]

    def steps():
        assert harness.sender.dispatcher.may_begin(entry)
        harness.submit_accepted("m")
        sock, _ = harness.accept_call()
        sock.send(http.answer(429, [("Retry-After", "0.5")]))
        harness.world.until(lambda: not harness.sender.dispatcher.may_begin(entry))
        harness.sender.dispatcher.forget_expired_waits()  # this one has not expired
        assert not harness.sender.dispatcher.may_begin(entry)
        harness.world.sleep(600 * MS)
        assert harness.sender.dispatcher.may_begin(entry)
        harness.watch.send(
            chunk(list_update(2, listed("e", harness.endpoint.address, health="terminating"), whole=False))
        )
        harness.world.until(lambda: "e" in harness.sender.endpoint_list.left_at)
        harness.world.sleep(900 * MS)
        assert not harness.sender.dispatcher.may_begin(entry)

    play(harness, steps)


def test_sends_of_a_turn_form_one_call_unless_its_body_would_be_too_long(tmp_path):
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
def test_in_a_call_with_several_the_one_whose_time_ends_last_stands_first(tmp_path, spans):
    harness = SenderHarness(tmp_path, kind="many")

    def steps():
        clients = [harness.submit(name, deadline=span) for name, span in zip("abc", spans, strict=False)]
        assert [harness.read_answer(client).status for client in clients] == [202, 202, 202]
        sock, request = harness.accept_call()
        spans_sent = [spans["abc".index(row["id"])] for row in json.loads(request.body)]
        assert spans_sent == ["8000m", "5000m", "3000m"]
        rows = [{"id": row["id"], "state": "accepted"} for row in json.loads(request.body)]
        sock.send(http.answer(200, [], json.dumps(rows).encode()))
        harness.world.until(lambda: harness.pending_ids() == [])

    play(harness, steps)


def test_a_module_that_fails_in_a_turn_refuses_what_came_and_the_rest_carries_on(harness, monkeypatch):
    counted, handle = [], harness.sender.engine.handle
    monkeypatch.setattr(
        sender_loop, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def fails(now, events):
        if any(isinstance(event, Message) for event in events):
            monkeypatch.setattr(harness.sender.engine, "handle", handle)
            raise RuntimeError("seen in a test")
        return handle(now, events)

    monkeypatch.setattr(harness.sender.engine, "handle", fails)

    def steps():
        assert harness.read_answer(harness.submit("m")).status == 503
        harness.submit_accepted("n")
        assert harness.pending_ids() == ["n"]
        assert counted == ["an engine step completes without an exception"]

    play(harness, steps)


@pytest.mark.parametrize("restart", [False, True])
def test_what_the_module_never_ends_has_its_notice_all_the_same(harness, monkeypatch, restart):
    """Its end hung on the module's own book alone: lost from it, a message taken on stayed open for good."""
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


@pytest.mark.parametrize("held_up", [False, True])
def test_a_process_that_was_held_up_past_a_messages_time_ends_it_as_the_module_says(harness, held_up):
    """The module's timer and the sender's own came due in one look, and the sender's failed what may come again."""

    def steps():
        harness.watch.send(
            chunk(list_update(2, listed("e", harness.endpoint.address, health="terminating"), whole=False))
        )
        harness.world.until(lambda: harness.sender.endpoint_list.seq == 2)
        harness.submit_accepted("m", deadline="4000m")
        if held_up:
            harness.world.clock += 10 * S
        assert [notice["state"] for notice in harness.receive_reports()] == ["returned"]

    play(harness, steps)


def test_a_send_to_an_endpoint_that_no_list_has_costs_that_attempt_and_not_the_turn(harness, monkeypatch):
    counted, handle, outcomes = [], harness.sender.engine.handle, []
    monkeypatch.setattr(
        attempt_dispatcher, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def strays(now, events):
        outcomes.extend(event for event in events if isinstance(event, AttemptFinished))
        actions = handle(now, events)
        if any(isinstance(event, Message) for event in events):
            actions.insert(0, Send("m", "ghost", S))
        return actions

    monkeypatch.setattr(harness.sender.engine, "handle", strays)

    def steps():
        harness.submit_accepted("m")
        _, call = harness.accept_call()
        assert call.fields["x-request-id"] == "m"
        harness.world.until(lambda: outcomes)
        assert (outcomes[0].endpoint, outcomes[0].outcome) == ("ghost", Outcome.NOT_SENT)
        assert counted == ["the module sends to endpoints that the list has"]

    play(harness, steps)


def test_a_planned_end_answers_finishes_and_leaves_the_rest_to_the_next(harness):
    """Begin nothing that may not finish: what arrives late is taken on, and delivered after the start."""

    def steps():
        harness.submit_accepted("out")
        sock, _ = harness.accept_call()
        harness.sender.close()
        began = harness.world.now()
        harness.world.sleep(300 * MS)
        late = harness.submit("late")
        assert harness.read_answer(late).status == 202
        sock.send(http.answer(200, []))
        harness.world.until(lambda: harness.pending_ids() == ["late"])
        harness.world.sleep(60 * S)
        raise AssertionError(f"still running {harness.world.now() - began} later")

    harness.world.spawn(lambda: (harness.accept_watch(), steps()))
    began = harness.world.now()
    harness.world.run()
    assert harness.world.broken is None
    assert harness.world.now() - began < 4 * S
    assert harness.endpoint.accepted == 1
    assert harness.pending_ids() == ["late"]


def test_what_is_handed_in_as_the_listener_closes_is_sent_and_its_answer_waited_for(harness, monkeypatch):
    """With nothing open at SIGTERM the process ends early; it left with the call of the last message out, which may
    have run by then."""

    def steps():
        for name in "abcde":  # how long a call takes is known
            harness.submit_accepted(name)
            sock, _ = harness.accept_call()
            sock.send(http.answer(200, []))
            harness.world.until(lambda: not harness.pending_ids())
            sock.close()
        close, last = harness.sender.ingress.stop_listening, []

        def stop_listening():
            last.append(harness.submit("last"))  # waits in the listener's queue
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
    assert harness.world.broken is None
    assert harness.pending_ids() == []
