"""A line through measured points, by least squares."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

MIN_POINTS = 3  # with fewer, linearity cannot be judged


@dataclass(slots=True, frozen=True)
class Line:
    slope: float
    intercept: float
    deviation: float  # the largest of |measured - line| / line, at the measured points
    power: float  # exponent of growth from the smallest to the largest size; 1 is a line through the origin

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares. Raise ValueError for fewer than MIN_POINTS different sizes."""
    if len({x for x, _ in points}) < MIN_POINTS:
        raise ValueError(f"a line needs {MIN_POINTS} sizes or more, not {len({x for x, _ in points})}")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    intercept = mean_y - slope * mean_x
    deviation = max(_relative(y, intercept + slope * x) for x, y in points)
    return Line(slope, intercept, deviation, _power(min(points), max(points)))


def _power(first: tuple[float, float], last: tuple[float, float]) -> float:
    if first[1] <= 0 or last[1] <= 0 or first[0] <= 0:
        return 0.0
    return math.log(last[1] / first[1]) / math.log(last[0] / first[0])


def _relative(measured: float, expected: float) -> float:
    if measured == expected:
        return 0.0
    return abs(measured - expected) / abs(expected) if expected else float("inf")
