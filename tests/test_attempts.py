"""Attempts against an endpoint simulated by the test: the table of outcomes, and a state machine of connections."""

import dataclasses
import json
import socket

import pytest
from helpers import settings
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from nethelp import MS, AttemptsHarness, S, StubServer, VirtualTimeScheduler, closed, reset, resume_within_poll

from scalefall.net import http, streams
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Outcome

O = Outcome  # noqa: E741


@pytest.fixture
def world():
    return VirtualTimeScheduler()


@pytest.fixture
def calls(world):
    return AttemptsHarness(world, settings(), None)


def begun(world, *names, changed_settings=None, **more):
    """Start a call, and return once its endpoint has read it."""
    peer = StubServer(world)
    calls = AttemptsHarness(world, settings(**(changed_settings or {})), peer.address)
    calls.begin(*names, **more)
    sock = peer.accept()
    return calls, peer, sock, peer.read(sock)


LOAD = ("X-Load", '{"x0":0.4,"x1":25}')
TABLE = [
    (200, [], O.OK, 0, True),
    (500, [], O.ERROR, 0, False),
    (429, [("Retry-After", "1.25")], O.OVERLOADED, 1_250_000, False),
    (503, [], O.OVERLOADED, 0, False),
    (503, [("X-Egress-Full", "1")], O.NOT_SENT, 0, False),
    (504, [], O.NOT_SENT, 0, False),
    (410, [], O.NOT_SENT, 0, True),
    (302, [], O.ERROR, 0, False),
    (429, [("Retry-After", "soon")], O.OVERLOADED, 0, False),
]


@pytest.mark.parametrize(("status", "fields", "outcome", "wait", "finished"), TABLE)
def test_status_and_fields_of_a_single_answer_give_its_outcome(world, status, fields, outcome, wait, finished):
    def play():
        calls, _, sock, request = begun(world, "m")
        assert (request.method, request.target) == ("POST", "/v1/messages")
        assert request.fields["x-request-id"] == "m"
        assert request.fields["idempotency-key"] == "k"
        assert request.fields["x-deadline"] == "2000m"
        assert request.body == b"body"
        sock.send(http.answer(status, [LOAD, *fields], b"whatever"))
        event = calls.outcome("m")
        assert (event.outcome, event.retry_after_us, event.finished) == (outcome, wait, finished)
        assert event.load_report == {"x0": 0.4, "x1": 25}
        assert event.endpoint == "e"
        assert calls.attempts.in_flight == 0

    world.play(play)


def test_each_message_of_a_batch_ends_by_its_state_with_the_retry_after(world):
    def play():
        calls, _, sock, request = begun(world, *"abcdef")
        rows = json.loads(bytes(request.body))
        assert request.target == "/v1/messages:batch"
        assert rows[0] == {"id": "a", "key": "k", "body": "Ym9keQ=="}
        states = ["accepted", "fault", "deferred", "expired", "no_more"]
        body = json.dumps([{"id": name, "state": state} for name, state in zip("abcde", states, strict=False)]).encode()
        sock.send(http.answer(200, [("Retry-After", "0.5")], body))
        assert [
            (calls.outcome(n).outcome, calls.outcome(n).finished, calls.outcome(n).retry_after_us) for n in "abcdef"
        ] == [
            (O.OK, True, 500_000),
            (O.ERROR, False, 500_000),
            (O.OVERLOADED, False, 500_000),
            (O.NOT_SENT, True, 500_000),
            (O.NOT_SENT, False, 500_000),
            (O.ERROR, False, 500_000),
        ]

    world.play(play)


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (429, b"", O.OVERLOADED),
        (500, b"", O.ERROR),
        (413, b"", O.NOT_SENT),
        (200, b"[7]", O.ERROR),
        (200, b"{broken", O.ERROR),
    ],
)
def test_an_answer_without_states_gives_all_messages_of_a_batch_one_outcome(world, status, body, outcome):
    def play():
        calls, _, sock, _ = begun(world, "a", "b")
        sock.send(http.answer(status, [], body))
        assert [calls.outcome(name).outcome for name in "ab"] == [outcome] * 2

    world.play(play)


BREAKS = [
    (b"", O.RESET),
    (b"HTTP/1.", O.RESET),
    (b"junk\r\n", O.ERROR),
    (b"HTTP/1.1 200 OK\r\n", O.OK),
    (b"HTTP/1.1 503 x\r\n", O.OVERLOADED),
    (b"HTTP/1.1 100 Continue\r\n\r\n", O.RESET),
]


@pytest.mark.parametrize("end", [reset, socket.socket.close])
@pytest.mark.parametrize(("sent", "outcome"), BREAKS)
def test_outcome_of_a_connection_that_breaks_after_the_requests_last_byte(world, sent, outcome, end):
    def play():
        calls, _, sock, _ = begun(world, "m")
        sock.send(sent)
        world.sleep(MS)
        end(sock)
        assert calls.outcome("m").outcome is outcome

    world.play(play)


OK_LINE = b"HTTP/1.1 200 OK\r\n"
MALFORMED = [
    (b"\x00\xff\x13 noise with no end of a line", O.ERROR),
    (b"HTTP/1.7 200 OK\r\n\r\n", O.ERROR),
    (b"HTTP/1.1 two hundred\r\n\r\n", O.ERROR),
    (b"HTTP/1.1 101 Go\r\n\r\n", O.ERROR),
    (b"HTTP/1.1 100 On\r\n\r\n" * 100, O.ERROR),
    (b"HTTP/1.1 503 No\r\nX: y\r\n", O.ERROR),
    (b"HTTP/1.1 429 No\r\nRetry-After: 9\r\nContent-Length: 70\r\n\r\nx", O.ERROR),
    (b"HTTP/1.1 503 No\r\nContent-Length: -4\r\n\r\n", O.ERROR),
    (OK_LINE + b"X: y\r\n", O.OK),
    (OK_LINE + b"no field\r\n\r\n", O.OK),
    (OK_LINE + b"X: " + b"y" * 40_000, O.OK),
    (OK_LINE + b"Content-Length: 9\r\n\r\nx", O.OK),
    (OK_LINE + b"Content-Length: 3221225472\r\n\r\nxx", O.OK),
    (OK_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", O.OK),
    (OK_LINE + b"Content-Length: 1, 2\r\n\r\n", O.OK),
    (OK_LINE + b"\r\n", O.OK),
    (OK_LINE + b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", O.OK),
]


@pytest.mark.parametrize(("sent", "outcome"), MALFORMED)
def test_a_malformed_answer_ends_its_call_soon_and_closes_its_connection(world, sent, outcome):
    """A status of 200 is final, but the message stayed in the journal forever. After any other malformed answer the
    call may have run. Calls waited until their deadline for the rest of the answer, and used up a slot."""

    def play():
        calls, _, sock, _ = begun(world, "m", remaining_us=30 * S)
        started_at = world.now()
        sock.send(sent)
        event = calls.outcome("m")
        assert (event.outcome, event.finished, event.retry_after_us) == (outcome, outcome is O.OK, 0)
        assert world.now() - started_at < 2 * S
        assert closed(world, sock)
        assert not calls.attempts._pool._idle

    world.play(play)


@pytest.mark.parametrize(
    "sent",
    [
        http.answer(200, [], b"[" * 20_000),
        http.answer(200, [], b"{"),
        OK_LINE + b"\r\n[",
        http.answer(200, [], b'[{"id":"a","state":["accepted"]}]'),
    ],
)
def test_all_messages_of_a_batch_with_a_malformed_answer_may_have_run(world, sent):
    def play():
        calls, _, sock, _ = begun(world, "a", "b", remaining_us=30 * S)
        sock.send(sent)
        assert [calls.outcome(name).outcome for name in "ab"] == [O.ERROR] * 2
        assert closed(world, sock)

    world.play(play)


@pytest.mark.parametrize("more", [http.answer(200, []), b"noise"])
@pytest.mark.parametrize("span", [0, 5 * MS])
def test_surplus_bytes_after_an_answer_do_not_answer_the_next_call(world, more, span):
    def play():
        calls, peer, sock, _ = begun(world, "m")
        ahead = b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
        sock.send(ahead + http.answer(200, []) + (b"" if span else more))
        assert calls.outcome("m").outcome is O.OK
        calls.begin("n")
        if span:
            world.sleep(span)
            sock.send(more)
        other = peer.accept()
        peer.read(other)
        other.send(http.answer(500, []))
        assert calls.outcome("n").outcome is O.ERROR
        assert closed(world, sock)

    world.play(play)


@pytest.mark.parametrize(
    "report",
    [
        "{",
        "[]",
        '{"x1":NaN}',
        '{"x1":-1}',
        '{"x0":Infinity}',
        '{"x1":"lots"}',
        '{"x1":1%s}' % ("0" * 400),
        "[" * 15_000,
        "\xff",
    ],
)
def test_an_unreadable_load_report_is_ignored_and_its_answer_counts(world, report):
    def play():
        calls, _, sock, _ = begun(world, "m")
        sock.send(http.answer(200, [("X-Load", report)]))
        event = calls.outcome("m")
        assert (event.outcome, event.finished, event.load_report) == (O.OK, True, {})

    world.play(play)


def test_a_refused_dial_and_one_that_times_out_are_connect_failures(world):
    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(dial_timeout_us=S), peer.address)
        full = [socket.socket() for _ in range(80)]  # fill the listener's backlog: the dial gets no answer
        for sock in full:
            sock.setblocking(False)
            sock.connect_ex(peer.address)
        started_at = world.now()
        calls.begin("m", remaining_us=5 * S)
        assert calls.outcome("m").outcome is O.CONNECT_FAILED
        assert S <= world.now() - started_at < 2 * S
        peer.listener.close()
        calls.begin("n")
        assert calls.outcome("n").outcome is O.CONNECT_FAILED
        for sock in full:
            sock.close()

    world.play(play)


def test_a_call_whose_last_byte_was_not_written_is_a_connect_failure_however_it_ends(world):
    """The last byte decides between connect failure and reset: an endpoint that stops reading has not received it."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        for name, end in (("broken", reset), ("slow", None), ("cancelled", None)):
            message = calls.message(name)
            message.body = b"x" * (8 << 20)
            calls.attempts.begin(calls.entry, [message])
            sock = peer.accept()
            world.sleep(10 * MS)
            if end:
                end(sock)
            elif name == "cancelled":
                calls.attempts.cancel(name, 0)
            assert calls.outcome(name).outcome is O.CONNECT_FAILED

    world.play(play)


@pytest.mark.parametrize("ends", ["start-by time", "deadline"])
def test_a_call_is_not_completed_after_the_start_by_time_or_deadline_of_a_message(world, ends):
    """The endpoint reads the last byte late: by then a repeat would run again, or a message has its final answer."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        early = {"start_by_us": world.now() + S} if ends == "start-by time" else {"remaining_us": S}
        messages = [
            calls.message("long", remaining_us=5 * S),
            calls.message("early", **{"remaining_us": 5 * S} | early),
        ]
        messages[0].body = b"x" * (8 << 20)
        calls.attempts.begin(calls.entry, messages)
        sock = peer.accept()
        world.sleep(2 * S)
        reader = http.RequestReader(1 << 24)
        while not reader.complete and (data := streams.receive(world, sock, world.now() + S)):
            reader.feed(data)
        assert not reader.complete
        assert calls.outcome("early").outcome is calls.outcome("long").outcome is O.CONNECT_FAILED

    world.play(play)


@pytest.mark.parametrize(("received", "outcome"), [(b"HTTP/1.1 2", O.ERROR), (b"x", O.ERROR), (None, O.RESET)])
def test_bytes_or_a_close_on_an_idle_connection_just_before_a_call_affect_that_call_alone(world, received, outcome):
    """The endpoint sends half a line or closes between the pool's check of the connection and the first byte: the call
    may have run, and the connection must not be reused."""

    def play():
        calls, peer, sock, _ = begun(world, "first")
        sock.send(http.answer(200, []))
        assert calls.outcome("first").outcome is O.OK
        world.sleep(20 * MS)

        def may_begin(_):  # called between the check and the first byte
            sock.send(received) if received else sock.close()
            return True

        calls.attempts._may_begin = may_begin
        calls.begin("second")
        if received:
            peer.read(sock)
            sock.send(http.answer(200, []))
        assert calls.outcome("second").outcome is outcome
        calls.attempts._may_begin = lambda _: True
        calls.begin("third")
        sock = peer.accept()  # on a connection of its own
        assert peer.read(sock).fields["x-request-id"] == "third"

    world.play(play)


@pytest.mark.parametrize("first", ["answer", "cancel"])
def test_a_call_that_is_answered_and_cancelled_at_the_same_time_has_one_outcome(world, first):
    def play():
        calls, peer, sock, _ = begun(world, "m")
        resume_within_poll(world)
        sock.send(http.answer(200, []))
        if first == "answer":
            calls.outcome("m")
        calls.attempts.cancel("m", 0)
        assert calls.outcome("m").outcome is (O.OK if first == "answer" else O.CANCELLED)
        world.sleep(S)
        assert len(calls.outcomes) == 1
        calls.begin("n")  # not on a connection with an unread answer to another call
        sock = peer.accept() if first == "cancel" else sock
        assert peer.read(sock).fields["x-request-id"] == "n"

    world.play(play)


def test_a_cancelled_message_of_a_batch_ends_with_the_last_message(world):
    """While the connection is open a message is in flight: reported as ended before, it could be sent a second time."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        calls.attempts.begin(
            calls.entry, [calls.message("short", remaining_us=S), calls.message("long", remaining_us=3 * S)]
        )
        sock = peer.accept()
        peer.read(sock)
        world.sleep(2 * S)
        calls.attempts.cancel("short", 0)
        assert calls.outcomes == []
        assert calls.outcome("long").outcome is calls.outcome("short").outcome is O.TIMEOUT
        assert closed(world, sock)

    world.play(play)


def test_an_attempt_that_may_not_begin_after_its_dial_is_not_sent_and_its_connection_is_kept(world):
    """A drain of the endpoint or a Retry-After may start during the dial."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        calls.may_begin = False
        calls.begin("m")
        sock = peer.accept()
        assert calls.outcome("m").outcome is O.NOT_SENT
        calls.may_begin = True
        world.sleep(20 * MS)
        calls.begin("n")
        assert peer.read(sock).fields["x-request-id"] == "n"
        assert peer.accepted == 1

    world.play(play)


def test_a_message_past_its_idempotency_window_is_left_out_of_a_call(world):
    """A call was sent although its dial had outlasted the idempotency key: the endpoint ran the repeat again."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        calls.attempts.begin(
            calls.entry,
            [calls.message("late", start_by_us=world.now() - 1), calls.message("fine", start_by_us=world.now() + S)],
        )
        sock = peer.accept()
        assert peer.read(sock).fields["x-request-id"] == "fine"
        assert calls.outcome("late").outcome is O.NOT_SENT
        sock.send(http.answer(200, []))
        assert calls.outcome("fine").outcome is O.OK
        calls.attempts.begin(calls.entry, [calls.message("alone", start_by_us=world.now() - 1)])
        assert calls.outcome("alone").outcome is O.NOT_SENT

    world.play(play)


def test_a_message_that_ended_during_the_dial_is_left_out_of_a_call(world):
    """A call with several messages dials until the latest deadline among them: with slow connections, a message whose
    deadline had passed, and which had its final answer, was sent with the others."""

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        calls.attempts._is_pending = lambda name: name != "withdrawn"
        calls.attempts.begin(
            calls.entry,
            [calls.message("over", remaining_us=10 * MS), calls.message("withdrawn"), calls.message("fine")],
        )
        world.clock += 20 * MS  # the connection comes up late
        sock = peer.accept()
        assert peer.read(sock).fields["x-request-id"] == "fine"
        assert calls.outcome("over").outcome is calls.outcome("withdrawn").outcome is O.NOT_SENT
        sock.send(http.answer(200, []))
        assert calls.outcome("fine").outcome is O.OK

    world.play(play)


REJECTIONS = [
    ([], 503, True, O.CONNECTIONS_EXHAUSTED),
    ([LOAD], 503, True, O.OVERLOADED),
    ([], 429, True, O.OVERLOADED),
    ([], 503, False, O.OVERLOADED),
    ([("Retry-After", "1.25")], 503, True, O.OVERLOADED),
    ([("X-Egress-Full", "1")], 503, True, O.NOT_SENT),
]


@pytest.mark.parametrize(("fields", "status", "reports", "outcome"), REJECTIONS)
def test_a_503_without_load_report_on_a_new_connection_means_connections_exhausted(
    world, fields, status, reports, outcome
):
    def play():
        calls, peer, sock, _ = begun(world, "m", changed_settings={"answers_carry_report": reports})
        sock.send(http.answer(status, fields, b""))
        assert calls.outcome("m").outcome is outcome
        if outcome is O.CONNECTIONS_EXHAUSTED:  # on an accepted connection, the same answer rejects the call
            calls.begin("n")
            world.sleep(50 * MS)
            sock = peer.accept()
            peer.read(sock)
            sock.send(http.answer(200, [LOAD], b""))
            assert calls.outcome("n").outcome is O.OK
            world.sleep(30 * MS)
            calls.begin("o")
            peer.read(sock)
            sock.send(http.answer(503, [], b""))
            assert calls.outcome("o").outcome is O.OVERLOADED

    world.play(play)


@pytest.mark.parametrize(("senders", "span"), [(1, 5 * S), (40, 125 * MS)])
def test_an_idle_connection_is_kept_for_the_idle_timeout_divided_by_the_senders(world, senders, span):
    def play():
        calls, _, sock, _ = begun(world, "m", changed_settings={"replica_count": senders, "idle_close_us": 5 * S})
        sock.send(http.answer(200, [LOAD], b""))
        calls.outcome("m")
        answered = world.now()
        assert closed(world, sock)
        assert span * 0.8 <= world.now() - answered <= span + 40 * MS

    world.play(play)


def test_at_the_socket_limit_the_longest_idle_connection_is_closed(world):
    def play():
        peers = [StubServer(world) for _ in range(3)]
        calls, socks = AttemptsHarness(world, settings(), None, max_sockets=2), []
        for n, peer in enumerate(peers):
            calls.entry = Entry(calls.entry.endpoint, peer.address)
            calls.begin(str(n))
            socks.append(peer.accept())
            peer.read(socks[n])
            socks[n].send(http.answer(200, []))
            calls.outcome(str(n))
        assert closed(world, socks[0])
        assert len(calls.attempts._pool._idle) == 2

    world.play(play)


def test_a_new_endpoint_at_a_known_address_is_not_the_old_one(world):
    """Connections were pooled by address: the removal of an endpoint closed those of its successor at the address."""

    def play():
        calls, peer, sock, _ = begun(world, "m")
        sock.send(http.answer(200, []))
        calls.outcome("m")
        old = calls.entry
        calls.entry = Entry(dataclasses.replace(old.endpoint, id="new"), old.address)
        calls.begin("n")
        new = peer.accept()
        peer.read(new)
        new.send(http.answer(200, []))
        calls.outcome("n")
        calls.attempts.close_idle(old)
        assert closed(world, sock)
        world.sleep(20 * MS)
        calls.begin("o")
        assert peer.read(new).fields["x-request-id"] == "o"
        assert peer.accepted == 2
        assert calls.attempts._pool._idle_by_endpoint == {}  # no entry remains for an endpoint without idle connections

    world.play(play)


def test_a_call_that_must_not_run_twice_avoids_stale_connections_while_these_are_often_lost(world):
    """A fifth of the connections idle for 0.1 s were reset at the next request, and a message that must not run twice
    failed on one of them."""

    def play():
        peer = StubServer(world)
        calls, number = AttemptsHarness(world, settings(idle_close_us=60 * S), peer.address), 0

        def call(sock=None, end=None, **more):
            nonlocal number
            number += 1
            calls.begin(f"m{number}", **more)
            if sock is None:
                sock = peer.accept()
            peer.read(sock)
            end(sock) if end else sock.send(http.answer(200, []))
            assert calls.outcome(f"m{number}").outcome is (O.RESET if end else O.OK)
            world.sleep(20 * MS)
            return sock

        sock = call()
        world.sleep(S)
        call(sock, not_idempotent=True)  # no stale connection has been lost yet
        for _ in range(2):
            world.sleep(S)
            call(sock, end=reset)
            sock = call()
        assert call(sock, not_idempotent=True) is sock  # not stale
        world.sleep(S)
        other = call(not_idempotent=True)
        call(other)  # the most recently used connection
        world.sleep(S)
        for _ in range(40):  # calls that may run twice still use it, and none is lost
            call(other)
            world.sleep(S)
        assert call(other, not_idempotent=True) is other

    world.play(play)


class Connections(RuleBasedStateMachine):
    """The connections and their states as the endpoint sees them, under random steps of both sides."""

    @initialize()
    def start(self):
        self.world, self.number = VirtualTimeScheduler(), 0
        self.peer = StubServer(self.world)
        self.calls = AttemptsHarness(self.world, settings(idle_close_us=5 * S, replica_count=1), self.peer.address)
        self.idle, self.out, self.known = [], {}, 0

    def step(self, function):
        self.world.play(function)

    def end(self, data, name, outcome, end=None):
        sock = self.out.pop(name)

        def play():
            if data:
                sock.send(data)
            if end:
                self.world.sleep(MS)
                end(sock)
            assert self.calls.outcome(name).outcome is outcome

        self.step(play)
        return sock

    @rule(names=st.integers(1, 3))
    def begin(self, names):
        def play():
            self.number += 1
            name = f"m{self.number}"
            self.calls.begin(name, *(f"{name}-{n}" for n in range(1, names)), remaining_us=60 * S)
            if self.idle:
                sock = self.idle.pop()  # the most recently used
            else:
                sock, self.known = self.peer.accept(), self.known + 1
            body = self.peer.read(sock)
            assert name in (body.fields.get("x-request-id") or bytes(body.body).decode())
            self.out[name] = sock

        self.step(play)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), row=st.sampled_from([row for row in TABLE if row[0] != 200]), keep=st.booleans())
    def answer(self, data, row, keep):
        name = data.draw(st.sampled_from(sorted(self.out)))
        sock = self.end(http.answer(row[0], row[1], b"x", keep), name, row[2])
        self.step(lambda: self.world.sleep(20 * MS))
        if keep:
            self.idle.append(sock)

    @precondition(lambda self: self.out)
    @rule(data=st.data(), end=st.sampled_from([reset, socket.socket.close]))
    def lose(self, data, end):
        self.end(b"", data.draw(st.sampled_from(sorted(self.out))), O.RESET, end)

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def send_garbage(self, data):
        self.end(b"garbage\r\n", data.draw(st.sampled_from(sorted(self.out))), O.ERROR)

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.out)))
        one = self.calls.attempts._in_flight[name, 0]
        for message in list(one.messages):
            self.calls.attempts.cancel(message.id, 0)
        sock = self.end(b"", name, O.CANCELLED)
        self.calls.attempts.cancel(name, 0)  # again, after its end: no effect
        self.step(lambda: closed(self.world, sock) or self.fail())

    @precondition(lambda self: self.idle)
    @rule(data=st.data(), surplus=st.sampled_from([b"", b"HTTP/1.1 200 OK\r\n\r\n"]))
    def end_idle(self, data, surplus):
        """The endpoint closes an idle connection or sends unexpected bytes: it is not used again."""
        sock = self.idle.pop(data.draw(st.integers(0, len(self.idle) - 1)))

        def play():
            sock.send(surplus) if surplus else sock.close()
            self.world.sleep(MS)

        self.step(play)

    @rule()
    def close_idle(self):
        self.calls.attempts.close_idle(self.calls.entry)
        self.all_closed()

    @rule()
    def idle_too_long(self):
        self.step(lambda: self.world.sleep(4600 * MS))
        self.all_closed()

    def all_closed(self):
        socks, self.idle = self.idle, []
        for sock in socks:
            self.step(lambda sock=sock: closed(self.world, sock) or self.fail())

    def fail(self):
        raise AssertionError("the connection should be closed")

    @invariant()
    def counts_agree(self):
        if hasattr(self, "world"):
            assert self.peer.accepted == self.known
            assert self.calls.attempts.in_flight == len(self.out)
            assert len(self.calls.attempts._pool._idle) == len(self.idle)
            reported = [(event.id, event.attempt) for event in self.calls.outcomes]
            assert len(reported) == len(set(reported))

    def teardown(self):
        if hasattr(self, "world"):
            for sock in [*self.idle, *self.out.values(), self.peer.listener]:
                sock.close()


Connections.TestCase.settings = limits(max_examples=40, stateful_step_count=30, deadline=None, derandomize=True)
TestConnections = Connections.TestCase
