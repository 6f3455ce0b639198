"""The policy that isolates heavy destinations and merges light ones back into their shared shard. No I/O, no clock.

A shard moves as a unit. A destination that makes up a large part of a node's load must therefore not share a shard:
it could not be balanced, nor spread over replicas, without the others in the shard.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from scalefall.assignment.sharding import MAX_SHARDS, Sharding
from scalefall.errors import AssignmentError

# Fractions of a node's mean load. Placement's bound of 1.25 leaves ISOLATION_THRESHOLD above the mean, so a shard below
# it still fits on a node at the mean; MERGE_THRESHOLD is well below, so that noise does not alternate the two changes.
ISOLATION_THRESHOLD = 0.25
MERGE_THRESHOLD = ISOLATION_THRESHOLD / 2
MERGE_AFTER_DECISIONS = 30  # consecutive decisions below MERGE_THRESHOLD: 15 minutes at one decision every 30 s


@dataclass(slots=True, frozen=True)
class LowLoadStreaks:
    """The number of consecutive decisions for which each isolated destination was below MERGE_THRESHOLD.

    `decide` is stateless: the caller passes the streaks of one decision to the next.
    """

    decisions: Mapping[int, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class IsolationChange:
    """The destinations to isolate and merge.

    Attributes:
        isolate: Destinations to isolate, the heaviest first.
        merge: Destinations to merge, ascending.
        low_load_streaks: The streaks to pass to the next decision.
    """

    isolate: tuple[int, ...]
    merge: tuple[int, ...]
    low_load_streaks: LowLoadStreaks = field(default_factory=LowLoadStreaks)

    def apply(self, sharding: Sharding) -> Sharding:
        """Return the sharding after the change.

        Isolation comes first, so that a shard number that a merge frees is not reused within the same change.
        """
        for destination in self.isolate:
            sharding = sharding.isolate(destination)
        for destination in self.merge:
            sharding = sharding.merge(destination)
        return sharding


def decide(
    loads: Mapping[int, float], sharding: Sharding, node_load: float, low_load_streaks: LowLoadStreaks
) -> IsolationChange:
    """Return the destinations to isolate and merge.

    At most nodes / ISOLATION_THRESHOLD destinations can be above the threshold at once; if MAX_SHARDS is too low for
    them, only the heaviest are isolated. Without any load there is no change.

    Args:
        loads: Measured loads by destination; a destination that is not listed has no load.
        sharding: The present sharding.
        node_load: The mean load of a node, in the unit of the loads.
        low_load_streaks: The streaks that the previous decision returned.

    Raises:
        AssignmentError: A load is not a finite number of 0 or more.
    """
    _check_loads(loads, node_load)
    if node_load == 0:
        return IsolationChange((), (), low_load_streaks)
    isolated = sharding.isolated
    heavy = [key for key, load in loads.items() if load > ISOLATION_THRESHOLD * node_load and key not in isolated]
    heavy.sort(key=lambda destination: (-loads[destination], destination))
    streaks = {
        destination: low_load_streaks.decisions.get(destination, 0) + 1
        for destination in sorted(isolated)
        if loads.get(destination, 0) < MERGE_THRESHOLD * node_load
    }
    merge = tuple(destination for destination, length in streaks.items() if length >= MERGE_AFTER_DECISIONS)
    for destination in merge:
        del streaks[destination]
    free_shards = MAX_SHARDS - sharding.count - len(isolated)
    return IsolationChange(tuple(heavy[:free_shards]), merge, LowLoadStreaks(streaks))


def _check_loads(loads: Mapping[int, float], node_load: float) -> None:
    for destination, load in loads.items():
        if not 0 <= load < inf:
            raise AssignmentError(
                f"destination {destination} has a load of {load}: a load is a finite number, 0 or more"
            )
    if not 0 <= node_load < inf:
        raise AssignmentError(f"the mean load of a node is {node_load}: it is a finite number, 0 or more")
