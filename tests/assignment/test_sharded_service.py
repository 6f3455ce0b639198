"""The control service with destinations divided among senders, and simulated senders, in virtual time."""

from collections import Counter

import pytest
from helpers import settings

from scalefall.assignment.assembly import AssignmentSettings
from scalefall.assignment.service import ShardedService, ShardGrants
from scalefall.assignment.sharding import Sharding
from scalefall.control.catalog import EDS, Resource
from scalefall.control.grants import UNITS_PER_CALL
from scalefall.control.service import ResourceBuilder
from scalefall.control.streams import Request, Response
from scalefall.control.transport import quota_wire, resources
from scalefall.lab.proxy.contract import Fallback, Refuse, Send
from scalefall.lab.proxy.sharded import ShardedContract
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Endpoint, EndpointReport, EndpointStatus, Outcome

MILLISECOND = 1000  # us
SECOND = 1_000_000  # us
LEASE_US = 2 * SECOND
DELAY_US = SECOND // 2
TTL_US = 900 * MILLISECOND
SHARDS = 64
DESTINATIONS = range(1, 41)
ASSIGNMENT = AssignmentSettings(SHARDS, LEASE_US, DELAY_US, restart_us=3 * SECOND)
RULES = RouteRules(frozenset({"c"}), 3, SECOND)


def built_list(number, rows, _allowed, _now):
    """Return a destination's endpoint list, with all endpoints ready."""
    states = {entry.endpoint.id: "ready" for entry in rows}
    return Resource(EDS, resources.resource_name(number), "1", states, destination=number)


def built_fixed(_rows, _routes):
    """Return the resource whose heartbeats keep all endpoint lists valid."""
    return [Resource(EDS, resources.LEASE_NAME, "1", None, frozenset(), TTL_US)]


class Sender:
    """A process of a node with a resource stream and a quota stream, on which messages arrive at once."""

    def __init__(self, simulation, node, instance="1", region="r"):
        """Create a process that has not connected yet."""
        self.simulation, self.node, self.instance, self.region = simulation, node, instance, region
        self.contract = ShardedContract(Sharding(SHARDS).shard_of)
        self.reachable, self.sent = True, Counter()
        simulation.last_stream += 2
        self.resource_stream, self.quota_stream = simulation.last_stream - 1, simulation.last_stream
        self.lists, self.is_first_lease = set(), True

    def start(self):
        """Open both streams."""
        simulation = self.simulation
        self.contract.stream_opened(simulation.now)
        simulation.service.resource_stream_opened(self.resource_stream, self.node, True, True)
        simulation.deliver(simulation.service.request(self.resource_stream, Request(EDS, names=("*",)), simulation.now))
        simulation.service.quota_stream_joined(
            self.quota_stream, self.node, self.instance, simulation.now, self.region, "z"
        )
        return self

    def received(self, action):
        """Process a message of the service."""
        if isinstance(action, ShardGrants):
            grants, _ = quota_wire.read_shard_grants(
                quota_wire.shard_grants(action.grants, 1), f"{self.node}/{self.instance}"
            )
            assert tuple(grants) == action.grants
            self.contract.shard_grants_received(grants, self.last_report)
        elif isinstance(action, Response):
            self.resources_received(action)

    def resources_received(self, response):
        """Process resources and acknowledge them."""
        if response.is_heartbeat:
            self.contract.heartbeat_received()
        for resource in () if response.is_heartbeat else response.resources:
            if resource.name == resources.LEASE_NAME:
                self.contract.lease_received(resource.ttl_us, self.is_first_lease)
                self.is_first_lease = False
            else:
                self.lists.add(resource.destination)
                self.contract.list_received(resource.destination, resource.body, False, 0, False)
        for name in response.removed:
            self.lists.discard(resources.destination_of(name))
            self.contract.list_removed(resources.destination_of(name))
        self.contract.acknowledged(self.simulation.now)
        self.simulation.deliver(
            self.simulation.service.request(self.resource_stream, Request(EDS, response.nonce), self.simulation.now)
        )

    def report(self):
        """Send a report, which acknowledges grants."""
        self.last_report, highest_grant = self.contract.next_report(self.simulation.now)
        self.simulation.service.acknowledged(self.quota_stream, highest_grant, self.simulation.now)

    def choose_all(self):
        """Return the proxy's decision on one message for each destination."""
        return {number: self.contract.choose(number, self.simulation.now) for number in DESTINATIONS}


class Simulation:
    """A service, its senders, and the streams between them, which deliver messages at once."""

    def __init__(self):
        """Start a service with one endpoint for each destination, and no sender."""
        self.now, self.last_stream, self.senders = 0, 0, []
        builder = ResourceBuilder(built_fixed, built_list)
        self.service = ShardedService(
            0, settings(replica_count=1), 3, builder, LEASE_US, DELAY_US, LEASE_US, ASSIGNMENT
        )
        self.service.become_leader(0, 0)
        entries = [
            Entry(Endpoint(f"e{number}", "a", "one", number, EndpointStatus.READY, 0.0), ("127.0.0.1", number))
            for number in DESTINATIONS
        ]
        self.service.configure(Fleet(entries, dict.fromkeys(DESTINATIONS, RULES)), 0)

    def add(self, node, instance="1", region="r"):
        """Start a process of a node."""
        self.senders.append(Sender(self, node, instance, region))
        return self.senders[-1].start()

    def deliver(self, outgoing):
        """Deliver the service's messages."""
        for stream, action in outgoing:
            for sender in self.senders:
                if sender.reachable and stream in (sender.resource_stream, sender.quota_stream):
                    sender.received(action)

    def run(self, seconds):
        """Step every 50 ms, report every 500 ms, and check after each step that no destination has two holders."""
        end = self.now + seconds * SECOND
        while self.now < end:
            self.now += 50 * MILLISECOND
            if self.now % (500 * MILLISECOND) == 0:
                for sender in self.senders:
                    if sender.reachable:
                        sender.report()
            self.deliver(self.service.step(self.now))
            self.check_holders()

    def check_holders(self):
        """Check that no two senders hold a destination."""
        for number in DESTINATIONS:
            assert sum(sender.contract.holder.holds(number, self.now) for sender in self.senders) <= 1

    def served(self):
        """Return the nodes that would call each destination now."""
        chosen = [(sender, sender.choose_all()) for sender in self.senders]
        return {
            number: [sender.node for sender, found in chosen if isinstance(found[number], Send)]
            for number in DESTINATIONS
        }


@pytest.fixture
def simulation():
    """Return a simulation of three senders after the grace period."""
    started = Simulation()
    for node in "abc":
        started.add(node)
    started.run(8)
    return started


def test_each_destination_is_served_by_one_sender_which_alone_has_its_endpoint_list(simulation):
    """Guards against endpoint lists and grants that go to different senders."""
    served = simulation.served()
    assert all(len(nodes) == 1 for nodes in served.values())
    for sender in simulation.senders:
        served_here = {number for number, nodes in served.items() if nodes == [sender.node]}
        assert served_here
        assert sender.lists == served_here


def test_a_message_at_a_sender_that_does_not_hold_its_destination_goes_to_the_ingress(simulation):
    """Guards against calls without a lease on the destination's shard."""
    for sender in simulation.senders:
        found = sender.choose_all()
        others = [found[number] for number in DESTINATIONS if number not in sender.lists]
        assert others
        assert all(isinstance(each, Fallback) for each in others)


def test_a_restarted_sender_keeps_its_shards_and_only_the_shards_of_a_lost_one_move(simulation):
    """Guards against moves after a restart, and against moves of other nodes' shards when a node does not return."""
    before = simulation.served()
    lost = simulation.senders[0]
    lost.reachable = False
    for stream in (lost.resource_stream, lost.quota_stream):
        simulation.service.resource_stream_closed(stream)
        simulation.service.quota_stream_closed(stream, simulation.now)
    restarted = simulation.add("a", "2")
    simulation.run(4)
    assert simulation.served() == before
    assert restarted.lists
    restarted.reachable = False
    simulation.run(12)  # until the unreachable node is removed, and the others have its shards
    after = simulation.served()
    assert all(len(nodes) == 1 and nodes != ["a"] for nodes in after.values())
    assert all(after[number] == nodes for number, nodes in before.items() if nodes != ["a"])


def test_a_shard_that_moves_is_served_again_once_its_withdrawal_is_acknowledged(simulation):
    """Guards against a gap as long as a lease, and against moves of other shards."""
    before, added = simulation.served(), simulation.add("d")
    gaps = Counter()
    for _ in range(60):
        simulation.run(0.05)
        gaps.update(number for number, nodes in simulation.served().items() if not nodes)
    after = simulation.served()
    moved = {number for number in DESTINATIONS if after[number] != before[number]}
    assert moved
    assert all(after[number] == ["d"] for number in moved)
    assert added.lists == moved
    assert not any(sender.lists & moved for sender in simulation.senders if sender is not added)
    assert max(gaps.values()) * 50 * MILLISECOND < LEASE_US  # ended by the acknowledgement, not by the lease's expiry


def test_a_lost_sender_s_shards_stay_in_its_region():
    """Guards against shards of a lost sender that are placed in another region."""
    simulation = Simulation()
    for node, region in zip("abcdevwx", "eeeeewww", strict=True):
        simulation.add(node, region=region)
    simulation.run(8)
    before = simulation.served()
    simulation.senders[0].reachable = False
    simulation.run(12)
    after = {node for number, [node] in simulation.served().items() if before[number] == ["a"]}
    assert after
    assert after <= set("bcde")


def test_an_allowance_limits_the_holder(simulation):
    """An overloaded endpoint stops calls to its destination at once; later they resume at a small rate."""
    number, [node] = next(iter(simulation.served().items()))
    simulation.service.calls_reported(
        [EndpointReport(f"e{number}", simulation.now, Outcome.OVERLOADED, 2 * SECOND)], simulation.now
    )
    simulation.run(0.2)
    [holder] = [sender for sender in simulation.senders if sender.node == node]
    assert holder.contract.holder.budget(number, simulation.now) == 0
    assert isinstance(holder.contract.choose(number, simulation.now), Refuse)
    simulation.run(20)
    assert 0 < holder.contract.holder.budget(number, simulation.now) < 10 * UNITS_PER_CALL


def test_a_service_that_starts_from_a_snapshot_moves_no_shard(simulation):
    """Guards against a change of leader that moves destinations between senders."""
    before, text = simulation.served(), simulation.service.snapshot()
    old, simulation.service = simulation.service, Simulation().service
    simulation.service.become_leader(simulation.now, old.ledger.number, text)
    for sender in simulation.senders:
        sender.contract.quota_stream_opened()
        sender.is_first_lease = True
        sender.start()
    simulation.run(8)
    assert simulation.served() == before


@pytest.mark.parametrize("text", ["", "scalefall-assignment 1 00\n{}\n", None])
def test_a_rejected_snapshot_is_logged_in_one_line_and_all_shards_are_placed_again(text):
    """Guards against a service that fails to start from an empty or corrupt snapshot, or one of other settings."""
    simulation = Simulation()
    if text is None:
        text = simulation.service.snapshot().replace("shards 64", "shards 65")
    simulation.service.become_leader(simulation.now, 0, text)
    rejections = [row for row in simulation.service.emitted_events if row.event == "assignment not taken"]
    assert len(rejections) == 1
    assert "\n" not in rejections[0].fields["error"]
    simulation.add("a")
    simulation.run(8)
    assert all(nodes == ["a"] for nodes in simulation.served().values())
