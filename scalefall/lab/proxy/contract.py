"""The contract of a proxy: what it may send, given what the control service has sent. No I/O, no clock, no protobuf.

endpoints   Trusted for `ttl` from the last acknowledgement that the service has certainly received. A heartbeat is sent
            only once everything before it was acknowledged, so it proves the last acknowledgement; the first list on a
            stream proves the request. An unproved list, a draining endpoint and an unhealthy one get no new calls.
grants      One a route, the highest number. It expires `lease` after the proxy sent the report that it answers.
            Calls are sent one at a time, evenly spaced at its rate; an unused rate is not saved up beyond one call.
waits       A Retry-After stops this proxy's calls to the route at once, whatever its grant.
repeats     A message that may have run is repeated only as its class allows; one whose connection failed has not run.
the end     Without a trusted list or a valid grant, a message goes to the sender's ingress (fallback), is refused with
            the time of the next try (stop), or is sent at a part of the last grant (floor), as at_end says.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from scalefall.policy.events import NEVER_RAN, Outcome
from scalefall.policy.settings import Idempotency, MessageClass

SECOND = 1_000_000  # us
UNITS_PER_CALL = 1000  # the amount of one call a second
MAX_REPORT_TIMES = 64  # usage reports whose times are stored
FLOOR_RATIO = 0.1  # part of the last grant that is used where at_end is floor
MAX_ATTEMPTS = 3  # attempts of one message
USAGE_REPORT_INTERVAL_US = 250_000


@dataclass(slots=True, frozen=True)
class Send:
    """Send the message to this endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class Fallback:
    """Hand the message to the sender's ingress."""


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuse the message; after_us: when it may be tried again."""

    after_us: int


@dataclass(slots=True)
class _Route:
    endpoints: dict[str, str] = field(default_factory=dict)  # id to state: ready, draining, resting
    blocked: bool = False
    ttl_us: int = 0
    grant_number: int = 0
    amount: int = 0
    granted_until: int = -1
    retry_after_until: int = -1
    next_call_at: int = 0
    rotation: int = 0  # round robin over the ready endpoints
    allowed: int = 0  # calls allowed since the last usage report
    denied: int = 0
    reported_at: int = 0


class Contract:
    """What one proxy may send to its routes."""

    def __init__(self, routes: list[int], at_end: str = "fallback") -> None:
        self._at_end = at_end
        self._routes = {number: _Route() for number in routes}
        self._report_number = 0  # the last usage report
        self._report_times: OrderedDict[int, int] = OrderedDict()  # when each usage report was sent
        self._acknowledged_at = -1  # time of the last acknowledgement or request on this stream
        self._proved_at = -1  # time of the last of these that the service has certainly received

    # -- resources

    def _add(self, route: int) -> None:
        """Add a route that was not named at the start."""
        self._routes.setdefault(route, _Route())

    def stream_opened(self, now: int) -> None:
        """Record that a stream was opened; its first list proves that the service received the request."""
        self._acknowledged_at = now

    def list_received(self, route: int, endpoints: dict[str, str], blocked: bool, ttl_us: int, first: bool) -> None:
        """Record a list of endpoints; first: the response to this stream's first request."""
        state = self._routes.get(route)
        if state is not None:
            state.endpoints, state.blocked, state.ttl_us = endpoints, blocked, ttl_us
            if first:
                self._proved_at = max(self._proved_at, self._acknowledged_at)

    def heartbeat_received(self) -> None:
        """Record a heartbeat, which proves that the last acknowledgement was received."""
        self._proved_at = max(self._proved_at, self._acknowledged_at)

    def acknowledged(self, now: int) -> None:
        """Record that the proxy acknowledges a list or a heartbeat."""
        self._acknowledged_at = now

    # -- grants

    def usage_rows(self, now: int) -> list[tuple[int, float, int, int]]:
        """Return (route, wanted calls a second, highest grant received, number of this report) of each route."""
        self._number_report(now)
        rows = []
        for number, state in self._routes.items():
            elapsed = max(1, now - state.reported_at)
            rows.append(
                (number, (state.allowed + state.denied) * SECOND / elapsed, state.grant_number, self._report_number)
            )
            state.allowed = state.denied = 0
            state.reported_at = now
        return rows

    def _number_report(self, now: int) -> int:
        """Return the number of a report that is sent now."""
        self._report_number += 1
        self._report_times[self._report_number] = now
        if len(self._report_times) > MAX_REPORT_TIMES:
            self._report_times.popitem(last=False)
        return self._report_number

    def grant_received(self, route: int, amount: int, number: int, last_report: int, lease_us: int) -> None:
        """Record a grant if it is newer and last_report, the usage report that it answers, is known."""
        state, sent_at = self._routes.get(route), self._report_times.get(last_report)
        if state is not None and sent_at is not None and number > state.grant_number:
            state.grant_number, state.amount, state.granted_until = number, amount, sent_at + lease_us

    def retry_after_received(self, route: int, until: int) -> None:
        self._routes[route].retry_after_until = max(self._routes[route].retry_after_until, until)

    # -- decisions

    def choose(self, route: int, now: int) -> Send | Fallback | Refuse:
        """Return what to do with a message now; a Send counts against the grant."""
        state = self._routes.get(route)
        if state is None:
            return Refuse(SECOND)
        if now < state.retry_after_until:
            state.denied += 1
            return Refuse(state.retry_after_until - now)
        ready = [name for name, status in state.endpoints.items() if status == "ready"]
        if not self.trusts(route, now):
            return self._on_lease_end(state, now)
        if not ready or state.blocked:
            state.denied += 1
            return Refuse(SECOND)
        amount = self._granted(route, now)
        if amount is None:
            if self._at_end != "floor":
                return self._on_lease_end(state, now)
            amount = int(state.amount * FLOOR_RATIO)
        if amount <= 0 or now < state.next_call_at:
            state.denied += 1
            return Refuse(max(USAGE_REPORT_INTERVAL_US, state.next_call_at - now if amount > 0 else SECOND))
        state.next_call_at = max(state.next_call_at, now) + UNITS_PER_CALL * SECOND // amount
        state.allowed += 1
        state.rotation += 1
        return Send(ready[state.rotation % len(ready)])

    def _granted(self, route: int, now: int) -> int | None:
        """Return the amount of the grant that is valid now, or None."""
        state = self._routes[route]
        return state.amount if now < state.granted_until else None

    def trusts(self, route: int, now: int) -> bool:
        """Return whether the route's list is trusted; with at_end "floor" a proved list is trusted without end."""
        state = self._routes[route]
        return (
            self._proved_at >= 0
            and bool(state.ttl_us)
            and (now < self._proved_at + state.ttl_us or self._at_end == "floor")
        )

    def _on_lease_end(self, state: _Route, now: int) -> Fallback | Refuse:
        state.denied += 1
        return Fallback() if self._at_end == "fallback" else Refuse(SECOND)


def may_repeat(message_class: MessageClass, outcome: Outcome, first_us: int, now: int, attempts: int) -> bool:
    """Return whether a message is repeated after an attempt with this outcome. first_us: start of its first attempt."""
    if attempts >= MAX_ATTEMPTS:
        return False
    if outcome in NEVER_RAN or message_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        message_class.idempotency is Idempotency.WITH_KEY
        and not message_class.key_scope_zone
        and now < first_us + message_class.key_ttl_us
    )


def final_answer(outcome: Outcome) -> str:
    """Return the final answer after a last attempt with this outcome: refused (has not run) or failed (may have)."""
    return "refused" if outcome in NEVER_RAN else "failed"
