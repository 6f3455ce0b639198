"""Chooses which client connections give way: to new connections at the limit of places, and for memory at its limit."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Collection

from scalefall.net import http
from scalefall.net.client_connection import ClientConnection, ConnectionState
from scalefall.net.resource_log import ConnectionEnd, ConnectionEnds
from scalefall.net.scheduler import Scheduler

SECOND_US = 1_000_000  # microseconds in a second
HALF_FULL_FIRST_BYTE_TIMEOUT_US = SECOND_US // 4  # limit for a new connection, while half of max_clients are open
NOT_RECLAIMABLE = (ConnectionState.NEW, ConnectionState.ANSWERING)  # ranks that are not closed for memory
EVICTED_ANSWER = http.answer(
    http.SERVICE_UNAVAILABLE, [("Retry-After", "0.500")], b"too many incomplete requests\n", keep=False
)


class ConnectionEviction:
    """Closes the connections that others need least: those that linger, rest or are slow, the oldest first."""

    def __init__(
        self,
        scheduler: Scheduler,
        clients: Collection[ClientConnection],
        close: Callable[[ClientConnection], None],
        ends: ConnectionEnds,
    ) -> None:
        """Set up the eviction among these connections.

        Args:
            scheduler: The clock.
            clients: The open connections; the caller adds and removes them.
            close: Closes a connection and removes it.
            ends: Counts why connections ended.
        """
        self._scheduler = scheduler
        self._clients = clients
        self._close = close
        self._ends = ends

    def close_one(self, max_rank: ConnectionState = ConnectionState.IDLE) -> bool:
        """Close the connection with the lowest rank up to max_rank, and return whether there was one.

        One with unread bytes is spared once, as these may complete its request.
        """
        now_us = self._scheduler.now()
        while self._clients:
            client = min(self._clients, key=lambda candidate: (candidate.eviction_rank(now_us), candidate.since_us))
            if not _is_evictable(client, max_rank, now_us):
                return False
            is_lingering = client.state is ConnectionState.LINGERING
            if is_lingering or not self._spare(client):
                self._evict(client)
                return True
        return False

    def reclaim_memory(self) -> bool:
        """Close the connection that has been incomplete or idle for longest, and return whether there was one.

        Unlike a place, memory has to be had at once: a request that is not complete has no time of grace.
        """
        while (client := self._first_to_reclaim()) is not None:
            is_unread_dropped = client.state in (ConnectionState.LINGERING, ConnectionState.READING)
            if is_unread_dropped or not self._spare(client):
                self._evict(client)
                return True
        return False

    def _first_to_reclaim(self) -> ClientConnection | None:
        now_us = self._scheduler.now()
        found, found_rank = None, ConnectionState.ANSWERING
        for client in self._clients:
            rank = client.memory_rank(now_us)
            if rank is ConnectionState.LINGERING:
                return client
            if rank in NOT_RECLAIMABLE or rank > found_rank:
                continue
            if found is None or rank < found_rank or client.since_us < found.since_us:
                found, found_rank = client, rank
        return found

    def _spare(self, client: ClientConnection) -> bool:
        """Let a connection with unread bytes go on reading, once, and return whether it does."""
        if client.was_spared or not client.has_unread_bytes():
            return False
        client.was_spared = True
        client.set_state(ConnectionState.READING, self._scheduler.now())
        return True

    def _evict(self, client: ClientConnection) -> None:
        """Close a connection; one whose request has begun gets an answer, as its last bytes may be on their way."""
        self._ends.count(ConnectionEnd.EVICTED)
        if client.state is ConnectionState.READING:
            with contextlib.suppress(OSError):
                client.sock.send(EVICTED_ANSWER)
                client.shut_down(self._scheduler)
        self._close(client)


def _is_evictable(client: ClientConnection, max_rank: ConnectionState, now_us: int) -> bool:
    """Return whether a connection's rank is up to max_rank, and it has had its time for a first byte."""
    rank = client.eviction_rank(now_us)
    if rank is ConnectionState.NEW or rank > max_rank:
        return False
    is_only_for_first_byte = max_rank is ConnectionState.AWAITING_FIRST_BYTE and rank is max_rank
    return not is_only_for_first_byte or now_us - client.since_us >= HALF_FULL_FIRST_BYTE_TIMEOUT_US
