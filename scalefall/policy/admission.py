"""LMAC: a message is admitted only if its class and all others on a route keep their delay targets with it.

What is not admitted waits, and is shed once more waits than the destination can serve in time.
"""

from __future__ import annotations

from scalefall.policy.envelope import WINDOW_US, Envelope
from scalefall.policy.pacing import Pacing
from scalefall.policy.settings import MessageClass
from scalefall.policy.state import EngineState, QueuedMessage, RouteState

DEADLINE_MARGIN_SHARE = 0.1  # share of the deadline that the delay target keeps back
MIN_WAITING_MESSAGES = 4  # messages that a destination may always have waiting


class Admission:
    """Admits messages, and bounds how many may wait."""

    def __init__(self, state: EngineState, pacing: Pacing) -> None:
        """Start with no figures for any class."""
        self._state = state
        self._pacing = pacing
        self._class_envelopes: dict[str, Envelope] = {}  # each class over all routes
        self._targets: dict[str, int] = {}  # delay target by class, as when a message of it last came

    def set_target(self, message_class: MessageClass) -> None:
        """Take a class's delay target from its present rules."""
        self._targets[message_class.name] = int(message_class.deadline_us * (1 - DEADLINE_MARGIN_SHARE))

    def admit(self, message: QueuedMessage) -> bool:
        """Return whether the message is admitted now or was before, trying the routes with the fewest calls first."""
        if message.admitted:
            return True
        name = message.message_class.name
        routes = message.destination.routes.values()
        for route in sorted(routes, key=RouteState.calls_in_flight):
            own = self.envelope(route, name)
            if self._all_meet_targets(route, own, self._targets[name]):
                own.record_admission(self._state.now)
                message.admitted = True
                return True
        return False

    def _all_meet_targets(self, route: RouteState, own: Envelope, own_target_us: int) -> bool:
        """Apply the test to one more message of a class on the route, for it and for each other class there."""
        now = self._state.now
        for name, envelope in route.envelopes.items():
            envelope.advance(now)
            if envelope is own:
                is_met = own.meets_target(own_target_us, 1.0)
            else:
                is_met = envelope.meets_target(self._targets[name], 1.0, own_target_us)
            if not is_met:
                return False
        return True

    def envelope(self, route: RouteState, name: str) -> Envelope:
        """Return the envelopes of a class on a route, new ones if it is the first time."""
        found = route.envelopes.get(name)
        if found is None:
            found = route.envelopes[name] = Envelope(self._class_envelope(name))
        return found

    def _class_envelope(self, name: str) -> Envelope:
        return self._class_envelopes.setdefault(name, Envelope())

    def max_waiting(self, message: QueuedMessage) -> float:
        """Return how many messages may wait at the message's destination, with it.

        None may hold more than is left free: one that hangs would fill all capacity, and a burst is shed early too.
        What is not admitted waits only as far as the destination can serve in time.
        """
        free = self._state.settings.max_queued - len(self._state.messages)
        if message.admitted:
            return free
        served = sum(map(self._pacing.count_served, message.destination.routes.values()))
        in_time = served * self._targets[message.message_class.name] / WINDOW_US
        return min(max(MIN_WAITING_MESSAGES, in_time), free)

    def mean_us(self, message: QueuedMessage) -> int:
        """Return the mean time to serve a message of its class on the fastest route; 0 if none is known."""
        name = message.message_class.name
        routes = message.destination.routes.values()
        return int(min((route.envelopes[name].mean_us() for route in routes if name in route.envelopes), default=0.0))
