"""Order of waiting messages: by age times priority weight, with messages that have lost most of their value last."""

from __future__ import annotations

from math import log2

from scalefall.policy.settings import MessageClass
from scalefall.policy.state import EngineState, QueuedMessage

MIN_VALUE_FRACTION = 0.5  # fraction of its value below which a message is sent last, so as not to delay the others


class Priority:
    """Orders waiting messages."""

    def __init__(self, state: EngineState) -> None:
        """Start with no class."""
        self._state = state
        self._keeps_value_for: dict[str, int] = {}  # microseconds from submission by class, as of its last message

    def set_class(self, message_class: MessageClass) -> None:
        """Apply the current rules of a class."""
        self._keeps_value_for[message_class.name] = self._keeps_value_for_us(message_class)

    def key(self, message: QueuedMessage) -> tuple[bool, float]:
        """Return the sort key of a message; the lowest is sent first.

        A message with twice the weight is treated as if it had waited twice as long.
        """
        message_class = message.message_class
        age = self._state.now - message.due + message_class.deadline_us
        return (age >= self._keeps_value_for[message_class.name], -age * message_class.priority_weight)

    def _keeps_value_for_us(self, message_class: MessageClass) -> int:
        """Return the time from submission for which a message of the class keeps MIN_VALUE_FRACTION of its value."""
        objective, deadline = message_class.latency_objective_us, message_class.deadline_us
        if message_class.late_priority_weight >= MIN_VALUE_FRACTION:
            return deadline
        if self._state.settings.halves_after_objective:
            return min(deadline, int(objective * (1 - log2(MIN_VALUE_FRACTION))))
        return objective + int(
            (deadline - objective) * (1 - MIN_VALUE_FRACTION) / (1 - message_class.late_priority_weight)
        )
