"""The ledger's records of one destination: its allowance, and the grants that may still be in use.

No I/O, no clock. Times are microseconds, amounts are thousandths of a call a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = 1 << 62  # us; later than any clock reading


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that may be in use until `expires_at`, an upper bound."""

    number: int
    amount: int
    expires_at: int


@dataclass(slots=True)
class HolderAccount:
    """One holder's demand for one destination, and the grants that it may be using."""

    demand: int = 0  # from its last report
    outstanding: list[OutstandingGrant] = field(default_factory=list)  # by number
    sent_at: int = -1  # when the last grant was sent
    last_served: int = 0  # the last rotation in which it was served, where holders are served by rotation

    @property
    def in_use(self) -> int:
        """Return the most that the holder may use: the largest of its outstanding grants, never their sum."""
        return self.in_use_above(0)

    def in_use_above(self, number: int) -> int:
        """Return the largest outstanding grant with a number above this one; 0 if there is none."""
        return max((grant.amount for grant in self.outstanding if grant.number > number), default=0)

    @property
    def granted(self) -> int:
        """Return the amount of the last grant, or 0 if none is outstanding."""
        return self.outstanding[-1].amount if self.outstanding else 0


@dataclass(slots=True)
class AllowanceDecrease:
    """A decrease of a destination's allowance."""

    number: int  # the highest grant number assigned before it
    granted_at: int  # when smaller grants were sent because of it; NEVER: not yet


@dataclass(slots=True)
class DestinationAccount:
    """One destination's allowance and the accounts of its holders."""

    allowance: int = 0
    decreases: list[AllowanceDecrease] = field(default_factory=list)  # within the last lease and delay
    holders: dict[str, HolderAccount] = field(default_factory=dict)
    rotation: int = 0  # counter: holders are served by rotation where the allowance is too small to be split
    rotation_ends_at: int = 0

    def in_use(self) -> int:
        """Return the most that all holders together may use."""
        return sum(account.in_use for account in self.holders.values())

    def set_allowance(self, amount: int, last_number: int) -> bool:
        """Set the allowance; return whether it has changed. `last_number` is the highest grant number assigned."""
        if self.allowance == amount:
            return False
        if amount < self.allowance and (not self.decreases or self.decreases[-1].number != last_number):
            self.decreases.append(AllowanceDecrease(last_number, NEVER))
        self.allowance = amount
        return True

    def date_decreases(self, now: int, expiry_us: int) -> None:
        """Set the time of the decreases that take effect now, and drop those that no longer matter.

        Args:
            now: the time at which smaller grants are sent.
            expiry_us: how long a larger grant made before a decrease may be in use: lease and delay.
        """
        recent = []
        for decrease in self.decreases:
            if decrease.granted_at == NEVER:
                decrease.granted_at = now
                recent.append(decrease)
            elif decrease.granted_at > now - expiry_us:
                recent.append(decrease)
        self.decreases = recent
