"""The table while a placement is worked out: who holds which shard, at what load, with exact sums for each node."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter

from scalefall.assignment.node_loads import NodeLoads


class WorkingTable:
    """Shards on nodes (both numbers). Each holder of a shard carries the same part of its load, `part[shard]`."""

    def __init__(self, loads: NodeLoads, cap: int, floor: int) -> None:
        """cap and floor: the most and the least that a node should carry."""
        self.loads, self.cap, self.floor = loads, cap, floor
        self.holders: dict[int, list[int]] = {}
        self.holder_load: dict[int, int] = {}
        self._shards_on: list[list[tuple[int, int]]] = [[] for _ in loads.names]  # (part, shard) of each node
        self._is_sorted = [False] * len(loads.names)

    def add_existing(self, shard: int, holder_load: int, holders: list[int]) -> None:
        """What stays where it is: to be told before `loads.start()`."""
        self.holders[shard], self.holder_load[shard] = holders, holder_load
        for node in holders:
            self.loads.load[node] += holder_load
            self._shards_on[node].append((holder_load, shard))

    def add_holder(self, shard: int, node: int) -> None:
        """One more holder."""
        holder_load = self.holder_load[shard]
        self.holders[shard].append(node)
        self._enter(node, holder_load, shard)

    def move(self, shard: int, source: int, target: int) -> None:
        """Another holder in the place of one."""
        holders, holder_load = self.holders[shard], self.holder_load[shard]
        holders[holders.index(source)] = target
        shards_on = self.shards_on(source)
        del shards_on[bisect_left(shards_on, (holder_load, shard))]
        self.loads.change(source, -holder_load)
        self._enter(target, holder_load, shard)

    def _enter(self, node: int, holder_load: int, shard: int) -> None:
        if self._is_sorted[node]:
            insort(self._shards_on[node], (holder_load, shard))
        else:
            self._shards_on[node].append((holder_load, shard))
        self.loads.change(node, holder_load)

    def shards_on(self, node: int) -> list[tuple[int, int]]:
        """(part, shard) of what a node holds, ascending."""
        if not self._is_sorted[node]:
            self._shards_on[node].sort()
            self._is_sorted[node] = True
        return self._shards_on[node]

    def by_zone(self, shard: int) -> Counter[int]:
        """How many of a shard's holders are in each zone."""
        return Counter(self.loads.zone[node] for node in self.holders[shard])

    def region_of(self, shard: int) -> str | None:
        """The region of a shard's first holder."""
        holders = self.holders[shard]
        return self.loads.region[holders[0]] if holders else None

    def may_move(self, shard: int, source: int, target: int) -> bool:
        """Whether a move leaves the holders on different nodes, and in zones as different as they are."""
        holders = self.holders[shard]
        if len(holders) == 1:
            return True
        if target in holders:
            return False
        zone, counts = self.loads.zone, self.by_zone(shard)
        return zone[source] == zone[target] or counts[zone[target]] <= counts[zone[source]] - 1

    def pick_shard(self, source: int, target: int, wanted: int, max_load: int) -> int | None:
        """The shard to move for `wanted` load: the smallest that is enough, else the largest; none above `most`."""
        if max_load < 1:
            return None
        shards_on = self.shards_on(source)
        enough, end = bisect_left(shards_on, (wanted, -1)), bisect_left(shards_on, (max_load + 1, -1))
        for _, shard in shards_on[enough:end]:
            if self.may_move(shard, source, target):
                return shard
        for _, shard in reversed(shards_on[: min(enough, end)]):
            if self.may_move(shard, source, target):
                return shard
        return None
