"""The records of all shards of a ledger: which have news, when each is to be looked at, who has a part in which.

Only shards with targets, grants, limits or a destination of their own have a record.
"""

from __future__ import annotations

import heapq

from scalefall.assignment.shard_record import NEVER, ShardRecord


class ShardRecords:
    """Shards by number, with the work that is due on them."""

    def __init__(self) -> None:
        self._shards: dict[int, ShardRecord] = {}
        self._shards_of: dict[str, set[int]] = {}  # that a holder has a target or a grant in
        self._changed: set[int] = set()  # shards with news
        self._evaluations: list[
            tuple[int, int]
        ] = []  # a heap: when a shard is to be looked at; old entries are skipped
        self._released: list[tuple[str, int]] = []

    def get(self, number: int) -> ShardRecord | None:
        """The record of a shard, if it has one."""
        return self._shards.get(number)

    def open(self, number: int) -> ShardRecord:
        """The record of a shard, made if there is none."""
        record = self._shards.get(number)
        if record is None:
            record = self._shards[number] = ShardRecord(number)
        return record

    def is_free(self, number: int) -> bool:
        """Whether nothing is known of a shard."""
        return number not in self._shards or self._shards[number].is_empty

    def set_limit(self, destination: int, record: ShardRecord, amount: int) -> None:
        """Take on an allowance; whether holders are told at once is the log's to say."""
        if record.limits.set(destination, amount):
            self._changed.add(record.number)
        record.forget_limits()

    # -- holders

    def is_involved(self, holder: str) -> bool:
        """Whether a holder has a target or a grant in some shard."""
        return holder in self._shards_of

    def shards_of(self, holder: str) -> set[int]:
        """The shards in which a holder has a target or a grant; not to be changed."""
        return self._shards_of.get(holder, set())

    def retarget(self, record: ShardRecord, targets: dict[str, int]) -> None:
        """Other holders or shares from now on."""
        before, record.targets = record.targets, targets
        for holder in targets:
            self._shards_of.setdefault(holder, set()).add(record.number)
        for holder in before:
            self._remove_if_uninvolved(holder, record)
        self._changed.add(record.number)

    def release(self, record: ShardRecord, holders: list[str]) -> None:
        """Their grants are out of the record already: they may use nothing more of it."""
        for holder in holders:
            self._released.append((holder, record.number))
            self._remove_if_uninvolved(holder, record)

    def drain_released(self) -> list[tuple[str, int]]:
        """The holders that may use nothing more of a shard, with that shard, since the last call."""
        released, self._released = self._released, []
        return released

    def _remove_if_uninvolved(self, holder: str, record: ShardRecord) -> None:
        if holder in record.targets or holder in record.leases:
            return
        shards = self._shards_of.get(holder, set())
        shards.discard(record.number)
        if not shards:
            self._shards_of.pop(holder, None)

    # -- work

    def mark_changed(self, *numbers: int) -> None:
        """These shards are to be looked at in the next turn."""
        self._changed.update(numbers)

    def pop_ready(self, now: int) -> list[ShardRecord]:
        """The shards with news or whose time has come, in the order of their numbers."""
        while self._evaluations and self._evaluations[0][0] <= now:
            at, number = heapq.heappop(self._evaluations)
            record = self._shards.get(number)
            if record is not None and record.next_evaluation_at == at:
                record.next_evaluation_at = NEVER
                self._changed.add(number)
        changed, self._changed = sorted(self._changed), set()
        return [self._shards[number] for number in changed if number in self._shards]

    def schedule(self, record: ShardRecord, at: int) -> None:
        """A shard has been looked at and is to be looked at again at this time; earlier if so planned already."""
        if at < record.next_evaluation_at:
            record.next_evaluation_at = at
            heapq.heappush(self._evaluations, (at, record.number))
        if record.is_empty:
            del self._shards[record.number]

    def drop(self, record: ShardRecord) -> None:
        """Forget a shard with all that is known of it."""
        holders = list(record.leases)
        record.leases.clear()
        self.release(record, holders)
        del self._shards[record.number]

    def next_evaluation(self, now: int) -> int:
        """When take_due() may have something; NEVER if there is nothing to wait for."""
        if self._changed:
            return now
        return max(now, self._evaluations[0][0]) if self._evaluations else NEVER
