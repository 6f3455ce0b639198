"""Events on their way to the engine, gathered between two steps."""

from __future__ import annotations

from collections.abc import Callable

from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import Event


class EventQueue:
    """Gathers events, and has one step run for all that come within one tick.

    The first event after a step plans the next step for the end of the current tick. Events keep the order in which
    they were gathered.
    """

    def __init__(self, scheduler: Scheduler, tick_us: int) -> None:
        """Start empty.

        Args:
            scheduler: Runs the step when its tick has ended.
            tick_us: Length of a tick in microseconds, from the settings.
        """
        self._scheduler = scheduler
        self._tick_us = max(1, tick_us)
        self._events: list[Event] = []
        self._step_planned = False
        self._step: Callable[[], None] = _nothing_connected

    def connect(self, step: Callable[[], None]) -> None:
        """Name the step that takes the events; once, before the first event is gathered."""
        self._step = step

    def gather(self, event: Event) -> None:
        """Add an event for the next step, and plan that step if none is planned."""
        self._events.append(event)
        if not self._step_planned:
            self._step_planned = True
            tick_us = self._tick_us
            self._scheduler.call_at((self._scheduler.now() // tick_us + 1) * tick_us, self._step)

    def step_now(self) -> None:
        """Run the step at once, on what has been gathered so far."""
        self._step()

    def take_all(self) -> list[Event]:
        """Return all gathered events and start anew; for the step alone."""
        self._step_planned = False
        events, self._events = self._events, []
        return events


def _nothing_connected() -> None:
    """Stand in for the step until one is connected."""
    raise RuntimeError("events were gathered before a step was connected")
