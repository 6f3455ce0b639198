"""Admission: decides on submitted requests, and journals those that are accepted."""

from __future__ import annotations

import logging

from scalefall.net.attempt_request import batch_row_size
from scalefall.net.deadline_monitor import DeadlineMonitor
from scalefall.net.delivery_request import Accepted, Conflict, DeliveryRequest, GivenUp, NotServed, Rejected
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.journal import Journal
from scalefall.net.journal_records import FinalAnswer, PendingDelivery
from scalefall.net.logs import debug_event, log
from scalefall.net.route_table import RouteTable
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import Message, MessageWithdrawn
from scalefall.policy.settings import Settings

MILLISECOND_US = 1000  # microseconds in a millisecond
RETRY_AFTER_WHEN_FULL_US = 1_000_000  # Retry-After of a sender without capacity
RETRY_AFTER_IN_SHUTDOWN_US = 500_000  # Retry-After during shutdown: shorter, as replicas can take the message at once


class Admission:
    """Decides on requests that do not need the engine, and passes the others to it.

    An ingress submits requests, and withdraws those whose client has disconnected. The answer to a request is given
    through its `decide`: at once, or in the next step of the engine.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        events: EventQueue,
        tracker: DeliveryTracker,
        deadline_monitor: DeadlineMonitor,
        journal: Journal,
        endpoint_list: EndpointList,
        routes: RouteTable,
        wall_offset_us: int,
    ) -> None:
        """Set up admission with these components.

        Args:
            scheduler: The clock.
            settings: The current classes and the limit of open messages.
            events: Passes requests to the engine.
            tracker: The open requests.
            deadline_monitor: Enforces the deadlines of accepted messages.
            journal: Stores each message before it is answered as accepted.
            endpoint_list: Knows which destinations have endpoints.
            routes: Knows which classes a route carries.
            wall_offset_us: Wall time minus monotonic time, in microseconds.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._events = events
        self._tracker = tracker
        self._open = tracker.open
        self._deadline_monitor = deadline_monitor
        self._journal = journal
        self._endpoint_list = endpoint_list
        self._routes = routes
        self._wall_offset_us = wall_offset_us
        self._closes_at_us: int | None = None

    def close_at(self, at_us: int) -> None:
        """Reject every new message from this time on (monotonic, microseconds)."""
        self._closes_at_us = at_us

    def submit(self, request: DeliveryRequest) -> None:
        """Decide on a request, or pass it to the engine, which answers in its next step.

        Under an id that is in use or was used recently, no other message is delivered.
        """
        message_id = request.id
        pending = self._journal.pending.get(message_id)
        if message_id in self._open:
            self._submit_repeated(request)
        elif message_id in self._tracker.finished:
            same = self._tracker.finished[message_id][1] == request.fingerprint()
            request.decide(Accepted() if same else Conflict())
        elif pending is not None:  # its final answer is not reported yet: give the same answer
            returned = pending.final_answer is FinalAnswer.RETURNED
            request.decide(Rejected(pending.retry_after_ms * MILLISECOND_US) if returned else GivenUp())
        elif self._closes_at_us is not None and self._scheduler.now() >= self._closes_at_us:
            request.decide(Rejected(RETRY_AFTER_IN_SHUTDOWN_US, True))
        elif not self._routes.carries(request.destination, request.class_name):
            request.decide(NotServed())
        elif (
            not self._endpoint_list.serves(request.destination)
            or len(self._open) >= self._settings.max_queued
            or not self._journal.has_capacity(len(request.body))
        ):
            request.decide(Rejected(RETRY_AFTER_WHEN_FULL_US, True))
        else:
            self._tracker.add(request)
            request.message_class = self._settings.classes.get(request.class_name)
            request.batch_bytes = batch_row_size(message_id, request.idempotency_key, request.body)
            self._events.gather(
                Message(
                    message_id,
                    request.destination,
                    request.class_name,
                    request.due_us,
                    batch_bytes=request.batch_bytes,
                )
            )

    def withdraw(self, request: DeliveryRequest) -> None:
        """Drop a request whose client disconnected before the answer: it needs neither delivery nor report.

        Once an attempt has started, the message stays accepted: dropped, its id would run again when it comes again.
        """
        if not request.repeat_accepted and not request.attempts:
            self.discard(request)

    def discard(self, request: DeliveryRequest) -> None:
        """Drop a request that will not be answered as accepted."""
        if self._open.get(request.id) is not request:
            return
        self._tracker.discard(request.id)
        self._journal.record_finished(request.id)
        if request.admission is not None or not self._events.remove_message(request.id):
            self._events.gather(MessageWithdrawn(request.id))

    def accept(self, request: DeliveryRequest) -> None:
        """Journal a message that the engine has admitted, before the answer is sent.

        If the journal cannot store it, the message is rejected.
        """
        if log.isEnabledFor(logging.DEBUG):
            self._log_accepted(request)
        pending = PendingDelivery(
            request.id,
            request.class_name,
            request.destination,
            request.due_us + self._wall_offset_us,
            request.idempotency_key,
            request.body,
        )
        message_class = request.message_class
        if message_class is not None:
            pending.idempotency = message_class.idempotency
            pending.key_scope_zone = message_class.key_scope_zone
            pending.key_ttl_us = message_class.key_ttl_us
        if self._journal.record_accepted(pending):
            self._deadline_monitor.watch(request)
        else:
            request.decide(Rejected(RETRY_AFTER_WHEN_FULL_US, True))
            self.discard(request)

    def _submit_repeated(self, request: DeliveryRequest) -> None:
        """Decide on a request with the id of an open one.

        The open request does not change: otherwise a client could have another body delivered under that id, or
        withdraw the message by disconnecting.
        """
        first = self._open[request.id]
        if first.fingerprint() == request.fingerprint() and isinstance(first.admission, Accepted):
            first.repeat_accepted = True
            request.decide(Accepted())
        else:
            request.decide(Conflict())

    def _log_accepted(self, request: DeliveryRequest) -> None:
        debug_event(
            "accepted %s: class %s, destination %d, %d ms left",
            request.id,
            request.class_name,
            request.destination,
            (request.due_us - self._scheduler.now()) // MILLISECOND_US,
            id=request.id,
            class_=request.class_name,
            dest=request.destination,
        )
