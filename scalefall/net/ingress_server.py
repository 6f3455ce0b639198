"""The ingress server: clients submit messages over HTTP/1.1, one in each request, and check GET /healthz."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

from scalefall.net import http, streams
from scalefall.net.client_connection import ClientConnection, ConnectionState
from scalefall.net.connection_eviction import ConnectionEviction
from scalefall.net.connection_handler import ConnectionHandler
from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.logs import log
from scalefall.net.memory_budget import CONNECTION_BYTES, MemoryBudget
from scalefall.net.resource_log import ConnectionEnd, ConnectionEnds
from scalefall.net.scheduler import READ, READY, Scheduler, Task
from scalefall.policy.settings import MessageClass

SECOND_US = 1_000_000  # microseconds in a second
ACCEPT_RETRY_US = SECOND_US // 10  # wait after a failed accept, such as one for want of descriptors
EVICTION_RETRY_US = SECOND_US // 200  # wait before the next attempt to evict a connection, when none can be
LISTEN_BACKLOG = 4096  # connections in the listener's queue; beyond it a client's next try comes 1 s later
MAX_ACCEPTS_PER_STEP = 32  # connections accepted in a row before other tasks run


class IngressServer:
    """Accepts clients' connections, reads requests one at a time and answers each with its admission result.

    Attributes:
        shutting_down: Whether the process is about to end.
        draining: Whether operators are draining the sender.
        ends: Counts why connections ended.
        eviction: Closes connections that give way to others.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        classes: dict[str, MessageClass],
        max_clients: int,
        submit: Callable[[DeliveryRequest], object],
        withdraw: Callable[[DeliveryRequest], object],
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create the server; it does not listen yet.

        Args:
            scheduler: Runs the tasks.
            classes: The message classes by name; a reload changes this table.
            max_clients: The most connections that are open at a time.
            submit: Submits a delivery request for admission.
            withdraw: Withdraws a request whose client has disconnected before its answer.
            budget: Accounts for the connections, of which the slowest give way at its limit; None: there is none.
        """
        self._scheduler = scheduler
        self._budget = budget or MemoryBudget()
        self._max_clients = max_clients
        self.ends = ConnectionEnds()
        self._handler = ConnectionHandler(scheduler, classes, submit, withdraw, self, self.ends)
        self._clients: dict[ClientConnection, None] = {}
        self.eviction = ConnectionEviction(scheduler, self._clients, self._close, self.ends)
        self._budget.reclaim = self.eviction.reclaim_memory
        self._listener: socket.socket | None = None
        self._accepting: Task | None = None
        self.shutting_down = False
        self.draining = False
        self._listening_since_us = 0
        self._backlog_earliest_arrival_us = 0  # connections in the listener's queue cannot have arrived before this

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept connections.

        Args:
            address: Where to listen; port 0 takes any free port.

        Returns:
            The address, with the actual port.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._listening_since_us = self._scheduler.now()
        self._listener = streams.listen(address, LISTEN_BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        host, port = self._listener.getsockname()
        return host, port

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
        for client in self._clients:
            if client.state is ConnectionState.IDLE:
                self._resume(client, "idle connection closed")

    def stop_listening(self) -> None:
        """Close the listener, after accepting what is in its queue: closing it would reset these connections."""
        if self._listener is not None and self._accepting is not None:
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
        log.info("client connections shut down: %s", self.describe_connections())
        for client in self._clients:
            if client.state is ConnectionState.ANSWERING:
                continue
            drops_already = client.state is ConnectionState.LINGERING  # its task must go on: it would close at once
            try:
                client.shut_down(self._scheduler)
            except OSError:
                continue
            if not drops_already:
                self._resume(client, "the process ends")

    def describe_connections(self) -> str:
        """Return the number of open connections in each state as text."""
        counts = Counter(client.state for client in self._clients)
        return ", ".join(f"{counts[state]} {state.name}" for state in sorted(counts)) or "none"

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
                    if len(self._clients) >= self._max_clients and not self.eviction.close_one():
                        self._scheduler.sleep(EVICTION_RETRY_US)  # the others wait in the listener's queue
                        break
                    self._add_client(self._listener.accept()[0])
                    if self.half_full:
                        self.eviction.close_one(ConnectionState.AWAITING_FIRST_BYTE)
                    if len(self._clients) >= self._max_clients:
                        self.eviction.close_one()  # leaves a place for the next connection
            except BlockingIOError:
                backlogged = False
            except OSError as error:
                log.warning("accepting a client connection failed: %s; retrying in 100 ms", error)
                self._scheduler.sleep(ACCEPT_RETRY_US)

    def _add_client(self, sock: socket.socket) -> None:
        reservation = self._budget.open()
        if not reservation.try_resize(CONNECTION_BYTES):
            self.ends.count(ConnectionEnd.EVICTED)
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(
            sock,
            http.RequestReader(),
            reservation,
            self._scheduler.now(),
            earliest_arrival_us=self._backlog_earliest_arrival_us,
        )
        self._clients[client] = None
        client.task = self._scheduler.spawn(self._serve, client)

    @property
    def half_full(self) -> bool:
        """Whether half of the permitted connections are open.

        An open connection without a request also takes a descriptor of its client, which may have fewer than the
        sender. From this number on, connections end with their answer, and those without a first byte are closed early.
        """
        return len(self._clients) >= self._max_clients // 2

    def _close(self, client: ClientConnection) -> None:
        if client in self._clients:
            del self._clients[client]
            self._resume(client, "connection closed")
            client.sock.close()
            client.release_buffers()
            client.reservation.release()

    def _resume(self, client: ClientConnection, reason: str) -> None:
        """Interrupt the wait of a connection's task."""
        if client.task is not None:
            self._scheduler.wake(client.task, streams.Interrupted(reason))

    def _serve(self, client: ClientConnection) -> None:
        """Serve a connection to its end; runs as a task."""
        try:
            self._handler.serve(client)
        finally:
            self._close(client)
