"""Grants, and the interface of the ledgers that make them. No I/O, no clock.

A grant is a lease on a part of a destination's allowance. It goes to one holder (one process of a proxy) for one
destination. `ledger.py` has the theory of operation.

Times are microseconds of the control service's clock. Amounts are thousandths of a call a second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

UNITS_PER_CALL = 1000  # the amount of one call a second; amounts are integers, so that sums are exact
MIN_GRANT = 200  # the smallest amount granted: a rate below one call in 5 s is of no use to a holder


class QuotaAction:
    """Base class of what is sent on quota streams: `Grant` here, others in the assignment package."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class Grant(QuotaAction):
    """Permission for one holder to send to one destination, for a lease from the receipt of the message."""

    holder: str
    destination: int
    number: int  # increases with each grant: a holder drops a lower one that arrives late
    amount: int  # 0 revokes the holder's grant
    lease_us: int


class LedgerGrant(Protocol):
    """A grant from any kind of ledger, made to one holder."""

    @property
    def holder(self) -> str:
        """Return the process that the grant is for."""
        ...


GrantT = TypeVar("GrantT", bound=LedgerGrant)
GrantT_co = TypeVar("GrantT_co", bound=LedgerGrant, covariant=True)


class LeaseLedger(Protocol[GrantT_co]):
    """The interface of a ledger for the service and the allocator, whether it grants by destination or by shard."""

    delay_us: int  # the longest time that a message may be in transit

    @property
    def number(self) -> int:
        """Return the highest grant number that was assigned."""
        ...

    def step_down(self) -> None:
        """Stop granting until `become_leader` is called: another service grants."""
        ...

    def become_leader(self, now: int) -> None:
        """Start granting once all that another service may have granted until `now` has expired."""
        ...

    def resume(self, number: int) -> None:
        """Number the next grants above this one."""
        ...

    def allow(self, destination: int, amount: int) -> bool:
        """Set a destination's allowance for all holders together; return whether it has changed."""
        ...

    def join(self, holder: str) -> None:
        """Mark a holder as reachable."""
        ...

    def disconnected(self, holder: str) -> None:
        """Mark a holder as unreachable."""
        ...

    def step(self, now: int) -> Sequence[GrantT_co]:
        """Return the grants to send now."""
        ...

    def next_deadline(self, now: int) -> int:
        """Return when `step` has to be called if nothing changes before."""
        ...
