"""The operators' listener: an address of its own, HTTP/1.1, one call a connection, answered whatever the load.

A caller has a moment for its call. One that sends nothing, or half a call, is closed, and gives way to others when many
are there. What a call means is decided in admin_state.py.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

from scalefall.net import http, streams
from scalefall.net.logs import log
from scalefall.net.scheduler import READ, READY, Scheduler, Task

SECOND = 1_000_000  # microseconds
READ_US = 2 * SECOND  # from the start of a connection to the last byte of its call
WRITE_US = SECOND  # until an answer that is not read is given up
ACCEPT_RETRY_US = SECOND // 10  # after a failed accept, such as one for want of descriptors
BACKLOG = 64  # connections in the listener's queue
MAX_CALLERS = 16  # that have not sent a whole call, so that they take few of the sender's descriptors
MAX_BODY_BYTES = 4096  # calls need no body
REQUEST_TIMEOUT = 408


class AdminServer:
    """Listens for operators, reads each call and answers it."""

    def __init__(self, scheduler: Scheduler, handle_call: Callable[[str, str], int]) -> None:
        """Set up without listening yet.

        Args:
            scheduler: Runs the tasks.
            handle_call: Carries out a call, given its method and target, and returns the status of its answer.
        """
        self._scheduler = scheduler
        self._handle_call = handle_call
        self._callers: dict[socket.socket, Task] = {}  # that have not sent a whole call yet, the first one in front
        self._listener: socket.socket | None = None
        self._accepting: Task | None = None

    @property
    def waiting_callers(self) -> int:
        """How many callers have not sent a whole call yet."""
        return len(self._callers)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept callers.

        Args:
            address: Where; port 0 takes any that is free.

        Returns:
            The address that was taken.

        Raises:
            OSError: The address cannot be taken.
        """
        self._listener = streams.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        host, port = self._listener.getsockname()
        return host, port

    def close(self) -> None:
        """Accept no more callers; those that are there may still end."""
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
                log.warning("cannot accept: %s", error)
                self._scheduler.sleep(ACCEPT_RETRY_US)
                continue
            sock.setblocking(False)
            if len(self._callers) >= MAX_CALLERS:
                self._scheduler.wake(next(iter(self._callers.values())), streams.Interrupted("others call"))
            self._callers[sock] = self._scheduler.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError):  # the caller has gone, or gave way to others
                answer = self._answer(sock)
                if answer:
                    streams.send(self._scheduler, sock, answer, self._scheduler.now() + WRITE_US)
        finally:
            self._callers.pop(sock, None)
            sock.close()

    def _answer(self, sock: socket.socket) -> bytes:
        """Read a call and carry it out; the answer to it, none if the caller left before its call was complete."""
        reader = http.RequestReader(MAX_BODY_BYTES)
        until = self._scheduler.now() + READ_US
        try:
            while not reader.complete:
                data = streams.receive(self._scheduler, sock, until)
                if not data:
                    return b""
                reader.feed(data)
        except http.MalformedMessage as error:
            return http.answer(error.status, [], f"{error}\n".encode(), keep=False)
        except streams.TimedOut:
            return http.answer(REQUEST_TIMEOUT, [], b"the call took too long\n", keep=False)
        del self._callers[sock]
        status = self._handle_call(reader.method, reader.target)
        log.info("operators: %s %.200s: %d", reader.method, reader.target, status)
        return http.answer(status, [], keep=False)
