"""The coordinator with holders that hear at once: who gets what when processes, nodes and zones come and go."""

from __future__ import annotations

from collections import defaultdict
from types import SimpleNamespace

import pytest

from scalefall.assignment.coordinator import BALANCE_AFTER_US, SETTLE_US, Coordinator, CoordinatorSettings
from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.load_means import AVERAGING_US
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, Node, ShardGrant
from scalefall.errors import AssignmentError

S = 1_000_000
LEASE, DELAY = 2 * S, 3 * S
QUIET = LEASE + DELAY
COUNT = 12
SETTINGS = CoordinatorSettings(LEASE, DELAY, limits=1)


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
    """A shard stays on nodes that are there; others go to the nodes with the fewest. limits: nodes for each shard."""

    def __init__(self):
        self.asked = []

    def __call__(self, table, loads, nodes, limits, shards, may_move):
        self.may_move = may_move
        self.asked.append((dict(loads), [node.name for node in nodes]))
        names = [node.name for node in nodes]
        placed = {shard: [name for name in table.get(shard, ()) if name in names] for shard in shards}
        counts = {name: sum(name in row for row in placed.values()) for name in names}
        for row in placed.values():
            while len(row) < min(limits, len(names)):
                row.append(min((name for name in names if name not in row), key=lambda name: (counts[name], name)))
                counts[row[-1]] += 1
        table = {shard: tuple(row) for shard, row in placed.items()}
        return SimpleNamespace(table=table, moved=frozenset())


class Site:
    """A coordinator, and holders that get its grants at once and acknowledge them while they can be heard."""

    def __init__(self, state=None, isolation=None, settings=SETTINGS, holders=None, now=0, number=0):
        sharding = StandInSharding(state.isolated if state else ())
        self.now, self.place = now, StandInPlacement()
        self.coordinator = Coordinator(now, settings, self.place, sharding, isolation, state)
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

    def held(self, process):
        return self.holders[process].leased_shards(self.now)


def running(*processes, **more):
    site = Site(**more)
    site.joins(*processes)
    site.until(QUIET + S)
    site.coordinator.drain_changes()
    return site


def test_every_shard_is_held_once_after_the_quiet_time():
    site = Site()
    site.joins("a/1", "b/1", "c/1")
    site.until(QUIET - 1)
    assert not site.sent and len(site.coordinator.shards_of("a")) == 4  # known before, for what the node has to load
    site.until(QUIET)
    assert set().union(*map(site.held, site.live)) == set(range(COUNT))
    assert all(site.held(process) == site.coordinator.shards_of(process[0]) for process in site.live)
    site.until(QUIET + 20 * S)
    assert len(site.place.asked) == 1 and set(site.sent.values()) == {4 * 21}  # a renewal a second


def test_a_restart_moves_nothing_and_waits_for_the_leases_of_the_old_process():
    site = running("a/1", "b/1")
    table, mine, asked = site.coordinator.state().table, site.held("a/1"), len(site.place.asked)
    site.loses("a/1")
    site.until(site.now + S // 2)
    site.joins("a/2")
    site.until(site.now + 1)
    assert not site.held("a/2") and site.held("a/1") == mine
    site.until(site.now + LEASE)
    assert site.held("a/2") == mine and not site.held("a/1")
    assert site.coordinator.state().table == table and len(site.place.asked) == asked
    assert site.coordinator.drain_changes() == {}
    with pytest.raises(AssignmentError, match="unknown holder a/1"):
        site.coordinator.acknowledged("a/1", 0, 1, site.now)


def test_a_process_that_is_cut_off_and_comes_back_goes_on_with_its_tenures():
    site = running("a/1", "b/1")
    epochs = {shard: site.holders["a/1"].epoch(shard) for shard in site.held("a/1")}
    site.loses("a/1")
    site.coordinator.holder_lost("a/1", site.now)  # told again
    site.until(site.now + LEASE * 3 // 5)  # past its renewal, and within its lease
    site.joins("a/1")
    site.until(site.now + LEASE)
    assert {shard: site.holders["a/1"].epoch(shard) for shard in site.held("a/1")} == epochs


def test_the_loss_of_a_zone_is_one_decision_and_its_shards_go_to_the_others():
    site = Site()
    site.joins("a/1", "b/1", zone="one")
    site.joins("c/1", "d/1", zone="two")
    first = SETTLE_US + SETTINGS.rebalance_us - SETTINGS.restart_us - SETTLE_US // 4
    site.until(first)  # the regular placement falls between the ends of the two nodes
    asked = len(site.place.asked)
    site.loses("a/1")
    site.until(first + SETTLE_US // 2)
    site.loses("b/1")
    site.until(first + SETTINGS.restart_us + SETTLE_US - 1)
    assert len(site.place.asked) == asked
    site.until(first + SETTINGS.restart_us + SETTLE_US)
    assert [names for _, names in site.place.asked[asked:]] == [["c", "d"]]
    assert site.held("c/1") | site.held("d/1") == set(range(COUNT))
    assert not site.coordinator.shards_of("a") and len(site.coordinator.drain_changes()) == 4


def test_a_newcomer_gets_a_shard_when_its_holder_has_acknowledged_and_both_cover_it_meanwhile():
    site = running("a/1")
    site.joins("b/1")
    moved = {shard: ("b",) if shard < 6 else ("a",) for shard in range(COUNT)}
    site.coordinator._placement = lambda *_: SimpleNamespace(table=moved, moved=frozenset(range(6)))
    coordinator, now = site.coordinator, site.now + SETTLE_US
    withdrawals = [grant for grant in coordinator.step(now) if not grant.quota]
    assert {grant.shard for grant in withdrawals} == set(range(6))
    assert coordinator.serves("a", 3) and coordinator.serves("b", 3) and not coordinator.serves("b", 7)
    assert coordinator.drain_changes() == {"b": frozenset(range(6))}
    for grant in withdrawals:
        coordinator.acknowledged(grant.holder, grant.shard, grant.number, now)
    assert {(grant.holder, grant.shard) for grant in coordinator.step(now)} == {("b/1", shard) for shard in range(6)}
    assert not coordinator.serves("a", 3) and coordinator.drain_changes() == {"a": frozenset(range(6))}


def test_a_replacement_that_comes_while_a_lost_node_may_come_back_is_placed_with_its_loss():
    site = running("a/1", "b/1")
    asked, lost_at = len(site.place.asked), site.now
    site.loses("a/1")
    site.until(lost_at + S)
    site.joins("c/1")
    site.until(lost_at + SETTINGS.restart_us - 1)
    assert len(site.place.asked) == asked
    site.until(lost_at + SETTINGS.restart_us)
    assert site.place.asked[asked:] == [({}, ["b", "c"])]


def test_nothing_moves_for_balance_before_loads_have_been_measured_long_enough():
    site = running("a/1", "b/1")
    assert site.place.may_move  # a first table, balanced by number
    begun, seen = site.now, []
    while site.now <= begun + BALANCE_AFTER_US + SETTINGS.rebalance_us:
        site.coordinator.loads_reported({1: 5.0}, site.now)
        site.until(site.now + SETTINGS.rebalance_us)
        seen.append(site.place.may_move)
    assert seen[0] is False and seen[-1] is True and seen.index(True) * SETTINGS.rebalance_us >= BALANCE_AFTER_US - S
    after = Site(state=site.coordinator.state(), now=site.now, number=site.coordinator.number)
    after.joins("a/2", "b/2")
    after.until(after.now + QUIET + SETTINGS.restart_us)
    assert after.place.asked and not after.place.may_move


def test_of_two_processes_of_a_node_the_one_that_joined_last_holds():
    site = running("a/1", "b/1")
    mine = site.held("a/1")
    site.joins("a/2")
    site.until(site.now + 1)
    assert site.held("a/2") == mine and not site.held("a/1")
    site.loses("a/2")
    site.until(site.now + LEASE + 1)
    assert site.held("a/1") == mine


def test_a_coordinator_that_starts_from_a_table_moves_nothing_of_the_nodes_that_come_back():
    first = running("a/1", "b/1", "c/1")
    state = first.coordinator.state()
    second = Site(state=state, holders=first.holders, now=first.now, number=first.coordinator.number)
    second.joins("b/1", "d/1")  # c is gone for good, a comes late
    second.until(second.now + QUIET - 1)
    assert not second.place.asked and second.coordinator.shards_of("a") == first.coordinator.shards_of("a")
    second.joins("a/1")
    second.until(second.now + 1)
    table = second.coordinator.state().table
    assert all(table[shard] == row for shard, row in state.table.items() if row != ("c",))
    assert set().union(*map(second.held, second.live)) == set(range(COUNT))
    assert second.coordinator.state().generation == state.generation + 1


def test_a_grant_of_the_service_before_is_dropped_by_a_holder_that_has_one_of_the_next():
    first = running("a/1")
    late = ShardGrant("a/1", 0, first.holders["a/1"].epoch(0), 10**9, FULL_QUOTA, LEASE, ())  # whatever its number
    state, number = first.coordinator.state(), first.coordinator.number
    second = Site(state=state, holders=first.holders, now=first.now, number=number)
    second.joins("a/1", "b/1")
    second.until(second.now + QUIET)
    assert second.holders["a/1"].epoch(0) > late.epoch
    assert not second.holders["a/1"].granted(late, second.now)


def test_no_node_left_keeps_the_table():
    site = running("a/1", "b/1")
    table = site.coordinator.state().table
    site.loses("a/1", "b/1")
    site.until(site.now + 40 * S)
    assert site.coordinator.state().table == table
    site.joins("b/2")
    site.until(site.now + SETTLE_US)
    assert site.held("b/2") == set(range(COUNT))


def test_a_shard_on_several_nodes_is_split_whole():
    site = running("a/1", "b/1", "c/1", settings=CoordinatorSettings(LEASE, DELAY, limits=3))
    quotas = [site.holders[process].quota(0, site.now) for process in ("a/1", "b/1", "c/1")]
    assert sum(quotas) == FULL_QUOTA and max(quotas) - min(quotas) == 1
    site.coordinator.set_allowance(12, 3000)
    site.until(site.now + 1)
    assert sum(holder.budget(12, site.now) for holder in site.holders.values()) == 2998  # each rounds down


def test_a_hot_destination_gets_a_shard_of_its_own_and_goes_back():
    wanted = {"isolate": [], "merge": []}
    seen = []

    def isolation(loads, sharding, mean):
        seen.append((loads, mean))
        return wanted["isolate"], wanted["merge"]

    site = running("a/1", "b/1", isolation=isolation)
    site.coordinator.set_allowance(5, 700)
    site.coordinator.loads_reported({5: 30.0, 17: 2.0}, site.now)
    wanted["isolate"] = [5]
    site.until(32 * S)
    assert seen[-1][1] == pytest.approx(sum(seen[-1][0].values()) / 2)
    assert site.place.asked[-1][0].keys() == {COUNT, 5}  # the load of its own shard, and that of 17 in its home
    (own,) = [process for process in site.live if COUNT in site.held(process)]
    assert site.holders[own].budget(5, site.now) == 700
    assert sum(holder.budget(5, site.now) for holder in site.holders.values()) == 700
    home = next(node for node in "ab" if 5 in site.coordinator.shards_of(node))
    assert 5 in site.coordinator.drain_changes()[home]  # its destinations are others
    assert site.coordinator.serves(own[0], 5) and site.coordinator.state().isolated == {5: COUNT}
    wanted.update(isolate=[17], merge=[5])  # 17 is to have the number that 5 had, which is in use yet
    site.until(63 * S)
    assert site.coordinator.state().isolated == {} and COUNT not in site.coordinator.state().table
    assert site.holders[f"{home}/1"].budget(5, site.now) == 700 and COUNT not in site.held(own)
    site.until(93 * S)
    assert site.coordinator.state().isolated == {17: COUNT}


def test_loads_are_a_decaying_mean_and_idle_destinations_are_forgotten():
    site = running("a/1")
    loads = site.coordinator._loads
    for _ in range(30):
        site.now += 10 * S
        site.coordinator.loads_reported({1: 50.0, 2: 8.0}, site.now)
    assert loads.means(site.now) == pytest.approx({1: 50.0, 2: 8.0})
    site.coordinator.loads_reported({1: 50.0}, site.now + AVERAGING_US)
    assert loads.means(site.now + AVERAGING_US) == pytest.approx({1: 50.0, 2: 8.0 / 2.718281828})
    assert loads.means(site.now + 8 * AVERAGING_US).keys() == {1, 2}
    assert len(loads.means(site.now + 30 * AVERAGING_US)) == 0 == len(loads)


@pytest.mark.parametrize(
    "wrong, text",
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
def test_input_that_cannot_be_taken_changes_nothing(wrong, text):
    site = running("a/1")
    state = site.coordinator.state()
    with pytest.raises(AssignmentError, match=text):
        wrong(site.coordinator)
    assert site.coordinator.state() == state and not site.coordinator._loads.means(site.now)
    site.until(site.now + LEASE)
    assert site.held("a/1") == set(range(COUNT)) and site.holders["a/1"].budget(3, site.now) == UNLIMITED


def test_a_state_that_does_not_fit_the_sharding_is_refused():
    state = running("a/1").coordinator.state()
    with pytest.raises(AssignmentError, match="isolated destinations are not those of the state"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding({5: COUNT}), None, state)
    state.table[77] = ("a",)
    with pytest.raises(AssignmentError, match="shard 77, which the sharding has not"):
        Coordinator(0, SETTINGS, StandInPlacement(), StandInSharding(), None, state)


def test_who_stands_by_says_nothing():
    site = running("a/1")
    site.coordinator.step_down()
    assert site.coordinator.step(site.now + 40 * S) == []
