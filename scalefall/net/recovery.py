"""What the process before this one left: its journal and its learned rates, handed on at the start."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

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
    """Carries on with what was accepted before a restart.

    Delivery reports that the platform has not confirmed go out again, and the engine gets each open message with its
    history. Learned rates follow the first endpoint list, as they belong to endpoints that it names.
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
        """Recover into these parts.

        Args:
            classes: The message classes in force.
            events: Carries the open messages and the learned rates to the engine.
            tracker: Tracks the open messages.
            deadline_monitor: Sees to their end.
            journal: What the last process left.
            delivery_reports: Tells the platform what it is still owed.
            wall_offset_us: What to add to monotonic time for wall time, in microseconds.
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
        """Keep the rates that the last process learned until the first endpoint list is there."""
        self._learned_rates = rates

    def release_learned_rates(self) -> None:
        """Hand the kept rates to the engine, once: the event before was the first endpoint list."""
        for rate in self._learned_rates:
            self._events.gather(rate)
        self._learned_rates = []

    def restore(self) -> None:
        """Hand on all that the journal holds."""
        restored = 0
        for pending in list(self._journal.pending.values()):
            due_us = pending.due_wall_us - self._wall_offset_us
            if pending.final_answer is FinalAnswer.RETURNED:
                self._delivery_reports.report_returned(pending.id, pending.retry_after_ms, due_us)
            elif pending.final_answer is FinalAnswer.FAILED:
                self._delivery_reports.report_failed(pending.id, due_us)
            else:
                restored += 1
                self._restore_open(pending, due_us)
        if self._journal.pending:
            log.info("restored: %d open, %d with a notice to deliver", restored, len(self._journal.pending) - restored)

    def _restore_open(self, pending: PendingDelivery, due_us: int) -> None:
        """Hand on one message that is still to be delivered."""
        if pending.in_flight:  # its attempt was out when the process died: it may have run
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
            )
        )

    def _class_when_accepted(self, pending: PendingDelivery) -> MessageClass | None:
        """Return a message's class as the settings have it now, but with the rules of its acceptance for repeats.

        Whether, where and for how long it may be repeated must not follow settings that have changed since: it may
        have run under the old ones.
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
