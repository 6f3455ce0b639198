"""A connection from a client: its state, its rank when connections are evicted, and what it has received."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import dataclass
from enum import IntEnum

from scalefall.net import http, streams
from scalefall.net.memory_budget import CONNECTION_BYTES, Reservation
from scalefall.net.scheduler import Scheduler, Task

SECOND_US = 1_000_000  # microseconds in a second
LONG_IDLE_US = 2 * SECOND_US  # an idle connection is among the first to be evicted from this age on
EVICTION_GRACE_US = SECOND_US // 20  # a connection whose request is incomplete is not evicted before this age
MAX_LINGER_BYTES = 256 * 1024  # most bytes that are read and dropped after the last answer


class ConnectionState(IntEnum):
    """State of a client's connection; also its eviction rank, lowest first."""

    LINGERING = 0  # its last answer has been sent; incoming bytes are dropped
    LONG_IDLE = 1  # idle for at least LONG_IDLE_US (only a rank)
    AWAITING_FIRST_BYTE = 2  # no byte of its first request has come
    READING = 3  # part of a request has come
    IDLE_SINGLE_USE = 4  # idle, and has submitted at most one message (only a rank)
    NEW = 5  # not served yet, or waiting or reading for less than EVICTION_GRACE_US; never evicted
    IDLE = 6  # a request has been answered, and nothing has come since
    ANSWERING = 7  # a request is being answered; never evicted


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A connection from a client.

    Attributes:
        sock: Its socket.
        reader: Reads its requests, one after the other.
        reservation: Accounts for the connection, and for what it has received.
        since_us: When it entered its state.
        task: The task that serves it.
        state: Its state; NEW until its task first runs.
        submitted_count: The number of messages submitted on it.
        was_spared: Whether it was not evicted because bytes of its request had arrived unread.
        last_read_poll: The number of the scheduler's poll before its last read.
        earliest_arrival_us: The next bytes to be read cannot have arrived before this time.
    """

    sock: socket.socket
    reader: http.RequestReader
    reservation: Reservation
    since_us: int
    task: Task | None = None
    state: ConnectionState = ConnectionState.NEW
    submitted_count: int = 0
    was_spared: bool = False
    last_read_poll: int = -1
    earliest_arrival_us: int = 0

    def set_state(self, state: ConnectionState, now_us: int) -> None:
        """Enter a state."""
        self.state, self.since_us = state, now_us

    @property
    def closed(self) -> bool:
        """Whether its socket has been closed."""
        return self.sock.fileno() < 0

    def eviction_rank(self, now_us: int) -> ConnectionState:
        """Return the rank in which it is evicted: its state, or one of the states that are only ranks."""
        age_us = now_us - self.since_us
        if self.state in (ConnectionState.AWAITING_FIRST_BYTE, ConnectionState.READING) and age_us < EVICTION_GRACE_US:
            return ConnectionState.NEW
        if self.state is not ConnectionState.IDLE:
            return self.state
        if age_us >= LONG_IDLE_US:
            return ConnectionState.LONG_IDLE
        return ConnectionState.IDLE if self.submitted_count > 1 else ConnectionState.IDLE_SINGLE_USE

    def memory_rank(self, now_us: int) -> ConnectionState:
        """Return the rank in which it is closed for want of memory: that of evictions, without grace for a request."""
        return self.state if self.state is ConnectionState.READING else self.eviction_rank(now_us)

    def release_buffers(self) -> None:
        """Free what it has received; what still comes is dropped."""
        self.reader.release()
        self.reservation.resize(CONNECTION_BYTES)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that have not been read."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def read_available(self, scheduler: Scheduler) -> int | None:
        """Append what can be read at once to what its reader has not parsed yet.

        Returns:
            The number of bytes: 0 at the end of the stream, None if there is nothing yet.
        """
        try:
            return streams.receive_available(scheduler, self.sock, self.reader)
        except BlockingIOError:
            return None
        except OSError:
            return 0

    def shut_down(self, scheduler: Scheduler) -> None:
        """Shut down the sending side, and drop what has arrived unread, up to a limit.

        Raises:
            OSError: The connection has ended already.
        """
        self.set_state(ConnectionState.LINGERING, scheduler.now())
        self.release_buffers()
        self.sock.shutdown(socket.SHUT_WR)
        bytes_left = MAX_LINGER_BYTES
        with contextlib.suppress(BlockingIOError):
            while bytes_left > 0 and (received := self.sock.recv_into(scheduler.read_buffer)):
                bytes_left -= received
