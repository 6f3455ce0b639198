"""Hollow senders with destinations divided among them: the contract of lab/proxy/sharded.py on the model's links."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from scalefall.assignment.assembly import AssignmentSettings
from scalefall.assignment.model import FULL_QUOTA
from scalefall.assignment.service import ShardedService
from scalefall.assignment.sharding import Sharding
from scalefall.control.service import ResourceBuilder
from scalefall.control.transport import quota_wire, resources
from scalefall.lab.hollow.clock import VirtualClock
from scalefall.lab.hollow.control import Control, ControlOptions, Opening, StreamKind
from scalefall.lab.hollow.fleet import Fleet, FleetPlan
from scalefall.lab.hollow.link import Link
from scalefall.lab.hollow.sender import HollowSender
from scalefall.lab.hollow.stopwatch import Stopwatch
from scalefall.lab.proxy import messages
from scalefall.lab.proxy.meter import Kind
from scalefall.lab.proxy.sharded import ShardedContract
from scalefall.policy.events import Outcome
from scalefall.policy.settings import Settings

SHARD_REPORT_INTERVAL_US = 500_000  # between usage reports: four in a lease of 2 s
ALL_LISTS = "*"  # subscribes to every list that is assigned to the node

# (quota of each destination from 0 to 1, span in us) -> calls of each destination
CallCounts = Callable[[Mapping[int, float], int], Mapping[int, int]]


def sharded_service_factory(
    assignment: AssignmentSettings,
) -> Callable[[int, Settings, ResourceBuilder, ControlOptions], ShardedService]:
    """Return a factory of the service of a hollow control instance."""

    def make(now: int, settings: Settings, builder: ResourceBuilder, options: ControlOptions) -> ShardedService:
        return ShardedService(
            now, settings, 3, builder, options.lease_us, options.delay_us, options.lease_us, assignment
        )

    return make


@dataclass(slots=True, frozen=True)
class Locality:
    """Region and zone of a process."""

    region: str
    zone: str


class ShardGrantsClient:
    """A sender's side of the quota stream: one short report for all shards out, grants of shards in."""

    interval_us = SHARD_REPORT_INTERVAL_US

    def __init__(self, node: str, contract: ShardedContract) -> None:
        self._node, self._contract = node, contract
        self.received = 0  # number of grants so far

    def report(self, now: int) -> bytes:
        """Return the next report, serialized."""
        report_number, highest_grant = self._contract.next_report(now)
        message = messages.QuotaReport(domain=self._node)
        message.bucket_quota_usages.add().bucket_id.bucket.update(
            {quota_wire.REPORT_NUMBER: f"{report_number}", quota_wire.ACKNOWLEDGED_GRANT: f"{highest_grant}"}
        )
        return message.SerializeToString()

    def receive(self, data: bytes, now: int) -> None:
        """Process a message of the quota stream."""
        grants, last_report = quota_wire.read_shard_grants(messages.QuotaResponse.FromString(data), self._node)
        self.received += len(grants)
        self._contract.shard_grants_received(grants, last_report if last_report is not None else 0)


class ShardedSender(HollowSender):
    """A hollow sender without single messages: `counts` gives the calls to its destinations for each load report."""

    def __init__(
        self,
        clock: VirtualClock,
        control: Callable[[], Control | None],
        link: Link,
        node: str,
        instance: str,
        locality: Locality,
        shards: int,
        random_: random.Random,
        stopwatch: Stopwatch,
        counts: CallCounts = lambda _quotas, _span_us: {},
        is_down: Callable[[int], bool] = lambda _destination: False,
    ) -> None:
        super().__init__(clock, control, link, node, instance, [], random_, stopwatch, is_down=is_down)
        self.contract = ShardedContract(Sharding(shards).shard_of)
        self.grants = ShardGrantsClient(node, self.contract)
        self.addresses: dict[int, str] = {}  # by destination that it has a list of
        self._locality, self._counts = locality, counts
        self._awaits_lease = True
        self._loads_reported_at = clock.now

    def _opening(self, kind: StreamKind) -> Opening:
        return Opening(kind, self.node, self.instance, self._locality.region, self._locality.zone)

    def _names(self) -> list[str]:
        """Subscribe to all lists; the service sends all that this node holds again on a new stream."""
        self._awaits_lease = True
        self.contract.quota_stream_opened()
        return [ALL_LISTS]

    def _on_resources(self, data: bytes) -> None:
        response = messages.DeltaResponse.FromString(data)
        kind = Kind.HEARTBEATS if messages.is_heartbeat(response) else Kind.RESOURCES
        for row in response.resources:
            self._on_row(row)
        for name in response.removed_resources:
            route = resources.destination_of(name)
            self.contract.list_removed(route)
            self.addresses.pop(route, None)
        self.contract.acknowledged(self._clock.now)
        self._acknowledge(kind, messages.acknowledgement(response).SerializeToString())

    def _on_row(self, row: object) -> None:
        listed = messages.endpoint_states(row)
        if listed is None:
            self.contract.heartbeat_received()
        elif row.name == resources.LEASE_NAME:
            self.contract.lease_received(listed.ttl_us, self._awaits_lease)
            self._awaits_lease = False
        else:
            route = resources.destination_of(row.name)
            self.contract.list_received(route, listed.states, listed.blocked, listed.ttl_us, False)
            self.addresses[route] = next(iter(listed.states), "")
            self.last_change = self._clock.now

    def _take_calls(self) -> dict[tuple[int, str], list[messages.Call]]:
        """Return the calls since the last load report."""
        now, span = self._clock.now, self._clock.now - self._loads_reported_at
        self._loads_reported_at = now
        quotas = self.contract.holder.quotas(self.addresses, now)
        fractions = {route: quota / FULL_QUOTA for route, quota in quotas.items() if quota}
        succeeded, failed = messages.Call(Outcome.OK, now), messages.Call(Outcome.CONNECT_FAILED, now)
        return {
            (route, self.addresses[route]): [failed if self._is_down(route) else succeeded] * count
            for route, count in self._counts(fractions, span).items()
        }


@dataclass(slots=True)
class ShardingPlan:
    """The assignment of destinations in a fleet of hollow senders, and the calls to them."""

    assignment: AssignmentSettings
    counts: CallCounts = lambda _quotas, _span_us: {}


class ShardedFleet(Fleet):
    """A fleet whose senders hold the destinations assigned to them."""

    def __init__(self, plan: FleetPlan, sharding: ShardingPlan, seed: int) -> None:
        self._sharding = sharding
        super().__init__(plan, seed)

    def _new_sender(self, number: int, node: str, link: Link, random_: random.Random) -> ShardedSender:
        place = self.places[number]
        return ShardedSender(
            self.clock,
            lambda: self.control,
            link,
            node,
            f"i{self._instances[number]}",
            Locality(f"r{place.region}", f"z{place.zone}"),
            self._sharding.assignment.shards,
            random_,
            self.sender_time,
            self._sharding.counts,
            self.plan.is_down,
        )


def sharded_fleet(plan: FleetPlan, sharding: ShardingPlan, seed: int) -> ShardedFleet:
    """Return a fleet by this plan, with a service that divides destinations among senders."""
    options = replace(plan.options, sharded=True)
    return ShardedFleet(
        replace(plan, options=options, factory=sharded_service_factory(sharding.assignment)), sharding, seed
    )
