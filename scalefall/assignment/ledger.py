"""The ledger of leases on shards: which holder may use which quota of a shard, until when. No I/O, no clock.

Theory of operation. Times are microseconds of the control service's clock; a quota is in millionths (FULL_QUOTA is the
whole shard); limits are in thousandths of a call a second.

A grant goes to one holder (one process of a sender) for one shard, with a number that only increases. A holder has one
grant per shard, the highest number that it has received, for `lease` from its receipt. Two facts bound what the service
can know of a grant: no message arrives later than `delay` after it was sent (holders drop older ones), and an
acknowledgement proves that the holder received the grant before the acknowledgement arrived. So

  - an unacknowledged grant may be in use until sent + delay + lease,
  - one acknowledged at time a may be in use until a + lease, and no lower number of that holder is in use any longer,

and what a holder may use is the largest of its grants that may still be in use, never their sum.

Invariants (asserted; model-checked from the holders' side in tests/assignment/test_shard_ledger.py):

  1. The quotas of a shard that may be in use add up to at most FULL_QUOTA at all times, unreachable holders included. A
     raise uses free quota only: a new holder starts when the previous one has acknowledged a smaller grant, or when the
     previous one's lease has expired.
  2. A holder's tenure of a shard has an epoch, the number of the tenure's first grant, so that a later tenure has a
     higher epoch, also across restarts. A tenure ends by withdrawal, or when all its grants have expired. With one
     holder per shard, two epochs are never in use at once. A holder drops a grant whose epoch is below one that it has
     received.
  3. Every grant carries all limits that changed since the holder's last acknowledgement in this tenure; a tenure starts
     with none. So a holder with a grant knows each limit as of the sending of that grant or later, and the sum of the
     holders' budgets for a destination (quota x limit as each knows it) is never above the largest limit of the last
     delay + lease. Reductions are sent at once, small raises with the renewal, at half of the lease.
  4. A destination belongs to one shard at a time. When it moves to a shard of its own (isolate), the home shard's
     holders are sent limit 0, and nothing is granted on the new shard while a grant of the home shard without that
     limit may be in use. When it moves back (merge), the home shard's limit stays 0 until no grant of the other shard
     may be in use.
  5. For delay + lease after a start nothing is granted (the grace period), as an earlier service may have granted the
     full quota of every shard.
  6. Every live holder with a target eventually has its quota.

A step evaluates only the shards that have changed, or that are due for a renewal or an expiry (a heap). The cost of
limits is proportional to their changes.

Reference: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency"
(SOSP 1989).
"""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.assignment.isolation_transitions import IsolationState, IsolationTransitions
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant
from scalefall.assignment.shard_record import NEVER, HolderLease, OutstandingGrant, ShardRecord
from scalefall.assignment.shard_records import ReleasedShard, ShardRecords
from scalefall.errors import AssignmentError
from scalefall.net.invariants import assert_invariant


class ShardLedger:
    """All grants of one control service. Only `step` makes grants."""

    def __init__(self, now: int, lease_us: int, delay_us: int) -> None:
        """Start without shards, in a grace period.

        Args:
            now: The present time, as in all methods.
            lease_us: How long a grant may be used from its receipt.
            delay_us: The longest time that a message may be in transit.
        """
        self._lease_us, self._delay_us = lease_us, delay_us
        self._renewal_us = lease_us // 2
        self._grace_until = now + lease_us + delay_us
        self._number = 0
        self._live: set[str] = set()  # reachable holders
        self._records = ShardRecords()
        self._isolations = IsolationTransitions(self._records)

    @property
    def number(self) -> int:
        """Return the highest grant number that was assigned."""
        return self._number

    @property
    def grace_until(self) -> int:
        """Return when the grace period ends; NEVER while another service grants."""
        return self._grace_until

    def resume(self, number: int) -> None:
        """Number the next grants above the highest number that an earlier service may have used."""
        self._number = max(self._number, number)

    def step_down(self) -> None:
        """Stop granting until `start_grace_period` is called: another service grants."""
        self._grace_until = NEVER

    def start_grace_period(self, now: int) -> None:
        """Start granting once all that another service may have granted until `now` has expired."""
        self._grace_until = now + self._lease_us + self._delay_us

    # -- holders

    def holder_joined(self, holder: str) -> None:
        """Mark a holder as reachable, for the first time or again."""
        self._live.add(holder)
        self._records.mark_changed(*self._records.shards_of(holder))

    def holder_disconnected(self, holder: str) -> None:
        """Mark a holder as unreachable. Its grants count until they have expired."""
        self._live.discard(holder)
        self._records.mark_changed(*self._records.shards_of(holder))

    def is_known(self, holder: str) -> bool:
        """Return whether a holder is reachable, has a target, or may be using a grant."""
        return holder in self._live or self._records.is_involved(holder)

    # -- targets

    def assign(self, shard: int, quotas: Mapping[str, int]) -> None:
        """Set the target quota of each holder of a shard; a holder that is not listed has none.

        Raises:
            AssignmentError: A quota is out of range, a holder is unknown, or the shard's destination is moving back to
                its home shard.
        """
        self._check_quotas(shard, quotas)
        record = self._records.get(shard)
        if record is not None and record.draining:
            raise AssignmentError(f"shard {shard}: its destination is moving back to its home shard")
        targets = {holder: quota for holder, quota in quotas.items() if quota}
        if targets != (record.targets if record else {}):
            self._records.retarget(self._records.get_or_create(shard), targets)

    def _check_quotas(self, shard: int, quotas: Mapping[str, int]) -> None:
        for holder, quota in quotas.items():
            if type(quota) is not int or quota < 0:
                raise AssignmentError(
                    f"shard {shard}: the quota of {holder} is {quota!r}, not a whole number of 0 or more"
                )
            if not self.is_known(holder):
                raise AssignmentError(f"shard {shard}: unknown holder {holder}")
        total = sum(quotas.values())
        if total > FULL_QUOTA:
            raise AssignmentError(f"shard {shard}: the quotas add up to {total}, more than {FULL_QUOTA}")

    def set_limit(self, destination: int, shard: int, rate: int) -> None:
        """Set a destination's limit, for all holders of its shard together.

        Raises:
            AssignmentError: The rate is not a whole number of 0 or more, or the destination is in another shard.
        """
        if type(rate) is not int or rate < 0:
            raise AssignmentError(
                f"destination {destination}: an allowance of {rate!r} is not a whole number of 0 or more"
            )
        self._isolations.set_limit(destination, shard, min(rate, UNLIMITED))

    def isolate(self, destination: int, home_shard: int, own_shard: int) -> None:
        """Start to move a destination to a shard of its own; see IsolationTransitions.isolate."""
        self._isolations.isolate(destination, home_shard, own_shard)

    def merge(self, destination: int) -> None:
        """Start to move a destination back to its home shard; see IsolationTransitions.merge."""
        self._isolations.merge(destination)

    def isolation(self, destination: int) -> IsolationState | None:
        """Return the state of the destination's isolation, None if it is in its home shard."""
        return self._isolations.state(destination)

    def is_free(self, shard: int) -> bool:
        """Return whether a shard has no record or an empty one, so that a destination may be isolated to it."""
        return self._records.is_free(shard)

    # -- grants

    def acknowledged(self, holder: str, shard: int, number: int, now: int) -> bool:
        """Record that a holder has received a grant, and so no longer uses any of a lower number.

        Returns:
            Whether this changes anything; False for a number that is unknown or no longer in use.
        """
        record = self._records.get(shard)
        if record is None:
            return False
        lease = record.leases.get(holder)
        if lease is None:
            return False
        before = lease.in_use(now)
        if not lease.acknowledge(number, now + self._lease_us):
            return False
        if record.awaited_by_move or lease.in_use(now) < before:
            self._records.mark_changed(shard)
        record.prune_limits()
        return True

    def step(self, now: int) -> list[ShardGrant]:
        """Return the grants to send now. Called after changes, and at `next_deadline` if there are none."""
        if now < self._grace_until:
            return []
        self._isolations.finish(now)
        grants: list[ShardGrant] = []
        for record in self._records.pop_ready(now):
            self._records.release(record, record.expire(now))
            record.prune_limits()
            for holder, quota in record.decide_grants(now, self._live, self._renewal_us):
                grants.append(self._grant(record, holder, quota, now))
            assert_invariant(record.in_use(now) <= FULL_QUOTA, "quotas in use add up to no more than the full quota")
            self._records.schedule(record, record.next_evaluation(now, self._live, self._renewal_us))
        return grants

    def next_deadline(self, now: int) -> int:
        """Return when to call step() if nothing changes before."""
        if now < self._grace_until:
            return self._grace_until
        return min(self._records.next_evaluation(now), now + self._lease_us)

    def _grant(self, record: ShardRecord, holder: str, quota: int, now: int) -> ShardGrant:
        self._number += 1
        lease = record.leases.get(holder)
        if lease is None:
            lease = record.leases[holder] = HolderLease()
        if not lease.epoch:
            lease.epoch, lease.acknowledged_version = self._number, 0
        epoch, version = lease.epoch, record.limits.version
        assert_invariant(
            epoch <= self._number and lease.acknowledged_version <= version, "a lease is not ahead of the ledger"
        )
        assert_invariant(not record.blocked, "nothing is granted on a blocked shard")
        until = now + self._delay_us + self._lease_us
        lease.outstanding.append(OutstandingGrant(self._number, epoch, quota, version, until))
        lease.sent_at = now
        if not quota:
            lease.epoch = 0
        limits = record.limits.changed_since(lease.acknowledged_version)
        return ShardGrant(holder, record.number, epoch, self._number, quota, self._lease_us, limits, record.destination)

    # -- what may be in use

    def in_use(self, shard: int, now: int) -> int:
        """Return the most that all holders together may be using of a shard."""
        record = self._records.get(shard)
        return record.in_use(now) if record else 0

    def users(self, shard: int) -> tuple[str, ...]:
        """Return the holders that may be using a shard, as of the last step."""
        record = self._records.get(shard)
        return tuple(record.leases) if record else ()

    def drain_released(self) -> list[ReleasedShard]:
        """Return and clear the shards released since the last call, which their holders can no longer be using."""
        return self._records.drain_released()
