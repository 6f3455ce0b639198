"""The records of all shards of a ledger: which have changed, when each is to be evaluated, who is involved in which.

Only shards with targets, grants, limits or a destination of their own have a record.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from scalefall.assignment.shard_record import NEVER, ShardRecord


class ReleasedShard(NamedTuple):
    """A holder that may use nothing more of a shard."""

    holder: str
    shard: int


class ShardRecords:
    """Shards by number, and when each is to be evaluated next."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[int, ShardRecord] = {}
        self._shards_of: dict[str, set[int]] = {}  # that a holder has a target or a grant in
        self._changed: set[int] = set()  # shards to be evaluated in the next step
        self._evaluations: list[tuple[int, int]] = []  # a heap of (time, shard); superseded entries are skipped
        self._released: list[ReleasedShard] = []

    def get(self, number: int) -> ShardRecord | None:
        """Return the record of a shard, if it has one."""
        return self._records.get(number)

    def get_or_create(self, number: int) -> ShardRecord:
        """Return the record of a shard, made if there is none."""
        record = self._records.get(number)
        if record is None:
            record = self._records[number] = ShardRecord(number)
        return record

    def is_free(self, number: int) -> bool:
        """Return whether nothing is known of a shard."""
        return number not in self._records or self._records[number].is_empty

    def set_limit(self, destination: int, record: ShardRecord, rate: int) -> None:
        """Record a limit; whether holders are sent it at once is the log's to decide."""
        if record.limits.set(destination, rate):
            self._changed.add(record.number)
        record.prune_limits()

    # -- holders

    def is_involved(self, holder: str) -> bool:
        """Return whether a holder has a target or a grant in some shard."""
        return holder in self._shards_of

    def shards_of(self, holder: str) -> set[int]:
        """Return the shards in which a holder has a target or a grant; not to be changed."""
        return self._shards_of.get(holder, set())

    def retarget(self, record: ShardRecord, targets: dict[str, int]) -> None:
        """Replace the quotas that the holders of a shard should have."""
        before, record.targets = record.targets, targets
        for holder in targets:
            self._shards_of.setdefault(holder, set()).add(record.number)
        for holder in before:
            self._remove_if_uninvolved(holder, record)
        self._changed.add(record.number)

    def release(self, record: ShardRecord, holders: list[str]) -> None:
        """Record that holders, whose grants are out of the record already, may use nothing more of it."""
        for holder in holders:
            self._released.append(ReleasedShard(holder, record.number))
            self._remove_if_uninvolved(holder, record)

    def drain_released(self) -> list[ReleasedShard]:
        """Return what was released since the last call."""
        released, self._released = self._released, []
        return released

    def _remove_if_uninvolved(self, holder: str, record: ShardRecord) -> None:
        if holder in record.targets or holder in record.leases:
            return
        shards = self._shards_of.get(holder, set())
        shards.discard(record.number)
        if not shards:
            self._shards_of.pop(holder, None)

    # -- evaluation

    def mark_changed(self, *numbers: int) -> None:
        """Have these shards evaluated in the next step."""
        self._changed.update(numbers)

    def pop_ready(self, now: int) -> list[ShardRecord]:
        """Return the shards that changed or whose time has come, in the order of their numbers."""
        while self._evaluations and self._evaluations[0][0] <= now:
            at, number = heapq.heappop(self._evaluations)
            record = self._records.get(number)
            if record is not None and record.next_evaluation_at == at:
                record.next_evaluation_at = NEVER
                self._changed.add(number)
        changed, self._changed = sorted(self._changed), set()
        return [self._records[number] for number in changed if number in self._records]

    def schedule(self, record: ShardRecord, at: int) -> None:
        """Have a shard that was evaluated, evaluated again at this time, or earlier if so scheduled already."""
        if at < record.next_evaluation_at:
            record.next_evaluation_at = at
            heapq.heappush(self._evaluations, (at, record.number))
        if record.is_empty:
            del self._records[record.number]

    def drop(self, record: ShardRecord) -> None:
        """Forget a shard with all that is known of it."""
        holders = list(record.leases)
        record.leases.clear()
        self.release(record, holders)
        del self._records[record.number]

    def next_evaluation(self, now: int) -> int:
        """Return when pop_ready() may have something; NEVER if there is nothing to wait for."""
        if self._changed:
            return now
        return max(now, self._evaluations[0][0]) if self._evaluations else NEVER
