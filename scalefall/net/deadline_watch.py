"""The deadlines of accepted messages: none stays open past its own, whatever became of it in the engine."""

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

OVERDUE_US = 50_000  # microseconds past its deadline after which a message that the engine has not ended is failed:
# long enough for the engine's own timer and the step that follows it


class DeadlineWatch:
    """Fails accepted messages that are still open shortly after their deadline.

    The engine ends every message in time; this watch holds should it lose one.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        open_requests: Mapping[str, DeliveryRequest],
        events: EventQueue,
        final_answers: FinalAnswers,
    ) -> None:
        """Start with nothing to watch.

        Args:
            scheduler: The clock and its timers.
            open_requests: The requests in flight, by message id.
            events: Hears of the messages that were failed here.
            final_answers: Fails them.
        """
        self._scheduler = scheduler
        self._open = open_requests
        self._events = events
        self._final_answers = final_answers
        self._deadlines: list[tuple[int, str]] = []  # a heap: when a message has to have ended, and its id
        self._timer: Timer | None = None

    def watch(self, request: DeliveryRequest) -> None:
        """Watch the deadline of an accepted message."""
        heapq.heappush(self._deadlines, (request.due_us, request.id))
        self._set_timer(request.due_us)

    def _set_timer(self, due_us: int) -> None:
        """Have the timer fire for this deadline, unless it fires for an earlier one."""
        if self._timer is None or due_us + OVERDUE_US < self._timer.at_us:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._scheduler.call_at(due_us + OVERDUE_US, self._fail_overdue)

    def _fail_overdue(self) -> None:
        """Fail what is open past its deadline.

        Where the process was held up for so long, the engine's own timer has come due in the same round of the
        scheduler: the engine's step goes first.
        """
        self._events.step_now()
        now_us = self._scheduler.now()
        self._timer = None
        failed = []
        while self._deadlines and (
            self._deadlines[0][0] + OVERDUE_US <= now_us or self._deadlines[0][1] not in self._open
        ):
            request = self._open.get(heapq.heappop(self._deadlines)[1])
            if request is not None and request.due_us + OVERDUE_US <= now_us:
                failed.append(request.id)
                self._final_answers.fail(request.id)
                self._events.gather(MessageWithdrawn(request.id))
        if self._deadlines:
            self._set_timer(self._deadlines[0][0])
        if failed:
            log.error("open past their time, and failed: %s", " ".join(failed))
        assert_invariant(not failed, "the module ends every message in its time")
