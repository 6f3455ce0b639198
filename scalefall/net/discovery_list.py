"""The endpoint list from discovery, updated by a watch.

Where lists are pushed, nothing is sent while discovery's agent may hold a change that this list lacks.
"""

from __future__ import annotations

from collections.abc import Callable

from scalefall.net.endpoint_list import DRAIN_MARGIN_US, MIN_REMOVED_RETENTION_US, EndpointList, ListEvent
from scalefall.net.list_confirmation import ListConfirmation, ListStatus
from scalefall.net.list_stream import EndpointListError, ListUpdate
from scalefall.net.list_watch import ListWatch
from scalefall.net.logs import log
from scalefall.net.memory_budget import ENDPOINT_BYTES, MemoryBudget
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import (
    EndpointListConfirmed,
    EndpointListUnconfirmed,
    EndpointListUpdate,
    ListUpdateKind,
)

MIN_OBJECT_LIMIT_BYTES = 1024 * 1024  # permitted size of one object of the list, also if the memory limit allows less
MILLISECOND_US = 1000  # microseconds in a millisecond
SUSPENSION_LOG_DELAY_US = 1_000_000  # an agent that answers ends the suspension at the start much earlier


class DiscoveryList(EndpointList):
    """The endpoints that discovery lists.

    Where lists are pushed, the sender counts as notified of what its agent has, whether or not a watch is open. So a
    watch is always open, and `confirmation` decides whether calls may be sent by this list. Where lists are polled,
    the list always counts as confirmed, and each failure of the watch is one FAILED event.

    Attributes:
        confirmation: What the agent is known to have sent, and since when that may be incomplete.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        discovery: tuple[str, int],
        known: ListUpdate,
        on_change: Callable[[ListEvent], None],
        pushed: bool = False,
        max_object_bytes: int = MIN_OBJECT_LIMIT_BYTES,
        seed: int = 0,
        removed_retention_us: int = MIN_REMOVED_RETENTION_US,
        budget: MemoryBudget | None = None,
        replica_count: int = 1,
        drain_grace_us: int = 0,
    ) -> None:
        """Start with the list that this sender had last.

        Args:
            scheduler: The clock, and the task of the watch.
            discovery: Discovery's address.
            known: The list that this sender had last.
            on_change: Called with each event for the engine.
            pushed: Discovery pushes lists; otherwise they are polled when the engine requests it.
            max_object_bytes: The size limit of one object of the list; at least 1 MiB.
            seed: The seed of the random jitter of the watch.
            removed_retention_us: For how many microseconds a removed endpoint is kept; at least 60 s.
            budget: Accounts for the endpoints and the watch; None: there is no limit.
            replica_count: The number of senders that watch this discovery.
            drain_grace_us: The time from the notification of a drain to its last call, in microseconds.
        """
        super().__init__(scheduler, known, on_change, removed_retention_us)
        self._pushed = pushed
        self.confirmation = ListConfirmation(max(0, drain_grace_us - DRAIN_MARGIN_US))
        self._is_suspended = False  # the engine knows that sending is suspended
        self._usable: frozenset[str] = frozenset()  # the endpoints that it may call all the same
        self._failure_reported = False  # the last event was FAILED
        max_object_bytes = max(max_object_bytes, MIN_OBJECT_LIMIT_BYTES)
        budget = budget or MemoryBudget()
        self._reservation = budget.open()  # for the endpoints
        self._reservation.resize(ENDPOINT_BYTES * len(self.entries))
        self._watch = ListWatch(scheduler, discovery, self, pushed, max_object_bytes, seed, budget, replica_count)

    def start(self) -> None:
        """Pass the known list to the engine, and open the watch if needed.

        Without endpoints nothing can be sent before a list arrives, so the watch is opened at once then too.
        """
        super().start()
        if self._pushed:
            self.confirmation.start(self._scheduler.now())
            self._suspend_if_due()
        if self._pushed or not self.entries:
            self.subscribe()

    @property
    def suspended_since_us(self) -> int | None:
        """When the list became unconfirmed, in monotonic microseconds; None unless sending is suspended for it."""
        since_us = self.confirmation.unconfirmed_since_us
        if since_us is None or self.confirmation.status(self._scheduler.now()) is not ListStatus.SUSPENDED:
            return None
        return since_us

    def may_send_to(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get calls; False while the agent may hold a change of it that is missing."""
        return self.suspended_since_us is None or endpoint_id in self.confirmation.served

    def record_served(self, endpoint_id: str, began_at_us: int) -> None:
        """Record that an endpoint has served a call, which may show that no change of it is missing."""
        if self.confirmation.record_served(endpoint_id, began_at_us) and self._is_suspended:
            self._suspend_if_due()

    def subscribe(self) -> None:
        """Open a watch, unless there is one.

        The watch is then reopened whenever it breaks: the engine's backoff after a failure may exceed the time in which
        a change must arrive.
        """
        self._watch.open()

    def move(self, discovery: tuple[str, int]) -> None:
        """Watch discovery at another address from now on."""
        if self._watch.move(discovery) and self._pushed:
            self.confirmation.move(self._scheduler.now())
            self._plan_suspension()

    def handle_update(self, update: ListUpdate) -> None:
        """Apply a list, or the changes of a list, and notify the engine.

        Raises:
            EndpointListError: Its endpoints do not fit into the memory budget; nothing has changed.
        """
        self._reserve(update)
        if update.unreadable_entries:
            self._log_unreadable(update)
        if self._is_newer(update):
            self._failure_reported = False
            self._apply_and_notify(update)

    def _reserve(self, update: ListUpdate) -> None:
        """Account for the endpoints that the list will have; those that an update lacks are kept for some time."""
        new_count = len({entry.endpoint.id for entry in update.entries} - self.entries.keys())
        endpoint_count = len(self.entries) + new_count
        if not self._reservation.try_resize(ENDPOINT_BYTES * endpoint_count):
            raise EndpointListError(f"list of endpoints: {endpoint_count} endpoints do not fit into the memory budget")

    def watch_active(self) -> None:
        """Handle activity of discovery: a poll has succeeded, whether or not the list has changed."""
        if self._pushed:
            self._confirm()
        if self._failure_reported:
            self._failure_reported = False
            self._on_change(EndpointListUpdate(ListUpdateKind.CHANGES, []))

    def watch_failed(self) -> None:
        """Notify the engine that the watch failed."""
        self._failure_reported = True
        self._on_change(EndpointListUpdate(ListUpdateKind.FAILED))

    def watch_broken(self) -> None:
        """Handle that the agent may hold a change that the watch has not brought."""
        if self._pushed:
            self.confirmation.break_link(self._scheduler.now())
            self._plan_suspension()

    def watch_unresponsive(self) -> None:
        """Handle that the agent sends nothing on an open watch, or does not answer a call."""
        if self._pushed:
            self.confirmation.become_unresponsive(self._scheduler.now())
            self._plan_suspension()

    def _plan_suspension(self) -> None:
        """Suspend sending once the sender counts as notified of what its list may lack."""
        if self.confirmation.unconfirmed_since_us is not None:
            self._scheduler.call_at(int(self.confirmation.suspends_at_us), self._suspend_if_due)

    def _suspend_if_due(self) -> None:
        """Let the engine start calls only to endpoints that may get them, unless the agent has confirmed the list."""
        since_us, usable = self.suspended_since_us, self.confirmation.served
        if since_us is None or (self._is_suspended and usable == self._usable):
            return
        self._usable = usable
        self._on_change(EndpointListUnconfirmed(since_us, usable))
        if not self._is_suspended:
            self._is_suspended = True
            self._plan_log(since_us)

    def _plan_log(self, since_us: int) -> None:
        """Log the suspension, unless it ends soon."""
        self._scheduler.call_at(self._scheduler.now() + SUSPENSION_LOG_DELAY_US, self._log_suspension, since_us)

    def _log_suspension(self, since_us: int) -> None:
        """Log that sending is suspended, unless it has ended meanwhile."""
        if self.confirmation.unconfirmed_since_us == since_us:
            log.warning(
                "sending suspended: discovery's agent unresponsive for %d ms, the list of version %d may lack changes",
                (self._scheduler.now() - since_us) // MILLISECOND_US,
                self.seq,
            )

    def _confirm(self) -> None:
        """Let the engine send again, as the list holds all that the agent has."""
        since_us = self.confirmation.unconfirmed_since_us
        self.confirmation.confirm(self._scheduler.now())
        if self._is_suspended and since_us is not None:
            self._is_suspended = False
            self._on_change(EndpointListConfirmed())
            suspended_us = self._scheduler.now() - since_us
            if suspended_us >= SUSPENSION_LOG_DELAY_US:
                log.info("sending resumed: discovery's agent answered after %d ms", suspended_us // MILLISECOND_US)
