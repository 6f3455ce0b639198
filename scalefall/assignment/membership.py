"""The membership of nodes: which nodes are present, and which process holds a node's shards.

No I/O, no clock; times are microseconds. A node is present while one of its processes is reachable, and for
`restart_us` after that, so that a restart moves no shard. Of several reachable processes of one node, the one that
joined last holds its shards.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from scalefall.assignment.model import Node
from scalefall.errors import AssignmentError


def node_of(holder: str) -> str:
    """Return the name of a process's node ("node/instance")."""
    return holder.rpartition("/")[0]


@dataclass(slots=True)
class _Member:
    node: Node
    live: list[str] = field(default_factory=list)  # reachable processes, in the order in which they joined
    holder: str = ""  # the process that holds the node's shards, or held them last
    removal_at: int | None = None  # when to remove the node; None while a process is reachable


class NodeMembership:
    """The nodes that are present."""

    def __init__(self, restart_us: int) -> None:
        """Start without nodes; a node without processes stays present for `restart_us`."""
        self._restart_us = restart_us
        self._members: dict[str, _Member] = {}
        self._removals: dict[str, int] = {}  # removal times of nodes without a reachable process, soonest first

    def __contains__(self, name: str) -> bool:
        """Return whether a node is present."""
        return name in self._members

    def holder_joined(self, holder: str, node: Node) -> bool:
        """Mark a process as reachable, for the first time or again.

        Returns:
            Whether its node is new, or its region or zone has changed.

        Raises:
            AssignmentError: The process is not named "node/instance" after this node.
        """
        if not node.name or node_of(holder) != node.name or holder == f"{node.name}/":
            raise AssignmentError(f"holder {holder!r} is not a process of node {node.name!r}")
        member = self._members.get(node.name)
        is_change = member is None or member.node != node
        if member is None:
            member = self._members[node.name] = _Member(node)
        member.node, member.removal_at, member.holder = node, None, holder
        self._removals.pop(node.name, None)
        if holder in member.live:
            member.live.remove(holder)
        member.live.append(holder)
        return is_change

    def holder_disconnected(self, holder: str, now: int) -> None:
        """Mark a process as unreachable.

        Raises:
            AssignmentError: It was not reachable.
        """
        member = self._members.get(node_of(holder))
        if member is None or holder not in member.live:
            raise AssignmentError(f"unknown holder {holder}")
        member.live.remove(holder)
        if member.live:
            member.holder = member.live[-1]
        else:
            member.removal_at = now + self._restart_us
            self._removals[member.node.name] = member.removal_at

    def pop_removed(self, now: int) -> list[str]:
        """Remove the nodes whose restart time has passed, and return their names."""
        removed = []
        for name, removal_at in self._removals.items():
            if removal_at > now:
                break
            removed.append(name)
        for name in removed:
            del self._removals[name], self._members[name]
        return removed

    def next_removal_at(self) -> int | None:
        """Return the time of the earliest pending removal; None if there is none."""
        return next(iter(self._removals.values()), None)

    def last_removal_at(self) -> int | None:
        """Return the time of the latest pending removal; None if there is none."""
        return max(self._removals.values(), default=None)

    def holder(self, name: str) -> str | None:
        """Return the process that holds a node's shards, or held them last; None if the node is not present."""
        member = self._members.get(name)
        return member.holder if member else None

    def is_live(self, holder: str) -> bool:
        """Return whether a process is reachable."""
        member = self._members.get(node_of(holder))
        return member is not None and holder in member.live

    def nodes(self) -> list[Node]:
        """Return all present nodes, ordered by name."""
        return [self._members[name].node for name in sorted(self._members)]
