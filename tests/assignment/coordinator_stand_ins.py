"""Stand-ins for what the coordinator consults: sharding, placement and isolation that a test can foresee."""

from __future__ import annotations

from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.placement import Plan

COUNT = 12  # shared shards


class StandInSharding:
    """Destination modulo COUNT; an isolated one has the lowest free number from COUNT on."""

    def __init__(self, isolated=()):
        """Isolate these destinations, with their shards."""
        self.isolated = dict(isolated)

    def shard_of(self, destination):
        """Return the destination's shard."""
        return self.isolated.get(destination, destination % COUNT)

    def shards(self):
        """Return all shards."""
        return [*range(COUNT), *self.isolated.values()]

    def isolate(self, destination):
        """Return a sharding with one more isolated destination."""
        free = next(number for number in range(COUNT, 99) if number not in self.isolated.values())
        return StandInSharding(self.isolated | {destination: free})

    def merge(self, destination):
        """Return a sharding with one isolated destination less."""
        return StandInSharding({other: own for other, own in self.isolated.items() if other != destination})


class StandInPlacement:
    """A shard stays on nodes that are there; others go to the nodes with the fewest, `replicas` for each shard.

    A `next_table` that is set is the answer to the next call, whatever its input.
    """

    def __init__(self, replicas=1):
        """Place each shard on so many nodes."""
        self.replicas = replicas
        self.next_table = None
        self.calls = []  # (loads by shard, names of the nodes)
        self.may_move = None  # of the last call

    def __call__(self, table, loads, nodes, _limits, shards, may_move):
        """Return the next table, as placement.place does."""
        self.may_move = may_move
        names = [node.name for node in nodes]
        self.calls.append((dict(loads), names))
        if self.next_table is not None:
            table, self.next_table = self.next_table, None
        else:
            table = self.table(table, names, shards)
        return Plan(table, frozenset())

    def table(self, table, names, shards):
        """Return the table in which what can stay stays."""
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
        """Change nothing until `change` is another."""
        self.change = IsolationChange(isolate=(), merge=())
        self.loads, self.node_load = None, None  # of the last call

    def __call__(self, loads, _sharding, node_load):
        """Return `change`, as isolation_policy.decide does."""
        self.loads, self.node_load = loads, node_load
        return self.change
