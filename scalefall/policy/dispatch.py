"""The end of each step: answers what is late, and sends what may go out at the destinations that have changed."""

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
        """Send what this state has waiting."""
        self._state = state
        self._schedule = schedule
        self._priority = priority
        self._ordering = ordering
        self._admission = admission
        self._routing = routing
        self._attempts = attempts
        self._final_answers = final_answers

    def run(self) -> None:
        """Evaluate the destinations that this step has touched, and plan when to evaluate them again."""
        self._final_answers.answer_late()
        self._schedule.evaluate_due()
        self._attempts.cancel_overdue()
        self._send_waiting()
        for destination in self._schedule.step_destinations.values():
            self._plan_evaluation(destination)
        self._schedule.step_destinations = {}
        self._schedule.set_timer()

    def _send_waiting(self) -> None:
        """Send what may go out.

        A message that is not admitted holds back its class at the destination, and one that finds no endpoint the
        whole destination, unless it may go to one zone only.
        """
        now = self._state.now
        blocked: set[int | tuple[int, str]] = set()  # destinations, or classes at one
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
        """Plan the next evaluation of a destination that has something waiting."""
        at = min(map(self._routing.next_call_at, destination.routes.values()), default=inf)
        if not destination.waiting or at == inf or self._state.now < destination.next_evaluation_at <= at:
            return
        destination.next_evaluation_at = int(at)
        self._schedule.evaluate_at(destination.next_evaluation_at, destination)
