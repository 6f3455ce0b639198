"""One shard's record: its target quotas, its outstanding grants, and the grants to send next.

It implements the rules of ledger.py that concern a single shard. Quotas are in millionths, times in microseconds.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from scalefall.assignment.limit_log import LimitLog
from scalefall.assignment.model import FULL_QUOTA

NEVER = 1 << 62  # later than any time in microseconds


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that was sent and may be in use."""

    number: int
    epoch: int
    quota: int
    version: int  # the version of the shard's limits that a holder has with this grant
    expires_at: int  # from this time on it cannot be in use


class GrantDecision(NamedTuple):
    """The quota to grant a holder now; 0 withdraws its shard."""

    holder: str
    quota: int


@dataclass(slots=True)
class HolderLease:
    """One holder's lease on one shard."""

    epoch: int = 0  # of its tenure; 0: no tenure yet, or withdrawn, so the next grant begins a tenure
    acknowledged_version: int = 0  # the latest version of the limits that the holder acknowledged in this tenure
    sent_at: int = 0  # when the last grant was sent
    outstanding: list[OutstandingGrant] = field(default_factory=list)  # in ascending order of their numbers

    @property
    def quota(self) -> int:
        """The quota of the last grant sent."""
        return self.outstanding[-1].quota if self.outstanding else 0

    def in_use(self, now: int) -> int:
        """Return the most that the holder may use now: the largest of its outstanding grants, never their sum."""
        return max((grant.quota for grant in self.outstanding if grant.expires_at > now), default=0)

    def acknowledge(self, number: int, until: int) -> bool:
        """Record that the holder has received a grant; grants with lower numbers are no longer in use.

        Args:
            number: The grant's number.
            until: When this grant expires at the latest.

        Returns:
            Whether anything changed.
        """
        position = next((position for position, grant in enumerate(self.outstanding) if grant.number == number), None)
        if position is None:
            return False
        grant = self.outstanding[position]
        if position == 0 and until >= grant.expires_at:
            return False
        grant.expires_at = min(grant.expires_at, until)
        del self.outstanding[:position]
        if grant.epoch == self.epoch:
            self.acknowledged_version = max(self.acknowledged_version, grant.version)
        return True


@dataclass(slots=True)
class ShardRecord:
    """The record of one shard."""

    number: int
    destination: int | None = None  # the isolated destination that this shard serves, if any
    targets: dict[str, int] = field(default_factory=dict)  # the quota that each holder should have
    leases: dict[str, HolderLease] = field(default_factory=dict)  # by holder, in the order of their first grants
    limits: LimitLog = field(default_factory=LimitLog)
    blocked: bool = False  # nothing is granted: its destination may still be in use through the home shard
    draining: bool = False  # all holders are withdrawn: its destination moves back to the home shard
    awaited_by_move: bool = False  # the move of a destination waits for this shard's grants to expire
    next_evaluation_at: int = NEVER

    def in_use(self, now: int) -> int:
        """Return the quota that all holders together may be using."""
        return sum(lease.in_use(now) for lease in self.leases.values())

    def may_lack_version(self, version: int, now: int) -> bool:
        """Return whether a holder may be using a grant that is older than this version of the limits."""
        return any(
            grant.version < version and grant.quota and grant.expires_at > now
            for lease in self.leases.values()
            for grant in lease.outstanding
        )

    def expire(self, now: int) -> list[str]:
        """Drop expired grants.

        Returns:
            The holders whose tenure has ended, as they have no grant with a quota left.
        """
        ended = []
        for holder, lease in self.leases.items():
            if len(lease.outstanding) > 1 or lease.outstanding[0].expires_at <= now:
                lease.outstanding = [grant for grant in lease.outstanding if grant.expires_at > now]
            if not any(grant.quota for grant in lease.outstanding):
                ended.append(holder)
        for holder in ended:
            del self.leases[holder]
        return ended

    def prune_limits(self) -> None:
        """Drop the rows of limits that every current tenure has acknowledged as UNLIMITED."""
        if self.limits.has_unlimited_rows:
            acknowledged = (lease.acknowledged_version for lease in self.leases.values() if lease.epoch)
            self.limits.prune_unlimited(min(acknowledged, default=self.limits.version))

    def decide_grants(self, now: int, live: Container[str], renewal_us: int) -> list[GrantDecision]:
        """Return the grants to send now. `expire` has to be called first.

        Reductions come first, then renewals and raises. Raises use free quota only.

        Args:
            now: The present time.
            live: The reachable holders.
            renewal_us: The time from a grant to its renewal.
        """
        targets = {} if self.blocked or self.draining else self.targets
        decisions = []
        free_quota = FULL_QUOTA
        for holder, lease in self.leases.items():
            free_quota -= lease.in_use(now)
            target = targets.get(holder, 0)
            if lease.quota > target and holder in live:
                decisions.append(GrantDecision(holder, target))
        for holder, target in targets.items():
            if holder not in live:
                continue
            present = self.leases.get(holder)
            quota = present.quota if present else 0
            if quota > target:
                continue  # lowered above
            in_use = present.in_use(now) if present else 0
            granted = min(target, in_use + free_quota)
            free_quota -= max(0, granted - in_use)
            if granted > quota or (granted and self._needs_renewal(present, now, renewal_us)):
                decisions.append(GrantDecision(holder, granted))
        return decisions

    def _needs_renewal(self, lease: HolderLease | None, now: int, renewal_us: int) -> bool:
        """Return whether to send the same quota again, because its lease is due or a limit is urgent."""
        if lease is None:
            return True
        return now >= lease.sent_at + renewal_us or lease.outstanding[-1].version < self.limits.urgent_version

    def next_evaluation(self, now: int, live: Container[str], renewal_us: int) -> int:
        """Return the time of the next renewal, or of an expiry that may permit a grant or end a move; else NEVER."""
        at = NEVER
        for holder, lease in self.leases.items():
            if lease.quota and holder in live:
                at = min(at, lease.sent_at + renewal_us)
            steady = holder in live and lease.in_use(now) == self.targets.get(holder, 0)
            if self.awaited_by_move or self.draining or not steady:
                at = min(at, *(grant.expires_at for grant in lease.outstanding))
        return max(at, now + 1)

    @property
    def is_empty(self) -> bool:
        """Whether the record has no content and may be dropped."""
        return not (
            self.targets or self.leases or len(self.limits) or self.awaited_by_move or self.destination is not None
        )
