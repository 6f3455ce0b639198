"""The placement of shards on nodes.

Theory of operation
-------------------
`place` is a pure function from the present table, the measured loads and the nodes to the next table. It is
deterministic, independent of the order in which nodes are listed, and idempotent: placing its result again changes
nothing. In placement, a holder is a node that holds a shard, not a process as in the ledger.

1. A holder that is still a node stays. A shard whose load exceeds `PlacementLimits.replica_load` gets more holders at
   once; holders are removed only when three quarters of them would suffice, so that noise in a load does not add and
   remove them alternately.
2. Shards that lack a holder are placed, the heaviest first, on the least loaded node with spare capacity, in the region
   of the shard's other holders or of its lost one; in another region only if that region has no (or too few) nodes.
   The holders of one shard are different nodes, and in different zones where a node with spare capacity permits.
3. Shards move off nodes above `bound` times the mean load, and onto nodes below the mean divided by `bound`, such as
   new ones (`rebalance`). Nothing else moves. Balance has priority over region: if all nodes of a region are above the
   bound, the excess moves to another region.

A shard without a measured load counts as a sixteenth of the mean shard, so that idle shards are spread by number.
The cost is one pass over the table, and a few heap operations for each shard that moves.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, fsum, inf

from scalefall.assignment.model import Node
from scalefall.assignment.node_loads import NodeLoads
from scalefall.assignment.rebalance import rebalance
from scalefall.assignment.working_table import WorkingTable
from scalefall.errors import AssignmentError

Table = dict[int, tuple[str, ...]]  # names of the nodes that hold each shard, in order

WEIGHT_UNIT = 2**40  # the weight of the heaviest shard; integers have exact sums, and this size keeps small differences
IDLE_FRACTION = 1 / 16  # the weight of a shard without a measured load, as a fraction of the mean shard's
SHRINK_FRACTION = 0.75  # holders are removed when this fraction suffices; repeated measurements differ by less


@dataclass(slots=True, frozen=True)
class PlacementLimits:
    """The limits on the load of a node and of a replica.

    Attributes:
        bound: The most that a node may carry, as a multiple of the mean; 1 or more.
        replica_load: The most that one holder of a shard should carry, in the unit of the measured loads: a shard has
            ceil(load / replica_load) holders. 0: every shard has one.

    Raises:
        AssignmentError: A limit is outside its range.
    """

    bound: float = 1.25
    replica_load: float = 0

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 1 <= self.bound < inf:
            raise AssignmentError(
                f"the bound of a node's load over the mean has to be finite and at least 1, not {self.bound}"
            )
        if not 0 <= self.replica_load < inf:
            raise AssignmentError(f"the load of one replica has to be finite and 0 or more, not {self.replica_load}")


@dataclass(slots=True, frozen=True)
class Plan:
    """The next table, and how it differs from the present one.

    Attributes:
        table: The nodes that hold each shard.
        moved: Shards whose set of nodes changed, including removed shards, which are not in the table.
        forced: Moved shards that could not stay: new, removed, with a lost holder, or with another number of holders.
        load_ratio: The load of the most loaded node divided by the mean, 0 without nodes.
    """

    table: Table
    moved: frozenset[int]
    forced: frozenset[int] = frozenset()
    load_ratio: float = 0.0


def place(
    table: Table,
    loads: Mapping[int, float],
    nodes: Sequence[Node],
    limits: PlacementLimits,
    shards: Iterable[int],
    may_move: bool = True,
    former_nodes: Iterable[Node] = (),
) -> Plan:
    """Return the next table for these shards on these nodes.

    Args:
        table: The present table. A holder that is not among the nodes counts as lost.
        loads: Measured loads by shard, above 0 and in any one unit; shards without a load are omitted.
        nodes: The nodes that may hold shards.
        limits: The limits on the load of a node and of a replica.
        shards: All shards of the next table.
        may_move: Whether shards that have their holders may move for balance.
        former_nodes: Lost nodes, for their regions; shards of a lost node that is not listed may go to any region.

    Raises:
        AssignmentError: A node is named twice, or a load is not a finite number above 0.
    """
    _check_loads(loads)
    node_loads = NodeLoads(nodes)
    if not nodes:
        return _empty_plan(table)
    shard_numbers = sorted(set(shards))
    weights = _weights(loads, shard_numbers)
    mean = sum(weights.values()) / len(nodes)
    working = WorkingTable(node_loads, cap=int(mean * limits.bound), floor=ceil(mean / limits.bound))
    holder_counts = _holder_counts(table, loads, limits, shard_numbers, node_loads)
    if not may_move:
        _retain_all_survivors(holder_counts, table, node_loads)
    lacking = _retain_holders(working, table, weights, holder_counts)
    node_loads.build_heaps()
    _place_lacking(working, table, lacking, holder_counts, {node.name: node.region for node in former_nodes})
    if may_move:
        rebalance(working)
    return _plan(working, table, holder_counts, mean)


def _empty_plan(table: Table) -> Plan:
    """Return the plan for a fleet without nodes: no shard has a holder."""
    removed = frozenset(shard for shard, names in table.items() if names)
    return Plan({}, removed, removed)


def _check_loads(loads: Mapping[int, float]) -> None:
    for shard, load in loads.items():
        if not 0 < load < inf:
            raise AssignmentError(f"shard {shard} has a load of {load}: a load is a finite number above 0")


def _weights(loads: Mapping[int, float], shards: Sequence[int]) -> dict[int, int]:
    """Return each shard's load as an integer weight, scaled so that the heaviest is WEIGHT_UNIT."""
    measured = [load for shard in shards if (load := loads.get(shard)) is not None]
    if not measured:
        return dict.fromkeys(shards, WEIGHT_UNIT)
    scale = max(measured)
    idle = max(1, int(fsum(load / scale for load in measured) / len(shards) * IDLE_FRACTION * WEIGHT_UNIT))
    weights = {}
    for shard in shards:
        load = loads.get(shard)
        weights[shard] = idle if load is None else max(1, int(load / scale * WEIGHT_UNIT))
    return weights


def _holder_counts(
    table: Table, loads: Mapping[int, float], limits: PlacementLimits, shards: Sequence[int], node_loads: NodeLoads
) -> dict[int, int]:
    """Return the number of holders that each shard should have."""
    node_count = len(node_loads.names)
    return {shard: _holder_count(loads.get(shard), len(table.get(shard, ())), limits, node_count) for shard in shards}


def _holder_count(load: float | None, present: int, limits: PlacementLimits, node_count: int) -> int:
    """Return the number of holders that a shard should have."""
    if limits.replica_load == 0:
        return 1
    if load is None:
        return min(max(present, 1), node_count)  # a missing measurement does not remove holders
    needed = max(1, ceil(min(load / limits.replica_load, node_count)))
    if present > needed > present * SHRINK_FRACTION:
        return min(present, node_count)
    return needed


def _retain_all_survivors(holder_counts: dict[int, int], table: Table, loads: NodeLoads) -> None:
    """Raise each shard's count to the number of its holders that are still nodes, so that none is removed."""
    for shard, count in holder_counts.items():
        holder_counts[shard] = max(count, _surviving_holders(table, shard, loads))


def _surviving_holders(table: Table, shard: int, loads: NodeLoads) -> int:
    """Return the number of a shard's holders that are still nodes."""
    return len({name for name in table.get(shard, ()) if name in loads.numbers})


def _retain_holders(
    working: WorkingTable, table: Table, weights: dict[int, int], holder_counts: dict[int, int]
) -> list[int]:
    """Add the holders that stay to the working table; return the shards that lack holders."""
    numbers = working.loads.numbers
    lacking = []
    for shard, weight in weights.items():
        count = holder_counts[shard]
        surviving = [numbers[name] for name in dict.fromkeys(table.get(shard, ())) if name in numbers]
        if len(surviving) > count:
            surviving = _reduce_holders(working.loads, surviving, count)
        working.add_existing(shard, max(1, weight // count), surviving)
        if len(surviving) < count:
            lacking.append(shard)
    return lacking


def _reduce_holders(loads: NodeLoads, holders: list[int], count: int) -> list[int]:
    """Return the holders that stay when there are too many.

    The last holder in the zone with the most holders is removed first.
    """
    remaining = list(holders)
    zones = Counter(loads.zone[node] for node in remaining)
    while len(remaining) > count:
        last = max(range(len(remaining)), key=lambda position: (zones[loads.zone[remaining[position]]], position))
        zones[loads.zone[remaining.pop(last)]] -= 1
    return remaining


def _place_lacking(
    working: WorkingTable,
    table: Table,
    lacking: list[int],
    holder_counts: dict[int, int],
    former_regions: Mapping[str, str],
) -> None:
    """Add the missing holders of each shard, the heaviest shard first."""
    lacking.sort(key=lambda shard: (-working.holder_load[shard], shard))
    for shard in lacking:
        region = working.region_of(shard)
        if region is None:
            region = next((former_regions[name] for name in table.get(shard, ()) if name in former_regions), None)
        tiers = working.loads.tiers(region)
        zones = working.holders_by_zone(shard)
        while len(working.holders[shard]) < holder_counts[shard]:
            node = _choose(working, shard, tiers, zones)
            working.add_holder(shard, node)
            zones[working.loads.zone[node]] += 1


def _choose(working: WorkingTable, shard: int, tiers: list[list[int]], zones: Mapping[int, int]) -> int:
    """Return the node for one more holder of a shard.

    It is in the first tier that has a node left: a node with spare capacity in the zone with the fewest holders of the
    shard, or the least loaded node if none has spare capacity.
    """
    loads, max_present_load = working.loads, working.cap - working.holder_load[shard]
    holders = set(working.holders[shard])
    for tier in tiers:
        found = loads.least_loaded_of_each(tier, holders)
        with_capacity = [node for node in found if loads.load[node] <= max_present_load]
        if with_capacity:
            return min(with_capacity, key=lambda node: (zones[loads.zone[node]], loads.load[node], node))
        if found:
            return min(found, key=lambda node: (loads.load[node], node))
    raise AssertionError("a shard never has more holders than there are nodes")


def _plan(working: WorkingTable, before: Table, holder_counts: dict[int, int], mean: float) -> Plan:
    """Return the working table by node names, compared with the previous table."""
    names = working.loads.names
    after = {shard: tuple([names[node] for node in holders]) for shard, holders in working.holders.items()}
    moved, forced = set(), set()
    for shard, holders in after.items():
        old = before.get(shard, ())
        if old == holders or set(old) == set(holders):
            continue
        moved.add(shard)
        if len(old) != holder_counts[shard] or any(name not in working.loads.numbers for name in old):
            forced.add(shard)
    removed = {shard for shard, holders in before.items() if holders and shard not in after}
    ratio = max(working.loads.load) / mean if mean else 0.0
    return Plan(after, frozenset(moved | removed), frozenset(forced | removed), ratio)
