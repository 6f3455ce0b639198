"""Call counts of destinations at the target rate: Zipf over destinations in a seeded order, in clumps.

Counts are drawn for a span, not message by message: Poisson around the destination's rate, times a lognormal factor
that is redrawn for each destination every CLUMP_US, with mean 1.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from math import exp, sqrt

from scalefall.lab.hollow.clock import VirtualClock

SECOND = 1_000_000
CLUMP_US = 30 * SECOND
CLUMP_SIGMA = 0.5  # standard deviation of the logarithm of a clump's factor: one in twenty is above 2
NORMAL_APPROXIMATION_MEAN = 30.0  # above this mean, Poisson draws are approximated by the normal distribution


class Demand:
    def __init__(self, clock: VirtualClock, destinations: int, exponent: float, rate: float, seed: int) -> None:
        """Draw the order of destinations; rate is the calls per second of all of them together."""
        self._clock, self._random, self._seed = clock, random.Random(seed), seed
        order = list(range(destinations))
        self._random.shuffle(order)
        total = sum(rank**-exponent for rank in range(1, destinations + 1))
        self.rates = [0.0] * destinations  # calls a second, on average
        for rank, destination in enumerate(order, 1):
            self.rates[destination] = rate * rank**-exponent / total

    def counts(self, shares: Mapping[int, float], span_us: int) -> dict[int, int]:
        """Return the calls of each destination with a nonzero count, over a span that ends now."""
        counts = {}
        for destination, share in shares.items():
            mean = self.rates[destination] * share * span_us / SECOND * self._clump(destination)
            count = self._poisson(mean)
            if count:
                counts[destination] = count
        return counts

    def _clump(self, destination: int) -> float:
        generator = random.Random(hash((self._seed, destination, self._clock.now // CLUMP_US)))
        return exp(generator.gauss(-CLUMP_SIGMA * CLUMP_SIGMA / 2, CLUMP_SIGMA))

    def _poisson(self, mean: float) -> int:
        if mean > NORMAL_APPROXIMATION_MEAN:
            return max(0, round(self._random.gauss(mean, sqrt(mean))))
        threshold, count = exp(-mean), 0
        product = self._random.random()
        while product > threshold:
            count += 1
            product *= self._random.random()
        return count
