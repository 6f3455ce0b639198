"""The mapping of destinations to shards: a fixed hash, and isolated destinations."""

import subprocess
import sys

import pytest

from scalefall.assignment.sharding import MAX_SHARDS, Sharding, splitmix64
from scalefall.errors import AssignmentError


def test_the_hash_is_fixed_and_does_not_depend_on_the_process():
    """Guards against a changed hash, which would move every destination of a running fleet."""
    assert splitmix64(0) == 0xE220A8397B1DCDAF
    assert splitmix64(0x9E3779B97F4A7C15) == 0x6E789E6AA1B965F4
    here = [Sharding(14_400).shard_of(number) for number in (0, 1, 2, 419_999, 10**9)]
    assert here == [12719, 8158, 8513, 12471, 4654]
    program = "from scalefall.assignment.sharding import Sharding; print(Sharding(14_400).shard_of(419_999))"
    for seed in ("1", "2"):
        completed = subprocess.run([sys.executable, "-c", program], env={"PYTHONHASHSEED": seed}, capture_output=True)
        assert int(completed.stdout) == here[3]


@pytest.mark.parametrize("count", [1, 1_000, 1_024])
def test_destinations_spread_evenly(count):
    """The bounds are five standard deviations of a uniform random distribution."""
    sharding, counts = Sharding(count), [0] * count
    for destination in range(100 * count):
        counts[sharding.shard_of(destination)] += 1
    assert min(counts) >= 50
    assert max(counts) <= 150


def test_isolation_uses_the_lowest_free_number_and_merging_undoes_it():
    """Guards against numbers that grow without bound, and against a sharding that is modified in place."""
    before = Sharding(8)
    both = before.isolate(5).isolate(7)
    assert (both.shard_of(5), both.shard_of(7)) == (8, 9)
    assert list(both.shards()) == list(range(10))
    assert dict(both.isolated) == {5: 8, 7: 9}
    merged = both.merge(5)
    assert merged.shard_of(5) == before.shard_of(5)
    assert list(merged.shards()) == [*range(8), 9]
    assert merged.isolate(6).shard_of(6) == 8
    assert merged.merge(7) == before
    assert dict(before.isolated) == {}  # not modified in place


@pytest.mark.parametrize(
    ("make", "text"),
    [
        (lambda: Sharding(0), "a sharding needs at least one shard, not 0"),
        (lambda: Sharding(MAX_SHARDS + 1), "more shards than the maximum"),
        (lambda: Sharding(MAX_SHARDS).isolate(1), "more shards than the maximum"),
        (lambda: Sharding(8).isolate(5).isolate(5), "destination 5 already has a shard of its own"),
        (lambda: Sharding(8).merge(5), "destination 5 has no shard of its own"),
        (lambda: Sharding(8, {5: 7}), "shard 7 of destination 5 is outside 8"),
        (lambda: Sharding(8, {5: 9, 6: 9}), "shard 9 is given to destinations 5 and 6"),
        (lambda: Sharding(8).isolate(-1), "destination -1 is outside"),
    ],
)
def test_an_invalid_sharding_is_rejected_with_a_one_line_error(make, text):
    """Guards against shards beyond the maximum, and against two destinations with one shard of their own."""
    with pytest.raises(AssignmentError, match=text) as caught:
        make()
    assert "\n" not in str(caught.value)
