"""Compares three ways to assign shards to senders on the same traffic: balance, movement, state and decision time.

    python benchmarks/assignment_options.py [--quick] [--seed 1] [--shards 14400]

Rendezvous hashing, consistent hashing with bounded loads (c = 1.25, 100 points a node) and the table of
scalefall.assignment, each without and with heavy destinations isolated in shards of several holders (the same holder
counts for all three). Traffic is Zipf over the destinations, in an order drawn by the seed; between two measurements
each destination's rate changes by lognormal noise. Prints Markdown. Times are processor times of one process.
"""

from __future__ import annotations

import argparse
import heapq
import json
import pathlib
import random
import sys
import time
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from scalefall.assignment.isolation_policy import ISOLATION_THRESHOLD, LowLoadStreaks, decide
from scalefall.assignment.model import Node
from scalefall.assignment.placement import IDLE_FRACTION, PlacementLimits, Table, place
from scalefall.assignment.sharding import Sharding, splitmix64
from scalefall.assignment.snapshot import TableState, encode

LOAD_BOUND = 1.25
NOISE_SIGMA = 0.5  # sigma of the lognormal factor of a destination between two measurements
RING_POINTS_PER_NODE = 100
RENEWAL_BYTES = 90  # renewal of one shard in the control protocol
RENEWALS_PER_S = 1  # half a lease is a second
ZIPF_EXPONENTS = (0.8, 1.1)
SHARD_COUNTS = (1_024, 3_600, 7_200, 14_400, 28_800)


@dataclass(frozen=True)
class Size:
    nodes: int
    destinations: int
    events_per_s: float
    rack: int


FULL = Size(900, 420_000, 130_000.0, 14)
QUICK = Size(90, 42_000, 13_000.0, 3)


class Traffic:
    """Two measurements of every destination's rate, and their sums by shard."""

    def __init__(self, size: Size, exponent: float, seed: int) -> None:
        generator = random.Random(seed)
        weights = [rank**-exponent for rank in range(1, size.destinations + 1)]
        generator.shuffle(weights)
        scale = size.events_per_s / sum(weights)
        self.first = [weight * scale for weight in weights]
        noisy = [rate * generator.lognormvariate(0, NOISE_SIGMA) for rate in self.first]
        scale = size.events_per_s / sum(noisy)
        self.second = [rate * scale for rate in noisy]
        self.node_load = size.events_per_s / size.nodes

    def isolate(self, sharding: Sharding) -> Sharding:
        return decide(dict(enumerate(self.first)), sharding, self.node_load, LowLoadStreaks()).apply(sharding)

    def by_shard(self, sharding: Sharding) -> tuple[dict[int, float], dict[int, float], Counter[int]]:
        """Return loads of both measurements and the number of destinations, by shard."""
        first: dict[int, float] = {}
        second: dict[int, float] = {}
        members: Counter[int] = Counter()
        for destination, rate in enumerate(self.first):
            shard = sharding.shard_of(destination)
            first[shard] = first.get(shard, 0.0) + rate
            second[shard] = second.get(shard, 0.0) + self.second[destination]
            members[shard] += 1
        return first, second, members


def fleet(size: Size) -> list[Node]:
    return [
        Node(f"sender-{number:04}", f"region{number % 2}", f"zone{number // 2 % 4}") for number in range(size.nodes)
    ]


# An option: (table before, loads, nodes, holder counts by shard, all shards) -> the next table
Option = Callable[[Table, dict, list[Node], dict, list[int]], Table]


def rendezvous(before: Table, _loads: dict, nodes: list[Node], counts: dict, shards: list[int]) -> Table:
    """Choose the nodes with the highest scores. Shards without a lost or new winning holder stay."""
    keys = {node.name: splitmix64(int(node.name[-4:])) for node in nodes}
    known = {name for holders in before.values() for name in holders}
    new = [name for name in keys if name not in known] if before else []
    table = {}
    for shard in shards:
        salt = splitmix64(shard)

        def score(name: str, salt: int = salt) -> int:
            return hash((keys[name], salt))

        old = before.get(shard, ())
        if len(old) == counts[shard] and all(name in keys for name in old):
            lowest = min(map(score, old))
            if all(score(name) < lowest for name in new):
                table[shard] = old
                continue
        if counts[shard] == 1:
            table[shard] = (max(keys, key=score),)
        else:
            table[shard] = tuple(heapq.nlargest(counts[shard], keys, key=score))
    return table


def bounded_loads(_before: Table, loads: dict, nodes: list[Node], counts: dict, shards: list[int]) -> Table:
    """Walk the ring from the shard's point to nodes that stay within the bound, else take the least loaded."""
    ring = sorted(
        (hash((splitmix64(int(node.name[-4:])), point)), node.name)
        for node in nodes
        for point in range(RING_POINTS_PER_NODE)
    )
    names, points = [name for _, name in ring], [point for point, _ in ring]
    load_by_node = dict.fromkeys((node.name for node in nodes), 0.0)
    idle = sum(loads.values()) / len(shards) * IDLE_FRACTION
    cap = LOAD_BOUND * sum(loads.get(shard, idle) for shard in shards) / len(nodes)
    table = {}
    for shard in shards:
        load_per_holder = loads.get(shard, idle) / counts[shard]
        start = bisect_left(points, hash((splitmix64(shard), -1)))
        holders: list[str] = []
        steps = len(ring) if load_per_holder <= cap else 0
        for step in range(steps):
            name = names[(start + step) % len(ring)]
            if load_by_node[name] + load_per_holder <= cap and name not in holders:
                holders.append(name)
                load_by_node[name] += load_per_holder
                if len(holders) == counts[shard]:
                    break
        while len(holders) < counts[shard]:
            name = min((name for name in load_by_node if name not in holders), key=load_by_node.__getitem__)
            holders.append(name)
            load_by_node[name] += load_per_holder
        table[shard] = tuple(holders)
    return table


def max_over_mean(table: Table, loads: dict, nodes: list[Node]) -> float:
    """Return the load of the most loaded node over the mean."""
    load_by_node = dict.fromkeys((node.name for node in nodes), 0.0)
    for shard, holders in table.items():
        for name in holders:
            load_by_node[name] += loads.get(shard, 0.0) / len(holders)
    return max(load_by_node.values()) * len(nodes) / sum(load_by_node.values())


def changed(before: Table, after: Table) -> set[int]:
    return {shard for shard in after if set(before.get(shard, ())) != set(after[shard])}


def compact_bytes(value: object) -> int:
    return len(json.dumps(value, separators=(",", ":")))


def state_bytes(name: str, table: Table, loads: dict, nodes: list[Node], sharding: Sharding) -> tuple[int, int]:
    """Return the state of the sender with the most shards, and of control, as bytes of compact JSON."""
    isolated_bytes = compact_bytes(sorted(sharding.isolated.items()))
    node_list_bytes = compact_bytes([node.name for node in nodes])
    if name == "rendezvous":
        return node_list_bytes + isolated_bytes, node_list_bytes + isolated_bytes
    if name == "bounded loads":
        measured = compact_bytes({shard: round(load, 1) for shard, load in loads.items()})
        return node_list_bytes + measured + isolated_bytes, node_list_bytes + measured + isolated_bytes
    rows: dict[str, list] = {node.name: [] for node in nodes}
    for shard, holders in table.items():
        for holder in holders:
            rows[holder].append([shard, 1_000_000, 1_000_000, 2_000_000])  # shard, epoch, share, lease
    sender = max(map(compact_bytes, rows.values()))
    return sender + isolated_bytes, len(encode(TableState(table, dict(sharding.isolated), 1, tuple(nodes)), "f" * 32))


def nodes_after_events(size: Size, nodes: list[Node]) -> dict[str, list[Node]]:
    """Return the nodes after each event."""
    zone = [node for node in nodes if (node.region, node.zone) == (nodes[0].region, nodes[0].zone)]
    rack = set(zone[: size.rack])
    return {
        "node lost": nodes[1:],
        "node added": [*nodes, Node(f"sender-{size.nodes:04}", "region0", "zone0")],
        "rack lost": [node for node in nodes if node not in rack],
        "zone lost": [node for node in nodes if node not in set(zone)],
    }


def table_option(limits: PlacementLimits, former_nodes: list[Node]) -> Option:
    def decide_table(before: Table, loads: dict, nodes: list[Node], _counts: dict, shards: list[int]) -> Table:
        return place(before, loads, nodes, limits, shards, former_nodes=former_nodes).table

    return decide_table


def timed(option: Option, *arguments: object) -> tuple[Table, float]:
    start = time.process_time()
    table = option(*arguments)  # type: ignore[arg-type]
    return table, time.process_time() - start


def least_moves(event: str, before: Table, shards: list[int], nodes: list[Node]) -> float:
    """Return the number of shards that lost a holder; for an added node its fair share of the grants."""
    if event == "node added":
        return sum(map(len, before.values())) / len(nodes)
    alive = {node.name for node in nodes}
    return sum(any(name not in alive for name in before[shard]) for shard in shards)


def compare(size: Size, count: int, exponent: float, seed: int) -> None:
    traffic, nodes = Traffic(size, exponent, seed), fleet(size)
    print(f"\nZipf {exponent}, {count:,} shared shards\n")
    print(
        "| option | max/mean | after noise: unchanged, rebalanced | shards moved by noise | node lost | node added "
        "| rack lost | zone lost, max/mean after | sender, control (bytes) | first, node lost, zone lost (ms) |"
    )
    print("|" + " --- |" * 10)
    for isolated in (False, True):
        sharding = traffic.isolate(Sharding(count)) if isolated else Sharding(count)
        limits = PlacementLimits(LOAD_BOUND, ISOLATION_THRESHOLD * traffic.node_load if isolated else 0)
        loads, noisy, members = traffic.by_shard(sharding)
        shards = list(sharding.shards())
        table = table_option(limits, nodes)
        options = {"rendezvous": rendezvous, "bounded loads": bounded_loads, "table": table}
        # All options use the table's holder counts.
        first_counts = {shard: len(holders) for shard, holders in table({}, loads, nodes, {}, shards).items()}
        after = table(table({}, loads, nodes, {}, shards), noisy, nodes, {}, shards)
        noisy_counts = {shard: len(holders) for shard, holders in after.items()}
        print(
            f"| *{len(shards) - count} isolated, {sum(first_counts.values()) - len(shards)} further holders* |"
            + " |" * 9
        )
        for name, option in options.items():
            first, first_time = timed(option, {}, loads, nodes, first_counts, shards)
            again, _ = timed(option, first, noisy, nodes, noisy_counts, shards)
            noise = f"{max_over_mean(first, noisy, nodes):.2f}, {max_over_mean(again, noisy, nodes):.2f}"
            row = [name, f"{max_over_mean(first, loads, nodes):.2f}", noise, str(len(changed(first, again)))]
            times = {}
            for event, remaining in nodes_after_events(size, nodes).items():
                after_event, times[event] = timed(option, first, loads, remaining, first_counts, shards)
                moved = changed(first, after_event)
                moved_share = sum(members[shard] for shard in moved) / size.destinations
                least = least_moves(event, first, shards, remaining)
                row.append(f"{len(moved)} of {least:.0f} ({moved_share:.2%})")
            row[-1] += f", {max_over_mean(after_event, loads, remaining):.2f}"
            row.append("{:,}, {:,}".format(*state_bytes(name, first, loads, nodes, sharding)))
            spent = (first_time, times["node lost"], times["zone lost"])
            print("| " + " | ".join([*row, ", ".join(f"{1e3 * each:.0f}" for each in spent)]) + " |", flush=True)


def sweep(size: Size, counts: tuple[int, ...], exponent: float, seed: int) -> None:
    """Compare balance and cost of renewals of the table with isolation at several shard counts."""
    traffic, nodes = Traffic(size, exponent, seed), fleet(size)
    limits = PlacementLimits(LOAD_BOUND, ISOLATION_THRESHOLD * traffic.node_load)
    print(f"\nZipf {exponent}, the table with isolation, by shared shards\n")
    print(
        "| shards | isolated | grants | max/mean | after noise: unchanged, rebalanced | moved by noise "
        "| grants a node: mean, most | renewals a node (bytes/s): mean, most | after zone loss |"
    )
    print("|" + " ---: |" * 9)
    for count in counts:
        sharding = traffic.isolate(Sharding(count))
        loads, noisy, _ = traffic.by_shard(sharding)
        shards = list(sharding.shards())
        table = place({}, loads, nodes, limits, shards).table
        rebalanced = place(table, noisy, nodes, limits, shards)
        zone = place(table, loads, nodes_after_events(size, nodes)["zone lost"], limits, shards, former_nodes=nodes)
        grants_by_node = Counter(name for holders in table.values() for name in holders)
        mean, most = sum(grants_by_node.values()) / len(nodes), max(grants_by_node.values())
        cost = RENEWAL_BYTES * RENEWALS_PER_S
        print(
            f"| {count:,} | {len(sharding.isolated)} | {sum(grants_by_node.values()):,} "
            f"| {max_over_mean(table, loads, nodes):.2f} "
            f"| {max_over_mean(table, noisy, nodes):.2f}, {rebalanced.load_ratio:.2f} "
            f"| {len(rebalanced.moved)} | {mean:.1f}, {most} "
            f"| {mean * cost:,.0f}, {most * cost:,} | {zone.load_ratio:.2f} |",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="a tenth of the size")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shards", type=int, default=None)
    options = parser.parse_args()
    size, scale = (QUICK, 10) if options.quick else (FULL, 1)
    count = options.shards or 14_400 // scale
    print(
        f"seed {options.seed}: {size.nodes} senders, {size.destinations:,} destinations, "
        f"{size.events_per_s:,.0f} events/s"
    )
    for exponent in ZIPF_EXPONENTS:
        compare(size, count, exponent, options.seed)
    for exponent in ZIPF_EXPONENTS:
        sweep(size, tuple(each // scale for each in SHARD_COUNTS), exponent, options.seed)


if __name__ == "__main__":
    main()
