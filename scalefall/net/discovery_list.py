"""Discovery's list of endpoints, kept up by a watch."""

from __future__ import annotations

from collections.abc import Callable

from scalefall.net.endpoint_list import MIN_REMOVED_RETENTION_US, EndpointList
from scalefall.net.list_stream import ListUpdate
from scalefall.net.list_watch import ListWatch
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import EndpointListUpdate, ListUpdateKind

MIN_OBJECT_LIMIT_BYTES = 1024 * 1024  # of one object of the list, also where the memory that is set allows less
ANNOUNCE_TIMEOUT_US = 2_000_000  # so long after a start the old list is taken as it is, if nothing has been heard


class DiscoveryList(EndpointList):
    """The endpoints that discovery lists.

    Where lists are pushed, what discovery has counts as told whether or not a watch is open. So one is open all the
    time, and the engine hears of what was known before only when discovery has said what of it still holds. Where they
    are polled, each failure of the watch is one FAILED event.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        discovery: tuple[str, int],
        known: ListUpdate,
        on_change: Callable[[EndpointListUpdate], None],
        pushed: bool = False,
        max_object_bytes: int = MIN_OBJECT_LIMIT_BYTES,
        seed: int = 0,
        removed_retention_us: int = MIN_REMOVED_RETENTION_US,
    ) -> None:
        """Start with the list as this sender had it last.

        Args:
            scheduler: The clock, and the task of the watch.
            discovery: Discovery's address.
            known: The list that this sender had last.
            on_change: Takes what the engine is to hear of the list.
            pushed: Discovery pushes lists; else they are polled when the engine asks for it.
            max_object_bytes: How long one object of the list may be, where that is more than 1 MiB.
            seed: The seed of the random spread of the watch.
            removed_retention_us: For how many microseconds a removed endpoint is kept; at least 60 s.
        """
        super().__init__(scheduler, known, on_change, removed_retention_us)
        self._pushed = pushed
        self._is_announced = not pushed
        self._failure_reported = False  # the last event said that the watch failed
        max_object_bytes = max(max_object_bytes, MIN_OBJECT_LIMIT_BYTES)
        self._watch = ListWatch(scheduler, discovery, self, pushed, max_object_bytes, seed)

    def start(self) -> None:
        """Tell the engine of the list that is known, now or once discovery is heard, and open the watch if it is due.

        Without endpoints nothing can go out before a list comes: the watch is opened at once then too.
        """
        if self._pushed:
            self._scheduler.call_at(self._scheduler.now() + ANNOUNCE_TIMEOUT_US, self._announce_initial_list)
        else:
            self._on_change(self.initial_list())
        if self._pushed or not self.entries:
            self.subscribe()

    def subscribe(self) -> None:
        """Open a watch, unless there is one.

        From then on it is opened anew whenever it breaks: the engine's backoff after a failure may be longer than a
        change has time.
        """
        self._watch.open()

    def move(self, discovery: tuple[str, int]) -> None:
        """Watch discovery at another address from now on."""
        self._watch.move(discovery)

    def handle_update(self, update: ListUpdate) -> None:
        """Take in a list, or what of it has changed, and tell the engine."""
        if update.unreadable_entries:
            self._log_unreadable(update)
        self._announce_initial_list()
        if self._is_newer(update):
            self._failure_reported = False
            self._apply_and_notify(update)

    def watch_active(self) -> None:
        """Take in that discovery has said something: a poll was heard, whether or not anything is new."""
        self._announce_initial_list()
        if self._failure_reported:
            self._failure_reported = False
            self._on_change(EndpointListUpdate(ListUpdateKind.CHANGES, []))

    def watch_failed(self) -> None:
        """Tell the engine that the watch broke."""
        self._failure_reported = True
        self._on_change(EndpointListUpdate(ListUpdateKind.FAILED))

    def _announce_initial_list(self) -> None:
        """Tell the engine, once, of what was known before, ahead of what is new."""
        if not self._is_announced:
            self._is_announced = True
            self._on_change(self.initial_list())
