"""The destination and time of each message: uniform or Zipf, independent or in bursts. Seeded.

A traffic stream is an iterator of (us since the event before, destination); destinations are numbers from 0.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator, Sequence

SECOND = 1_000_000  # us


class AliasTable:
    """Draws an index with given weights in constant time (Walker 1977, Vose 1991)."""

    def __init__(self, weights: Sequence[float]) -> None:
        count, total = len(weights), sum(weights)
        scaled = [weight * count / total for weight in weights]
        small = [index for index, weight in enumerate(scaled) if weight < 1]
        large = [index for index, weight in enumerate(scaled) if weight >= 1]
        self._threshold, self._alias = [1.0] * count, list(range(count))
        while small and large:
            lower, higher = small.pop(), large[-1]
            self._threshold[lower], self._alias[lower] = scaled[lower], higher
            scaled[higher] -= 1 - scaled[lower]
            if scaled[higher] < 1:
                small.append(large.pop())

    def draw(self, random_: random.Random) -> int:
        position = random_.random() * len(self._threshold)
        index = int(position)
        return index if position - index < self._threshold[index] else self._alias[index]


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Return the weights k ** -exponent of `count` destinations; exponent 0 is uniform."""
    return [rank**-exponent for rank in range(1, count + 1)]


def independent(table: AliasTable, rate: float, random_: random.Random) -> Iterator[tuple[int, int]]:
    """Yield `rate` events a second (Poisson), each to a destination drawn independently."""
    while True:
        yield int(random_.expovariate(rate) * SECOND), table.draw(random_)


def bursty(
    table: AliasTable, rate: float, random_: random.Random, size: float, span_us: int
) -> Iterator[tuple[int, int]]:
    """Yield `rate` events a second on average, in bursts to one destination each.

    A burst has `size` events on average (geometric), spread evenly over span_us. Bursts begin at random and overlap.
    """
    queue: list[tuple[int, int]] = []  # (when, destination)
    next_burst, now = 0, 0
    while True:
        while not queue or next_burst <= queue[0][0]:
            destination, at = table.draw(random_), next_burst
            while True:
                heapq.heappush(queue, (at + int(random_.random() * span_us), destination))
                if random_.random() >= 1 - 1 / size:
                    break
            next_burst += int(random_.expovariate(rate / size) * SECOND)
        when, destination = heapq.heappop(queue)
        yield when - now, destination
        now = when


def distinct(traffic: Iterator[tuple[int, int]], span_us: int) -> int:
    """Return how many destinations a traffic stream reaches within span_us of its start."""
    seen: set[int] = set()
    now = 0
    for gap, destination in traffic:
        now += gap
        if now >= span_us:
            break
        seen.add(destination)
    return len(seen)
