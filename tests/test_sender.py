"""The sender with its engine on sockets; the test plays the clients, the endpoints and the platform."""

import json
import socket

import pytest
from helpers import settings
from nethelp import MS, STREAM_HEAD, S, StubServer, VirtualTimeScheduler, chunk, host_row, list_update, read

from scalefall.net import attempt_dispatcher, deadline_watch, http, sender_loop, streams
from scalefall.net.config import Config
from scalefall.net.journal_records import PendingDelivery
from scalefall.net.list_stream import read_list
from scalefall.net.sender import Sender
from scalefall.policy.actions import Send
from scalefall.policy.engine import Engine
from scalefall.policy.events import AttemptFinished, Message, Outcome


class Firm:
    """One sender, one endpoint for destination 7, the platform, and a folder that outlives the sender."""

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

    def watched(self):
        """The platform's side of the watch; what is posted meanwhile waits for notices()."""
        while not self.platform_met():
            pass

    def platform_met(self):
        """The next one who comes there; whether it was a watch."""
        sock = self.platform.accept()
        request = self.platform.read(sock)
        if request.method == "GET":
            self.watch = sock
            sock.send(STREAM_HEAD + chunk(None))
            return True
        self.posts.append((sock, request))
        return False

    def die(self):
        """SIGKILL: nothing of the process is left but the folder."""
        self.sender.journal.close()
        self.sender.ingress.stop_listening()
        if self.admin:
            self.sender.admin_server.close()
        self.world.kill()

    def send(self, sock, data):
        streams.send(self.world, sock, data, self.world.now() + S)

    def hand_in(self, name, cls="safe", deadline="8000m", key=None, body=b"body", sock=None, dest=7):
        sock = sock or socket.create_connection(self.sender.address)
        sock.setblocking(False)
        fields = [("X-Request-Id", name), ("X-Deadline", deadline), ("X-Route-To", f"dest={dest}")]
        sock.send(http.request("POST", f"/{cls}", "s", fields + ([("Idempotency-Key", key)] if key else []), body))
        return sock

    def answer(self, sock):
        return read(self.world, sock, http.AnswerReader())

    def taken(self, *names, **more):
        for sock in [self.hand_in(name, **more) for name in names]:
            assert self.answer(sock).status == 202

    def call(self):
        sock = self.endpoint.accept()
        return sock, self.endpoint.read(sock)

    def notices(self):
        while not self.posts:
            self.platform_met()
        sock, request = self.posts.pop(0)
        sock.send(http.answer(204, []))
        return [json.loads(line) for line in request.body.splitlines()]

    def owed(self):
        return sorted(self.sender.journal.pending)


def owed(firm, name, cls):
    """A record as of a message that was just taken on."""
    return PendingDelivery(name, cls, 7, firm.world.wall() + 8 * S, "k" if cls in ("keyed", "zoned") else None, b"body")


@pytest.fixture
def firm(tmp_path):
    return Firm(tmp_path)


def play(firm, function):
    firm.world.play(lambda: (firm.watched(), function()))


def test_a_message_is_in_the_journal_before_its_answer_and_out_of_it_once_delivered(firm):
    def steps():
        firm.taken("m")
        assert firm.owed() == ["m"]
        sock, request = firm.call()
        assert request.fields["x-request-id"] == "m"
        assert firm.sender.journal.pending["m"].in_flight
        sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, steps)


def test_what_is_refused_in_its_turn_gets_429_and_is_not_journaled(firm):
    def steps():
        assert firm.answer(firm.hand_in("m", deadline="1u")).status == 429
        assert firm.owed() == []
        assert firm.endpoint.accepted == 0

    play(firm, steps)


def test_a_full_sender_turns_away_with_503_and_when_to_come_back(tmp_path):
    firm = Firm(tmp_path, disk=100_000)

    def steps():
        firm.taken("m")
        answer = firm.answer(firm.hand_in("n", body=b"x" * 60_000))
        assert answer.status == 503
        assert answer.fields["retry-after"] == "1.000"

    play(firm, steps)


def test_a_client_that_goes_before_its_answer_leaves_nothing_behind(firm):
    def steps():
        firm.hand_in("m").close()
        firm.world.sleep(S)
        assert firm.owed() == []
        assert firm.sender.tracker.open == {}

    play(firm, steps)


def test_the_id_of_an_open_message_does_nothing_to_it_whoever_sends_it_again(firm):
    """A bad client's body went out under the id of another's message, whose endpoint answered 400 six times over;
    and its leaving took the message away."""

    def steps():
        first = firm.hand_in("m")
        firm.world.sleep(MS // 2)
        early = firm.hand_in("m", body=b"other")
        assert firm.answer(early).status == 409
        early.close()
        assert firm.answer(first).status == 202
        for changes, status in (({}, 202), ({"body": b"other"}, 409), ({"cls": "unsafe"}, 409), ({"key": "k"}, 409)):
            sock = firm.hand_in("m", **changes)
            assert firm.answer(sock).status == status
            sock.close()
        assert firm.owed() == ["m"]
        sock, request = firm.call()
        assert request.body == b"body"
        sock.send(http.answer(500, []))
        assert firm.endpoint.read(sock).body == b"body"
        sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, steps)


def test_an_id_that_is_over_is_not_used_for_another_message_and_is_forgotten_in_time(firm):
    """A bad client's message was taken on under the id of one just delivered; its endpoints answered 400."""

    def steps():
        firm.taken("m")
        sock, _ = firm.call()
        sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])
        assert firm.answer(firm.hand_in("m")).status == 202
        assert firm.owed() == []
        assert firm.answer(firm.hand_in("m", body=b"other")).status == 409
        assert firm.owed() == []
        firm.world.sleep(31 * S)
        firm.taken("n")
        sock, _ = firm.call()
        sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])
        assert list(firm.sender.tracker.finished) == ["n"]

    play(firm, steps)


def test_messages_of_a_call_that_could_not_be_read_go_one_by_one(tmp_path):
    """One that an endpoint does not take was sent again and again together with all that waited: all were given up."""
    firm = Firm(tmp_path, kind="many")

    def steps():
        firm.taken("a", "b", "c")
        sock, _ = firm.call()
        sock.send(http.answer(400, []))
        calls = [firm.call()[1] for _ in range(3)]
        assert sorted(call.fields["x-request-id"] for call in calls) == ["a", "b", "c"]

    play(firm, steps)


def test_a_message_for_a_destination_that_the_list_never_named_is_turned_away(firm):
    def steps():
        answer = firm.answer(firm.hand_in("m", dest=8))
        assert (answer.status, answer.fields["retry-after"]) == (503, "1.000")
        assert firm.sender.tracker.open == {}

    play(firm, steps)


def test_what_is_given_up_is_told_to_the_platform_until_it_hears(firm):
    def steps():
        firm.taken("f", cls="unsafe", deadline="2000m")
        firm.call()[0].close()
        assert firm.notices() == [{"id": "f", "state": "failed"}]
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, steps)


@pytest.mark.parametrize(
    ("cls", "later", "end"),
    [("unsafe", 0, "failed"), ("safe", 0, None), ("keyed", 0, None), ("keyed", 6 * S, "returned")],
)
def test_after_a_death_with_a_pass_out_class_and_window_decide(firm, cls, later, end):
    """It may have run: a fee must not take effect twice, and a key is dropped only so long."""

    def steps():
        firm.taken("m", cls=cls, key="k")
        firm.call()
        firm.die()
        firm.world.clock += later

    play(firm, steps)
    firm.start()

    def again():
        if end:
            assert [(n["id"], n["state"]) for n in firm.notices()] == [("m", end)]
            assert firm.endpoint.accepted == 1
        else:
            sock, request = firm.call()
            assert request.fields["x-request-id"] == "m"
            assert request.fields["idempotency-key"] == "k"
            assert request.body == b"body"
            sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, again)


def test_attempts_are_counted_across_a_death(tmp_path):
    firm = Firm(tmp_path, max_attempts=2)

    def steps():
        firm.taken("m")
        sock, _ = firm.call()
        sock.send(http.answer(500, []))
        firm.world.wait_until(lambda: not firm.sender.journal.pending["m"].in_flight)
        firm.die()

    play(firm, steps)
    firm.start()

    def again():
        sock, _ = firm.call()
        sock.send(http.answer(500, []))
        assert firm.notices() == [
            {"id": "m", "state": "returned", "after_ms": firm.sender.journal.pending["m"].retry_after_ms}
        ]

    play(firm, again)


@pytest.mark.parametrize(
    ("cls", "ran"), [("safe", False), ("keyed", False), ("zoned", False), ("unsafe", False), ("zoned", True)]
)
@pytest.mark.parametrize("ask", [True, False])
def test_all_that_a_restart_finds_and_may_be_sent_has_its_call(tmp_path, cls, ran, ask):
    """Before a pushed list had come the module knew no route: it kept four a destination and refused the others, also
    such as may have run in a zone, whose clients come again where nobody knows the repeat."""
    firm = Firm(tmp_path, polls_endpoint_list=ask, max_queued=24, call_slots=30)
    names = [f"m{number}" for number in range(24)]

    def gone(health):
        firm.watch.send(chunk(list_update(2, host_row("e", firm.endpoint.address, health=health))))

    def steps():
        gone("terminating")  # so nothing goes out before the death
        firm.world.wait_until(lambda: firm.sender.endpoint_list.seq == 2)
        for name in names:
            firm.sender.journal.record_accepted(owed(firm, name, cls))
            if ran:
                firm.sender.journal.record_attempt_started([name], firm.world.wall(), "a")
        firm.die()

    play(firm, steps)
    firm.start()

    def again():
        firm.world.sleep(S)  # a list that is pushed may take its time
        gone("in_service")
        while firm.owed():
            sock, request = firm.call()
            names.remove(request.fields["x-request-id"])
            sock.send(http.answer(200, []))
            firm.world.sleep(MS)
        assert not names
        assert not firm.posts

    play(firm, again)


def test_notices_that_were_not_delivered_go_out_after_a_death(firm):
    def steps():
        firm.taken("f", cls="unsafe", deadline="2000m")
        firm.call()[0].close()
        firm.platform.read(firm.platform.accept())
        firm.die()

    play(firm, steps)
    firm.start()
    play(firm, lambda: firm.notices() == [{"id": "f", "state": "failed"}] or pytest.fail("not this notice"))


def test_a_told_wait_and_a_drain_stop_what_has_not_begun(firm):
    """A dial may last past either: both are looked at again before a call's first byte."""
    entry = firm.sender.endpoint_list.entries["e"]

    def steps():
        assert firm.sender.dispatcher.may_begin(entry)
        firm.taken("m")
        sock, _ = firm.call()
        sock.send(http.answer(429, [("Retry-After", "0.5")]))
        firm.world.wait_until(lambda: not firm.sender.dispatcher.may_begin(entry))
        firm.sender.dispatcher.forget_expired_waits()  # this one has not expired
        assert not firm.sender.dispatcher.may_begin(entry)
        firm.world.sleep(600 * MS)
        assert firm.sender.dispatcher.may_begin(entry)
        firm.watch.send(chunk(list_update(2, host_row("e", firm.endpoint.address, health="terminating"), whole=False)))
        firm.world.wait_until(lambda: "e" in firm.sender.endpoint_list.left_at)
        firm.world.sleep(900 * MS)
        assert not firm.sender.dispatcher.may_begin(entry)

    play(firm, steps)


def test_sends_of_a_turn_form_one_call_unless_its_body_would_be_too_long(tmp_path):
    firm = Firm(tmp_path, kind="many")

    def steps():
        firm.taken("a", "b")
        _sock, request = firm.call()
        assert [row["id"] for row in json.loads(bytes(request.body))] == ["a", "b"]
        firm.taken("c", "d", body=b"x" * 30_000)
        calls = [firm.call()[1] for _ in range(2)]
        assert [call.fields["x-request-id"] for call in calls] == ["c", "d"]

    play(firm, steps)


@pytest.mark.parametrize("spans", [("3000m", "8000m", "5000m"), ("8000m", "5000m", "3000m")])
def test_in_a_call_with_several_the_one_whose_time_ends_last_stands_first(tmp_path, spans):
    firm = Firm(tmp_path, kind="many")

    def steps():
        clients = [firm.hand_in(name, deadline=span) for name, span in zip("abc", spans, strict=False)]
        assert [firm.answer(client).status for client in clients] == [202, 202, 202]
        sock, request = firm.call()
        spans_sent = [spans["abc".index(row["id"])] for row in json.loads(request.body)]
        assert spans_sent == ["8000m", "5000m", "3000m"]
        rows = [{"id": row["id"], "state": "accepted"} for row in json.loads(request.body)]
        sock.send(http.answer(200, [], json.dumps(rows).encode()))
        firm.world.wait_until(lambda: firm.owed() == [])

    play(firm, steps)


def test_a_module_that_fails_in_a_turn_refuses_what_came_and_the_rest_carries_on(firm, monkeypatch):
    counted, handle = [], firm.sender.engine.handle
    monkeypatch.setattr(
        sender_loop, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def fails(now, events):
        if any(isinstance(event, Message) for event in events):
            monkeypatch.setattr(firm.sender.engine, "handle", handle)
            raise RuntimeError("seen in a test")
        return handle(now, events)

    monkeypatch.setattr(firm.sender.engine, "handle", fails)

    def steps():
        assert firm.answer(firm.hand_in("m")).status == 503
        firm.taken("n")
        assert firm.owed() == ["n"]
        assert counted == ["the module failed in a turn"]

    play(firm, steps)


@pytest.mark.parametrize("restart", [False, True])
def test_what_the_module_never_ends_has_its_notice_all_the_same(firm, monkeypatch, restart):
    """Its end hung on the module's own book alone: lost from it, a message taken on stayed open for good."""
    counted = []
    monkeypatch.setattr(
        deadline_watch, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def steps():
        firm.taken("m")
        sock, _ = firm.call()
        began = firm.world.now()
        monkeypatch.setattr(Engine, "handle", lambda self, now, events: [])
        if restart:
            firm.die()
            firm.start()
        assert firm.notices() == [{"id": "m", "state": "failed"}]
        assert 7 * S < firm.world.now() - began < 8 * S
        assert counted == ["the module ends every message in its time"]
        sock.close()

    play(firm, steps)


@pytest.mark.parametrize("held_up", [False, True])
def test_a_process_that_was_held_up_past_a_messages_time_ends_it_as_the_module_says(firm, held_up):
    """The module's timer and the sender's own came due in one look, and the sender's failed what may come again."""

    def steps():
        firm.watch.send(chunk(list_update(2, host_row("e", firm.endpoint.address, health="terminating"), whole=False)))
        firm.world.wait_until(lambda: firm.sender.endpoint_list.seq == 2)
        firm.taken("m", deadline="4000m")
        if held_up:
            firm.world.clock += 10 * S
        assert [notice["state"] for notice in firm.notices()] == ["returned"]

    play(firm, steps)


def test_a_send_to_an_endpoint_that_no_list_has_costs_that_attempt_and_not_the_turn(firm, monkeypatch):
    counted, handle, outcomes = [], firm.sender.engine.handle, []
    monkeypatch.setattr(
        attempt_dispatcher, "assert_invariant", lambda condition, name: bool(condition) or counted.append(name)
    )

    def strays(now, events):
        outcomes.extend(event for event in events if isinstance(event, AttemptFinished))
        actions = handle(now, events)
        if any(isinstance(event, Message) for event in events):
            actions.insert(0, Send("m", "ghost", S))
        return actions

    monkeypatch.setattr(firm.sender.engine, "handle", strays)

    def steps():
        firm.taken("m")
        _, call = firm.call()
        assert call.fields["x-request-id"] == "m"
        firm.world.wait_until(lambda: outcomes)
        assert (outcomes[0].endpoint, outcomes[0].outcome) == ("ghost", Outcome.NOT_SENT)
        assert counted == ["the module sends to endpoints that the list has"]

    play(firm, steps)


def test_a_planned_end_answers_finishes_and_leaves_the_rest_to_the_next(firm):
    """Begin nothing that may not finish: what arrives late is taken on, and delivered after the start."""

    def steps():
        firm.taken("out")
        sock, _ = firm.call()
        firm.sender.close()
        began = firm.world.now()
        firm.world.sleep(300 * MS)
        late = firm.hand_in("late")
        assert firm.answer(late).status == 202
        sock.send(http.answer(200, []))
        firm.world.wait_until(lambda: firm.owed() == ["late"])
        firm.world.sleep(60 * S)
        raise AssertionError(f"still running {firm.world.now() - began} later")

    firm.world.spawn(lambda: (firm.watched(), steps()))
    began = firm.world.now()
    firm.world.run()
    assert firm.world.failure is None
    assert firm.world.now() - began < 4 * S
    assert firm.endpoint.accepted == 1
    assert firm.owed() == ["late"]


def test_what_is_handed_in_as_the_listener_closes_is_sent_and_its_answer_waited_for(firm, monkeypatch):
    """With nothing open at SIGTERM the process ends early; it left with the call of the last message out, which may
    have run by then."""

    def steps():
        for name in "abcde":  # how long a call takes is known
            firm.taken(name)
            sock, _ = firm.call()
            sock.send(http.answer(200, []))
            firm.world.wait_until(lambda: not firm.owed())
            sock.close()
        close, last = firm.sender.ingress.stop_listening, []

        def stop_listening():
            last.append(firm.hand_in("last"))  # waits in the listener's queue
            close()

        monkeypatch.setattr(firm.sender.ingress, "stop_listening", stop_listening)
        firm.sender.close()
        sock, call = firm.call()
        assert call.fields["x-request-id"] == "last"
        assert firm.answer(last[0]).status == 202
        firm.world.sleep(200 * MS)
        sock.send(http.answer(200, []))
        firm.world.sleep(60 * S)
        raise AssertionError("still running")

    firm.world.spawn(lambda: (firm.watched(), steps()))
    firm.world.run()
    assert firm.world.failure is None
    assert firm.owed() == []
