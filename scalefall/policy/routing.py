"""Choice of the endpoint for a message: of those that may get a call now, the one with the fewest calls in flight."""

from __future__ import annotations

from math import ceil, inf

from scalefall.policy.admission import Admission
from scalefall.policy.attempts import Attempts
from scalefall.policy.envelope import BIN_US
from scalefall.policy.pacing import Pacing
from scalefall.policy.retry import expected_us
from scalefall.policy.schedule import Schedule
from scalefall.policy.slow_start import OutlierDetection
from scalefall.policy.state import EndpointState, EngineState, QueuedMessage, RouteState
from scalefall.policy.units import SECOND


class Routing:
    """Chooses endpoints, and computes when a route may get its next call."""

    def __init__(
        self,
        state: EngineState,
        schedule: Schedule,
        admission: Admission,
        pacing: Pacing,
        outliers: OutlierDetection,
        attempts: Attempts,
    ) -> None:
        """Choose among the endpoints of this state."""
        self._state = state
        self._schedule = schedule
        self._admission = admission
        self._pacing = pacing
        self._outliers = outliers
        self._attempts = attempts

    def choose(self, message: QueuedMessage) -> EndpointState | None:
        """Return the endpoint for the message's next attempt, or None if none may get it now.

        A call of this step that can carry another message is preferred.
        """
        now = self._state.now
        candidates: list[EndpointState] = []
        for route in message.destination.routes.values():
            if route.retry_after_until > now or not self._ends_in_time(route, message):
                continue
            for endpoint in route.endpoints:
                if not self._state.may_use(endpoint):
                    continue
                if message.required_zone and endpoint.endpoint.zone != message.required_zone:
                    continue
                if self._attempts.joinable(message, endpoint):
                    return endpoint
                self._outliers.record_overdue(endpoint)
                if self._may_call(route, endpoint):
                    candidates.append(endpoint)
        return min(candidates, key=self._rank, default=None)

    def _ends_in_time(self, route: RouteState, message: QueuedMessage) -> bool:
        """Return whether a call is expected to end before the process exits; one in flight then may have run."""
        if self._state.ends_at == inf:
            return True
        envelope = self._admission.envelope(route, message.message_class.name)
        return self._state.now + expected_us(envelope, message.message_class) <= self._state.ends_at

    def _rank(self, endpoint: EndpointState) -> tuple[bool, int, bool, float, float]:
        """Return the sort key of a candidate, the best first.

        Ties are broken at random: in the order of the list all senders would choose the same endpoint.
        """
        slow_start = endpoint.slow_start
        is_pausing = slow_start.consecutive_failures > 0 and slow_start.next_attempt_at > self._state.now
        return (
            is_pausing,
            len(endpoint.attempts),
            endpoint.route.rate < inf,
            self._state.settings.zone_cost.get(endpoint.endpoint.zone, 0.0),
            self._state.random.random(),
        )

    def _may_call(self, route: RouteState, endpoint: EndpointState) -> bool:
        """Return whether call slots, the endpoint's call limit, the slow start and the rate limit allow a call now.

        A route may use at most as many slots as are free; a route that hangs would otherwise use all of them.
        """
        state = self._state
        free = state.settings.call_slots - state.calls_in_flight
        if free <= 0 or route.calls_in_flight() >= max(1, free):
            destination = state.destinations[endpoint.endpoint.destination]
            self._schedule.waiting_for_slot[destination.number] = destination
            return False
        if 0 < endpoint.endpoint.max_calls <= len(endpoint.attempts):
            return False
        slow_start = self._outliers.slow_start_in_force(route, endpoint)
        if slow_start.consecutive_failures and slow_start.next_attempt_at > state.now:
            return False
        return self._pacing.refill(route) >= 1

    def next_call_at(self, route: RouteState) -> float:
        """Return when the route may allow a call if no event comes before; BIN_US from now if that is unknown."""
        now = self._state.now
        if not any(map(self._state.may_use, route.endpoints)):
            return inf
        if route.retry_after_until > now:
            return route.retry_after_until
        times = self._slow_start_times(route)
        if self._pacing.refill(route) < 1:
            times.append(now + ceil((1 - route.tokens) * SECOND / route.rate))
        return min((at for at in times if at > now), default=now + BIN_US)

    def _slow_start_times(self, route: RouteState) -> list[int]:
        """Return when the slow starts in force allow the next call, and when they end."""
        if route.slow_start.consecutive_failures:
            in_force = [route.slow_start]
        else:
            slow_starts = (endpoint.slow_start for endpoint in route.endpoints)
            in_force = [slow_start for slow_start in slow_starts if slow_start.consecutive_failures]
        duration_us = self._state.settings.slow_start_us
        return [at for one in in_force for at in (one.next_attempt_at, one.warming_since + duration_us)]
