"""The coordinator of an assignment: it applies membership, loads and placements to the ledger. No I/O, no clock.

Theory of operation. Shards are placed on nodes (a sender's place in the fleet), and leased to processes
("node/instance").

  1. A node whose process is lost keeps its shards for `restart_us`: a new process of the node gets them once the leases
     of the old one have expired, and no shard is placed again. After that time the node is removed, and its shards are
     placed on other nodes.
  2. Shards are placed SETTLE_US after a node has joined or was removed, so that the loss of a zone leads to one
     placement, and every `rebalance_us`; a load report triggers none. While no node is present the table does not
     change. The placement for a node that joins while another may be removed waits for the removal, at most
     `restart_us`, so that a replacement gets the shards of the lost node.
  3. After a start from a table, nothing is placed until no grant of the previous service can be in use. By then the
     nodes of the table have joined again, and keep their shards, or are removed. No shard moves for balance until loads
     have been measured for MIN_LOAD_HISTORY_US, as the first reports cover only some senders.
  4. Allowances are not part of a table: after creating a coordinator, the caller sets all allowances other than
     UNLIMITED before the first grants.

References: Slicer (Adya and others, OSDI 2016) for a table of leased shards in the control service; Shard Manager (Lee
and others, SOSP 2021) for planned moves, and for restarts that move nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from scalefall.assignment.coverage import Coverage
from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.load_means import LoadMeans
from scalefall.assignment.membership import NodeMembership, node_of
from scalefall.assignment.model import FULL_QUOTA, Node, ShardGrant
from scalefall.assignment.placement import PlacementLimits, Plan, Table
from scalefall.assignment.placement_schedule import PlacementSchedule
from scalefall.assignment.shard_record import NEVER
from scalefall.assignment.sharding import Sharding
from scalefall.errors import AssignmentError

MIN_LOAD_HISTORY_US = 120_000_000  # four reports that cover all senders are accurate enough to move shards


class Placement(Protocol):
    """Decides which nodes hold which shard (placement.place)."""

    def __call__(
        self,
        table: Table,
        loads: Mapping[int, float],
        nodes: Sequence[Node],
        limits: PlacementLimits,
        shards: Iterable[int],
        may_move: bool,
    ) -> Plan:
        """Return the next table; loads are calls per second by shard."""


class IsolationPolicy(Protocol):
    """Decides which destinations have a shard of their own (isolation_policy.decide)."""

    def __call__(self, loads: Mapping[int, float], sharding: Sharding, node_load: float) -> IsolationChange:
        """Return the destinations to isolate and merge.

        Loads are in calls per second, by destination; `node_load` is the mean load of a node.
        """


@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """The settings of a coordinator. Times in microseconds."""

    lease_us: int
    delay_us: int  # the longest time that a message may be in transit
    restart_us: int = 3_000_000  # a node whose process restarts within this time keeps its shards
    rebalance_us: int = 30_000_000  # between placements while membership does not change
    limits: PlacementLimits = field(default_factory=PlacementLimits)


@dataclass(slots=True, frozen=True)
class CoordinatorState:
    """The state that a snapshot stores."""

    table: dict[int, tuple[str, ...]]  # names of the nodes that hold each shard
    isolated: dict[int, int]  # shards of isolated destinations
    generation: int  # increases with each change of the table or of the isolated destinations


class Coordinator:
    """The assignment of one control service.

    `step` returns the grants to send. It is called after changes, and at `next_deadline` if there are none.
    """

    def __init__(
        self,
        now: int,
        settings: CoordinatorSettings,
        placement: Placement,
        sharding: Sharding,
        isolation_policy: IsolationPolicy | None = None,
        state: CoordinatorState | None = None,
    ) -> None:
        """Start in a grace period.

        Args:
            now: The present time, in microseconds, as in all methods.
            settings: Times and limits.
            placement: Decides which nodes hold which shard.
            sharding: Maps destinations to shards.
            isolation_policy: Decides which destinations have a shard of their own; without it their set never changes.
            state: The state of the previous coordinator, if there was one.

        Raises:
            AssignmentError: The state does not fit the sharding.
        """
        self._settings, self._placement, self._isolation_policy = settings, placement, isolation_policy
        self._sharding = sharding
        self._ledger = ShardLedger(now, settings.lease_us, settings.delay_us)
        self._membership = NodeMembership(settings.restart_us)
        self._loads = LoadMeans()
        self._coverage = Coverage(self._ledger.users)
        self._table: Table = {}
        self._generation = 0
        self._schedule = PlacementSchedule(now, settings.restart_us, settings.rebalance_us)
        self._started_without_table = state is None
        for destination, own in sharding.isolated.items():
            self._ledger.isolate(destination, sharding.merge(destination).shard_of(destination), own)
        if state is not None:
            self._restore(state, now)

    def _restore(self, state: CoordinatorState, now: int) -> None:
        _check_state(state, self._sharding)
        self._generation = state.generation
        self._table = dict(state.table)
        for shard, nodes in self._table.items():
            self._coverage.place(shard, (), nodes)
        self._schedule.pause_until(max(self._ledger.grace_until, now + self._settings.restart_us))

    # -- leadership and state

    @property
    def number(self) -> int:
        """Return the highest grant number that was assigned."""
        return self._ledger.number

    @property
    def generation(self) -> int:
        """Return the generation, which increases with each change of the table or of the isolated destinations."""
        return self._generation

    @property
    def sharding(self) -> Sharding:
        """Return the present sharding."""
        return self._sharding

    def resume(self, number: int) -> None:
        """Number the next grants above the highest number that an earlier service may have used."""
        self._ledger.resume(number)

    def step_down(self) -> None:
        """Stop granting for good, as another service grants. A new leadership needs a new coordinator."""
        self._ledger.step_down()

    def state(self) -> CoordinatorState:
        """Return the state from which another coordinator can start."""
        return CoordinatorState(dict(self._table), dict(self._sharding.isolated), self._generation)

    # -- events

    def holder_joined(self, holder: str, node: Node, now: int) -> None:
        """Mark a process as reachable, for the first time or again.

        Raises:
            AssignmentError: The process is not named "node/instance" after this node.
        """
        is_change = self._membership.holder_joined(holder, node)
        self._ledger.holder_joined(holder)
        self._assign_node_shards(node.name)
        if is_change:
            self._schedule.membership_changed(now, self._membership.last_removal_at())

    def holder_disconnected(self, holder: str, now: int) -> None:
        """Mark a process as unreachable; do nothing if it is already.

        Raises:
            AssignmentError: The process is unknown.
        """
        if not self._membership.is_live(holder) and self._ledger.is_known(holder):
            return
        self._membership.holder_disconnected(holder, now)
        self._ledger.holder_disconnected(holder)
        if self._membership.holder(node_of(holder)) != holder:
            self._assign_node_shards(node_of(holder))

    def loads_reported(self, loads: Mapping[int, float], now: int) -> None:
        """Record one report for all senders together: the calls per second of each destination with traffic.

        Raises:
            AssignmentError: A load is not a finite number of 0 or more.
        """
        self._loads.report(loads, now)

    def set_allowance(self, destination: int, amount: int) -> None:
        """Set the destination's allowance, in thousandths of a call a second, for all senders together.

        Raises:
            AssignmentError: The amount is not a whole number of 0 or more.
        """
        self._ledger.set_limit(destination, self._sharding.shard_of(destination), amount)

    def acknowledged(self, holder: str, shard: int, number: int, now: int) -> bool:
        """Record that a process has received a grant; return whether this changes anything (ShardLedger.acknowledged).

        Raises:
            AssignmentError: The process is unknown.
        """
        if not self._membership.is_live(holder) and not self._ledger.is_known(holder):
            raise AssignmentError(f"unknown holder {holder}")
        return self._ledger.acknowledged(holder, shard, number, now)

    # -- results

    def step(self, now: int) -> list[ShardGrant]:
        """Return the grants to send now."""
        if self._ledger.grace_until == NEVER:
            return []
        if self._membership.pop_removed(now):
            self._schedule.membership_changed(now)
        if now >= self._schedule.next_at():
            self._place(now)
        grants = self._ledger.step(now)
        for holder, shard in self._ledger.drain_released():
            self._coverage.released(holder, shard)
        return grants

    def next_deadline(self, now: int) -> int:
        """Return when to call step() if nothing changes before."""
        if self._ledger.grace_until == NEVER:
            return NEVER
        times = [self._ledger.next_deadline(now), self._schedule.next_at()]
        removal_at = self._membership.next_removal_at()
        if removal_at is not None:
            times.append(removal_at)
        return max(now, min(times))

    def shards_of(self, node: str) -> frozenset[int]:
        """Return the shards that the node may be using, or will get once they are free."""
        return self._coverage.shards_of(node)

    def serves(self, node: str, destination: int) -> bool:
        """Return whether the destination's shard is in `shards_of(node)`."""
        return self._coverage.covers(node, self._sharding.shard_of(destination))

    def drain_changes(self) -> dict[str, frozenset[int]]:
        """Return and clear, by node, the shards gained, lost, or with changed destinations since the last call."""
        return self._coverage.drain_changes()

    # -- placement

    def _may_balance(self, now: int) -> bool:
        """Return whether shards may move for balance. A first table may, by number, before loads are reported."""
        since = self._loads.first_report_at
        return self._started_without_table if since is None else now - since >= MIN_LOAD_HISTORY_US

    def _place(self, now: int) -> None:
        self._schedule.placed(now)
        nodes = self._membership.nodes()
        if not nodes:
            return
        means = self._loads.means(now)
        has_isolation_changed = self._adjust_isolation(means, len(nodes))
        loads = _loads_by_shard(means, self._sharding)
        shards, limits = self._sharding.shards(), self._settings.limits
        plan = self._placement(self._table, loads, nodes, limits, shards, self._may_balance(now))
        if self._apply_table(plan.table) or has_isolation_changed:
            self._generation += 1

    def _apply_table(self, table: Table) -> bool:
        """Replace the table; return whether it has changed."""
        changed = _changed_shards(self._table, table)
        for shard in changed:
            before, after = self._table.get(shard, ()), tuple(table.get(shard, ()))
            if after:
                self._table[shard] = after
            else:
                del self._table[shard]
            self._coverage.place(shard, before, after)
            self._assign(shard)
        return bool(changed)

    def _assign_node_shards(self, node: str) -> None:
        """Assign the node's shards to its present holder."""
        for shard in sorted(self._coverage.placed(node)):
            self._assign(shard)

    def _assign(self, shard: int) -> None:
        """Divide a shard's quota evenly among the holders of its nodes."""
        nodes = self._table.get(shard, ())
        quotas = {}
        for node, quota in zip(nodes, _even_quotas(len(nodes)), strict=True):
            holder = self._membership.holder(node)
            if holder is not None and self._ledger.is_known(holder):
                quotas[holder] = quota
        self._ledger.assign(shard, quotas)

    # -- isolation

    def _adjust_isolation(self, means: Mapping[int, float], node_count: int) -> bool:
        """Isolate and merge destinations by their loads; return whether any was."""
        if self._isolation_policy is None:
            return False
        before = self._sharding
        change = self._isolation_policy(means, self._sharding, sum(means.values()) / node_count)
        for destination in change.merge:
            if destination in self._sharding.isolated:
                self._merge_destination(destination)
        for destination in change.isolate:
            if self._ledger.isolation(destination) is None:
                self._isolate_destination(destination)
        return self._sharding is not before

    def _isolate_destination(self, destination: int) -> None:
        home, sharding = self._sharding.shard_of(destination), self._sharding.isolate(destination)
        own = sharding.isolated[destination]
        if not self._ledger.is_free(own):
            return  # an earlier grant of the shard may be in use; the next placement decides again
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


def _check_state(state: CoordinatorState, sharding: Sharding) -> None:
    if dict(state.isolated) != dict(sharding.isolated):
        raise AssignmentError("the sharding's isolated destinations are not those of the state")
    unknown = state.table.keys() - set(sharding.shards())
    if unknown:
        raise AssignmentError(f"the table has shard {min(unknown)}, which is not in the sharding")


def _loads_by_shard(means: Mapping[int, float], sharding: Sharding) -> dict[int, float]:
    loads: dict[int, float] = {}
    for destination, load in means.items():
        shard = sharding.shard_of(destination)
        loads[shard] = loads.get(shard, 0.0) + load
    return loads


def _changed_shards(before: Table, after: Table) -> list[int]:
    """Return the shards whose nodes, or their order, differ, ascending."""
    return sorted(shard for shard in before.keys() | after.keys() if before.get(shard) != after.get(shard))


def _even_quotas(count: int) -> list[int]:
    """Return FULL_QUOTA divided into `count` quotas that differ by at most one, the larger ones first."""
    base, remainder = divmod(FULL_QUOTA, max(1, count))
    return [base + (position < remainder) for position in range(count)]
