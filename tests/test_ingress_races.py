"""Races between bytes that arrive and the close of their connection, in both orders, on real sockets."""

import socket

import pytest
from nethelp import MS, S, closed, read, resume_within_poll
from test_ingress_server import HEAD, IngressHarness

from scalefall.net import http
from scalefall.net.client_connection import EVICTION_GRACE_US, MAX_LINGER_BYTES
from scalefall.net.connection_handler import IDLE_TIMEOUT_US
from scalefall.net.delivery_request import Accepted
from scalefall.net.scheduler import TIMED_OUT

CLOSE_REASONS = {
    "shutdown": lambda harness: harness.ingress.close_idle(),
    "drain": lambda harness: harness.ingress.drain(True),
    "idle timeout": lambda harness: setattr(harness.world, "clock", harness.world.clock + IDLE_TIMEOUT_US + S),
}


def idle_connection(harness):
    sock = harness.dial()
    harness.send_request(sock, X_Request_Id="first")
    assert harness.answer(sock).status == 202
    harness.world.sleep(MS)
    return sock


def read_to_end(sock):
    """Return what arrives before the end of the stream; fails if the connection is reset."""
    sock.setblocking(True)
    sock.settimeout(10)
    data = b""
    while piece := sock.recv(4096):
        data += piece
    return data


@pytest.mark.parametrize("reason", CLOSE_REASONS)
def test_a_request_that_arrived_before_its_idle_connection_is_closed_is_answered(reason):
    harness = IngressHarness(result=Accepted())

    def play():
        sock = idle_connection(harness)
        resume_within_poll(harness.world)
        harness.send_request(sock, X_Request_Id="second")  # not read yet
        CLOSE_REASONS[reason](harness)
        assert harness.answer(sock).status == 202
        assert [one.id for one in harness.submitted] == ["first", "second"]
        assert not harness.withdrawn

    harness.world.play(play)


@pytest.mark.parametrize("reason", CLOSE_REASONS)
def test_a_request_that_arrives_after_its_idle_connection_was_closed_is_never_submitted(reason):
    """Its client sees the connection close without an answer, as it may between requests, and sends it elsewhere."""
    harness = IngressHarness(result=Accepted())

    def play():
        sock = idle_connection(harness)
        resume_within_poll(harness.world)
        CLOSE_REASONS[reason](harness)
        harness.world.sleep(2 * MS)
        for _ in range(3):  # more than one read returns
            harness.send_request(sock, X_Request_Id="second", body=b"x" * 60_000)
            harness.world.sleep(MS)
        sock.shutdown(socket.SHUT_WR)
        harness.world.sleep(5 * MS)
        assert read_to_end(sock) == b""
        assert [one.id for one in harness.submitted] == ["first"]
        assert not harness.ingress._clients

    harness.world.play(play)


@pytest.mark.parametrize("trailing", [b"", b"P", b"POST /safe HTTP/1.1\r\nX-Request-Id: second\r\n", b"x" * 100_000])
def test_bytes_after_a_request_do_not_lose_its_answer(trailing):
    """Closing with these bytes unread reset the connection, and an answer on its way was lost with it."""
    harness = IngressHarness()

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        harness.world.wait_until(lambda: harness.submitted)
        harness.ingress.close_idle()
        resume_within_poll(harness.world)
        harness.submitted[0].decide(Accepted())  # the client's task resumes in this same step
        sock.send(trailing)
        harness.world.sleep(10 * MS)
        sock.shutdown(socket.SHUT_WR)
        harness.world.sleep(10 * MS)
        reader = http.AnswerReader()
        reader.feed(read_to_end(sock))
        assert (reader.status, reader.keep, len(harness.submitted)) == (202, False, 1)
        assert not harness.withdrawn

    harness.world.play(play)


def test_a_client_that_does_not_close_is_closed_after_the_linger_time():
    harness = IngressHarness(result=Accepted())

    def play():
        sock = idle_connection(harness)
        harness.ingress.close_idle()
        assert closed(harness.world, sock)
        harness.world.sleep(S)
        assert not harness.ingress._clients

    harness.world.play(play)


@pytest.mark.parametrize("late", [False, True])
def test_a_connection_in_the_listeners_queue_at_its_close_is_served(late):
    harness = IngressHarness(result=Accepted())

    def play():
        resume_within_poll(harness.world)  # the connection is not accepted before the listener closes
        sock = harness.dial()
        if not late:
            harness.send_request(sock)
        harness.ingress.close_idle()
        harness.ingress.stop_listening()
        if late:  # its request arrives after the close
            harness.world.sleep(MS)
            harness.send_request(sock)
        assert harness.answer(sock).status == 202
        assert len(harness.submitted) == 1
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(harness.address)

    harness.world.play(play)


def test_answers_arrive_in_full_when_the_process_ends():
    harness = IngressHarness(result=Accepted())

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        reader = read(harness.world, sock, http.AnswerReader())
        resume_within_poll(harness.world)
        sock.send(b"half a request")
        harness.ingress.shut_down_connections()
        for client in list(harness.ingress._clients):  # as the end of the process does
            harness.ingress._close(client)
        assert reader.status == 202
        assert read_to_end(sock) == b""

    harness.world.play(play)


REQUEST = http.request("POST", "/safe", "s", list(HEAD.items()), b"body")
SENT_BEFORE_THE_END = {  # what a connection has sent, and what is still to come when the process ends it
    "no request yet": (b"", REQUEST),
    "half a request": (REQUEST[:20], REQUEST[20:]),
    "a request that was answered": (REQUEST, REQUEST),
}


@pytest.mark.parametrize("sent", SENT_BEFORE_THE_END)
@pytest.mark.parametrize("arrives", ["before the end, unread", "after the end", "as its time is up"])
def test_a_request_that_crosses_the_end_of_its_connection_at_a_shutdown_is_never_submitted(sent, arrives):
    """Guards against requests that were forwarded while their clients saw the connection end with no answer."""
    harness = IngressHarness(result=Accepted())
    earlier, later = SENT_BEFORE_THE_END[sent]

    def play():
        sock = harness.dial()
        sock.send(earlier)
        harness.world.sleep(MS)
        submitted_count = len(harness.submitted)
        resume_within_poll(harness.world)
        if arrives == "before the end, unread":
            sock.send(later)
        if arrives == "as its time is up":  # the connection's task resumes after the end, for another reason
            (client,) = harness.ingress._clients
            harness.world.wake(client.task, TIMED_OUT)
        harness.ingress.shut_down_connections()
        if arrives != "before the end, unread":
            sock.send(later)
        harness.world.sleep(5 * MS)
        assert len(harness.submitted) == submitted_count
        sock.shutdown(socket.SHUT_WR)
        assert read_to_end(sock).count(b"202 ") == submitted_count

    harness.world.play(play)


def test_a_connection_that_has_just_been_accepted_submits_nothing_after_its_end():
    """Guards against the same for a connection whose task runs for the first time after the end."""
    harness = IngressHarness(result=Accepted())

    def play():
        resume_within_poll(harness.world)
        sock = harness.dial()
        harness.ingress.stop_listening()
        harness.ingress.shut_down_connections()
        harness.send_request(sock)
        harness.world.sleep(5 * MS)
        assert harness.submitted == []

    harness.world.play(play)


def test_a_request_that_waits_for_its_result_is_answered_though_the_other_connections_end():
    """Guards against an answer that cannot be written any more, so that its message is withdrawn after its call."""
    harness = IngressHarness()

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        harness.world.wait_until(lambda: harness.submitted)
        harness.ingress.close_idle()
        harness.ingress.shut_down_connections()
        harness.submitted[0].decide(Accepted())
        assert harness.answer(sock).status == 202
        assert not harness.withdrawn

    harness.world.play(play)


def test_a_connection_that_lingers_after_its_answer_stays_open_until_the_process_has_ended():
    """Guards against an answer that is lost as its connection is closed too early, and reset by further bytes."""
    harness = IngressHarness(result=Accepted())

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        harness.ingress.close_idle()
        harness.world.wait_until(lambda: harness.submitted)
        harness.world.sleep(MS)  # answered, and the connection lingers
        harness.ingress.shut_down_connections()
        harness.world.sleep(MS)
        sock.send(b"more")
        harness.world.sleep(MS)
        sock.send(b"and more")
        reader = http.AnswerReader()
        reader.feed(read_to_end(sock))
        assert reader.status == 202

    harness.world.play(play)


@pytest.mark.parametrize("has_request", [False, True])
def test_an_idle_connection_with_an_unread_request_is_not_evicted(has_request):
    harness = IngressHarness(max_clients=4, result=Accepted())
    harness.ingress._max_clients = 8  # less than half full while they connect
    socks = []

    def play():
        socks.extend(idle_connection(harness) for _ in range(3))
        harness.ingress._max_clients = 3
        resume_within_poll(harness.world)
        if has_request:
            harness.send_request(socks[0], X_Request_Id="second")
        assert harness.ingress.eviction.close_one()
        assert harness.answer(socks[0]).status == 202 if has_request else closed(harness.world, socks[0])
        assert len(harness.ingress._clients) == 2

    harness.world.play(play)


def test_a_client_that_floods_does_not_delay_the_end_of_the_process():
    harness = IngressHarness(result=Accepted())

    class EndlessSocket:
        """A socket that always has more bytes to read."""

        bytes_read = 0

        def __init__(self, sock):
            self.sock = sock

        def __getattr__(self, name):
            return getattr(self.sock, name)

        def recv(self, size, *flags):
            self.bytes_read += size
            assert self.bytes_read < 100 * MAX_LINGER_BYTES, "reads without a limit"
            return b"x" * size

        def recv_into(self, buffer):
            return len(self.recv(len(buffer)))

    def play():
        idle_connection(harness)
        (client,) = harness.ingress._clients
        client.sock = EndlessSocket(client.sock)
        harness.ingress.shut_down_connections()
        assert client.sock.bytes_read >= MAX_LINGER_BYTES
        client.sock = client.sock.sock

    harness.world.play(play)


@pytest.mark.parametrize("begun", [b"", b"POST /safe HTTP/1.1\r\n"])
def test_a_connection_whose_request_is_complete_but_unread_is_not_evicted(begun):
    """The grace period has passed with no byte or half a request read, and then the rest arrives. A connection that is
    closed without an answer once its request has been written loses that request."""
    harness = IngressHarness(max_clients=4, result=Accepted())

    def play():
        sock = harness.dial()
        sock.send(begun)
        harness.world.sleep(2 * EVICTION_GRACE_US)
        resume_within_poll(harness.world)
        complete = http.request("POST", "/safe", "s", list(HEAD.items()), b"body")
        sock.send(complete[len(begun) :])
        assert not harness.ingress.eviction.close_one()
        assert harness.answer(sock).status == 202

    harness.world.play(play)


@pytest.mark.parametrize("closes", ["before its result", "with it", "after its answer"])
def test_a_message_is_withdrawn_only_if_its_client_disconnects_before_its_result(closes):
    """Once an answer has been written or is on its way, the sender is responsible for the message."""
    harness = IngressHarness()

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        harness.world.wait_until(lambda: harness.submitted)
        resume_within_poll(harness.world)
        if closes == "before its result":
            sock.close()
            harness.world.sleep(MS)
        harness.submitted[0].decide(Accepted())
        if closes == "after its answer":
            harness.world.sleep(MS)
        sock.close()
        harness.world.sleep(MS)
        assert harness.withdrawn == (harness.submitted if closes == "before its result" else [])

    harness.world.play(play)


def test_a_connection_with_unread_bytes_is_spared_once_and_then_ends_with_an_answer():
    """Guards against clients that always have unread bytes: none of them gave way, and good ones waited for a place."""
    harness = IngressHarness(max_clients=4, result=Accepted())

    def play():
        sock = harness.dial()
        sock.send(b"POST /safe HTTP/1.1\r\n")
        for _ in range(2):
            harness.world.sleep(2 * EVICTION_GRACE_US)
            resume_within_poll(harness.world)
            sock.send(b"X-More: x\r\n")
            evicted = harness.ingress.eviction.close_one()
        assert evicted
        answer = harness.answer(sock)
        assert (answer.status, answer.keep, answer.fields["retry-after"]) == (503, False, "0.500")
        assert harness.submitted == []

    harness.world.play(play)
