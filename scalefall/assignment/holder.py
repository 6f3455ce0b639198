"""What a sender process remembers of its grants: which destinations it may call now, and how often.

No I/O, no clock. Times are microseconds of the process's own clock; only how long a lease lasts comes from elsewhere.

  1. Of a shard the grant of the highest number counts, for its lease from `since`. A lower number that comes late, or
     an epoch below one that was received for the shard, is dropped: a service that no longer grants cannot bring back a
     tenure that is over.
  2. A grant of a newer epoch begins with no limits; any other adds its limits to what is known. A destination never
     named is UNLIMITED.
  3. A shard of one isolated destination goes before the hash while it is leased.
  4. Whoever hands grants in has thrown away messages older than the service's `delay`. A tenure that was withdrawn more
     than `delay` ago may therefore be forgotten: nothing of it can come any more. One that has only run out is
     remembered, as the service may go on with it, and counts on the limits that were acknowledged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant


@dataclass(slots=True)
class _Tenure:
    """The latest grant of one shard."""

    number: int = 0
    epoch: int = 0
    quota: int = 0
    expires_at: int = 0  # the end of its lease
    destination: int | None = None  # whose own shard it is
    limits: dict[int, int] = field(default_factory=dict)  # destination -> milli-calls per second

    def quota_at(self, now: int) -> int:
        """Return the quota that may be used at a time."""
        return self.quota if now < self.expires_at else 0


class ShardHolder:
    """The grants of one process."""

    def __init__(self, shard_of: Callable[[int], int]) -> None:
        """Start without grants; `shard_of` returns a destination's shard by the hash (as Sharding.shard_of does)."""
        self._shard_of = shard_of
        self._tenures: dict[int, _Tenure] = {}
        self._isolated: dict[int, int] = {}  # destination -> its own shard, by the grants

    def granted(self, grant: ShardGrant, since: int) -> bool:
        """Record a grant.

        Args:
            grant: The grant.
            since: When its lease begins: when it arrived, or when the process sent the report that it answers.

        Returns:
            False if it was dropped, as its number or epoch is behind what was received before.
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
        """Return how often this process may call a destination, in milli-calls per second; 0 if it is not leased."""
        tenure = self._tenure_of(destination, now)
        if tenure is None:
            return 0
        return tenure.quota_at(now) * tenure.limits.get(destination, UNLIMITED) // FULL_QUOTA

    def holds(self, destination: int, now: int) -> bool:
        """Return whether the process has a quota of the destination's shard now, whatever the limit is."""
        tenure = self._tenure_of(destination, now)
        return tenure is not None and tenure.quota_at(now) > 0

    def quotas(self, destinations: Iterable[int], now: int) -> dict[int, int]:
        """Return the present quota of each of these destinations, in millionths; 0 where none is leased."""
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
        """Return the latest epoch that was received for a shard, 0 if there was none."""
        tenure = self._tenures.get(shard)
        return tenure.epoch if tenure else 0

    def leased_shards(self, now: int) -> frozenset[int]:
        """Return the shards of which there is a quota now."""
        return frozenset(shard for shard, tenure in self._tenures.items() if tenure.quota_at(now))

    def acknowledgements(self, now: int | None = None) -> dict[int, int]:
        """Return the highest number received of each shard, withdrawals included: what a report acknowledges.

        Args:
            now: If given, shards whose lease has run out are left out, as the service learns nothing of them.
        """
        return {
            shard: tenure.number for shard, tenure in self._tenures.items() if now is None or now < tenure.expires_at
        }

    def prune_withdrawn(self, before: int) -> None:
        """Drop the tenures that were withdrawn and whose lease ran out before a time.

        Args:
            before: At least the service's delay ago.
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
