"""The times at which streams may have heartbeats due. No I/O, no clock; times are microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from math import inf

HEARTBEAT_GRID_US = 25_000  # times are rounded up to a multiple, so that the heartbeats of many streams share a step


class HeartbeatSchedule:
    """The streams, each with at most one time at which to check its heartbeats."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int]] = []
        self._scheduled: set[int] = set()

    def add(self, stream: int, time: float) -> None:
        """Schedule a stream unless it is scheduled already; a time of inf schedules nothing."""
        if time < inf and stream not in self._scheduled:
            self._scheduled.add(stream)
            heapq.heappush(self._heap, (-(-int(time) // HEARTBEAT_GRID_US) * HEARTBEAT_GRID_US, stream))

    def pop_due(self, now: int) -> Iterator[int]:
        """Remove and yield the streams that are due, including those added during the iteration."""
        while self._heap and self._heap[0][0] <= now:
            _, stream = heapq.heappop(self._heap)
            self._scheduled.discard(stream)
            yield stream

    @property
    def next_time(self) -> int | None:
        """Return the earliest scheduled time; None if there is none."""
        return self._heap[0][0] if self._heap else None
