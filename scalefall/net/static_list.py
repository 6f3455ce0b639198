"""The endpoint list from the operator's configuration file, without a watch; a new file replaces it at once.

An endpoint that is missing in the new list drains first, so that calls in flight can end while new work stops, and is
removed after the drain grace. If a later list has it again within the grace, it is ready again and stays.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from scalefall.net.endpoint_list import EndpointList, ListEvent
from scalefall.net.list_stream import Entry, ListUpdate
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import EndpointListUpdate, EndpointStatus, ListUpdateKind


class ListChange(NamedTuple):
    """The number of endpoints that differ between two lists."""

    added: int
    removed: int
    changed: int


class StaticList(EndpointList):
    """The endpoints in the operator's file."""

    def __init__(
        self,
        scheduler: Scheduler,
        known: ListUpdate,
        on_change: Callable[[ListEvent], None],
        drain_grace_us: int,
    ) -> None:
        """Start with the file's list.

        Args:
            scheduler: The clock.
            known: The list.
            on_change: Called with each update for the engine.
            drain_grace_us: The time from an endpoint's removal from the file to its termination, in microseconds.
        """
        super().__init__(scheduler, known, on_change)
        self._drain_grace_us = drain_grace_us
        self._removed_in: dict[str, int] = {}  # the version that removed each endpoint that drains

    def initial_list(self) -> EndpointListUpdate:
        """Return the event for the list, which is current, as it comes from the file."""
        return EndpointListUpdate(ListUpdateKind.WHOLE, [entry.endpoint for entry in self.entries.values()])

    def serves(self, destination: int) -> bool:
        """Return whether the list has, or recently had, an endpoint of a destination."""
        return destination in self._entry_counts

    def replace(self, entries: list[Entry]) -> ListChange:
        """Replace the list in one step; return how many endpoints were added, removed and changed."""
        wanted = {entry.endpoint.id for entry in entries}
        added = [entry for entry in entries if not self._is_listed(entry.endpoint.id)]
        known = [entry for entry in entries if self._is_listed(entry.endpoint.id)]
        changed = [entry for entry in known if self.entries[entry.endpoint.id] != entry]
        removed = [
            entry
            for endpoint_id, entry in self.entries.items()
            if endpoint_id not in wanted and self._is_listed(endpoint_id)
        ]
        version = self.seq + 1
        for entry in entries:
            self._removed_in.pop(entry.endpoint.id, None)
        for entry in removed:
            self._removed_in[entry.endpoint.id] = version
        if added or removed or changed:
            draining = [_with_status(entry, EndpointStatus.DRAINING) for entry in removed]
            self.handle_update(ListUpdate(version, False, [*draining, *added, *changed]))
        if removed:
            self._scheduler.call_at(self._scheduler.now() + self._drain_grace_us, self._end_drain, version)
        return ListChange(len(added), len(removed), len(changed))

    def _is_listed(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is in the current list: it neither drains after its removal nor is terminated."""
        entry = self.entries.get(endpoint_id)
        return (
            entry is not None
            and endpoint_id not in self._removed_in
            and entry.endpoint.status is not EndpointStatus.GONE
        )

    def _end_drain(self, version: int) -> None:
        """Mark as terminated the endpoints that a version removed and no later one has added again."""
        endpoint_ids = [endpoint_id for endpoint_id, removed_in in self._removed_in.items() if removed_in == version]
        for endpoint_id in endpoint_ids:
            del self._removed_in[endpoint_id]
        if endpoint_ids:
            terminated = [_with_status(self.entries[endpoint_id], EndpointStatus.GONE) for endpoint_id in endpoint_ids]
            self.handle_update(ListUpdate(self.seq + 1, False, terminated))


def _with_status(entry: Entry, status: EndpointStatus) -> Entry:
    """Return an entry with another status."""
    return replace(entry, endpoint=replace(entry.endpoint, status=status))
