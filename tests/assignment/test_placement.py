"""Placement: the holders of shards after nodes join and leave, and loads change."""

from __future__ import annotations

import random
from math import inf, nan

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalefall.assignment.model import Node
from scalefall.assignment.placement import IDLE_FRACTION, PlacementLimits, place
from scalefall.errors import AssignmentError

# Five nodes in each of 2 x 4 zones.
FLEET = [Node(f"n{number:02}", f"r{number % 2}", f"z{number // 2 % 4}") for number in range(40)]
# Four nodes in each of 2 x 2 zones: shards have more replicas than there are zones.
SMALL_FLEET = [Node(f"n{number:02}", f"r{number % 2}", f"z{number // 2 % 2}") for number in range(16)]
TOLERANCE = 1e-6  # placement rounds weights to integers


def drawn_loads(count, seed, sigma=0.5):
    """Return random loads of shards."""
    draw = random.Random(seed)
    return {shard: draw.lognormvariate(0, sigma) for shard in range(count)}


def weights(shards, loads):
    """Return the load of each shard; one without a measured load counts IDLE_FRACTION of the mean."""
    idle = sum(loads.values()) / len(shards) * IDLE_FRACTION if loads else 1.0
    return {shard: loads.get(shard, idle) for shard in shards}


def node_loads(table, loads, nodes):
    """Return the load of each node in a table."""
    found = dict.fromkeys((node.name for node in nodes), 0.0)
    for shard, weight in weights(table, loads).items():
        for name in table[shard]:
            found[name] += weight / len(table[shard])
    return found


def check(plan, loads, nodes, limits, shards):
    """Check that holders are on different nodes, in different zones and below the cap as far as capacity permits."""
    at = {node.name: node for node in nodes}
    found = node_loads(plan.table, loads, nodes)
    cap = sum(found.values()) / len(nodes) * limits.bound
    assert sorted(plan.table) == sorted(shards)
    assert plan.load_ratio == pytest.approx(max(found.values()) / cap * limits.bound, rel=1e-3)
    for shard, holders in plan.table.items():
        holder_load = weights(shards, loads)[shard] / len(holders)
        assert 1 <= len(holders) == len(set(holders))
        assert set(holders) <= set(at)
        assert (
            not limits.replica_load
            or loads.get(shard, 0) / len(holders) <= limits.replica_load
            or len(holders) == len(nodes)
        )
        zones = [(at[name].region, at[name].zone) for name in holders]
        if len(set(zones)) < len(zones):
            free = [node for node in nodes if node.region == zones[0][0] and (node.region, node.zone) not in zones]
            assert all(found[node.name] + holder_load > cap * (1 - TOLERANCE) for node in free), (shard, holders)
        if len(holders) == 1 and found[holders[0]] > cap * (1 + TOLERANCE):
            assert min(found.values()) + holder_load > cap * (1 - TOLERANCE), (shard, holders)


@st.composite
def histories(draw):
    """Return limits, shards, a few steps of (node numbers, loads by shard), and a random source."""
    limits = PlacementLimits(draw(st.sampled_from([1.0, 1.1, 1.25, 2.0])), draw(st.sampled_from([0, 0.5, 3.0])))
    shards = range(draw(st.integers(1, 60)))
    load = st.sampled_from([1e-9, 0.2, 1.0, 1.1, 1.5, 2.0, 40.0])
    step = st.tuples(st.sets(st.sampled_from(range(16)), max_size=12), st.dictionaries(st.sampled_from(shards), load))
    return limits, shards, draw(st.lists(step, min_size=1, max_size=4)), draw(st.randoms(use_true_random=False))


@given(histories())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_any_history_gives_valid_and_idempotent_placements(history):
    """Guards against moves in a second placement of the same input, and against dependence on the order of nodes."""
    limits, shards, steps, shuffle = history
    table = {}
    for numbers, loads in steps:
        nodes = [SMALL_FLEET[number] for number in sorted(numbers)]
        plan = place(table, loads, nodes, limits, shards, former_nodes=SMALL_FLEET)
        if nodes:
            check(plan, loads, nodes, limits, shards)
        changed = {
            shard for shard in {*table, *plan.table} if set(table.get(shard, ())) != set(plan.table.get(shard, ()))
        }
        assert plan.moved == changed
        assert plan.forced <= changed
        assert place(plan.table, loads, nodes, limits, shards, former_nodes=SMALL_FLEET).moved == frozenset()
        shuffle.shuffle(nodes)
        assert place(table, loads, nodes, limits, shards, former_nodes=SMALL_FLEET).table == plan.table
        table = plan.table


def test_no_shard_moves_while_loads_are_within_the_bound():
    """Guards against moves caused by noise of 10 % in the loads."""
    loads = drawn_loads(640, 1)
    first = place({}, loads, FLEET, PlacementLimits(), range(640))
    draw = random.Random(2)
    noisy = {shard: load * draw.uniform(0.9, 1.1) for shard, load in loads.items()}
    found = node_loads(first.table, noisy, FLEET).values()
    mean = sum(found) / 40
    assert mean / 1.25 < min(found)
    assert max(found) < mean * 1.25
    assert place(first.table, noisy, FLEET, PlacementLimits(), range(640)).table == first.table


def test_a_lost_zone_is_spread_over_its_region_and_nothing_else_moves():
    """Guards against shards of a lost zone that crowd a few nodes, or leave the region."""
    loads = drawn_loads(1_200, 3)
    before = place({}, loads, FLEET, PlacementLimits(), range(1_200)).table
    left = [node for node in FLEET if (node.region, node.zone) != ("r1", "z2")]
    alive = {node.name for node in left}
    plan = place(before, loads, left, PlacementLimits(), range(1_200), former_nodes=FLEET)
    lost = {shard for shard, (name,) in before.items() if name not in alive}
    assert plan.moved == plan.forced == lost
    receivers = [plan.table[shard][0] for shard in lost]
    region = [node.name for node in left if node.region == "r1"]
    assert set(receivers) == set(region)
    assert max(map(receivers.count, region)) <= 2 * len(lost) / len(region)
    found = node_loads(plan.table, loads, left)
    assert max(found[name] for name in region) <= 1.05 * sum(found[name] for name in region) / len(region)


def test_another_region_is_used_only_when_the_region_has_no_node_left():
    """With one node of the region left, its shards are placed there; without any, the other region is used evenly."""
    loads = drawn_loads(400, 4)
    before = place({}, loads, FLEET, PlacementLimits(), range(400)).table
    only = [node for node in FLEET if node.region == "r0"]
    one = [*only, FLEET[1]]  # one node of r1: lost shards of r1 are placed there, and leave it only for balance
    there = {shard for shard, (name,) in before.items() if int(name[1:]) % 2}
    unmoved = place(before, loads, one, PlacementLimits(), range(400), may_move=False, former_nodes=FLEET).table
    assert {shard for shard, holders in unmoved.items() if holders == ("n01",)} == there
    none = place(before, loads, only, PlacementLimits(), range(400), former_nodes=FLEET)
    assert none.moved == there
    assert none.load_ratio < 1.05


def test_a_new_node_is_filled_from_its_region_up_to_the_lower_bound():
    """Guards against more moves than the bound requires, and against other nodes that fall below it."""
    loads = drawn_loads(1_200, 5)
    before = place({}, loads, FLEET[:-1], PlacementLimits(), range(1_200)).table
    plan = place(before, loads, FLEET, PlacementLimits(), range(1_200))
    found = node_loads(plan.table, loads, FLEET)
    mean = sum(loads.values()) / 40
    assert {plan.table[shard] for shard in plan.moved} == {("n39",)}
    assert mean / 1.25 <= found["n39"] <= mean / 1.25 + 0.1 * mean
    assert all(int(before[shard][0][1:]) % 2 for shard in plan.moved)  # from its own region, which had enough load
    assert min(found.values()) >= mean / 1.25 * (1 - TOLERANCE)


def test_a_heavy_shard_has_replicas_in_all_zones_and_removes_them_late():
    """Guards against noise that adds and removes holders: they are removed only when three quarters suffice."""
    loads = {**drawn_loads(400, 6), 400: 100.0}
    limits = PlacementLimits(1.25, 6.0)

    def holders(table, load):
        return place(table, {**loads, 400: load}, FLEET, limits, range(401)).table

    table = holders({}, 100.0)
    assert len(table[400]) == 17  # ceil(100 / 6)
    assert len({(FLEET[int(name[1:])].region, FLEET[int(name[1:])].zone) for name in table[400]}) == 8
    assert len(holders(table, 103.0)[400]) == 18
    assert holders(table, 79.0)[400] == table[400]  # 14 of 17 suffice, more than three quarters: all stay
    assert len(holders(table, 70.0)[400]) == 12  # 12 of 17 suffice, fewer than three quarters: the rest are removed
    unmeasured = place(table, drawn_loads(400, 6), FLEET, limits, range(401)).table
    assert unmeasured[400] == table[400]


@pytest.mark.parametrize("present", [(), ("n1",), ("n1", "n2")])
def test_replicas_are_placed_in_different_zones_or_moved_there(present):
    """Guards against replicas in one zone while another has capacity; at first 0, 1 or 2 of them are in zone b."""
    nodes = [Node("n1", "r", "b"), Node("n2", "r", "b"), Node("n3", "r", "b"), Node("n4", "r", "a")]
    loads, limits = {shard: 1.0 for shard in range(1, 13)} | {0: 2.0}, PlacementLimits(1.25, 1.0)
    before = {0: present}
    plan = place(before, loads, nodes, limits, range(13), may_move=len(present) > 1)
    assert plan.table[0][0] == "n1"
    assert plan.table[0][1:] == ("n4",)


def test_balance_does_not_bring_replicas_into_one_zone():
    """Another shard moves although the replicated one is the smallest that suffices."""
    nodes = [Node("n1", "r", "a"), Node("n2", "r", "a"), Node("n3", "r", "b")]
    table = {0: ("n1", "n3"), 1: ("n3",), 2: ("n3",), 3: ("n1",), 4: ("n2",)}
    loads = {0: 3.0, 1: 1.9, 2: 1.95, 3: 1.5, 4: 1.9}
    plan = place(table, loads, nodes, PlacementLimits(1.2, 2.0), range(5))
    assert plan.moved == {1}
    assert plan.table[1] == ("n2",)


def moved(before, loads, nodes, bound):
    """Return the new node of each shard that moves; `before` lists the present node of each shard."""
    table = {shard: (name,) for shard, name in enumerate(before)}
    plan = place(table, dict(enumerate(loads)), nodes, PlacementLimits(bound), range(len(before)))
    return {shard: plan.table[shard][0] for shard in plan.moved}


def test_an_overloaded_node_offloads_the_smallest_shard_that_suffices_within_its_region():
    """The other region is used only if its own has no spare capacity."""
    nodes = [Node("n1", "r0"), Node("n2", "r0"), Node("n3", "r1")]
    before = ["n1", "n1", "n1", "n2", "n3"]
    assert moved(before, [1.0, 2.0, 3.0, 4.0, 3.9], nodes, 1.2) == {
        0: "n2"
    }  # n3 has less load, but is in the other region
    assert moved(before, [1.2, 2.0, 3.0, 5.0, 3.9], nodes, 1.2) == {0: "n3"}  # n2 has no spare capacity


def test_shards_too_heavy_for_the_bound_are_still_separated():
    """A move that leaves a node above the bound is made if it lowers the larger of the two loads."""
    nodes = [Node(f"n{number}") for number in range(4)]
    assert moved(["n0", "n0", "n1", "n2", "n3"], [10.0, 11.0, 1.0, 1.0, 1.0], nodes, 1.25) == {1: "n1", 2: "n2"}


def test_no_shard_moves_if_its_node_would_fall_below_the_lower_bound():
    """Guards against filling one node by emptying another."""
    nodes = [Node("n1"), Node("n2"), Node("n3")]
    assert moved(["n1", "n1", "n2", "n3", "n3"], [0.9, 0.9, 0.5, 0.9, 0.9], nodes, 1.4) == {}


def test_idle_shards_are_spread_by_number():
    """Guards against placing all shards without a load on one node."""
    loads = {0: 1000.0}
    plan = place({}, loads, FLEET[:4], PlacementLimits(), range(101))
    counts = [sum(holders == (node.name,) for holders in plan.table.values()) for node in FLEET[:4]]
    assert sorted(counts) == [1, 33, 33, 34]


def test_without_may_move_only_shards_that_lack_a_holder_are_placed():
    """New shards are placed, all others stay."""
    loads = drawn_loads(100, 7)
    before = place({}, loads, FLEET[:2], PlacementLimits(), range(90)).table
    plan = place(before, loads, FLEET, PlacementLimits(), range(100), may_move=False)
    assert plan.moved == set(range(90, 100))
    assert all(plan.table[shard] == before[shard] for shard in range(90))


def test_without_nodes_the_table_is_empty():
    """Guards against lost shards that do not count as moved."""
    plan = place({1: ("n00",)}, {1: 2.0}, [], PlacementLimits(), range(3))
    assert plan.table == {}
    assert plan.moved == {1}


@pytest.mark.parametrize("load", [nan, inf, -inf, 0, -1.0])
def test_a_load_that_is_not_a_finite_number_above_0_is_rejected(load):
    """Guards against loads that break comparisons and sums; the error names the shard."""
    with pytest.raises(AssignmentError, match=r"^shard 7 has a load of .*: a load is a finite number above 0$"):
        place({}, {1: 1.0, 7: load}, FLEET, PlacementLimits(), range(9))


@pytest.mark.parametrize("load", [5e-324, 1e-300, 1e300, 1.7e308])
def test_any_finite_load_above_0_is_accepted(load):
    """Guards against overflow and underflow with the smallest and the largest floats."""
    plan = place({}, {0: load, 1: load, 2: 1.0}, FLEET[:2], PlacementLimits(1.25, 1e-5), range(4))
    assert sorted(plan.table) == [0, 1, 2, 3]


def test_duplicate_nodes_and_limits_out_of_range_are_rejected():
    """NaN and infinity are out of every range."""
    with pytest.raises(AssignmentError, match=r"^node n03 is named twice$"):
        place({}, {}, [*FLEET, Node("n03", "elsewhere")], PlacementLimits(), range(9))
    for bound in (0.9, nan, inf):
        with pytest.raises(AssignmentError, match="has to be finite and at least 1"):
            PlacementLimits(bound)
    for replica_load in (-1, nan, inf):
        with pytest.raises(AssignmentError, match="replica has to be finite and 0 or more"):
            PlacementLimits(1.25, replica_load)
