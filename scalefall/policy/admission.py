"""LMAC admission: a message is admitted only if its class and all others on a route keep their delay targets.

Other messages wait, and are shed once more of them wait than the destination can serve in time.
"""

from __future__ import annotations

from scalefall.policy.envelope import WINDOW_US, Envelope
from scalefall.policy.pacing import Pacing
from scalefall.policy.settings import MessageClass
from scalefall.policy.state import EngineState, QueuedMessage, RouteState

DEADLINE_MARGIN_FRACTION = 0.1  # fraction of the deadline by which the delay target is shorter
MIN_WAITING_MESSAGES = 4  # messages that may always wait for a destination


class Admission:
    """Admits messages, and bounds the number of those that wait."""

    def __init__(self, state: EngineState, pacing: Pacing) -> None:
        """Start with no figures for any class."""
        self._state = state
        self._pacing = pacing
        self._class_envelopes: dict[str, Envelope] = {}  # figures of each class over all routes
        self._targets: dict[str, int] = {}  # delay target by class, as of its last message

    def set_target(self, message_class: MessageClass) -> None:
        """Set a class's delay target from its current rules."""
        self._targets[message_class.name] = int(message_class.deadline_us * (1 - DEADLINE_MARGIN_FRACTION))

    def admit(self, message: QueuedMessage) -> bool:
        """Return whether the message is admitted, now or earlier; routes with the fewest calls are tried first."""
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
        """Return whether all classes of the route keep their targets with one more message of a class."""
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
        """Return the envelopes of a class on a route, created on first use."""
        found = route.envelopes.get(name)
        if found is None:
            found = route.envelopes[name] = Envelope(self._class_envelope(name))
        return found

    def _class_envelope(self, name: str) -> Envelope:
        return self._class_envelopes.setdefault(name, Envelope())

    def max_waiting(self, message: QueuedMessage) -> float:
        """Return how many messages may wait for the message's destination, including this one.

        A destination may use at most the capacity that is free: one that hangs would otherwise fill it all. Bursts are
        shed earlier as a result. Messages that are not admitted are also bounded by what can be served in time.
        """
        free = self._state.settings.max_queued - len(self._state.messages)
        if message.admitted:
            return free
        served = sum(map(self._pacing.count_served, message.destination.routes.values()))
        in_time = served * self._targets[message.message_class.name] / WINDOW_US
        return min(max(MIN_WAITING_MESSAGES, in_time), free)

    def mean_us(self, message: QueuedMessage) -> int:
        """Return the mean time to serve a message of its class on the fastest route; 0 if it is unknown."""
        name = message.message_class.name
        routes = message.destination.routes.values()
        return int(min((route.envelopes[name].mean_us() for route in routes if name in route.envelopes), default=0.0))
