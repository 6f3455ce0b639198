"""The coordinator's assignments as processes, nodes and zones join and leave; holders receive grants at once."""

from __future__ import annotations

from collections import defaultdict

import pytest
from coordinator_stand_ins import SHARED_SHARDS, StandInIsolation, StandInPlacement, StandInSharding

from scalefall.assignment.coordinator import MIN_LOAD_HISTORY_US, Coordinator, CoordinatorSettings
from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, Node, ShardGrant
from scalefall.assignment.placement_schedule import SETTLE_US
from scalefall.errors import AssignmentError

SECOND = 1_000_000  # us
LEASE_US = 2 * SECOND
DELAY_US = 3 * SECOND
GRACE_US = LEASE_US + DELAY_US
SETTINGS = CoordinatorSettings(LEASE_US, DELAY_US)


class Simulation:
    """A coordinator, and holders that receive and acknowledge its grants at once while they are reachable."""

    def __init__(self, state=None, isolation=None, replicas=1, holders=None, now=0, number=0):
        """Start a coordinator, optionally with the holders of an earlier simulation."""
        sharding = StandInSharding(state.isolated if state else ())
        self.now, self.placement = now, StandInPlacement(replicas)
        self.coordinator = Coordinator(now, SETTINGS, self.placement, sharding, isolation, state)
        self.coordinator.resume(number)
        self.holders = holders if holders is not None else {}
        self.live, self.sent_grants = set(), defaultdict(int)

    def join(self, *processes, zone=""):
        """Make processes reachable, for the first time or again."""
        for process in processes:
            self.holders.setdefault(process, ShardHolder(lambda destination: destination % SHARED_SHARDS))
            self.live.add(process)
            self.coordinator.holder_joined(process, Node(process.partition("/")[0], "north", zone), self.now)

    def disconnect(self, *processes):
        """Make processes unreachable; they continue to use their leases."""
        for process in processes:
            self.live.discard(process)
            self.coordinator.holder_disconnected(process, self.now)

    def run_until(self, end):
        """Step whenever due, and check that the quotas of a shard never add up to more than FULL_QUOTA."""
        while True:
            for grant in self.coordinator.step(self.now):
                assert grant.holder in self.live
                self.sent_grants[grant.holder] += 1
                assert self.holders[grant.holder].granted(grant, self.now)
                assert self.coordinator.acknowledged(grant.holder, grant.shard, grant.number, self.now)
            for shard in range(SHARED_SHARDS + 3):
                assert sum(holder.quota(shard, self.now) for holder in self.holders.values()) <= FULL_QUOTA
            at = max(self.now + 1, self.coordinator.next_deadline(self.now))
            if at > end:
                break
            self.now = at
        self.now = end

    def leased_shards(self, process):
        """Return the shards that a process has leased now."""
        return self.holders[process].leased_shards(self.now)


def started_simulation(*processes, **more):
    """Return a simulation of these processes after its grace period."""
    simulation = Simulation(**more)
    simulation.join(*processes)
    simulation.run_until(GRACE_US + SECOND)
    simulation.coordinator.drain_changes()
    return simulation


def test_every_shard_is_leased_once_after_the_grace_period():
    """Guards against grants in the grace period, and shards without a holder or without renewals after it."""
    simulation = Simulation()
    simulation.join("a/1", "b/1", "c/1")
    simulation.run_until(GRACE_US - 1)
    assert not simulation.sent_grants
    assert len(simulation.coordinator.shards_of("a")) == 4
    simulation.run_until(GRACE_US)
    assert set().union(*map(simulation.leased_shards, simulation.live)) == set(range(SHARED_SHARDS))
    assert all(
        simulation.leased_shards(process) == simulation.coordinator.shards_of(process[0]) for process in simulation.live
    )
    simulation.run_until(GRACE_US + 20 * SECOND)
    assert len(simulation.placement.calls) == 1
    assert set(simulation.sent_grants.values()) == {4 * 21}


def test_a_restart_moves_no_shard_and_waits_until_the_leases_of_the_old_process_expire():
    """Guards against two processes of a node holding its shards, and against a placement caused by a restart."""
    simulation = started_simulation("a/1", "b/1")
    table = simulation.coordinator.state().table
    shards_of_a = simulation.leased_shards("a/1")
    placements_before = len(simulation.placement.calls)
    simulation.disconnect("a/1")
    simulation.run_until(simulation.now + SECOND // 2)
    simulation.join("a/2")
    simulation.run_until(simulation.now + 1)
    assert not simulation.leased_shards("a/2")
    assert simulation.leased_shards("a/1") == shards_of_a
    simulation.run_until(simulation.now + LEASE_US)
    assert simulation.leased_shards("a/2") == shards_of_a
    assert not simulation.leased_shards("a/1")
    assert simulation.coordinator.state().table == table
    assert len(simulation.placement.calls) == placements_before
    assert simulation.coordinator.drain_changes() == {}
    with pytest.raises(AssignmentError, match="unknown holder a/1"):
        simulation.coordinator.acknowledged("a/1", 0, 1, simulation.now)


def test_a_process_that_reconnects_within_its_leases_keeps_its_tenures():
    """Guards against a new epoch after a short disconnection, also if the disconnection is reported twice."""
    simulation = started_simulation("a/1", "b/1")
    epochs = {shard: simulation.holders["a/1"].epoch(shard) for shard in simulation.leased_shards("a/1")}
    simulation.disconnect("a/1")
    simulation.coordinator.holder_disconnected("a/1", simulation.now)  # repeated
    simulation.run_until(simulation.now + LEASE_US * 3 // 5)  # after the renewal, within the lease
    simulation.join("a/1")
    simulation.run_until(simulation.now + LEASE_US)
    assert {shard: simulation.holders["a/1"].epoch(shard) for shard in simulation.leased_shards("a/1")} == epochs


def test_the_loss_of_a_zone_leads_to_one_placement_on_the_other_nodes():
    """Guards against a regular placement between the removals of two nodes, which would see half of the loss."""
    simulation = Simulation()
    simulation.join("a/1", "b/1", zone="one")
    simulation.join("c/1", "d/1", zone="two")
    first = SETTLE_US + SETTINGS.rebalance_us - SETTINGS.restart_us - SETTLE_US // 4
    simulation.run_until(first)  # the regular placement is due between the removals of the two nodes
    placements_before = len(simulation.placement.calls)
    simulation.disconnect("a/1")
    simulation.run_until(first + SETTLE_US // 2)
    simulation.disconnect("b/1")
    simulation.run_until(first + SETTINGS.restart_us + SETTLE_US - 1)
    assert len(simulation.placement.calls) == placements_before
    simulation.run_until(first + SETTINGS.restart_us + SETTLE_US)
    assert [names for _, names in simulation.placement.calls[placements_before:]] == [["c", "d"]]
    assert simulation.leased_shards("c/1") | simulation.leased_shards("d/1") == set(range(SHARED_SHARDS))
    assert not simulation.coordinator.shards_of("a")
    assert len(simulation.coordinator.drain_changes()) == 4


def test_a_moved_shard_is_granted_after_its_withdrawal_is_acknowledged_and_both_nodes_cover_it_until_then():
    """Guards against two holders during a move, and against a node that loses a shard's resources too early."""
    simulation = started_simulation("a/1")
    simulation.join("b/1")
    moved = {shard: ("b",) if shard < 6 else ("a",) for shard in range(SHARED_SHARDS)}
    simulation.placement.next_table = moved
    coordinator, now = simulation.coordinator, simulation.now + SETTLE_US
    withdrawals = [grant for grant in coordinator.step(now) if not grant.quota]
    assert {grant.shard for grant in withdrawals} == set(range(6))
    assert coordinator.serves("a", 3)
    assert coordinator.serves("b", 3)
    assert not coordinator.serves("b", 7)
    assert coordinator.drain_changes() == {"b": frozenset(range(6))}
    for grant in withdrawals:
        coordinator.acknowledged(grant.holder, grant.shard, grant.number, now)
    assert {(grant.holder, grant.shard) for grant in coordinator.step(now)} == {("b/1", shard) for shard in range(6)}
    assert not coordinator.serves("a", 3)
    assert coordinator.drain_changes() == {"a": frozenset(range(6))}


def test_the_placement_for_a_new_node_waits_for_the_removal_of_a_lost_node():
    """Guards against two placements where one suffices, in which the new node replaces the lost one."""
    simulation = started_simulation("a/1", "b/1")
    placements_before, lost_at = len(simulation.placement.calls), simulation.now
    simulation.disconnect("a/1")
    simulation.run_until(lost_at + SECOND)
    simulation.join("c/1")
    simulation.run_until(lost_at + SETTINGS.restart_us - 1)
    assert len(simulation.placement.calls) == placements_before
    simulation.run_until(lost_at + SETTINGS.restart_us)
    assert simulation.placement.calls[placements_before:] == [({}, ["b", "c"])]


def test_no_shard_moves_for_balance_before_loads_have_been_measured_long_enough():
    """Guards against moves by the first reports, which cover only some senders; a first table is balanced by number."""
    simulation = started_simulation("a/1", "b/1")
    assert simulation.placement.may_move  # a first table
    start, may_move_values = simulation.now, []
    while simulation.now <= start + MIN_LOAD_HISTORY_US + SETTINGS.rebalance_us:
        simulation.coordinator.loads_reported({1: 5.0}, simulation.now)
        simulation.run_until(simulation.now + SETTINGS.rebalance_us)
        may_move_values.append(simulation.placement.may_move)
    assert may_move_values[0] is False
    assert may_move_values[-1] is True
    assert may_move_values.index(True) * SETTINGS.rebalance_us >= MIN_LOAD_HISTORY_US - SECOND
    after = Simulation(state=simulation.coordinator.state(), now=simulation.now, number=simulation.coordinator.number)
    after.join("a/2", "b/2")
    after.run_until(after.now + GRACE_US + SETTINGS.restart_us)
    assert after.placement.calls
    assert not after.placement.may_move


def test_of_two_processes_of_a_node_the_one_that_joined_last_holds_its_shards():
    """Guards against shards that stay with the older process, or do not return to it when the newer one is lost."""
    simulation = started_simulation("a/1", "b/1")
    shards_of_a = simulation.leased_shards("a/1")
    simulation.join("a/2")
    simulation.run_until(simulation.now + 1)
    assert simulation.leased_shards("a/2") == shards_of_a
    assert not simulation.leased_shards("a/1")
    simulation.disconnect("a/2")
    simulation.run_until(simulation.now + LEASE_US + 1)
    assert simulation.leased_shards("a/1") == shards_of_a


def test_a_coordinator_that_starts_from_a_table_moves_only_shards_of_nodes_that_do_not_rejoin():
    """Guards against a placement in the grace period, which would move the shards of nodes that rejoin late."""
    first = started_simulation("a/1", "b/1", "c/1")
    state = first.coordinator.state()
    second = Simulation(state=state, holders=first.holders, now=first.now, number=first.coordinator.number)
    second.join("b/1", "d/1")  # c does not rejoin, a rejoins late
    second.run_until(second.now + GRACE_US - 1)
    assert not second.placement.calls
    assert second.coordinator.shards_of("a") == first.coordinator.shards_of("a")
    second.join("a/1")
    second.run_until(second.now + 1)
    table = second.coordinator.state().table
    assert all(table[shard] == row for shard, row in state.table.items() if row != ("c",))
    assert set().union(*map(second.leased_shards, second.live)) == set(range(SHARED_SHARDS))
    assert second.coordinator.state().generation == state.generation + 1


def test_a_late_grant_of_the_previous_service_is_dropped_by_a_holder_with_a_grant_of_the_next():
    """Guards against a revived tenure: the next service's epochs are higher, even if the late grant's number is."""
    first = started_simulation("a/1")
    late = ShardGrant("a/1", 0, first.holders["a/1"].epoch(0), 10**9, FULL_QUOTA, LEASE_US, ())
    state, number = first.coordinator.state(), first.coordinator.number
    second = Simulation(state=state, holders=first.holders, now=first.now, number=number)
    second.join("a/1", "b/1")
    second.run_until(second.now + GRACE_US)
    assert second.holders["a/1"].epoch(0) > late.epoch
    assert not second.holders["a/1"].granted(late, second.now)


def test_the_table_does_not_change_while_no_node_is_present():
    """Guards against an empty table after the loss of all nodes; the first node to join gets all shards."""
    simulation = started_simulation("a/1", "b/1")
    table = simulation.coordinator.state().table
    simulation.disconnect("a/1", "b/1")
    simulation.run_until(simulation.now + 40 * SECOND)
    assert simulation.coordinator.state().table == table
    simulation.join("b/2")
    simulation.run_until(simulation.now + SETTLE_US)
    assert simulation.leased_shards("b/2") == set(range(SHARED_SHARDS))


def test_the_quotas_of_a_shard_on_several_nodes_add_up_to_the_full_quota():
    """Guards against budgets above the allowance: quotas differ by at most one, and each budget is rounded down."""
    simulation = started_simulation("a/1", "b/1", "c/1", replicas=3)
    quotas = [simulation.holders[process].quota(0, simulation.now) for process in ("a/1", "b/1", "c/1")]
    assert sum(quotas) == FULL_QUOTA
    assert max(quotas) - min(quotas) == 1
    simulation.coordinator.set_allowance(12, 3000)
    simulation.run_until(simulation.now + 1)
    assert sum(holder.budget(12, simulation.now) for holder in simulation.holders.values()) == 2998  # each rounds down


def test_a_heavy_destination_moves_to_a_shard_of_its_own_and_back():
    """Guards against an allowance, load or coverage that does not follow the destination to its own shard and back."""
    isolation = StandInIsolation()
    simulation = started_simulation("a/1", "b/1", isolation=isolation)
    simulation.coordinator.set_allowance(5, 700)
    simulation.coordinator.loads_reported({5: 30.0, 17: 2.0}, simulation.now)
    isolation.change = IsolationChange(isolate=(5,), merge=())
    simulation.run_until(32 * SECOND)
    assert isolation.node_load == pytest.approx(sum(isolation.loads.values()) / 2)
    assert simulation.placement.calls[-1][0].keys() == {SHARED_SHARDS, 5}  # loads of 5's own shard, and of 17's home
    (own,) = [process for process in simulation.live if SHARED_SHARDS in simulation.leased_shards(process)]
    assert simulation.holders[own].budget(5, simulation.now) == 700
    assert sum(holder.budget(5, simulation.now) for holder in simulation.holders.values()) == 700
    home = next(node for node in "ab" if 5 in simulation.coordinator.shards_of(node))
    assert 5 in simulation.coordinator.drain_changes()[home]  # its destinations have changed
    assert simulation.coordinator.serves(own[0], 5)
    assert simulation.coordinator.state().isolated == {5: SHARED_SHARDS}
    isolation.change = IsolationChange(isolate=(17,), merge=(5,))  # 17 waits for 5's number, which is still in use
    simulation.run_until(63 * SECOND)
    assert simulation.coordinator.state().isolated == {}
    assert SHARED_SHARDS not in simulation.coordinator.state().table
    assert simulation.holders[f"{home}/1"].budget(5, simulation.now) == 700
    assert SHARED_SHARDS not in simulation.leased_shards(own)
    simulation.run_until(93 * SECOND)
    assert simulation.coordinator.state().isolated == {17: SHARED_SHARDS}


@pytest.mark.parametrize(
    ("wrong", "text"),
    [
        (
            lambda coordinator: coordinator.holder_joined("a", Node("a"), SECOND),
            "holder 'a' is not a process of node 'a'",
        ),
        (
            lambda coordinator: coordinator.holder_joined("b/1", Node("a"), SECOND),
            "holder 'b/1' is not a process of node 'a'",
        ),
        (lambda coordinator: coordinator.holder_disconnected("b/1", SECOND), "unknown holder b/1"),
        (lambda coordinator: coordinator.acknowledged("b/1", 0, 1, SECOND), "unknown holder b/1"),
        (lambda coordinator: coordinator.set_allowance(3, -1), "destination 3: an allowance of -1"),
        (
            lambda coordinator: coordinator.loads_reported({2: 1.0, 3: float("nan")}, SECOND),
            "destination 3: a load of nan calls per second, not a finite number of 0 or more",
        ),
        (
            lambda coordinator: coordinator.loads_reported({2: 1.0, 3: float("inf")}, SECOND),
            "destination 3: a load of inf calls per second, not a finite number of 0 or more",
        ),
        (
            lambda coordinator: coordinator.loads_reported({2: 1.0, 3: -0.1}, SECOND),
            "destination 3: a load of -0.1 calls per second, not a finite number of 0 or more",
        ),
        (lambda coordinator: coordinator.loads_reported({2: 1.0, 3: 10**400}, SECOND), "destination 3: a load of 1000"),
    ],
)
def test_rejected_input_changes_nothing(wrong, text):
    """Guards against a partial update by invalid input: table, leases and loads do not change."""
    simulation = started_simulation("a/1")
    state = simulation.coordinator.state()
    with pytest.raises(AssignmentError, match=text):
        wrong(simulation.coordinator)
    assert simulation.coordinator.state() == state
    simulation.run_until(simulation.now + LEASE_US)
    assert simulation.leased_shards("a/1") == set(range(SHARED_SHARDS))
    assert simulation.holders["a/1"].budget(3, simulation.now) == UNLIMITED
    placements = len(simulation.placement.calls)
    simulation.run_until(simulation.now + SETTINGS.rebalance_us)
    assert [loads for loads, _ in simulation.placement.calls[placements:]] == [{}]


def test_a_state_that_does_not_fit_the_sharding_is_rejected():
    """Guards against a start with isolated destinations or shards that the sharding does not have."""
    state = started_simulation("a/1").coordinator.state()
    with pytest.raises(AssignmentError, match="isolated destinations are not those of the state"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding({5: SHARED_SHARDS}), None, state)
    state.table[77] = ("a",)
    with pytest.raises(AssignmentError, match="shard 77, which is not in the sharding"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding(), None, state)


def test_a_coordinator_that_stepped_down_grants_nothing():
    """Guards against renewals by a service that no longer leads."""
    simulation = started_simulation("a/1")
    simulation.coordinator.step_down()
    assert simulation.coordinator.step(simulation.now + 40 * SECOND) == []
