"""The admin server: serves operators' calls over HTTP/1.1 on an address of its own, one call per connection.

It answers under any load of messages. A connection whose call is incomplete is closed after a timeout, and earlier if
there are many of them. What a call means is decided in admin_state.py.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from scalefall.net import http, streams
from scalefall.net.admin_actions import AdminAnswer
from scalefall.net.logs import log
from scalefall.net.memory_budget import MemoryBudget, Reservation
from scalefall.net.scheduler import READ, READY, Scheduler, Task

SECOND_US = 1_000_000  # microseconds in a second
READ_TIMEOUT_US = 2 * SECOND_US  # from the start of a connection to the last byte of its call
WRITE_TIMEOUT_US = SECOND_US  # the time that a caller has to read its answer
ACCEPT_RETRY_US = SECOND_US // 10  # wait after a failed accept, such as one for want of descriptors
LISTEN_BACKLOG = 64  # connections in the listener's queue
MAX_WAITING_CALLERS = 16  # connections with an incomplete call; bounds the descriptors that they take
MAX_BODY_BYTES = 4096  # calls have no body that is used
REQUEST_TIMEOUT_STATUS = 408


class AdminServer:
    """Accepts operators' connections, reads each call and answers it."""

    def __init__(
        self, scheduler: Scheduler, handle_call: Callable[[str, str], AdminAnswer], budget: MemoryBudget | None = None
    ) -> None:
        """Create the server; it does not listen yet.

        Args:
            scheduler: Runs the tasks.
            handle_call: Carries out a call, given its method and target, and returns its answer.
            budget: Accounts for the connections; None: there is no limit.
        """
        self._scheduler = scheduler
        self._handle_call = handle_call
        self._budget = budget or MemoryBudget()
        self._waiting: dict[socket.socket, Task] = {}  # connections with an incomplete call, oldest first
        self._listener: socket.socket | None = None
        self._accepting: Task | None = None

    @property
    def waiting_callers(self) -> int:
        """How many connections have sent no complete call yet."""
        return len(self._waiting)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept connections.

        Args:
            address: Where to listen; port 0 takes any free port.

        Returns:
            The address, with the actual port.

        Raises:
            OSError: The address cannot be listened on.
        """
        self._listener = streams.listen(address, LISTEN_BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        host, port = self._listener.getsockname()
        return host, port

    def close(self) -> None:
        """Stop accepting connections; open ones may still finish."""
        if self._listener is not None and self._accepting is not None:
            listener, self._listener = self._listener, None
            self._scheduler.wake(self._accepting, None)
            listener.close()

    def _accept(self) -> None:
        while self._listener is not None:
            if self._scheduler.pause(None, self._listener, READ) is not READY or self._listener is None:
                continue
            try:
                sock = self._listener.accept()[0]
            except BlockingIOError:
                continue
            except OSError as error:
                log.warning("accepting an operator connection failed: %s; retrying in 100 ms", error)
                self._scheduler.sleep(ACCEPT_RETRY_US)
                continue
            sock.setblocking(False)
            if len(self._waiting) >= MAX_WAITING_CALLERS:
                self._scheduler.wake(
                    next(iter(self._waiting.values())), streams.Interrupted("evicted for a new connection")
                )
            self._waiting[sock] = self._scheduler.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError):  # the caller disconnected, or was evicted
                with self._budget.open() as reservation:
                    answer = self._answer(sock, reservation)
                if answer:
                    streams.send(self._scheduler, sock, answer, self._scheduler.now() + WRITE_TIMEOUT_US)
        finally:
            self._waiting.pop(sock, None)
            sock.close()

    def _answer(self, sock: socket.socket, reservation: Reservation) -> bytes:
        """Read a call, carry it out and return its answer; b"" if the caller disconnected before it was complete."""
        reader = http.RequestReader(MAX_BODY_BYTES)
        deadline_us = self._scheduler.now() + READ_TIMEOUT_US
        try:
            while not reader.complete:
                if not streams.receive_into(self._scheduler, sock, reader, deadline_us, reservation):
                    return b""
        except http.MalformedMessage as error:
            return http.answer(error.status, [], f"{error}\n".encode(), keep=False)
        except streams.TimedOut:
            return http.answer(REQUEST_TIMEOUT_STATUS, [], b"the call took too long\n", keep=False)
        del self._waiting[sock]
        status, text = self._handle_call(reader.method, reader.target)
        log.info("admin call: %s %.200s, answered %d", reader.method, reader.target, status)
        return http.answer(status, [], f"{text}\n".encode() if text else b"", keep=False)
