"""Graceful shutdown: answer while connections come, begin nothing that may not finish, and end in time."""

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
from scalefall.net.rate_keeper import RateKeeper
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import ShuttingDown

MILLISECOND_US = 1000  # microseconds in a millisecond
# The timetable, counted from SIGTERM. The platform kills the process 3.7 s after it.
LINGER_US = 1000 * MILLISECOND_US  # for so long clients that have not noticed yet still connect
IDLE_END_US = 2600 * MILLISECOND_US  # from here on, with no attempt out, there is nothing left to wait for
NO_ATTEMPTS_US = 3000 * MILLISECOND_US  # no attempt is to be out any more, and no new message is admitted
END_US = 3200 * MILLISECOND_US  # the process ends, whatever is still out
LAST_ANSWERS_US = 3270 * MILLISECOND_US  # those who came last have their answers by then
POLL_US = 20 * MILLISECOND_US  # between two looks at whether the process may end
LAST_POLL_US = 5 * MILLISECOND_US  # the same, once the listener is closed and only its last clients are served


class Shutdown:
    """Ends the process in an order in which nobody loses an answer, and within a fixed time.

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
        rate_keeper: RateKeeper,
        admin_server: AdminServer | None,
    ) -> None:
        """Shut these parts down, once asked to.

        Args:
            scheduler: The clock; it is stopped last.
            open_requests: The requests in flight.
            events: Tells the engine until when attempts may be out.
            admission: Closes when no attempt may be out any more.
            ingress: Lets its clients go.
            attempts: What is out to endpoints.
            delivery_reports: What the platform has still to be told.
            rate_keeper: Saves the learned rates once more.
            admin_server: Stops listening.
        """
        self._scheduler = scheduler
        self._open = open_requests
        self._events = events
        self._admission = admission
        self._ingress = ingress
        self._attempts = attempts
        self._delivery_reports = delivery_reports
        self._rate_keeper = rate_keeper
        self._admin_server = admin_server
        self.started_at_us = 0

    def start(self) -> None:
        """Begin to shut down; a second call changes nothing."""
        if self.started_at_us:
            return
        self.started_at_us = self._scheduler.now()
        no_attempts_at_us = self.started_at_us + NO_ATTEMPTS_US
        self._admission.close_at(no_attempts_at_us)
        self._rate_keeper.stop()
        log.info("closing: %d open, %d attempts out", len(self._open), self._attempts.in_flight)
        self._events.gather(ShuttingDown(no_attempts_at_us))
        self._ingress.close_idle()
        self._scheduler.spawn(self._wind_up)

    def _wind_up(self) -> None:
        """Wait for what may still finish, let the last clients go, and stop the scheduler; runs as a task."""
        while not self._may_end():
            self._scheduler.sleep(POLL_US)
        self._ingress.stop_listening()
        if self._admin_server is not None:
            self._admin_server.close()
        self._scheduler.sleep(POLL_US)
        # Whoever was in the listener's queue is served, and what they submitted is waited for.
        while self._elapsed_us() < LAST_ANSWERS_US and (self._ingress.answering or not self._may_end()):
            self._scheduler.sleep(LAST_POLL_US)
        self._ingress.shut_down_connections()
        self._scheduler.sleep(LAST_POLL_US)
        log.info("ended: %d left to the journal, %d attempts out", len(self._open), self._attempts.in_flight)
        invariants.log_violations()
        self._rate_keeper.save_last()
        self._scheduler.stop()

    def _may_end(self) -> bool:
        """Return whether there is nothing left that is worth waiting for."""
        elapsed_us = self._elapsed_us()
        if elapsed_us >= END_US:
            return True
        nothing_due = (not self._open and self._delivery_reports.idle) or elapsed_us >= IDLE_END_US
        return elapsed_us >= LINGER_US and nothing_due and not self._attempts.in_flight and not self._ingress.answering

    def _elapsed_us(self) -> int:
        return self._scheduler.now() - self.started_at_us
