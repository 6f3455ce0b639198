"""The limits of one shard's destinations, as a log: what a holder is told is all that changed since it acknowledged.

Only destinations whose allowance is not UNLIMITED have a row, and one that has become UNLIMITED keeps its row until
every holder knows. Each change has the next version; rows are in the order of their versions, so the changes since a
version are read from the end and cost no more than their count.
"""

from __future__ import annotations

from scalefall.assignment.model import UNLIMITED

SMALL_RAISE = 1.1  # a raise up to this factor is worth no message of its own and waits for the renewal


class LimitLog:
    """Allowances in thousandths of a call a second, by destination."""

    __slots__ = ("_rows", "_unlimited", "urgent_version", "version")

    def __init__(self) -> None:
        self.version = 0  # of the latest change
        self.urgent_version = 0  # of the latest change that is told at once: a fall, or a raise that is not small
        self._rows: dict[int, tuple[int, int]] = {}  # destination -> (version, amount), in the order of versions
        self._unlimited: dict[int, int] = {}  # destinations that are UNLIMITED again -> version

    def __len__(self) -> int:
        return len(self._rows)

    def rate(self, destination: int) -> int:
        """The allowance now."""
        row = self._rows.get(destination)
        return row[1] if row else UNLIMITED

    def set(self, destination: int, rate: int) -> bool:
        """Take on a new allowance. Whether it is to be told at once."""
        before = self.rate(destination)
        if rate == before:
            return False
        self.version += 1
        self._rows.pop(destination, None)
        self._rows[destination] = (self.version, rate)
        if rate >= UNLIMITED:
            self._unlimited[destination] = self.version
        else:
            self._unlimited.pop(destination, None)
        if before < rate <= before * SMALL_RAISE:
            return False
        self.urgent_version = self.version
        return True

    def changed_since(self, version: int) -> tuple[tuple[int, int], ...]:
        """Every destination whose allowance changed after a version, with its allowance now."""
        if version >= self.version:
            return ()
        found = []
        for destination, (changed, rate) in reversed(self._rows.items()):
            if changed <= version:
                break
            found.append((destination, rate))
        return tuple(found)

    def forget(self, version: int) -> None:
        """Every holder knows the log up to this version: rows that only say UNLIMITED are needed no more."""
        known = [destination for destination, changed in self._unlimited.items() if changed <= version]
        for destination in known:
            del self._unlimited[destination]
            del self._rows[destination]

    @property
    def has_unlimited_rows(self) -> bool:
        """Whether there is something that forget() might drop."""
        return bool(self._unlimited)
