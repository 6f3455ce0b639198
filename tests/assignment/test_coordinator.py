"""The coordinator with holders that hear at once: who gets what when processes, nodes and zones come and go."""

from __future__ import annotations

from collections import defaultdict

import pytest
from coordinator_stand_ins import COUNT, StandInIsolation, StandInPlacement, StandInSharding

from scalefall.assignment.coordinator import MIN_LOAD_HISTORY_US, Coordinator, CoordinatorSettings
from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, Node, ShardGrant
from scalefall.assignment.placement_schedule import SETTLE_US
from scalefall.errors import AssignmentError

S = 1_000_000
LEASE, DELAY = 2 * S, 3 * S
GRACE = LEASE + DELAY
SETTINGS = CoordinatorSettings(LEASE, DELAY)


class Simulation:
    """A coordinator, and holders that get its grants at once and acknowledge them while they can be heard."""

    def __init__(self, state=None, isolation=None, replicas=1, holders=None, now=0, number=0):
        """Start a coordinator, with the holders of an earlier simulation if they are given."""
        sharding = StandInSharding(state.isolated if state else ())
        self.now, self.placement = now, StandInPlacement(replicas)
        self.coordinator = Coordinator(now, SETTINGS, self.placement, sharding, isolation, state)
        self.coordinator.resume(number)
        self.holders = holders if holders is not None else {}
        self.live, self.sent = set(), defaultdict(int)

    def joins(self, *processes, zone=""):
        """Let processes be heard, for the first time or again."""
        for process in processes:
            self.holders.setdefault(process, ShardHolder(lambda destination: destination % COUNT))
            self.live.add(process)
            self.coordinator.holder_joined(process, Node(process.partition("/")[0], "north", zone), self.now)

    def loses(self, *processes):
        """Let processes be heard no more; they use their leases on."""
        for process in processes:
            self.live.discard(process)
            self.coordinator.holder_disconnected(process, self.now)

    def until(self, end):
        """Step whenever it is due; no shard is ever granted more than once."""
        while True:
            for grant in self.coordinator.step(self.now):
                assert grant.holder in self.live
                self.sent[grant.holder] += 1
                assert self.holders[grant.holder].granted(grant, self.now)
                assert self.coordinator.acknowledged(grant.holder, grant.shard, grant.number, self.now)
            for shard in range(COUNT + 3):
                assert sum(holder.quota(shard, self.now) for holder in self.holders.values()) <= FULL_QUOTA
            at = max(self.now + 1, self.coordinator.next_deadline(self.now))
            if at > end:
                break
            self.now = at
        self.now = end

    def leased(self, process):
        """Return the shards that a process has a lease on now."""
        return self.holders[process].leased_shards(self.now)


def running(*processes, **more):
    """Return a simulation past its grace period."""
    simulation = Simulation(**more)
    simulation.joins(*processes)
    simulation.until(GRACE + S)
    simulation.coordinator.drain_changes()
    return simulation


def test_every_shard_is_leased_once_after_the_grace_period():
    """Nothing is granted in the grace period; afterwards every shard has one holder, renewed once a second."""
    simulation = Simulation()
    simulation.joins("a/1", "b/1", "c/1")
    simulation.until(GRACE - 1)
    assert not simulation.sent
    assert len(simulation.coordinator.shards_of("a")) == 4
    simulation.until(GRACE)
    assert set().union(*map(simulation.leased, simulation.live)) == set(range(COUNT))
    assert all(
        simulation.leased(process) == simulation.coordinator.shards_of(process[0]) for process in simulation.live
    )
    simulation.until(GRACE + 20 * S)
    assert len(simulation.placement.calls) == 1
    assert set(simulation.sent.values()) == {4 * 21}


def test_a_restart_moves_nothing_and_waits_for_the_leases_of_the_old_process():
    """A new process of a node gets the node's shards once the old one's leases have run out; nothing is placed."""
    simulation = running("a/1", "b/1")
    table, mine, asked = simulation.coordinator.state().table, simulation.leased("a/1"), len(simulation.placement.calls)
    simulation.loses("a/1")
    simulation.until(simulation.now + S // 2)
    simulation.joins("a/2")
    simulation.until(simulation.now + 1)
    assert not simulation.leased("a/2")
    assert simulation.leased("a/1") == mine
    simulation.until(simulation.now + LEASE)
    assert simulation.leased("a/2") == mine
    assert not simulation.leased("a/1")
    assert simulation.coordinator.state().table == table
    assert len(simulation.placement.calls) == asked
    assert simulation.coordinator.drain_changes() == {}
    with pytest.raises(AssignmentError, match="unknown holder a/1"):
        simulation.coordinator.acknowledged("a/1", 0, 1, simulation.now)


def test_a_process_that_is_cut_off_and_comes_back_goes_on_with_its_tenures():
    """A process that comes back within its leases keeps its epochs; that it is lost twice changes nothing."""
    simulation = running("a/1", "b/1")
    epochs = {shard: simulation.holders["a/1"].epoch(shard) for shard in simulation.leased("a/1")}
    simulation.loses("a/1")
    simulation.coordinator.holder_disconnected("a/1", simulation.now)  # repeated
    simulation.until(simulation.now + LEASE * 3 // 5)  # past its renewal, and within its lease
    simulation.joins("a/1")
    simulation.until(simulation.now + LEASE)
    assert {shard: simulation.holders["a/1"].epoch(shard) for shard in simulation.leased("a/1")} == epochs


def test_the_loss_of_a_zone_is_one_decision_and_its_shards_go_to_the_others():
    """Two nodes lost shortly after one another are placed together, not by the regular placement between."""
    simulation = Simulation()
    simulation.joins("a/1", "b/1", zone="one")
    simulation.joins("c/1", "d/1", zone="two")
    first = SETTLE_US + SETTINGS.rebalance_us - SETTINGS.restart_us - SETTLE_US // 4
    simulation.until(first)  # the regular placement falls between the ends of the two nodes
    asked = len(simulation.placement.calls)
    simulation.loses("a/1")
    simulation.until(first + SETTLE_US // 2)
    simulation.loses("b/1")
    simulation.until(first + SETTINGS.restart_us + SETTLE_US - 1)
    assert len(simulation.placement.calls) == asked
    simulation.until(first + SETTINGS.restart_us + SETTLE_US)
    assert [names for _, names in simulation.placement.calls[asked:]] == [["c", "d"]]
    assert simulation.leased("c/1") | simulation.leased("d/1") == set(range(COUNT))
    assert not simulation.coordinator.shards_of("a")
    assert len(simulation.coordinator.drain_changes()) == 4


def test_a_newcomer_gets_a_shard_when_its_holder_has_acknowledged_and_both_cover_it_meanwhile():
    """A moved shard is withdrawn, acknowledged, and only then granted; until then both nodes cover it."""
    simulation = running("a/1")
    simulation.joins("b/1")
    moved = {shard: ("b",) if shard < 6 else ("a",) for shard in range(COUNT)}
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


def test_a_replacement_that_comes_while_a_lost_node_may_come_back_is_placed_with_its_loss():
    """A node that comes while another may come back is placed when the other is removed."""
    simulation = running("a/1", "b/1")
    asked, lost_at = len(simulation.placement.calls), simulation.now
    simulation.loses("a/1")
    simulation.until(lost_at + S)
    simulation.joins("c/1")
    simulation.until(lost_at + SETTINGS.restart_us - 1)
    assert len(simulation.placement.calls) == asked
    simulation.until(lost_at + SETTINGS.restart_us)
    assert simulation.placement.calls[asked:] == [({}, ["b", "c"])]


def test_nothing_moves_for_balance_before_loads_have_been_measured_long_enough():
    """A first table is balanced by number; after that, or from a snapshot, loads have to be known for a while."""
    simulation = running("a/1", "b/1")
    assert simulation.placement.may_move  # a first table, balanced by number
    begun, seen = simulation.now, []
    while simulation.now <= begun + MIN_LOAD_HISTORY_US + SETTINGS.rebalance_us:
        simulation.coordinator.loads_reported({1: 5.0}, simulation.now)
        simulation.until(simulation.now + SETTINGS.rebalance_us)
        seen.append(simulation.placement.may_move)
    assert seen[0] is False
    assert seen[-1] is True
    assert seen.index(True) * SETTINGS.rebalance_us >= MIN_LOAD_HISTORY_US - S
    after = Simulation(state=simulation.coordinator.state(), now=simulation.now, number=simulation.coordinator.number)
    after.joins("a/2", "b/2")
    after.until(after.now + GRACE + SETTINGS.restart_us)
    assert after.placement.calls
    assert not after.placement.may_move


def test_of_two_processes_of_a_node_the_one_that_joined_last_holds():
    """The newer process gets the shards, and the older one gets them back when the newer is lost."""
    simulation = running("a/1", "b/1")
    mine = simulation.leased("a/1")
    simulation.joins("a/2")
    simulation.until(simulation.now + 1)
    assert simulation.leased("a/2") == mine
    assert not simulation.leased("a/1")
    simulation.loses("a/2")
    simulation.until(simulation.now + LEASE + 1)
    assert simulation.leased("a/1") == mine


def test_a_coordinator_that_starts_from_a_table_moves_nothing_of_the_nodes_that_come_back():
    """Nothing is placed in the grace period; only the shards of a node that did not come back move."""
    first = running("a/1", "b/1", "c/1")
    state = first.coordinator.state()
    second = Simulation(state=state, holders=first.holders, now=first.now, number=first.coordinator.number)
    second.joins("b/1", "d/1")  # c does not come back, a comes late
    second.until(second.now + GRACE - 1)
    assert not second.placement.calls
    assert second.coordinator.shards_of("a") == first.coordinator.shards_of("a")
    second.joins("a/1")
    second.until(second.now + 1)
    table = second.coordinator.state().table
    assert all(table[shard] == row for shard, row in state.table.items() if row != ("c",))
    assert set().union(*map(second.leased, second.live)) == set(range(COUNT))
    assert second.coordinator.state().generation == state.generation + 1


def test_a_grant_of_the_service_before_is_dropped_by_a_holder_that_has_one_of_the_next():
    """The epochs of the next service are higher, whatever the number of a late grant is."""
    first = running("a/1")
    late = ShardGrant("a/1", 0, first.holders["a/1"].epoch(0), 10**9, FULL_QUOTA, LEASE, ())  # whatever its number
    state, number = first.coordinator.state(), first.coordinator.number
    second = Simulation(state=state, holders=first.holders, now=first.now, number=number)
    second.joins("a/1", "b/1")
    second.until(second.now + GRACE)
    assert second.holders["a/1"].epoch(0) > late.epoch
    assert not second.holders["a/1"].granted(late, second.now)


def test_the_table_stays_as_it_is_while_no_node_is_present():
    """Without nodes nothing is placed; the first node that comes back gets everything."""
    simulation = running("a/1", "b/1")
    table = simulation.coordinator.state().table
    simulation.loses("a/1", "b/1")
    simulation.until(simulation.now + 40 * S)
    assert simulation.coordinator.state().table == table
    simulation.joins("b/2")
    simulation.until(simulation.now + SETTLE_US)
    assert simulation.leased("b/2") == set(range(COUNT))


def test_the_quotas_of_a_shard_on_several_nodes_add_up_to_the_full_quota():
    """Quotas differ by one at most, and each holder's budget is rounded down."""
    simulation = running("a/1", "b/1", "c/1", replicas=3)
    quotas = [simulation.holders[process].quota(0, simulation.now) for process in ("a/1", "b/1", "c/1")]
    assert sum(quotas) == FULL_QUOTA
    assert max(quotas) - min(quotas) == 1
    simulation.coordinator.set_allowance(12, 3000)
    simulation.until(simulation.now + 1)
    assert sum(holder.budget(12, simulation.now) for holder in simulation.holders.values()) == 2998  # each rounds down


def test_a_hot_destination_gets_a_shard_of_its_own_and_goes_back():
    """The destination's allowance, load and coverage go with it to its own shard and back."""
    isolation = StandInIsolation()
    simulation = running("a/1", "b/1", isolation=isolation)
    simulation.coordinator.set_allowance(5, 700)
    simulation.coordinator.loads_reported({5: 30.0, 17: 2.0}, simulation.now)
    isolation.change = IsolationChange(isolate=(5,), merge=())
    simulation.until(32 * S)
    assert isolation.node_load == pytest.approx(sum(isolation.loads.values()) / 2)
    assert simulation.placement.calls[-1][0].keys() == {
        COUNT,
        5,
    }  # the load of its own shard, and that of 17 in its home
    (own,) = [process for process in simulation.live if COUNT in simulation.leased(process)]
    assert simulation.holders[own].budget(5, simulation.now) == 700
    assert sum(holder.budget(5, simulation.now) for holder in simulation.holders.values()) == 700
    home = next(node for node in "ab" if 5 in simulation.coordinator.shards_of(node))
    assert 5 in simulation.coordinator.drain_changes()[home]  # its destinations are others
    assert simulation.coordinator.serves(own[0], 5)
    assert simulation.coordinator.state().isolated == {5: COUNT}
    isolation.change = IsolationChange(
        isolate=(17,), merge=(5,)
    )  # 17 is to have the number that 5 had, which is in use yet
    simulation.until(63 * S)
    assert simulation.coordinator.state().isolated == {}
    assert COUNT not in simulation.coordinator.state().table
    assert simulation.holders[f"{home}/1"].budget(5, simulation.now) == 700
    assert COUNT not in simulation.leased(own)
    simulation.until(93 * S)
    assert simulation.coordinator.state().isolated == {17: COUNT}


@pytest.mark.parametrize(
    ("wrong", "text"),
    [
        (lambda coordinator: coordinator.holder_joined("a", Node("a"), S), "holder 'a' is not a process of node 'a'"),
        (
            lambda coordinator: coordinator.holder_joined("b/1", Node("a"), S),
            "holder 'b/1' is not a process of node 'a'",
        ),
        (lambda coordinator: coordinator.holder_disconnected("b/1", S), "unknown holder b/1"),
        (lambda coordinator: coordinator.acknowledged("b/1", 0, 1, S), "unknown holder b/1"),
        (lambda coordinator: coordinator.set_allowance(3, -1), "destination 3: an allowance of -1"),
        (lambda coordinator: coordinator.loads_reported({2: 1.0, 3: float("nan")}, S), "destination 3: a load of nan"),
        (lambda coordinator: coordinator.loads_reported({2: 1.0, 3: float("inf")}, S), "destination 3: a load of inf"),
        (lambda coordinator: coordinator.loads_reported({2: 1.0, 3: -0.1}, S), "destination 3: a load of -0.1"),
        (lambda coordinator: coordinator.loads_reported({2: 1.0, 3: 10**400}, S), "destination 3: a load of 1000"),
    ],
)
def test_rejected_input_changes_nothing(wrong, text):
    """Each error names what is wrong; table, leases and loads stay as they were."""
    simulation = running("a/1")
    state = simulation.coordinator.state()
    with pytest.raises(AssignmentError, match=text):
        wrong(simulation.coordinator)
    assert simulation.coordinator.state() == state
    simulation.until(simulation.now + LEASE)
    assert simulation.leased("a/1") == set(range(COUNT))
    assert simulation.holders["a/1"].budget(3, simulation.now) == UNLIMITED
    placements = len(simulation.placement.calls)
    simulation.until(simulation.now + SETTINGS.rebalance_us)
    assert [loads for loads, _ in simulation.placement.calls[placements:]] == [
        {}
    ]  # nothing of a bad report was recorded


def test_a_state_that_does_not_fit_the_sharding_is_rejected():
    """Isolated destinations and shards have to be those of the sharding."""
    state = running("a/1").coordinator.state()
    with pytest.raises(AssignmentError, match="isolated destinations are not those of the state"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding({5: COUNT}), None, state)
    state.table[77] = ("a",)
    with pytest.raises(AssignmentError, match="shard 77, which is not in the sharding"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding(), None, state)


def test_a_coordinator_that_stepped_down_grants_nothing():
    """No renewal is sent, however long it takes."""
    simulation = running("a/1")
    simulation.coordinator.step_down()
    assert simulation.coordinator.step(simulation.now + 40 * S) == []
