"""Leases on shards: who may use which share of which shard, and until when. No I/O, no clock.

Theory of operation. Times are microseconds of the control service's clock; a share is a part of WHOLE; allowances are
thousandths of a call a second.

A grant goes to one holder (one process of a sender) for one shard, with a number that only grows. A holder keeps one
grant a shard, the one of the highest number that it has got, for the lease from when it got it. What the service can
know of a grant is bounded by two facts: no message arrives later than `delay` after it was sent (holders throw away
what is older), and an acknowledgement says that the holder had it by now. Hence a grant not acknowledged may be in use
until sent + delay + lease; one acknowledged at a until a + lease, and every lower number of that holder is out of use.
What a holder may use is the largest of its grants that may still be in use.

Rules that hold (asserted here; model-checked from the holders' side in tests/assignment/test_shard_ledger.py):

  1. The shares of a shard that may be in use add up to at most WHOLE at every moment, lost holders included. A raise
     takes free room only, so a new holder begins when the one before it has acknowledged a smaller grant or has run
     out of its lease.
  2. A holder's tenure of a shard has an epoch: the number of the tenure's first grant, so that a newer tenure's is
     higher, also over restarts. It ends by withdrawal, or when all its grants have run out. With one holder a shard,
     two epochs are never in use at once. A holder drops a grant with an epoch below one that it has had.
  3. Every grant carries all limits that changed since the holder's last acknowledgement in this tenure; a tenure begins
     with none. So whoever has a grant knows each allowance as it was when that grant was sent or later, and the sum of
     the holders' budgets for a destination (share x limit as each knows it) is never above the largest allowance of the
     last delay + lease. Falls go out at once, small raises with the renewal, at half of the lease.
  4. A destination is of one shard at a time. Where it moves to a shard of its own (isolate) the home shard's holders
     are told limit 0, and nothing is granted on the new shard while a grant of the home shard without that limit may be
     in use. Where it moves back (merge) the home shard's limit stays 0 until nothing of the other may be in use.
  5. After a start nothing is granted for delay + lease, as an earlier service may have granted all of it.
  6. Every live holder with a target has its share in the end.

Work is done for shards with news, or whose renewal or end is due (a heap); limits cost by their changes.

Reference: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency"
(SOSP 1989).
"""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.assignment.isolation_transitions import IsolationState, IsolationTransitions
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant
from scalefall.assignment.shard_record import NEVER, HolderLease, SentGrant, ShardRecord
from scalefall.assignment.shard_records import ShardRecords
from scalefall.errors import AssignmentError
from scalefall.net.checks import check


class ShardLedger:
    """All grants of one control service. `turn` gives the grants to be sent; nothing else makes any."""

    def __init__(self, now: int, lease_us: int, delay_us: int) -> None:
        self._lease, self._delay = lease_us, delay_us
        self._renewal = lease_us // 2
        self._grace_until = now + lease_us + delay_us
        self._number = 0
        self._live: set[str] = set()  # holders that can be heard
        self._records = ShardRecords()
        self._isolations = IsolationTransitions(self._records)

    @property
    def number(self) -> int:
        """The highest number that was given."""
        return self._number

    @property
    def grace_until(self) -> int:
        """Nothing is granted before; NEVER while another service grants."""
        return self._grace_until

    def resume(self, number: int) -> None:
        """Numbers go on above the highest that an earlier service may have given."""
        self._number = max(self._number, number)

    def step_down(self) -> None:
        """Another service grants; nothing goes out from here until begin()."""
        self._grace_until = NEVER

    def start_grace_period(self, now: int) -> None:
        """Another service may have granted until now: nothing goes out until that must have run out."""
        self._grace_until = now + self._lease + self._delay

    # -- holders

    def holder_joined(self, holder: str) -> None:
        """A holder can be heard, for the first time or again."""
        self._live.add(holder)
        self._records.mark_changed(*self._records.shards_of(holder))

    def holder_lost(self, holder: str) -> None:
        """It cannot be heard any more. What it was granted counts on until it has run out."""
        self._live.discard(holder)
        self._records.mark_changed(*self._records.shards_of(holder))

    def knows(self, holder: str) -> bool:
        """Whether it can be heard, has a target, or may use something."""
        return holder in self._live or self._records.is_involved(holder)

    # -- what should be

    def assign(self, shard: int, quotas: Mapping[str, int]) -> None:
        """Who should hold which share from now on, of WHOLE; holders that are left out, none."""
        for holder, quota in quotas.items():
            if type(quota) is not int or quota < 0:
                raise AssignmentError(
                    f"shard {shard}: the share of {holder} is {quota!r}, not a whole number from 0 on"
                )
            if not self.knows(holder):
                raise AssignmentError(f"shard {shard}: unknown holder {holder}")
        total = sum(quotas.values())
        if total > FULL_QUOTA:
            raise AssignmentError(f"shard {shard}: the shares add up to {total}, more than {FULL_QUOTA}")
        record = self._records.get(shard)
        if record is not None and record.draining:
            raise AssignmentError(f"shard {shard}: its destination is on its way back to its home shard")
        targets = {holder: quota for holder, quota in quotas.items() if quota}
        if targets != (record.targets if record else {}):
            self._records.retarget(self._records.open(shard), targets)

    def set_limit(self, destination: int, shard: int, amount: int) -> None:
        """The destination's allowance now, for all holders of its shard together."""
        if type(amount) is not int or amount < 0:
            raise AssignmentError(
                f"destination {destination}: an allowance of {amount!r} is not a whole number from 0 on"
            )
        self._isolations.set_limit(destination, shard, min(amount, UNLIMITED))

    def isolate(self, destination: int, old_shard: int, new_shard: int) -> None:
        """From now on its budget is the new shard's; nothing is granted there until the old one's holders know."""
        self._isolations.isolate(destination, old_shard, new_shard)

    def merge(self, destination: int) -> None:
        """Its own shard is withdrawn; its budget is the home shard's again when nothing of it may be in use."""
        self._isolations.merge(destination)

    def isolation(self, destination: int) -> IsolationState | None:
        """How far the destination is on its way to a shard of its own, or back."""
        return self._isolations.state(destination)

    def is_free(self, shard: int) -> bool:
        """Whether nothing is known of a shard, so that a destination may be isolated to it."""
        return self._records.is_free(shard)

    # -- what follows

    def acknowledged(self, holder: str, shard: int, number: int, now: int) -> bool:
        """The holder has had the grant of this number. A number that is unknown here, or out of use, says nothing:
        False."""
        record = self._records.get(shard)
        lease = record.leases.get(holder) if record else None
        if lease is None:
            return False
        before = lease.in_use(now)
        if not lease.acknowledge(number, now + self._lease):
            return False
        if record.watched or lease.in_use(now) < before:
            self._records.mark_changed(shard)
        record.forget_limits()
        return True

    def step(self, now: int) -> list[ShardGrant]:
        """The grants to send now. To be called after news, and at next_turn() if there are none."""
        if now < self._grace_until:
            return []
        self._isolations.finish(now)
        grants: list[ShardGrant] = []
        for record in self._records.pop_ready(now):
            self._records.release(record, record.expire(now))
            record.forget_limits()
            for holder, quota in record.decide_grants(now, self._live, self._renewal):
                grants.append(self._grant(record, holder, quota, now))
            check(record.in_use(now) <= FULL_QUOTA, "shares in use add up to no more than the whole")
            self._records.schedule(record, record.next_evaluation(now, self._live, self._renewal))
        return grants

    def next_deadline(self, now: int) -> int:
        """When turn() is due if no news come before."""
        if now < self._grace_until:
            return self._grace_until
        return min(self._records.next_evaluation(now), now + self._lease)

    def _grant(self, record: ShardRecord, holder: str, quota: int, now: int) -> ShardGrant:
        self._number += 1
        lease = record.leases.get(holder)
        if lease is None:
            lease = record.leases[holder] = HolderLease()
        if not lease.epoch:
            lease.epoch, lease.acknowledged_version = self._number, 0
        epoch, version = lease.epoch, record.limits.version
        check(epoch <= self._number and lease.acknowledged_version <= version, "a tenure is of the past")
        check(not record.blocked, "nothing is granted on a blocked shard")
        until = now + self._delay + self._lease
        lease.sent.append(SentGrant(self._number, epoch, quota, version, until))
        lease.renewed_at = now
        if not quota:
            lease.epoch = 0
        limits = record.limits.changed_since(lease.acknowledged_version)
        return ShardGrant(holder, record.number, epoch, self._number, quota, self._lease, limits, record.destination)

    # -- what may be in use

    def in_use(self, shard: int, now: int) -> int:
        """The share that all holders together may use at the most, by what the service knows."""
        record = self._records.get(shard)
        return record.in_use(now) if record else 0

    def users(self, shard: int) -> tuple[str, ...]:
        """The holders that may use something of a shard, as of the last turn."""
        record = self._records.get(shard)
        return tuple(record.leases) if record else ()

    def drain_released(self) -> list[tuple[str, int]]:
        """The holders that may use nothing more of a shard, with that shard, since the last call."""
        return self._records.drain_released()
