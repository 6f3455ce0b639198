"""Proxies that come, go silent, return with what they had, appear twice, and restart within a lease."""

from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalefall.control.members import (
    MAX_INSTANCES_PER_NODE,
    MembershipChange,
    Joined,
    Members,
    JoinRejected,
    MemberState,
)

SILENCE, FORGET = 10, 30


def members(*streams, at=0):
    """Members of which each has joined on its stream."""
    found = Members(SILENCE, FORGET)
    for number, node, instance in streams:
        found.join(number, node, instance, at)
    return found


def test_one_that_reconnects_is_the_same_holder_and_its_old_stream_is_closed():
    """The end of the old stream changes nothing."""
    m = members((1, "p", "x"))
    assert m.join(2, "p", "x", 5) == Joined("p/x", True, 1, False)
    assert m.stream_closed(1) is None
    assert m.state("p/x") is MemberState.LIVE
    assert m.stream_closed(2) == MembershipChange("p/x", "p", MemberState.DISCONNECTED)
    assert m.join(3, "p", "x", 8) == Joined("p/x", True, None, False)


def test_silence_and_expiry_count_from_the_last_heartbeat():
    """The end of a stream is none."""
    m = members((1, "p", "x"))
    assert m.step(SILENCE - 1) == []
    assert m.next_deadline(0) == SILENCE
    assert m.step(SILENCE) == [MembershipChange("p/x", "p", MemberState.SILENT)]
    m.stream_closed(1)
    assert m.step(FORGET - 1) == []
    assert m.step(FORGET) == [MembershipChange("p/x", "p", MemberState.EXPIRED)]
    assert len(m) == 0
    assert m.join(2, "p", "x", FORGET) == Joined("p/x", False, None, False)


def test_one_disconnected_after_a_long_silence_is_forgotten_in_time_though_others_send_heartbeats():
    """It was last heard long ago, and its place is before the other's."""
    m = members((1, "p", "x"), (2, "q", "y"))
    m.step(SILENCE)
    m.heartbeat_received(2, FORGET - 2)
    m.stream_closed(1)  # it was last heard long ago, and its place is before the other's
    assert m.step(FORGET) == [MembershipChange("p/x", "p", MemberState.EXPIRED)]
    assert m.next_deadline(FORGET) > FORGET


def test_a_silent_member_with_a_heartbeat_is_live_again():
    """The change is reported once."""
    m = members((1, "p", "x"))
    m.step(SILENCE)
    assert m.heartbeat_received(1, SILENCE + 1) == "p/x"
    assert m.heartbeat_received(1, SILENCE + 2) is None
    assert m.step(SILENCE + 3) == []
    assert m.live() == ["p/x"]


def test_instances_of_one_node_id_are_holders_of_their_own():
    """Whether it is a restart or a second process under the same name."""
    m = members((1, "p", "x"))
    assert m.join(2, "p", "y", 1) == Joined("p/y", False, None, True)
    m.stream_closed(1)
    assert m.join(3, "p", "z", 3).shares_node_id
    assert sorted(m.live()) == ["p/y", "p/z"]
    assert m.state("p/x") is MemberState.DISCONNECTED
    assert m.join(4, "q", "x", 3) == Joined("q/x", False, None, False)


def test_a_client_without_an_instance_is_new_with_each_stream():
    """Its stream's number stands for the instance."""
    m = members((1, "p", ""))
    assert m.join(2, "p", "", 1) == Joined("p/stream-2", False, None, True)


def test_instances_of_one_node_id_are_bounded():
    """Those that are forgotten make way."""
    m = members(*((n, "p", f"i{n}") for n in range(MAX_INSTANCES_PER_NODE)))
    assert m.join(99, "p", "more", 1) == JoinRejected("p")
    assert len(m) == MAX_INSTANCES_PER_NODE
    assert isinstance(m.join(99, "q", "more", 1), Joined)
    m.step(FORGET)
    assert isinstance(m.join(100, "p", "more", FORGET), Joined)


class Fleet(RuleBasedStateMachine):
    """Against a plain account of when each process was last heard."""

    @initialize()
    def start(self):
        """Nobody has joined."""
        self.m, self.now, self.streams, self.heard, self.next = Members(SILENCE, FORGET), 0, {}, {}, 0

    @rule(node=st.sampled_from("pq"), instance=st.sampled_from("xy"))
    def joins(self, node, instance):
        """A process opens a stream, for the first time or again."""
        self.next += 1
        joined = self.m.join(self.next, node, instance, self.now)
        before = [stream for stream, holder in self.streams.items() if holder == joined.holder]
        assert ([joined.replaced_stream] if joined.replaced_stream else []) == before
        assert joined.is_known == (joined.holder in self.heard)
        for stream in before:
            del self.streams[stream]
        self.streams[self.next], self.heard[joined.holder] = joined.holder, self.now

    @rule(data=st.data(), ends=st.booleans())
    def speaks_or_ends(self, data, ends):
        """Something comes on a stream, or it is closed."""
        if not self.streams:
            return
        stream = data.draw(st.sampled_from(sorted(self.streams)))
        if ends:
            assert self.m.stream_closed(stream).state is MemberState.DISCONNECTED
            del self.streams[stream]
        else:
            self.m.heartbeat_received(stream, self.now)
            self.heard[self.streams[stream]] = self.now

    @rule(span=st.integers(1, 12))
    def time_goes_on(self, span):
        """Those whose time is over are forgotten, and no others."""
        self.now += span
        gone = {change.holder for change in self.m.step(self.now) if change.state is MemberState.EXPIRED}
        assert gone == {holder for holder, at in self.heard.items() if at <= self.now - FORGET}
        self.heard = {holder: at for holder, at in self.heard.items() if holder not in gone}
        self.streams = {stream: holder for stream, holder in self.streams.items() if holder not in gone}
        assert self.m.next_deadline(self.now) is None or self.m.next_deadline(self.now) > self.now

    @invariant()
    def knows_who_is_live(self):
        """States and streams are those of the account."""
        if hasattr(self, "m"):
            assert len(self.m) == len(self.heard)
            live = {holder for holder in self.streams.values() if self.m.state(holder) is MemberState.LIVE}
            assert set(self.m.live()) == live
            assert all(self.m.holder_of(stream) == holder for stream, holder in self.streams.items())


Fleet.TestCase.settings = limits(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
TestFleet = Fleet.TestCase
