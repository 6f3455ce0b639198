"""Schedule of evaluations: destinations of this step, those that wait for a call slot, and planned evaluations."""

from __future__ import annotations

import heapq

from scalefall.policy.actions import SetTimer
from scalefall.policy.state import DestinationState, EngineState, QueuedMessage

EVALUATION_TIMER = 1  # token of the one timer for evaluations and deadlines


class Schedule:
    """Holds the destinations to evaluate in this step and the times of later evaluations.

    Attributes:
        step_destinations: Destinations to evaluate in this step, by number, in the order of the events.
        waiting_for_slot: Destinations that wait for a free call slot.
        deadlines: Heap of planned deadline checks: time, sequence and id of the message.
    """

    def __init__(self, state: EngineState) -> None:
        """Start with nothing planned."""
        self._state = state
        self.step_destinations: dict[int, DestinationState] = {}
        self.waiting_for_slot: dict[int, DestinationState] = {}
        self._planned_evaluations: list[tuple[int, int]] = []  # heap: time, number of a destination
        self.deadlines: list[tuple[int, int, str]] = []
        self._timer_at = -1

    def evaluate_in_step(self, destination: DestinationState) -> None:
        """Have the destination evaluated in this step."""
        self.step_destinations[destination.number] = destination

    def evaluate_waiting_for_slot(self) -> None:
        """Have the destinations that wait for a call slot evaluated in this step."""
        self.step_destinations.update(self.waiting_for_slot)
        self.waiting_for_slot = {}

    def evaluate_at(self, at: int, destination: DestinationState) -> None:
        """Have the destination evaluated in the first step at or after a time."""
        heapq.heappush(self._planned_evaluations, (at, destination.number))

    def plan_deadline_check(self, message: QueuedMessage, at: int) -> None:
        """Have pop_due return the message in the first later step at or after a time."""
        heapq.heappush(self.deadlines, (max(self._state.now + 1, at), message.sequence, message.id))

    def pop_due(self) -> QueuedMessage | None:
        """Return a message whose deadline check is due, or None."""
        while self.deadlines and self.deadlines[0][0] <= self._state.now:
            message = self._state.messages.get(heapq.heappop(self.deadlines)[2])
            if message is not None:
                return message
        return None

    def evaluate_due(self) -> None:
        """Have the destinations whose planned evaluation is due evaluated in this step."""
        destinations = self._state.destinations
        while self._planned_evaluations and self._planned_evaluations[0][0] <= self._state.now:
            number = heapq.heappop(self._planned_evaluations)[1]
            if number in destinations:
                self.step_destinations[number] = destinations[number]

    def set_timer(self) -> None:
        """Set the timer for the next planned time, unless it is already set for that or an earlier time."""
        while self.deadlines and self.deadlines[0][2] not in self._state.messages:
            heapq.heappop(self.deadlines)
        times = []
        if self.deadlines:
            times.append(self.deadlines[0][0])
        if self._planned_evaluations:
            times.append(self._planned_evaluations[0][0])
        at = min(times, default=-1)
        if at >= 0 and not self._state.now < self._timer_at <= at:
            self._timer_at = at
            self._state.actions.append(SetTimer(EVALUATION_TIMER, max(0, at - self._state.now)))
