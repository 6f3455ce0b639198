"""The shards that each node covers: those whose destinations' resources it needs.

A node covers a shard from its placement on the node until no process of the node can be using it. While a shard moves,
both nodes cover it. The cost is proportional to the changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from scalefall.assignment.membership import node_of


class Coverage:
    """The shards that each node covers."""

    def __init__(self, users: Callable[[int], Iterable[str]]) -> None:
        """Start without shards; `users` returns the processes that may be using a shard."""
        self._users = users
        self._placed: dict[str, set[int]] = {}  # by node, the shards placed on it
        self._draining: dict[str, set[int]] = {}  # by node, shards placed elsewhere that it may still be using
        self._changed: dict[str, set[int]] = {}  # by node, shards changed since `drain_changes`

    def placed(self, node: str) -> frozenset[int]:
        """Return the shards that are placed on a node."""
        return frozenset(self._placed.get(node, ()))

    def shards_of(self, node: str) -> frozenset[int]:
        """Return all shards that the node covers."""
        return frozenset(self._placed.get(node, set()) | self._draining.get(node, set()))

    def covers(self, node: str, shard: int) -> bool:
        """Return whether the node covers one shard."""
        return shard in self._placed.get(node, ()) or shard in self._draining.get(node, ())

    def place(self, shard: int, before: Iterable[str], after: Iterable[str]) -> None:
        """Record that a shard is placed on other nodes than before."""
        old_nodes, new_nodes = set(before), set(after)
        for node in old_nodes - new_nodes:
            _remove(self._placed, node, shard)
            if self._in_use(node, shard):
                self._draining.setdefault(node, set()).add(shard)
            else:
                self._mark_changed(node, shard)
        for node in new_nodes - old_nodes:
            self._placed.setdefault(node, set()).add(shard)
            if not _remove(self._draining, node, shard):
                self._mark_changed(node, shard)

    def released(self, holder: str, shard: int) -> None:
        """Record that a process can no longer be using a shard."""
        node = node_of(holder)
        if shard in self._draining.get(node, ()) and not self._in_use(node, shard):
            _remove(self._draining, node, shard)
            self._mark_changed(node, shard)

    def destinations_changed(self, shard: int, nodes: Iterable[str]) -> None:
        """Record, for its nodes, that a destination was moved out of a shard or back into it."""
        for node in nodes:
            self._mark_changed(node, shard)

    def drain_changes(self) -> dict[str, frozenset[int]]:
        """Return and clear, by node, the shards gained, lost, or with changed destinations since the last call."""
        changed, self._changed = self._changed, {}
        return {node: frozenset(shards) for node, shards in changed.items()}

    def _in_use(self, node: str, shard: int) -> bool:
        return any(node_of(holder) == node for holder in self._users(shard))

    def _mark_changed(self, node: str, shard: int) -> None:
        self._changed.setdefault(node, set()).add(shard)


def _remove(shards_by_node: dict[str, set[int]], node: str, shard: int) -> bool:
    """Remove a shard from a node's set, and the node if the set is then empty; return whether the shard was in it."""
    shards = shards_by_node.get(node)
    if shards is None or shard not in shards:
        return False
    shards.discard(shard)
    if not shards:
        del shards_by_node[node]
    return True
