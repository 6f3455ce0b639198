"""The one final answer that each message gets: delivered, shed (a repeat does no harm), or failed."""

from __future__ import annotations

from scalefall.policy.actions import Fail, Shed
from scalefall.policy.admission import Admission
from scalefall.policy.ordering import Ordering
from scalefall.policy.schedule import Schedule
from scalefall.policy.settings import Idempotency
from scalefall.policy.state import EngineState, QueuedMessage


class FinalAnswers:
    """Gives messages up in time, and forgets those that have their answer."""

    def __init__(self, state: EngineState, schedule: Schedule, admission: Admission, ordering: Ordering) -> None:
        """Answer for the messages of this state."""
        self._state = state
        self._schedule = schedule
        self._admission = admission
        self._ordering = ordering

    def answer_late(self) -> None:
        """Give up what can no longer be delivered in time."""
        while (message := self._schedule.pop_due()) is not None:
            if self.is_late(message):
                self.give_up(message)
            else:
                self.plan_deadline_check(message)

    def plan_deadline_check(self, message: QueuedMessage) -> None:
        """Have the message looked at again when it is late, as far as can be told now."""
        self._schedule.plan_deadline_check(message, self._late_at(message))

    def is_late(self, message: QueuedMessage) -> bool:
        """Return whether no attempt that is begun now can be of use."""
        return self._late_at(message) <= self._state.now

    def _late_at(self, message: QueuedMessage) -> int:
        """Return when it is due; while it waits, less its mean service time; or when its key's time is up."""
        if message.attempt is not None:
            return message.due
        late_at = message.due - self._admission.mean_us(message)
        if message.may_have_run_at >= 0 and message.message_class.idempotency is Idempotency.WITH_KEY:
            key_expires = message.may_have_run_at + message.message_class.key_ttl_us
            late_at = min(late_at, key_expires - self._state.settings.tick_us + 1)
        return late_at

    def give_up(self, message: QueuedMessage) -> None:
        """Shed the message if a repeat does no harm; otherwise it has failed."""
        if self._repeat_is_harmless(message):
            self.shed(message)
        else:
            self._state.actions.append(Fail(message.id))
            self.remove(message)

    def _repeat_is_harmless(self, message: QueuedMessage) -> bool:
        if message.attempt is not None:
            return False
        message_class = message.message_class
        if message.may_have_run_at < 0 or message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return message_class.idempotency is Idempotency.WITH_KEY and not message_class.key_scope_zone

    def withdraw(self, message_id: str) -> None:
        """Drop a message that its client withdrew, unless it has its final answer already."""
        message = self._state.messages.get(message_id)
        if message is not None:
            self.remove(message)

    def shed(self, message: QueuedMessage) -> None:
        """Hand the message back undelivered, to be retried after the mean service time."""
        self._state.actions.append(Shed(message.id, self._admission.mean_us(message)))
        self.remove(message)

    def remove(self, message: QueuedMessage) -> None:
        """Drop a message that has its final answer."""
        del self._state.messages[message.id]
        message.destination.waiting.pop(message.id, None)
        self._ordering.remove(message)
