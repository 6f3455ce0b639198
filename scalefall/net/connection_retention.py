"""How long an idle connection is kept at an endpoint that takes few: a decision without sockets or clocks.

Idle connections count among the few that an endpoint takes from all senders. One sender's are harmless; where each of
N senders keeps its own for as long as the endpoint lets it, those that hold one never learn that the others are
rejected. So each keeps its connection for an N-th of the time, and for less where it is rejected itself; and where its
own calls come too seldom for that time to meet the next one, it keeps none: kept in vain, a connection costs a place
at the endpoint and spares no handshake.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

REJECTED_FACTOR = 0.5  # times the time, for each connection that was rejected: halved, as a rate is at congestion
ACCEPTED_FACTOR = 1.25  # times the time, for each that was accepted: three of them make up for one rejection
NEWEST_INTERVAL_WEIGHT = 0.25  # of the newest interval between calls in their exponential mean: the last four or so
MIN_MEAN_INTERVALS = 2.0  # so many mean intervals must fit into the time for a connection to be kept at all


@dataclass(slots=True)
class CallTimes:
    """When an endpoint was called.

    Attributes:
        last_us: When the last call to it began, in monotonic microseconds.
        mean_interval_us: The mean time between calls; 0 before the second one.
    """

    last_us: int
    mean_interval_us: float


class ConnectionRetention:
    """Decides, for each endpoint, for how long an idle connection is kept there."""

    def __init__(self, sender_count: int) -> None:
        """Start with nothing learned.

        Args:
            sender_count: How many senders call the same endpoints, this one with them.
        """
        self._sender_count = max(1, sender_count)
        self._factors: dict[Hashable, float] = {}  # of the time, by endpoint, where it is less than all
        self._call_times: dict[Hashable, CallTimes] = {}

    def call_started(self, endpoint: Hashable, now_us: int) -> None:
        """Take in that a call to an endpoint begins now, in monotonic microseconds."""
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
        """Return for how many microseconds an idle connection is kept at an endpoint; 0 if it is closed at once.

        Args:
            endpoint: The endpoint.
            idle_close_us: After how many microseconds the endpoint itself closes an idle connection.
        """
        retention_us = idle_close_us / self._sender_count * self._factors.get(endpoint, 1.0)
        if self._sender_count == 1:  # alone it is in nobody's way
            return int(retention_us)
        times = self._call_times.get(endpoint)
        is_called_often = times is None or MIN_MEAN_INTERVALS * times.mean_interval_us <= retention_us
        return int(retention_us) if is_called_often else 0

    def connection_rejected(self, endpoint: Hashable) -> None:
        """Take in that an endpoint had no place for a new connection."""
        self._factors[endpoint] = REJECTED_FACTOR * self._factors.get(endpoint, 1.0)

    def connection_accepted(self, endpoint: Hashable) -> None:
        """Take in that an endpoint took a new connection."""
        factor = ACCEPTED_FACTOR * self._factors.get(endpoint, 1.0)
        if factor < 1:
            self._factors[endpoint] = factor
        else:
            self._factors.pop(endpoint, None)

    def remove_endpoint(self, endpoint: Hashable) -> None:
        """Forget an endpoint that has left."""
        self._factors.pop(endpoint, None)
        self._call_times.pop(endpoint, None)
