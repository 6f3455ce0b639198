"""Serves the requests on a client's connection, one at a time, and ends the connection so that no answer is lost."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from scalefall.net import http, streams
from scalefall.net.client_connection import MAX_LINGER_BYTES, ClientConnection, ConnectionState
from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.delivery_request_http import encode_admission_result, parse_delivery_request
from scalefall.net.memory_budget import CONNECTION_BYTES
from scalefall.net.rejection_log import Rejection, RejectionLog
from scalefall.net.resource_log import ConnectionEnd, ConnectionEnds
from scalefall.net.scheduler import READ, READY, Scheduler
from scalefall.policy.settings import MessageClass

SECOND_US = 1_000_000  # microseconds in a second
REQUEST_TIMEOUT_US = 2 * SECOND_US  # from a request's first byte to its last; also for a new connection's first byte
WRITE_TIMEOUT_US = 2 * SECOND_US  # the time that a client has to read an answer
IDLE_TIMEOUT_US = 2050_000  # a connection that has been idle between requests for this long is closed
REJECTION_FIELDS = {  # of the answer to a rejected request, by status
    http.METHOD_NOT_ALLOWED: [("Allow", "POST")],
    http.SERVICE_UNAVAILABLE: [("Retry-After", "0.500")],
}
LINGER_US = SECOND_US // 2  # after the last answer, incoming bytes are read and dropped for at most this long


class ServerStatus(Protocol):
    """What decides whether a connection stays open after an answer."""

    @property
    def unavailable(self) -> bool:
        """Whether the process is shutting down or draining."""

    @property
    def half_full(self) -> bool:
        """Whether half of the permitted connections are open."""


class ConnectionHandler:
    """Reads requests one at a time and answers each with its admission result."""

    def __init__(
        self,
        scheduler: Scheduler,
        classes: dict[str, MessageClass],
        submit: Callable[[DeliveryRequest], object],
        withdraw: Callable[[DeliveryRequest], object],
        status: ServerStatus,
        ends: ConnectionEnds,
    ) -> None:
        """Set up the handler for all connections of a server.

        Args:
            scheduler: The clock, and the waits for sockets.
            classes: The message classes by name; a reload changes this table.
            submit: Submits a delivery request for admission.
            withdraw: Withdraws a request whose client has disconnected before its answer.
            status: The state of the server.
            ends: Counts why connections ended.
        """
        self._scheduler = scheduler
        self._classes = classes
        self._submit = submit
        self._withdraw = withdraw
        self._status = status
        self._ends = ends
        self._rejection_log = RejectionLog()

    def serve(self, client: ClientConnection) -> None:
        """Serve a connection until it ends; the caller closes it."""
        try:
            rejection = self._serve_requests(client)
            if client.closed:
                return
            client.release_buffers()
            if rejection is not None:
                self._reject(client, rejection)
            else:
                self._ends.count(ConnectionEnd.CLOSED)
                self._linger(client)
        except OSError:  # a message without an answer has been withdrawn
            if not client.closed:
                self._ends.count(ConnectionEnd.DISCONNECTED)

    def _serve_requests(self, client: ClientConnection) -> Rejection | None:
        """Serve requests until the connection is to be closed; return why, if the last one was rejected.

        Raises:
            OSError: The connection has ended.
        """
        try:
            while not client.closed and self._serve_request(client):
                client.reader.begin_next()
                client.reservation.resize(CONNECTION_BYTES)
        except http.MalformedMessage as error:
            return Rejection(error.status, str(error))
        return None

    # -- one request

    def _serve_request(self, client: ClientConnection) -> bool:
        """Read and answer one request, and return whether the connection stays open."""
        reader = client.reader
        read_at_us = self._read_request(client)
        if not reader.complete or client.closed or client.state is ConnectionState.LINGERING:
            return False
        client.set_state(ConnectionState.ANSWERING, self._scheduler.now())
        _reject_pipelining(reader)
        if reader.target.partition("?")[0] == "/healthz":
            keep = self._answer_health(client)
        else:
            keep = self._answer_delivery_request(client, read_at_us)
        client.set_state(ConnectionState.IDLE, self._scheduler.now())
        client.was_spared = False
        client.earliest_arrival_us = client.since_us
        return keep

    def _may_keep_open(self, reader: http.RequestReader) -> bool:
        return reader.keep and not self._status.unavailable and not self._status.half_full

    def _answer_health(self, client: ClientConnection) -> bool:
        """Answer whether the process takes requests, and return whether the connection stays open."""
        keep = self._may_keep_open(client.reader)
        status = 503 if self._status.unavailable else 200
        if client.reader.method not in ("GET", "HEAD"):
            status = 405
        self._answer(client, http.answer(status, [], keep=keep))
        return keep

    def _answer_delivery_request(self, client: ClientConnection, read_at_us: int) -> bool:
        """Answer a request with its admission result, and return whether the connection stays open."""
        unread_us = read_at_us - client.earliest_arrival_us
        request = parse_delivery_request(client.reader, self._classes, read_at_us, unread_us, self._scheduler.lag_us)
        client.submitted_count += 1
        self._submit_request(client, request)
        assert request.admission is not None, "a submitted request is decided"
        keep = self._may_keep_open(client.reader)
        try:
            self._answer(client, encode_admission_result(request.admission, keep))
        except OSError:
            self._withdraw(request)
            raise
        return keep

    def _submit_request(self, client: ClientConnection, request: DeliveryRequest) -> None:
        """Submit a request and wait for its admission result; withdraw it if the client disconnects meanwhile."""
        request.on_decided = lambda: client.task is not None and self._scheduler.wake(client.task, None)
        self._submit(request)
        while request.admission is None:
            reason = self._scheduler.pause(None, client.sock, READ)
            if reason is READY and request.admission is None:
                if client.read_available(self._scheduler) == 0:
                    self._withdraw(request)
                    raise ConnectionResetError("client disconnected before its answer")
                try:
                    _reject_pipelining(client.reader)
                except http.MalformedMessage:
                    self._withdraw(request)
                    raise

    # -- reading

    def _read_request(self, client: ClientConnection) -> int:
        """Read one request, and return when its first byte was read.

        Returns early if the connection ended first, or if the sender has shut it down.
        """
        reader, read_at_us = client.reader, self._scheduler.now()
        if client.state is ConnectionState.LINGERING:  # shut down before its task first ran
            return read_at_us
        if client.state is ConnectionState.IDLE:
            deadline_us = read_at_us + IDLE_TIMEOUT_US
        else:
            client.set_state(ConnectionState.AWAITING_FIRST_BYTE, read_at_us)
            deadline_us = read_at_us + REQUEST_TIMEOUT_US
        answered_expect = False
        while not reader.complete:
            had_begun = reader.begun
            if not self._receive(client, deadline_us):
                return read_at_us
            if not had_begun:
                read_at_us = self._scheduler.now()
                is_first_request = client.state is ConnectionState.AWAITING_FIRST_BYTE
                request_deadline_us = read_at_us + REQUEST_TIMEOUT_US
                deadline_us = min(deadline_us, request_deadline_us) if is_first_request else request_deadline_us
                client.set_state(ConnectionState.READING, read_at_us)
            if not self._parse(client, deadline_us):
                return read_at_us
            if reader.head_done and not reader.complete and not answered_expect and "expect" in reader.fields:
                answered_expect = True
                self._answer_expect(client)
        return read_at_us

    def _receive(self, client: ClientConnection, deadline_us: int) -> bool:
        """Pass the next bytes of a request to its reader, not parsed yet.

        Returns:
            False if the connection has ended or has been shut down, or no request has begun by the deadline.

        Raises:
            http.MalformedMessage: A request has begun and is not complete by the deadline.
        """
        has_begun = client.reader.begun
        poll_count, receive_began_us = self._scheduler.poll_count, self._scheduler.now()
        received: int | None
        try:
            if client.last_read_poll == poll_count:  # a client that sends without a pause must not hold up the others
                streams.yield_in_background(self._scheduler)
                poll_count, receive_began_us = self._scheduler.poll_count, self._scheduler.now()
            received = streams.receive_unparsed(self._scheduler, client.sock, client.reader, deadline_us)
        except streams.TimedOut:
            if has_begun and client.state is not ConnectionState.LINGERING:
                raise http.MalformedMessage(http.REQUEST_TIMEOUT, "the request took too long") from None
            received = client.read_available(self._scheduler)  # bytes may have arrived since the last poll
        except streams.Interrupted:
            received = 0 if client.closed or has_begun else client.read_available(self._scheduler)
        if not received or client.state is ConnectionState.LINGERING:
            return False
        if not has_begun and poll_count != self._scheduler.poll_count:  # the socket was empty when the wait began
            client.earliest_arrival_us = max(receive_began_us, self._scheduler.earliest_arrival_us)
        client.last_read_poll = self._scheduler.poll_count
        return True

    def _parse(self, client: ClientConnection, deadline_us: int) -> bool:
        """Parse what has arrived; return False if the connection has ended or has been shut down meanwhile.

        Raises:
            http.MalformedMessage: The request is malformed, or not parsed by the deadline.
        """
        try:
            streams.reserve_held(client.reader, client.reservation)
            streams.parse_in_background(self._scheduler, client.reader, deadline_us)
            streams.reserve_held(client.reader, client.reservation)
        except streams.OutOfMemoryBudget:
            if not client.closed:  # it is not the slowest client itself
                raise http.MalformedMessage(http.SERVICE_UNAVAILABLE, "too many incomplete requests") from None
        except streams.TimedOut:
            raise http.MalformedMessage(http.REQUEST_TIMEOUT, "the request took too long") from None
        except streams.Interrupted:
            pass
        return not client.closed and client.state is not ConnectionState.LINGERING

    def _answer_expect(self, client: ClientConnection) -> None:
        """Answer the field Expect of a request whose body has not come."""
        if client.reader.fields["expect"].lower() != "100-continue":
            raise http.MalformedMessage(417, "unknown expectation")
        self._answer(client, b"HTTP/1.1 100 Continue\r\n\r\n")

    # -- writing and the end

    def _answer(self, client: ClientConnection, data: bytes) -> None:
        streams.send(self._scheduler, client.sock, data, self._scheduler.now() + WRITE_TIMEOUT_US)

    def _reject(self, client: ClientConnection, rejection: Rejection) -> None:
        """Answer a malformed request, and end its connection."""
        is_timeout = rejection.status == http.REQUEST_TIMEOUT
        self._ends.count(ConnectionEnd.TIMED_OUT if is_timeout else ConnectionEnd.REJECTED)
        self._rejection_log.record(rejection, self._scheduler.now())
        client.set_state(ConnectionState.LINGERING, self._scheduler.now())
        fields = REJECTION_FIELDS.get(rejection.status, [])
        try:
            self._answer(client, http.answer(rejection.status, fields, f"{rejection.reason}\n".encode(), keep=False))
        except OSError:
            return
        self._linger(client)

    def _linger(self, client: ClientConnection) -> None:
        """Shut down the sending side, then read and drop incoming bytes before the connection is closed.

        Closing with bytes unread resets the connection, and an answer that the client has not read yet is lost. A
        request that is dropped here is not processed: its client gets no answer, and has to submit it again.
        """
        client.set_state(ConnectionState.LINGERING, self._scheduler.now())
        deadline_us, bytes_left = self._scheduler.now() + LINGER_US, MAX_LINGER_BYTES
        try:
            client.sock.shutdown(socket.SHUT_WR)
            while bytes_left > 0 and self._scheduler.now() < deadline_us:
                received = streams.discard(self._scheduler, client.sock, deadline_us)
                if not received:
                    break
                bytes_left -= received
                self._scheduler.sleep(0)  # a client that floods must not starve other tasks
        except OSError:
            pass


def _reject_pipelining(reader: http.RequestReader) -> None:
    """Raise MalformedMessage if bytes follow a request that has no answer yet.

    They mean that its length is wrong, or hide a second request, so neither request is passed on. Line ends after a
    body are ignored.
    """
    if reader.unparsed.strip(b"\r\n"):
        raise http.MalformedMessage(400, "more than one request at a time")
    reader.unparsed.clear()
