"""The load of each node during the computation of a placement, with a heap per zone for its least loaded node.

Nodes and zones are numbered. Nodes are numbered by ascending name, so that a placement does not depend on the order in
which the caller lists them. Loads are integers, so that sums are exact in any order. A heap entry whose load differs
from the node's present load is stale, and is dropped when it reaches the top.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from heapq import heapify, heappop, heappush
from itertools import pairwise

from scalefall.assignment.model import Node
from scalefall.errors import AssignmentError


class NodeLoads:
    """Nodes by number, their zones, and their loads.

    Attributes:
        names: Each node's name, by its number.
        numbers: Each node's number, by its name.
        load: Each node's load, by its number. Modified directly before `build_heaps`, afterwards only by `add_load`.
        region: Each node's region, by its number.
        zone: The number of each node's zone, by the node's number.
    """

    def __init__(self, nodes: Sequence[Node]) -> None:
        """Number the nodes; none has a load yet.

        Raises:
            AssignmentError: Two nodes have one name.
        """
        ordered = sorted(nodes, key=lambda node: node.name)
        self.names = [node.name for node in ordered]
        for name, following in pairwise(self.names):
            if name == following:
                raise AssignmentError(f"node {name} is named twice")
        self.numbers = {name: number for number, name in enumerate(self.names)}
        self.load = [0] * len(ordered)
        self.region = [node.region for node in ordered]
        places = sorted({(node.region, node.zone) for node in ordered})
        zone_numbers = {place: zone for zone, place in enumerate(places)}
        self.zone = [zone_numbers[node.region, node.zone] for node in ordered]
        self._zones: dict[str, list[int]] = {}  # zones by region
        for (region, _), zone in zone_numbers.items():
            self._zones.setdefault(region, []).append(zone)
        self._all_zones = list(zone_numbers.values())
        self._heaps: list[list[tuple[int, int]]] = [[] for _ in places]  # heaps of (load, node), by zone

    def build_heaps(self) -> None:
        """Build the heaps, once the loads of the retained shards have been added."""
        for number, zone in enumerate(self.zone):
            self._heaps[zone].append((self.load[number], number))
        for heap in self._heaps:
            heapify(heap)

    def add_load(self, node: int, change: int) -> None:
        """Add to a node's load, or subtract from it; only after `build_heaps`."""
        load = self.load[node] + change
        self.load[node] = load
        heappush(self._heaps[self.zone[node]], (load, node))

    def tiers(self, region: str | None) -> list[list[int]]:
        """Return the zones to search, in tiers of descending preference.

        The zones of the region are the first tier, all others the second. Without a known region there is one tier.
        """
        own = self._zones.get(region) if region is not None else None
        if own is None:
            return [self._all_zones]
        return [own, [zone for zone in self._all_zones if zone not in own]]

    def regions(self) -> list[str]:
        """Return the regions that have a node."""
        return list(self._zones)

    def least_loaded(self, zone: int, excluded: Container[int] = ()) -> int | None:
        """Return the least loaded node of a zone, the first by name among equals; None if all are excluded."""
        heap, load = self._heaps[zone], self.load
        set_aside = []
        found = None
        while heap:
            entry = heap[0]
            if entry[0] != load[entry[1]]:
                heappop(heap)
            elif entry[1] in excluded:
                set_aside.append(heappop(heap))
            else:
                found = entry[1]
                break
        for entry in set(set_aside):
            heappush(heap, entry)
        return found

    def least_loaded_of_each(self, zones: Sequence[int], excluded: Container[int] = ()) -> list[int]:
        """Return the least loaded node of each zone; a zone whose nodes are all excluded has none."""
        found = (self.least_loaded(zone, excluded) for zone in zones)
        return [node for node in found if node is not None]
