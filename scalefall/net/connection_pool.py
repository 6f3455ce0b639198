"""Connections to endpoints: idle ones are kept for the next attempts, and new ones are dialled.

Each idle connection has a task that watches it. It closes the connection in time, and at once when the endpoint closes
it or sends what nobody asked for.
"""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from scalefall.net import streams
from scalefall.net.connection_retention import ConnectionRetention
from scalefall.net.list_stream import Entry
from scalefall.net.scheduler import READ, TIMED_OUT, Scheduler, Task
from scalefall.policy.settings import Settings

MILLISECOND_US = 1000  # microseconds in a millisecond
IDLE_CLOSE_MARGIN_US = 500 * MILLISECOND_US  # an idle connection is closed so long before its endpoint would close it
REST_US = 20 * MILLISECOND_US  # so long after an answer a connection is not used again: what still comes shows in it
STALE_AFTER_US = 80 * MILLISECOND_US  # a rested connection that nobody used for so long may have died meanwhile
MAX_STALE_LOSS = 0.03  # above this share of lost calls on stale connections, what must not run twice avoids these
STALE_LOSS_CALLS = 50  # calls on stale connections over which that share is averaged, exponentially


class SocketLimitError(OSError):
    """All connections that the sender may have are in use."""


class EndpointKey(NamedTuple):
    """An endpoint at its address: a new endpoint at a known address is not the one that was there before."""

    endpoint_id: str
    address: tuple[str, int]


@dataclass(slots=True, eq=False)
class Connection:
    """A connection while an attempt has it.

    Attributes:
        sock: The socket, without blocking.
        key: The endpoint, and its address.
        is_new: It was dialled for this attempt.
        was_stale: It had been idle for so long that it may have died unseen.
    """

    sock: socket.socket
    key: EndpointKey
    is_new: bool
    was_stale: bool


@dataclass(slots=True, eq=False)
class IdleConnection:
    """One idle time of a connection, and the task that watches it.

    Attributes:
        sock: The socket.
        key: The endpoint, and its address.
        reusable_at_us: From when an attempt may have it, in monotonic microseconds.
        idle_close_us: After how many microseconds its endpoint closes it.
        watcher: The task that watches it.
    """

    sock: socket.socket
    key: EndpointKey
    reusable_at_us: int
    idle_close_us: int
    watcher: Task | None = None


class ConnectionPool:
    """Hands out connections to endpoints, and takes them back when their answers are whole.

    Attributes:
        in_use: The attempts that have a connection or wait for one; whoever carries out attempts counts them here.
        retention: For how long idle connections are kept.
        stale_loss: The share, of late, of calls on stale connections that were reset without an answer.
    """

    def __init__(self, scheduler: Scheduler, settings: Settings, max_sockets: int) -> None:
        """Start without connections.

        Args:
            scheduler: The clock, and the tasks that watch idle connections.
            settings: How long a dial may take, and after how long endpoints close idle connections, where an
                endpoint's entry does not say.
            max_sockets: How many connections there may be, in use and idle.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._max_sockets = max_sockets
        self._idle_by_endpoint: dict[EndpointKey, deque[IdleConnection]] = {}  # used last at the right; none is empty
        self._idle: dict[IdleConnection, None] = {}  # all of them, the longest idle first
        self.in_use = 0
        self.retention = ConnectionRetention(settings.replica_count)
        self.stale_loss = 0.0

    def connect(self, entry: Entry, until_us: int, avoid_stale: bool) -> Connection:
        """Return the connection used last of those that are idle, have rested and are still up; otherwise a new one.

        Args:
            entry: The endpoint, and where to dial.
            until_us: Until when a dial may take, in monotonic microseconds.
            avoid_stale: Rather dial than take a connection that may have died unseen.

        Raises:
            SocketLimitError: No further socket may be opened.
            streams.TimedOut: The dial took too long.
            OSError: The endpoint cannot be reached, or the attempt was called off while it waited.
        """
        now_us = self._scheduler.now()
        key = EndpointKey(entry.endpoint.id, entry.address)
        self.retention.call_started(key, now_us)
        return self._pop_idle(key, now_us, avoid_stale) or self._dial(entry, key, until_us)

    def release(self, connection: Connection, entry: Entry) -> None:
        """Keep a connection for the next attempts, or close it where none is to be kept; whoever had it lets go of it.

        It rests first: more than belongs to an answer may come right behind it, and must not answer the next call.
        """
        idle_close_us = entry.idle_us or self._settings.idle_close_us
        if not self.retention.retention_us(connection.key, idle_close_us):
            connection.sock.close()
            return
        idle = IdleConnection(connection.sock, connection.key, self._scheduler.now() + REST_US, idle_close_us)
        self._idle_by_endpoint.setdefault(idle.key, deque()).append(idle)
        self._idle[idle] = None
        idle.watcher = self._scheduler.spawn(self._watch, idle)

    def record_use(self, connection: Connection, was_lost: bool) -> None:
        """Take in whether a call on a connection was reset without an answer.

        Connections may die unseen while they are idle; how often, only calls on stale ones tell.
        """
        if connection.was_stale:
            self.stale_loss += (was_lost - self.stale_loss) / STALE_LOSS_CALLS

    def close_idle(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint."""
        for idle in list(self._idle_by_endpoint.get(EndpointKey(entry.endpoint.id, entry.address), ())):
            self._discard(idle)

    def forget(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint that has left, and forget what was learned of it."""
        self.close_idle(entry)
        self.retention.forget(EndpointKey(entry.endpoint.id, entry.address))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle):
            self._discard(idle)

    def _pop_idle(self, key: EndpointKey, now_us: int, avoid_stale: bool) -> Connection | None:
        """Return the idle connection used last that has rested and is up; close those found dead on the way."""
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

    def _dial(self, entry: Entry, key: EndpointKey, until_us: int) -> Connection:
        """Open a new connection; where there are too many, those that have been idle longest make room for it."""
        while self._idle and self.in_use + len(self._idle) > self._max_sockets:
            self._discard(next(iter(self._idle)))
        if self.in_use > self._max_sockets:
            raise SocketLimitError("no socket left")
        dial_until_us = self._scheduler.now() + (entry.dial_us or self._settings.dial_timeout_us)
        sock = streams.dial(self._scheduler, entry.address, min(until_us, dial_until_us))
        return Connection(sock, key, is_new=True, was_stale=False)

    def _watch(self, idle: IdleConnection) -> None:
        """Close an idle connection in time, and at once when its endpoint does or sends anything; runs as a task."""
        retention_us = REST_US + self.retention.retention_us(idle.key, idle.idle_close_us)
        span_us = min(max(idle.idle_close_us // 2, idle.idle_close_us - IDLE_CLOSE_MARGIN_US), retention_us)
        if idle in self._idle:
            reason = self._scheduler.pause(self._scheduler.now() + span_us, idle.sock, READ)
            if reason is TIMED_OUT or idle in self._idle:
                self._discard(idle)

    def _remove(self, idle: IdleConnection) -> None:
        """Take a connection out of the pool, and end its watcher's pause: nobody waits for its socket then."""
        del self._idle[idle]
        same_endpoint = self._idle_by_endpoint[idle.key]
        same_endpoint.remove(idle)
        if not same_endpoint:
            del self._idle_by_endpoint[idle.key]
        if idle.watcher is not None:
            self._scheduler.wake(idle.watcher, "removed")

    def _discard(self, idle: IdleConnection) -> None:
        """Close an idle connection, unless it is in the pool no more."""
        if idle in self._idle:
            self._remove(idle)
            idle.sock.close()


def _is_up(sock: socket.socket) -> bool:
    """Return whether a connection is open and nothing has come on it."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
