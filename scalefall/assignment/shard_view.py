"""The catalog's view of which destinations' resources each node may have. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain

from scalefall.assignment.coordinator import Coordinator
from scalefall.assignment.sharding import Sharding


class ShardView:
    """Implements control.catalog.DestinationView with a coordinator, and indexes destinations by shard."""

    def __init__(self, coordinator: Coordinator) -> None:
        """Start without destinations."""
        self._coordinator = coordinator
        self._sharding: Sharding | None = None  # the sharding that the indexes follow
        self._isolated: dict[int, int] = {}  # isolated destinations of that sharding, with their shards
        self._by_shard: dict[int, set[int]] = {}  # destinations by shard
        self._shards: dict[int, int] = {}  # shard by destination
        self._nodes: dict[int, set[str]] = {}  # nodes by shard

    def switch_to(self, coordinator: Coordinator) -> None:
        """Replace the coordinator."""
        self._coordinator = coordinator
        self._nodes.clear()
        self.sync_sharding()

    def covers(self, node: str, destination: int) -> bool:
        """Return whether the node may have the destination's resources."""
        return self._coordinator.serves(node, destination)

    def nodes_of(self, destination: int) -> Iterable[str]:
        """Return the nodes that may have the destination's resources."""
        return self._nodes.get(self._shards.get(destination, -1), ())

    def update_node(self, node: str, shards: Iterable[int]) -> None:
        """Add the node to those of these shards that it has gained, and remove it from those that it has lost."""
        covered = self._coordinator.shards_of(node)
        for shard in shards:
            if shard in covered:
                self._nodes.setdefault(shard, set()).add(node)
            else:
                self._nodes.get(shard, set()).discard(node)

    def sync_sharding(self) -> None:
        """Move the destinations that were isolated or merged to their present shard."""
        sharding = self._coordinator.sharding
        if sharding is self._sharding:
            return  # a sharding is immutable, so the same object has the same isolated destinations
        self._sharding = sharding
        before, after = self._isolated, sharding.isolated
        moved = [
            destination for destination in {**before, **after} if before.get(destination) != after.get(destination)
        ]
        self._isolated = dict(after)
        for destination in moved:
            if destination in self._shards:
                self._remove(destination)
                self._add(destination)

    def destinations(self, node: str) -> Iterable[int]:
        """Return the destinations whose resources the node may have."""
        return chain.from_iterable(self._by_shard.get(shard, ()) for shard in self._coordinator.shards_of(node))

    def destinations_of(self, shard: int) -> Iterable[int]:
        """Return the destinations of one shard."""
        return self._by_shard.get(shard, ())

    def replace_destinations(self, destinations: Iterable[int]) -> None:
        """Set the destinations of the fleet."""
        present = set(destinations)
        for destination in self._shards.keys() - present:
            self._remove(destination)
        for destination in present - self._shards.keys():
            self._add(destination)

    def _add(self, destination: int) -> None:
        shard = self._shards[destination] = self._coordinator.sharding.shard_of(destination)
        self._by_shard.setdefault(shard, set()).add(destination)

    def _remove(self, destination: int) -> None:
        shard = self._shards.pop(destination)
        self._by_shard[shard].discard(destination)
        if not self._by_shard[shard]:
            del self._by_shard[shard]
