"""What a proxy may do, by what it was told: the contract, as a state machine. No I/O, no clock, no protobuf.

endpoints   Trusted until `ttl` after this proxy said something that the service has certainly heard. A heartbeat
            goes out only when all that went before was answered, so it proves the last acknowledgement; the first
            list proves the question. An unproved list, a drained endpoint and an unhealthy one get no fresh work.
grants      One a route, the highest number. It ends `lease` after the report that it was given upon was sent.
            Calls go out at its pace, one at once; none is saved up beyond one.
waits       A told wait binds this proxy at once, whatever it was granted.
repeats     What may have run goes out again only as its class allows; without a connection it wasn't sent.
the end     With no endpoint or no grant to go by, a message goes to the sender itself (fallback), or is refused
            with when to come back (stop), or goes out at a share of the last grant (floor): at_end chooses.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from scalefall.policy.events import NEVER_RAN, Outcome
from scalefall.policy.settings import Idempotency, MessageClass

SECOND = 1_000_000
UNITS_PER_CALL = 1000
MAX_REPORT_TIMES = 64  # reports whose times are remembered
FLOOR_RATIO = 0.1  # of the last grant, where at_end is floor
MAX_ATTEMPTS = 3  # of one message
USAGE_REPORT_INTERVAL_US = 250_000  # between reports of use


@dataclass(slots=True, frozen=True)
class Send:
    endpoint: str


@dataclass(slots=True, frozen=True)
class Fallback:
    """To the sender itself."""


@dataclass(slots=True, frozen=True)
class Refuse:
    after_us: int


@dataclass(slots=True)
class _Route:
    endpoints: dict[str, str] = field(default_factory=dict)  # id to state: ready, draining, resting
    blocked: bool = False
    ttl: int = 0
    number: int = 0
    amount: int = 0
    until: int = -1
    silent: int = -1
    next: int = 0
    at: int = 0  # the next endpoint's turn
    allowed: int = 0  # since the last report of use
    denied: int = 0
    reported: int = 0


class Contract:
    def __init__(self, routes: list[int], at_end: str = "fallback") -> None:
        self._at_end = at_end
        self._routes = {number: _Route() for number in routes}
        self._report_number = 0  # the number of the last report of use
        self._report_times: OrderedDict[int, int] = OrderedDict()  # when each went out
        self._acknowledged_at = -1  # when it last answered a list, on this stream
        self._proved_at = -1  # what it said at that time has been heard

    # -- resources

    def _add(self, route: int) -> None:
        """A route that was not named at the start."""
        self._routes.setdefault(route, _Route())

    def stream_opened(self, now: int) -> None:
        """A new stream to the service: what is asked on it now counts once it is answered."""
        self._acknowledged_at = now

    def list_received(self, route: int, endpoints: dict[str, str], blocked: bool, ttl: int, first: bool) -> None:
        """A list of endpoints; first: the answer to this stream's question."""
        place = self._routes.get(route)
        if place is not None:
            place.endpoints, place.blocked, place.ttl = endpoints, blocked, ttl
            if first:
                self._proved_at = max(self._proved_at, self._acknowledged_at)

    def heartbeat_received(self) -> None:
        """A heartbeat: all that was answered before it has been heard."""
        self._proved_at = max(self._proved_at, self._acknowledged_at)

    def acknowledged(self, now: int) -> None:
        """It acknowledges a list or a heartbeat."""
        self._acknowledged_at = now

    # -- grants

    def usage_rows(self, now: int) -> list[tuple[int, float, int, int]]:
        """(route, calls a second asked for, highest grant had, number of this report) of each route."""
        self._number_report(now)
        rows = []
        for number, place in self._routes.items():
            elapsed = max(1, now - place.reported)
            rows.append((number, (place.allowed + place.denied) * SECOND / elapsed, place.number, self._report_number))
            place.allowed = place.denied = 0
            place.reported = now
        return rows

    def _number_report(self, now: int) -> int:
        """The number of a report that goes out now."""
        self._report_number += 1
        self._report_times[self._report_number] = now
        if len(self._report_times) > MAX_REPORT_TIMES:
            self._report_times.popitem(last=False)
        return self._report_number

    def grant_received(self, route: int, amount: int, number: int, heard: int, lease: int) -> None:
        place, at = self._routes.get(route), self._report_times.get(heard)
        if place is not None and at is not None and number > place.number:
            place.number, place.amount, place.until = number, amount, at + lease

    def retry_after_received(self, route: int, until: int) -> None:
        self._routes[route].silent = max(self._routes[route].silent, until)

    # -- what may go out

    def choose(self, route: int, now: int) -> Send | Fallback | Refuse:
        """Where a message may go now; a Send is used up."""
        place = self._routes.get(route)
        if place is None:
            return Refuse(SECOND)
        if now < place.silent:
            place.denied += 1
            return Refuse(place.silent - now)
        ready = [name for name, state in place.endpoints.items() if state == "ready"]
        if not self.trusts(route, now):
            return self._end(place, now)
        if not ready or place.blocked:
            place.denied += 1
            return Refuse(SECOND)
        amount = self._granted(route, now)
        if amount is None:
            if self._at_end != "floor":
                return self._end(place, now)
            amount = int(place.amount * FLOOR_RATIO)
        if amount <= 0 or now < place.next:
            place.denied += 1
            return Refuse(max(USAGE_REPORT_INTERVAL_US, place.next - now if amount > 0 else SECOND))
        place.next = max(place.next, now) + UNITS_PER_CALL * SECOND // amount
        place.allowed += 1
        place.at += 1
        return Send(ready[place.at % len(ready)])

    def _granted(self, route: int, now: int) -> int | None:
        """Thousandths of a call a second that its grant allows; None: no grant is in force."""
        place = self._routes[route]
        return place.amount if now < place.until else None

    def trusts(self, route: int, now: int) -> bool:
        """Whether its endpoints are proved. At the floor they are, as that is what the choice means."""
        place = self._routes[route]
        return (
            self._proved_at >= 0 and bool(place.ttl) and (now < self._proved_at + place.ttl or self._at_end == "floor")
        )

    def _end(self, place: _Route, now: int) -> Fallback | Refuse:
        place.denied += 1
        return Fallback() if self._at_end == "fallback" else Refuse(SECOND)


def may_repeat(cls: MessageClass, outcome: Outcome, first_us: int, now: int, tries: int) -> bool:
    """Whether a message goes out again after a call that ended so. first_us: when its first call began."""
    if tries >= MAX_ATTEMPTS:
        return False
    if outcome in NEVER_RAN or cls.idempotency is Idempotency.IDEMPOTENT:
        return True
    return cls.idempotency is Idempotency.WITH_KEY and not cls.key_scope_zone and now < first_us + cls.key_ttl_us


def final_answer(outcome: Outcome) -> str:
    """The final answer of a message whose last call ended so: it has not run and may come again, or no promise."""
    return "refused" if outcome in NEVER_RAN else "failed"
