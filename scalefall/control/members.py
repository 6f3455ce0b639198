"""Membership: which processes of which proxies there are, and who may still be using grants. No I/O, no clock.

A node id names a proxy's place in its fleet; it is no identity, as a restarted proxy has the same and a mistake in a
configuration gives it to two. A holder is one process: its node id and an instance that the process makes at its start
(a random word in the node's metadata; a client that sends none has a new one with each stream). Grants are a holder's.

    state          heartbeat   stream closed   silence    expiry      new stream of this instance
    LIVE           LIVE        DISCONNECTED    SILENT     -           LIVE (the old stream is closed: it reconnected)
    SILENT         LIVE        DISCONNECTED    -          EXPIRED   LIVE (likewise)
    DISCONNECTED   -           -               -          EXPIRED   LIVE
    EXPIRED      it is no member any more

Expiry comes `lease + delay` after the last heartbeat: by then nothing that the holder was granted may be in use. A
process that comes back in that time is the same holder with what it had; one that comes back later is as good as new.
Two instances of one node id at once are both members, each with grants of its own out of the same allowance, and it is
logged: it may be a restart (the older one falls silent and its grants expire) or two processes under one name.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from scalefall.net.invariants import assert_invariant

MAX_INSTANCES_PER_NODE = 8  # that may have grants in use: a client that restarts in a loop cannot fill the memory


class MemberState(Enum):
    """What is known of a holder. The values are those of the log."""

    LIVE = "live"
    SILENT = "silent"  # its stream is open, and nothing comes on it
    DISCONNECTED = "cut"  # its stream is closed
    EXPIRED = "gone"  # nothing that it was granted may be in use


class LivenessSignal(Enum):
    """What can happen to a holder."""

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
    stream: int  # its stream now, or its last one
    last_heartbeat: int  # us


@dataclass(slots=True, frozen=True)
class Joined:
    """A stream belongs to a holder from now on."""

    holder: str
    is_known: bool  # it was a member, and what it was granted may be in use
    replaced_stream: int | None  # the holder's earlier stream, which is to be closed
    shares_node_id: bool  # another instance of its node id may be using grants


@dataclass(slots=True, frozen=True)
class JoinRejected:
    """There are too many instances of one node id."""

    node: str


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """A holder has become unreachable, or is forgotten."""

    holder: str
    node: str
    state: MemberState


class Members:
    """All holders, by their liveness.

    They are ordered by their last heartbeat, the earliest first, so that a step looks at those alone whose time has
    come.
    """

    def __init__(self, silence_us: int, expiry_us: int) -> None:
        """Set after how long without a heartbeat a holder is silent, and after how long it is forgotten."""
        assert_invariant(0 < silence_us <= expiry_us, "silence comes before forgetting")
        self._silence_us = silence_us
        self._expiry_us = expiry_us
        self._members: OrderedDict[str, Member] = OrderedDict()
        self._holder_of_stream: dict[int, str] = {}
        self._holders_of_node: dict[str, set[str]] = {}

    def join(self, stream: int, node: str, instance: str, now: int) -> Joined | JoinRejected:
        """A stream has named its process.

        Args:
            stream: the number of the stream.
            node: the node id.
            instance: the process's own word; empty for a client that has none.
            now: the time of it.
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
        """Anything at all has come on the stream; its holder, if that was silent and is live again."""
        member = self._member_of(stream)
        if member is None:
            return None
        was_silent = member.state is MemberState.SILENT
        self._record_heartbeat(member, LivenessSignal.HEARTBEAT, now)
        return member.holder if was_silent else None

    def stream_closed(self, stream: int) -> MembershipChange | None:
        """The stream is closed; None if it is nobody's any more, as its process has another by now."""
        member = self._member_of(stream)
        if member is None:
            return None
        del self._holder_of_stream[stream]
        # This is no heartbeat: the member's place in the order stays.
        member.state = TRANSITIONS[member.state, LivenessSignal.STREAM_CLOSED]
        return MembershipChange(member.holder, member.node, MemberState.DISCONNECTED)

    def step(self, now: int) -> list[MembershipChange]:
        """The holders that have become silent, and those whose grants have expired, which are forgotten."""
        changes = []
        for member in list(self._members.values()):
            if member.state is MemberState.LIVE and member.last_heartbeat > now - self._silence_us:
                break  # all behind it had a later heartbeat
            if member.state is MemberState.LIVE:
                member.state = TRANSITIONS[member.state, LivenessSignal.SILENCE]
                changes.append(MembershipChange(member.holder, member.node, member.state))
            if member.state is not MemberState.LIVE and member.last_heartbeat <= now - self._expiry_us:
                changes.append(self._expire(member))
        assert_invariant(not self._members or self._next_deadline_is_after(now), "what was due is done")
        return changes

    def next_deadline(self, now: int) -> int | None:
        """When `step` has to be called if no heartbeat comes before; None if there are no members."""
        times = []
        for member in self._members.values():
            is_live = member.state is MemberState.LIVE
            times.append(member.last_heartbeat + (self._silence_us if is_live else self._expiry_us))
            if is_live:
                break  # those behind it had a later heartbeat, and silence comes before forgetting
        return max(now, min(times)) if times else None

    def holder_of(self, stream: int) -> str | None:
        """The holder whose stream it is; None if it is nobody's."""
        return self._holder_of_stream.get(stream)

    def state(self, holder: str) -> MemberState:
        """The state of a holder; one that is not known is forgotten."""
        member = self._members.get(holder)
        return member.state if member else MemberState.EXPIRED

    def get(self, holder: str) -> Member | None:
        """A holder's membership; None if it has none."""
        return self._members.get(holder)

    def live(self) -> list[str]:
        """The holders that are live."""
        return [member.holder for member in self._members.values() if member.state is MemberState.LIVE]

    def __len__(self) -> int:
        """How many holders there are, in all states but EXPIRED."""
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
