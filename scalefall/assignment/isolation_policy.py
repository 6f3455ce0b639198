"""Which destinations should have a shard of their own, and which go back to their shared shard. Pure.

A shard is moved and balanced whole, so a destination that is a large part of what a node carries must not be in one
with others: it could be neither balanced nor, by replicas, spread without them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from scalefall.assignment.sharding import MAX_SHARDS, Sharding
from scalefall.errors import AssignmentError

ISOLATION_THRESHOLD = (
    0.25  # of a node's mean load: what placement's bound of 1.25 leaves above the mean, so one more shard still fits
)
MERGE_THRESHOLD = ISOLATION_THRESHOLD / 2  # well below, so that noise in a load does not isolate and merge in turn
MERGE_AFTER_DECISIONS = 30  # calls in a row below MERGE: five minutes where loads are measured every 10 s


@dataclass(slots=True, frozen=True)
class LowLoadStreaks:
    """For how many calls in a row each isolated destination was below MERGE; handed back in with the next call."""

    calls: Mapping[int, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class IsolationChange:
    """Destinations to isolate, the heaviest first, and to merge, ascending; and the counts for the next call."""

    isolate: tuple[int, ...]
    merge: tuple[int, ...]
    low_load_streaks: LowLoadStreaks

    def apply(self, sharding: Sharding) -> Sharding:
        """The sharding after the change. Isolates first: no number changes its destination within one change."""
        for destination in self.isolate:
            sharding = sharding.isolate(destination)
        for destination in self.merge:
            sharding = sharding.merge(destination)
        return sharding


def decide(
    loads: Mapping[int, float], sharding: Sharding, node_load: float, low_load_streaks: LowLoadStreaks
) -> IsolationChange:
    """What to isolate and merge, by the loads measured by destination and the mean load of a node (one unit for both).

    A destination that is not measured has no load. At most nodes / ISOLATE destinations can be above the limit at once;
    beyond the budget of shards the heaviest are taken. While no node has a load nothing is decided. Raises
    AssignmentError for a load that is no number of 0 or more.
    """
    for destination, load in loads.items():
        if not 0 <= load < inf:
            raise AssignmentError(
                f"destination {destination} has a load of {load}: a load is a finite number, 0 or more"
            )
    if not 0 <= node_load < inf:
        raise AssignmentError(f"the mean load of a node is {node_load}: it is a finite number, 0 or more")
    if node_load == 0:
        return IsolationChange((), (), low_load_streaks)
    isolated = sharding.isolated
    heavy = [key for key, load in loads.items() if load > ISOLATION_THRESHOLD * node_load and key not in isolated]
    heavy.sort(key=lambda destination: (-loads[destination], destination))
    calls = {
        destination: low_load_streaks.calls.get(destination, 0) + 1
        for destination in sorted(isolated)
        if loads.get(destination, 0) < MERGE_THRESHOLD * node_load
    }
    merge = tuple(destination for destination, count in calls.items() if count >= MERGE_AFTER_DECISIONS)
    for destination in merge:
        del calls[destination]
    free_shards = MAX_SHARDS - sharding.count - len(isolated)
    return IsolationChange(tuple(heavy[:free_shards]), merge, LowLoadStreaks(calls))
