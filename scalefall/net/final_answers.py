"""The final answers that the engine gives: shed or failed, to the client or to the platform."""

from __future__ import annotations

import logging

from scalefall.net.delivery_reports import DeliveryReporter
from scalefall.net.delivery_request import DeliveryRequest, GivenUp, Rejected
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.journal import Journal
from scalefall.net.journal_records import FinalAnswer
from scalefall.net.logs import debug_event, log
from scalefall.net.route_table import RouteTable

MILLISECOND_US = 1000  # microseconds in a millisecond


class FinalAnswers:
    """Ends messages that are not delivered.

    One that was not accepted yet has the answer to its own request. For one that was accepted the platform is owed a
    delivery report, which the journal keeps until it has arrived.
    """

    def __init__(
        self,
        tracker: DeliveryTracker,
        journal: Journal,
        delivery_reports: DeliveryReporter,
        routes: RouteTable,
    ) -> None:
        """Give answers for the messages of this tracker.

        Args:
            tracker: Ends the messages.
            journal: Keeps what the platform has to be told.
            delivery_reports: Tells the platform.
            routes: Bounds how long a client is told to wait.
        """
        self._tracker = tracker
        self._journal = journal
        self._delivery_reports = delivery_reports
        self._routes = routes

    def shed(self, message_id: str, retry_after_us: int) -> None:
        """Hand a message back: to send it again after the wait, in microseconds, does no harm."""
        request = self._tracker.finish(message_id)
        if request is None:
            return
        retry_after_us = self._routes.cap_retry_after(request.destination, retry_after_us)
        if log.isEnabledFor(logging.DEBUG):
            _log_end("refused %s", request)
        if request.admission is None:
            request.decide(Rejected(retry_after_us))
            return
        retry_after_ms = -(-retry_after_us // MILLISECOND_US)
        self._journal.record_final_answer(message_id, FinalAnswer.RETURNED, retry_after_ms)
        self._delivery_reports.report_returned(message_id, retry_after_ms, request.due_us)

    def fail(self, message_id: str) -> None:
        """Give a message up, with no promise about its effect."""
        request = self._tracker.finish(message_id)
        if request is None:
            return
        if log.isEnabledFor(logging.DEBUG):
            _log_end("failed %s", request)
        if request.admission is None:
            request.decide(GivenUp())
            return
        self._journal.record_final_answer(message_id, FinalAnswer.FAILED, 0)
        self._delivery_reports.report_failed(message_id, request.due_us)


def _log_end(text: str, request: DeliveryRequest) -> None:
    """Log the end of a message for those who follow every one."""
    debug_event(text, request.id, id=request.id, class_=request.class_name, dest=request.destination)
