"""The table during the computation of a placement: the holders of each shard, and exact loads of nodes."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter

from scalefall.assignment.node_loads import NodeLoads


class WorkingTable:
    """Shards on nodes, both by number, and the moves that change the table.

    Attributes:
        loads: The nodes' loads, kept in step with the table.
        cap: The most that a node should carry.
        floor: The least that a node should carry.
        holders: The nodes that hold each shard, in order.
        holder_load: The load of each holder of a shard, equal for all its holders.
    """

    def __init__(self, loads: NodeLoads, cap: int, floor: int) -> None:
        """Start with no shard on any node."""
        self.loads, self.cap, self.floor = loads, cap, floor
        self.holders: dict[int, list[int]] = {}
        self.holder_load: dict[int, int] = {}
        self._shards_on: list[list[tuple[int, int]]] = [[] for _ in loads.names]  # (holder load, shard), by node
        self._is_sorted = [False] * len(loads.names)  # by node; sorted at the first read, as many are never read

    def add_existing(self, shard: int, holder_load: int, holders: list[int]) -> None:
        """Add a shard with the holders that stay; only before `loads.build_heaps`."""
        self.holders[shard], self.holder_load[shard] = holders, holder_load
        for node in holders:
            self.loads.load[node] += holder_load
            self._shards_on[node].append((holder_load, shard))

    def add_holder(self, shard: int, node: int) -> None:
        """Add a holder to a shard."""
        holder_load = self.holder_load[shard]
        self.holders[shard].append(node)
        self._enter(node, holder_load, shard)

    def move(self, shard: int, source: int, target: int) -> None:
        """Replace one holder of a shard by another node."""
        holders, holder_load = self.holders[shard], self.holder_load[shard]
        holders[holders.index(source)] = target
        source_shards = self.shards_on(source)
        del source_shards[bisect_left(source_shards, (holder_load, shard))]
        self.loads.add_load(source, -holder_load)
        self._enter(target, holder_load, shard)

    def _enter(self, node: int, holder_load: int, shard: int) -> None:
        if self._is_sorted[node]:
            insort(self._shards_on[node], (holder_load, shard))
        else:
            self._shards_on[node].append((holder_load, shard))
        self.loads.add_load(node, holder_load)

    def shards_on(self, node: int) -> list[tuple[int, int]]:
        """Return (holder load, shard) of the shards that a node holds, ascending."""
        if not self._is_sorted[node]:
            self._shards_on[node].sort()
            self._is_sorted[node] = True
        return self._shards_on[node]

    def holders_by_zone(self, shard: int) -> Counter[int]:
        """Return the number of a shard's holders in each zone."""
        return Counter(self.loads.zone[node] for node in self.holders[shard])

    def region_of(self, shard: int) -> str | None:
        """Return the region of a shard's first holder, None without one."""
        holders = self.holders[shard]
        return self.loads.region[holders[0]] if holders else None

    def may_move(self, shard: int, source: int, target: int) -> bool:
        """Return whether a move leaves the holders on different nodes, spread over zones no less evenly than before."""
        holders = self.holders[shard]
        if len(holders) == 1:
            return True
        if target in holders:
            return False
        zone, counts = self.loads.zone, self.holders_by_zone(shard)
        return zone[source] == zone[target] or counts[zone[target]] <= counts[zone[source]] - 1

    def pick_shard(self, source: int, target: int, wanted_load: int, max_load: int) -> int | None:
        """Return the shard to move from source to target, None if there is none.

        It is the smallest shard with at least the wanted load, else the largest, and never above the maximum.
        """
        if max_load < 1:
            return None
        candidates = self.shards_on(source)
        enough, end = bisect_left(candidates, (wanted_load, -1)), bisect_left(candidates, (max_load + 1, -1))
        for _, shard in candidates[enough:end]:
            if self.may_move(shard, source, target):
                return shard
        for _, shard in reversed(candidates[: min(enough, end)]):
            if self.may_move(shard, source, target):
                return shard
        return None
