"""The part of a control service that does not depend on how grants are divided: fleet, streams, membership, steps.

No I/O, no clock, no protobuf: the caller passes a builder that makes resources from the fleet and the engine's figures.
A test can therefore drive a service, its proxies and its destinations in virtual time.

Theory of operation. Changes (an edit, a report, a demand) are recorded at once and take effect at the next step, which
the transport calls STEP_DELAY_US after the first of them, or at `next_deadline`. An endpoint that the operator drains
does not wait: `configure` returns the messages to send at once. A step calls the engine at most once, and sends the
resources that differ, the grants that follow, and the heartbeats of resources with a time to live.

A holder of grants is a process (members.py) with a quota stream. Resource streams have no grants and no membership.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Generic

from scalefall.control.allocator import Allocator, by_destination
from scalefall.control.catalog import EDS, Catalog, DestinationView, ResourceKey
from scalefall.control.client_streams import ClientStreams, Outgoing
from scalefall.control.discovery_messages import Request
from scalefall.control.fleet_changes import FleetInForce, endpoint_changes
from scalefall.control.grants import GrantT, LeaseLedger
from scalefall.control.log_events import FieldValue, LogEvent
from scalefall.control.members import Joined, JoinRejected, Members, MembershipChange, MemberState
from scalefall.control.resource_builder import ResourceBuilder
from scalefall.net.config import Fleet
from scalefall.policy.engine import Engine
from scalefall.policy.events import EndpointListUpdate, EndpointReport, Event, ListUpdateKind
from scalefall.policy.settings import Settings

STEP_DELAY_US = 10_000  # a step follows its first change after this delay, so that changes close together share it
UNSETTLED_STEP_US = 100_000  # interval of engine steps while a rate limit, Retry-After or slow start is in force
SETTLED_STEP_US = 1_000_000  # interval of engine steps without a rate limit, Retry-After or slow start


class BaseControlService(ABC, Generic[GrantT]):
    """A control service; subclasses define how calls are granted."""

    def __init__(
        self,
        now: int,
        settings: Settings,
        seed: int,
        builder: ResourceBuilder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        ledger: LeaseLedger[GrantT],
        view: DestinationView | None = None,
    ) -> None:
        """Start without a fleet.

        Args:
            now: the present time in us, as in all methods.
            settings: the engine's settings; probes are disabled in them, as control makes no calls of its own.
            seed: the seed of the engine's random choices.
            builder: makes resources.
            lease_us: how long a grant may be used from its receipt.
            delay_us: the longest time that a message may be in transit.
            silence_us: how long after its last message a holder counts as unreachable.
            ledger: divides the allowances among holders.
            view: which nodes may have which destinations' resources; without it every node may have all.
        """
        settings.probes = False
        self.engine = Engine(settings, seed)
        self.ledger = ledger
        self.allocator = Allocator(self.engine, ledger)
        self.catalog = Catalog(view)
        self.members = Members(silence_us, lease_us + delay_us)
        self.emitted_events: list[LogEvent] = []  # not yet written by the transport
        self._builder = builder
        self._in_force = FleetInForce.of(Fleet([], {}))
        self._streams = ClientStreams(self.catalog)
        self._engine_events: list[Event] = []  # for the next step
        self._engine_step_at = now
        self._step_at = now
        self._step_scheduled = False

    # -- leadership

    def become_leader(self, now: int, number: int, snapshot: str | None = None) -> None:  # a hook
        """Become the leader, which grants once all grants of an earlier leader have expired.

        Args:
            now: the present time.
            number: the highest grant number that an earlier leader may have used.
            snapshot: the assignment that the earlier leader stored, as `snapshot` returned it.
        """
        self.ledger.become_leader(now)
        self.ledger.resume(number)

    def generation(self) -> int:
        """Return the generation of the assignment, which grows with each change; 0 where nothing is assigned."""
        return 0

    def snapshot(self) -> str | None:
        """Return the assignment as text, for the next leader; None where nothing is assigned.

        The engine's figures are stored separately (snapshot.py).
        """
        return None

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Outgoing]:
        """Put a fleet in force; return the messages to send at once. Only routes that have changed are rebuilt.

        Raises:
            InconsistentResourcesError: a resource would refer to a missing one; the previous fleet stays in force.
        """
        before, after = self._in_force, FleetInForce.of(fleet)
        routes = after.changed_routes(before)
        entries = {route: after.entries[route] for route in routes}
        resources = self._builder.from_configuration(entries, routes)
        self._apply_to_engine(before.fleet, fleet, now)
        allowed = by_destination(self.allocator.allowances(set(routes)))
        resources += [self._builder.endpoints(route, entries[route], allowed.get(route, []), now) for route in routes]
        removed_routes = before.fleet.routes.keys() - fleet.routes.keys()
        removed = [key for route in removed_routes for key in self.catalog.keys_of(route)]
        changed = self.catalog.update(resources, removed)
        self._in_force = after
        self._schedule_step(now)
        self._engine_step_at = min(self._engine_step_at, now + STEP_DELAY_US)
        return self._resources_changed(changed)

    def _apply_to_engine(self, before: Fleet, after: Fleet, now: int) -> None:
        """Pass the endpoints that differ to the engine, and log those whose status differs."""
        changes = endpoint_changes(before, after)
        for change in changes.status_changes:
            self._emit(
                "endpoint",
                endpoint=change.endpoint.id,
                address=change.address,
                route=change.endpoint.destination,
                was=change.before,
                now=change.after,
            )
        events: list[Event] = []
        if changes.endpoints:
            events.append(EndpointListUpdate(ListUpdateKind.CHANGES, changes.endpoints))
        self.allocator.apply(now, events)

    # -- resource streams

    def resource_stream_opened(self, stream: int, node: str, incremental: bool, supports_ttl: bool) -> None:
        """Register a node's resource stream; `supports_ttl`: the client declares that it supports times to live."""
        self._streams.open(stream, node, incremental, supports_ttl)

    def repeats_names(self, stream: int) -> bool:
        """Return whether the last request on the stream had the names of the one before, and so was cheap."""
        return self._streams.repeats_names(stream)

    def request(self, stream: int, request: Request, now: int) -> list[Outgoing]:
        """Handle a request, an acknowledgement or a rejection; return the messages to send."""
        return self._streams.request(stream, request, now)

    def resource_stream_closed(self, stream: int) -> None:
        """Drop a closed stream; do nothing if it is no resource stream."""
        self._streams.close(stream)

    def _resources_changed(self, keys: set[ResourceKey]) -> list[Outgoing]:
        """Return the messages for each client: endpoints first, as a drain may be among them."""
        endpoints = {key for key in keys if key[0] == EDS}
        outgoing: list[Outgoing] = []
        for group in (endpoints, keys - endpoints):
            for stream, keys_of_stream in self._receivers(group):
                outgoing += self._streams.resources_changed(stream, keys_of_stream)
        return outgoing

    def _receivers(self, keys: set[ResourceKey]) -> Iterable[tuple[int, set[ResourceKey]]]:
        """Return the streams that may have some of these resources, with the keys for each."""
        return [(stream, keys) for stream in self._streams] if keys else []

    # -- quota streams

    @abstractmethod
    def quota_stream_joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | JoinRejected:
        """Register the process that a quota stream names, with its region and zone."""

    def quota_stream_closed(self, stream: int, now: int) -> None:
        """Record that a stream is closed; do nothing if it has no holder."""
        change = self.members.stream_closed(stream)
        if change is not None:
            self._holder_disconnected(change, now)
            self._schedule_step(now)

    @abstractmethod
    def _holder_reachable(self, holder: str, now: int) -> None:
        """Mark a process as reachable, for the first time or again."""

    def _holder_disconnected(self, change: MembershipChange, now: int) -> None:  # a hook
        """Mark a process as unreachable or expired."""
        self.ledger.disconnected(change.holder)
        self._emit("proxy lost", holder=change.holder, state=change.state.value)

    def _live_stream(self, holder: str) -> int | None:
        """Return the quota stream of a live holder; None if the holder is not live."""
        member = self.members.get(holder)
        return member.stream if member is not None and member.state is MemberState.LIVE else None

    # -- reports

    def calls_reported(self, calls: Iterable[EndpointReport], now: int) -> None:
        """Record calls that holders have made."""
        self.restore(calls, now)

    def restore(self, events: Iterable[Event], now: int) -> None:
        """Take over the state of the previous leader, as events (snapshot.py)."""
        self._engine_events += events
        self._schedule_step(now)

    # -- time

    def step(self, now: int) -> list[Outgoing]:
        """Process everything that is due: silent holders, reports, changed resources, grants, heartbeats."""
        for change in self.members.step(now):
            self._holder_disconnected(change, now)
        outgoing: list[Outgoing] = []
        if self._engine_events or now >= self._engine_step_at:
            grants = self._step_engine(now)
            outgoing += self._unsettled_resources(now)
        else:
            grants = self.allocator.step_ledger(now)
        self._step_scheduled, self._step_at = False, self._engine_step_at
        for destination, amount in self.allocator.changed_allowances.items():
            self._emit("allowance", is_debug=True, clock=now, route=destination, amount=amount)
        outgoing += self._outgoing_grants(grants, now)
        outgoing += self._streams.heartbeats(now)
        return outgoing

    def _step_engine(self, now: int) -> Sequence[GrantT]:
        """Step the engine, which is needed for reports and at its own times, but not for each demand."""
        events, self._engine_events = self._engine_events, []
        grants = self.allocator.step(now, events)
        for line in self.allocator.log_lines:
            self._emit("judged", text=line)
        unsettled = self.allocator.unsettled
        self._engine_step_at = now + (UNSETTLED_STEP_US if unsettled else SETTLED_STEP_US)
        return grants

    def _unsettled_resources(self, now: int) -> list[Outgoing]:
        """Rebuild the endpoints of all routes whose figures may have changed; return messages for those that have."""
        allowed = by_destination(self.allocator.last_allowances)
        entries = self._in_force.entries
        resources = [
            self._builder.endpoints(route, entries[route], allowed.get(route, []), now)
            for route in self.allocator.unsettled
            if route in entries
        ]
        return self._resources_changed(self.catalog.update(resources)) if resources else []

    @abstractmethod
    def _outgoing_grants(self, grants: Sequence[GrantT], now: int) -> list[Outgoing]:
        """Return the grants for the streams of live holders.

        A grant to another holder is not sent. The ledger, which recorded it in its step, counts it until it expires:
        what it reports as in use is an upper bound, so this errs on the safe side.
        """

    def next_deadline(self, now: int) -> int:
        """Return when `step` has to be called if nothing happens before."""
        times = [self._step_at, self.ledger.next_deadline(now), self.members.next_deadline(now) or self._step_at]
        heartbeat = self._streams.next_heartbeat
        if heartbeat is not None:
            times.append(heartbeat)
        return max(now, min(times))

    def _schedule_step(self, now: int) -> None:
        """Schedule a step after a change, unless one is scheduled."""
        if not self._step_scheduled:
            self._step_scheduled = True
            self._step_at = min(self._step_at, now + STEP_DELAY_US)

    def _emit(self, event: str, *, is_debug: bool = False, **fields: FieldValue) -> None:
        """Emit a log event; `is_debug`: it is for the audit rather than for an operator."""
        self.emitted_events.append(LogEvent(event, fields, is_debug))
