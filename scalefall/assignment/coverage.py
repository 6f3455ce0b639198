"""Which shards' destinations each node has to know: of those that it may use now or is to get; and what changed.

A node covers a shard from when the table gives it to the node until no process of the node may use it any more, so two
nodes cover a shard while it moves. Costs go with changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from scalefall.assignment.membership import node_of


class Coverage:
    """The shards that each node covers."""

    def __init__(self, users: Callable[[int], Iterable[str]]) -> None:
        """Start without shards; `users` returns the processes that may use something of a shard."""
        self._users = users
        self._placed: dict[str, set[int]] = {}  # by the table
        self._draining: dict[str, set[int]] = {}  # no longer by the table, but may be in use
        self._changed: dict[str, set[int]] = {}  # since drain_changes()

    def placed(self, node: str) -> frozenset[int]:
        """Return the shards that the table gives to a node."""
        return frozenset(self._placed.get(node, ()))

    def shards_of(self, node: str) -> frozenset[int]:
        """Return all shards that the node covers."""
        return frozenset(self._placed.get(node, set()) | self._draining.get(node, set()))

    def covers(self, node: str, shard: int) -> bool:
        """Return whether the node covers one shard."""
        return shard in self._placed.get(node, ()) or shard in self._draining.get(node, ())

    def place(self, shard: int, before: Iterable[str], after: Iterable[str]) -> None:
        """Record that the table gives the shard to other nodes than before."""
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
        """Record that a process may use nothing more of a shard."""
        node = node_of(holder)
        if shard in self._draining.get(node, ()) and not self._in_use(node, shard):
            _remove(self._draining, node, shard)
            self._mark_changed(node, shard)

    def destinations_changed(self, shard: int, nodes: Iterable[str]) -> None:
        """Record that a destination has left the shard for one of its own, or come back."""
        for node in nodes:
            self._mark_changed(node, shard)

    def drain_changes(self) -> dict[str, frozenset[int]]:
        """Return, by node, the shards that came, went, or have other destinations since the last call."""
        changed, self._changed = self._changed, {}
        return {node: frozenset(shards) for node, shards in changed.items()}

    def _in_use(self, node: str, shard: int) -> bool:
        return any(node_of(holder) == node for holder in self._users(shard))

    def _mark_changed(self, node: str, shard: int) -> None:
        self._changed.setdefault(node, set()).add(shard)


def _remove(shards_by_node: dict[str, set[int]], node: str, shard: int) -> bool:
    """Remove a shard from a node's set, and the node from the map with its last; whether the shard was there."""
    shards = shards_by_node.get(node)
    if shards is None or shard not in shards:
        return False
    shards.discard(shard)
    if not shards:
        del shards_by_node[node]
    return True
