"""A destination as a model: its capacity at a time, and the outcome of each call. No I/O, no clock; seeded.

It accepts `limit` calls a second, evenly spaced, at most two at once. After an outage it returns with little capacity,
which grows over slow_start_us. In that time, more than overload_multiple times its capacity within overload_window_us
makes it fail: it is down for overload_outage_us and returns as before. Calls above the limit are rejected with the wait
until it accepts one. Each call that it accepts has an effect, counted by message id.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from scalefall.policy.events import Outcome

SECOND = 1_000_000  # us


@dataclass(slots=True)
class DestinationProfile:
    """The limits and failures of a destination. Times in us.

    Attributes:
        limit: Calls a second after the slow start.
        outages: (start, end) of each outage.
        slow_start_from: Part of the limit that it accepts at the end of an outage.
        slow_start_us: Time after an outage until it accepts the limit.
        overload_multiple: Multiple of its capacity that makes it fail during the slow start.
        overload_window_us: Span in which these calls are counted.
        overload_outage_us: How long it is down after such a failure.
        service_time_us: Median of the log-normal service time.
        reset_ratio: Part of the calls whose connection is reset after they had their effect.
    """

    limit: float
    outages: tuple[tuple[int, int], ...] = ()
    slow_start_from: float = 0.25
    slow_start_us: int = 12 * SECOND
    overload_multiple: float = 1.5
    overload_window_us: int = 3 * SECOND
    overload_outage_us: int = 8 * SECOND
    service_time_us: int = 60_000
    reset_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class Answer:
    """How a call ends, and when."""

    outcome: Outcome
    delay_us: int
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)


class DestinationModel:
    """The state of one destination."""

    def __init__(self, profile: DestinationProfile, seed: int) -> None:
        self.profile, self._random = profile, random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.overload_failures = 0
        self.slow_start_since = -profile.slow_start_us
        self._unavailable_until = -1
        self._tokens, self._refilled_at = 2.0, 0
        self._calls: deque[int] = deque()

    def is_unavailable(self, now: int) -> bool:
        """Return whether the destination is down."""
        for start, end in self.profile.outages:
            if start <= now < end:
                self.slow_start_since = max(self.slow_start_since, end)
                return True
        return now < self._unavailable_until

    def capacity(self, now: int) -> float:
        """Return the calls a second that it accepts at a time."""
        if self.is_unavailable(now):
            return 0.0
        profile = self.profile
        progress = min(1.0, max(0.0, (now - self.slow_start_since) / profile.slow_start_us))
        return profile.limit * (profile.slow_start_from + (1 - profile.slow_start_from) * progress)

    def call(self, name: str, now: int) -> Answer:
        """Process a call with the message of this id."""
        capacity, profile = self.capacity(now), self.profile
        if not capacity:
            return Answer(Outcome.CONNECT_FAILED, 1000)
        self._calls.append(now)
        while self._calls[0] <= now - profile.overload_window_us:
            self._calls.popleft()
        if (
            now - self.slow_start_since < profile.slow_start_us
            and len(self._calls) > profile.overload_multiple * capacity * profile.overload_window_us / SECOND + 3
        ):
            self.overload_failures += 1
            self._unavailable_until = now + profile.overload_outage_us
            self.slow_start_since = self._unavailable_until
            self._calls.clear()
            return Answer(Outcome.RESET, 1000)
        self._tokens = min(2.0, self._tokens + capacity * (now - self._refilled_at) / SECOND)
        self._refilled_at = now
        load_report = {"x0": max(0.0, self._tokens - 1) / 2, "x1": capacity}
        if self._tokens < 1:
            return Answer(Outcome.OVERLOADED, 1000, int((1 - self._tokens) / capacity * SECOND), load_report)
        self._tokens -= 1
        self.effects[name] += 1
        delay_us = int(min(10 * profile.service_time_us, self._random.lognormvariate(0, 0.5) * profile.service_time_us))
        if self._random.random() < profile.reset_ratio:
            return Answer(Outcome.RESET, delay_us)
        return Answer(Outcome.OK, delay_us, 0, load_report)
