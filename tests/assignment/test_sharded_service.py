"""The control service with destinations divided among senders, and senders that keep its contract, on one clock."""

from collections import Counter

import pytest
from helpers import settings

from scalefall import interface as i
from scalefall.assignment.assembly import AssignmentSettings
from scalefall.assignment.service import ShardedService, ShardGrants
from scalefall.assignment.sharding import Sharding
from scalefall.control.catalog import EDS, Resource
from scalefall.control.grants import UNITS_PER_CALL
from scalefall.control.service import ResourceBuilder
from scalefall.control.streams import Request, Response
from scalefall.control.transport import resources, wire
from scalefall.lab.proxy.contract import Fall, Refuse, Send
from scalefall.lab.proxy.sharded import ShardedContract
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.endpoint_list import Entry

MS, S = 1000, 1_000_000
LEASE, DELAY, TTL = 2 * S, S // 2, 900 * MS
SHARDS, DESTINATIONS = 64, range(1, 41)
ASSIGNMENT = AssignmentSettings(SHARDS, LEASE, DELAY, restart_us=3 * S)
RULES = RouteRules(frozenset({"c"}), 3, S)


def built_list(number, rows, allowed, now):
    states = {entry.endpoint.id: "ready" for entry in rows}
    return Resource(EDS, resources.name(number), "1", states, destination=number)


def built_fixed(rows, routes):
    return [Resource(EDS, resources.LEASE_NAME, "1", None, frozenset(), TTL)]


class Sender:
    """A process of a node: one stream of resources, one of quotas; what it is sent has arrived at once."""

    def __init__(self, world, node, instance="1", region="r"):
        self.world, self.node, self.instance, self.region = world, node, instance, region
        self.contract = ShardedContract(Sharding(SHARDS).shard_of)
        self.reachable, self.sent = True, Counter()
        world.numbers += 2
        self.ads, self.quota = world.numbers - 1, world.numbers
        self.lists, self.first = set(), True

    def start(self):
        world = self.world
        self.contract.opened(world.now)
        world.service.resource_stream_opened(self.ads, self.node, True, True)
        world.carry(world.service.request(self.ads, Request(EDS, names=("*",)), world.now))
        world.service.quota_stream_joined(self.quota, self.node, self.instance, world.now, self.region, "z")
        return self

    def received(self, action):
        if isinstance(action, ShardGrants):
            grants, _ = wire.read_shard_grants(wire.shard_grants(action.grants, 1), f"{self.node}/{self.instance}")
            assert tuple(grants) == action.grants
            self.contract.shards_granted(grants, self.heard)
        elif isinstance(action, Response):
            self.listed(action)

    def listed(self, response):
        if response.is_heartbeat:
            self.contract.beaten()
        for resource in () if response.is_heartbeat else response.resources:
            if resource.name == resources.LEASE_NAME:
                self.contract.leased(resource.ttl_us, self.first)
                self.first = False
            else:
                self.lists.add(resource.destination)
                self.contract.listed(resource.destination, resource.body, False, 0, False)
        for name in response.removed:
            self.lists.discard(resources.destination(name))
            self.contract.removed(resources.destination(name))
        self.contract.answered(self.world.now)
        self.world.carry(self.world.service.request(self.ads, Request(EDS, response.nonce), self.world.now))

    def report(self):
        self.heard, had = self.contract.report(self.world.now)
        self.world.service.acknowledged(self.quota, had, self.world.now)

    def try_all(self):
        """One message for each destination; how each ended."""
        return {number: self.contract.choose(number, self.world.now) for number in DESTINATIONS}


class World:
    def __init__(self):
        self.now, self.numbers, self.senders = 0, 0, []
        builder = ResourceBuilder(built_fixed, built_list)
        self.service = ShardedService(0, settings(siblings=1), 3, builder, LEASE, DELAY, LEASE, ASSIGNMENT)
        self.service.become_leader(0, 0)
        entries = [
            Entry(i.Endpoint(f"e{n}", "a", "one", n, i.Status.READY, 0.0), ("127.0.0.1", n)) for n in DESTINATIONS
        ]
        self.service.configure(Fleet(entries, dict.fromkeys(DESTINATIONS, RULES)), 0)

    def add(self, node, instance="1", region="r"):
        self.senders.append(Sender(self, node, instance, region))
        return self.senders[-1].start()

    def carry(self, out):
        for stream, action in out:
            for sender in self.senders:
                if sender.reachable and stream in (sender.ads, sender.quota):
                    sender.received(action)

    def run(self, seconds):
        """Turns each 50 ms, reports each 500 ms; checks the sum rule at each."""
        end = self.now + seconds * S
        while self.now < end:
            self.now += 50 * MS
            if self.now % (500 * MS) == 0:
                for sender in self.senders:
                    if sender.reachable:
                        sender.report()
            self.carry(self.service.step(self.now))
            self.check()

    def check(self):
        for number in DESTINATIONS:
            assert sum(sender.contract.holder.holds(number, self.now) for sender in self.senders) <= 1

    def served(self):
        """By whom each destination would be called now."""
        chosen = [(sender, sender.try_all()) for sender in self.senders]
        return {
            number: [sender.node for sender, found in chosen if isinstance(found[number], Send)]
            for number in DESTINATIONS
        }


@pytest.fixture
def world():
    made = World()
    for node in "abc":
        made.add(node)
    made.run(8)
    return made


def test_each_destination_is_served_by_one_sender_which_alone_has_its_list(world):
    """Lists of endpoints and grants go to the same sender."""
    served = world.served()
    assert all(len(nodes) == 1 for nodes in served.values())
    for sender in world.senders:
        theirs = {number for number, nodes in served.items() if nodes == [sender.node]}
        assert theirs
        assert sender.lists == theirs


def test_a_message_at_a_sender_that_does_not_hold_its_destination_is_never_sent_from_there(world):
    """It goes to the sender's own ingress, once."""
    for sender in world.senders:
        found = sender.try_all()
        others = [found[number] for number in DESTINATIONS if number not in sender.lists]
        assert others
        assert all(isinstance(each, Fall) for each in others)


def test_a_lost_sender_s_shards_go_on_after_its_lease_and_a_restart_moves_nothing(world):
    """A new process gets the node's shards; a node that stays away loses only its own."""
    before = world.served()
    lost = world.senders[0]
    lost.reachable = False
    for stream in (lost.ads, lost.quota):
        world.service.resource_stream_closed(stream)
        world.service.quota_stream_closed(stream, world.now)
    again = world.add("a", "2")
    world.run(4)
    assert world.served() == before
    assert again.lists
    again.reachable = False
    world.run(12)  # its silence is seen, it does not come back, and the others have its shards
    after = world.served()
    assert all(len(nodes) == 1 and nodes != ["a"] for nodes in after.values())
    assert all(after[number] == nodes for number, nodes in before.items() if nodes != ["a"])


def test_a_shard_that_moves_goes_on_once_its_withdrawal_is_acknowledged(world):
    """The gap is shorter than a lease, and nothing else moves."""
    before, added = world.served(), world.add("d")
    gaps = Counter()
    for _ in range(60):
        world.run(0.05)
        gaps.update(number for number, nodes in world.served().items() if not nodes)
    after = world.served()
    moved = {number for number in DESTINATIONS if after[number] != before[number]}
    assert moved
    assert all(after[number] == ["d"] for number in moved)
    assert added.lists == moved
    assert not any(sender.lists & moved for sender in world.senders if sender is not added)
    assert max(gaps.values()) * 50 * MS < LEASE  # an acknowledgement, not the lease's end


def test_a_lost_sender_s_shards_stay_in_its_region():
    """All of its destinations are served by senders of that region."""
    world = World()
    for node, region in zip("abcdevwx", "eeeeewww", strict=True):
        world.add(node, region=region)
    world.run(8)
    before = world.served()
    world.senders[0].reachable = False
    world.run(12)
    after = {node for number, [node] in world.served().items() if before[number] == ["a"]}
    assert after
    assert after <= set("bcde")


def test_an_allowance_reaches_the_holder_and_binds_it(world):
    """An overloaded endpoint stops its destination at once; later it gets a small rate."""
    number, [node] = next(iter(world.served().items()))
    world.service.calls_reported([i.Reported(f"e{number}", world.now, i.Outcome.FULL, 2 * S)], world.now)
    world.run(0.2)
    [holder] = [sender for sender in world.senders if sender.node == node]
    assert holder.contract.holder.budget(number, world.now) == 0
    assert isinstance(holder.contract.choose(number, world.now), Refuse)
    world.run(20)
    assert 0 < holder.contract.holder.budget(number, world.now) < 10 * UNITS_PER_CALL


def test_the_next_service_leaves_every_shard_where_it_was(world):
    """It starts from the snapshot of the one before."""
    before, text = world.served(), world.service.snapshot()
    old, world.service = world.service, World().service
    world.service.become_leader(world.now, old.ledger.number, text)
    for sender in world.senders:
        sender.contract.quota_opened()
        sender.first = True
        sender.start()
    world.run(8)
    assert world.served() == before


@pytest.mark.parametrize("text", ["", "scalefall-assignment 1 00\n{}\n", None])
def test_an_unusable_snapshot_is_logged_in_one_line_and_all_is_placed_anew(text):
    """An empty, a damaged, and one of other settings."""
    world = World()
    if text is None:
        text = world.service.snapshot().replace("shards 64", "shards 65")
    world.service.become_leader(world.now, 0, text)
    rejections = [row for row in world.service.emitted_events if row.event == "assignment not taken"]
    assert len(rejections) == 1
    assert "\n" not in rejections[0].fields["error"]
    world.add("a")
    world.run(8)
    assert all(nodes == ["a"] for nodes in world.served().values())
