"""Messages with an ordering key go out one after another, with a rest after an attempt that may have run."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from scalefall.policy.events import Outcome
from scalefall.policy.retry import MAY_HAVE_RUN
from scalefall.policy.schedule import Schedule
from scalefall.policy.state import EngineState, QueuedMessage


@dataclass(slots=True, eq=False)
class OrderingQueue:
    """The messages with one ordering key."""

    message_ids: deque[str] = field(default_factory=deque)  # in order of arrival
    in_flight: bool = False
    gap_ends_at: int = 0
    gap_exempt: str = ""  # the message that the gap does not hold for: its own next attempt


class Ordering:
    """Decides whose turn it is within each ordering key."""

    def __init__(self, state: EngineState, schedule: Schedule) -> None:
        """Start with no key in use."""
        self._state = state
        self._schedule = schedule
        self.queues: dict[str, OrderingQueue] = {}

    def add(self, message: QueuedMessage) -> None:
        """Queue a message behind those with the same key, if it has one."""
        if message.ordering_key is not None:
            self.queues.setdefault(message.ordering_key, OrderingQueue()).message_ids.append(message.id)

    def is_first(self, message: QueuedMessage) -> bool:
        """Return whether the message may go out now as far as its key is concerned."""
        if message.ordering_key is None:
            return True
        queue = self.queues[message.ordering_key]
        if queue.message_ids[0] != message.id or queue.in_flight:
            return False
        return queue.gap_ends_at <= self._state.now or queue.gap_exempt == message.id

    def record_send(self, message: QueuedMessage) -> None:
        """Hold back what is behind the message while it is in flight."""
        if message.ordering_key is not None:
            self.queues[message.ordering_key].in_flight = True

    def record_outcome(self, message: QueuedMessage, outcome: Outcome) -> None:
        """Let the key go on, after a rest if the attempt may have run."""
        if message.ordering_key is None:
            return
        queue = self.queues[message.ordering_key]
        queue.in_flight = False
        if outcome in MAY_HAVE_RUN:
            queue.gap_ends_at = self._state.now + self._state.settings.ordering_gap_us
            queue.gap_exempt = message.id
        self._advance(message.ordering_key, queue)

    def remove(self, message: QueuedMessage) -> None:
        """Take a message with a final answer out of its key."""
        if message.ordering_key is not None:
            queue = self.queues[message.ordering_key]
            queue.message_ids.remove(message.id)
            self._advance(message.ordering_key, queue)

    def _advance(self, key: str, queue: OrderingQueue) -> None:
        """Have the key's next message evaluated, or forget a key that is no longer needed."""
        now = self._state.now
        following = self._state.messages.get(queue.message_ids[0]) if queue.message_ids else None
        if following is not None:
            self._schedule.evaluate_in_step(following.destination)
            if queue.gap_ends_at > now:
                self._schedule.evaluate_at(queue.gap_ends_at, following.destination)
        elif not queue.in_flight and queue.gap_ends_at <= now:
            del self.queues[key]
