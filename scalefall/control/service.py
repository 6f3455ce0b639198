"""The control service without its network: streams, reports and the clock go in, what is to be sent comes out.

No I/O, no clock, no protobuf: a builder is handed in that makes resources of the fleet and of the module's figures. So
a test drives a whole service, its proxies and its partners in virtual time.

Theory of operation. News (an edit, a report, a demand) are taken in at once and answered at the next turn, which the
transport calls SETTLE after the first of them, or when next_turn says so. An endpoint that the operator drains is no
news to wait for: configure() gives what goes out at once. A turn asks the module once, sends the resources that differ
and the grants that follow, and beats what has a time to live.

A holder of grants is a process (members.py) heard on its quota stream; resource streams hold none, and need no member.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf

from scalefall import interface as i
from scalefall.control.catalog import EDS, Catalog, ResourceKey, Resource, DestinationView
from scalefall.control.grants import UNITS_PER_CALL, MIN_GRANT, Grant, Leases, Ledger
from scalefall.control.allocator import Allocator, by_destination
from scalefall.control.members import MembershipChange, Joined, Members, JoinRejected, MemberState
from scalefall.control.streams import StreamAction, Request, XdsStream
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.endpoint_list import Entry
from scalefall.policy import Sender

SETTLE_US = 10_000  # us from the first news to the turn that answers them
UNSETTLED_STEP_US = 100_000  # between turns while a wait, a guard or a pace may end by itself
SETTLED_STEP_US = 1_000_000  # between turns otherwise
HEARTBEAT_GRID_US = 25_000  # heartbeats are sent at multiples of it
DEMAND_HEADROOM = 1.25  # a holder's demand by what it used

Outgoing = tuple[int, StreamAction | Grant]  # to a stream
RouteEntries = dict[int, list[Entry]]  # the endpoints of each route


@dataclass(slots=True, frozen=True)
class ResourceBuilder:
    """fixed: endpoints by route and the routes' rules to resources; endpoints: route, its entries, the module's rows
    and now to one resource."""

    fixed: Callable[[RouteEntries, dict[int, RouteRules]], list[Resource]]
    endpoints: Callable[[int, list[Entry], list[i.Allowed], int], Resource]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """For the log: an event's name, its fields; fine: of interest to the audit, not to a person."""

    event: str
    fields: dict[str, object]
    fine: bool = False


class ControlService:
    def __init__(
        self,
        now: int,
        settings: i.Settings,
        seed: int,
        builder: ResourceBuilder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        ledger: Leases | None = None,
        view: DestinationView | None = None,
    ) -> None:
        """ledger: who may use how much, where it is not by destination; view: which node may have which destinations'
        resources, where not all may."""
        settings.probes = False  # control makes no calls of its own
        self.module = Sender(settings, seed)
        self.ledger = ledger if ledger is not None else Ledger(now, lease_us, delay_us)
        self.allocator = Allocator(self.module, self.ledger)
        self.catalog = Catalog(view)
        self.members = Members(silence_us, lease_us + delay_us)
        self.emitted_events: list[LogEvent] = []
        self._fleet = Fleet([], {})
        self._build = builder
        self._streams: dict[int, XdsStream] = {}
        self._beats: list[tuple[int, int]] = []  # when a stream's next heartbeat may be due
        self._planned: set[int] = set()  # streams that are there
        self._allocate_at = now
        self._rows: RouteEntries = {}
        self._events: list[i.Event] = []
        self._due = now
        self._step_scheduled = False

    def become_leader(self, now: int, number: int, snapshot: str | None = None) -> None:
        """This service grants from now on, with numbers above the highest that an earlier one may have given, and
        nothing before what that one granted has run out. snapshot: what it left of itself."""
        self.ledger.become_leader(now)
        self.ledger.resume(number)

    def generation(self) -> int:
        """Which state a snapshot would be of; 0 while there is none to take."""
        return 0

    def snapshot(self) -> str | None:
        """What the service after this one begins from."""
        return None

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Outgoing]:
        """The fleet from now on, whole or (Inconsistent) not at all; what goes out at once. Only the routes that differ
        from before are built anew."""
        rows: RouteEntries = {number: [] for number in fleet.routes}
        for entry in fleet.entries:
            rows.setdefault(entry.endpoint.destination, []).append(entry)
        routes = {number for number in fleet.routes if self._differs(number, rows, fleet)}
        made = self._build.fixed({number: rows[number] for number in routes}, {n: fleet.routes[n] for n in routes})
        changes = self._endpoint_changes(fleet)
        self.allocator.apply(now, [i.Listed(i.ListKind.CHANGES, changes)] if changes else [])
        allowed = by_destination(self.allocator.allowances(routes))
        made += [self._build.endpoints(number, rows[number], allowed.get(number, []), now) for number in routes]
        gone = [
            key for number in self._fleet.routes.keys() - fleet.routes.keys() for key in self.catalog.keys_of(number)
        ]
        changed = self.catalog.update(made, gone)
        self._fleet, self._rows = fleet, rows
        self._schedule_step(now)
        self._allocate_at = min(self._allocate_at, now + SETTLE_US)
        return self._changed(changed)

    def _differs(self, number: int, rows: RouteEntries, fleet: Fleet) -> bool:
        """Whether a route's endpoints or rules are others than those in force."""
        return rows[number] != self._rows.get(number) or fleet.routes[number] != self._fleet.routes.get(number)

    def _endpoint_changes(self, fleet: Fleet) -> list[i.Endpoint]:
        """What the module is to be told: endpoints that are new, changed or gone. Changes of state are logged."""
        was = {entry.endpoint.id: entry.endpoint for entry in self._fleet.entries}
        new = {entry.endpoint.id: entry.endpoint for entry in fleet.entries}
        changes = [end for name, end in new.items() if was.get(name) != end]
        changes += [replace(end, status=i.Status.GONE) for name, end in was.items() if name not in new]
        moved = {end.id for end in changes}
        entries = (*self._fleet.entries, *fleet.entries)
        places = {entry.endpoint.id: entry.address for entry in entries if entry.endpoint.id in moved}
        for end in changes:
            if _status(was.get(end.id)) != _status(end):
                self._emit(
                    "endpoint",
                    endpoint=end.id,
                    address="{}:{}".format(*places[end.id]),
                    route=end.destination,
                    was=_status(was.get(end.id)),
                    now=_status(end),
                )
        return changes

    # -- resource streams

    def resource_stream_opened(self, stream: int, holder: str, incremental: bool, leased: bool) -> None:
        """leased: the client knows times to live."""
        self._streams[stream] = XdsStream(self.catalog, holder, incremental, leased)

    def repeats(self, stream: int) -> bool:
        """Whether the last request on it said the same names again, which costs next to nothing."""
        return self._streams[stream].repeats

    def request(self, stream: int, request: Request, now: int) -> list[Outgoing]:
        client = self._streams[stream]
        out = [(stream, action) for action in client.request(request)]
        self._plan_beat(stream, client.next_heartbeat(now))
        return out

    def resource_stream_closed(self, stream: int) -> None:
        """A resource stream is closed."""
        self._streams.pop(stream, None)

    # -- grants and reports

    def quota_stream_joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | JoinRejected:
        """A quota stream has named its process, and where it stands."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._holder_reachable(answer.holder, now)
            self._schedule_step(now)
            self._emit("proxy joined", holder=answer.holder, came_back=answer.is_known, twin=answer.shares_node_id)
        return answer

    def quota_stream_closed(self, stream: int, now: int) -> None:
        change = self.members.stream_closed(stream, now)
        if change is not None:
            self._holder_disconnected(change, now)
            self._schedule_step(now)

    def demand_reported(self, stream: int, route: int, calls: float, had: int, now: int) -> bool:
        """A holder's demand on a route in calls a second, let through or not, and the highest grant that it has had
        (0: it doesn't say). False if there is no such route."""
        holder = self.members.holder_of(stream)
        if holder is None or route not in self._rows:
            return False
        if self.members.heartbeat_received(stream, now) is not None:
            self._holder_reachable(holder, now)
            self._emit("proxy heard again", holder=holder)
        if had and self.ledger.acknowledged(holder, route, had, now):
            self._emit("had", fine=True, clock=now, holder=holder, route=route, number=had)
        self.ledger.set_demand(holder, route, max(MIN_GRANT, _step(calls * DEMAND_HEADROOM * UNITS_PER_CALL)))
        self._schedule_step(now)
        return True

    def calls_reported(self, calls: Iterable[i.Reported], now: int) -> None:
        """Calls that holders have made."""
        self.restore(calls, now)

    def restore(self, events: Iterable[i.Event], now: int) -> None:
        """What the service before this one knew, as events (snapshot.py)."""
        self._events += events
        self._schedule_step(now)

    # -- time

    def step(self, now: int) -> list[Outgoing]:
        """Everything that is due: reports judged, resources that differ, grants, heartbeats, silent proxies."""
        for change in self.members.step(now):
            self._holder_disconnected(change, now)
        out, grants = (
            self._allocated(now) if self._events or now >= self._allocate_at else ([], self.allocator.step_ledger(now))
        )
        self._step_scheduled, self._due = False, self._allocate_at
        for route, amount in self.allocator.changed_allowances.items():
            self._emit("allowance", fine=True, clock=now, route=route, amount=amount)
        out += self._outgoing_grants(grants, now)
        out += self._beat(now)
        return out

    def _outgoing_grants(self, grants: list[Grant], now: int) -> list[Outgoing]:
        """To the streams of those holders that can be heard; the others' count all the same, as they may be on their
        way to them."""
        out: list[Outgoing] = []
        for grant in grants:
            stream = self._live_stream(grant.holder)
            if stream is not None:
                out.append((stream, grant))
                self._emit_granted(grant, now)
        return out

    def _live_stream(self, holder: str) -> int | None:
        """The quota stream of a holder that can be heard."""
        member = self.members.get(holder)
        return member.stream if member is not None and member.state is MemberState.LIVE else None

    def _emit_granted(self, grant: Grant, now: int) -> None:
        self._emit(
            "granted",
            fine=True,
            clock=now,
            holder=grant.holder,
            route=grant.destination,
            number=grant.number,
            amount=grant.amount,
            lease_ms=grant.lease_us // 1000,
            delay_ms=self.ledger.delay_us // 1000,
        )

    def _allocated(self, now: int) -> tuple[list[Outgoing], list[Grant]]:
        """The module's turn: it comes for reports and by time, not for each demand."""
        events, self._events = self._events, []
        grants = self.allocator.step(now, events)
        for line in self.allocator.log_lines:
            self._emit("judged", text=line)
        allowed = by_destination(self.allocator.allowed)
        made = [
            self._build.endpoints(number, self._rows[number], allowed.get(number, []), now)
            for number in self.allocator.unsettled
            if number in self._rows
        ]
        self._allocate_at = now + (UNSETTLED_STEP_US if self.allocator.unsettled else SETTLED_STEP_US)
        return self._changed(self.catalog.update(made)) if made else [], grants

    def next_deadline(self, now: int) -> int:
        times = [self._due, self.ledger.next_deadline(now), self.members.next_deadline(now) or self._due]
        if self._beats:
            times.append(self._beats[0][0])
        return max(now, min(times))

    def _plan_beat(self, stream: int, at: float) -> None:
        """On a grid, so that the heartbeats of many streams take few turns."""
        if at < inf and stream not in self._planned:
            self._planned.add(stream)
            heapq.heappush(self._beats, (-(-int(at) // HEARTBEAT_GRID_US) * HEARTBEAT_GRID_US, stream))

    def _beat(self, now: int) -> list[Outgoing]:
        out: list[Outgoing] = []
        while self._beats and self._beats[0][0] <= now:
            _, stream = heapq.heappop(self._beats)
            self._planned.discard(stream)
            client = self._streams.get(stream)
            if client is not None:
                out += [(stream, action) for action in client.heartbeats(now)]
                self._plan_beat(stream, client.next_heartbeat(now))
        return out

    def _changed(self, keys: set[ResourceKey]) -> list[Outgoing]:
        """What each client is sent for it; endpoints first, and to all, as a drain is among them."""
        first = {key for key in keys if key[0] == EDS}
        out: list[Outgoing] = []
        for part in (first, keys - first):
            for stream, theirs in self._receivers(part):
                out += [(stream, action) for action in self._streams[stream].changed(theirs)]
        return out

    def _receivers(self, keys: set[ResourceKey]) -> Iterable[tuple[int, set[ResourceKey]]]:
        """The streams that are to be told of some of these keys, and of which."""
        return [(stream, keys) for stream in self._streams] if keys else []

    def _holder_reachable(self, holder: str, now: int) -> None:
        """A process can be heard, for the first time or again."""
        self.ledger.join(holder)

    def _holder_disconnected(self, change: MembershipChange, now: int) -> None:
        self.ledger.disconnected(change.holder)
        self._emit("proxy lost", holder=change.holder, state=change.state.value)

    def _schedule_step(self, now: int) -> None:
        if not self._step_scheduled:
            self._step_scheduled, self._due = True, min(self._due, now + SETTLE_US)

    def _emit(self, event: str, fine: bool = False, **fields: object) -> None:
        self.emitted_events.append(LogEvent(event, fields, fine))


def _step(amount: float) -> int:
    """A demand in steps of an eighth, so that one that wavers is no news each time."""
    if not 0 < amount < inf:
        return 0
    step = max(1, 1 << max(0, int(amount).bit_length() - 4))
    return -(-int(min(amount, 10**9)) // step) * step


def _status(end: i.Endpoint | None) -> str:
    return end.status.name.lower() if end is not None else "none"
