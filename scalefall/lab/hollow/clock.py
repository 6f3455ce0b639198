"""A virtual clock with timers. Times are whole microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND = 1_000_000


class Timer:
    """A function that is called once, unless it is cancelled before."""

    __slots__ = ("function",)

    def __init__(self, function: Callable[[], None]) -> None:
        self.function: Callable[[], None] | None = function

    def cancel(self) -> None:
        self.function = None


class VirtualClock:
    def __init__(self) -> None:
        self.now = 0
        self._queue: list[tuple[int, int, Timer]] = []
        self._count = 0  # keeps the order of what is due at one time

    def at(self, when: int, function: Callable[[], None]) -> Timer:
        """Calls function at that time, or at once if it has passed."""
        timer = Timer(function)
        self._count += 1
        heapq.heappush(self._queue, (max(when, self.now), self._count, timer))
        return timer

    def after(self, span: int, function: Callable[[], None]) -> Timer:
        return self.at(self.now + span, function)

    def run_until(self, end: int) -> None:
        """Plays everything that is due by then; the clock stands there afterwards."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, timer = heapq.heappop(self._queue)
            if timer.function is not None:
                timer.function()
        self.now = max(self.now, end)

    def run_for(self, span: int) -> None:
        self.run_until(self.now + span)
