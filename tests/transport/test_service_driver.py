"""The service driver without sockets: when steps run, and how actions and events are delivered."""

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

MILLISECOND_US = 1000


class StubService:
    """Stands in for a control service: records its steps; the test sets its deadline."""

    def __init__(self):
        self.emitted_events, self.steps, self.closed = [], [], []
        self.deadline, self.outgoing = 0, []

    def next_deadline(self, now):
        return max(now, self.deadline)

    def step(self, now):
        self.steps.append(now)
        self.deadline = now + 10_000 * MILLISECOND_US
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def resource_stream_closed(self, stream):
        self.closed.append(("resources", stream))

    def quota_stream_closed(self, stream, _now):
        self.closed.append(("quota", stream))


class StubQuotas:
    """Encodes a grant as its repr(); no message for route 0."""

    def grant_message(self, _session, grant):
        return None if isinstance(grant, Grant) and not grant.destination else repr(grant).encode()


class StubLeaderState:
    """Stands in for the leader's state; counts the reservations."""

    is_leader = True
    reservation_count = 0

    def reserve_numbers(self):
        self.reservation_count += 1


class StubContext:
    def peer(self):
        return "here"


@dataclass
class DriverHarness:
    """A stub service, its driver and one open stream."""

    service: StubService
    driver: ServiceDriver
    peer: Peer
    leader: StubLeaderState


def run_scenario(scenario):
    """Run a scenario with a new harness."""

    async def run():
        service, leader, registry = StubService(), StubLeaderState(), PeerRegistry(None)
        peer = Peer(1, StubContext(), asyncio.create_task(asyncio.sleep(100)), None, node="n")
        registry.add(peer)
        driver = ServiceDriver(service, StubQuotas(), registry, leader)
        await scenario(DriverHarness(service, driver, peer, leader))
        driver.stop()

    asyncio.run(run())


def test_steps_run_when_due_and_not_before_the_start():
    async def scenario(harness):
        harness.driver.schedule()
        await asyncio.sleep(0.02)
        assert harness.service.steps == []
        harness.driver.start()
        harness.service.deadline = clock.monotonic_us() + 30 * MILLISECOND_US
        harness.driver.schedule()
        await asyncio.sleep(0.01)
        assert harness.service.steps == []
        await asyncio.sleep(0.05)
        assert len(harness.service.steps) == harness.leader.reservation_count == 1

    run_scenario(scenario)


def test_an_earlier_deadline_moves_the_step_and_a_later_one_does_not():
    async def scenario(harness):
        began_us = clock.monotonic_us()
        harness.driver.start()
        harness.service.deadline = began_us + 200 * MILLISECOND_US
        harness.driver.schedule()
        harness.service.deadline = began_us + 20 * MILLISECOND_US
        harness.driver.schedule()
        harness.service.deadline = began_us + 10_000 * MILLISECOND_US
        harness.driver.schedule()
        await asyncio.sleep(0.4)
        assert len(harness.service.steps) == 1  # the first timer was cancelled
        assert harness.service.steps[0] < began_us + 200 * MILLISECOND_US

    run_scenario(scenario)


def test_actions_of_a_step_are_delivered_to_open_streams_only():
    async def scenario(harness):
        harness.peer.incremental = harness.peer.supports_ttl = True
        response = Response(CDS, "1", "v", ())
        grant, shards = Grant("h", 7, 1, 5, 6), ShardGrants(())
        harness.service.outgoing = [(1, response), (2, response), (1, grant), (1, Grant("h", 0, 1, 5, 6)), (1, shards)]
        harness.driver.start()
        harness.driver.schedule()
        await asyncio.sleep(0.02)
        encoded = wire.ResponseEncoder().encode(response, True, True)
        assert list(harness.peer.outgoing) == [encoded, repr(grant).encode(), repr(shards).encode()]

    run_scenario(scenario)


def test_a_standby_sends_resources_and_no_grants():
    async def scenario(harness):
        harness.leader.is_leader = False
        harness.driver.send([(1, Response(CDS, "1", "v", ())), (1, Grant("h", 7, 1, 5, 6))])
        assert len(harness.peer.outgoing) == 1

    run_scenario(scenario)


def test_a_rejection_is_logged_and_a_protocol_violation_ends_the_stream(caplog):
    async def scenario(harness):
        harness.driver.send([(1, ResponseRejected(CDS, ("a", "b"), "no such policy"))])
        assert caplog.messages == ["rejected: node n keeps its previous version of a, b: no such policy"]
        assert caplog.records[0].fields == {"node": "n", "type": CDS, "names": ("a", "b")}
        harness.driver.send([(1, CloseStream("a nonce that was not sent"))])
        assert harness.peer.end == StreamEnd(grpc.StatusCode.INVALID_ARGUMENT, "a nonce that was not sent")

    run_scenario(scenario)


def test_the_service_is_notified_of_a_closed_stream_and_an_earlier_deadline_applies():
    async def scenario(harness):
        harness.driver.stream_closed(harness.peer)
        assert harness.service.closed == [("resources", 1), ("quota", 1)]
        await asyncio.sleep(0.01)
        assert harness.service.steps == []  # no timer is set before the start
        harness.driver.start()
        harness.service.deadline = clock.monotonic_us() + 10_000 * MILLISECOND_US
        harness.driver.schedule()
        harness.service.deadline = 0
        harness.driver.stream_closed(harness.peer)
        await asyncio.sleep(0.02)
        assert len(harness.service.steps) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(("level", "lines"), [(logging.DEBUG, 2), (logging.INFO, 1)])
def test_the_services_events_are_logged_once_with_their_fields(caplog, level, lines):
    caplog.set_level(level, "scalefall")

    async def scenario(harness):
        harness.service.emitted_events = [LogEvent("endpoint", {"route": 7, "now": "ready"}), LogEvent("had", {}, True)]
        harness.driver.write_events()
        harness.driver.write_events()
        assert caplog.messages == ["endpoint: route=7 now=ready", "had: "][:lines]
        assert caplog.records[0].fields == {"route": 7, "now": "ready"}
        assert caplog.records[0].msg == "endpoint: %s"

    run_scenario(scenario)
