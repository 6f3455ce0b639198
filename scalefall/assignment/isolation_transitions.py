"""Destinations with a shard of their own: the way there and back without its budget being given twice.

    state      isolate     merge     home shard's limit in force    own shard's grants out of use
    (none)     PREPARING   error     -                              -
    PREPARING  error       MERGING   OWN                            -
    OWN        error       MERGING   -                              -
    MERGING    error       error     -                              (none)

In PREPARING the home shard says 0 for the destination and nothing is granted on its own; "in force" is when every grant
of the home shard that may be in use has that 0. In MERGING the own shard is withdrawn; the home shard says 0 until
nothing of the own one may be in use. So a destination has a budget in one shard at most.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from scalefall.assignment.model import UNLIMITED
from scalefall.assignment.shard_records import ShardRecords
from scalefall.errors import AssignmentError


class IsolationState(Enum):
    PREPARING = "preparing"
    OWN = "own"
    MERGING = "merging"


@dataclass(slots=True)
class _Isolation:
    """A destination that has, is to have, or has had a shard of its own."""

    home: int
    own: int
    version: int  # of the home shard's limits that says 0 for it
    state: IsolationState = IsolationState.PREPARING
    amount: int = UNLIMITED  # its allowance, kept for the home shard while it moves back


class IsolationTransitions:
    """All isolated destinations of a ledger."""

    def __init__(self, records: ShardRecords) -> None:
        self._records = records
        self._isolated: dict[int, _Isolation] = {}
        self._moving: set[int] = set()  # destinations whose move waits for grants to be out of use

    def state(self, destination: int) -> IsolationState | None:
        """None: it has no shard of its own, and nothing of one may be in use."""
        isolation = self._isolated.get(destination)
        return isolation.state if isolation else None

    def set_limit(self, destination: int, shard: int, amount: int) -> None:
        """The allowance of a destination, told to the shard that it is of."""
        isolation = self._isolated.get(destination)
        if isolation is None:
            if amount < UNLIMITED or self._records.get(shard) is not None:
                self._records.set_limit(destination, self._records.open(shard), amount)
            return
        merging = isolation.state is IsolationState.MERGING
        if shard != (isolation.home if merging else isolation.own):
            raise AssignmentError(f"destination {destination} is not in shard {shard}")
        if merging:
            isolation.amount = amount
        else:
            self._records.set_limit(destination, self._records.open(shard), amount)

    def isolate(self, destination: int, home_shard: int, own_shard: int) -> None:
        """The destination's budget is to be its own shard's."""
        if destination in self._isolated:
            raise AssignmentError(f"destination {destination} has a shard of its own, or is on its way back from one")
        if own_shard == home_shard or not self._records.is_free(own_shard):
            raise AssignmentError(f"shard {own_shard} is in use")
        home = self._records.open(home_shard)
        if home.destination is not None:
            raise AssignmentError(f"shard {home_shard} is another destination's own")
        own = self._records.open(own_shard)
        amount = home.limits.rate(destination)
        self._records.set_limit(destination, home, 0)
        self._records.set_limit(destination, own, amount)
        home.watched, own.blocked, own.destination = True, True, destination
        self._isolated[destination] = _Isolation(home_shard, own_shard, home.limits.version)
        self._moving.add(destination)

    def merge(self, destination: int) -> None:
        """The destination's budget is to be its home shard's again."""
        isolation = self._isolated.get(destination)
        if isolation is None or isolation.state is IsolationState.MERGING:
            raise AssignmentError(f"destination {destination} has no shard of its own")
        own = self._records.open(isolation.own)
        isolation.state, isolation.amount = IsolationState.MERGING, own.limits.rate(destination)
        own.draining = own.watched = True
        self._records.retarget(own, {})
        self._moving.add(destination)

    def finish(self, now: int) -> None:
        """Go on with each move whose grants are out of use by now. Costs by the moves under way."""
        for destination in sorted(self._moving):
            isolation = self._isolated[destination]
            if isolation.state is IsolationState.MERGING:
                self._finish_merge(destination, isolation, now)
            else:
                self._finish_isolation(destination, isolation, now)

    def _finish_isolation(self, destination: int, isolation: _Isolation, now: int) -> None:
        if self._records.open(isolation.home).may_lack_version(isolation.version, now):
            return
        isolation.state = IsolationState.OWN
        self._moving.discard(destination)
        self._records.open(isolation.own).blocked = False
        self._records.mark_changed(isolation.own)
        self._watch(isolation.home)

    def _finish_merge(self, destination: int, isolation: _Isolation, now: int) -> None:
        own = self._records.open(isolation.own)
        if own.in_use(now):
            return
        self._moving.discard(destination)
        del self._isolated[destination]
        self._records.drop(own)
        home = self._records.open(isolation.home)
        self._records.set_limit(destination, home, isolation.amount)
        self._watch(isolation.home)

    def _watch(self, home: int) -> None:
        """Whether a move still waits for the grants of a home shard."""
        waiting = (self._isolated[moving] for moving in self._moving)
        self._records.open(home).watched = any(isolation.home == home for isolation in waiting)
