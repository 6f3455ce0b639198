"""Graceful shutdown: serves clients that still connect, lets attempts finish, and ends within a fixed time."""

from __future__ import annotations

from collections.abc import Sized

from scalefall.net import invariants
from scalefall.net.admin import AdminServer
from scalefall.net.admission import Admission
from scalefall.net.attempts import Attempts
from scalefall.net.delivery_reports import DeliveryReporter
from scalefall.net.event_queue import EventQueue
from scalefall.net.ingress_server import IngressServer
from scalefall.net.logs import log
from scalefall.net.rate_saver import RateSaver
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import ShuttingDown

MILLISECOND_US = 1000  # microseconds in a millisecond
# The schedule of a shutdown, counted from SIGTERM. The platform kills the process 3.7 s after SIGTERM.
MIN_LISTEN_US = 1000 * MILLISECOND_US  # clients that do not know of the shutdown yet still connect until then
PENDING_WAIT_US = 2600 * MILLISECOND_US  # pending messages and reports delay the end up to then
ATTEMPTS_END_US = 3000 * MILLISECOND_US  # deadline of all attempts; new messages are rejected from then on
FORCED_END_US = 3200 * MILLISECOND_US  # ends the wait even with attempts in flight
LAST_ANSWERS_US = 3270 * MILLISECOND_US  # the last clients are answered by then
POLL_US = 20 * MILLISECOND_US  # interval of the checks whether the process may end
LAST_POLL_US = 5 * MILLISECOND_US  # the same, once the listener is closed and only the last clients are served


class Shutdown:
    """Ends the process within a fixed time, in an order in which no client loses an answer.

    Attributes:
        started_at_us: When the shutdown began (monotonic, microseconds); 0 before.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        *,
        open_requests: Sized,
        events: EventQueue,
        admission: Admission,
        ingress: IngressServer,
        attempts: Attempts,
        delivery_reports: DeliveryReporter,
        rate_saver: RateSaver,
        admin_server: AdminServer | None,
    ) -> None:
        """Set up the shutdown of these components.

        Args:
            scheduler: The clock; it is stopped last.
            open_requests: The open requests.
            events: Passes the deadline of all attempts to the engine.
            admission: Rejects new messages from that deadline on, or from the end of the clients' connections.
            ingress: The clients' connections, which are closed.
            attempts: The attempts in flight.
            delivery_reports: The reports that the platform has not confirmed.
            rate_saver: Saves the learned rates a last time.
            admin_server: The operators' listener, which is closed.
        """
        self._scheduler = scheduler
        self._open = open_requests
        self._events = events
        self._admission = admission
        self._ingress = ingress
        self._attempts = attempts
        self._delivery_reports = delivery_reports
        self._rate_saver = rate_saver
        self._admin_server = admin_server
        self.started_at_us = 0

    def start(self) -> None:
        """Begin to shut down; a second call has no effect."""
        if self.started_at_us:
            return
        self.started_at_us = self._scheduler.now()
        no_attempts_at_us = self.started_at_us + ATTEMPTS_END_US
        self._admission.close_at(no_attempts_at_us)
        self._rate_saver.stop()
        log.info(
            "shutdown started: %d pending messages, %d attempts in flight", len(self._open), self._attempts.in_flight
        )
        self._events.gather(ShuttingDown(no_attempts_at_us))
        self._ingress.close_idle()
        self._scheduler.spawn(self._finish)

    def _finish(self) -> None:
        """Wait for attempts and reports, serve the last clients, and stop the scheduler; runs as a task."""
        while not self._may_end():
            self._scheduler.sleep(POLL_US)
        self._ingress.stop_listening()
        if self._admin_server is not None:
            self._admin_server.close()
        self._scheduler.sleep(POLL_US)
        # Clients that were in the listener's backlog are served, and the messages that they submitted are waited for.
        while self._elapsed_us() < LAST_ANSWERS_US and (self._ingress.answering or not self._may_end()):
            self._scheduler.sleep(LAST_POLL_US)
        self._admission.close_at(self._scheduler.now())  # what is submitted from now on cannot be answered
        self._ingress.shut_down_connections()
        self._scheduler.sleep(LAST_POLL_US)
        log.info(
            "shutdown finished: %d pending messages left in the journal, %d attempts abandoned",
            len(self._open),
            self._attempts.in_flight,
        )
        invariants.log_violations()
        self._rate_saver.save_final()
        self._scheduler.stop()

    def _may_end(self) -> bool:
        """Return whether nothing remains to wait for, or the wait has reached its limit."""
        elapsed_us = self._elapsed_us()
        if elapsed_us >= FORCED_END_US:
            return True
        nothing_due = (not self._open and self._delivery_reports.idle) or elapsed_us >= PENDING_WAIT_US
        return (
            elapsed_us >= MIN_LISTEN_US and nothing_due and not self._attempts.in_flight and not self._ingress.answering
        )

    def _elapsed_us(self) -> int:
        return self._scheduler.now() - self.started_at_us
