"""A list of endpoints from a file of the operator's own: nothing is watched, and a new file replaces it at once.

An endpoint that the new list no longer has drains first, so that calls which are out may end and fresh work stops under
the drain rule, and is gone after the grace. One that comes back meanwhile is ready again, and is not gone later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from scalefall.net.endpoint_list import EndpointList, Entry, ListUpdate
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import EndpointListUpdate, EndpointStatus, ListUpdateKind


class StaticList(EndpointList):
    def __init__(
        self, scheduler: Scheduler, known: ListUpdate, tell: Callable[[EndpointListUpdate], None], grace_us: int
    ) -> None:
        super().__init__(scheduler, None, known, tell)
        self._grace = grace_us
        self._leaving: dict[str, int] = {}  # endpoints that drain as they are no more in the list: since which one

    def start(self) -> None:
        self._tell(self.known())

    def known(self) -> EndpointListUpdate:
        """The list is the file's, so it is no old one."""
        return EndpointListUpdate(ListUpdateKind.WHOLE, [entry.endpoint for entry in self.entries.values()])

    def subscribe(self) -> None:
        """There is nothing to watch: a new list comes with replace()."""

    def serves(self, destination: int) -> bool:
        return destination in self._served

    def replace(self, entries: list[Entry]) -> tuple[int, int, int]:
        """The list from now on, in one step; how many endpoints are new, gone and changed."""
        wanted = {entry.endpoint.id for entry in entries}
        new = [entry for entry in entries if not self._has(entry.endpoint.id)]
        changed = [
            entry for entry in entries if self._has(entry.endpoint.id) and self.entries[entry.endpoint.id] != entry
        ]
        gone = [entry for name, entry in self.entries.items() if name not in wanted and self._has(name)]
        version = self.seq + 1
        for entry in entries:
            self._leaving.pop(entry.endpoint.id, None)
        for entry in gone:
            self._leaving[entry.endpoint.id] = version
        if new or gone or changed:
            self._learn(
                ListUpdate(version, False, [*(_as(entry, EndpointStatus.DRAINING) for entry in gone), *new, *changed])
            )
        if gone:
            self._scheduler.call_at(self._scheduler.now() + self._grace, self._left, version)
        return len(new), len(gone), len(changed)

    def _has(self, name: str) -> bool:
        """In the list now: neither leaving nor gone."""
        entry = self.entries.get(name)
        return entry is not None and name not in self._leaving and entry.endpoint.status is not EndpointStatus.GONE

    def _left(self, version: int) -> None:
        names = [name for name, since in self._leaving.items() if since == version]
        for name in names:
            del self._leaving[name]
        if names:
            self._learn(
                ListUpdate(self.seq + 1, False, [_as(self.entries[name], EndpointStatus.GONE) for name in names])
            )


def _as(entry: Entry, status: EndpointStatus) -> Entry:
    return replace(entry, endpoint=replace(entry.endpoint, status=status))
