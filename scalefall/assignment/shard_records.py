"""The records of a ledger's shards, the schedule of their evaluations, and an index of them by holder.

Only shards that have targets, grants or limits, or serve an isolated destination, have a record.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from scalefall.assignment.shard_record import NEVER, ShardRecord


class ReleasedShard(NamedTuple):
    """A shard that a holder can no longer be using."""

    holder: str
    shard: int


class ShardRecords:
    """Shard records by number, and the schedule of their evaluations."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[int, ShardRecord] = {}
        self._shards_of: dict[str, set[int]] = {}  # by holder, the shards in which it has a target or a grant
        self._changed: set[int] = set()  # shards to evaluate in the next step
        self._evaluations: list[tuple[int, int]] = []  # a heap of (time, shard); stale entries are skipped
        self._released: list[ReleasedShard] = []

    def get(self, number: int) -> ShardRecord | None:
        """Return the record of a shard, None if it has none."""
        return self._records.get(number)

    def get_or_create(self, number: int) -> ShardRecord:
        """Return the record of a shard, after creating it if there is none."""
        record = self._records.get(number)
        if record is None:
            record = self._records[number] = ShardRecord(number)
        return record

    def is_free(self, number: int) -> bool:
        """Return whether a shard has no record, or an empty one."""
        return number not in self._records or self._records[number].is_empty

    def set_limit(self, destination: int, record: ShardRecord, rate: int) -> None:
        """Record a limit; the limit log decides whether it is sent at once."""
        if record.limits.set(destination, rate):
            self._changed.add(record.number)
        record.prune_limits()

    # -- holders

    def is_involved(self, holder: str) -> bool:
        """Return whether a holder has a target or a grant in some shard."""
        return holder in self._shards_of

    def shards_of(self, holder: str) -> set[int]:
        """Return the shards in which a holder has a target or a grant; callers must not modify the set."""
        return self._shards_of.get(holder, set())

    def retarget(self, record: ShardRecord, targets: dict[str, int]) -> None:
        """Replace the target quotas of a shard."""
        before, record.targets = record.targets, targets
        for holder in targets:
            self._shards_of.setdefault(holder, set()).add(record.number)
        for holder in before:
            self._remove_if_uninvolved(holder, record)
        self._changed.add(record.number)

    def release(self, record: ShardRecord, holders: list[str]) -> None:
        """Record that holders, whose leases were removed from the record, can no longer be using the shard."""
        for holder in holders:
            self._released.append(ReleasedShard(holder, record.number))
            self._remove_if_uninvolved(holder, record)

    def drain_released(self) -> list[ReleasedShard]:
        """Return and clear the shards released since the last call."""
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
        """Mark these shards for evaluation in the next step."""
        self._changed.update(numbers)

    def pop_ready(self, now: int) -> list[ShardRecord]:
        """Return the shards that have changed or are due, in the order of their numbers."""
        while self._evaluations and self._evaluations[0][0] <= now:
            at, number = heapq.heappop(self._evaluations)
            record = self._records.get(number)
            if record is not None and record.next_evaluation_at == at:
                record.next_evaluation_at = NEVER
                self._changed.add(number)
        changed, self._changed = sorted(self._changed), set()
        return [self._records[number] for number in changed if number in self._records]

    def schedule(self, record: ShardRecord, at: int) -> None:
        """Schedule the shard's next evaluation, unless an earlier one is scheduled; drop its record if it is empty."""
        if at < record.next_evaluation_at:
            record.next_evaluation_at = at
            heapq.heappush(self._evaluations, (at, record.number))
        if record.is_empty:
            del self._records[record.number]

    def drop(self, record: ShardRecord) -> None:
        """Delete a shard's record and release its holders."""
        holders = list(record.leases)
        record.leases.clear()
        self.release(record, holders)
        del self._records[record.number]

    def next_evaluation(self, now: int) -> int:
        """Return when pop_ready() may return something; NEVER if nothing is scheduled."""
        if self._changed:
            return now
        return max(now, self._evaluations[0][0]) if self._evaluations else NEVER
