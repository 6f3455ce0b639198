"""Division of one destination's allowance among its holders, and the choice of grants. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.control.fair_shares import max_min_fair
from scalefall.control.grant_accounts import DestinationAccount, HolderAccount
from scalefall.control.grants import MIN_GRANT

MIN_RELATIVE_CHANGE = 0.1  # fraction of the present grant; a smaller change waits for the renewal, to save messages


class Headroom:
    """The amounts that may still be granted: in all, and since each decrease of the allowance.

    Each sum is stored by its mark, the number above which grants count towards it; mark 0 counts all. A decrease before
    the first grant has mark 0 as well, and a grant then counts twice towards that sum: this errs on the safe side.
    """

    __slots__ = ("_by_mark", "_marks")

    def __init__(self, account: DestinationAccount) -> None:
        """Compute the sums from the account's present state."""
        self._marks = [0, *(decrease.number for decrease in account.decreases)]
        holders = account.holders.values()
        self._by_mark = {
            mark: account.allowance - sum(holder.in_use_above(mark) for holder in holders) for mark in self._marks
        }

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the allowance is in use."""
        return self._by_mark[0] < 0

    def limit(self, holder: HolderAccount, target: int) -> int:
        """Return the largest amount up to the target with which no sum exceeds the allowance."""
        amount = target
        for mark, headroom in self._by_mark.items():
            amount = min(amount, holder.in_use_above(mark) + max(0, headroom))
        return amount

    def reserve(self, holder: HolderAccount, amount: int) -> None:
        """Subtract an amount that is about to be granted to the holder."""
        for mark in self._marks:
            self._by_mark[mark] -= max(0, amount - holder.in_use_above(mark))


def targets(account: DestinationAccount, live: set[str], now: int, rotation_us: int) -> dict[str, int]:
    """Return the amount that each live holder with a demand should have; the sum is at most the allowance.

    Args:
        account: the destination's account; this function advances its rotation.
        live: the reachable holders.
        now: the present time.
        rotation_us: the length of a rotation, where the allowance is too small to be split among all.
    """
    demanding = [name for name, holder in account.holders.items() if name in live and holder.demand]
    max_served = max(1, account.allowance // MIN_GRANT)
    if len(demanding) > max_served:
        demanding = _served_by_rotation(account, demanding, max_served, now, rotation_us)
    else:
        account.rotation_ends_at = 0
    return max_min_fair({name: account.holders[name].demand for name in demanding}, account.allowance)


def _served_by_rotation(
    account: DestinationAccount, demanding: list[str], max_served: int, now: int, rotation_us: int
) -> list[str]:
    """Return the holders of this rotation: those already in it, then those that were served longest ago.

    In the first half of a rotation the grants of the previous one expire; the second half is for use.
    """
    advances = now >= account.rotation_ends_at
    if advances:
        account.rotation += 1
        account.rotation_ends_at = now + rotation_us
        served = []
    else:
        served = [name for name in demanding if account.holders[name].last_served == account.rotation]
    others = [name for name in demanding if name not in served]
    others.sort(key=lambda name: account.holders[name].last_served)
    served = (served + others)[:max_served]
    for name in served:
        account.holders[name].last_served = account.rotation
    return served


def must_be_reduced(holder: HolderAccount, target: int, headroom: Headroom) -> bool:
    """Return whether a holder's grant is to be reduced now, before others are raised."""
    if target < holder.granted * (1 - MIN_RELATIVE_CHANGE):
        return True
    return target < holder.granted and headroom.is_exceeded


def must_be_raised(holder: HolderAccount, amount: int, renews: bool) -> bool:
    """Return whether a holder gets a grant of this amount now, as an increase or as a renewal.

    Args:
        holder: the holder's account.
        amount: the amount that the headroom allows it.
        renews: whether half of its lease has passed.
    """
    if not amount:
        return False
    return renews or amount > holder.granted * (1 + MIN_RELATIVE_CHANGE)


def by_need(account: DestinationAccount, target_of: Mapping[str, int]) -> list[str]:
    """Return the holders that have a target, the ones furthest below it first."""
    return sorted(target_of, key=lambda name: (account.holders[name].in_use - target_of[name], name))
