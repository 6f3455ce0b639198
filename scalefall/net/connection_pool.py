"""The pool of connections to endpoints: reuses idle connections, and dials new ones.

A task watches each idle connection. It closes the connection after its retention time, and at once when the endpoint
closes it or sends unexpected bytes.
"""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from scalefall.net import streams
from scalefall.net.connection_retention import ConnectionRetention
from scalefall.net.list_stream import Entry
from scalefall.net.memory_budget import CONNECTION_BYTES, MemoryBudget, Reservation
from scalefall.net.scheduler import READ, TIMED_OUT, Scheduler, Task
from scalefall.policy.settings import Settings

MILLISECOND_US = 1000  # microseconds in a millisecond
IDLE_CLOSE_MARGIN_US = 500 * MILLISECOND_US  # time from this side's close of an idle connection to the endpoint's
REUSE_DELAY_US = 20 * MILLISECOND_US  # wait after an answer, as surplus bytes of it may still arrive
STALE_AFTER_US = 80 * MILLISECOND_US  # time after the reuse delay: a stale connection may have been dropped unnoticed
MAX_STALE_LOSS_RATE = 0.03  # above it, calls that must not run twice avoid stale connections
STALE_LOSS_AVERAGED_CALLS = 50  # the span of the stale loss rate's exponential mean


class SocketLimitError(OSError):
    """All sockets that the sender may open are in use."""


class EndpointKey(NamedTuple):
    """An endpoint at its address. A new endpoint at a known address has another key than its predecessor."""

    endpoint_id: str
    address: tuple[str, int]


@dataclass(slots=True, eq=False)
class Connection:
    """A connection that an attempt uses.

    Attributes:
        sock: The non-blocking socket.
        key: The endpoint and its address.
        is_new: The connection was dialled for this attempt.
        was_stale: The connection was idle for so long that it may have been dropped unnoticed.
    """

    sock: socket.socket
    key: EndpointKey
    is_new: bool
    was_stale: bool


@dataclass(slots=True, eq=False)
class IdleConnection:
    """An idle connection in the pool, and the task that watches it.

    Attributes:
        sock: The socket.
        key: The endpoint and its address.
        reusable_at_us: The earliest time of its reuse, in monotonic microseconds.
        idle_close_us: The endpoint's idle timeout, in microseconds.
        reservation: Accounts for it.
        watcher: The task that watches it.
    """

    sock: socket.socket
    key: EndpointKey
    reusable_at_us: int
    idle_close_us: int
    reservation: Reservation
    watcher: Task | None = None


class ConnectionPool:
    """Provides connections to endpoints, and takes them back after their answers.

    Attributes:
        in_use: The number of attempts that have a connection or wait for one; the caller counts them.
        retention: Decides how long idle connections are kept.
        stale_loss_rate: The recent fraction of calls on stale connections that were reset without an answer.
    """

    def __init__(
        self, scheduler: Scheduler, settings: Settings, max_sockets: int, budget: MemoryBudget | None = None
    ) -> None:
        """Start without connections.

        Args:
            scheduler: The clock, and the tasks that watch idle connections.
            settings: The dial timeout and the endpoints' idle timeout, where an endpoint's entry has none.
            max_sockets: The limit of connections, in use and idle.
            budget: Accounts for the idle connections; the caller accounts for those in use. None: there is no limit.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._max_sockets = max_sockets
        self._budget = budget or MemoryBudget()
        self._idle_by_endpoint: dict[EndpointKey, deque[IdleConnection]] = {}  # most recently used last; none is empty
        self._idle: dict[IdleConnection, None] = {}  # all, the longest idle first
        self.in_use = 0
        self.retention = ConnectionRetention(settings.replica_count)
        self.stale_loss_rate = 0.0

    def connect(self, entry: Entry, deadline_us: int, avoid_stale: bool) -> Connection:
        """Return the most recently used idle connection that is reusable and still open, or else a new one.

        Args:
            entry: The endpoint and its address.
            deadline_us: The latest end of a dial, in monotonic microseconds.
            avoid_stale: Dial instead of reusing a stale connection.

        Raises:
            SocketLimitError: All sockets that the sender may open are in use.
            streams.TimedOut: The dial timed out.
            OSError: The endpoint is unreachable, or the attempt was cancelled during the dial.
        """
        now_us = self._scheduler.now()
        key = EndpointKey(entry.endpoint.id, entry.address)
        self.retention.call_started(key, now_us)
        return self._pop_idle(key, now_us, avoid_stale) or self._dial(entry, key, deadline_us)

    def release(self, connection: Connection, entry: Entry) -> None:
        """Return a connection to the pool, or close it if none is kept; the caller must not use it again.

        The connection is reusable only after a delay: surplus bytes may follow the answer, and must not be read as
        the answer to the next call.
        """
        idle_close_us = entry.idle_us or self._settings.idle_close_us
        reservation = self._budget.open()
        if not (
            self.retention.retention_us(connection.key, idle_close_us) and reservation.try_resize(CONNECTION_BYTES)
        ):
            connection.sock.close()
            return
        reusable_at_us = self._scheduler.now() + REUSE_DELAY_US
        idle = IdleConnection(connection.sock, connection.key, reusable_at_us, idle_close_us, reservation)
        self._idle_by_endpoint.setdefault(idle.key, deque()).append(idle)
        self._idle[idle] = None
        idle.watcher = self._scheduler.spawn(self._watch, idle)

    def record_use(self, connection: Connection, was_lost: bool) -> None:
        """Record whether a call on a connection was reset without an answer.

        Idle connections may be dropped unnoticed. Only calls on stale connections measure how often that happens.
        """
        if connection.was_stale:
            self.stale_loss_rate += (was_lost - self.stale_loss_rate) / STALE_LOSS_AVERAGED_CALLS

    def close_idle(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint."""
        for idle in list(self._idle_by_endpoint.get(EndpointKey(entry.endpoint.id, entry.address), ())):
            self._discard(idle)

    def remove_endpoint(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint that left the list, and drop its statistics."""
        self.close_idle(entry)
        self.retention.remove_endpoint(EndpointKey(entry.endpoint.id, entry.address))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle):
            self._discard(idle)

    def _pop_idle(self, key: EndpointKey, now_us: int, avoid_stale: bool) -> Connection | None:
        """Return the most recently used idle connection that is reusable and open; close those found broken."""
        same_endpoint = self._idle_by_endpoint.get(key)
        if same_endpoint is None:
            return None
        for idle in [idle for idle in reversed(same_endpoint) if idle.reusable_at_us <= now_us]:
            is_stale = idle.reusable_at_us + STALE_AFTER_US <= now_us
            if is_stale and avoid_stale:
                return None  # the others have been idle for longer
            self._remove(idle)
            if _is_up(idle.sock):
                return Connection(idle.sock, key, is_new=False, was_stale=is_stale)
            idle.sock.close()
        return None

    def _dial(self, entry: Entry, key: EndpointKey, deadline_us: int) -> Connection:
        """Open a new connection; at the socket limit, close the longest idle ones first."""
        while self._idle and self.in_use + len(self._idle) > self._max_sockets:
            self._discard(next(iter(self._idle)))
        if self.in_use > self._max_sockets:
            raise SocketLimitError(f"no socket left: {self.in_use} connections in use, limit {self._max_sockets}")
        dial_deadline_us = self._scheduler.now() + (entry.dial_us or self._settings.dial_timeout_us)
        sock = streams.dial(self._scheduler, entry.address, min(deadline_us, dial_deadline_us))
        return Connection(sock, key, is_new=True, was_stale=False)

    def _watch(self, idle: IdleConnection) -> None:
        """Close an idle connection after its retention time, before its endpoint's idle timeout; runs as a task.

        Close it at once if its endpoint closes it or sends.
        """
        retention_us = REUSE_DELAY_US + self.retention.retention_us(idle.key, idle.idle_close_us)
        span_us = min(max(idle.idle_close_us // 2, idle.idle_close_us - IDLE_CLOSE_MARGIN_US), retention_us)
        if idle in self._idle:
            reason = self._scheduler.pause(self._scheduler.now() + span_us, idle.sock, READ)
            if reason is TIMED_OUT or idle in self._idle:
                self._discard(idle)

    def _remove(self, idle: IdleConnection) -> None:
        """Take a connection out of the pool, and end its watcher's wait for the socket."""
        del self._idle[idle]
        idle.reservation.release()
        same_endpoint = self._idle_by_endpoint[idle.key]
        same_endpoint.remove(idle)
        if not same_endpoint:
            del self._idle_by_endpoint[idle.key]
        if idle.watcher is not None:
            self._scheduler.wake(idle.watcher, "removed")

    def _discard(self, idle: IdleConnection) -> None:
        """Close an idle connection, unless it has left the pool."""
        if idle in self._idle:
            self._remove(idle)
            idle.sock.close()


def _is_up(sock: socket.socket) -> bool:
    """Return whether a connection is open and has no unread bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
