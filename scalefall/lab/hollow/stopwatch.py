"""Processor time of one role, where several roles run in one process."""

from __future__ import annotations

from collections.abc import Callable


def no_timer() -> int:
    """Return 0: the model reads no clock of the machine; benchmarks pass one in."""
    return 0


class Stopwatch:
    """Sums the time between start() and stop(), in the units of its timer."""

    __slots__ = ("_started_at", "_timer", "spent")

    def __init__(self, timer: Callable[[], int] = no_timer) -> None:
        self.spent = 0
        self._timer, self._started_at = timer, 0

    def start(self) -> None:
        self._started_at = self._timer()

    def stop(self) -> None:
        self.spent += self._timer() - self._started_at
