"""The allocator: passes the proxies' reports to the engine and the engine's allowances to the ledger.

No I/O, no clock, and no policy of its own. Each figure is the engine's:

    a destination's allowance    RouteAllowance.rate: the rate, or the slow-start budget while it has failures, for all
                                 proxies as one sender; 0 before Retry-After has passed, or if no endpoint is ready
    an endpoint's health         in RouteAllowance.endpoints: ready; not in it: draining or removed
    an endpoint's own budget     RouteAllowance.endpoints[id]: its slow-start budget, where other endpoints serve

Where each endpoint of a destination has a route of its own, the allowances of the routes add up.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import inf
from typing import Generic

from scalefall.control.grants import UNITS_PER_CALL, GrantT, LeaseLedger
from scalefall.policy.actions import LogLine, RouteAllowance
from scalefall.policy.engine import Engine
from scalefall.policy.events import Endpoint, EndpointListUpdate, EndpointReport, EndpointStatus, Event, LearnedRate

# Amounts are thousandths of a call a second.
UNLIMITED = 10**12  # the amount of a destination for which the engine sets no rate limit
MAX_LIMITED = 10**8  # the largest amount of a destination with a rate limit, far below UNLIMITED


class Allocator(Generic[GrantT]):
    """Turns the engine's allowances into grants.

    A step evaluates only the destinations that events have touched and those whose figures may change with time alone
    (`unsettled`). Every other destination has no rate limit, no Retry-After and no slow start, and gets one only by an
    event.
    """

    def __init__(self, engine: Engine, ledger: LeaseLedger[GrantT]) -> None:
        """Connect an engine with the ledger that divides its allowances."""
        self._engine = engine
        self._ledger = ledger
        self.last_allowances: list[RouteAllowance] = []  # the engine's rows of the last step
        self.log_lines: list[str] = []  # the engine's lines of the last step
        self.changed_allowances: dict[int, int] = {}  # amounts that the last step changed, by destination
        self.unsettled: set[int] = set()  # destinations whose figures may change with time alone, now or a step ago
        self._unsettled_before: set[int] = set()
        self._touched: set[int] = set()  # destinations with events since the last step
        self._destination_of: dict[str, int] = {}  # by endpoint

    def step(self, now: int, events: list[Event]) -> Sequence[GrantT]:
        """Pass events to the engine and its allowances to the ledger; return the grants to send."""
        self.apply(now, events)
        evaluated = self._touched | self.unsettled
        self._touched = set()
        self.last_allowances = self.allowances(evaluated)
        may_change = {row.destination for row in self.last_allowances if _may_change(row, now)}
        self.unsettled = may_change | self._unsettled_before
        self._unsettled_before = may_change
        self.changed_allowances = self._set_allowances(evaluated, now)
        return self._ledger.step(now)

    def _set_allowances(self, destinations: set[int], now: int) -> dict[int, int]:
        """Set the ledger's allowances of these destinations from the engine's rows; return the changed amounts."""
        amounts = dict.fromkeys(destinations, 0)
        for row in self.last_allowances:
            amounts[row.destination] += self._amount(row, now)
        changed = {}
        for destination, total in amounts.items():
            amount = min(total, UNLIMITED)
            if self._ledger.allow(destination, amount):
                changed[destination] = amount
        return changed

    def apply(self, now: int, events: list[Event]) -> None:
        """Pass events to the engine; the next step grants by its new figures."""
        actions = self._engine.handle(now, events)
        self.log_lines = [action.line for action in actions if isinstance(action, LogLine)]
        for event in events:
            self._touch(event)

    def _touch(self, event: Event) -> None:
        match event:
            case EndpointListUpdate():
                for endpoint in event.endpoints:
                    self._touch_endpoint(endpoint)
            case LearnedRate():
                self._touched.add(event.destination)
            case EndpointReport() if event.endpoint in self._destination_of:
                self._touched.add(self._destination_of[event.endpoint])

    def _touch_endpoint(self, endpoint: Endpoint) -> None:
        """Record a listed endpoint; one that moves to another destination changes the figures of both."""
        self._touched |= {endpoint.destination, self._destination_of.get(endpoint.id, endpoint.destination)}
        if endpoint.status is EndpointStatus.GONE:
            self._destination_of.pop(endpoint.id, None)
        else:
            self._destination_of[endpoint.id] = endpoint.destination

    def step_ledger(self, now: int) -> Sequence[GrantT]:
        """Return the grants that follow from changes of holders alone, without a step of the engine."""
        self.log_lines, self.changed_allowances = [], {}
        return self._ledger.step(now)

    def unsettled_allowances(self) -> list[RouteAllowance]:
        """Return the rows of destinations with a rate limit, a Retry-After or a slow start, for the snapshot."""
        return self.allowances(self.unsettled)

    def allowances(self, destinations: set[int] | None = None) -> list[RouteAllowance]:
        """Return the engine's present figures, of some destinations or of all."""
        return self._engine.allowances(destinations)

    @staticmethod
    def _amount(row: RouteAllowance, now: int) -> int:
        if row.retry_after_until > now or not row.endpoints:
            return 0
        budgets = sum(row.endpoints.values())  # inf if an endpoint has no failures
        rate = min(row.rate, budgets)
        return UNLIMITED if rate == inf else min(MAX_LIMITED, int(rate * UNITS_PER_CALL))


def by_destination(allowed: Iterable[RouteAllowance]) -> dict[int, list[RouteAllowance]]:
    """Return the engine's rows by destination."""
    rows: dict[int, list[RouteAllowance]] = {}
    for row in allowed:
        rows.setdefault(row.destination, []).append(row)
    return rows


def _may_change(row: RouteAllowance, now: int) -> bool:
    """Return whether the row's figures may change with time alone, by a rate limit, Retry-After or slow start."""
    return row.retry_after_until > now or row.rate < inf or any(budget < inf for budget in row.endpoints.values())
