"""Members join, become silent, reconnect with their grants, share a node id, and expire."""

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

SILENCE_US = 10
EXPIRY_US = 30


def joined_members(*streams, at=0):
    """Return members, each of which has joined on its stream."""
    members = Members(SILENCE_US, EXPIRY_US)
    for stream, node, instance in streams:
        members.join(stream, node, instance, at)
    return members


def test_a_process_that_reconnects_is_the_same_holder_and_its_old_stream_is_closed():
    """The end of the old stream, which comes later, does not disconnect the holder."""
    members = joined_members((1, "p", "x"))
    assert members.join(2, "p", "x", 5) == Joined("p/x", True, 1, False)
    assert members.stream_closed(1) is None
    assert members.state("p/x") is MemberState.LIVE
    assert members.stream_closed(2) == MembershipChange("p/x", "p", MemberState.DISCONNECTED)
    assert members.join(3, "p", "x", 8) == Joined("p/x", True, None, False)


def test_silence_and_expiry_count_from_the_last_heartbeat():
    """The end of a stream is no heartbeat and does not postpone the expiry."""
    members = joined_members((1, "p", "x"))
    assert members.step(SILENCE_US - 1) == []
    assert members.next_deadline(0) == SILENCE_US
    assert members.step(SILENCE_US) == [MembershipChange("p/x", "p", MemberState.SILENT)]
    members.stream_closed(1)
    assert members.step(EXPIRY_US - 1) == []
    assert members.step(EXPIRY_US) == [MembershipChange("p/x", "p", MemberState.EXPIRED)]
    assert len(members) == 0
    assert members.join(2, "p", "x", EXPIRY_US) == Joined("p/x", False, None, False)


def test_a_holder_disconnected_after_a_long_silence_expires_in_time_while_others_send_heartbeats():
    """Members are ordered by last heartbeat; moving it to the end at the disconnection would delay its expiry."""
    members = joined_members((1, "p", "x"), (2, "q", "y"))
    members.step(SILENCE_US)
    members.heartbeat_received(2, EXPIRY_US - 2)
    members.stream_closed(1)
    assert members.step(EXPIRY_US) == [MembershipChange("p/x", "p", MemberState.EXPIRED)]
    assert members.next_deadline(EXPIRY_US) > EXPIRY_US


def test_a_silent_member_with_a_heartbeat_is_live_again():
    """Only the first heartbeat after the silence reports the change."""
    members = joined_members((1, "p", "x"))
    members.step(SILENCE_US)
    assert members.heartbeat_received(1, SILENCE_US + 1) == "p/x"
    assert members.heartbeat_received(1, SILENCE_US + 2) is None
    assert members.step(SILENCE_US + 3) == []
    assert members.live() == ["p/x"]


def test_instances_of_one_node_id_are_separate_holders():
    """A restart and a second process with the same node id are treated alike."""
    members = joined_members((1, "p", "x"))
    assert members.join(2, "p", "y", 1) == Joined("p/y", False, None, True)
    members.stream_closed(1)
    assert members.join(3, "p", "z", 3).shares_node_id
    assert sorted(members.live()) == ["p/y", "p/z"]
    assert members.state("p/x") is MemberState.DISCONNECTED
    assert members.join(4, "q", "x", 3) == Joined("q/x", False, None, False)


def test_a_client_without_an_instance_is_new_with_each_stream():
    """The stream's number replaces the instance id."""
    members = joined_members((1, "p", ""))
    assert members.join(2, "p", "", 1) == Joined("p/stream-2", False, None, True)


def test_instances_of_one_node_id_are_bounded():
    """A client that restarts in a loop cannot fill the memory; expired instances no longer count."""
    members = joined_members(*((number, "p", f"i{number}") for number in range(MAX_INSTANCES_PER_NODE)))
    assert members.join(99, "p", "more", 1) == JoinRejected("p")
    assert len(members) == MAX_INSTANCES_PER_NODE
    assert isinstance(members.join(99, "q", "more", 1), Joined)
    members.step(EXPIRY_US)
    assert isinstance(members.join(100, "p", "more", EXPIRY_US), Joined)


class Fleet(RuleBasedStateMachine):
    """Compares Members with a plain record of each process's last heartbeat."""

    @initialize()
    def start(self):
        """Start without members."""
        self.members, self.now = Members(SILENCE_US, EXPIRY_US), 0
        self.streams, self.last_heartbeats, self.last_stream = {}, {}, 0

    @rule(node=st.sampled_from("pq"), instance=st.sampled_from("xy"))
    def join(self, node, instance):
        """Open a stream of a process, for the first time or again."""
        self.last_stream += 1
        joined = self.members.join(self.last_stream, node, instance, self.now)
        before = [stream for stream, holder in self.streams.items() if holder == joined.holder]
        assert ([joined.replaced_stream] if joined.replaced_stream else []) == before
        assert joined.is_known == (joined.holder in self.last_heartbeats)
        for stream in before:
            del self.streams[stream]
        self.streams[self.last_stream], self.last_heartbeats[joined.holder] = joined.holder, self.now

    @rule(data=st.data(), closes=st.booleans())
    def receive_or_close(self, data, closes):
        """Receive a message on a stream, or close it."""
        if not self.streams:
            return
        stream = data.draw(st.sampled_from(sorted(self.streams)))
        if closes:
            assert self.members.stream_closed(stream).state is MemberState.DISCONNECTED
            del self.streams[stream]
        else:
            self.members.heartbeat_received(stream, self.now)
            self.last_heartbeats[self.streams[stream]] = self.now

    @rule(span=st.integers(1, 12))
    def advance_time(self, span):
        """Advance the time; the holders that are due expire, and no others."""
        self.now += span
        expired = {change.holder for change in self.members.step(self.now) if change.state is MemberState.EXPIRED}
        assert expired == {holder for holder, at in self.last_heartbeats.items() if at <= self.now - EXPIRY_US}
        self.last_heartbeats = {holder: at for holder, at in self.last_heartbeats.items() if holder not in expired}
        self.streams = {stream: holder for stream, holder in self.streams.items() if holder not in expired}
        assert self.members.next_deadline(self.now) is None or self.members.next_deadline(self.now) > self.now

    @invariant()
    def states_match_the_record(self):
        """States and streams are those of the record."""
        if hasattr(self, "members"):
            assert len(self.members) == len(self.last_heartbeats)
            live = {holder for holder in self.streams.values() if self.members.state(holder) is MemberState.LIVE}
            assert set(self.members.live()) == live
            assert all(self.members.holder_of(stream) == holder for stream, holder in self.streams.items())


Fleet.TestCase.settings = limits(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)
TestFleet = Fleet.TestCase
