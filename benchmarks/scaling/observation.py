"""Observes a fleet of hollow senders with assigned destinations: service gaps, moved destinations, load and bytes."""

from __future__ import annotations

from dataclasses import dataclass, field

from benchmarks.scaling.demand import Demand
from scalefall.assignment.coordinator import Coordinator
from scalefall.lab.hollow.sharded import ShardedFleet
from scalefall.lab.proxy.meter import Direction, Kind

OBSERVATION_INTERVAL_US = 100_000  # between checks of which shards are served
SECOND = 1_000_000


@dataclass(slots=True)
class Gaps:
    """Times in microseconds during which no sender served a shard, with the shard's number of destinations."""

    _since: dict[int, int] = field(default_factory=dict)
    ended: list[tuple[int, int]] = field(default_factory=list)  # (us, destinations)

    def observe(self, now: int, served: set[int], sizes: dict[int, int]) -> None:
        for shard in [shard for shard in self._since if shard in served or shard not in sizes]:
            since = self._since.pop(shard)
            if shard in sizes:
                self.ended.append((now - since, sizes[shard]))
        for shard in sizes.keys() - served:
            self._since.setdefault(shard, now)

    def open_count(self) -> int:
        """Return the number of shards that no sender serves now."""
        return len(self._since)

    def quantile(self, fraction: float) -> int:
        """Return a quantile of the gaps, weighted by destinations; 0 without gaps."""
        rows = sorted(self.ended)
        total = sum(count for _, count in rows)
        passed = 0
        for span, count in rows:
            passed += count
            if passed >= fraction * total:
                return span
        return 0


def sizes(coordinator: Coordinator, destinations: int) -> dict[int, int]:
    """Return the number of destinations of each shard that has any."""
    counts: dict[int, int] = {}
    for destination in range(destinations):
        shard = coordinator.sharding.shard_of(destination)
        counts[shard] = counts.get(shard, 0) + 1
    return counts


def served(fleet: ShardedFleet) -> set[int]:
    """Return the shards that a running process has leased."""
    now = fleet.clock.now
    leased: set[int] = set()
    for sender in fleet.senders:
        if not sender.has_ended:
            leased |= sender.contract.holder.leased_shards(now)
    return leased


@dataclass(slots=True)
class Moves:
    """Counts destinations that moved to another sender, by cause."""

    moved: int = 0
    lost: int = 0  # their sender was lost
    filled: int = 0  # they moved to a new sender without any
    _table: dict[int, tuple[str, ...]] = field(default_factory=dict)
    _generation: int = -1

    def begin(self, coordinator: Coordinator) -> None:
        """Reset the counts."""
        self.moved = self.lost = self.filled = 0
        self._read_table(coordinator)

    def observe(self, coordinator: Coordinator, destinations_by_shard: dict[int, int]) -> None:
        """Count the changes of the table. Shards added or removed by isolation are not counted."""
        if coordinator.generation == self._generation:
            return
        before = self._table
        old = {name for names in before.values() for name in names}
        self._read_table(coordinator)
        new = {name for names in self._table.values() for name in names}
        for shard in before.keys() & self._table.keys():
            old_holders, new_holders = set(before[shard]), set(self._table[shard])
            if old_holders != new_holders:
                self.moved += destinations_by_shard.get(shard, 0)
                if old_holders - new:
                    self.lost += destinations_by_shard.get(shard, 0)
                elif new_holders - old_holders - old:
                    self.filled += destinations_by_shard.get(shard, 0)

    def _read_table(self, coordinator: Coordinator) -> None:
        self._generation, self._table = coordinator.generation, coordinator.state().table


def load_ratio(coordinator: Coordinator, demand: Demand, nodes: int) -> float:
    """Return the load of the most loaded node over the mean, by the demand's true rates."""
    table, shards = coordinator.state().table, coordinator.sharding
    by_shard: dict[int, float] = {}
    for destination, rate in enumerate(demand.rates):
        shard = shards.shard_of(destination)
        by_shard[shard] = by_shard.get(shard, 0.0) + rate
    loads: dict[str, float] = {}
    for shard, names in table.items():
        for name in names:
            loads[name] = loads.get(name, 0.0) + by_shard.get(shard, 0.0) / len(names)
    return max(loads.values()) / (sum(demand.rates) / nodes)


def bytes_by_sender(fleet: ShardedFleet) -> list[int]:
    """Return the bytes so far in both directions, by place of the sender."""
    return [
        sum(meter.count(direction, kind).bytes for direction in Direction for kind in Kind) for meter in fleet.meters
    ]


def rates(before: list[int], after: list[int], span_us: int) -> list[float]:
    """Return the bytes a second of each sender, in ascending order."""
    return sorted((new - old) * SECOND / span_us for old, new in zip(before, after, strict=True))


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of values in ascending order."""
    return values[min(len(values) - 1, int(fraction * len(values)))]
