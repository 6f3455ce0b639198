"""Hollow senders where destinations are divided among them: the contract of lab/proxy/sharded.py on a model's links."""

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

SHARD_REPORT_INTERVAL_US = 500_000  # between reports of use: four in a lease of 2 s
ALL_LISTS = "*"  # every list that this node is to have

CallCounts = Callable[[Mapping[int, float], int], Mapping[int, int]]  # share of each destination, span in us -> calls


def sharded_service_factory(
    assignment: AssignmentSettings,
) -> Callable[[int, Settings, ResourceBuilder, ControlOptions], ShardedService]:
    """Makes the service of a hollow control instance."""

    def make(now: int, settings: Settings, builder: ResourceBuilder, options: ControlOptions) -> ShardedService:
        return ShardedService(
            now, settings, 3, builder, options.lease_us, options.delay_us, options.lease_us, assignment
        )

    return make


@dataclass(slots=True, frozen=True)
class Locality:
    """Where a process stands."""

    region: str
    zone: str


class ShardGrantsClient:
    """A sender's side of the quota stream: one short report for all shards, grants of shards in."""

    interval_us = SHARD_REPORT_INTERVAL_US

    def __init__(self, node: str, contract: ShardedContract) -> None:
        self._node, self._contract = node, contract
        self.received = 0  # grants so far

    def report(self, now: int) -> bytes:
        """The next report, serialized."""
        said, had = self._contract.next_report(now)
        message = messages.QuotaReport(domain=self._node)
        message.bucket_quota_usages.add().bucket_id.bucket.update(
            {quota_wire.REPORT_NUMBER: f"{said}", quota_wire.ACKNOWLEDGED_GRANT: f"{had}"}
        )
        return message.SerializeToString()

    def receive(self, data: bytes, now: int) -> None:
        """A message of the quota stream."""
        grants, heard = quota_wire.read_shard_grants(messages.QuotaResponse.FromString(data), self._node)
        self.received += len(grants)
        self._contract.shard_grants_received(grants, heard if heard is not None else 0)


class ShardedSender(HollowSender):
    """What it calls is told by `counts` for all that it holds, once a load report: no message is played by itself."""

    def __init__(
        self,
        clock: VirtualClock,
        control: Callable[[], Control | None],
        link: Link,
        node: str,
        instance: str,
        standing: Locality,
        shards: int,
        random_: random.Random,
        stopwatch: Stopwatch,
        counts: CallCounts = lambda _held, _span_us: {},
        is_down: Callable[[int], bool] = lambda _destination: False,
    ) -> None:
        super().__init__(clock, control, link, node, instance, [], random_, stopwatch, is_down=is_down)
        self.contract = ShardedContract(Sharding(shards).shard_of)
        self.grants = ShardGrantsClient(node, self.contract)
        self.addresses: dict[int, str] = {}  # of each destination that it has a list of
        self._standing, self._counts = standing, counts
        self._first_lease = True
        self._loads_at = clock.now

    def _opening(self, kind: StreamKind) -> Opening:
        return Opening(kind, self.node, self.instance, self._standing.region, self._standing.zone)

    def _names(self) -> list[str]:
        """A new stream begins with nothing: what is held is sent anew."""
        self._first_lease = True
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
            self.contract.lease_received(listed.ttl_us, self._first_lease)
            self._first_lease = False
        else:
            route = resources.destination_of(row.name)
            self.contract.list_received(route, listed.states, listed.blocked, listed.ttl_us, False)
            self.addresses[route] = next(iter(listed.states), "")
            self.last_change = self._clock.now

    def _take_calls(self) -> dict[tuple[int, str], list[messages.Call]]:
        """The calls since the last report."""
        now, span = self._clock.now, self._clock.now - self._loads_at
        self._loads_at = now
        quotas = self.contract.holder.quotas(self.addresses, now)
        held = {route: quota / FULL_QUOTA for route, quota in quotas.items() if quota}
        served, failed = messages.Call(Outcome.OK, now), messages.Call(Outcome.CONNECT_FAILED, now)
        return {
            (route, self.addresses[route]): [failed if self._is_down(route) else served] * count
            for route, count in self._counts(held, span).items()
        }


@dataclass(slots=True)
class ShardingPlan:
    """How destinations are divided in a fleet of hollow senders, and what they are called with."""

    assignment: AssignmentSettings
    counts: CallCounts = lambda _held, _span_us: {}


class ShardedFleet(Fleet):
    """A fleet whose senders have what is assigned to them."""

    def __init__(self, plan: FleetPlan, division: ShardingPlan, seed: int) -> None:
        self._division = division
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
            self._division.assignment.shards,
            random_,
            self.sender_time,
            self._division.counts,
            self.plan.is_down,
        )


def sharded_fleet(plan: FleetPlan, division: ShardingPlan, seed: int) -> ShardedFleet:
    """The plan with a service and options that divide."""
    options = replace(plan.options, sharded=True)
    return ShardedFleet(
        replace(plan, options=options, factory=sharded_service_factory(division.assignment)), division, seed
    )
