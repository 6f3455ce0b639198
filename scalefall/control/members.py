"""Membership: which processes of which proxies there are, and who may still be using grants. No I/O, no clock.

A node id names a proxy's place in its fleet; it is no identity, as a restarted proxy has the same and a mistake in a
configuration gives it to two. A holder is one process: its node id and an instance that the process makes at its start
(a random word in the node's metadata; a client that sends none has a new one with each stream). Grants are a holder's.

    state      heard   stream ends   silence    time       new stream of this instance
    LIVE       LIVE    CUT           SILENT     -          LIVE (the old stream is closed: it reconnected)
    SILENT     LIVE    CUT           -          GONE       LIVE (likewise)
    CUT        -       -             -          GONE       LIVE
    GONE       forgotten

`time` is `lease + delay` after the last sign of it: by then nothing that it was granted may be in use. A process that
comes back in that time is the same holder with what it had; one that comes back later is as good as new. Two instances
of one node id at once are both held, each with grants of its own out of the same allowance, and told of: it may be a
restart (the older one falls silent and its grants run out) or two processes under one name.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from scalefall.net.checks import check

MAX_INSTANCES_PER_NODE = 8  # of one node id, whose grants may be in use at a time: more are turned away


class MemberState(Enum):
    LIVE = "live"
    SILENT = "silent"
    DISCONNECTED = "cut"
    FORGOTTEN = "gone"


class LivenessSignal(Enum):
    """What can happen to a holder."""

    HEARD = "heard"
    ENDED = "stream ended"
    QUIET = "silence"
    TIME = "time"
    STREAM = "stream"


TABLE: dict[tuple[MemberState, LivenessSignal], MemberState] = {
    (MemberState.LIVE, LivenessSignal.HEARD): MemberState.LIVE,
    (MemberState.LIVE, LivenessSignal.ENDED): MemberState.DISCONNECTED,
    (MemberState.LIVE, LivenessSignal.QUIET): MemberState.SILENT,
    (MemberState.LIVE, LivenessSignal.STREAM): MemberState.LIVE,
    (MemberState.SILENT, LivenessSignal.HEARD): MemberState.LIVE,
    (MemberState.SILENT, LivenessSignal.ENDED): MemberState.DISCONNECTED,
    (MemberState.SILENT, LivenessSignal.TIME): MemberState.FORGOTTEN,
    (MemberState.SILENT, LivenessSignal.STREAM): MemberState.LIVE,
    (MemberState.DISCONNECTED, LivenessSignal.TIME): MemberState.FORGOTTEN,
    (MemberState.DISCONNECTED, LivenessSignal.STREAM): MemberState.LIVE,
}


@dataclass(slots=True)
class Member:
    holder: str
    node: str
    state: MemberState
    stream: int  # its stream now, or its last one
    heard: int  # the last sign of it


@dataclass(slots=True, frozen=True)
class Joined:
    """A stream belongs to a holder from now on."""

    holder: str
    is_known: bool  # it is known, and what it was granted may be in use
    replaced_stream: int | None  # the stream that it takes the place of
    shares_node_id: bool  # another instance of its node id may still be in use


@dataclass(slots=True, frozen=True)
class JoinRejected:
    """Too many instances of one node id."""

    node: str


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """A holder that is heard no more, or forgotten."""

    holder: str
    node: str
    state: MemberState


class Members:
    def __init__(self, silence_us: int, forget_us: int) -> None:
        check(0 < silence_us <= forget_us, "silence comes before forgetting")
        self._silence, self._forget = silence_us, forget_us
        self._members: OrderedDict[str, Member] = OrderedDict()  # the one heard longest ago first
        self._streams: dict[int, str] = {}
        self._nodes: dict[str, set[str]] = {}

    def join(self, stream: int, node: str, instance: str, now: int) -> Joined | JoinRejected:
        """A stream has named its node; instance is empty for a client that has no such word."""
        holder = f"{node}/{instance or f'stream-{stream}'}"
        known = self._members.get(holder)
        others = self._nodes.get(node, set()) - {holder}
        if known is None and len(others) >= MAX_INSTANCES_PER_NODE:
            return JoinRejected(node)
        if known is None:
            self._members[holder] = Member(holder, node, MemberState.LIVE, stream, now)
            self._nodes.setdefault(node, set()).add(holder)
            self._streams[stream] = holder
            return Joined(holder, False, None, bool(others))
        old = known.stream if known.state in (MemberState.LIVE, MemberState.SILENT) and known.stream != stream else None
        if old is not None:
            self._streams.pop(old, None)
        known.stream = stream
        self._streams[stream] = holder
        self._move(known, LivenessSignal.STREAM, now)
        return Joined(holder, True, old, bool(others))

    def heartbeat_received(self, stream: int, now: int) -> str | None:
        """Anything at all has come on the stream; the holder, if it was silent before and is live again."""
        member = self._by(stream)
        if member is None:
            return None
        was = member.state
        self._move(member, LivenessSignal.HEARD, now)
        return member.holder if was is MemberState.SILENT else None

    def stream_closed(self, stream: int, now: int) -> MembershipChange | None:
        """The stream is closed; nothing if it is nobody's any more, as its process has another by now."""
        member = self._by(stream)
        if member is None:
            return None
        del self._streams[stream]
        member.state = TABLE[member.state, LivenessSignal.ENDED]  # no sign of life: its place among them stays
        return MembershipChange(member.holder, member.node, MemberState.DISCONNECTED)

    def step(self, now: int) -> list[MembershipChange]:
        """Those that have been silent too long, and those whose grants have run out, which are forgotten."""
        changes = []
        for member in list(self._members.values()):
            if member.state is MemberState.LIVE and member.heard > now - self._silence:
                break  # all behind it were heard later
            if member.state is MemberState.LIVE:
                member.state = TABLE[member.state, LivenessSignal.QUIET]
                changes.append(MembershipChange(member.holder, member.node, member.state))
            if member.state is not MemberState.LIVE and member.heard <= now - self._forget:
                changes.append(self._drop(member))
        check(not self._members or self.next_deadline(now) > now, "what was due is done")
        return changes

    def next_deadline(self, now: int) -> int | None:
        """When turn() is due if nothing is heard before; None if there is nobody."""
        times = []
        for member in self._members.values():
            times.append(member.heard + (self._silence if member.state is MemberState.LIVE else self._forget))
            if member.state is MemberState.LIVE:
                break  # those behind it were heard later, and silence comes before forgetting
        return max(now, min(times)) if times else None

    def holder_of(self, stream: int) -> str | None:
        return self._streams.get(stream)

    def state(self, holder: str) -> MemberState:
        member = self._members.get(holder)
        return member.state if member else MemberState.FORGOTTEN

    def get(self, holder: str) -> Member | None:
        return self._members.get(holder)

    def live(self) -> list[str]:
        return [member.holder for member in self._members.values() if member.state is MemberState.LIVE]

    def __len__(self) -> int:
        return len(self._members)

    def _by(self, stream: int) -> Member | None:
        return self._members.get(self._streams.get(stream, ""))

    def _move(self, member: Member, sign: LivenessSignal, now: int) -> None:
        member.state, member.heard = TABLE[member.state, sign], now
        self._members.move_to_end(member.holder)

    def _drop(self, member: Member) -> MembershipChange:
        member.state = TABLE[member.state, LivenessSignal.TIME]
        del self._members[member.holder]
        if self._streams.get(member.stream) == member.holder:
            del self._streams[member.stream]
        self._nodes[member.node].discard(member.holder)
        if not self._nodes[member.node]:
            del self._nodes[member.node]
        return MembershipChange(member.holder, member.node, MemberState.FORGOTTEN)
