"""What the ledger knows of one destination: its allowance, and which grants of it may still be in use.

No I/O, no clock. Times are microseconds, amounts are thousandths of a call a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = 1 << 62  # us: later than any time of a clock


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that may be in use until `expires_at`, by what the service can know."""

    number: int
    amount: int
    expires_at: int


@dataclass(slots=True)
class HolderAccount:
    """What one holder demands of one destination, and what it may use of it."""

    demand: int = 0  # as it reported last
    outstanding: list[OutstandingGrant] = field(default_factory=list)  # by number
    sent_at: int = -1  # when the last grant was sent
    last_served: int = 0  # the rotation in which it was served last, where holders are served by rotation

    @property
    def in_use(self) -> int:
        """The most that the holder may use: the largest of its outstanding grants, never their sum."""
        return self.in_use_above(0)

    def in_use_above(self, number: int) -> int:
        """The most that the holder may use of grants above this number."""
        return max((grant.amount for grant in self.outstanding if grant.number > number), default=0)

    @property
    def granted(self) -> int:
        """The amount of the last grant, if that one is outstanding."""
        return self.outstanding[-1].amount if self.outstanding else 0


@dataclass(slots=True)
class AllowanceDecrease:
    """A moment at which a destination's allowance became smaller."""

    number: int  # the highest grant that was given before
    granted_at: int  # when smaller grants went out for it; NEVER: not yet


@dataclass(slots=True)
class DestinationAccount:
    """One destination's allowance and the accounts of its holders."""

    allowance: int = 0
    decreases: list[AllowanceDecrease] = field(default_factory=list)  # of the last lease and delay
    holders: dict[str, HolderAccount] = field(default_factory=dict)
    rotation: int = 0  # counts up: holders are served by rotation where the allowance is too small to be split
    rotation_ends_at: int = 0

    def in_use(self) -> int:
        """The most that all holders together may use."""
        return sum(account.in_use for account in self.holders.values())

    def set_allowance(self, amount: int, last_number: int) -> bool:
        """Set the allowance; whether it is another one than before. `last_number`: the highest grant given yet."""
        if self.allowance == amount:
            return False
        if amount < self.allowance and (not self.decreases or self.decreases[-1].number != last_number):
            self.decreases.append(AllowanceDecrease(last_number, NEVER))
        self.allowance = amount
        return True

    def date_decreases(self, now: int, expiry_us: int) -> None:
        """Date the decreases that are acted on now, and forget those that have settled.

        Args:
            now: the time at which smaller grants go out.
            expiry_us: the time by which every larger grant of before a decrease has expired: lease and delay.
        """
        recent = []
        for decrease in self.decreases:
            if decrease.granted_at == NEVER:
                decrease.granted_at = now
                recent.append(decrease)
            elif decrease.granted_at > now - expiry_us:
                recent.append(decrease)
        self.decreases = recent
