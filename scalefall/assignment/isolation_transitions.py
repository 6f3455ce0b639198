"""The state machine that moves a destination to a shard of its own and back without granting its budget twice.

    state      isolate     merge     home shard's limit in force    own shard's grants expired
    (none)     PREPARING   error     -                              -
    PREPARING  error       MERGING   ISOLATED                       -
    ISOLATED   error       MERGING   -                              -
    MERGING    error       error     -                              (none)

In PREPARING the destination's limit in its home shard is 0, and nothing is granted on its own shard. The limit is in
force once every grant of the home shard that may be in use carries it. In MERGING the own shard is withdrawn, and the
limit in the home shard stays 0 until no grant of the own shard may be in use. So a destination has a budget in at most
one shard.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from scalefall.assignment.model import UNLIMITED
from scalefall.assignment.shard_records import ShardRecords
from scalefall.errors import AssignmentError


class IsolationState(Enum):
    """The progress of a destination's move to a shard of its own, or back."""

    PREPARING = "preparing"
    ISOLATED = "own"
    MERGING = "merging"


@dataclass(slots=True)
class _Isolation:
    """A destination that has a shard of its own, or is moving to or from one."""

    home: int  # its shard by hash
    own: int
    version: int  # the version of the home shard's limits that set the destination's to 0
    state: IsolationState = IsolationState.PREPARING
    rate: int = UNLIMITED  # the limit to restore in the home shard at the end of MERGING


class IsolationTransitions:
    """All isolated destinations of a ledger."""

    def __init__(self, records: ShardRecords) -> None:
        """Start without isolated destinations."""
        self._records = records
        self._isolated: dict[int, _Isolation] = {}
        self._moving: set[int] = set()  # destinations whose move waits for acknowledgements or expiries of grants

    def state(self, destination: int) -> IsolationState | None:
        """Return the destination's state; None if it has no shard of its own and no grant of one may be in use."""
        isolation = self._isolated.get(destination)
        return isolation.state if isolation else None

    def set_limit(self, destination: int, shard: int, rate: int) -> None:
        """Set the limit of a destination in its present shard.

        Raises:
            AssignmentError: The destination is in another shard.
        """
        isolation = self._isolated.get(destination)
        if isolation is None:
            if rate < UNLIMITED or self._records.get(shard) is not None:
                self._records.set_limit(destination, self._records.get_or_create(shard), rate)
            return
        is_merging = isolation.state is IsolationState.MERGING
        if shard != (isolation.home if is_merging else isolation.own):
            raise AssignmentError(f"destination {destination} is not in shard {shard}")
        if is_merging:
            isolation.rate = rate
        else:
            self._records.set_limit(destination, self._records.get_or_create(shard), rate)

    def isolate(self, destination: int, home_shard: int, own_shard: int) -> None:
        """Start to move the destination's budget to its own shard.

        Raises:
            AssignmentError: The destination is isolated already, the own shard is in use, or the home shard is another
                destination's own.
        """
        if destination in self._isolated:
            raise AssignmentError(f"destination {destination} has a shard of its own, or is moving back from one")
        if own_shard == home_shard or not self._records.is_free(own_shard):
            raise AssignmentError(f"shard {own_shard} is in use")
        home = self._records.get_or_create(home_shard)
        if home.destination is not None:
            raise AssignmentError(f"shard {home_shard} is another destination's own")
        own = self._records.get_or_create(own_shard)
        rate = home.limits.rate(destination)
        self._records.set_limit(destination, home, 0)
        self._records.set_limit(destination, own, rate)
        home.awaited_by_move, own.blocked, own.destination = True, True, destination
        self._isolated[destination] = _Isolation(home_shard, own_shard, home.limits.version)
        self._moving.add(destination)

    def merge(self, destination: int) -> None:
        """Start to move the destination's budget back to its home shard.

        Raises:
            AssignmentError: The destination has no shard of its own, or is moving back already.
        """
        isolation = self._isolated.get(destination)
        if isolation is None or isolation.state is IsolationState.MERGING:
            raise AssignmentError(f"destination {destination} has no shard of its own")
        own = self._records.get_or_create(isolation.own)
        isolation.state, isolation.rate = IsolationState.MERGING, own.limits.rate(destination)
        own.draining = own.awaited_by_move = True
        self._records.retarget(own, {})
        self._moving.add(destination)

    def finish(self, now: int) -> None:
        """Complete each move whose grants can no longer be in use. The cost is proportional to the pending moves."""
        for destination in sorted(self._moving):
            isolation = self._isolated[destination]
            if isolation.state is IsolationState.MERGING:
                self._finish_merge(destination, isolation, now)
            else:
                self._finish_isolation(destination, isolation, now)

    def _finish_isolation(self, destination: int, isolation: _Isolation, now: int) -> None:
        if self._records.get_or_create(isolation.home).may_lack_version(isolation.version, now):
            return
        isolation.state = IsolationState.ISOLATED
        self._moving.discard(destination)
        self._records.get_or_create(isolation.own).blocked = False
        self._records.mark_changed(isolation.own)
        self._update_awaited_by_move(isolation.home)

    def _finish_merge(self, destination: int, isolation: _Isolation, now: int) -> None:
        own = self._records.get_or_create(isolation.own)
        if own.in_use(now):
            return
        self._moving.discard(destination)
        del self._isolated[destination]
        self._records.drop(own)
        home = self._records.get_or_create(isolation.home)
        self._records.set_limit(destination, home, isolation.rate)
        self._update_awaited_by_move(isolation.home)

    def _update_awaited_by_move(self, home: int) -> None:
        """Set whether a home shard is awaited by a move."""
        moving = (self._isolated[destination] for destination in self._moving)
        self._records.get_or_create(home).awaited_by_move = any(isolation.home == home for isolation in moving)
