"""The policy that isolates and merges destinations."""

from math import inf, nan

import pytest

from scalefall.assignment.isolation_policy import MERGE_AFTER_DECISIONS, LowLoadStreaks, decide
from scalefall.assignment.sharding import MAX_SHARDS, Sharding
from scalefall.errors import AssignmentError


def test_heavy_destinations_are_isolated_the_heaviest_first():
    """The threshold is exclusive, and a destination that is isolated already is not listed again."""
    change = decide({1: 25.0, 2: 25.1, 3: 9_000.0, 4: 26.0}, Sharding(8).isolate(4), 100.0, LowLoadStreaks())
    assert change.isolate == (3, 2)
    assert change.merge == ()
    assert dict(change.apply(Sharding(8).isolate(4)).isolated) == {4: 8, 3: 9, 2: 10}


def test_a_destination_is_merged_after_an_unbroken_streak_of_low_load():
    """Guards against merging on interrupted low load: a decision at or above the threshold resets the streak."""
    sharding, low_load_streaks = Sharding(8).isolate(4).isolate(5), LowLoadStreaks()
    for _ in range(MERGE_AFTER_DECISIONS - 1):
        change = decide({5: 13.0}, sharding, 100.0, low_load_streaks)  # 5 is above MERGE_THRESHOLD, 4 has no load
        low_load_streaks = change.low_load_streaks
        assert change.merge == ()
    assert decide({4: 12.6}, sharding, 100.0, low_load_streaks).low_load_streaks.decisions == {5: 1}
    change = decide({4: 12.4, 5: 13.0}, sharding, 100.0, low_load_streaks)
    assert change.merge == (4,)
    assert change.low_load_streaks.decisions == {}
    assert dict(change.apply(sharding).isolated) == {5: 9}


def test_a_shard_number_is_not_reused_within_one_change():
    """Guards against two destinations of one shard number: isolation comes before merging, which frees the number."""
    sharding = Sharding(8).isolate(4)
    change = decide({6: 50.0}, sharding, 100.0, LowLoadStreaks({4: MERGE_AFTER_DECISIONS}))
    assert dict(change.apply(sharding).isolated) == {6: 9}


def test_the_heaviest_destination_gets_the_last_free_shard_and_no_traffic_changes_nothing():
    """Guards against more than MAX_SHARDS shards, and against merging all destinations when loads are missing."""
    sharding = Sharding(MAX_SHARDS - 1)
    assert decide({1: 50.0, 2: 60.0}, sharding, 100.0, LowLoadStreaks()).isolate == (2,)
    low_load_streaks = LowLoadStreaks({4: MERGE_AFTER_DECISIONS})
    change = decide({}, Sharding(8).isolate(4), 0, low_load_streaks)
    assert (change.isolate, change.merge, change.low_load_streaks) == ((), (), low_load_streaks)


@pytest.mark.parametrize("load", [nan, inf, -1.0])
def test_loads_that_are_negative_or_not_finite_are_rejected(load):
    """The check covers the loads of destinations and the mean load of a node."""
    with pytest.raises(AssignmentError, match=r"^destination 7 has a load of"):
        decide({7: load}, Sharding(8), 100.0, LowLoadStreaks())
    with pytest.raises(AssignmentError, match=r"^the mean load of a node is"):
        decide({}, Sharding(8), load, LowLoadStreaks())
