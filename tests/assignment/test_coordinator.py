"""The coordinator with holders that hear at once: who gets what when processes, nodes and zones come and go."""

from __future__ import annotations

from collections import defaultdict

import pytest

from scalefall.assignment.coordinator import BALANCE_AFTER_US, Coordinator, CoordinatorSettings
from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, Node, ShardGrant
from scalefall.assignment.placement import Plan
from scalefall.assignment.placement_schedule import SETTLE_US
from scalefall.errors import AssignmentError

S = 1_000_000
LEASE, DELAY = 2 * S, 3 * S
GRACE = LEASE + DELAY
COUNT = 12
SETTINGS = CoordinatorSettings(LEASE, DELAY)


class StandInSharding:
    """Destination modulo COUNT; an isolated one has the lowest free number from COUNT on."""

    def __init__(self, isolated=()):
        self.isolated = dict(isolated)

    def shard_of(self, destination):
        return self.isolated.get(destination, destination % COUNT)

    def shards(self):
        return [*range(COUNT), *self.isolated.values()]

    def isolate(self, destination):
        free = next(number for number in range(COUNT, 99) if number not in self.isolated.values())
        return StandInSharding(self.isolated | {destination: free})

    def merge(self, destination):
        return StandInSharding({other: own for other, own in self.isolated.items() if other != destination})


class StandInPlacement:
    """A shard stays on nodes that are there; others go to the nodes with the fewest, `replicas` for each shard.

    A `next_table` that is set is the answer to the next call, whatever its input.
    """

    def __init__(self, replicas=1):
        self.replicas = replicas
        self.next_table = None
        self.calls = []  # (loads by shard, names of the nodes)
        self.may_move = None  # of the last call

    def __call__(self, table, loads, nodes, limits, shards, may_move):
        self.may_move = may_move
        names = [node.name for node in nodes]
        self.calls.append((dict(loads), names))
        if self.next_table is not None:
            table, self.next_table = self.next_table, None
        else:
            table = self.table(table, names, shards)
        return Plan(table, frozenset())

    def table(self, table, names, shards):
        placed = {shard: [name for name in table.get(shard, ()) if name in names] for shard in shards}
        counts = {name: sum(name in row for row in placed.values()) for name in names}
        for row in placed.values():
            while len(row) < min(self.replicas, len(names)):
                row.append(min((name for name in names if name not in row), key=lambda name: (counts[name], name)))
                counts[row[-1]] += 1
        return {shard: tuple(row) for shard, row in placed.items()}


class StandInIsolation:
    """Answers `change`, whatever its input."""

    def __init__(self):
        self.change = IsolationChange(isolate=(), merge=())
        self.loads, self.node_load = None, None  # of the last call

    def __call__(self, loads, sharding, node_load):
        self.loads, self.node_load = loads, node_load
        return self.change


class Site:
    """A coordinator, and holders that get its grants at once and acknowledge them while they can be heard."""

    def __init__(self, state=None, isolation=None, replicas=1, holders=None, now=0, number=0):
        sharding = StandInSharding(state.isolated if state else ())
        self.now, self.placement = now, StandInPlacement(replicas)
        self.coordinator = Coordinator(now, SETTINGS, self.placement, sharding, isolation, state)
        self.coordinator.resume(number)
        self.holders = holders if holders is not None else {}
        self.live, self.sent = set(), defaultdict(int)

    def joins(self, *processes, zone=""):
        for process in processes:
            self.holders.setdefault(process, ShardHolder(lambda destination: destination % COUNT))
            self.live.add(process)
            self.coordinator.holder_joined(process, Node(process.partition("/")[0], "north", zone), self.now)

    def loses(self, *processes):
        for process in processes:
            self.live.discard(process)
            self.coordinator.holder_lost(process, self.now)

    def until(self, end):
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
        return self.holders[process].leased_shards(self.now)


def running(*processes, **more):
    site = Site(**more)
    site.joins(*processes)
    site.until(GRACE + S)
    site.coordinator.drain_changes()
    return site


def test_every_shard_is_leased_once_after_the_grace_period():
    """Nothing is granted in the grace period; afterwards every shard has one holder, renewed once a second."""
    site = Site()
    site.joins("a/1", "b/1", "c/1")
    site.until(GRACE - 1)
    assert not site.sent
    assert len(site.coordinator.shards_of("a")) == 4
    site.until(GRACE)
    assert set().union(*map(site.leased, site.live)) == set(range(COUNT))
    assert all(site.leased(process) == site.coordinator.shards_of(process[0]) for process in site.live)
    site.until(GRACE + 20 * S)
    assert len(site.placement.calls) == 1
    assert set(site.sent.values()) == {4 * 21}


def test_a_restart_moves_nothing_and_waits_for_the_leases_of_the_old_process():
    """A new process of a node gets the node's shards once the old one's leases have run out; nothing is placed."""
    site = running("a/1", "b/1")
    table, mine, asked = site.coordinator.state().table, site.leased("a/1"), len(site.placement.calls)
    site.loses("a/1")
    site.until(site.now + S // 2)
    site.joins("a/2")
    site.until(site.now + 1)
    assert not site.leased("a/2")
    assert site.leased("a/1") == mine
    site.until(site.now + LEASE)
    assert site.leased("a/2") == mine
    assert not site.leased("a/1")
    assert site.coordinator.state().table == table
    assert len(site.placement.calls) == asked
    assert site.coordinator.drain_changes() == {}
    with pytest.raises(AssignmentError, match="unknown holder a/1"):
        site.coordinator.acknowledged("a/1", 0, 1, site.now)


def test_a_process_that_is_cut_off_and_comes_back_goes_on_with_its_tenures():
    """A process that comes back within its leases keeps its epochs; that it is lost twice changes nothing."""
    site = running("a/1", "b/1")
    epochs = {shard: site.holders["a/1"].epoch(shard) for shard in site.leased("a/1")}
    site.loses("a/1")
    site.coordinator.holder_lost("a/1", site.now)  # told again
    site.until(site.now + LEASE * 3 // 5)  # past its renewal, and within its lease
    site.joins("a/1")
    site.until(site.now + LEASE)
    assert {shard: site.holders["a/1"].epoch(shard) for shard in site.leased("a/1")} == epochs


def test_the_loss_of_a_zone_is_one_decision_and_its_shards_go_to_the_others():
    """Two nodes lost shortly after one another are placed together, not by the regular placement between."""
    site = Site()
    site.joins("a/1", "b/1", zone="one")
    site.joins("c/1", "d/1", zone="two")
    first = SETTLE_US + SETTINGS.rebalance_us - SETTINGS.restart_us - SETTLE_US // 4
    site.until(first)  # the regular placement falls between the ends of the two nodes
    asked = len(site.placement.calls)
    site.loses("a/1")
    site.until(first + SETTLE_US // 2)
    site.loses("b/1")
    site.until(first + SETTINGS.restart_us + SETTLE_US - 1)
    assert len(site.placement.calls) == asked
    site.until(first + SETTINGS.restart_us + SETTLE_US)
    assert [names for _, names in site.placement.calls[asked:]] == [["c", "d"]]
    assert site.leased("c/1") | site.leased("d/1") == set(range(COUNT))
    assert not site.coordinator.shards_of("a")
    assert len(site.coordinator.drain_changes()) == 4


def test_a_newcomer_gets_a_shard_when_its_holder_has_acknowledged_and_both_cover_it_meanwhile():
    """A moved shard is withdrawn, acknowledged, and only then granted; until then both nodes cover it."""
    site = running("a/1")
    site.joins("b/1")
    moved = {shard: ("b",) if shard < 6 else ("a",) for shard in range(COUNT)}
    site.placement.next_table = moved
    coordinator, now = site.coordinator, site.now + SETTLE_US
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
    site = running("a/1", "b/1")
    asked, lost_at = len(site.placement.calls), site.now
    site.loses("a/1")
    site.until(lost_at + S)
    site.joins("c/1")
    site.until(lost_at + SETTINGS.restart_us - 1)
    assert len(site.placement.calls) == asked
    site.until(lost_at + SETTINGS.restart_us)
    assert site.placement.calls[asked:] == [({}, ["b", "c"])]


def test_nothing_moves_for_balance_before_loads_have_been_measured_long_enough():
    """A first table is balanced by number; after that, or from a snapshot, loads have to be known for a while."""
    site = running("a/1", "b/1")
    assert site.placement.may_move  # a first table, balanced by number
    begun, seen = site.now, []
    while site.now <= begun + BALANCE_AFTER_US + SETTINGS.rebalance_us:
        site.coordinator.loads_reported({1: 5.0}, site.now)
        site.until(site.now + SETTINGS.rebalance_us)
        seen.append(site.placement.may_move)
    assert seen[0] is False
    assert seen[-1] is True
    assert seen.index(True) * SETTINGS.rebalance_us >= BALANCE_AFTER_US - S
    after = Site(state=site.coordinator.state(), now=site.now, number=site.coordinator.number)
    after.joins("a/2", "b/2")
    after.until(after.now + GRACE + SETTINGS.restart_us)
    assert after.placement.calls
    assert not after.placement.may_move


def test_of_two_processes_of_a_node_the_one_that_joined_last_holds():
    """The newer process gets the shards, and the older one gets them back when the newer is lost."""
    site = running("a/1", "b/1")
    mine = site.leased("a/1")
    site.joins("a/2")
    site.until(site.now + 1)
    assert site.leased("a/2") == mine
    assert not site.leased("a/1")
    site.loses("a/2")
    site.until(site.now + LEASE + 1)
    assert site.leased("a/1") == mine


def test_a_coordinator_that_starts_from_a_table_moves_nothing_of_the_nodes_that_come_back():
    """Nothing is placed in the grace period; only the shards of a node that did not come back move."""
    first = running("a/1", "b/1", "c/1")
    state = first.coordinator.state()
    second = Site(state=state, holders=first.holders, now=first.now, number=first.coordinator.number)
    second.joins("b/1", "d/1")  # c is gone for good, a comes late
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
    second = Site(state=state, holders=first.holders, now=first.now, number=number)
    second.joins("a/1", "b/1")
    second.until(second.now + GRACE)
    assert second.holders["a/1"].epoch(0) > late.epoch
    assert not second.holders["a/1"].granted(late, second.now)


def test_the_table_stays_as_it_is_while_no_node_is_present():
    """Without nodes nothing is placed; the first node that comes back gets everything."""
    site = running("a/1", "b/1")
    table = site.coordinator.state().table
    site.loses("a/1", "b/1")
    site.until(site.now + 40 * S)
    assert site.coordinator.state().table == table
    site.joins("b/2")
    site.until(site.now + SETTLE_US)
    assert site.leased("b/2") == set(range(COUNT))


def test_the_quotas_of_a_shard_on_several_nodes_add_up_to_the_full_quota():
    """Quotas differ by one at most, and each holder's budget is rounded down."""
    site = running("a/1", "b/1", "c/1", replicas=3)
    quotas = [site.holders[process].quota(0, site.now) for process in ("a/1", "b/1", "c/1")]
    assert sum(quotas) == FULL_QUOTA
    assert max(quotas) - min(quotas) == 1
    site.coordinator.set_allowance(12, 3000)
    site.until(site.now + 1)
    assert sum(holder.budget(12, site.now) for holder in site.holders.values()) == 2998  # each rounds down


def test_a_hot_destination_gets_a_shard_of_its_own_and_goes_back():
    """The destination's allowance, load and coverage go with it to its own shard and back."""
    isolation = StandInIsolation()
    site = running("a/1", "b/1", isolation=isolation)
    site.coordinator.set_allowance(5, 700)
    site.coordinator.loads_reported({5: 30.0, 17: 2.0}, site.now)
    isolation.change = IsolationChange(isolate=(5,), merge=())
    site.until(32 * S)
    assert isolation.node_load == pytest.approx(sum(isolation.loads.values()) / 2)
    assert site.placement.calls[-1][0].keys() == {COUNT, 5}  # the load of its own shard, and that of 17 in its home
    (own,) = [process for process in site.live if COUNT in site.leased(process)]
    assert site.holders[own].budget(5, site.now) == 700
    assert sum(holder.budget(5, site.now) for holder in site.holders.values()) == 700
    home = next(node for node in "ab" if 5 in site.coordinator.shards_of(node))
    assert 5 in site.coordinator.drain_changes()[home]  # its destinations are others
    assert site.coordinator.serves(own[0], 5)
    assert site.coordinator.state().isolated == {5: COUNT}
    isolation.change = IsolationChange(
        isolate=(17,), merge=(5,)
    )  # 17 is to have the number that 5 had, which is in use yet
    site.until(63 * S)
    assert site.coordinator.state().isolated == {}
    assert COUNT not in site.coordinator.state().table
    assert site.holders[f"{home}/1"].budget(5, site.now) == 700
    assert COUNT not in site.leased(own)
    site.until(93 * S)
    assert site.coordinator.state().isolated == {17: COUNT}


@pytest.mark.parametrize(
    ("wrong", "text"),
    [
        (lambda coordinator: coordinator.holder_joined("a", Node("a"), S), "holder 'a' is no process of node 'a'"),
        (lambda coordinator: coordinator.holder_joined("b/1", Node("a"), S), "holder 'b/1' is no process of node 'a'"),
        (lambda coordinator: coordinator.holder_lost("b/1", S), "unknown holder b/1"),
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
    site = running("a/1")
    state = site.coordinator.state()
    with pytest.raises(AssignmentError, match=text):
        wrong(site.coordinator)
    assert site.coordinator.state() == state
    site.until(site.now + LEASE)
    assert site.leased("a/1") == set(range(COUNT))
    assert site.holders["a/1"].budget(3, site.now) == UNLIMITED
    placements = len(site.placement.calls)
    site.until(site.now + SETTINGS.rebalance_us)
    assert [loads for loads, _ in site.placement.calls[placements:]] == [{}]  # nothing of a bad report was recorded


def test_a_state_that_does_not_fit_the_sharding_is_rejected():
    """Isolated destinations and shards have to be those of the sharding."""
    state = running("a/1").coordinator.state()
    with pytest.raises(AssignmentError, match="isolated destinations are not those of the state"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding({5: COUNT}), None, state)
    state.table[77] = ("a",)
    with pytest.raises(AssignmentError, match="shard 77, which the sharding has not"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding(), None, state)


def test_a_coordinator_that_stepped_down_grants_nothing():
    """No renewal is sent, however long it takes."""
    site = running("a/1")
    site.coordinator.step_down()
    assert site.coordinator.step(site.now + 40 * S) == []
