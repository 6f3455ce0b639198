"""Which shards each node is to know the destinations of: those that it may use now or is to get, and what changed.

A node covers a shard from when the table gives it to the node until no process of the node may use it any more, so two
nodes cover a shard while it moves. Costs go with changes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from scalefall.assignment.membership import node_of


class Coverage:
    """Shards by node. `users` gives the processes that may use something of a shard."""

    def __init__(self, users: Callable[[int], Iterable[str]]) -> None:
        self._users = users
        self._placed: dict[str, set[int]] = {}  # by the table
        self._draining: dict[str, set[int]] = {}  # no longer by the table, but may be in use
        self._changed: dict[str, set[int]] = {}  # since take_changed()

    def placed(self, node: str) -> frozenset[int]:
        """The shards that the table gives to a node."""
        return frozenset(self._placed.get(node, ()))

    def shards_of(self, node: str) -> frozenset[int]:
        """All that the node covers."""
        return frozenset(self._placed.get(node, set()) | self._draining.get(node, set()))

    def covers(self, node: str, shard: int) -> bool:
        """Whether the node covers one shard."""
        return shard in self._placed.get(node, ()) or shard in self._draining.get(node, ())

    def place(self, shard: int, before: Iterable[str], after: Iterable[str]) -> None:
        """The table gives the shard to other nodes."""
        before, after = set(before), set(after)
        for node in before - after:
            _remove(self._placed, node, shard)
            if self._in_use(node, shard):
                self._draining.setdefault(node, set()).add(shard)
            else:
                self._note(node, shard)
        for node in after - before:
            self._placed.setdefault(node, set()).add(shard)
            if not _remove(self._draining, node, shard):
                self._note(node, shard)

    def released(self, holder: str, shard: int) -> None:
        """A process may use nothing more of a shard."""
        node = node_of(holder)
        if shard in self._draining.get(node, ()) and not self._in_use(node, shard):
            _remove(self._draining, node, shard)
            self._note(node, shard)

    def destinations_changed(self, shard: int, nodes: Iterable[str]) -> None:
        """A destination has left the shard for one of its own, or come back: its nodes are to look at it again."""
        for node in nodes:
            self._note(node, shard)

    def drain_changes(self) -> dict[str, frozenset[int]]:
        """Node -> shards that came, went, or have other destinations since the last call."""
        changed, self._changed = self._changed, {}
        return {node: frozenset(shards) for node, shards in changed.items()}

    def _in_use(self, node: str, shard: int) -> bool:
        return any(node_of(holder) == node for holder in self._users(shard))

    def _note(self, node: str, shard: int) -> None:
        self._changed.setdefault(node, set()).add(shard)


def _remove(shards: dict[str, set[int]], node: str, shard: int) -> bool:
    """Take a shard out of a node's set, and the node out of the map with its last. Whether it was there."""
    own = shards.get(node)
    if own is None or shard not in own:
        return False
    own.discard(shard)
    if not own:
        del shards[node]
    return True
