"""Ordering queues: messages with one ordering key are sent one by one, with a pause after one that may have run."""

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
    gap_exempt: str = ""  # id of the message whose own next attempt need not wait for the gap


class Ordering:
    """Decides which message of each ordering key may be sent."""

    def __init__(self, state: EngineState, schedule: Schedule) -> None:
        """Start with no key in use."""
        self._state = state
        self._schedule = schedule
        self.queues: dict[str, OrderingQueue] = {}
        self._pausing: deque[tuple[int, str]] = deque()  # ends of the gaps of empty queues, and their keys

    def add(self, message: QueuedMessage) -> None:
        """Append a message with an ordering key to its queue."""
        if message.ordering_key is not None:
            self._drop_expired()
            self.queues.setdefault(message.ordering_key, OrderingQueue()).message_ids.append(message.id)

    def is_first(self, message: QueuedMessage) -> bool:
        """Return whether its ordering key allows the message to be sent now."""
        if message.ordering_key is None:
            return True
        queue = self.queues[message.ordering_key]
        if queue.message_ids[0] != message.id or queue.in_flight:
            return False
        return queue.gap_ends_at <= self._state.now or queue.gap_exempt == message.id

    def record_send(self, message: QueuedMessage) -> None:
        """Block the rest of the queue while the message is in flight."""
        if message.ordering_key is not None:
            self.queues[message.ordering_key].in_flight = True

    def record_outcome(self, message: QueuedMessage, outcome: Outcome) -> None:
        """Unblock the queue, after a gap if the attempt may have run."""
        if message.ordering_key is None:
            return
        queue = self.queues[message.ordering_key]
        queue.in_flight = False
        if outcome in MAY_HAVE_RUN:
            queue.gap_ends_at = self._state.now + self._state.settings.ordering_gap_us
            queue.gap_exempt = message.id
        self._advance(message.ordering_key, queue)

    def remove(self, message: QueuedMessage) -> None:
        """Remove a message with a final answer from its queue."""
        if message.ordering_key is not None:
            queue = self.queues[message.ordering_key]
            queue.message_ids.remove(message.id)
            self._advance(message.ordering_key, queue)

    def _advance(self, key: str, queue: OrderingQueue) -> None:
        """Have the next message of the queue evaluated, or drop a queue that is no longer needed."""
        now = self._state.now
        following = self._state.messages.get(queue.message_ids[0]) if queue.message_ids else None
        if following is not None:
            self._schedule.evaluate_in_step(following.destination)
            if queue.gap_ends_at > now:
                self._schedule.evaluate_at(queue.gap_ends_at, following.destination)
        elif queue.in_flight:
            return
        elif queue.gap_ends_at <= now:
            del self.queues[key]
        else:
            self._pausing.append((queue.gap_ends_at, key))

    def _drop_expired(self) -> None:
        """Drop the empty queues whose gap has ended, as keys may be new all the time."""
        while self._pausing and self._pausing[0][0] <= self._state.now:
            queue = self.queues.get(key := self._pausing.popleft()[1])
            if queue and not queue.message_ids and not queue.in_flight and queue.gap_ends_at <= self._state.now:
                del self.queues[key]
