"""Queue of the events for the engine's next step."""

from __future__ import annotations

from collections.abc import Callable

from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import Event, Message


class EventQueue:
    """Gathers events, and runs one step for all events of a tick.

    The first event after a step schedules the next step for the end of the current tick. Events keep their order.
    """

    def __init__(self, scheduler: Scheduler, tick_us: int) -> None:
        """Start empty.

        Args:
            scheduler: Runs the step at the end of the tick.
            tick_us: The length of a tick in microseconds, from the settings.
        """
        self._scheduler = scheduler
        self._tick_us = max(1, tick_us)
        self._events: list[Event] = []
        self._step_scheduled = False
        self._step: Callable[[], None] = _step_not_connected

    def connect(self, step: Callable[[], None]) -> None:
        """Set the step that takes the events; call once, before the first event is gathered."""
        self._step = step

    def gather(self, event: Event) -> None:
        """Add an event for the next step, and schedule that step if none is scheduled."""
        self._events.append(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            tick_us = self._tick_us
            self._scheduler.call_at((self._scheduler.now() // tick_us + 1) * tick_us, self._step)

    def remove_message(self, message_id: str) -> bool:
        """Remove the event of a submitted message that no step has taken yet, and return whether there was one."""
        for index, event in enumerate(self._events):
            if isinstance(event, Message) and event.id == message_id and not event.restored:
                del self._events[index]
                return True
        return False

    def step_now(self) -> None:
        """Run the step at once, on the events gathered so far."""
        self._step()

    def take_all(self) -> list[Event]:
        """Return all gathered events and empty the queue; only the step may call this."""
        self._step_scheduled = False
        events, self._events = self._events, []
        return events


def _step_not_connected() -> None:
    """Raise an error: stands in for the step until one is connected."""
    raise RuntimeError("event queue has no step: call connect before the first event is gathered")
