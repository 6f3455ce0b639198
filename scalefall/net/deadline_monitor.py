"""Enforces the deadlines of accepted messages, as a fallback for the engine."""

from __future__ import annotations

import heapq
from collections.abc import Mapping

from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.event_queue import EventQueue
from scalefall.net.final_answers import FinalAnswers
from scalefall.net.invariants import assert_invariant
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler, Timer
from scalefall.policy.events import MessageWithdrawn

# How long after its deadline an open message is failed: longer than the engine's own timer and its next step take.
OVERDUE_GRACE_US = 50_000


class DeadlineMonitor:
    """Fails accepted messages that are still open shortly after their deadline.

    The engine ends every message by its deadline; this monitor covers one that it has lost track of.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        open_requests: Mapping[str, DeliveryRequest],
        events: EventQueue,
        final_answers: FinalAnswers,
    ) -> None:
        """Start with no deadlines.

        Args:
            scheduler: The clock and its timers.
            open_requests: The open requests, by message id.
            events: Notifies the engine of the messages that were failed here.
            final_answers: Fails the messages.
        """
        self._scheduler = scheduler
        self._open = open_requests
        self._events = events
        self._final_answers = final_answers
        self._deadlines: list[tuple[int, str]] = []  # a heap of deadlines and message ids
        self._timer: Timer | None = None

    def watch(self, request: DeliveryRequest) -> None:
        """Watch the deadline of an accepted message."""
        heapq.heappush(self._deadlines, (request.due_us, request.id))
        self._set_timer(request.due_us)

    def _set_timer(self, due_us: int) -> None:
        """Set the timer for this deadline, unless it is set for an earlier one."""
        if self._timer is None or due_us + OVERDUE_GRACE_US < self._timer.at_us:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._scheduler.call_at(due_us + OVERDUE_GRACE_US, self._fail_overdue)

    def _fail_overdue(self) -> None:
        """Fail the messages that are open past their deadline.

        Runs the engine's step first: after a long stall of the process, the engine's own timer has expired in the same
        round of the scheduler.
        """
        self._events.step_now()
        now_us = self._scheduler.now()
        self._timer = None
        failed = []
        while self._deadlines and (
            self._deadlines[0][0] + OVERDUE_GRACE_US <= now_us or self._deadlines[0][1] not in self._open
        ):
            request = self._open.get(heapq.heappop(self._deadlines)[1])
            if request is not None and request.due_us + OVERDUE_GRACE_US <= now_us:
                failed.append(request.id)
                self._final_answers.fail(request.id)
                self._events.gather(MessageWithdrawn(request.id))
        if self._deadlines:
            self._set_timer(self._deadlines[0][0])
        if failed:
            log.error("messages open past their deadline, failed: %s", " ".join(failed))
        assert_invariant(not failed, "the engine ends every message by its deadline")
