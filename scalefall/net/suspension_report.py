"""Describes for operators that sending is suspended, since when, and how many messages wait."""

from __future__ import annotations

from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.journal import Journal
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler

MILLISECOND_US = 1000  # microseconds in a millisecond


class SuspensionReport:
    """Reports the suspension of sending in the log and at the admin address."""

    def __init__(
        self, scheduler: Scheduler, endpoint_list: EndpointList, tracker: DeliveryTracker, journal: Journal
    ) -> None:
        """Report on these components.

        Args:
            scheduler: The clock.
            endpoint_list: Knows whether calls may be sent.
            tracker: The open requests.
            journal: Knows which messages have an attempt in flight.
        """
        self._scheduler = scheduler
        self._endpoint_list = endpoint_list
        self._tracker = tracker
        self._journal = journal

    def text(self) -> str:
        """Return one sentence; empty while sending is not suspended."""
        since_us = self._endpoint_list.suspended_since_us
        if since_us is None:
            return ""
        suspended_ms = (self._scheduler.now() - since_us) // MILLISECOND_US
        waiting = sum(map(self._is_waiting, self._tracker.open))
        return (
            f"sending suspended: discovery's agent unresponsive for {suspended_ms} ms, {waiting} messages waiting, "
            f"{self._endpoint_list.count_usable()} endpoints still get calls"
        )

    def _is_waiting(self, message_id: str) -> bool:
        """Return whether an open message has no attempt in flight."""
        pending = self._journal.pending.get(message_id)
        return pending is None or not pending.in_flight

    def log(self) -> None:
        """Log the suspension, if there is one."""
        text = self.text()
        if text:
            log.info("%s", text)
