"""Predictable stand-ins for the coordinator's sharding, placement and isolation policy."""

from __future__ import annotations

from scalefall.assignment.isolation_policy import IsolationChange
from scalefall.assignment.placement import Plan

SHARED_SHARDS = 12


class StandInSharding:
    """A destination's shard is its number modulo SHARED_SHARDS, or if isolated the lowest free one from there up."""

    def __init__(self, isolated=()):
        """Start with these isolated destinations and their shards."""
        self.isolated = dict(isolated)

    def shard_of(self, destination):
        """Return the destination's shard."""
        return self.isolated.get(destination, destination % SHARED_SHARDS)

    def shards(self):
        """Return all shards."""
        return [*range(SHARED_SHARDS), *self.isolated.values()]

    def isolate(self, destination):
        """Return a sharding in which the destination is isolated."""
        free = next(number for number in range(SHARED_SHARDS, 99) if number not in self.isolated.values())
        return StandInSharding(self.isolated | {destination: free})

    def merge(self, destination):
        """Return a sharding in which the destination is not isolated."""
        return StandInSharding({other: own for other, own in self.isolated.items() if other != destination})


class StandInPlacement:
    """Shards stay on nodes that are present; others go to the nodes with the fewest shards, to `replicas` nodes each.

    If `next_table` is set, the next call returns it.
    """

    def __init__(self, replicas=1):
        """Place each shard on `replicas` nodes."""
        self.replicas = replicas
        self.next_table = None
        self.calls = []  # (loads by shard, names of the nodes) of each call
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
        """Return the next table, in which holders that are present stay."""
        placed = {shard: [name for name in table.get(shard, ()) if name in names] for shard in shards}
        counts = {name: sum(name in row for row in placed.values()) for name in names}
        for row in placed.values():
            while len(row) < min(self.replicas, len(names)):
                row.append(min((name for name in names if name not in row), key=lambda name: (counts[name], name)))
                counts[row[-1]] += 1
        return {shard: tuple(row) for shard, row in placed.items()}


class StandInIsolation:
    """An isolation policy that returns `change`, whatever its input."""

    def __init__(self):
        """Start with an empty change."""
        self.change = IsolationChange(isolate=(), merge=())
        self.loads, self.node_load = None, None  # of the last call

    def __call__(self, loads, _sharding, node_load):
        """Return `change`, as isolation_policy.decide does."""
        self.loads, self.node_load = loads, node_load
        return self.change
