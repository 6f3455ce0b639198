"""Carries out the engine's final answers, shed or failed: to the client, or as a delivery report to the platform."""

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

    A message that was not accepted yet is answered on its own request. For an accepted message the platform gets a
    delivery report, which stays in the journal until the platform has confirmed it.
    """

    def __init__(
        self,
        tracker: DeliveryTracker,
        journal: Journal,
        delivery_reports: DeliveryReporter,
        routes: RouteTable,
    ) -> None:
        """Set up final answers for the messages of a tracker.

        Args:
            tracker: The open requests.
            journal: Stores the final answers that have to be reported.
            delivery_reports: Reports them to the platform.
            routes: Limits the retry-after times.
        """
        self._tracker = tracker
        self._journal = journal
        self._delivery_reports = delivery_reports
        self._routes = routes

    def shed(self, message_id: str, retry_after_us: int) -> None:
        """End a message that had no effect: the client may submit it again after this time, in microseconds."""
        request = self._tracker.finish(message_id)
        if request is None:
            return
        retry_after_us = self._routes.cap_retry_after(request.destination, retry_after_us)
        if log.isEnabledFor(logging.DEBUG):
            _log_end("shed %s", request)
        if request.admission is None:
            request.decide(Rejected(retry_after_us))
            return
        retry_after_ms = -(-retry_after_us // MILLISECOND_US)
        self._journal.record_final_answer(message_id, FinalAnswer.RETURNED, retry_after_ms)
        self._delivery_reports.report_returned(message_id, retry_after_ms, request.due_us)

    def fail(self, message_id: str) -> None:
        """Give a message up; whether it had an effect is unknown."""
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
    """Log the end of a message at debug level."""
    debug_event(text, request.id, id=request.id, class_=request.class_name, dest=request.destination)
