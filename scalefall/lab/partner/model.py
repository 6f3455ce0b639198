"""A partner as a model: what it takes at a moment, and what became of each call. No I/O, no clock; seeded.

It takes `limit` calls a second, even, two at once. It may be away, comes back cold and warms up over cold_us; while it
is cold, more than `fall` times what it takes within fall_us makes it fall over: it is away again and returns as cold.
Calls above the limit are refused with the wait until it would take one. What it took has an effect, counted by id.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field

from scalefall.policy.events import Outcome

SECOND = 1_000_000


@dataclass(slots=True)
class Shape:
    limit: float  # calls a second
    away: tuple[tuple[int, int], ...] = ()  # from, to, in us
    cold_from: float = 0.25
    cold_us: int = 12 * SECOND
    fall: float = 1.5
    fall_us: int = 3 * SECOND
    fallen_us: int = 8 * SECOND
    service_us: int = 60_000  # the middle of a log-normal
    resets: float = 0.0  # share of calls that are cut after they had their effect


@dataclass(slots=True, frozen=True)
class Answer:
    outcome: Outcome
    after_us: int
    wait_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


class Partner:
    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self._random = shape, random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.fell = 0
        self.cold_since = -shape.cold_us
        self._away_until = -1
        self._tokens, self._at = 2.0, 0
        self._calls: deque[int] = deque()

    def away(self, now: int) -> bool:
        for start, end in self.shape.away:
            if start <= now < end:
                self.cold_since = max(self.cold_since, end)
                return True
        return now < self._away_until

    def capacity(self, now: int) -> float:
        """Calls a second at this moment."""
        if self.away(now):
            return 0.0
        shape = self.shape
        part = min(1.0, max(0.0, (now - self.cold_since) / shape.cold_us))
        return shape.limit * (shape.cold_from + (1 - shape.cold_from) * part)

    def call(self, name: str, now: int) -> Answer:
        capacity, shape = self.capacity(now), self.shape
        if not capacity:
            return Answer(Outcome.CONNECT_FAILED, 1000)
        self._calls.append(now)
        while self._calls[0] <= now - shape.fall_us:
            self._calls.popleft()
        if (
            now - self.cold_since < shape.cold_us
            and len(self._calls) > shape.fall * capacity * shape.fall_us / SECOND + 3
        ):
            self.fell += 1
            self._away_until = now + shape.fallen_us
            self.cold_since = self._away_until
            self._calls.clear()
            return Answer(Outcome.RESET, 1000)
        self._tokens = min(2.0, self._tokens + capacity * (now - self._at) / SECOND)
        self._at = now
        report = {"x0": max(0.0, self._tokens - 1) / 2, "x1": capacity}
        if self._tokens < 1:
            return Answer(Outcome.OVERLOADED, 1000, int((1 - self._tokens) / capacity * SECOND), report)
        self._tokens -= 1
        self.effects[name] += 1
        after = int(min(10 * shape.service_us, self._random.lognormvariate(0, 0.5) * shape.service_us))
        if self._random.random() < shape.resets:
            return Answer(Outcome.RESET, after)
        return Answer(Outcome.OK, after, 0, report)
