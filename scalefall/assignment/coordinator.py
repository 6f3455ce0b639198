"""Joins, losses, loads and the clock in; placement asked; the ledger told; grants out. No I/O, no clock.

Theory of operation. Placement is by node (a sender's place in the fleet), leases are by process ("node/instance").

  1. A node whose process is lost keeps its shards for `restart_us`: a new process of it gets them once the leases of
     the old one have run out, and nothing is placed anew. After that the node is gone and its shards are placed.
  2. Placement is asked SETTLE_US after a node came or was gone, so that a zone's loss is one decision, and each
     `rebalance_us`; never on a report of loads. While no node is there the table stays as it is. A node that comes
     while another may be gone waits for that, `restart_us` at most: a replacement gets the shards of the one before.
  3. Started from a table, nothing is placed until nothing granted by the service before may be in use: by then the
     nodes of the table have come back, or are gone. Those that come back keep their shards. Nor does anything move for
     balance until loads have been measured for MEASURED_US: the first reports are of a part of the senders.
  4. Allowances are not part of a table: whoever starts a coordinator tells it all that are not UNLIMITED before the
     first grants.

References: Slicer (Adya and others, OSDI 2016) for a table of leased shards held by control; Shard Manager (Lee and
others, SOSP 2021) for planned moves and for restarts that move nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from scalefall.assignment.coverage import Coverage
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.load_means import LoadMeans
from scalefall.assignment.membership import NodeMembership, node_of
from scalefall.assignment.model import FULL_QUOTA, Node, ShardGrant
from scalefall.assignment.shard_record import NEVER
from scalefall.errors import AssignmentError

BALANCE_AFTER_US = 120_000_000  # four reports on all senders: near enough to move shards by
SETTLE_US = 1_000_000  # a zone's streams end within a heartbeat interval of each other: one decision for all of them

Table = Mapping[int, tuple[str, ...]]  # shard -> names of the nodes that hold it


class Plan(Protocol):
    """What placement answers."""

    table: Table
    moved: frozenset[int]


class Sharding(Protocol):
    """Which shard a destination is of; a value, so that isolate() and merge() give another one."""

    isolated: Mapping[int, int]

    def shard_of(self, destination: int) -> int: ...
    def shards(self) -> Iterable[int]: ...
    def isolate(self, destination: int) -> Sharding: ...
    def merge(self, destination: int) -> Sharding: ...


# table, calls a second by shard, nodes, limits of the placement's own, shards, whether it may move for balance
Place = Callable[[Table, Mapping[int, float], Sequence[Node], Any, Iterable[int], bool], Plan]
# calls a second by destination, sharding, mean load of a node -> destinations to isolate, destinations to merge
Isolation = Callable[[Mapping[int, float], Sharding, float], tuple[Iterable[int], Iterable[int]]]


@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Times in microseconds."""

    lease_us: int
    delay_us: int  # no message arrives later after it was sent
    restart_us: int = 3_000_000  # a process that starts anew within it finds its node's shards
    rebalance_us: int = 30_000_000
    limits: Any = None  # handed to placement


@dataclass(slots=True, frozen=True)
class CoordinatorState:
    """What a snapshot keeps."""

    table: dict[int, tuple[str, ...]]
    isolated: dict[int, int]  # destination -> its own shard
    generation: int  # grows with each change of the others


class Coordinator:
    """The assignment of one control service. `turn` gives the grants to be sent, after news and at next_turn()."""

    def __init__(
        self,
        now: int,
        settings: CoordinatorSettings,
        place: Place,
        sharding: Sharding,
        isolation: Isolation | None = None,
        state: CoordinatorState | None = None,
    ) -> None:
        self._settings, self._placement, self._isolation_policy = settings, place, isolation
        self._sharding = sharding
        self._ledger = ShardLedger(now, settings.lease_us, settings.delay_us)
        self._membership = NodeMembership(settings.restart_us)
        self._loads = LoadMeans()
        self._coverage = Coverage(self._ledger.users)
        self._table: dict[int, tuple[str, ...]] = {}
        self._generation = 0
        self._placement_paused_until = now  # nothing is placed before
        self._place_at = NEVER
        self._rebalance_at = now + settings.rebalance_us
        self._is_first = state is None  # no table from before
        for destination, own in sharding.isolated.items():
            self._ledger.isolate(destination, sharding.merge(destination).shard_of(destination), own)
        if state is not None:
            self._start_from(state, now)

    def _start_from(self, state: CoordinatorState, now: int) -> None:
        if dict(state.isolated) != dict(self._sharding.isolated):
            raise AssignmentError("the sharding's isolated destinations are not those of the state")
        unknown = state.table.keys() - set(self._sharding.shards())
        if unknown:
            raise AssignmentError(f"the table has shard {min(unknown)}, which the sharding has not")
        self._generation = state.generation
        self._table = dict(state.table)
        for shard, row in self._table.items():
            self._coverage.place(shard, (), row)
        self._placement_paused_until = self._place_at = max(self._ledger.grace_until, now + self._settings.restart_us)

    # -- service

    @property
    def number(self) -> int:
        """The highest number of a grant that was given."""
        return self._ledger.number

    @property
    def generation(self) -> int:
        """Grows with each change of the table or of the isolated destinations."""
        return self._generation

    @property
    def sharding(self) -> Sharding:
        """Which shard a destination is of, now."""
        return self._sharding

    def resume(self, number: int) -> None:
        """Numbers go on above the highest that an earlier service may have given."""
        self._ledger.resume(number)

    def step_down(self) -> None:
        """Another service grants from now on. To go on after it, a new coordinator starts from its state."""
        self._ledger.step_down()

    def state(self) -> CoordinatorState:
        """What another coordinator can start from."""
        return CoordinatorState(dict(self._table), dict(self._sharding.isolated), self._generation)

    # -- what is told

    def holder_joined(self, holder: str, node: Node, now: int) -> None:
        """A process can be heard, for the first time or again."""
        is_change = self._membership.holder_joined(holder, node)
        self._ledger.holder_joined(holder)
        self._assign_node_shards(node.name)
        if is_change:
            self._settle(now, self._membership.last_removal_at())

    def holder_lost(self, holder: str, now: int) -> None:
        """A process cannot be heard any more; told again, it changes nothing."""
        if not self._membership.is_live(holder) and self._ledger.knows(holder):
            return
        self._membership.holder_lost(holder, now)
        self._ledger.holder_lost(holder)
        if self._membership.holder(node_of(holder)) != holder:
            self._assign_node_shards(node_of(holder))

    def loads_reported(self, loads: Mapping[int, float], now: int) -> None:
        """One report on all senders: measured calls a second of each destination with traffic."""
        self._loads.report(loads, now)

    def set_allowance(self, destination: int, amount: int) -> None:
        """The destination's allowance now, in thousandths of a call a second, for all senders together."""
        self._ledger.set_limit(destination, self._sharding.shard_of(destination), amount)

    def acknowledged(self, holder: str, shard: int, number: int, now: int) -> bool:
        """A process has had the grant of this number. False if that says nothing."""
        if not self._membership.is_live(holder) and not self._ledger.knows(holder):
            raise AssignmentError(f"unknown holder {holder}")
        return self._ledger.acknowledged(holder, shard, number, now)

    # -- what follows

    def step(self, now: int) -> list[ShardGrant]:
        """The grants to send now."""
        if self._ledger.grace_until == NEVER:
            return []
        if self._membership.pop_removed(now):
            self._settle(now)
        if now >= self._next_placement():
            self._place(now)
        grants = self._ledger.step(now)
        for holder, shard in self._ledger.drain_released():
            self._coverage.released(holder, shard)
        return grants

    def next_deadline(self, now: int) -> int:
        """When turn() is due if no news come before."""
        if self._ledger.grace_until == NEVER:
            return NEVER
        times = [self._ledger.next_deadline(now), self._next_placement()]
        removal_at = self._membership.next_removal_at()
        if removal_at is not None:
            times.append(removal_at)
        return max(now, min(times))

    def shards_of(self, node: str) -> frozenset[int]:
        """The shards that the node may use now, or is to get as soon as they are free."""
        return self._coverage.shards_of(node)

    def serves(self, node: str, destination: int) -> bool:
        """Whether the destination's shard is one of the node's shards_of()."""
        return self._coverage.covers(node, self._sharding.shard_of(destination))

    def drain_changes(self) -> dict[str, frozenset[int]]:
        """Node -> shards that came, went, or have other destinations by isolation, since the last call."""
        return self._coverage.drain_changes()

    # -- placement

    def _settle(self, now: int, removal_at: int | None = None) -> None:
        """Placement is to be asked soon; gone_at: when a node that may yet come back is gone, if one is awaited."""
        at = now + SETTLE_US
        if removal_at is not None:
            at = max(at, min(removal_at, now + self._settings.restart_us))
        self._place_at = min(self._place_at, max(self._placement_paused_until, at))

    def _may_balance(self, now: int) -> bool:
        """Whether loads are known well enough to move shards by them; a first table is balanced by number."""
        since = self._loads.since
        return self._is_first if since is None else now - since >= BALANCE_AFTER_US

    def _next_placement(self) -> int:
        """A placement that waits to settle goes before the next regular one, which would see half of a loss."""
        if self._place_at != NEVER:
            return self._place_at
        return max(self._placement_paused_until, self._rebalance_at)

    def _place(self, now: int) -> None:
        self._place_at, self._rebalance_at = NEVER, now + self._settings.rebalance_us
        nodes = self._membership.nodes()
        if not nodes:
            return
        means = self._loads.means(now)
        isolated = self._adjust_isolation(means, len(nodes))
        loads: dict[int, float] = {}
        for destination, load in means.items():
            shard = self._sharding.shard_of(destination)
            loads[shard] = loads.get(shard, 0.0) + load
        shards, limits = self._sharding.shards(), self._settings.limits
        plan = self._placement(self._table, loads, nodes, limits, shards, self._may_balance(now))
        if self._apply_table(plan.table) or isolated:
            self._generation += 1

    def _apply_table(self, table: Table) -> bool:
        """The table from now on. Whether anything is another."""
        changed = [shard for shard in self._table.keys() | table.keys() if self._table.get(shard) != table.get(shard)]
        for shard in sorted(changed):
            before, after = self._table.get(shard, ()), tuple(table.get(shard, ()))
            if after:
                self._table[shard] = after
            else:
                del self._table[shard]
            self._coverage.place(shard, before, after)
            self._assign(shard)
        return bool(changed)

    def _assign_node_shards(self, node: str) -> None:
        """The node's shards go to the process that holds for it now."""
        for shard in sorted(self._coverage.placed(node)):
            self._assign(shard)

    def _assign(self, shard: int) -> None:
        row = self._table.get(shard, ())
        base, remainder = divmod(FULL_QUOTA, max(1, len(row)))
        quotas = {}
        for at, node in enumerate(row):
            holder = self._membership.holder(node)
            if holder is not None and self._ledger.knows(holder):
                quotas[holder] = base + (at < remainder)
        self._ledger.assign(shard, quotas)

    def _adjust_isolation(self, means: Mapping[int, float], nodes: int) -> bool:
        """Destinations that get a shard of their own, or lose it. Whether there are any."""
        if self._isolation_policy is None:
            return False
        before = self._sharding
        to_isolate, to_merge = self._isolation_policy(means, self._sharding, sum(means.values()) / nodes)
        for destination in to_merge:
            if destination in self._sharding.isolated:
                self._merge_destination(destination)
        for destination in to_isolate:
            if self._ledger.isolation(destination) is None:
                self._isolate_destination(destination)
        return self._sharding is not before

    def _isolate_destination(self, destination: int) -> None:
        home, sharding = self._sharding.shard_of(destination), self._sharding.isolate(destination)
        own = sharding.isolated[destination]
        if not self._ledger.is_free(own):
            return  # what was granted on it before is not out of use yet; asked again at the next placement
        self._ledger.isolate(destination, home, own)
        self._sharding = sharding
        self._coverage.destinations_changed(home, self._table.get(home, ()))

    def _merge_destination(self, destination: int) -> None:
        own = self._sharding.isolated[destination]
        self._ledger.merge(destination)
        self._sharding = self._sharding.merge(destination)
        self._coverage.place(own, self._table.pop(own, ()), ())
        home = self._sharding.shard_of(destination)
        self._coverage.destinations_changed(home, self._table.get(home, ()))
