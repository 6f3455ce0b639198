"""The ingress server: clients submit messages over HTTP/1.1, one in each request, and check GET /healthz."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

from scalefall.net import http, streams
from scalefall.net.client_connection import MAX_LINGER_BYTES, ClientConnection, ConnectionState
from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.delivery_request_http import encode_admission_result, parse_delivery_request
from scalefall.net.logs import log
from scalefall.net.rejection_log import RejectionLog
from scalefall.net.scheduler import READ, READY, Scheduler
from scalefall.policy.settings import MessageClass

SECOND_US = 1_000_000  # microseconds in a second
REQUEST_TIMEOUT_US = 2 * SECOND_US  # from a request's first byte to its last; also for a new connection's first byte
WRITE_TIMEOUT_US = 2 * SECOND_US  # the time that a client has to read an answer
IDLE_TIMEOUT_US = 2050_000  # a connection that has been idle between requests for this long is closed
HALF_FULL_FIRST_BYTE_TIMEOUT_US = SECOND_US // 4  # limit for a new connection, while half of max_clients are open
EVICTION_RETRY_US = SECOND_US // 200  # wait before the next attempt to evict a connection, when none can be
LINGER_US = SECOND_US // 2  # after the last answer, incoming bytes are read and dropped for at most this long
LISTEN_BACKLOG = 512  # connections in the listener's queue
MAX_ACCEPTS_PER_STEP = 32  # connections accepted in a row before other tasks run


class IngressServer:
    """Accepts clients' connections, reads requests one at a time and answers each with its admission result.

    Attributes:
        shutting_down: Whether the process is about to end.
        draining: Whether operators are draining the sender.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        classes: dict[str, MessageClass],
        max_clients: int,
        submit: Callable[[DeliveryRequest], object],
        withdraw: Callable[[DeliveryRequest], object],
    ) -> None:
        self._scheduler, self._classes, self._max_clients = scheduler, classes, max_clients
        self._submit, self._withdraw = submit, withdraw
        self._clients: dict[ClientConnection, None] = {}
        self._listener: socket.socket | None = None
        self.shutting_down = self.draining = False
        self._rejection_log = RejectionLog()
        self._listening_since_us = 0
        self._backlog_earliest_arrival_us = 0  # connections in the listener's queue cannot have arrived before this

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self._listening_since_us = self._scheduler.now()
        self._listener = streams.listen(address, LISTEN_BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        return self._listener.getsockname()

    def close_idle(self) -> None:
        """Prepare for the end of the process: close idle connections, and each other one after its current request."""
        self.shutting_down = True
        self._close_idle_connections()

    def drain(self, enabled: bool) -> None:
        """Start or stop draining: as close_idle() does, but operators can end it."""
        self.draining = enabled
        if enabled:
            self._close_idle_connections()

    def _close_idle_connections(self) -> None:
        """Close idle connections; a request that has already arrived on one is still answered."""
        for client in [client for client in self._clients if client.state is ConnectionState.IDLE]:
            self._scheduler.wake(client.task, streams.Interrupted("idle connection closed"))

    def stop_listening(self) -> None:
        """Close the listener, after accepting what is in its queue: closing it would reset these connections."""
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._scheduler.wake(self._accepting, None)
            try:
                while len(self._clients) < self._max_clients:
                    self._add_client(listener.accept()[0])
            except OSError:
                pass
            listener.close()

    def shut_down_connections(self) -> None:
        """End all connections before the process does, except those whose request is being answered.

        What still arrives is read and dropped: its client has seen the connection end without an answer and submits
        the request again, so it must have no effect here. A socket that is closed with bytes unread is reset, and an
        answer that its client has not read yet is lost.
        """
        counts = Counter(client.state for client in self._clients)
        log.info(
            "client connections shut down: %s",
            ", ".join(f"{counts[state]} {state.name}" for state in sorted(counts)) or "none",
        )
        for client in self._clients:
            if client.state is ConnectionState.ANSWERING:
                continue
            try:
                client.shut_down(self._scheduler.now())
            except OSError:
                continue
            self._scheduler.wake(client.task, streams.Interrupted("the process ends"))

    @property
    def unavailable(self) -> bool:
        """Whether the process is shutting down or draining."""
        return self.shutting_down or self.draining

    @property
    def answering(self) -> bool:
        """Whether any connection is new or has a request that is being read or answered."""
        return any(
            client.state in (ConnectionState.NEW, ConnectionState.READING, ConnectionState.ANSWERING)
            for client in self._clients
        )

    def _accept(self) -> None:
        backlogged = False  # the listener's queue has not been emptied
        while self._listener is not None:
            if self._scheduler.pause(None, self._listener, READ) is not READY or self._listener is None:
                continue
            if not backlogged:
                self._backlog_earliest_arrival_us = max(self._listening_since_us, self._scheduler.earliest_arrival_us)
            backlogged = True
            try:
                for _ in range(MAX_ACCEPTS_PER_STEP):
                    if len(self._clients) >= self._max_clients and not self._evict_client():
                        self._scheduler.sleep(EVICTION_RETRY_US)  # the others wait in the listener's queue
                        break
                    self._add_client(self._listener.accept()[0])
                    if self._is_half_full:
                        self._evict_client(ConnectionState.AWAITING_FIRST_BYTE)
                    if len(self._clients) >= self._max_clients:
                        self._evict_client()  # leaves a place for the next connection
            except BlockingIOError:
                backlogged = False
            except OSError as error:
                log.warning("accepting a client connection failed: %s; retrying in 100 ms", error)
                self._scheduler.sleep(SECOND_US // 10)

    def _add_client(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(
            sock,
            http.RequestReader(),
            self._scheduler.now(),
            earliest_arrival_us=self._backlog_earliest_arrival_us,
        )
        self._clients[client] = None
        client.task = self._scheduler.spawn(self._serve, client)

    @property
    def _is_half_full(self) -> bool:
        """Whether half of the permitted connections are open.

        An open connection without a request also takes a descriptor of its client, which may have fewer than the
        sender. From this number on, connections end with their answer, and those without a first byte are closed early.
        """
        return len(self._clients) >= self._max_clients // 2

    def _evict_client(self, max_rank: ConnectionState = ConnectionState.IDLE) -> bool:
        """Close the connection with the lowest rank up to max_rank, and return whether there was one."""
        now_us = self._scheduler.now()
        while True:
            client = min(
                self._clients,
                key=lambda candidate: (candidate.eviction_rank(now_us), candidate.since_us),
                default=None,
            )
            rank = ConnectionState.ANSWERING if client is None else client.eviction_rank(now_us)
            if (
                rank is ConnectionState.NEW
                or rank > max_rank
                or (
                    max_rank is ConnectionState.AWAITING_FIRST_BYTE
                    and rank is max_rank
                    and now_us - client.since_us < HALF_FULL_FIRST_BYTE_TIMEOUT_US
                )
            ):
                return False
            if client.state is ConnectionState.LINGERING or not client.has_unread_bytes():
                self._close(client)
                return True
            client.set_state(ConnectionState.READING, now_us)  # bytes of a request have arrived since its last read

    def _close(self, client: ClientConnection) -> None:
        if client in self._clients:
            del self._clients[client]
            self._scheduler.wake(client.task, streams.Interrupted("connection closed"))
            client.sock.close()

    # -- one client

    def _serve(self, client: ClientConnection) -> None:
        try:
            while client in self._clients and self._serve_request(client):
                client.reader.begin_next()
            self._linger(client)
        except http.MalformedMessage as error:
            if client in self._clients:
                self._reject(client, error)
        except OSError:
            pass  # the client has disconnected; a message without an answer has been withdrawn
        finally:
            self._close(client)

    def _serve_request(self, client: ClientConnection) -> bool:
        """Read and answer one request, and return whether the connection stays open."""
        reader = client.reader
        read_at_us = self._read_request(client)
        if not reader.complete:
            return False
        client.set_state(ConnectionState.ANSWERING, self._scheduler.now())
        self._reject_pipelining(reader)
        keep = reader.keep and not self.unavailable and not self._is_half_full
        if reader.target.partition("?")[0] == "/healthz":
            health = 503 if self.unavailable else 200
            self._answer(client, http.answer(health if reader.method in ("GET", "HEAD") else 405, [], keep=keep))
        else:
            request = parse_delivery_request(
                reader, self._classes, read_at_us, read_at_us - client.earliest_arrival_us, self._scheduler.lag_us
            )
            client.submitted_count += 1
            self._submit_request(client, request)
            keep = reader.keep and not self.unavailable and not self._is_half_full
            try:
                self._answer(client, encode_admission_result(request.admission, keep))
            except OSError:
                self._withdraw(request)
                raise
        client.set_state(ConnectionState.IDLE, self._scheduler.now())
        client.earliest_arrival_us = client.since_us
        return keep

    @staticmethod
    def _reject_pipelining(reader: http.RequestReader) -> None:
        """Raise MalformedMessage if bytes follow a request that has no answer yet.

        They mean that its length is wrong, or hide a second request, so neither request is passed on. Line ends after
        a body are ignored.
        """
        if reader.unparsed.strip(b"\r\n"):
            raise http.MalformedMessage(400, "more than one request at a time")
        reader.unparsed.clear()

    def _read_request(self, client: ClientConnection) -> int:
        """Read one request, and return when its first byte was read.

        The reader is not complete if the connection ended first, or if the sender has shut it down.
        """
        reader, read_at_us = client.reader, self._scheduler.now()
        if client.state is ConnectionState.LINGERING:  # shut down before its task first ran
            return read_at_us
        answered_expect, deadline_us = False, read_at_us + IDLE_TIMEOUT_US
        if client.state is not ConnectionState.IDLE:
            client.set_state(ConnectionState.AWAITING_FIRST_BYTE, read_at_us)
            deadline_us = read_at_us + REQUEST_TIMEOUT_US
        while not reader.complete:
            poll_count, receive_began_us = self._scheduler.poll_count, self._scheduler.now()
            try:
                data = streams.receive(self._scheduler, client.sock, deadline_us)
            except streams.TimedOut:
                if reader.begun and client.state is not ConnectionState.LINGERING:
                    raise http.MalformedMessage(408, "the request took too long") from None
                data = client.receive_available()  # bytes may have arrived since the last poll
            except streams.Interrupted:
                data = client.receive_available() if client in self._clients and not reader.begun else b""
            if not data or client.state is ConnectionState.LINGERING:
                return read_at_us
            if not reader.begun:
                read_at_us = self._scheduler.now()
                if poll_count != self._scheduler.poll_count:  # the socket was empty when the wait began
                    client.earliest_arrival_us = max(receive_began_us, self._scheduler.earliest_arrival_us)
                deadline_us = (
                    min(deadline_us, read_at_us + REQUEST_TIMEOUT_US)
                    if client.state is ConnectionState.AWAITING_FIRST_BYTE
                    else read_at_us + REQUEST_TIMEOUT_US
                )
                client.set_state(ConnectionState.READING, read_at_us)
            reader.feed(data)
            if reader.head_done and not reader.complete and not answered_expect and "expect" in reader.fields:
                answered_expect = True
                if reader.fields["expect"].lower() != "100-continue":
                    raise http.MalformedMessage(417, "unknown expectation")
                self._answer(client, b"HTTP/1.1 100 Continue\r\n\r\n")
        return read_at_us

    def _submit_request(self, client: ClientConnection, request: DeliveryRequest) -> None:
        """Submit a request and wait for its admission result; withdraw it if the client disconnects meanwhile."""
        request.on_decided = lambda: self._scheduler.wake(client.task, None)
        self._submit(request)
        while request.admission is None:
            reason = self._scheduler.pause(None, client.sock, READ)
            if reason is READY and request.admission is None:
                data = client.receive_available()
                if data == b"":
                    self._withdraw(request)
                    raise ConnectionResetError("client disconnected before its answer")
                client.reader.unparsed += data or b""
                try:
                    self._reject_pipelining(client.reader)
                except http.MalformedMessage:
                    self._withdraw(request)
                    raise

    def _answer(self, client: ClientConnection, data: bytes) -> None:
        streams.send(self._scheduler, client.sock, data, self._scheduler.now() + WRITE_TIMEOUT_US)

    def _reject(self, client: ClientConnection, error: http.MalformedMessage) -> None:
        self._rejection_log.record(error, self._scheduler.now())
        client.set_state(ConnectionState.LINGERING, self._scheduler.now())
        fields = [("Allow", "POST")] if error.status == 405 else []
        try:
            self._answer(client, http.answer(error.status, fields, f"{error}\n".encode(), keep=False))
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
                data = streams.receive(self._scheduler, client.sock, deadline_us)
                if not data:
                    break
                bytes_left -= len(data)
                self._scheduler.sleep(0)  # a client that floods must not starve other tasks
        except OSError:
            pass
