"""A virtual clock with timers. Times are whole microseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND = 1_000_000  # us


class Timer:
    """A function that is called once, unless it is cancelled first."""

    __slots__ = ("function",)

    def __init__(self, function: Callable[[], None]) -> None:
        self.function: Callable[[], None] | None = function

    def cancel(self) -> None:
        self.function = None


class VirtualClock:
    """A clock that moves to the time of each timer in turn."""

    def __init__(self) -> None:
        self.now = 0
        self._queue: list[tuple[int, int, Timer]] = []
        self._sequence = 0  # orders timers that are due at the same time

    def at(self, when: int, function: Callable[[], None]) -> Timer:
        """Call a function at a time, or as soon as possible if it has passed."""
        timer = Timer(function)
        self._sequence += 1
        heapq.heappush(self._queue, (max(when, self.now), self._sequence, timer))
        return timer

    def after(self, span: int, function: Callable[[], None]) -> Timer:
        return self.at(self.now + span, function)

    def run_until(self, end: int) -> None:
        """Run all timers that are due by `end`, and set the clock to it."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, timer = heapq.heappop(self._queue)
            if timer.function is not None:
                timer.function()
        self.now = max(self.now, end)

    def run_for(self, span: int) -> None:
        self.run_until(self.now + span)
