"""The rate limits of one shard's destinations, as a log of changes.

A grant carries every limit that changed since its holder's last acknowledgement. Only destinations with a limit have a
row; one that becomes UNLIMITED keeps its row until every holder has acknowledged that. Each change has the next
version. Rows are ordered by version, so the changes since a version are read from the end, at a cost proportional to
their number. Rates are in thousandths of a call a second.
"""

from __future__ import annotations

from scalefall.assignment.model import UNLIMITED, DestinationLimit

SMALL_RAISE_FACTOR = 1.1  # a raise up to this factor does not justify a message and waits for the renewal


class LimitLog:
    """The limits of one shard's destinations, each with the version of its last change."""

    __slots__ = ("_rows", "_unlimited", "urgent_version", "version")

    def __init__(self) -> None:
        """Start with every destination UNLIMITED, at version 0."""
        self.version = 0  # version of the latest change
        self.urgent_version = 0  # the latest change to send at once: a reduction, or a raise that is not small
        self._rows: dict[int, tuple[int, DestinationLimit]] = {}  # (version, limit) by destination, in version order
        self._unlimited: dict[int, int] = {}  # versions of the rows that are UNLIMITED, by destination

    def __len__(self) -> int:
        """Return the number of destinations that have a row."""
        return len(self._rows)

    def rate(self, destination: int) -> int:
        """Return the destination's present limit."""
        row = self._rows.get(destination)
        return row[1].rate if row else UNLIMITED

    def set(self, destination: int, rate: int) -> bool:
        """Record a destination's new limit.

        Returns:
            Whether to send the limit to holders at once.
        """
        before = self.rate(destination)
        if rate == before:
            return False
        self.version += 1
        self._rows.pop(destination, None)  # so that the row moves to the end, in the order of versions
        self._rows[destination] = (self.version, DestinationLimit(destination, rate))
        if rate >= UNLIMITED:
            self._unlimited[destination] = self.version
        else:
            self._unlimited.pop(destination, None)
        if before < rate <= before * SMALL_RAISE_FACTOR:
            return False
        self.urgent_version = self.version
        return True

    def changed_since(self, version: int) -> tuple[DestinationLimit, ...]:
        """Return the present limits that changed after a version, the latest change first."""
        if version >= self.version:
            return ()
        found = []
        for changed, limit in reversed(self._rows.values()):
            if changed <= version:
                break
            found.append(limit)
        return tuple(found)

    def prune_unlimited(self, version: int) -> None:
        """Drop UNLIMITED rows up to this version, which every holder has acknowledged."""
        known = [destination for destination, changed in self._unlimited.items() if changed <= version]
        for destination in known:
            del self._unlimited[destination]
            del self._rows[destination]

    @property
    def has_unlimited_rows(self) -> bool:
        """Whether `prune_unlimited` may have rows to drop."""
        return bool(self._unlimited)
