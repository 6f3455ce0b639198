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

SECOND = 1_000_000


@dataclass(slots=True)
class DestinationProfile:
    limit: float  # calls a second
    outages: tuple[tuple[int, int], ...] = ()  # from, to, in us
    slow_start_from: float = 0.25
    slow_start_us: int = 12 * SECOND
    overload_multiple: float = 1.5
    overload_window_us: int = 3 * SECOND
    overload_outage_us: int = 8 * SECOND
    service_time_us: int = 60_000  # the middle of a log-normal
    reset_ratio: float = 0.0  # share of calls that are cut after they had their effect


@dataclass(slots=True, frozen=True)
class Answer:
    outcome: Outcome
    delay_us: int
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)


class DestinationModel:
    def __init__(self, profile: DestinationProfile, seed: int) -> None:
        self.profile, self._random = profile, random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.overload_failures = 0
        self.slow_start_since = -profile.slow_start_us
        self._away_until = -1
        self._tokens, self._at = 2.0, 0
        self._calls: deque[int] = deque()

    def is_unavailable(self, now: int) -> bool:
        for start, end in self.profile.outages:
            if start <= now < end:
                self.slow_start_since = max(self.slow_start_since, end)
                return True
        return now < self._away_until

    def capacity(self, now: int) -> float:
        """Calls a second at this moment."""
        if self.is_unavailable(now):
            return 0.0
        shape = self.profile
        part = min(1.0, max(0.0, (now - self.slow_start_since) / shape.slow_start_us))
        return shape.limit * (shape.slow_start_from + (1 - shape.slow_start_from) * part)

    def call(self, name: str, now: int) -> Answer:
        capacity, shape = self.capacity(now), self.profile
        if not capacity:
            return Answer(Outcome.CONNECT_FAILED, 1000)
        self._calls.append(now)
        while self._calls[0] <= now - shape.overload_window_us:
            self._calls.popleft()
        if (
            now - self.slow_start_since < shape.slow_start_us
            and len(self._calls) > shape.overload_multiple * capacity * shape.overload_window_us / SECOND + 3
        ):
            self.overload_failures += 1
            self._away_until = now + shape.overload_outage_us
            self.slow_start_since = self._away_until
            self._calls.clear()
            return Answer(Outcome.RESET, 1000)
        self._tokens = min(2.0, self._tokens + capacity * (now - self._at) / SECOND)
        self._at = now
        report = {"x0": max(0.0, self._tokens - 1) / 2, "x1": capacity}
        if self._tokens < 1:
            return Answer(Outcome.OVERLOADED, 1000, int((1 - self._tokens) / capacity * SECOND), report)
        self._tokens -= 1
        self.effects[name] += 1
        after = int(min(10 * shape.service_time_us, self._random.lognormvariate(0, 0.5) * shape.service_time_us))
        if self._random.random() < shape.reset_ratio:
            return Answer(Outcome.RESET, after)
        return Answer(Outcome.OK, after, 0, report)
