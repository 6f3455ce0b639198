"""Nodes and their processes: which process holds a node's shards, and which nodes count as there. No I/O, no clock.

A node is there while a process of it can be heard, and for `restart_us` after, so that a restart moves nothing. Of
several processes of one node that can be heard, the one that joined last holds its shards.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from scalefall.assignment.model import Node
from scalefall.errors import AssignmentError


def node_of(holder: str) -> str:
    """The name of a process's node ("node/instance")."""
    return holder.rpartition("/")[0]


@dataclass(slots=True)
class _Member:
    node: Node
    live: list[str] = field(default_factory=list)  # processes that can be heard, in the order in which they joined
    holder: str = ""  # the process that holds, or the last one that did
    removal_at: int | None = None  # it counts as there until then, though none of its processes can be heard


class NodeMembership:
    """The nodes that count as there."""

    def __init__(self, restart_us: int) -> None:
        self._restart_us = restart_us
        self._members: dict[str, _Member] = {}
        self._waiting: dict[str, int] = {}  # nodes without a process that can be heard, soonest gone first

    def holder_joined(self, holder: str, node: Node) -> bool:
        """A process can be heard. Whether its node is new, or in another place than before."""
        if not node.name or node_of(holder) != node.name or holder == f"{node.name}/":
            raise AssignmentError(f"holder {holder!r} is no process of node {node.name!r}")
        member = self._members.get(node.name)
        is_change = member is None or member.node != node
        if member is None:
            member = self._members[node.name] = _Member(node)
        member.node, member.removal_at, member.holder = node, None, holder
        self._waiting.pop(node.name, None)
        if holder in member.live:
            member.live.remove(holder)
        member.live.append(holder)
        return is_change

    def holder_lost(self, holder: str, now: int) -> None:
        """A process cannot be heard any more."""
        member = self._members.get(node_of(holder))
        if member is None or holder not in member.live:
            raise AssignmentError(f"unknown holder {holder}")
        member.live.remove(holder)
        if member.live:
            member.holder = member.live[-1]
        else:
            member.removal_at = now + self._restart_us
            self._waiting[member.node.name] = member.removal_at

    def pop_removed(self, now: int) -> list[str]:
        """The nodes that count as there no more, as none of their processes came back in time."""
        removed = []
        for name, at in self._waiting.items():
            if at > now:
                break
            removed.append(name)
        for name in removed:
            del self._waiting[name], self._members[name]
        return removed

    def next_removal_at(self) -> int | None:
        """When take_gone() has something if nothing joins before."""
        return next(iter(self._waiting.values()), None)

    def last_removal_at(self) -> int | None:
        """When the last of the nodes that may yet come back is gone; None if none is awaited."""
        return max(self._waiting.values(), default=None)

    def holder(self, name: str) -> str | None:
        """The process that holds a node's shards, or did last; None if the node is not there."""
        member = self._members.get(name)
        return member.holder if member else None

    def is_live(self, holder: str) -> bool:
        """Whether a process can be heard."""
        member = self._members.get(node_of(holder))
        return member is not None and holder in member.live

    def nodes(self) -> list[Node]:
        """All nodes that count as there, by name."""
        return [self._members[name].node for name in sorted(self._members)]

    def __contains__(self, name: str) -> bool:
        return name in self._members
