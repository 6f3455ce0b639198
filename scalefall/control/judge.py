"""The decision module as judge of what proxies do: their reports go in, its allowances become grants. No I/O, no clock.

No second policy stands here. Each figure is the module's own:

    grant's allowance of a destination   Allowed.rate: the route's pace, or its guard's budget while it is in doubt, for
                                         all proxies as one sender; nothing while a told wait runs or no endpoint is in
    an endpoint's state                  in Allowed.endpoints: ready; not there: draining or gone
    an endpoint's own budget             Allowed.endpoints[id]: its guard's, where its neighbours serve

Routes of a kind whose limits stand apart are one destination's; their allowances add up.
"""
from __future__ import annotations

from math import inf

from scalefall import interface as i
from scalefall.control.grants import CALLS, Grant, Ledger
from scalefall.policy import Sender

UNLIMITED = 10**9           # thousandths of a call a second, where the module sets no pace


class Judge:
    def __init__(self, module: Sender, ledger: Ledger) -> None:
        self._module, self._ledger = module, ledger
        self.allowed: list[i.Allowed] = []      # as of the last turn

    def turn(self, now: int, events: list[i.Event]) -> list[Grant]:
        """Reports and lists to the module, its allowances to the ledger; the grants that follow."""
        self._module.handle(now, events)
        self.allowed = self._module.allowances()
        sums: dict[int, int] = {}
        for row in self.allowed:
            sums[row.destination] = sums.get(row.destination, 0) + self._amount(row, now)
        for destination, amount in sums.items():
            self._ledger.allow(destination, min(amount, UNLIMITED))
        return self._ledger.turn(now)

    @staticmethod
    def _amount(row: i.Allowed, now: int) -> int:
        if row.silent_until > now or not row.endpoints:
            return 0
        own = sum(row.endpoints.values())       # inf as soon as one endpoint is in no doubt
        rate = min(row.rate, own)
        return UNLIMITED if rate == inf else int(rate * CALLS)
