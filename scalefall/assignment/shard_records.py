"""The records of all shards of a ledger: which have news, when each is to be looked at, who has a part in which.

Only shards with targets, grants, limits or a destination of their own have a record.
"""

from __future__ import annotations

import heapq

from scalefall.assignment.shard_record import NEVER, Shard


class ShardRecords:
    """Shards by number, with the work that is due on them."""

    def __init__(self) -> None:
        self._shards: dict[int, Shard] = {}
        self._shards_of: dict[str, set[int]] = {}  # that a holder has a target or a grant in
        self._touched: set[int] = set()  # shards with news
        self._looks: list[tuple[int, int]] = []  # a heap: when a shard is to be looked at; old entries are skipped
        self._released: list[tuple[str, int]] = []

    def get(self, number: int) -> Shard | None:
        """The record of a shard, if it has one."""
        return self._shards.get(number)

    def open(self, number: int) -> Shard:
        """The record of a shard, made if there is none."""
        record = self._shards.get(number)
        if record is None:
            record = self._shards[number] = Shard(number)
        return record

    def is_free(self, number: int) -> bool:
        """Whether nothing is known of a shard."""
        return number not in self._shards or self._shards[number].empty

    def set_limit(self, destination: int, record: Shard, amount: int) -> None:
        """Take on an allowance; whether holders are told at once is the log's to say."""
        if record.limits.set(destination, amount):
            self._touched.add(record.number)
        record.forget_limits()

    # -- holders

    def has_part(self, holder: str) -> bool:
        """Whether a holder has a target or a grant in some shard."""
        return holder in self._shards_of

    def shards_of(self, holder: str) -> set[int]:
        """The shards in which a holder has a target or a grant; not to be changed."""
        return self._shards_of.get(holder, set())

    def retarget(self, record: Shard, targets: dict[str, int]) -> None:
        """Other holders or shares from now on."""
        before, record.targets = record.targets, targets
        for holder in targets:
            self._shards_of.setdefault(holder, set()).add(record.number)
        for holder in before:
            self._leave(holder, record)
        self._touched.add(record.number)

    def release(self, record: Shard, holders: list[str]) -> None:
        """Their grants are out of the record already: they may use nothing more of it."""
        for holder in holders:
            self._released.append((holder, record.number))
            self._leave(holder, record)

    def take_released(self) -> list[tuple[str, int]]:
        """The holders that may use nothing more of a shard, with that shard, since the last call."""
        released, self._released = self._released, []
        return released

    def _leave(self, holder: str, record: Shard) -> None:
        if holder in record.targets or holder in record.holdings:
            return
        shards = self._shards_of.get(holder, set())
        shards.discard(record.number)
        if not shards:
            self._shards_of.pop(holder, None)

    # -- work

    def touch(self, *numbers: int) -> None:
        """These shards are to be looked at in the next turn."""
        self._touched.update(numbers)

    def take_due(self, now: int) -> list[Shard]:
        """The shards with news or whose time has come, in the order of their numbers."""
        while self._looks and self._looks[0][0] <= now:
            at, number = heapq.heappop(self._looks)
            record = self._shards.get(number)
            if record is not None and record.due == at:
                record.due = NEVER
                self._touched.add(number)
        touched, self._touched = sorted(self._touched), set()
        return [self._shards[number] for number in touched if number in self._shards]

    def plan(self, record: Shard, at: int) -> None:
        """A shard has been looked at and is to be looked at again at this time; earlier if so planned already."""
        if at < record.due:
            record.due = at
            heapq.heappush(self._looks, (at, record.number))
        if record.empty:
            del self._shards[record.number]

    def drop(self, record: Shard) -> None:
        """Forget a shard with all that is known of it."""
        holders = list(record.holdings)
        record.holdings.clear()
        self.release(record, holders)
        del self._shards[record.number]

    def next_look(self, now: int) -> int:
        """When take_due() may have something; NEVER if there is nothing to wait for."""
        if self._touched:
            return now
        return max(now, self._looks[0][0]) if self._looks else NEVER
