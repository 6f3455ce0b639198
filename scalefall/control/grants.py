"""Grants, and what the service asks of the ledger that gives them. No I/O, no clock.

A grant is a lease on a part of a destination's allowance. It goes to one holder, that is one process of a proxy, for
one destination. `ledger.py` has the theory of operation.

Times are microseconds of the control service's clock. Amounts are thousandths of a call a second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

UNITS_PER_CALL = 1000  # amounts in one call a second: integers, so that sums are exact
MIN_GRANT = 200  # an amount: a smaller grant is not given, as one call in 5 s is the least that is of use


class QuotaAction:
    """What a quota stream can be sent; the assignment has its own beside `Grant`."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Grant(QuotaAction):
    """Permission for one holder to send to one destination, for a lease from when the message gets there."""

    holder: str
    destination: int
    number: int  # only grows: a holder drops a lower one that comes late
    amount: int  # 0 withdraws what the holder has
    lease_us: int


class LedgerGrant(Protocol):
    """A grant of any kind of ledger: it has one holder."""

    @property
    def holder(self) -> str:
        """The process that it is for."""
        ...


GrantT = TypeVar("GrantT", bound=LedgerGrant)
GrantT_co = TypeVar("GrantT_co", bound=LedgerGrant, covariant=True)


class LeaseLedger(Protocol[GrantT_co]):
    """What the service and the allocator ask of a ledger, whether it grants by destination or by shard."""

    delay_us: int  # the longest time that a message may be on its way

    @property
    def number(self) -> int:
        """The highest number that was given."""
        ...

    def step_down(self) -> None:
        """Another service grants: nothing goes out from here until `become_leader`."""
        ...

    def become_leader(self, now: int) -> None:
        """Another service may have granted until now."""
        ...

    def resume(self, number: int) -> None:
        """Number the next grants above this one."""
        ...

    def allow(self, destination: int, amount: int) -> bool:
        """Set a destination's allowance for all holders together; whether it is another one than before."""
        ...

    def join(self, holder: str) -> None:
        """Count a holder as reachable."""
        ...

    def disconnected(self, holder: str) -> None:
        """Count a holder as unreachable."""
        ...

    def step(self, now: int) -> Sequence[GrantT_co]:
        """The grants to send now."""
        ...

    def next_deadline(self, now: int) -> int:
        """When `step` has to be called if nothing changes before."""
        ...
