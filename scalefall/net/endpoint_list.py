"""The endpoints that a sender may call, by id, and the updates of the list for the engine.

`discovery_list` gets them from a watch on discovery, `static_list` from the operator's file.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from scalefall.net.list_stream import Entry, ListUpdate
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import (
    Endpoint,
    EndpointListConfirmed,
    EndpointListUnconfirmed,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
)

ListEvent = EndpointListUpdate | EndpointListUnconfirmed | EndpointListConfirmed  # for the engine

DRAIN_MARGIN_US = 200_000  # time before a drain's end: a call sent later may find its endpoint stopped
MIN_REMOVED_RETENTION_US = 60_000_000  # calls may be in flight to a removed endpoint; longer if messages take longer


class EndpointList:
    """A list of endpoints, without a source of its own.

    Attributes:
        entries: The endpoints by id, those removed recently included.
        left_at: By id, when each draining or removed endpoint left service, in monotonic microseconds.
        seq: The list's version.
        unreadable_entries: The number of entries so far that could not be read.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        known: ListUpdate,
        on_change: Callable[[ListEvent], None],
        removed_retention_us: int = MIN_REMOVED_RETENTION_US,
    ) -> None:
        """Start with a list.

        Args:
            scheduler: The clock.
            known: The list.
            on_change: Called with each event for the engine.
            removed_retention_us: For how many microseconds a removed endpoint is kept; at least 60 s.
        """
        self._scheduler = scheduler
        self._on_change = on_change
        self._removed_retention_us = max(removed_retention_us, MIN_REMOVED_RETENTION_US)
        self._is_started = False  # the engine has the list
        self.entries: dict[str, Entry] = {}
        self.left_at: dict[str, int] = {}
        self._removed_at: dict[str, int] = {}  # by id, in monotonic microseconds, the oldest first
        self._entry_counts: Counter[int] = Counter()  # by destination
        self._owners: dict[tuple[str, int], str] = {}  # the latest ready endpoint at each address
        self._in_maintenance: set[str] = set()  # these drain, whatever their listed status
        self._listed: dict[str, Entry] = {}  # the listed entries of those that drain for maintenance
        self.seq = known.seq
        self.unreadable_entries = 0
        self._last_unreadable: tuple[str, ...] = ()  # the last entries that could not be read, to log them once
        self._apply(known)

    def start(self) -> None:
        """Pass the list to the engine."""
        self._is_started = True
        self._on_change(self.initial_list())

    def initial_list(self) -> EndpointListUpdate:
        """Return the event for the list that this sender had last; it may be out of date."""
        return EndpointListUpdate(ListUpdateKind.CACHED, [entry.endpoint for entry in self.entries.values()])

    @property
    def suspended_since_us(self) -> int | None:
        """When the list became unconfirmed, in monotonic microseconds; None unless sending is suspended for it."""
        return None

    def count_usable(self) -> int:
        """Return how many endpoints may get calls."""
        ready = EndpointStatus.READY
        return sum(entry.endpoint.status is ready and self.may_send_to(name) for name, entry in self.entries.items())

    def may_send_to(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get calls by this list; False while a change of it may be missing."""
        return True

    def record_served(self, endpoint_id: str, began_at_us: int) -> None:
        """Record that an endpoint has served a call that began at this time, in monotonic microseconds."""

    def subscribe(self) -> None:
        """Subscribe to newer lists; does nothing for a list without a source."""

    def serves(self, destination: int) -> bool:
        """Return whether the list has, or recently had, an endpoint of a destination; True if the list is empty."""
        return not self.entries or destination in self._entry_counts

    def has_endpoint(self, endpoint_id: str) -> bool:
        """Return whether the list has an endpoint that has not been removed."""
        return endpoint_id in self.entries and endpoint_id not in self._removed_at

    def is_replaced(self, entry: Entry) -> bool:
        """Return whether this endpoint drains or is removed, and another one has taken over its address."""
        endpoint_id = entry.endpoint.id
        return endpoint_id in self.left_at and self._owners.get(entry.address, endpoint_id) != endpoint_id

    def extend_removed_retention(self, removed_retention_us: int) -> None:
        """Keep removed endpoints for this many microseconds, if that is longer than before.

        Called when messages may take longer; messages in flight still have the time that they had before.
        """
        self._removed_retention_us = max(self._removed_retention_us, removed_retention_us)

    def start_maintenance(self, endpoint_ids: set[str]) -> None:
        """Let endpoints drain from now on, also those that the list adds later."""
        self._in_maintenance |= endpoint_ids
        self._reapply(endpoint_ids)

    def end_maintenance(self, endpoint_id: str) -> None:
        """Restore an endpoint's listed status."""
        self._in_maintenance.discard(endpoint_id)
        self._reapply({endpoint_id})

    def handle_update(self, update: ListUpdate) -> None:
        """Apply a list, or the changes of a list, and notify the engine.

        An endpoint whose new entry cannot be read keeps its old one.
        """
        if update.unreadable_entries:
            self._log_unreadable(update)
        if self._is_newer(update):
            self._apply_and_notify(update)

    def _is_newer(self, update: ListUpdate) -> bool:
        """Return whether an update is a complete list or newer than the known version."""
        return update.is_whole or update.seq > self.seq

    def _apply_and_notify(self, update: ListUpdate) -> None:
        """Apply an update, and notify the engine."""
        log.info(
            "endpoint list: version %d, %s %d", update.seq, "all" if update.is_whole else "changed", len(update.entries)
        )
        self._apply(update)
        kind = ListUpdateKind.WHOLE if update.is_whole else ListUpdateKind.CHANGES
        endpoint_ids = [entry.endpoint.id for entry in update.entries]
        if update.is_whole:
            endpoint_ids += [endpoint_id for endpoint_id in update.unreadable_entries if endpoint_id in self.entries]
        self._on_change(EndpointListUpdate(kind, self._endpoints(endpoint_ids)))

    def _endpoints(self, endpoint_ids: list[str]) -> list[Endpoint]:
        """Return endpoints as this list has them, for an event to the engine."""
        return [self.entries[endpoint_id].endpoint for endpoint_id in endpoint_ids]

    def _apply(self, update: ListUpdate) -> None:
        """Apply an update's entries and version."""
        now_us = self._scheduler.now()
        if update.is_whole:
            self._mark_missing(update, now_us)
        for entry in update.entries:
            endpoint_id = entry.endpoint.id
            if endpoint_id in self._in_maintenance and entry.endpoint.status is EndpointStatus.READY:
                self._listed[endpoint_id] = entry
                entry = replace(entry, endpoint=replace(entry.endpoint, status=EndpointStatus.DRAINING))
            else:
                self._listed.pop(endpoint_id, None)
            self._put(endpoint_id, entry)
            if entry.endpoint.status is EndpointStatus.READY:
                self.left_at.pop(endpoint_id, None)
                self._owners[entry.address] = endpoint_id
            else:
                self.left_at.setdefault(endpoint_id, now_us)
            self._removed_at.pop(endpoint_id, None)
            if entry.endpoint.status is EndpointStatus.GONE:
                self._removed_at[endpoint_id] = now_us
        self.seq = update.seq
        self._drop_expired_removed(now_us)

    def _mark_missing(self, update: ListUpdate, now_us: int) -> None:
        """Mark endpoints that a complete list does not contain as removed."""
        listed = {entry.endpoint.id for entry in update.entries}
        for endpoint_id in self.entries.keys() - listed - set(update.unreadable_entries):
            self._listed.pop(endpoint_id, None)
            self.left_at.setdefault(endpoint_id, now_us)
            self._removed_at.setdefault(endpoint_id, now_us)

    def _reapply(self, endpoint_ids: set[str]) -> None:
        """Apply the listed entries of endpoints again when their maintenance begins or ends."""
        present = sorted(endpoint_id for endpoint_id in endpoint_ids if self.has_endpoint(endpoint_id))
        if not present:
            return
        entries = []
        for endpoint_id in present:
            listed = self._listed.pop(endpoint_id, None)
            entries.append(listed or self.entries[endpoint_id])
        self._apply(ListUpdate(self.seq, False, entries))
        if self._is_started:
            self._on_change(EndpointListUpdate(ListUpdateKind.CHANGES, self._endpoints(present)))

    def _put(self, endpoint_id: str, entry: Entry | None) -> None:
        """Replace the entry of an endpoint; None removes it."""
        old = self.entries.pop(endpoint_id, None)
        if old is not None:
            destination = old.endpoint.destination
            self._entry_counts[destination] -= 1
            if not self._entry_counts[destination]:
                del self._entry_counts[destination]
        if entry is not None:
            self.entries[endpoint_id] = entry
            self._entry_counts[entry.endpoint.destination] += 1

    def _drop_expired_removed(self, now_us: int) -> None:
        """Drop endpoints removed too long ago for calls in flight: ids are not reused, so they would accumulate."""
        while self._removed_at and next(iter(self._removed_at.values())) < now_us - self._removed_retention_us:
            endpoint_id = next(iter(self._removed_at))
            address = self.entries[endpoint_id].address
            self._put(endpoint_id, None)
            self._listed.pop(endpoint_id, None)
            del self._removed_at[endpoint_id], self.left_at[endpoint_id]
            if self._owners.get(address) == endpoint_id:
                del self._owners[address]

    def _log_unreadable(self, update: ListUpdate) -> None:
        """Count the entries of an update that could not be read, and log them once."""
        self.unreadable_entries += len(update.unreadable_entries)
        if update.unreadable_entries != self._last_unreadable:
            self._last_unreadable = update.unreadable_entries
            log.warning(
                "endpoint list: %d entries of version %d cannot be read and stay as they were, the first %r",
                len(update.unreadable_entries),
                update.seq,
                update.unreadable_entries[0],
            )
