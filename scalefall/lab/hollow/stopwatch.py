"""Processor time of one role, where several share a process."""

from __future__ import annotations

from collections.abc import Callable


def no_timer() -> int:
    """The model itself knows no clock of the machine: benchmarks hand one in."""
    return 0


class Stopwatch:
    """Adds up the time between start() and stop(), in the units of its timer."""

    __slots__ = ("_begun", "_timer", "spent")

    def __init__(self, timer: Callable[[], int] = no_timer) -> None:
        self.spent = 0
        self._timer, self._begun = timer, 0

    def start(self) -> None:
        self._begun = self._timer()

    def stop(self) -> None:
        self.spent += self._timer() - self._begun
