"""Final answers: each message is delivered, shed (safe to send again) or failed, exactly once."""

from __future__ import annotations

from scalefall.policy.actions import Fail, Shed
from scalefall.policy.admission import Admission
from scalefall.policy.ordering import Ordering
from scalefall.policy.schedule import Schedule
from scalefall.policy.settings import Idempotency
from scalefall.policy.state import EngineState, QueuedMessage
from scalefall.policy.suspension import Suspension


class FinalAnswers:
    """Gives messages up in time, and removes those with a final answer."""

    def __init__(
        self,
        state: EngineState,
        schedule: Schedule,
        admission: Admission,
        ordering: Ordering,
        suspension: Suspension,
    ) -> None:
        """Answer for the messages of this state."""
        self._state = state
        self._schedule = schedule
        self._admission = admission
        self._ordering = ordering
        self._suspension = suspension

    def answer_late(self) -> None:
        """Give up messages that can no longer be delivered in time."""
        while (message := self._schedule.pop_due()) is not None:
            if self.is_late(message):
                self.give_up(message)
            else:
                self.plan_deadline_check(message)

    def plan_deadline_check(self, message: QueuedMessage) -> None:
        """Plan the check of the message at the time when it will be late by current figures."""
        self._schedule.plan_deadline_check(message, self._late_at(message))

    def is_late(self, message: QueuedMessage) -> bool:
        """Return whether an attempt that starts now is too late."""
        return self._late_at(message) <= self._state.now

    def outlasts_suspension(self, message: QueuedMessage) -> bool:
        """Return whether an attempt at the message is in time after the expected end of the suspension of sending."""
        return self._late_at(message) > self._state.now + self._suspension.expected_us(message.destination)

    def _late_at(self, message: QueuedMessage) -> int:
        """Return when the message is late.

        In flight, that is when it is due. While it waits, it is earlier by the mean service time, and not after the
        expiry of its idempotency key.
        """
        if message.attempt is not None:
            return message.due
        late_at = message.due - self._admission.mean_us(message)
        if message.may_have_run_at >= 0 and message.message_class.idempotency is Idempotency.WITH_KEY:
            key_expires = message.may_have_run_at + message.message_class.key_ttl_us
            late_at = min(late_at, key_expires - self._state.settings.tick_us + 1)
        return late_at

    def give_up(self, message: QueuedMessage) -> None:
        """Shed the message if it is safe to send it again; otherwise fail it."""
        if self._is_safe_to_repeat(message):
            self.shed(message)
        else:
            self._state.actions.append(Fail(message.id))
            self.remove(message)

    def _is_safe_to_repeat(self, message: QueuedMessage) -> bool:
        if message.attempt is not None:
            return False
        message_class = message.message_class
        if message.may_have_run_at < 0 or message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return message_class.idempotency is Idempotency.WITH_KEY and not message_class.key_scope_zone

    def withdraw(self, message_id: str) -> None:
        """Remove a message that its client withdrew, unless it already has its final answer."""
        message = self._state.messages.get(message_id)
        if message is not None:
            self.remove(message)

    def shed(self, message: QueuedMessage) -> None:
        """Answer that the message was given up, and may be retried after the mean service time or the suspension."""
        suspension_us = self._suspension.expected_us(message.destination)
        suspension_us = min(suspension_us, self._state.settings.max_retry_after_us)
        self._state.actions.append(Shed(message.id, max(self._admission.mean_us(message), suspension_us)))
        self.remove(message)

    def remove(self, message: QueuedMessage) -> None:
        """Remove a message that has its final answer."""
        del self._state.messages[message.id]
        message.destination.waiting.pop(message.id, None)
        self._ordering.remove(message)
