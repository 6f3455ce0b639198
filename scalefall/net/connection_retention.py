"""Decides how long a sender keeps an idle connection to an endpoint that accepts few; without sockets or clocks.

Idle connections count against an endpoint's limit for all senders. A single sender can keep its own. If each of N
senders keeps its own for the endpoint's whole idle timeout, those with a connection never learn that the others are
rejected. So each sender keeps its connection for an N-th of the idle timeout, and for less after rejections. If a
sender's own calls are too rare to reuse the connection within that time, it keeps none: an idle connection that is not
reused takes a place at the endpoint and saves no handshake.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

REJECTED_FACTOR = 0.5  # a rejected connection halves the retention time, as congestion control does
ACCEPTED_FACTOR = 1.25  # factor of the retention time per accepted connection: about three offset one rejection
NEWEST_INTERVAL_WEIGHT = 0.25  # weight in the exponential mean of call intervals, which spans about four of them
MIN_MEAN_INTERVALS = 2.0  # mean call intervals that must fit into the retention time to keep a connection


@dataclass(slots=True)
class CallTimes:
    """The times of the calls to an endpoint.

    Attributes:
        last_us: When the last call started, in monotonic microseconds.
        mean_interval_us: The mean interval between calls; 0 before the second call.
    """

    last_us: int
    mean_interval_us: float


class ConnectionRetention:
    """Decides for each endpoint how long an idle connection is kept."""

    def __init__(self, sender_count: int) -> None:
        """Start without statistics.

        Args:
            sender_count: The number of senders that call the same endpoints, this one included.
        """
        self._sender_count = max(1, sender_count)
        self._factors: dict[Hashable, float] = {}  # of the retention time, by endpoint; 1 where missing
        self._call_times: dict[Hashable, CallTimes] = {}

    def call_started(self, endpoint: Hashable, now_us: int) -> None:
        """Record the start of a call to an endpoint, in monotonic microseconds."""
        times = self._call_times.get(endpoint)
        if times is None:
            self._call_times[endpoint] = CallTimes(now_us, 0.0)
            return
        interval_us = now_us - times.last_us
        if times.mean_interval_us:
            times.mean_interval_us += NEWEST_INTERVAL_WEIGHT * (interval_us - times.mean_interval_us)
        else:
            times.mean_interval_us = float(interval_us)
        times.last_us = now_us

    def retention_us(self, endpoint: Hashable, idle_close_us: int) -> int:
        """Return how long an idle connection to an endpoint is kept, in microseconds; 0 if it is closed at once.

        Args:
            endpoint: The endpoint.
            idle_close_us: The endpoint's idle timeout, in microseconds.
        """
        retention_us = idle_close_us / self._sender_count * self._factors.get(endpoint, 1.0)
        if self._sender_count == 1:  # takes no other sender's place
            return int(retention_us)
        times = self._call_times.get(endpoint)
        is_called_often = times is None or MIN_MEAN_INTERVALS * times.mean_interval_us <= retention_us
        return int(retention_us) if is_called_often else 0

    def connection_rejected(self, endpoint: Hashable) -> None:
        """Record that an endpoint rejected a new connection."""
        self._factors[endpoint] = REJECTED_FACTOR * self._factors.get(endpoint, 1.0)

    def connection_accepted(self, endpoint: Hashable) -> None:
        """Record that an endpoint accepted a new connection."""
        factor = ACCEPTED_FACTOR * self._factors.get(endpoint, 1.0)
        if factor < 1:
            self._factors[endpoint] = factor
        else:
            self._factors.pop(endpoint, None)

    def remove_endpoint(self, endpoint: Hashable) -> None:
        """Drop the statistics of an endpoint that left the list."""
        self._factors.pop(endpoint, None)
        self._call_times.pop(endpoint, None)
