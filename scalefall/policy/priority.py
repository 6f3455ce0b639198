"""Which waiting message goes first: the oldest by its weight, and what has lost most of its value last."""

from __future__ import annotations

from math import log2

from scalefall.policy.settings import MessageClass
from scalefall.policy.state import EngineState, QueuedMessage

MIN_VALUE_SHARE = 0.5  # a message that has lost more than this share of its value goes behind: it would make all late


class Priority:
    """Orders waiting messages."""

    def __init__(self, state: EngineState) -> None:
        """Start with no class known."""
        self._state = state
        self._keeps_value_for: dict[str, int] = {}  # microseconds by class, as when a message of it last came

    def set_class(self, message_class: MessageClass) -> None:
        """Take a class's rules as they are at present."""
        self._keeps_value_for[message_class.name] = self._keeps_value_for_us(message_class)

    def key(self, message: QueuedMessage) -> tuple[bool, float]:
        """Return what to sort messages by, the first to go out first.

        One with twice the weight goes as if it had waited twice as long.
        """
        message_class = message.message_class
        age = self._state.now - message.due + message_class.deadline_us
        return (age >= self._keeps_value_for[message_class.name], -age * message_class.priority_weight)

    def _keeps_value_for_us(self, message_class: MessageClass) -> int:
        """Return how long after it was handed in a message of the class keeps MIN_VALUE_SHARE of its value."""
        objective, deadline = message_class.latency_objective_us, message_class.deadline_us
        if message_class.late_priority_weight >= MIN_VALUE_SHARE:
            return deadline
        if self._state.settings.halves_after_objective:
            return min(deadline, int(objective * (1 - log2(MIN_VALUE_SHARE))))
        return objective + int(
            (deadline - objective) * (1 - MIN_VALUE_SHARE) / (1 - message_class.late_priority_weight)
        )
