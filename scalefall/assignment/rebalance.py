"""Moves that improve a placement in which every shard has its holders.

Theory of operation
-------------------
Three steps are repeated until none of them finds a move, so that a second run finds none:

spread   moves one of two holders in the same zone to a zone of the region that has none of the shard's holders;
offload  moves shards off a node above the cap: to the least loaded node of its region that stays within the cap, else
         of another region, else to any node whose load ends up below the source's load before the move;
fill     moves shards to a node below the floor, such as a new one, from the most loaded nodes of its region, else of
         another; the source does not fall below the floor, nor the target rise above the cap.

The steps terminate: each move either spreads the holders of a shard over more zones, or preserves that spread and
lowers the larger of the two nodes' loads. The shard to move is the smallest that suffices, else the largest.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from scalefall.assignment.working_table import WorkingTable


def rebalance(table: WorkingTable) -> None:
    """Bring the nodes' loads between floor and cap, as far as moves of shards can."""
    replicated = sorted(shard for shard, holders in table.holders.items() if len(holders) > 1)
    while _spread(table, replicated) + _offload(table) + _fill(table):
        pass


def _spread(table: WorkingTable, shards: list[int]) -> int:
    """Spread these shards over zones; return the number of moves."""
    moves = 0
    for shard in shards:
        while _spread_one(table, shard):
            moves += 1
    return moves


def _spread_one(table: WorkingTable, shard: int) -> bool:
    """Move one holder from a zone with several to a node with spare capacity in a zone of the region without any."""
    loads, counts = table.loads, table.holders_by_zone(shard)
    crowded = [node for node in table.holders[shard] if counts[loads.zone[node]] > 1]
    if not crowded:
        return False
    empty_zones = [zone for zone in loads.tiers(table.region_of(shard))[0] if not counts[zone]]
    max_present_load = table.cap - table.holder_load[shard]
    targets = [node for node in loads.least_loaded_of_each(empty_zones) if loads.load[node] <= max_present_load]
    if not targets:
        return False
    source = max(crowded, key=lambda node: (counts[loads.zone[node]], loads.load[node], node))
    table.move(shard, source, min(targets, key=lambda node: (loads.load[node], node)))
    return True


def _offload(table: WorkingTable) -> int:
    """Move shards off the nodes above the cap, the most loaded first; return the number of moves."""
    load = table.loads.load
    overloaded = [(-load[node], node) for node in range(len(load)) if load[node] > table.cap]
    heapify(overloaded)
    moves = 0
    while overloaded:
        negative_load, source = heappop(overloaded)
        if -negative_load != load[source]:
            continue  # a stale entry: the node has received a shard, and has a newer entry
        while load[source] > table.cap:
            target = _offload_one(table, source)
            if target is None:
                break
            moves += 1
            if load[target] > table.cap:
                heappush(overloaded, (-load[target], target))
    return moves


def _offload_one(table: WorkingTable, source: int) -> int | None:
    """Move one shard off an overloaded node; return its new node, None if none can take a shard."""
    load, excess = table.loads.load, table.loads.load[source] - table.cap
    targets = list(_targets(table, source))
    for target in targets:
        shard = table.pick_shard(source, target, excess, table.cap - load[target])
        if shard is not None:
            table.move(shard, source, target)
            return target
    for target in targets:
        shard = table.pick_shard(source, target, excess, load[source] - load[target] - 1)
        if shard is not None:
            table.move(shard, source, target)
            return target
    return None


def _targets(table: WorkingTable, source: int) -> Iterator[int]:
    """Yield the least loaded node of each zone in ascending order of load, the source's region first."""
    loads = table.loads
    for zones in loads.tiers(loads.region[source]):
        yield from sorted(loads.least_loaded_of_each(zones, (source,)), key=lambda node: (loads.load[node], node))


class _Donors:
    """The nodes of each region from which shards move to underloaded nodes, the most loaded first."""

    def __init__(self, table: WorkingTable) -> None:
        self._table = table
        self._heaps: dict[str, list[tuple[int, int]]] = {region: [] for region in table.loads.regions()}
        for node, load in enumerate(table.loads.load):
            self._heaps[table.loads.region[node]].append((-load, node))
        for heap in self._heaps.values():
            heapify(heap)

    def move_one_to(self, target: int) -> bool:
        """Move one shard to the target from the most loaded node that can spare one, first of its own region."""
        loads = self._table.loads
        own = loads.region[target]
        regions = [own, *(region for region in self._heaps if region != own)]
        return any(self._move_one(self._heaps[region], target) for region in regions)

    def _move_one(self, heap: list[tuple[int, int]], target: int) -> bool:
        table, load = self._table, self._table.loads.load
        set_aside = []
        found = False
        while heap and not found:
            negative_load, source = heappop(heap)
            if -negative_load != load[source]:
                heappush(heap, (-load[source], source))  # replaces a stale entry
                continue
            set_aside.append(source)
            if load[source] <= max(table.floor, load[target]):
                break
            found = _fill_one(table, source, target)
        for source in set_aside:
            heappush(heap, (-load[source], source))
        return found


def _fill(table: WorkingTable) -> int:
    """Move shards to the nodes below the floor, the least loaded first; return the number of moves.

    It ends at the first node for which no shard is found.
    """
    load = table.loads.load
    underloaded = [(load[node], node) for node in range(len(load)) if load[node] < table.floor]
    if not underloaded:
        return 0
    heapify(underloaded)
    donors = _Donors(table)
    moves = 0
    while underloaded:
        _, target = underloaded[0]
        if not donors.move_one_to(target):
            break
        moves += 1
        heappop(underloaded)
        if load[target] < table.floor:
            heappush(underloaded, (load[target], target))
    return moves


def _fill_one(table: WorkingTable, source: int, target: int) -> bool:
    """Move one shard from the source to the target if both stay within floor and cap; return whether one moved."""
    load = table.loads.load
    max_load = min(load[source] - table.floor, table.cap - load[target], load[source] - load[target] - 1)
    shard = table.pick_shard(source, target, table.floor - load[target], max_load)
    if shard is None:
        return False
    table.move(shard, source, target)
    return True
