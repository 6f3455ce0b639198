"""The ledger of grants: divides each destination's allowance among holders as leases. No I/O, no clock.

Theory of operation. Times are microseconds of the control service's clock, amounts are thousandths of a call a second.

A grant goes to one holder (one process of a proxy) for one destination, with a number that only increases. A holder
has one grant per destination, the highest number that it has received, for `lease` from its receipt; it drops a lower
number that arrives late. Two facts bound what the service can know of a grant: no message arrives later than `delay`
after it was sent (each message states its expiry, and holders drop expired ones), and an acknowledgement proves that
the holder received the grant before the acknowledgement arrived. So

  - an unacknowledged grant may be in use until sent + delay + lease,
  - one acknowledged at time a may be in use until a + lease, and no lower number of that holder is in use any longer,

and what a holder may use is the largest of its grants that may still be in use, never their sum.

Invariants (asserted; model-checked from the holders' side in tests/control/test_grants.py):

  1. A grant raises what its holder may use only by the available headroom: after it, the sum over all holders, live or
     not, is at most the present allowance.
  2. When an allowance decreases, no grant of that destination is raised until the sum is within it again, which takes
     delay + lease at most. Smaller grants go out at once, and the grants made since each decrease within that time add
     up to at most the allowance, unreachable holders included: otherwise the sum would be too large once the earlier,
     larger grants have expired.
  3. For delay + lease after a start nothing is granted, as an earlier service may have granted the whole allowance.
  4. Every live holder with a demand eventually has a grant: where the allowance is too small to be split, holders are
     served by rotation.

Source of the two bounds: Gray and Cheriton, "Leases" (SOSP 1989).
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

    Only `step` makes grants. It processes the destinations that have changed; one that does not change costs a renewal
    per half lease.
    """

    def __init__(self, now: int, lease_us: int, delay_us: int) -> None:
        """Start at `now`; `delay_us` is the longest time that a message may be in transit."""
        self.lease_us = lease_us
        self.delay_us = delay_us
        self.grants_start_at = now + lease_us + delay_us
        self._number = 0
        self._accounts: dict[int, DestinationAccount] = {}  # by destination
        self._destinations_of: dict[str, set[int]] = {}  # by holder
        self._live: set[str] = set()  # reachable holders
        self._changed: set[int] = set()  # destinations to be divided again
        self._deadlines: list[tuple[int, int]] = []  # a heap of times and the destinations to divide then

    @property
    def number(self) -> int:
        """Return the highest grant number that was assigned."""
        return self._number

    # -- leadership

    def step_down(self) -> None:
        """Stop granting until `become_leader` is called: another service grants."""
        self.grants_start_at = NEVER

    def become_leader(self, now: int) -> None:
        """Start granting once all that another service may have granted until `now` has expired."""
        self.grants_start_at = now + self.lease_us + self.delay_us

    def resume(self, number: int) -> None:
        """Number the next grants above the highest number that an earlier service may have used (its stored epoch)."""
        self._number = max(self._number, number)

    # -- changes

    def allow(self, destination: int, amount: int) -> bool:
        """Set the allowance of a destination for all holders together; return whether it has changed."""
        assert_invariant(amount >= 0, "an allowance is not negative")
        if not self._account(destination).set_allowance(amount, self._number):
            return False
        self._changed.add(destination)
        return True

    def join(self, holder: str) -> None:
        """Mark a holder as reachable, for the first time or again."""
        self._live.add(holder)
        self._changed |= self._destinations_of.get(holder, set())

    def disconnected(self, holder: str) -> None:
        """Mark a holder as unreachable. Its grants count until they have expired."""
        self._live.discard(holder)
        self._changed |= self._destinations_of.get(holder, set())

    def set_demand(self, holder: str, destination: int, amount: int) -> None:
        """Set the rate at which a holder would send to a destination without a limit; 0 for none."""
        account = self._account(destination).holders.setdefault(holder, HolderAccount())
        self._destinations_of.setdefault(holder, set()).add(destination)
        if account.demand != amount:
            account.demand = amount
            self._changed.add(destination)

    def acknowledged(self, holder: str, destination: int, number: int, now: int) -> bool:
        """Record that a holder has received a grant and so no longer uses any of a lower number.

        The grant expires one lease after `now` at the latest.

        Returns:
            Whether this changes anything; False for an unknown number.
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

    # -- steps

    def step(self, now: int) -> list[Grant]:
        """Return the grants to send now. Called after changes, and at `next_deadline` if there are none."""
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
        """Return when `step` has to be called if nothing changes before."""
        if now < self.grants_start_at or self._changed:
            return max(now, self.grants_start_at)
        return self._deadlines[0][0] if self._deadlines else now + self.lease_us

    def destinations(self) -> Iterable[int]:
        """Return the destinations that have an allowance, a demand or a grant."""
        return self._accounts.keys()

    def in_use(self, destination: int, now: int) -> int:
        """Return an upper bound of what all holders together may use of a destination."""
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
        """Drop expired grants, and accounts that are empty without them."""
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
        """Schedule the next deadline: when a grant expires or is due for renewal, or the rotation advances."""
        times = [account.rotation_ends_at]
        for name, holder in account.holders.items():
            times += [grant.expires_at for grant in holder.outstanding]
            if holder.granted and name in self._live:
                times.append(holder.sent_at + self.lease_us // 2)
        deadline = min((time for time in times if time > now), default=None)
        if deadline is not None:
            heapq.heappush(self._deadlines, (deadline, destination))

    def _divide(self, destination: int, account: DestinationAccount, now: int) -> list[Grant]:
        """Return decreased grants first, then increased ones and renewals as far as the headroom allows."""
        rotation_us = 2 * (self.lease_us + self.delay_us)
        targets = grant_division.targets(account, self._live, now, rotation_us)
        assert_invariant(sum(targets.values()) <= account.allowance, "targets add up to at most the allowance")
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
        assert_invariant(account.in_use() <= max(before, account.allowance), "grants are raised only by the headroom")
        return grants

    def _grant(
        self, destination: int, name: str, holder: HolderAccount, amount: int, headroom: Headroom, now: int
    ) -> Grant:
        headroom.reserve(holder, amount)
        self._number += 1
        holder.outstanding.append(OutstandingGrant(self._number, amount, now + self.delay_us + self.lease_us))
        holder.sent_at = now
        return Grant(name, destination, self._number, amount, self.lease_us)
