"""The service in real time, without sockets: when its steps are run, and where what it gives goes."""

import asyncio
import logging
from dataclasses import dataclass

import grpc
import pytest

from scalefall.assignment.service import ShardGrants
from scalefall.control.catalog import CDS
from scalefall.control.grants import Grant
from scalefall.control.log_events import LogEvent
from scalefall.control.streams import CloseStream, Response, ResponseRejected
from scalefall.control.transport import clock, wire
from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEnd
from scalefall.control.transport.service_driver import ServiceDriver

MS = 1000


class Service:
    """In place of a control service: steps that are noted, and a deadline that the test sets."""

    def __init__(self):
        self.emitted_events, self.steps, self.closed = [], [], []
        self.deadline, self.outgoing = 0, []

    def next_deadline(self, now):
        return max(now, self.deadline)

    def step(self, now):
        self.steps.append(now)
        self.deadline = now + 10_000 * MS
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def resource_stream_closed(self, stream):
        self.closed.append(("resources", stream))

    def quota_stream_closed(self, stream, _now):
        self.closed.append(("quota", stream))


class Quotas:
    """Grants as their representation; none for route 0."""

    def grant_message(self, _session, grant):
        return None if isinstance(grant, Grant) and not grant.destination else repr(grant).encode()


class Leader:
    is_leader = True
    reserved = 0

    def reserve_numbers(self):
        self.reserved += 1


class Context:
    def peer(self):
        return "here"


@dataclass
class Stage:
    """A service, its driver and one open stream."""

    service: Service
    driver: ServiceDriver
    peer: Peer
    leader: Leader


def played(play):
    """Run a play on a stage of its own."""

    async def run():
        service, leader, registry = Service(), Leader(), PeerRegistry(None)
        peer = Peer(1, Context(), asyncio.create_task(asyncio.sleep(100)), None, node="n")
        registry.add(peer)
        driver = ServiceDriver(service, Quotas(), registry, leader)
        await play(Stage(service, driver, peer, leader))
        driver.stop()

    asyncio.run(run())


def test_steps_are_run_when_they_are_due_and_not_before_the_start():
    async def play(stage):
        stage.driver.schedule()
        await asyncio.sleep(0.02)
        assert stage.service.steps == []
        stage.driver.start()
        stage.service.deadline = clock.monotonic_us() + 30 * MS
        stage.driver.schedule()
        await asyncio.sleep(0.01)
        assert stage.service.steps == []
        await asyncio.sleep(0.05)
        assert len(stage.service.steps) == stage.leader.reserved == 1

    played(play)


def test_an_earlier_deadline_moves_the_step_and_a_later_one_does_not():
    async def play(stage):
        began = clock.monotonic_us()
        stage.driver.start()
        stage.service.deadline = began + 200 * MS
        stage.driver.schedule()
        stage.service.deadline = began + 20 * MS
        stage.driver.schedule()
        stage.service.deadline = began + 10_000 * MS
        stage.driver.schedule()
        await asyncio.sleep(0.4)
        assert len(stage.service.steps) == 1  # the one that was set first was cancelled
        assert stage.service.steps[0] < began + 200 * MS

    played(play)


def test_what_a_step_gives_goes_to_its_stream_and_to_none_that_has_closed():
    async def play(stage):
        stage.peer.incremental = stage.peer.understands_ttl = True
        response = Response(CDS, "1", "v", ())
        grant, shards = Grant("h", 7, 1, 5, 6), ShardGrants(())
        stage.service.outgoing = [(1, response), (2, response), (1, grant), (1, Grant("h", 0, 1, 5, 6)), (1, shards)]
        stage.driver.start()
        stage.driver.schedule()
        await asyncio.sleep(0.02)
        encoded = wire.ResponseEncoder().encode(response, True, True)
        assert list(stage.peer.outgoing) == [encoded, repr(grant).encode(), repr(shards).encode()]

    played(play)


def test_a_standby_sends_resources_and_no_grants():
    async def play(stage):
        stage.leader.is_leader = False
        stage.driver.send([(1, Response(CDS, "1", "v", ())), (1, Grant("h", 7, 1, 5, 6))])
        assert len(stage.peer.outgoing) == 1

    played(play)


def test_a_rejection_is_logged_and_a_broken_rule_ends_the_stream(caplog):
    async def play(stage):
        stage.driver.send([(1, ResponseRejected(CDS, ("a", "b"), "no such policy"))])
        assert caplog.messages == ["rejected: node n keeps its previous version of a, b: no such policy"]
        assert caplog.records[0].fields == {"node": "n", "type": CDS, "names": ("a", "b")}
        stage.driver.send([(1, CloseStream("a nonce that was not sent"))])
        assert stage.peer.end == StreamEnd(grpc.StatusCode.INVALID_ARGUMENT, "a nonce that was not sent")

    played(play)


def test_a_closed_stream_is_told_to_the_service_and_an_earlier_deadline_counts():
    async def play(stage):
        stage.driver.stream_closed(stage.peer)
        assert stage.service.closed == [("resources", 1), ("quota", 1)]
        await asyncio.sleep(0.01)
        assert stage.service.steps == []  # no timer was set: it has not started
        stage.driver.start()
        stage.service.deadline = clock.monotonic_us() + 10_000 * MS
        stage.driver.schedule()
        stage.service.deadline = 0
        stage.driver.stream_closed(stage.peer)
        await asyncio.sleep(0.02)
        assert len(stage.service.steps) == 1

    played(play)


@pytest.mark.parametrize(("level", "lines"), [(logging.DEBUG, 2), (logging.INFO, 1)])
def test_the_service_s_events_are_written_once_with_their_fields(caplog, level, lines):
    caplog.set_level(level, "scalefall")

    async def play(stage):
        stage.service.emitted_events = [LogEvent("endpoint", {"route": 7, "now": "ready"}), LogEvent("had", {}, True)]
        stage.driver.write_events()
        stage.driver.write_events()
        assert caplog.messages == ["endpoint: route=7 now=ready", "had: "][:lines]
        assert caplog.records[0].fields == {"route": 7, "now": "ready"}
        assert caplog.records[0].msg == "endpoint: %s"

    played(play)
