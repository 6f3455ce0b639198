"""Traffic over destinations: Zipf weights, the rate, and clumps."""

import itertools
import random
from collections import Counter

import pytest

from scalefall.lab.hollow.traffic import SECOND, AliasTable, bursty, distinct, independent, zipf_weights

DRAWS = 40_000


@pytest.mark.parametrize("exponent", [0, 0.8, 1.1])
def test_the_sampler_draws_each_destination_by_its_weight(exponent):
    weights, random_ = zipf_weights(50, exponent), random.Random(3)
    found = Counter(AliasTable(weights).draw(random_) for _ in range(DRAWS))
    assert set(found) <= set(range(50))
    for index, weight in enumerate(weights):
        expected = DRAWS * weight / sum(weights)
        assert abs(found[index] - expected) < 5 * expected**0.5


def span_and_count(traffic, count):
    rows = list(itertools.islice(traffic, count))
    return sum(gap for gap, _ in rows), [destination for _, destination in rows]


def test_both_kinds_of_traffic_keep_the_rate_and_clumps_repeat_destinations():
    table = AliasTable(zipf_weights(1000, 0))
    span, even = span_and_count(independent(table, 100, random.Random(1)), 10_000)
    assert abs(span / SECOND - 100) < 5
    span, clumps = span_and_count(bursty(table, 100, random.Random(1), 20, SECOND), 10_000)
    assert abs(span / SECOND - 100) < 10
    within = [sum(len(set(row[at : at + 100])) for at in range(0, 10_000, 100)) for row in (even, clumps)]
    assert within[1] < within[0] / 2


def test_distinct_counts_the_destinations_used_in_the_span():
    assert distinct(iter([(0, 1), (5, 2), (5, 1), (10, 3)]), 20) == 2
