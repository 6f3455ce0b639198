"""The ledger of grants: each destination's allowance, divided among holders as leases. No I/O, no clock.

Theory of operation. Times are microseconds of the control service's clock, amounts are thousandths of a call a second.

A grant goes to one holder (one process of a proxy) for one destination, with a number that only grows. A holder keeps
one grant a destination, the highest number that it has got, for `lease` from when it got it; a lower number that comes
late is dropped there. What the service can know of a grant is bounded by two facts: no message arrives later than
`delay` after it was sent (its text says until when it may be taken in, and holders drop what is older), and an
acknowledgement says that the holder had it by now. So

  - a grant not acknowledged may be in use until sent + delay + lease,
  - one acknowledged at time a may be in use until a + lease, and every lower number of that holder is out of use,

and what a holder may use is the largest of its grants that may still be in use, never their sum.

Rules that hold (asserted; model-checked from the holders' side in tests/control/test_grants.py):

  1. A grant raises what its holder may use only by headroom: after it, the sum over all holders, live or not, is no
     more than the allowance of the moment.
  2. When an allowance decreases, nothing is raised there until the sum is below it again, which takes delay + lease at
     most. Smaller grants go out at once, and what was granted since each decrease of that time adds up to no more than
     the allowance, unreachable holders included: else it would be too much when the larger ones have expired.
  3. After a start nothing is granted for delay + lease, as an earlier service may have granted all of it.
  4. Every live holder with a demand has a grant in the end: where the allowance is too small to be split, holders are
     served by rotation.

Source for the two bounds: Gray and Cheriton, "Leases" (SOSP 1989).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from scalefall.control import grant_division
from scalefall.control.grant_accounts import NEVER, DestinationAccount, HolderAccount, OutstandingGrant
from scalefall.control.grant_division import Headroom
from scalefall.control.grants import Grant
from scalefall.net.invariants import assert_invariant


class Ledger:
    """All grants of one control service.

    `step` gives the grants to be sent; nothing else makes any. Work is done for destinations that have changed, so that
    a thousand that stay as they are cost a renewal each half a lease.
    """

    def __init__(self, now: int, lease_us: int, delay_us: int) -> None:
        """Start at `now`; `delay_us` is the longest time that a message may be on its way."""
        self.lease_us = lease_us
        self.delay_us = delay_us
        self.grants_start_at = now + lease_us + delay_us
        self._number = 0
        self._accounts: dict[int, DestinationAccount] = {}  # by destination
        self._destinations_of: dict[str, set[int]] = {}  # by holder
        self._live: set[str] = set()  # reachable holders
        self._changed: set[int] = set()  # destinations to be divided anew
        self._deadlines: list[tuple[int, int]] = []  # a heap: when a destination is to be divided anew, and which

    @property
    def number(self) -> int:
        """The highest number that was given."""
        return self._number

    # -- leadership

    def step_down(self) -> None:
        """Grant nothing until `become_leader`: another service grants."""
        self.grants_start_at = NEVER

    def become_leader(self, now: int) -> None:
        """Grant once everything has expired that another service may have granted until now."""
        self.grants_start_at = now + self.lease_us + self.delay_us

    def resume(self, number: int) -> None:
        """Number the next grants above the highest that an earlier service may have given (its durable epoch)."""
        self._number = max(self._number, number)

    # -- changes

    def allow(self, destination: int, amount: int) -> bool:
        """Set the allowance of a destination for all holders together; whether it is another one than before."""
        assert_invariant(amount >= 0, "an allowance is no debt")
        if not self._account(destination).set_allowance(amount, self._number):
            return False
        self._changed.add(destination)
        return True

    def join(self, holder: str) -> None:
        """Count a holder as reachable, for the first time or again."""
        self._live.add(holder)
        self._changed |= self._destinations_of.get(holder, set())

    def disconnected(self, holder: str) -> None:
        """Count a holder as unreachable. What it was granted counts until it has expired."""
        self._live.discard(holder)
        self._changed |= self._destinations_of.get(holder, set())

    def set_demand(self, holder: str, destination: int, amount: int) -> None:
        """Set what a holder would send to a destination if it might; 0 for nothing."""
        account = self._account(destination).holders.setdefault(holder, HolderAccount())
        self._destinations_of.setdefault(holder, set()).add(destination)
        if account.demand != amount:
            account.demand = amount
            self._changed.add(destination)

    def acknowledged(self, holder: str, destination: int, number: int, now: int) -> bool:
        """Take in that a holder has received a grant, and so has none of a lower number in use.

        The grant expires its lease from now at the latest.

        Returns:
            Whether this says anything that was not known: False for an unknown number.
        """
        account = self._holder_account(holder, destination)
        if account is None or number not in [grant.number for grant in account.outstanding]:
            return False
        before = [(grant.number, grant.expires_at) for grant in account.outstanding]
        account.outstanding = [grant for grant in account.outstanding if grant.number >= number]
        acknowledged = account.outstanding[0]
        acknowledged.expires_at = min(acknowledged.expires_at, now + self.lease_us)
        if before == [(grant.number, grant.expires_at) for grant in account.outstanding]:
            return False
        self._changed.add(destination)
        return True

    # -- what follows

    def step(self, now: int) -> list[Grant]:
        """The grants to send now. To be called after changes, and at `next_deadline` if there are none."""
        if now < self.grants_start_at:
            return []
        while self._deadlines and self._deadlines[0][0] <= now:
            self._changed.add(heapq.heappop(self._deadlines)[1])
        changed, self._changed = sorted(self._changed), set()
        grants: list[Grant] = []
        for destination in changed:
            account = self._accounts.get(destination)
            if account is not None:
                self._expire(destination, account, now)
                grants += self._divide(destination, account, now)
                self._schedule(destination, account, now)
        return grants

    def next_deadline(self, now: int) -> int:
        """When `step` has to be called if nothing changes before."""
        if now < self.grants_start_at or self._changed:
            return max(now, self.grants_start_at)
        return self._deadlines[0][0] if self._deadlines else now + self.lease_us

    def destinations(self) -> Iterable[int]:
        """The destinations that have an allowance, a demand or a grant."""
        return self._accounts.keys()

    def in_use(self, destination: int, now: int) -> int:
        """The most that all holders together may use there, by what the service knows."""
        account = self._accounts.get(destination)
        if account is None:
            return 0
        return sum(
            max((grant.amount for grant in holder.outstanding if grant.expires_at > now), default=0)
            for holder in account.holders.values()
        )

    def _account(self, destination: int) -> DestinationAccount:
        return self._accounts.setdefault(destination, DestinationAccount())

    def _holder_account(self, holder: str, destination: int) -> HolderAccount | None:
        account = self._accounts.get(destination)
        return account.holders.get(holder) if account else None

    def _expire(self, destination: int, account: DestinationAccount, now: int) -> None:
        """Drop grants that have expired, and accounts in which nothing is left."""
        for name, holder in list(account.holders.items()):
            holder.outstanding = [grant for grant in holder.outstanding if grant.expires_at > now]
            if not holder.outstanding and (name not in self._live or not holder.demand):
                del account.holders[name]
                self._destinations_of[name].discard(destination)
                if not self._destinations_of[name]:
                    del self._destinations_of[name]
        if not account.holders and not account.allowance:
            del self._accounts[destination]

    def _schedule(self, destination: int, account: DestinationAccount, now: int) -> None:
        """Set the next deadline: when a grant expires or is to be renewed, or the rotation advances."""
        times = [account.rotation_ends_at]
        for name, holder in account.holders.items():
            times += [grant.expires_at for grant in holder.outstanding]
            if holder.granted and name in self._live:
                times.append(holder.sent_at + self.lease_us // 2)
        deadline = min((time for time in times if time > now), default=None)
        if deadline is not None:
            heapq.heappush(self._deadlines, (deadline, destination))

    def _divide(self, destination: int, account: DestinationAccount, now: int) -> list[Grant]:
        """First the grants that are less than before, then those that are more, or renewals, as the headroom allows."""
        rotation_us = 2 * (self.lease_us + self.delay_us)
        targets = grant_division.targets(account, self._live, now, rotation_us)
        assert_invariant(sum(targets.values()) <= account.allowance, "targets are no more than the allowance")
        before = account.in_use()
        account.date_decreases(now, self.lease_us + self.delay_us)
        headroom = Headroom(account)
        grants: list[Grant] = []
        for name in [name for name in account.holders if name in self._live]:
            holder, target = account.holders[name], targets.get(name, 0)
            if grant_division.must_be_reduced(holder, target, headroom):
                amount = headroom.limit(holder, target)
                grants.append(self._grant(destination, name, holder, amount, headroom, now))
        for name in grant_division.by_need(account, targets):
            holder = account.holders[name]
            amount = headroom.limit(holder, targets[name])
            if grant_division.must_be_raised(holder, amount, now >= holder.sent_at + self.lease_us // 2):
                grants.append(self._grant(destination, name, holder, amount, headroom, now))
        assert_invariant(account.in_use() <= max(before, account.allowance), "a raise uses headroom only")
        return grants

    def _grant(
        self, destination: int, name: str, holder: HolderAccount, amount: int, headroom: Headroom, now: int
    ) -> Grant:
        headroom.reserve(holder, amount)
        self._number += 1
        holder.outstanding.append(OutstandingGrant(self._number, amount, now + self.delay_us + self.lease_us))
        holder.sent_at = now
        return Grant(name, destination, self._number, amount, self.lease_us)
