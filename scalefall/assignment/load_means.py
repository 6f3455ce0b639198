"""Exponentially decaying means of the measured load by destination.

A report contains the calls per second of each destination with traffic; a destination that it omits had none. The mean
at a time is the average of the reports, each weighted by its time span and by exp(-age / AVERAGING_US). All values
decay alike, so one common factor represents the decay, and a report costs time only for its own rows ("forward decay":
Cormode, Shkapenyuk, Srivastava and Xu, ICDE 2009). Memory is proportional to the destinations with traffic. Times are
microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import exp, isfinite

from scalefall.errors import AssignmentError

AVERAGING_US = 300_000_000  # ten placement intervals, so that a burst of half a minute moves hardly any shard
IDLE_LOAD_CALLS_PER_S = 0.001  # a destination with a lower mean is idle and dropped
MAX_DESTINATIONS = 1_000_000  # more than twice the target fleet's; others are not recorded until some become idle
MIN_DECAY_FACTOR = 1e-100  # below it the factor is folded into the values, so that it does not underflow


def _is_load(load: float) -> bool:
    try:
        return isinstance(load, int | float) and isfinite(load) and load >= 0
    except OverflowError:  # an int beyond any float
        return False


class LoadMeans:
    """Mean calls per second by destination, over about AVERAGING_US."""

    def __init__(self) -> None:
        """Start without any report."""
        self._values: dict[int, float] = {}  # mean / factor
        self._factor = 1.0
        self._reported_at: int | None = None  # the time of the last report
        self.first_report_at: int | None = None
        self.unrecorded = 0  # loads that were dropped, as there were MAX_DESTINATIONS already

    def __len__(self) -> int:
        """Return the number of destinations that have a mean."""
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
                raise AssignmentError(
                    f"destination {destination}: a load of {load!r} calls per second, not a finite number of 0 or more"
                )
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
        """Return the mean calls per second of each destination that is not idle, and drop the idle ones."""
        factor = self._factor
        if self._reported_at is not None:
            factor *= exp(-max(0, now - self._reported_at) / AVERAGING_US)
        idle_value = IDLE_LOAD_CALLS_PER_S / factor if factor else 0.0
        self._values = {destination: value for destination, value in self._values.items() if value >= idle_value}
        return {destination: value * factor for destination, value in self._values.items()}

    def _apply_decay(self, decay: float) -> None:
        self._factor *= decay
        if self._factor < MIN_DECAY_FACTOR:
            self._values = {destination: value * self._factor for destination, value in self._values.items()}
            self._factor = 1.0
