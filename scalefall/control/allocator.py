"""The allocator: reports of proxies go into the decision module, its allowances become grants. No I/O, no clock.

No second policy stands here. Each figure is the module's own:

    grant's allowance of a destination   Allowed.rate: the route's pace, or its guard's budget while it is in doubt, for
                                         all proxies as one sender; nothing while a told wait runs or no endpoint is in
    an endpoint's state                  in Allowed.endpoints: ready; not there: draining or gone
    an endpoint's own budget             Allowed.endpoints[id]: its guard's, where its neighbours serve

Routes of a kind whose limits stand apart are one destination's; their allowances add up.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from scalefall import interface as i
from scalefall.control.grants import UNITS_PER_CALL, Grant, Leases
from scalefall.policy import Sender

UNLIMITED = 10**12  # thousandths of a call a second, where the module sets no pace
READY, DRAINING, RESTING = "ready", "draining", "resting"  # what a proxy is told of an endpoint
MAX_LIMITED = 10**8  # the same where it sets one, however high


def endpoint_states(endpoints: Iterable[i.Endpoint], allowed: list[i.Allowed], now: int) -> tuple[dict[str, str], str]:
    """Each endpoint of a route that isn't gone, by id, as ready, draining, or resting under its guard; and why nothing
    at all may go out on the route, if nothing may. allowed are the module's rows for it."""
    budgets: dict[str, float] = {}
    for row in allowed:
        budgets |= row.endpoints
    serving, blocked = [row for row in allowed if row.endpoints], ""
    if serving and all(row.silent_until > now for row in serving):
        blocked = "told-wait"
    elif serving and all(row.rate <= 0 for row in serving):
        blocked = "guarded"
    found = {}
    for end in endpoints:
        if end.status is i.Status.DRAINING or end.status is i.Status.READY and end.id not in budgets:
            found[end.id] = DRAINING
        elif end.status is i.Status.READY:
            found[end.id] = RESTING if budgets[end.id] <= 0 and not blocked else READY
    return found, blocked


class Allocator:
    """Work goes by news: a turn asks the module for the destinations that events have touched and for those whose
    figures may change by time alone (`unsettled`), not for all. Every other destination has no pace, wait or guard,
    and only an event can give it one."""

    def __init__(self, module: Sender, ledger: Leases) -> None:
        self._module, self._ledger = module, ledger
        self.allowed: list[i.Allowed] = []  # rows of the last turn
        self.log_lines: list[str] = []  # the module's lines of the last turn
        self.changed_allowances: dict[int, int] = {}  # allowances that the last turn changed
        self.unsettled: set[int] = set()  # destinations whose figures differ, or may change by time alone
        self._before: set[int] = set()
        self._touched: set[int] = set()  # destinations with events since the last turn
        self._destinations: dict[str, int] = {}  # of each endpoint

    def step(self, now: int, events: list[i.Event]) -> list[Grant]:
        """Reports and lists to the module, its allowances to the ledger; the grants that follow."""
        self.apply(now, events)
        among, self._touched = self._touched | self.unsettled, set()
        self.allowed = self.allowances(among)
        waver = {row.destination for row in self.allowed if _may_change(row, now)}
        self.unsettled, self._before = waver | self._before, waver
        sums = dict.fromkeys(among, 0)
        for row in self.allowed:
            sums[row.destination] += self._amount(row, now)
        self.changed_allowances = {
            destination: min(amount, UNLIMITED)
            for destination, amount in sums.items()
            if self._ledger.allow(destination, min(amount, UNLIMITED))
        }
        return self._ledger.step(now)

    def apply(self, now: int, events: list[i.Event]) -> None:
        """Events to the module; what follows from them is told at the next turn."""
        self.log_lines = [action.line for action in self._module.handle(now, events) if isinstance(action, i.Log)]
        for event in events:
            self._note(event)

    def _note(self, event: i.Event) -> None:
        if isinstance(event, i.Listed):
            for end in event.endpoints:
                self._listed(end)
        elif isinstance(event, i.Known):
            self._touched.add(event.destination)
        elif isinstance(event, i.Reported) and event.endpoint in self._destinations:
            self._touched.add(self._destinations[event.endpoint])

    def _listed(self, end: i.Endpoint) -> None:
        """An endpoint that moves to another destination changes the figures of both."""
        self._touched |= {end.destination, self._destinations.get(end.id, end.destination)}
        if end.status is i.Status.GONE:
            self._destinations.pop(end.id, None)
        else:
            self._destinations[end.id] = end.destination

    def step_ledger(self, now: int) -> list[Grant]:
        """What follows from news of holders alone; the module isn't asked."""
        self.log_lines, self.changed_allowances = [], {}
        return self._ledger.step(now)

    def unsettled_allowances(self) -> list[i.Allowed]:
        """The rows of destinations in which a wait, a pace or a guard is in force: what a restart must not forget."""
        return self.allowances(self.unsettled)

    def allowances(self, among: set[int] | None = None) -> list[i.Allowed]:
        """The module's figures of this moment, of some destinations or of all."""
        return self._module.allowances(among)

    @staticmethod
    def _amount(row: i.Allowed, now: int) -> int:
        if row.silent_until > now or not row.endpoints:
            return 0
        own = sum(row.endpoints.values())  # inf as soon as one endpoint is in no doubt
        rate = min(row.rate, own)
        return UNLIMITED if rate == inf else min(MAX_LIMITED, int(rate * UNITS_PER_CALL))


def by_destination(allowed: Iterable[i.Allowed]) -> dict[int, list[i.Allowed]]:
    """Rows of the module, by destination."""
    rows: dict[int, list[i.Allowed]] = {}
    for row in allowed:
        rows.setdefault(row.destination, []).append(row)
    return rows


def _may_change(row: i.Allowed, now: int) -> bool:
    """Whether the row's figures may change by time alone: a wait, a pace or a guard is in force."""
    return row.silent_until > now or row.rate < inf or any(own < inf for own in row.endpoints.values())
