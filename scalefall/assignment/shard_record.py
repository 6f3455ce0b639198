"""One shard's record: who should hold which share, which grants may be in use, and what follows for the next grants.

The rules are those of scalefall/assignment/ledger.py; here is the part of them that concerns one shard alone.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from scalefall.assignment.limit_log import LimitLog
from scalefall.assignment.model import FULL_QUOTA

NEVER = 1 << 62


@dataclass(slots=True)
class SentGrant:
    """A grant as the service has to count it."""

    number: int
    epoch: int
    quota: int
    version: int  # of the shard's limits that it carries, with what was acknowledged before
    until: int  # it is out of use from then on


@dataclass(slots=True)
class HolderLease:
    """What one holder may use of one shard."""

    epoch: int = 0  # of its tenure; 0: withdrawn, so that a further grant begins a new tenure
    acknowledged_version: int = 0  # version of the limits that it has acknowledged in this tenure
    renewed_at: int = 0  # when the last grant was sent
    sent: list[SentGrant] = field(default_factory=list)  # that may be in use, by number

    @property
    def quota(self) -> int:
        """The share that it was told last."""
        return self.sent[-1].quota if self.sent else 0

    def in_use(self, now: int) -> int:
        """The most that it may use at this moment: the largest of its grants, never their sum."""
        return max((grant.quota for grant in self.sent if grant.until > now), default=0)

    def acknowledge(self, number: int, until: int) -> bool:
        """The holder has had this grant: lower ones are out of use, and this one will be at `until`. Whether that is
        news."""
        at = next((at for at, grant in enumerate(self.sent) if grant.number == number), None)
        if at is None:
            return False
        grant = self.sent[at]
        if not at and until >= grant.until:
            return False
        grant.until = min(grant.until, until)
        del self.sent[:at]
        if grant.epoch == self.epoch:
            self.acknowledged_version = max(self.acknowledged_version, grant.version)
        return True


@dataclass(slots=True)
class ShardRecord:
    """The record of one shard. Holders are in the order in which they were first told of."""

    number: int
    destination: int | None = None  # whose own shard it is
    targets: dict[str, int] = field(default_factory=dict)  # share of WHOLE that each holder should have
    leases: dict[str, HolderLease] = field(default_factory=dict)
    limits: LimitLog = field(default_factory=LimitLog)
    blocked: bool = False  # its destination may still be in use at the home shard: nothing is granted
    draining: bool = False  # its destination goes back to the home shard: all is withdrawn
    watched: bool = False  # a move of a destination waits for this shard's grants
    next_evaluation_at: int = NEVER  # when it is to be looked at again

    def in_use(self, now: int) -> int:
        """The share that all holders together may use."""
        return sum(lease.in_use(now) for lease in self.leases.values())

    def may_lack_version(self, version: int, now: int) -> bool:
        """Whether a grant may be in use that was given without this version of the limits."""
        return any(
            grant.version < version and grant.quota and grant.until > now
            for lease in self.leases.values()
            for grant in lease.sent
        )

    def expire(self, now: int) -> list[str]:
        """Drop the grants that have run out. The holders that may use nothing any more: their tenure is over."""
        ended = []
        for holder, lease in self.leases.items():
            if len(lease.sent) > 1 or lease.sent[0].until <= now:
                lease.sent = [grant for grant in lease.sent if grant.until > now]
            if not any(grant.quota for grant in lease.sent):
                ended.append(holder)
        for holder in ended:
            del self.leases[holder]
        return ended

    def forget_limits(self) -> None:
        """Drop rows of the limits that are of no more use to any tenure."""
        if self.limits.has_unlimited_rows:
            acknowledged_version = (lease.acknowledged_version for lease in self.leases.values() if lease.epoch)
            self.limits.forget(min(acknowledged_version, default=self.limits.version))

    def decide_grants(self, now: int, live: Container[str], renewal_us: int) -> list[tuple[str, int]]:
        """The grants to send now, as holder and share: what is to be less first, then what goes on or is raised by
        room that is free. Grants that have run out are dropped already."""
        targets = {} if self.blocked or self.draining else self.targets
        decided = []
        free_quota = FULL_QUOTA
        for holder, lease in self.leases.items():
            free_quota -= lease.in_use(now)
            target = targets.get(holder, 0)
            if lease.quota > target and holder in live:
                decided.append((holder, target))
        for holder, target in targets.items():
            if holder not in live:
                continue
            lease = self.leases.get(holder)
            quota = lease.quota if lease else 0
            if quota > target:
                continue  # lowered above
            used = lease.in_use(now) if lease else 0
            granted_quota = min(target, used + free_quota)
            free_quota -= max(0, granted_quota - used)
            if granted_quota > quota or granted_quota and self._needs_resend(lease, now, renewal_us):
                decided.append((holder, granted_quota))
        return decided

    def _needs_resend(self, lease: HolderLease, now: int, renewal_us: int) -> bool:
        """Whether a holder is to be told again though its share stays: for its lease, or for a limit."""
        return now >= lease.renewed_at + renewal_us or lease.sent[-1].version < self.limits.urgent_version

    def next_evaluation(self, now: int, live: Container[str], renewal_us: int) -> int:
        """When a grant is to be renewed, or runs out and something may wait for that; NEVER if neither."""
        at = NEVER
        for holder, lease in self.leases.items():
            quota = lease.quota
            if quota and holder in live:
                at = min(at, lease.renewed_at + renewal_us)
            steady = holder in live and lease.in_use(now) == self.targets.get(holder, 0)
            if self.watched or self.draining or not steady:
                at = min(at, *(grant.until for grant in lease.sent))
        return max(at, now + 1)

    def holders(self) -> Iterable[str]:
        """All that have a part in it, by target or by a grant that may be in use."""
        return self.targets.keys() | self.leases.keys()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is lost if the record is dropped."""
        return not (self.targets or self.leases or len(self.limits) or self.watched or self.destination is not None)
