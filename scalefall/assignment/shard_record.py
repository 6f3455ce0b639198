"""One shard's record: its target quotas, which grants may be in use, and which grants follow from that.

The rules are those of scalefall/assignment/ledger.py; here is the part of them that concerns one shard alone. Quotas
are in millionths, times in microseconds.
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
    """A grant as the service has to count it."""

    number: int
    epoch: int
    quota: int
    version: int  # of the shard's limits that it carries, with what was acknowledged before
    expires_at: int  # it is out of use from then on


class GrantDecision(NamedTuple):
    """The quota that a holder is to be granted now; 0 withdraws."""

    holder: str
    quota: int


@dataclass(slots=True)
class HolderLease:
    """What one holder may use of one shard."""

    epoch: int = 0  # of its tenure; 0: withdrawn, so that a further grant begins a new tenure
    acknowledged_version: int = 0  # of the limits, in this tenure
    renewed_at: int = 0  # when the last grant was sent
    outstanding: list[OutstandingGrant] = field(default_factory=list)  # that may be in use, by number

    @property
    def quota(self) -> int:
        """The quota that it was sent last."""
        return self.outstanding[-1].quota if self.outstanding else 0

    def in_use(self, now: int) -> int:
        """Return the most that it may use at this moment: the largest of its grants, never their sum."""
        return max((grant.quota for grant in self.outstanding if grant.expires_at > now), default=0)

    def acknowledge(self, number: int, until: int) -> bool:
        """Record that the holder has received a grant.

        Grants of lower numbers are out of use.

        Args:
            number: The grant's number.
            until: When this grant is out of use, if not earlier.

        Returns:
            Whether that changed anything.
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
    """The record of one shard. Holders are in the order of their first grants."""

    number: int
    destination: int | None = None  # whose own shard it is
    targets: dict[str, int] = field(default_factory=dict)  # the quota that each holder should have
    leases: dict[str, HolderLease] = field(default_factory=dict)  # by holder
    limits: LimitLog = field(default_factory=LimitLog)
    blocked: bool = False  # its destination may still be in use at the home shard: nothing is granted
    draining: bool = False  # its destination goes back to the home shard: all is withdrawn
    awaited_by_move: bool = False  # a move of a destination waits for this shard's grants
    next_evaluation_at: int = NEVER

    def in_use(self, now: int) -> int:
        """Return the quota that all holders together may use."""
        return sum(lease.in_use(now) for lease in self.leases.values())

    def may_lack_version(self, version: int, now: int) -> bool:
        """Return whether a grant may be in use that was made without this version of the limits."""
        return any(
            grant.version < version and grant.quota and grant.expires_at > now
            for lease in self.leases.values()
            for grant in lease.outstanding
        )

    def expire(self, now: int) -> list[str]:
        """Drop the grants that have run out.

        Returns:
            The holders that may use nothing any more: their tenure is over.
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
        """Drop rows of the limits that are of no more use to any tenure."""
        if self.limits.has_unlimited_rows:
            acknowledged = (lease.acknowledged_version for lease in self.leases.values() if lease.epoch)
            self.limits.prune_unlimited(min(acknowledged, default=self.limits.version))

    def decide_grants(self, now: int, live: Container[str], renewal_us: int) -> list[GrantDecision]:
        """Decide which grants to send now; those that have run out are dropped already.

        Lower quotas come first, then those that are renewed, or raised by quota that is free.

        Args:
            now: The time.
            live: The holders that can be heard.
            renewal_us: How long after a grant the next one is sent.
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
        """Whether a grant of the same quota is to be sent: for the lease's time, or for a limit."""
        if lease is None:
            return True  # it has nothing yet
        return now >= lease.renewed_at + renewal_us or lease.outstanding[-1].version < self.limits.urgent_version

    def next_evaluation(self, now: int, live: Container[str], renewal_us: int) -> int:
        """Return when a grant is to be renewed, or runs out and something may wait for that; NEVER if neither."""
        at = NEVER
        for holder, lease in self.leases.items():
            if lease.quota and holder in live:
                at = min(at, lease.renewed_at + renewal_us)
            steady = holder in live and lease.in_use(now) == self.targets.get(holder, 0)
            if self.awaited_by_move or self.draining or not steady:
                at = min(at, *(grant.expires_at for grant in lease.outstanding))
        return max(at, now + 1)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is lost if the record is dropped."""
        return not (
            self.targets or self.leases or len(self.limits) or self.awaited_by_move or self.destination is not None
        )
