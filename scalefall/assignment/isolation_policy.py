"""Which destinations should have a shard of their own, and which go back to their shared shard. No I/O, no clock.

A shard is moved and balanced as one, so a destination that is a large part of what a node carries must not be in one
with others: it could be neither balanced nor, by replicas, spread without them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

from scalefall.assignment.sharding import MAX_SHARDS, Sharding
from scalefall.errors import AssignmentError

# Of a node's mean load: what placement's bound of 1.25 leaves above the mean, so one more shard still fits.
ISOLATION_THRESHOLD = 0.25
MERGE_THRESHOLD = ISOLATION_THRESHOLD / 2  # well below, so that noise in a load does not isolate and merge in turn
MERGE_AFTER_DECISIONS = 30  # in a row below MERGE_THRESHOLD: a quarter of an hour where one is made every 30 s


@dataclass(slots=True, frozen=True)
class LowLoadStreaks:
    """For how many decisions in a row each isolated destination was below MERGE_THRESHOLD.

    It goes back in with the next decision, as `decide` itself remembers nothing.
    """

    decisions: Mapping[int, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class IsolationChange:
    """Which destinations to isolate and merge.

    Attributes:
        isolate: Destinations to isolate, the heaviest first.
        merge: Destinations to merge, ascending.
        low_load_streaks: For the next decision.
    """

    isolate: tuple[int, ...]
    merge: tuple[int, ...]
    low_load_streaks: LowLoadStreaks = field(default_factory=LowLoadStreaks)

    def apply(self, sharding: Sharding) -> Sharding:
        """Return the sharding after the change.

        Isolates first, so that no shard number changes its destination within one change.
        """
        for destination in self.isolate:
            sharding = sharding.isolate(destination)
        for destination in self.merge:
            sharding = sharding.merge(destination)
        return sharding


def decide(
    loads: Mapping[int, float], sharding: Sharding, node_load: float, low_load_streaks: LowLoadStreaks
) -> IsolationChange:
    """Decide what to isolate and merge.

    At most nodes / ISOLATION_THRESHOLD destinations can be above the threshold at once; beyond MAX_SHARDS only the
    heaviest are isolated. While no node has a load nothing is decided.

    Args:
        loads: Measured loads by destination; one that is not measured has no load.
        sharding: Which destinations are isolated now.
        node_load: The mean load of a node, in the unit of the loads.
        low_load_streaks: Of the decision before.

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
