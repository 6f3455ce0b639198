"""When each stream's next heartbeat may be due. No I/O, no clock; times are microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import inf

HEARTBEAT_GRID_US = 25_000  # heartbeats are sent at multiples of it, so that those of many streams take few steps


class HeartbeatSchedule:
    """The streams by the time at which their heartbeats are to be looked at, each once at most."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int]] = []
        self._scheduled: set[int] = set()

    def add(self, stream: int, time: float) -> None:
        """Schedule a stream, unless it is; not at all for a time of inf."""
        if time < inf and stream not in self._scheduled:
            self._scheduled.add(stream)
            heapq.heappush(self._heap, (-(-int(time) // HEARTBEAT_GRID_US) * HEARTBEAT_GRID_US, stream))

    def pop_due(self, now: int) -> Iterator[int]:
        """The streams whose time has come, which are scheduled no more; also those that are added meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            _, stream = heapq.heappop(self._heap)
            self._scheduled.discard(stream)
            yield stream

    @property
    def next_time(self) -> int | None:
        """The earliest time of a stream; None if there is none."""
        return self._heap[0][0] if self._heap else None
