"""The allocator: reports of proxies go into the decision module, its allowances become grants. No I/O, no clock.

No second policy stands here. Each figure is the module's own:

    a destination's allowance    RouteAllowance.rate: the rate, or the budget of its slow start while it has failures,
                                 for all proxies as one sender; nothing before Retry-After, or if no endpoint is ready
    an endpoint's health         in RouteAllowance.endpoints: ready; not there: draining or removed
    an endpoint's own budget     RouteAllowance.endpoints[id]: that of its slow start, where its neighbours serve

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
UNLIMITED = 10**12  # the amount of a destination for which the module sets no rate limit
MAX_LIMITED = 10**8  # the largest amount where it sets one: far below UNLIMITED, however high the rate


class Allocator(Generic[GrantT]):
    """Turns the module's allowances into grants.

    Work is done for what changes: a step asks the module for the destinations that events have touched and for those
    whose figures may change by time alone (`unsettled`), not for all. Every other destination has no rate limit, no
    Retry-After and no slow start, and only an event can give it one.
    """

    def __init__(self, engine: Engine, ledger: LeaseLedger[GrantT]) -> None:
        """Stand between a decision module and the ledger that divides its allowances."""
        self._engine = engine
        self._ledger = ledger
        self.allowed: list[RouteAllowance] = []  # the module's rows of the last step
        self.log_lines: list[str] = []  # the module's lines of the last step
        self.changed_allowances: dict[int, int] = {}  # amounts that the last step changed, by destination
        self.unsettled: set[int] = set()  # destinations whose figures differ, or may change by time alone
        self._unsettled_before: set[int] = set()
        self._touched: set[int] = set()  # destinations with events since the last step
        self._destination_of: dict[str, int] = {}  # by endpoint

    def step(self, now: int, events: list[Event]) -> Sequence[GrantT]:
        """Hand events to the module and its allowances to the ledger; the grants that follow."""
        self.apply(now, events)
        evaluated = self._touched | self.unsettled
        self._touched = set()
        self.allowed = self.allowances(evaluated)
        may_change = {row.destination for row in self.allowed if _may_change(row, now)}
        self.unsettled = may_change | self._unsettled_before
        self._unsettled_before = may_change
        self.changed_allowances = self._set_allowances(evaluated, now)
        return self._ledger.step(now)

    def _set_allowances(self, destinations: set[int], now: int) -> dict[int, int]:
        """Set the ledger's allowances of these destinations from the module's rows; the amounts that are others now."""
        amounts = dict.fromkeys(destinations, 0)
        for row in self.allowed:
            amounts[row.destination] += self._amount(row, now)
        changed = {}
        for destination, total in amounts.items():
            amount = min(total, UNLIMITED)
            if self._ledger.allow(destination, amount):
                changed[destination] = amount
        return changed

    def apply(self, now: int, events: list[Event]) -> None:
        """Hand events to the module; what follows from them is granted at the next step."""
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
        """Note a listed endpoint; one that moves to another destination changes the figures of both."""
        self._touched |= {endpoint.destination, self._destination_of.get(endpoint.id, endpoint.destination)}
        if endpoint.status is EndpointStatus.GONE:
            self._destination_of.pop(endpoint.id, None)
        else:
            self._destination_of[endpoint.id] = endpoint.destination

    def step_ledger(self, now: int) -> Sequence[GrantT]:
        """The grants that follow from changes of holders alone; the module is not asked."""
        self.log_lines, self.changed_allowances = [], {}
        return self._ledger.step(now)

    def unsettled_allowances(self) -> list[RouteAllowance]:
        """The rows of destinations with a rate limit, a Retry-After or a slow start: what outlasts a restart."""
        return self.allowances(self.unsettled)

    def allowances(self, destinations: set[int] | None = None) -> list[RouteAllowance]:
        """The module's figures of this moment, of some destinations or of all."""
        return self._engine.allowances(destinations)

    @staticmethod
    def _amount(row: RouteAllowance, now: int) -> int:
        if row.retry_after_until > now or not row.endpoints:
            return 0
        budgets = sum(row.endpoints.values())  # inf as soon as one endpoint has no failures
        rate = min(row.rate, budgets)
        return UNLIMITED if rate == inf else min(MAX_LIMITED, int(rate * UNITS_PER_CALL))


def by_destination(allowed: Iterable[RouteAllowance]) -> dict[int, list[RouteAllowance]]:
    """The module's rows, by destination."""
    rows: dict[int, list[RouteAllowance]] = {}
    for row in allowed:
        rows.setdefault(row.destination, []).append(row)
    return rows


def _may_change(row: RouteAllowance, now: int) -> bool:
    """Whether the row's figures may change by time alone: a rate limit, Retry-After or slow start is in force."""
    return row.retry_after_until > now or row.rate < inf or any(budget < inf for budget in row.endpoints.values())
