"""Which destination each message goes to, and when: uniform, Zipf, and either of them in clumps. All from a seed.

A stream of traffic is an iterator of (us since the event before, destination); destinations are numbers from 0.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator, Sequence

SECOND = 1_000_000


class AliasTable:
    """Draws an index by given weights, in constant time (Walker 1977, Vose 1991)."""

    def __init__(self, weights: Sequence[float]) -> None:
        count, total = len(weights), sum(weights)
        scaled = [weight * count / total for weight in weights]
        small = [index for index, weight in enumerate(scaled) if weight < 1]
        large = [index for index, weight in enumerate(scaled) if weight >= 1]
        self._keep, self._other = [1.0] * count, list(range(count))
        while small and large:
            less, more = small.pop(), large[-1]
            self._keep[less], self._other[less] = scaled[less], more
            scaled[more] -= 1 - scaled[less]
            if scaled[more] < 1:
                small.append(large.pop())

    def draw(self, random_: random.Random) -> int:
        place = random_.random() * len(self._keep)
        index = int(place)
        return index if place - index < self._keep[index] else self._other[index]


def zipf_weights(count: int, exponent: float) -> list[float]:
    """The weight of the k-th destination is k ** -exponent; 0 is uniform."""
    return [rank**-exponent for rank in range(1, count + 1)]


def independent(table: AliasTable, rate: float, random_: random.Random) -> Iterator[tuple[int, int]]:
    """rate events a second (Poisson), each to a destination of its own drawing."""
    while True:
        yield int(random_.expovariate(rate) * SECOND), table.draw(random_)


def bursty(
    table: AliasTable, rate: float, random_: random.Random, size: float, span_us: int
) -> Iterator[tuple[int, int]]:
    """rate events a second on average, in clumps of one destination each: size events on average (geometric), spread
    evenly over span_us. Clumps begin at random and overlap."""
    waiting: list[tuple[int, int]] = []  # (when, destination)
    next_clump, now = 0, 0
    while True:
        while not waiting or next_clump <= waiting[0][0]:
            destination, at = table.draw(random_), next_clump
            while True:
                heapq.heappush(waiting, (at + int(random_.random() * span_us), destination))
                if random_.random() >= 1 - 1 / size:
                    break
            next_clump += int(random_.expovariate(rate / size) * SECOND)
        when, destination = heapq.heappop(waiting)
        yield when - now, destination
        now = when


def distinct(traffic: Iterator[tuple[int, int]], span_us: int) -> int:
    """How many destinations it touches within that span from its beginning."""
    seen: set[int] = set()
    now = 0
    for gap, destination in traffic:
        now += gap
        if now >= span_us:
            break
        seen.add(destination)
    return len(seen)
