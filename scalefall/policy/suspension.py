"""Suspension of sending: no call starts while the endpoint list may lack changes, but to endpoints that are excepted.

Messages wait meanwhile, and keep their deadlines. How long a suspension lasts is not known; it is expected to last as
long again as it has lasted so far.
"""

from __future__ import annotations

from scalefall.policy.events import EndpointListUnconfirmed
from scalefall.policy.pacing import Pacing
from scalefall.policy.schedule import Schedule
from scalefall.policy.state import DestinationState, EngineState
from scalefall.policy.units import SECOND

RELEASE_MULTIPLE = 2.0  # of the rate at which waiting messages arrived: the rate of their release
MIN_PACED_US = SECOND  # what a shorter suspension held back is released without a limit
# Many senders may resume at once. Those with few messages spread their first calls over this time for each sender.
SPREAD_PER_SENDER_US = SECOND // 80
MAX_SPREAD_US = 2 * SECOND


class Suspension:
    """Suspends all sends, and resumes them without a burst."""

    def __init__(self, state: EngineState, schedule: Schedule, pacing: Pacing) -> None:
        """Start without a suspension."""
        self._state = state
        self._schedule = schedule
        self._pacing = pacing
        self._began_at = 0  # of the suspension in force, or of the last one

    def begin(self, event: EndpointListUnconfirmed) -> None:
        """Let no call start from now on, but to endpoints that are excepted."""
        if self._state.suspended_since < 0:
            self._state.suspended_since = event.since_us
            self._began_at = self._state.now
        self._state.usable = event.usable
        for destination in self._waiting_destinations():
            self._schedule.evaluate_in_step(destination)

    def end(self) -> None:
        """Let the waiting messages be sent, limited by what the destinations usually get."""
        state = self._state
        if state.suspended_since < 0:
            return
        held_us = state.now - self._began_at
        for destination in self._waiting_destinations():
            self._schedule.evaluate_in_step(destination)
            if held_us >= MIN_PACED_US and not self._has_usable_endpoint(destination):
                self._limit_release(destination, held_us)
        state.suspended_since = -1
        state.usable = frozenset()

    def expected_us(self, destination: DestinationState) -> int:
        """Return how long a destination is expected to get no calls from now on; 0 if it gets them."""
        state = self._state
        if state.suspended_since < 0 or self._has_usable_endpoint(destination):
            return 0
        return state.now - state.suspended_since

    def _waiting_destinations(self) -> list[DestinationState]:
        return [destination for destination in self._state.destinations.values() if destination.waiting]

    def _has_usable_endpoint(self, destination: DestinationState) -> bool:
        usable = self._state.usable
        return bool(usable) and any(
            endpoint.endpoint.id in usable for route in destination.routes.values() for endpoint in route.endpoints
        )

    def _limit_release(self, destination: DestinationState, held_us: int) -> None:
        arrived_per_s = len(destination.waiting) * SECOND / held_us
        spread_us = min(MAX_SPREAD_US, self._state.settings.replica_count * SPREAD_PER_SENDER_US)
        calls_per_s = max(RELEASE_MULTIPLE * arrived_per_s, SECOND / spread_us)
        for route in destination.routes.values():
            self._pacing.limit_release(route, calls_per_s / len(destination.routes))
