"""Bytes that come in the very moment in which a client's connection is ended, in both orders, on real sockets."""

import socket

import pytest
from nethelp import MS, S, closed, read, resume_within_poll
from test_ingress_server import HEAD, Desk

from scalefall.net import http
from scalefall.net.delivery_request import Accepted
from scalefall.net.ingress_server import IDLE_US, MAX_LINGER_BYTES, YOUNG_US

ENDS = {
    "the process ends": lambda desk: desk.front.close_idle(),
    "the operators drain it": lambda desk: desk.front.drain(True),
    "it has rested for long": lambda desk: setattr(desk.world, "clock", desk.world.clock + IDLE_US + S),
}


def resting(desk):
    sock = desk.dial()
    desk.ask(sock, X_Request_Id="first")
    assert desk.answer(sock).status == 202
    desk.world.sleep(MS)
    return sock


def ended_whole(sock):
    """Its stream ended as it should, with no reset; what came before that."""
    sock.setblocking(True)
    sock.settimeout(10)
    data = b""
    while piece := sock.recv(4096):
        data += piece
    return data


@pytest.mark.parametrize("why", ENDS)
def test_a_request_that_has_come_as_its_resting_connection_is_ended_is_answered(why):
    desk = Desk(verdict=Accepted())

    def play():
        sock = resting(desk)
        resume_within_poll(desk.world)
        desk.ask(sock, X_Request_Id="second")  # not read yet
        ENDS[why](desk)
        assert desk.answer(sock).status == 202
        assert [one.id for one in desk.offered] == ["first", "second"]
        assert not desk.withdrawn

    desk.world.play(play)


@pytest.mark.parametrize("why", ENDS)
def test_a_request_that_comes_after_its_resting_connection_was_ended_is_never_taken_on(why):
    """Its client sees the end with no answer, as it may between requests, and sends it once more, elsewhere."""
    desk = Desk(verdict=Accepted())

    def play():
        sock = resting(desk)
        resume_within_poll(desk.world)
        ENDS[why](desk)
        desk.world.sleep(2 * MS)
        for _ in range(3):  # more than one read takes
            desk.ask(sock, X_Request_Id="second", body=b"x" * 60_000)
            desk.world.sleep(MS)
        sock.shutdown(socket.SHUT_WR)
        desk.world.sleep(5 * MS)
        assert ended_whole(sock) == b""
        assert [one.id for one in desk.offered] == ["first"]
        assert not desk.front._clients

    desk.world.play(play)


@pytest.mark.parametrize("behind", [b"", b"P", b"POST /safe HTTP/1.1\r\nX-Request-Id: second\r\n", b"x" * 100_000])
def test_what_comes_behind_a_request_does_not_take_its_last_answer_along(behind):
    """A close with these bytes unread reset the connection, and an answer on its way was lost with it."""
    desk = Desk()

    def play():
        sock = desk.dial()
        desk.ask(sock)
        desk.world.wait_until(lambda: desk.offered)
        desk.front.close_idle()
        resume_within_poll(desk.world)
        desk.offered[0].decide(Accepted())  # the client's task is woken, and goes on in this very turn
        sock.send(behind)
        desk.world.sleep(10 * MS)
        sock.shutdown(socket.SHUT_WR)
        desk.world.sleep(10 * MS)
        reader = http.AnswerReader()
        reader.feed(ended_whole(sock))
        assert (reader.status, reader.keep, len(desk.offered)) == (202, False, 1)
        assert not desk.withdrawn

    desk.world.play(play)


def test_a_client_that_never_closes_is_closed_in_the_end():
    desk = Desk(verdict=Accepted())

    def play():
        sock = resting(desk)
        desk.front.close_idle()
        assert closed(desk.world, sock)
        desk.world.sleep(S)
        assert not desk.front._clients

    desk.world.play(play)


@pytest.mark.parametrize("rest", [False, True])
def test_who_waits_in_the_listeners_queue_as_it_closes_is_answered(rest):
    desk = Desk(verdict=Accepted())

    def play():
        resume_within_poll(desk.world)  # nobody accepts before the listener closes
        sock = desk.dial()
        if not rest:
            desk.ask(sock)
        desk.front.close_idle()
        desk.front.stop_listening()
        if rest:  # its request comes after
            desk.world.sleep(MS)
            desk.ask(sock)
        assert desk.answer(sock).status == 202
        assert len(desk.offered) == 1
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(desk.address)

    desk.world.play(play)


def test_at_the_end_of_the_process_what_was_answered_arrives_whole():
    desk = Desk(verdict=Accepted())

    def play():
        sock = desk.dial()
        desk.ask(sock)
        reader = read(desk.world, sock, http.AnswerReader())
        resume_within_poll(desk.world)
        sock.send(b"half a request")
        desk.front.shut_down_connections()
        for client in list(desk.front._clients):  # as the end of the process does
            desk.front._drop(client)
        assert reader.status == 202
        assert ended_whole(sock) == b""

    desk.world.play(play)


@pytest.mark.parametrize("asks", [False, True])
def test_room_is_not_made_by_ending_a_connection_to_which_a_request_has_come(asks):
    desk = Desk(most=4, verdict=Accepted())
    desk.front._most = 8  # not crowded while they come
    socks = []

    def play():
        socks.extend(resting(desk) for _ in range(3))
        desk.front._most = 3
        resume_within_poll(desk.world)
        if asks:
            desk.ask(socks[0], X_Request_Id="second")
        assert desk.front._make_room()
        assert desk.answer(socks[0]).status == 202 if asks else closed(desk.world, socks[0])
        assert len(desk.front._clients) == 2

    desk.world.play(play)


def test_who_floods_does_not_hold_up_the_end_of_the_process():
    desk = Desk(verdict=Accepted())

    class Endless:
        """A client's side that is never read empty."""

        read = 0

        def __init__(self, sock):
            self.sock = sock

        def __getattr__(self, name):
            return getattr(self.sock, name)

        def recv(self, size, *flags):
            self.read += size
            assert self.read < 100 * MAX_LINGER_BYTES, "read for good"
            return b"x" * size

    def play():
        resting(desk)
        (client,) = desk.front._clients
        client.sock = Endless(client.sock)
        desk.front.shut_down_connections()
        assert client.sock.read >= MAX_LINGER_BYTES
        client.sock = client.sock.sock

    desk.world.play(play)


@pytest.mark.parametrize("begun", [b"", b"POST /safe HTTP/1.1\r\n"])
def test_room_is_not_made_by_ending_a_connection_whose_request_is_whole_but_not_read(begun):
    """New, or with half a request read, for longer than the young are spared; the rest has come in this very moment.
    A connection that is ended with no answer once its request has been written has lost it."""
    desk = Desk(most=4, verdict=Accepted())

    def play():
        sock = desk.dial()
        sock.send(begun)
        desk.world.sleep(2 * YOUNG_US)
        resume_within_poll(desk.world)
        whole = http.request("POST", "/safe", "s", list(HEAD.items()), b"body")
        sock.send(whole[len(begun) :])
        assert not desk.front._make_room()
        assert desk.answer(sock).status == 202

    desk.world.play(play)


@pytest.mark.parametrize("leaves", ["before its verdict", "with it", "after its answer"])
def test_a_client_that_leaves_about_the_turn_of_its_verdict(leaves):
    """Before its verdict it takes its message back; with an answer written or on its way it is owed."""
    desk = Desk()

    def play():
        sock = desk.dial()
        desk.ask(sock)
        desk.world.wait_until(lambda: desk.offered)
        resume_within_poll(desk.world)
        if leaves == "before its verdict":
            sock.close()
            desk.world.sleep(MS)
        desk.offered[0].decide(Accepted())
        if leaves == "after its answer":
            desk.world.sleep(MS)
        sock.close()
        desk.world.sleep(MS)
        assert desk.withdrawn == (desk.offered if leaves == "before its verdict" else [])

    desk.world.play(play)
