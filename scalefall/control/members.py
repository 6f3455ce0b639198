"""Membership: the processes of proxies, and which of them may still be using grants. No I/O, no clock.

A node id names a proxy's place in its fleet and does not identify a process: a restarted proxy has the same one, and a
mistake in a configuration may give it to two. A holder is one process, identified by its node id and an instance id
that it chooses at its start (a random word in the node's metadata; a client that sends none counts as a new instance
with each stream). Grants belong to holders.

    state          heartbeat   stream closed   silence    expiry      new stream of this instance
    LIVE           LIVE        DISCONNECTED    SILENT     -           LIVE (it reconnected; the old stream is closed)
    SILENT         LIVE        DISCONNECTED    -          EXPIRED     LIVE (likewise)
    DISCONNECTED   -           -               -          EXPIRED     LIVE
    EXPIRED        (removed)

A holder expires `lease + delay` after its last heartbeat, when none of its grants can be in use any longer. A process
that reconnects before that is the same holder and has its grants still; one that reconnects later is a new member. Two
concurrent instances of one node id are both members with separate grants out of the same allowance. This is logged, as
it may be a restart (the older instance becomes silent and its grants expire) or two processes with the same node id.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from scalefall.net.invariants import assert_invariant

MAX_INSTANCES_PER_NODE = 8  # bounds the memory that a client restarting in a loop can use


class MemberState(Enum):
    """The liveness of a holder. The values are written to the log."""

    LIVE = "live"
    SILENT = "silent"  # its stream is open, but no message arrives on it
    DISCONNECTED = "cut"  # its stream is closed
    EXPIRED = "gone"  # none of its grants can be in use any longer


class LivenessSignal(Enum):
    """An event that changes a holder's state."""

    HEARTBEAT = "heartbeat"
    STREAM_CLOSED = "stream closed"
    SILENCE = "silence"
    EXPIRY = "expiry"
    NEW_STREAM = "new stream"


TRANSITIONS: dict[tuple[MemberState, LivenessSignal], MemberState] = {
    (MemberState.LIVE, LivenessSignal.HEARTBEAT): MemberState.LIVE,
    (MemberState.LIVE, LivenessSignal.STREAM_CLOSED): MemberState.DISCONNECTED,
    (MemberState.LIVE, LivenessSignal.SILENCE): MemberState.SILENT,
    (MemberState.LIVE, LivenessSignal.NEW_STREAM): MemberState.LIVE,
    (MemberState.SILENT, LivenessSignal.HEARTBEAT): MemberState.LIVE,
    (MemberState.SILENT, LivenessSignal.STREAM_CLOSED): MemberState.DISCONNECTED,
    (MemberState.SILENT, LivenessSignal.EXPIRY): MemberState.EXPIRED,
    (MemberState.SILENT, LivenessSignal.NEW_STREAM): MemberState.LIVE,
    (MemberState.DISCONNECTED, LivenessSignal.EXPIRY): MemberState.EXPIRED,
    (MemberState.DISCONNECTED, LivenessSignal.NEW_STREAM): MemberState.LIVE,
}


@dataclass(slots=True)
class Member:
    """One holder."""

    holder: str
    node: str
    state: MemberState
    stream: int  # its present stream, or its last one
    last_heartbeat: int  # us


@dataclass(slots=True, frozen=True)
class Joined:
    """The result of a join: the stream now belongs to the holder."""

    holder: str
    is_known: bool  # it was a member already, and its grants may be in use
    replaced_stream: int | None  # the holder's earlier stream, to be closed
    shares_node_id: bool  # another instance of its node id may be using grants


@dataclass(slots=True, frozen=True)
class JoinRejected:
    """The result of a join that was rejected: too many instances of one node id."""

    node: str


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """A holder's change to an unreachable state or to EXPIRED."""

    holder: str
    node: str
    state: MemberState


class Members:
    """All holders and their liveness.

    They are ordered by their last heartbeat, the earliest first, so that a step examines only those that are due.
    """

    def __init__(self, silence_us: int, expiry_us: int) -> None:
        """Set how long after its last heartbeat a holder becomes silent, and how long after it expires."""
        assert_invariant(0 < silence_us <= expiry_us, "a holder becomes silent before it expires")
        self._silence_us = silence_us
        self._expiry_us = expiry_us
        self._members: OrderedDict[str, Member] = OrderedDict()
        self._holder_of_stream: dict[int, str] = {}
        self._holders_of_node: dict[str, set[str]] = {}

    def join(self, stream: int, node: str, instance: str, now: int) -> Joined | JoinRejected:
        """Assign a stream to the holder that its first message names.

        Args:
            stream: the number of the stream.
            node: the node id.
            instance: the process's instance id; empty for a client that sends none.
            now: the present time.
        """
        holder = f"{node}/{instance or f'stream-{stream}'}"
        member = self._members.get(holder)
        others = self._holders_of_node.get(node, set()) - {holder}
        if member is None:
            return self._add(Member(holder, node, MemberState.LIVE, stream, now), others)
        replaced = None
        if member.state in (MemberState.LIVE, MemberState.SILENT) and member.stream != stream:
            replaced = member.stream
            self._holder_of_stream.pop(replaced, None)
        member.stream = stream
        self._holder_of_stream[stream] = holder
        self._record_heartbeat(member, LivenessSignal.NEW_STREAM, now)
        return Joined(holder, True, replaced, bool(others))

    def _add(self, member: Member, others: set[str]) -> Joined | JoinRejected:
        if len(others) >= MAX_INSTANCES_PER_NODE:
            return JoinRejected(member.node)
        self._members[member.holder] = member
        self._holders_of_node.setdefault(member.node, set()).add(member.holder)
        self._holder_of_stream[member.stream] = member.holder
        return Joined(member.holder, False, None, bool(others))

    def heartbeat_received(self, stream: int, now: int) -> str | None:
        """Record a message of any kind on the stream; return its holder if that was silent and is live again."""
        member = self._member_of(stream)
        if member is None:
            return None
        was_silent = member.state is MemberState.SILENT
        self._record_heartbeat(member, LivenessSignal.HEARTBEAT, now)
        return member.holder if was_silent else None

    def stream_closed(self, stream: int) -> MembershipChange | None:
        """Mark the stream's holder as disconnected; None if no holder has it, as its process has a newer one."""
        member = self._member_of(stream)
        if member is None:
            return None
        del self._holder_of_stream[stream]
        # Closing is no heartbeat: the member keeps its place in the order.
        member.state = TRANSITIONS[member.state, LivenessSignal.STREAM_CLOSED]
        return MembershipChange(member.holder, member.node, MemberState.DISCONNECTED)

    def step(self, now: int) -> list[MembershipChange]:
        """Return the holders that have become silent, and those that have expired, which are removed."""
        changes = []
        for member in list(self._members.values()):
            if member.state is MemberState.LIVE and member.last_heartbeat > now - self._silence_us:
                break  # all members after it had a later heartbeat
            if member.state is MemberState.LIVE:
                member.state = TRANSITIONS[member.state, LivenessSignal.SILENCE]
                changes.append(MembershipChange(member.holder, member.node, member.state))
            if member.state is not MemberState.LIVE and member.last_heartbeat <= now - self._expiry_us:
                changes.append(self._expire(member))
        assert_invariant(not self._members or self._next_deadline_is_after(now), "no member is due after a step")
        return changes

    def next_deadline(self, now: int) -> int | None:
        """Return when `step` has to be called if no heartbeat comes before; None if there are no members."""
        times = []
        for member in self._members.values():
            is_live = member.state is MemberState.LIVE
            times.append(member.last_heartbeat + (self._silence_us if is_live else self._expiry_us))
            if is_live:
                break  # members after it had a later heartbeat, and silence comes before expiry
        return max(now, min(times)) if times else None

    def holder_of(self, stream: int) -> str | None:
        """Return the holder of a stream; None if it has none."""
        return self._holder_of_stream.get(stream)

    def state(self, holder: str) -> MemberState:
        """Return the state of a holder; EXPIRED for an unknown one."""
        member = self._members.get(holder)
        return member.state if member else MemberState.EXPIRED

    def get(self, holder: str) -> Member | None:
        """Return a holder's membership; None if it is unknown."""
        return self._members.get(holder)

    def live(self) -> list[str]:
        """Return the holders that are live."""
        return [member.holder for member in self._members.values() if member.state is MemberState.LIVE]

    def __len__(self) -> int:
        """Return the number of holders in all states but EXPIRED."""
        return len(self._members)

    def _next_deadline_is_after(self, now: int) -> bool:
        deadline = self.next_deadline(now)
        return deadline is not None and deadline > now

    def _member_of(self, stream: int) -> Member | None:
        return self._members.get(self._holder_of_stream.get(stream, ""))

    def _record_heartbeat(self, member: Member, signal: LivenessSignal, now: int) -> None:
        member.state = TRANSITIONS[member.state, signal]
        member.last_heartbeat = now
        self._members.move_to_end(member.holder)

    def _expire(self, member: Member) -> MembershipChange:
        member.state = TRANSITIONS[member.state, LivenessSignal.EXPIRY]
        del self._members[member.holder]
        if self._holder_of_stream.get(member.stream) == member.holder:
            del self._holder_of_stream[member.stream]
        self._holders_of_node[member.node].discard(member.holder)
        if not self._holders_of_node[member.node]:
            del self._holders_of_node[member.node]
        return MembershipChange(member.holder, member.node, MemberState.EXPIRED)
