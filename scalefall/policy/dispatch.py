"""End of each step: gives up late messages, and sends waiting messages of the step's destinations."""

from __future__ import annotations

from itertools import chain
from math import inf

from scalefall.policy.admission import Admission
from scalefall.policy.attempts import Attempts
from scalefall.policy.final_answers import FinalAnswers
from scalefall.policy.ordering import Ordering
from scalefall.policy.priority import Priority
from scalefall.policy.routing import Routing
from scalefall.policy.schedule import Schedule
from scalefall.policy.state import DestinationState, EngineState, QueuedMessage


class Dispatcher:
    """Sends waiting messages in the order of their priority."""

    def __init__(
        self,
        state: EngineState,
        schedule: Schedule,
        priority: Priority,
        ordering: Ordering,
        admission: Admission,
        routing: Routing,
        attempts: Attempts,
        final_answers: FinalAnswers,
    ) -> None:
        """Dispatch the waiting messages of this state."""
        self._state = state
        self._schedule = schedule
        self._priority = priority
        self._ordering = ordering
        self._admission = admission
        self._routing = routing
        self._attempts = attempts
        self._final_answers = final_answers

    def run(self) -> None:
        """Evaluate the destinations of this step, and plan their next evaluations."""
        self._final_answers.answer_late()
        self._schedule.evaluate_due()
        if self._state.suspended_since < 0 or self._state.usable:
            self._attempts.cancel_overdue()
            self._send_waiting()
            for destination in self._schedule.step_destinations.values():
                self._plan_evaluation(destination)
        self._schedule.step_destinations = {}
        self._schedule.set_timer()

    def _send_waiting(self) -> None:
        """Send the waiting messages that may be sent now, by priority.

        A message that is not admitted blocks its class at the destination. One without an available endpoint blocks
        the destination, unless it is bound to one zone.
        """
        now = self._state.now
        blocked: set[int | tuple[int, str]] = set()  # destinations, or classes at a destination
        for message in self._by_priority():
            number, name = message.destination.number, message.message_class.name
            if number in blocked or (number, name) in blocked:
                continue
            if message.not_before > now or not self._ordering.is_first(message):
                continue
            if not self._admission.admit(message):
                blocked.add((number, name))
                continue
            endpoint = self._routing.choose(message)
            if endpoint is not None:
                self._attempts.send(message, endpoint)
            elif not message.required_zone:
                blocked.add(number)

    def _by_priority(self) -> list[QueuedMessage]:
        waiting = (destination.waiting.values() for destination in self._schedule.step_destinations.values())
        return sorted(chain.from_iterable(waiting), key=self._priority.key)

    def _plan_evaluation(self, destination: DestinationState) -> None:
        """Plan the next evaluation of a destination with waiting messages."""
        at = min(map(self._routing.next_call_at, destination.routes.values()), default=inf)
        if not destination.waiting or at == inf or self._state.now < destination.next_evaluation_at <= at:
            return
        destination.next_evaluation_at = int(at)
        self._schedule.evaluate_at(destination.next_evaluation_at, destination)
