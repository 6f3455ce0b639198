"""Measured load by destination as a decaying mean; memory goes with the destinations that have traffic.

A report says calls per second for each destination with traffic; one that it leaves out had none. The mean at a time is
the average of the reports, each weighed by its span of time and by exp(-age / AVERAGING_US). All decay alike, so one
common factor stands for the decay and a report costs its own rows only ("forward decay": Cormode, Shkapenyuk,
Srivastava and Xu, ICDE 2009). Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import exp, isfinite

from scalefall.errors import AssignmentError

AVERAGING_US = 300_000_000  # ten placements at their usual interval: bursts of half a minute move next to nothing
IDLE_LOAD_CALLS_PER_S = 0.001  # calls per second: a destination with a lower mean is idle, and forgotten
MAX_DESTINATIONS = 1_000_000  # more than twice those of the size aimed at; more are not recorded until some are idle
MIN_DECAY_FACTOR = 1e-100  # the factor is folded into the values before it runs out of a float's range


def _is_load(load: float) -> bool:
    try:
        return isinstance(load, int | float) and isfinite(load) and load >= 0
    except OverflowError:  # an int beyond any float
        return False


class LoadMeans:
    """Calls per second by destination, averaged over about AVERAGING_US."""

    def __init__(self) -> None:
        """Start without any report."""
        self._values: dict[int, float] = {}  # mean / factor
        self._factor = 1.0
        self._reported_at: int | None = None  # the last report
        self.first_report_at: int | None = None  # the time of the first report
        self.unrecorded = 0  # loads of destinations not recorded, as there were too many

    def __len__(self) -> int:
        """Return the number of destinations that are remembered."""
        return len(self._values)

    def report(self, loads: Mapping[int, float], now: int) -> None:
        """Record one report on all destinations with traffic.

        Args:
            loads: Calls per second by destination.
            now: When the report was made, in microseconds.

        Raises:
            AssignmentError: A load is not a finite number of 0 or more; nothing of the report is recorded.
        """
        for destination, load in loads.items():
            if not _is_load(load):
                raise AssignmentError(f"destination {destination}: a load of {load!r} calls a second")
        decay = 0.0 if self._reported_at is None else exp(-max(0, now - self._reported_at) / AVERAGING_US)
        self._reported_at = now
        self.first_report_at = now if self.first_report_at is None else self.first_report_at
        self._apply_decay(decay)
        weight = (1 - decay) / self._factor
        for destination, load in loads.items():
            if destination in self._values:
                self._values[destination] += load * weight
            elif len(self._values) < MAX_DESTINATIONS:
                self._values[destination] = load * weight
            else:
                self.unrecorded += 1

    def means(self, now: int) -> dict[int, float]:
        """Return the mean in calls per second of each destination that is not idle; idle ones are forgotten."""
        factor = self._factor
        if self._reported_at is not None:
            factor *= exp(-max(0, now - self._reported_at) / AVERAGING_US)
        least = IDLE_LOAD_CALLS_PER_S / factor if factor else 0.0
        self._values = {destination: value for destination, value in self._values.items() if value >= least}
        return {destination: value * factor for destination, value in self._values.items()}

    def _apply_decay(self, decay: float) -> None:
        self._factor *= decay
        if self._factor < MIN_DECAY_FACTOR:
            self._values = {destination: value * self._factor for destination, value in self._values.items()}
            self._factor = 1.0
