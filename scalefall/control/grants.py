"""Grants: each destination's allowance, divided among proxies as promises with an end. No I/O, no clock.

Theory of operation. Times are microseconds of the control service's clock, amounts are thousandths of a call a second.

A grant goes to one holder (one process of a proxy) for one destination, with a number that only grows. A holder keeps
one grant a destination, the highest number that it has got, for `lease` from when it got it; a lower number that comes
late is dropped there. What the service can know of a grant is bounded by two facts: no message arrives later than
`delay` after it was sent (its text says until when it may be taken in, and holders throw away what is older), and an
acknowledgement says that the holder had it by now. So

  - a grant not acknowledged may be in use until sent + delay + lease,
  - one acknowledged at a may be in use until a + lease, and every lower number of that holder is out of use,

and what a holder may use is the largest of its grants that may still be in use, never their sum.

Rules that hold (asserted; model-checked from the holders' side in tests/control/test_grants.py):

  1. A grant raises what its holder may use only by room that is free: after it, the sum over all holders, live or not,
     is no more than the allowance of the moment.
  2. When an allowance falls, nothing is raised there until the sum is below it again, which takes delay + lease at
     most. Smaller grants go out at once, and what was granted since each fall of that time adds up to no more than the
     allowance, holders that cannot be heard included: else it would be too much when the larger ones have run out.
  3. After a start nothing is granted for delay + lease, as an earlier service may have granted all of it.
  4. Every live holder that wants work has a grant in the end: where the allowance is too small to be split, holders
     take turns.

References: Gray and Cheriton, "Leases" (SOSP 1989), for the two bounds; max-min fairness as in Bertsekas and Gallager,
Data Networks, 6.5.2.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from scalefall.net.checks import check

MIN_GRANT = 200  # a share below this is not split: one call in 5 s is the least that is of use
MIN_RELATIVE_CHANGE = 0.1  # a share that differs by less from what is granted waits for the renewal
UNITS_PER_CALL = 1000  # amounts in one call a second
NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class Grant:
    """To be sent to its holder: amount until lease_us after it gets there; 0 withdraws what it has."""

    holder: str
    destination: int
    number: int
    amount: int
    lease_us: int


class Leases(Protocol):
    """What the service and the allocator ask of a ledger of grants, by destination or otherwise divided."""

    delay_us: int  # us, the longest that a message may be under way

    @property
    def number(self) -> int:
        """The highest number that was given."""

    def step_down(self) -> None:
        """Another service grants; nothing goes out from here until become_leader()."""

    def become_leader(self, now: int) -> None:
        """Another service may have granted until now."""

    def resume(self, number: int) -> None:
        """Numbers go on above this one."""

    def allow(self, destination: int, amount: int) -> bool:
        """A destination's allowance for all holders together. Whether it is another one."""

    def join(self, holder: str) -> None:
        """A holder can be heard."""

    def disconnected(self, holder: str) -> None:
        """A holder cannot be heard any more."""

    def step(self, now: int) -> list:
        """The grants to send now."""

    def next_deadline(self, now: int) -> int:
        """When turn() is due if no news come before."""


@dataclass(slots=True)
class _Out:
    """A grant as the service has to count it."""

    number: int
    amount: int
    until: int


@dataclass(slots=True)
class _Share:
    """What one holder may use of one destination."""

    wanted: int = 0  # its demand, as it last told
    out: list[_Out] = field(default_factory=list)  # that may be in use, by number
    sent: int = -1  # when the last one went out
    last_turn: int = 0  # when it last had its turn, where holders take turns

    @property
    def in_use(self) -> int:
        return self.since(0)

    def since(self, number: int) -> int:
        """The most that it may use of grants above this number."""
        return max((out.amount for out in self.out if out.number > number), default=0)

    @property
    def granted(self) -> int:
        """What it was told last, if that may still hold."""
        return self.out[-1].amount if self.out else 0


@dataclass(slots=True)
class _Destination:
    allowance: int = 0
    falls: list[tuple[int, int]] = field(default_factory=list)  # highest number given before each late fall, and when
    shares: dict[str, _Share] = field(default_factory=dict)
    turns: int = 0  # how often the turn has gone on
    turn_until: int = 0

    def in_use(self) -> int:
        return sum(share.in_use for share in self.shares.values())


class Ledger:
    """All grants of one control service. `turn` gives the grants to be sent; nothing else makes any. Work is done for
    destinations with news only, so that a thousand that stay as they are cost a renewal each half a lease."""

    def __init__(self, now: int, lease_us: int, delay_us: int) -> None:
        self.lease_us, self.delay_us = lease_us, delay_us
        self.quiet_until = now + lease_us + delay_us
        self._number = 0
        self._destinations: dict[int, _Destination] = {}
        self._of: dict[str, set[int]] = {}  # destinations of each holder
        self._live: set[str] = set()  # holders that can be heard
        self._touched: set[int] = set()
        self._wakes: list[tuple[int, int]] = []  # when a destination is to be looked at again

    @property
    def number(self) -> int:
        """The highest that was given."""
        return self._number

    def step_down(self) -> None:
        """Another service grants; nothing goes out from here until become_leader()."""
        self.quiet_until = NEVER

    def become_leader(self, now: int) -> None:
        """Another service may have granted until now: nothing goes out until that must have run out."""
        self.quiet_until = now + self.lease_us + self.delay_us

    def resume(self, number: int) -> None:
        """Numbers go on above the highest that an earlier service may have given (its durable epoch)."""
        self._number = max(self._number, number)

    # -- what is told

    def allow(self, destination: int, amount: int) -> bool:
        """The module's present allowance for a destination, for all proxies together. Whether it is another one."""
        check(amount >= 0, "an allowance is no debt")
        place = self._destinations.setdefault(destination, _Destination())
        if place.allowance == amount:
            return False
        if amount < place.allowance and (not place.falls or place.falls[-1][0] != self._number):
            place.falls.append((self._number, NEVER))
        place.allowance = amount
        self._touched.add(destination)
        return True

    def join(self, holder: str) -> None:
        """A holder can be heard, for the first time or again."""
        self._live.add(holder)
        self._touched |= self._of.get(holder, set())

    def disconnected(self, holder: str) -> None:
        """It cannot be heard any more. What it was granted counts on until it has run out."""
        self._live.discard(holder)
        self._touched |= self._of.get(holder, set())

    def set_demand(self, holder: str, destination: int, amount: int) -> None:
        """What a holder would send there if it might; 0: nothing."""
        place = self._destinations.setdefault(destination, _Destination())
        share = place.shares.setdefault(holder, _Share())
        self._of.setdefault(holder, set()).add(destination)
        if share.wanted != amount:
            share.wanted = amount
            self._touched.add(destination)

    def acknowledged(self, holder: str, destination: int, number: int, now: int) -> bool:
        """The holder has had the grant of this number: lower ones are out of use, and this one runs out by its lease
        from now at the latest. A number that is unknown here, or known to be had, says nothing: False."""
        share = self._share(holder, destination)
        if share is None or number not in [out.number for out in share.out]:
            return False
        was = [(out.number, out.until) for out in share.out]
        share.out = [out for out in share.out if out.number >= number]
        share.out[0].until = min(share.out[0].until, now + self.lease_us)
        if was == [(out.number, out.until) for out in share.out]:
            return False
        self._touched.add(destination)
        return True

    # -- what follows

    def step(self, now: int) -> list[Grant]:
        """The grants to send now. To be called after news, and at next_turn() if there are none."""
        if now < self.quiet_until:
            return []
        while self._wakes and self._wakes[0][0] <= now:
            self._touched.add(heapq.heappop(self._wakes)[1])
        touched, self._touched = sorted(self._touched), set()
        grants = []
        for number in touched:
            place = self._destinations.get(number)
            if place is not None:
                self._expire(number, place, now)
                grants += self._divide(number, place, now)
                self._plan(number, place, now)
        return grants

    def next_deadline(self, now: int) -> int:
        """When turn() is due if no news come before."""
        if now < self.quiet_until or self._touched:
            return max(now, self.quiet_until)
        return self._wakes[0][0] if self._wakes else now + self.lease_us

    def destinations(self) -> Iterable[int]:
        return self._destinations.keys()

    def in_use(self, destination: int, now: int) -> int:
        """What all holders together may use there at the most, by what the service knows."""
        place = self._destinations.get(destination)
        return (
            sum(max((out.amount for out in share.out if out.until > now), default=0) for share in place.shares.values())
            if place
            else 0
        )

    def _share(self, holder: str, destination: int) -> _Share | None:
        place = self._destinations.get(destination)
        return place.shares.get(holder) if place else None

    def _expire(self, number: int, place: _Destination, now: int) -> None:
        for holder, share in list(place.shares.items()):
            share.out = [out for out in share.out if out.until > now]
            if not share.out and (holder not in self._live or not share.wanted):
                del place.shares[holder]
                self._of[holder].discard(number)
                if not self._of[holder]:
                    del self._of[holder]
        if not place.shares and not place.allowance:
            del self._destinations[number]

    def _plan(self, number: int, place: _Destination, now: int) -> None:
        """The next look: when a grant runs out or is to be renewed, or the turn goes on."""
        times = [place.turn_until]
        for holder, share in place.shares.items():
            times += [out.until for out in share.out]
            if share.granted and holder in self._live:
                times.append(share.sent + self.lease_us // 2)
        at = min((at for at in times if at > now), default=None)
        if at is not None:
            heapq.heappush(self._wakes, (at, number))

    def _divide(self, number: int, place: _Destination, now: int) -> list[Grant]:
        """What is to be less first; then what is to be more, or goes on, as far as there is room."""
        targets, grants = self._targets(place, now), []
        check(sum(targets.values()) <= place.allowance, "shares are no more than the allowance")
        before = place.in_use()
        place.falls = [
            (fall, now if at == NEVER else at)
            for fall, at in place.falls
            if at == NEVER or at > now - self.lease_us - self.delay_us
        ]
        marks = [0, *(fall for fall, _ in place.falls)]
        rooms = {mark: place.allowance - sum(share.since(mark) for share in place.shares.values()) for mark in marks}

        def give(share: _Share, target: int) -> int:
            """As much as no sum since a fall, nor that of all, goes over the allowance by."""
            return min(target, *(share.since(mark) + max(0, room) for mark, room in rooms.items()))

        def given(holder: str, share: _Share, amount: int) -> None:
            for mark in marks:
                rooms[mark] -= max(0, amount - share.since(mark))
            grants.append(self._grant(number, holder, share, amount, now))

        for holder in [holder for holder in place.shares if holder in self._live]:
            share, target = place.shares[holder], targets.get(holder, 0)
            if target < share.granted * (1 - MIN_RELATIVE_CHANGE) or target < share.granted and rooms[0] < 0:
                given(holder, share, give(share, target))
        for holder in sorted(targets, key=lambda name: (place.shares[name].in_use - targets[name], name)):
            share = place.shares[holder]
            amount = give(share, targets[holder])
            more = amount > share.granted * (1 + MIN_RELATIVE_CHANGE)
            if not amount or not more and now < share.sent + self.lease_us // 2:
                continue
            given(holder, share, amount)
        check(place.in_use() <= max(before, place.allowance), "a raise takes free room only")
        return grants

    def _grant(self, number: int, holder: str, share: _Share, amount: int, now: int) -> Grant:
        self._number += 1
        share.out.append(_Out(self._number, amount, now + self.delay_us + self.lease_us))
        share.sent = now
        return Grant(holder, number, self._number, amount, self.lease_us)

    def _targets(self, place: _Destination, now: int) -> dict[str, int]:
        """Who should have how much, of live holders that want something; the sum is no more than the allowance."""
        asking = [holder for holder, share in place.shares.items() if holder in self._live and share.wanted]
        most = max(1, place.allowance // MIN_GRANT)
        if len(asking) > most:
            asking = self._in_turn(place, asking, most, now)
        else:
            place.turn_until = 0
        return fair({holder: place.shares[holder].wanted for holder in asking}, place.allowance)

    def _in_turn(self, place: _Destination, asking: list[str], most: int, now: int) -> list[str]:
        """Too little to be split among all: so many at a time have their turn, those that had theirs longest ago first.
        A turn is long enough that what the ones before had has run out, and as long again to be used."""
        going_on = now >= place.turn_until
        if going_on:
            place.turns += 1
            place.turn_until = now + 2 * (self.lease_us + self.delay_us)
        theirs = [] if going_on else [holder for holder in asking if place.shares[holder].last_turn == place.turns]
        theirs += sorted(
            (holder for holder in asking if holder not in theirs), key=lambda holder: place.shares[holder].last_turn
        )[: max(0, most - len(theirs))]
        for holder in theirs[:most]:
            place.shares[holder].last_turn = place.turns
        return theirs[:most]


def fair(wanted: dict[str, int], amount: int) -> dict[str, int]:
    """Max-min fair shares of an amount: nobody gets more than it wants while another has less and wants more; what is
    left when all have what they want is split evenly, for what comes next."""
    shares, left = {}, amount
    for at, (holder, want) in enumerate(sorted(wanted.items(), key=lambda row: (row[1], row[0]))):
        shares[holder] = min(want, left // (len(wanted) - at))
        left -= shares[holder]
    for at, holder in enumerate(shares):
        extra = left // (len(shares) - at)
        shares[holder] += extra
        left -= extra
    return shares
