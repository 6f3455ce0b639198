"""The grants of one sender process, from which it learns which destinations it may call, and at which rates.

No I/O, no clock. Times are microseconds of the process's own clock; a grant carries only the length of its lease.

  1. For each shard, the grant with the highest number is in force, for its lease from `since`. A grant with a lower
     number, or with an epoch below one received for the shard, is dropped, so that a service that no longer grants
     cannot revive a tenure that has ended.
  2. A grant of a newer epoch starts with no limits; any other adds its limits to those known. A destination that was
     never listed is UNLIMITED.
  3. While the shard of an isolated destination is leased, it takes precedence over the destination's shard by hash.
  4. The caller drops messages older than the service's `delay`. A tenure that was withdrawn more than `delay` ago can
     therefore be removed, as no grant of it can arrive any longer. An expired tenure is kept: the service may continue
     it, and relies on the limits that were acknowledged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant


@dataclass(slots=True)
class _Tenure:
    """The present tenure of one shard, with its latest grant."""

    number: int = 0
    epoch: int = 0
    quota: int = 0
    expires_at: int = 0  # the end of the grant's lease
    destination: int | None = None  # the isolated destination that the shard serves, if any
    limits: dict[int, int] = field(default_factory=dict)  # thousandths of a call a second, by destination

    def quota_at(self, now: int) -> int:
        """Return the quota that may be used at a time."""
        return self.quota if now < self.expires_at else 0


class ShardHolder:
    """The grants of one process."""

    def __init__(self, shard_of: Callable[[int], int]) -> None:
        """Start without grants; `shard_of` returns a destination's shard by hash, as Sharding.shard_of does."""
        self._shard_of = shard_of
        self._tenures: dict[int, _Tenure] = {}
        self._isolated: dict[int, int] = {}  # shards of isolated destinations, as the grants state them

    def granted(self, grant: ShardGrant, since: int) -> bool:
        """Record a grant.

        Args:
            grant: The grant.
            since: The start of its lease: its arrival, or when the process sent the report that the grant answers.

        Returns:
            False if the grant is dropped, as a higher number or epoch was received before.
        """
        tenure = self._tenures.get(grant.shard)
        if tenure is not None and (grant.number <= tenure.number or grant.epoch < tenure.epoch):
            return False
        if tenure is None or grant.epoch > tenure.epoch:
            self._drop_isolation(grant.shard)
            tenure = self._tenures[grant.shard] = _Tenure(epoch=grant.epoch, destination=grant.destination)
            if grant.destination is not None:
                self._isolated[grant.destination] = grant.shard
        tenure.number, tenure.quota = grant.number, grant.quota
        tenure.expires_at = since + grant.lease_us
        tenure.limits.update(grant.limits)
        return True

    def budget(self, destination: int, now: int) -> int:
        """Return the process's rate for a destination, in thousandths of a call a second; 0 without a lease."""
        tenure = self._tenure_of(destination, now)
        if tenure is None:
            return 0
        return tenure.quota_at(now) * tenure.limits.get(destination, UNLIMITED) // FULL_QUOTA

    def holds(self, destination: int, now: int) -> bool:
        """Return whether the process has a quota of the destination's shard now, whatever the destination's limit."""
        tenure = self._tenure_of(destination, now)
        return tenure is not None and tenure.quota_at(now) > 0

    def quotas(self, destinations: Iterable[int], now: int) -> dict[int, int]:
        """Return the present quota of the shard of each destination, in millionths; 0 without a lease."""
        found = {}
        for destination in destinations:
            tenure = self._tenure_of(destination, now)
            found[destination] = tenure.quota_at(now) if tenure else 0
        return found

    def quota(self, shard: int, now: int) -> int:
        """Return the present quota of a shard, in millionths."""
        tenure = self._tenures.get(shard)
        return tenure.quota_at(now) if tenure else 0

    def epoch(self, shard: int) -> int:
        """Return the latest epoch received for a shard, 0 if none was."""
        tenure = self._tenures.get(shard)
        return tenure.epoch if tenure else 0

    def leased_shards(self, now: int) -> frozenset[int]:
        """Return the shards of which the process has a quota now."""
        return frozenset(shard for shard, tenure in self._tenures.items() if tenure.quota_at(now))

    def acknowledgements(self, now: int | None = None) -> dict[int, int]:
        """Return the highest grant number received for each shard, withdrawals included, for a report to acknowledge.

        Args:
            now: If given, shards whose lease has expired are left out: the service has no use for them.
        """
        return {
            shard: tenure.number for shard, tenure in self._tenures.items() if now is None or now < tenure.expires_at
        }

    def prune_withdrawn(self, before: int) -> None:
        """Remove the withdrawn tenures whose lease expired before a time.

        Args:
            before: The time; at least the service's `delay` in the past.
        """
        withdrawn = [
            shard for shard, tenure in self._tenures.items() if not tenure.quota and tenure.expires_at < before
        ]
        for shard in withdrawn:
            self._drop_isolation(shard)
            del self._tenures[shard]

    def _tenure_of(self, destination: int, now: int) -> _Tenure | None:
        own = self._tenures.get(self._isolated.get(destination, -1))
        if own is not None and own.quota_at(now):
            return own
        return self._tenures.get(self._shard_of(destination))

    def _drop_isolation(self, shard: int) -> None:
        tenure = self._tenures.get(shard)
        if tenure is None or tenure.destination is None:
            return
        if self._isolated.get(tenure.destination) == shard:
            del self._isolated[tenure.destination]
