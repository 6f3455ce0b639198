"""What every control service does, however it divides grants: the fleet, resource streams, membership, time.

No I/O, no clock, no protobuf: a builder is handed in that makes resources of the fleet and of the decision module's
figures. So a test drives a whole service, its proxies and its destinations in virtual time.

Theory of operation. Changes (an edit, a report, a demand) are taken in at once and acted on at the next step, which the
transport calls STEP_DELAY_US after the first of them, or when `next_deadline` says so. An endpoint that the operator
drains does not wait: `configure` gives what goes out at once. A step asks the decision module once, sends the resources
that differ and the grants that follow, and the heartbeats of what has a time to live.

A holder of grants is a process (members.py) with a quota stream; resource streams hold none, and need no member.
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

STEP_DELAY_US = 10_000  # from the first change to the step that acts on it: changes that come together cost one step
UNSETTLED_STEP_US = 100_000  # between steps while a rate limit, Retry-After or slow start may end by itself
SETTLED_STEP_US = 1_000_000  # between steps otherwise


class BaseControlService(ABC, Generic[GrantT]):
    """A control service; its subclass says how calls are granted."""

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
            now: the present time in us, as everywhere here.
            settings: the decision module's settings; its probes are turned off, as control makes no calls of its own.
            seed: of the decision module's random draws.
            builder: makes resources.
            lease_us: for how long a grant may be used from when it was received.
            delay_us: the longest time that a message may be on its way.
            silence_us: a holder that sends nothing for so long is unreachable.
            ledger: who may use how much.
            view: which node may have which destinations' resources, where not all may.
        """
        settings.probes = False
        self.engine = Engine(settings, seed)
        self.ledger = ledger
        self.allocator = Allocator(self.engine, ledger)
        self.catalog = Catalog(view)
        self.members = Members(silence_us, lease_us + delay_us)
        self.emitted_events: list[LogEvent] = []  # that the transport has not written yet
        self._builder = builder
        self._in_force = FleetInForce.of(Fleet([], {}))
        self._streams = ClientStreams(self.catalog)
        self._engine_events: list[Event] = []  # for the next step
        self._engine_step_at = now
        self._step_at = now
        self._step_scheduled = False

    # -- leadership

    def become_leader(self, now: int, number: int, snapshot: str | None = None) -> None:  # a hook
        """Grant from now on, and nothing before what an earlier service granted has expired.

        Args:
            now: the time of it.
            number: grants are numbered above it, the highest that an earlier service may have given.
            snapshot: what that one left of itself.
        """
        self.ledger.become_leader(now)
        self.ledger.resume(number)

    def generation(self) -> int:
        """Which state a snapshot would be of; 0 while there is none to make."""
        return 0

    def snapshot(self) -> str | None:
        """What the service after this one begins from."""
        return None

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Outgoing]:
        """Put a fleet in force; what goes out at once. Only the routes that differ from before are built anew.

        Raises:
            InconsistentResourcesError: a resource would refer to a missing one; the fleet before stays in force.
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
        """Hand the endpoints that differ to the module, and log those whose state does."""
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
        """A node has opened a stream of resources; `supports_ttl`: it declares that it knows times to live."""
        self._streams.open(stream, node, incremental, supports_ttl)

    def repeats_names(self, stream: int) -> bool:
        """Whether the last request on the stream had the same names as the one before, which costs next to nothing."""
        return self._streams.repeats_names(stream)

    def request(self, stream: int, request: Request, now: int) -> list[Outgoing]:
        """Take in a request, an acknowledgement or a rejection; what follows from it."""
        return self._streams.request(stream, request, now)

    def resource_stream_closed(self, stream: int) -> None:
        """A stream is closed; nothing if it was none of resources."""
        self._streams.close(stream)

    def _resources_changed(self, keys: set[ResourceKey]) -> list[Outgoing]:
        """What each client is sent for it: all endpoints, as a drain may be among them, before anything else."""
        endpoints = {key for key in keys if key[0] == EDS}
        outgoing: list[Outgoing] = []
        for group in (endpoints, keys - endpoints):
            for stream, keys_of_stream in self._receivers(group):
                outgoing += self._streams.resources_changed(stream, keys_of_stream)
        return outgoing

    def _receivers(self, keys: set[ResourceKey]) -> Iterable[tuple[int, set[ResourceKey]]]:
        """The streams that may have some of these resources, and which of them."""
        return [(stream, keys) for stream in self._streams] if keys else []

    # -- quota streams

    @abstractmethod
    def quota_stream_joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | JoinRejected:
        """A quota stream has named its process, and where that stands."""

    def quota_stream_closed(self, stream: int, now: int) -> None:
        """A stream is closed; nothing if it was no holder's."""
        change = self.members.stream_closed(stream)
        if change is not None:
            self._holder_disconnected(change, now)
            self._schedule_step(now)

    @abstractmethod
    def _holder_reachable(self, holder: str, now: int) -> None:
        """A process is reachable, for the first time or again."""

    def _holder_disconnected(self, change: MembershipChange, now: int) -> None:  # a hook
        """A process is unreachable, or forgotten."""
        self.ledger.disconnected(change.holder)
        self._emit("proxy lost", holder=change.holder, state=change.state.value)

    def _live_stream(self, holder: str) -> int | None:
        """The quota stream of a holder that is live; None if it is not."""
        member = self.members.get(holder)
        return member.stream if member is not None and member.state is MemberState.LIVE else None

    # -- reports

    def calls_reported(self, calls: Iterable[EndpointReport], now: int) -> None:
        """Holders have made these calls."""
        self.restore(calls, now)

    def restore(self, events: Iterable[Event], now: int) -> None:
        """Take in what the service before this one knew, as events (snapshot.py)."""
        self._engine_events += events
        self._schedule_step(now)

    # -- time

    def step(self, now: int) -> list[Outgoing]:
        """Everything that is due: reports, resources that differ, grants, heartbeats, silent holders."""
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
        """The module's step: it comes for reports and by time, not for each demand."""
        events, self._engine_events = self._engine_events, []
        grants = self.allocator.step(now, events)
        for line in self.allocator.log_lines:
            self._emit("judged", text=line)
        unsettled = self.allocator.unsettled
        self._engine_step_at = now + (UNSETTLED_STEP_US if unsettled else SETTLED_STEP_US)
        return grants

    def _unsettled_resources(self, now: int) -> list[Outgoing]:
        """Build the endpoints of all routes whose figures may have changed; what differs goes out."""
        allowed = by_destination(self.allocator.allowed)
        entries = self._in_force.entries
        resources = [
            self._builder.endpoints(route, entries[route], allowed.get(route, []), now)
            for route in self.allocator.unsettled
            if route in entries
        ]
        return self._resources_changed(self.catalog.update(resources)) if resources else []

    @abstractmethod
    def _outgoing_grants(self, grants: Sequence[GrantT], now: int) -> list[Outgoing]:
        """Grants to the streams of those holders that are live.

        The others' grants count all the same, as they may be on their way to them.
        """

    def next_deadline(self, now: int) -> int:
        """When `step` has to be called if nothing comes before."""
        times = [self._step_at, self.ledger.next_deadline(now), self.members.next_deadline(now) or self._step_at]
        heartbeat = self._streams.next_heartbeat
        if heartbeat is not None:
            times.append(heartbeat)
        return max(now, min(times))

    def _schedule_step(self, now: int) -> None:
        """Something has changed: a step follows soon."""
        if not self._step_scheduled:
            self._step_scheduled = True
            self._step_at = min(self._step_at, now + STEP_DELAY_US)

    def _emit(self, event: str, *, is_debug: bool = False, **fields: FieldValue) -> None:
        """Emit a log event; `is_debug`: it is of interest to the audit, not to a person."""
        self.emitted_events.append(LogEvent(event, fields, is_debug))
