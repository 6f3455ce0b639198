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
from scalefall.control.catalog import EDS, Catalog, Key, Resource, View
from scalefall.control.grants import CALLS, LEAST, Grant, Leases, Ledger
from scalefall.control.allocator import Allocator, by_destination
from scalefall.control.members import Change, Joined, Members, Refused, State
from scalefall.control.streams import Action, Request, Stream
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.endpoint_list import Entry
from scalefall.policy import Sender

SETTLE = 10_000  # us from the first news to the turn that answers them
WATCHED = 100_000  # between turns while a wait, a guard or a pace may end by itself
RESTS = 1_000_000  # between turns otherwise
GRID = 25_000  # heartbeats are sent at multiples of it
HEADROOM = 1.25  # a holder's demand by what it used

Out = tuple[int, Action | Grant]  # to a stream
Rows = dict[int, list[Entry]]  # the endpoints of each route


@dataclass(slots=True, frozen=True)
class Builder:
    """fixed: endpoints by route and the routes' rules to resources; endpoints: route, its entries, the module's rows
    and now to one resource."""

    fixed: Callable[[Rows, dict[int, RouteRules]], list[Resource]]
    endpoints: Callable[[int, list[Entry], list[i.Allowed], int], Resource]


@dataclass(slots=True, frozen=True)
class Told:
    """For the log: an event's name, its fields; fine: of interest to the audit, not to a person."""

    event: str
    fields: dict[str, object]
    fine: bool = False


class Service:
    def __init__(
        self,
        now: int,
        settings: i.Settings,
        seed: int,
        builder: Builder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        ledger: Leases | None = None,
        view: View | None = None,
    ) -> None:
        """ledger: who may use how much, where it is not by destination; view: which node may have which destinations'
        resources, where not all may."""
        settings.probes = False  # control makes no calls of its own
        self.module = Sender(settings, seed)
        self.ledger = ledger if ledger is not None else Ledger(now, lease_us, delay_us)
        self.allocator = Allocator(self.module, self.ledger)
        self.catalog = Catalog(view)
        self.members = Members(silence_us, lease_us + delay_us)
        self.told: list[Told] = []
        self._fleet = Fleet([], {})
        self._build = builder
        self._streams: dict[int, Stream] = {}
        self._beats: list[tuple[int, int]] = []  # when a stream's next heartbeat may be due
        self._planned: set[int] = set()  # streams that are there
        self._allocate_at = now
        self._rows: Rows = {}
        self._events: list[i.Event] = []
        self._due = now
        self._has_news = False

    def begin_granting(self, now: int, number: int, snapshot: str | None = None) -> None:
        """This service grants from now on, with numbers above the highest that an earlier one may have given, and
        nothing before what that one granted has run out. snapshot: what it left of itself."""
        self.ledger.begin(now)
        self.ledger.resume(number)

    def generation(self) -> int:
        """Which state a snapshot would be of; 0 while there is none to take."""
        return 0

    def snapshot(self) -> str | None:
        """What the service after this one begins from."""
        return None

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Out]:
        """The fleet from now on, whole or (Inconsistent) not at all; what goes out at once. Only the routes that differ
        from before are built anew."""
        rows: Rows = {number: [] for number in fleet.routes}
        for entry in fleet.entries:
            rows.setdefault(entry.endpoint.destination, []).append(entry)
        routes = {number for number in fleet.routes if self._differs(number, rows, fleet)}
        made = self._build.fixed({number: rows[number] for number in routes}, {n: fleet.routes[n] for n in routes})
        changes = self._endpoint_changes(fleet)
        self.allocator.take(now, [i.Listed(i.ListKind.CHANGES, changes)] if changes else [])
        allowed = by_destination(self.allocator.look(routes))
        made += [self._build.endpoints(number, rows[number], allowed.get(number, []), now) for number in routes]
        gone = [
            key for number in self._fleet.routes.keys() - fleet.routes.keys() for key in self.catalog.keys_of(number)
        ]
        changed = self.catalog.update(made, gone)
        self._fleet, self._rows = fleet, rows
        self._news(now)
        self._allocate_at = min(self._allocate_at, now + SETTLE)
        return self._changed(changed)

    def _differs(self, number: int, rows: Rows, fleet: Fleet) -> bool:
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
                self._tell(
                    "endpoint",
                    endpoint=end.id,
                    address="{}:{}".format(*places[end.id]),
                    route=end.destination,
                    was=_status(was.get(end.id)),
                    now=_status(end),
                )
        return changes

    # -- resource streams

    def opened(self, stream: int, holder: str, incremental: bool, leased: bool) -> None:
        """leased: the client knows times to live."""
        self._streams[stream] = Stream(self.catalog, holder, incremental, leased)

    def repeats(self, stream: int) -> bool:
        """Whether the last request on it said the same names again, which costs next to nothing."""
        return self._streams[stream].repeats

    def request(self, stream: int, request: Request, now: int) -> list[Out]:
        client = self._streams[stream]
        out = [(stream, action) for action in client.request(request)]
        self._plan_beat(stream, client.next_beat(now))
        return out

    def ended(self, stream: int) -> None:
        """A resource stream is closed."""
        self._streams.pop(stream, None)

    # -- grants and reports

    def joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | Refused:
        """A quota stream has named its process, and where it stands."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._enter(answer.holder, now)
            self._news(now)
            self._tell("proxy joined", holder=answer.holder, came_back=answer.came_back, twin=answer.twin)
        return answer

    def left(self, stream: int, now: int) -> None:
        change = self.members.ended(stream, now)
        if change is not None:
            self._lost(change, now)
            self._news(now)

    def used(self, stream: int, route: int, calls: float, had: int, now: int) -> bool:
        """A holder's demand on a route in calls a second, let through or not, and the highest grant that it has had
        (0: it doesn't say). False if there is no such route."""
        holder = self.members.holder(stream)
        if holder is None or route not in self._rows:
            return False
        if self.members.heard(stream, now) is not None:
            self._enter(holder, now)
            self._tell("proxy heard again", holder=holder)
        if had and self.ledger.acknowledged(holder, route, had, now):
            self._tell("had", fine=True, clock=now, holder=holder, route=route, number=had)
        self.ledger.want(holder, route, max(LEAST, _step(calls * HEADROOM * CALLS)))
        self._news(now)
        return True

    def reported(self, calls: Iterable[i.Reported], now: int) -> None:
        """Calls that holders have made."""
        self.recalled(calls, now)

    def recalled(self, events: Iterable[i.Event], now: int) -> None:
        """What the service before this one knew, as events (snapshot.py)."""
        self._events += events
        self._news(now)

    # -- time

    def turn(self, now: int) -> list[Out]:
        """Everything that is due: reports judged, resources that differ, grants, heartbeats, silent proxies."""
        for change in self.members.turn(now):
            self._lost(change, now)
        out, grants = (
            self._allocated(now) if self._events or now >= self._allocate_at else ([], self.allocator.grants(now))
        )
        self._has_news, self._due = False, self._allocate_at
        for route, amount in self.allocator.changed.items():
            self._tell("allowance", fine=True, clock=now, route=route, amount=amount)
        out += self._grants_out(grants, now)
        out += self._beat(now)
        return out

    def _grants_out(self, grants: list[Grant], now: int) -> list[Out]:
        """To the streams of those holders that can be heard; the others' count all the same, as they may be on their
        way to them."""
        out: list[Out] = []
        for grant in grants:
            stream = self._live_stream(grant.holder)
            if stream is not None:
                out.append((stream, grant))
                self._tell_granted(grant, now)
        return out

    def _live_stream(self, holder: str) -> int | None:
        """The quota stream of a holder that can be heard."""
        member = self.members.get(holder)
        return member.stream if member is not None and member.state is State.LIVE else None

    def _tell_granted(self, grant: Grant, now: int) -> None:
        self._tell(
            "granted",
            fine=True,
            clock=now,
            holder=grant.holder,
            route=grant.destination,
            number=grant.number,
            amount=grant.amount,
            lease_ms=grant.lease_us // 1000,
            delay_ms=self.ledger.delay // 1000,
        )

    def _allocated(self, now: int) -> tuple[list[Out], list[Grant]]:
        """The module's turn: it comes for reports and by time, not for each demand."""
        events, self._events = self._events, []
        grants = self.allocator.turn(now, events)
        for line in self.allocator.said:
            self._tell("judged", text=line)
        allowed = by_destination(self.allocator.allowed)
        made = [
            self._build.endpoints(number, self._rows[number], allowed.get(number, []), now)
            for number in self.allocator.unsettled
            if number in self._rows
        ]
        self._allocate_at = now + (WATCHED if self.allocator.unsettled else RESTS)
        return self._changed(self.catalog.update(made)) if made else [], grants

    def next_turn(self, now: int) -> int:
        times = [self._due, self.ledger.next_turn(now), self.members.next_turn(now) or self._due]
        if self._beats:
            times.append(self._beats[0][0])
        return max(now, min(times))

    def _plan_beat(self, stream: int, at: float) -> None:
        """On a grid, so that the heartbeats of many streams take few turns."""
        if at < inf and stream not in self._planned:
            self._planned.add(stream)
            heapq.heappush(self._beats, (-(-int(at) // GRID) * GRID, stream))

    def _beat(self, now: int) -> list[Out]:
        out: list[Out] = []
        while self._beats and self._beats[0][0] <= now:
            _, stream = heapq.heappop(self._beats)
            self._planned.discard(stream)
            client = self._streams.get(stream)
            if client is not None:
                out += [(stream, action) for action in client.beat(now)]
                self._plan_beat(stream, client.next_beat(now))
        return out

    def _changed(self, keys: set[Key]) -> list[Out]:
        """What each client is sent for it; endpoints first, and to all, as a drain is among them."""
        first = {key for key in keys if key[0] == EDS}
        out: list[Out] = []
        for part in (first, keys - first):
            for stream, theirs in self._receivers(part):
                out += [(stream, action) for action in self._streams[stream].changed(theirs)]
        return out

    def _receivers(self, keys: set[Key]) -> Iterable[tuple[int, set[Key]]]:
        """The streams that are to be told of some of these keys, and of which."""
        return [(stream, keys) for stream in self._streams] if keys else []

    def _enter(self, holder: str, now: int) -> None:
        """A process can be heard, for the first time or again."""
        self.ledger.join(holder)

    def _lost(self, change: Change, now: int) -> None:
        self.ledger.lost(change.holder)
        self._tell("proxy lost", holder=change.holder, state=change.state.value)

    def _news(self, now: int) -> None:
        if not self._has_news:
            self._has_news, self._due = True, min(self._due, now + SETTLE)

    def _tell(self, event: str, fine: bool = False, **fields: object) -> None:
        self.told.append(Told(event, fields, fine))


def _step(amount: float) -> int:
    """A demand in steps of an eighth, so that one that wavers is no news each time."""
    if not 0 < amount < inf:
        return 0
    step = max(1, 1 << max(0, int(amount).bit_length() - 4))
    return -(-int(min(amount, 10**9)) // step) * step


def _status(end: i.Endpoint | None) -> str:
    return end.status.name.lower() if end is not None else "none"
