"""Recovery at the start: restores the pending messages and the learned rates of the previous process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from scalefall.net.attempt_request import batch_row_size
from scalefall.net.deadline_monitor import DeadlineMonitor
from scalefall.net.delivery_reports import DeliveryReporter
from scalefall.net.delivery_request import Accepted, DeliveryRequest
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.event_queue import EventQueue
from scalefall.net.journal import Journal
from scalefall.net.journal_records import FinalAnswer, PendingDelivery
from scalefall.net.logs import log
from scalefall.policy.events import LearnedRate, Message
from scalefall.policy.settings import MessageClass


class Recovery:
    """Restores the state of the previous process.

    Sends the delivery reports again that the platform has not confirmed, and passes each pending message with its
    history to the engine. Learned rates follow the first endpoint list, since they refer to its endpoints.
    """

    def __init__(
        self,
        classes: Mapping[str, MessageClass],
        events: EventQueue,
        tracker: DeliveryTracker,
        deadline_monitor: DeadlineMonitor,
        journal: Journal,
        delivery_reports: DeliveryReporter,
        wall_offset_us: int,
    ) -> None:
        """Set up recovery into these components.

        Args:
            classes: The message classes in force.
            events: Passes the pending messages and the learned rates to the engine.
            tracker: Tracks the pending messages.
            deadline_monitor: Enforces their deadlines.
            journal: The journal of the previous process.
            delivery_reports: Sends the unconfirmed delivery reports.
            wall_offset_us: Wall time minus monotonic time, in microseconds.
        """
        self._classes = classes
        self._events = events
        self._tracker = tracker
        self._deadline_monitor = deadline_monitor
        self._journal = journal
        self._delivery_reports = delivery_reports
        self._wall_offset_us = wall_offset_us
        self._learned_rates: list[LearnedRate] = []

    def defer_learned_rates(self, rates: list[LearnedRate]) -> None:
        """Store the rates that the previous process learned until the first endpoint list arrives."""
        self._learned_rates = rates

    def release_learned_rates(self) -> None:
        """Pass the stored rates to the engine, once; the first endpoint list must already be among the events."""
        for rate in self._learned_rates:
            self._events.gather(rate)
        self._learned_rates = []

    def restore(self) -> None:
        """Restore all deliveries that the journal holds."""
        restored = 0
        for pending in list(self._journal.pending.values()):
            due_us = pending.due_wall_us - self._wall_offset_us
            if pending.final_answer is FinalAnswer.RETURNED:
                self._delivery_reports.report_returned(pending.id, pending.retry_after_ms, due_us)
            elif pending.final_answer is FinalAnswer.FAILED:
                self._delivery_reports.report_failed(pending.id, due_us)
            else:
                restored += 1
                self._restore_pending(pending, due_us)
        if self._journal.pending:
            log.info(
                "restored: %d pending messages, %d delivery reports to send",
                restored,
                len(self._journal.pending) - restored,
            )

    def _restore_pending(self, pending: PendingDelivery, due_us: int) -> None:
        """Track a message that is still to be delivered, and pass it to the engine."""
        if pending.in_flight:  # the attempt was in flight when the process ended: it may have run
            self._journal.record_attempt_finished(pending.id, True)
        message_class = self._class_when_accepted(pending)
        request = DeliveryRequest(
            id=pending.id,
            class_name=pending.class_name,
            destination=pending.destination,
            due_us=due_us,
            idempotency_key=pending.idempotency_key,
            body=pending.body,
            attempts=pending.attempts,
            admission=Accepted(),
            message_class=message_class,
            batch_bytes=batch_row_size(pending.id, pending.idempotency_key, pending.body),
        )
        self._tracker.add(request)
        self._deadline_monitor.watch(request)
        self._events.gather(
            Message(
                id=pending.id,
                destination=pending.destination,
                class_name=pending.class_name,
                due_us=due_us,
                attempts=pending.attempts,
                may_have_run_at_us=pending.may_have_run_wall_us - self._wall_offset_us
                if pending.may_have_run_wall_us
                else None,
                may_have_run_zone=pending.may_have_run_zone,
                restored=True,
                message_class=message_class,
                batch_bytes=request.batch_bytes,
            )
        )

    def _class_when_accepted(self, pending: PendingDelivery) -> MessageClass | None:
        """Return the current class of a message, with the repeat rules under which the message was accepted.

        Whether, where and for how long it may be repeated must not follow later settings: an attempt may have run
        under the old ones.
        """
        message_class = self._classes.get(pending.class_name)
        if message_class is None or pending.idempotency is None:
            return message_class
        return replace(
            message_class,
            idempotency=pending.idempotency,
            key_scope_zone=pending.key_scope_zone,
            key_ttl_us=pending.key_ttl_us,
        )
