"""Endpoint list of the engine: endpoints that are added, drained and removed, their routes, and polling."""

from __future__ import annotations

from scalefall.policy.actions import SetTimer
from scalefall.policy.events import Endpoint, EndpointListUpdate, EndpointStatus, LearnedRate, ListUpdateKind
from scalefall.policy.outcomes import OutcomeEvaluation
from scalefall.policy.pacing import Pacing
from scalefall.policy.schedule import Schedule
from scalefall.policy.state import EndpointState, EngineState, RouteState
from scalefall.policy.units import SECOND

POLL_TIMER = 2  # token of the timer for the next poll
# Polls are spread over this time for each sender: discovery serves them one by one, and fails those that wait too long.
POLL_SPREAD_PER_SENDER_US = SECOND // 5
# Latest poll as a multiple of poll_within_us, with a margin; the second from the second failed poll in a row, since
# four times poll_within_us are allowed after a failed poll.
POLL_DEADLINE_FACTORS = (0.9, 3.6)
MAX_POLL_DOUBLINGS = 4  # limit of the doublings of the poll spread, one for each failed poll
DESTINATION_RETENTION_US = 60 * SECOND  # time after which a destination without endpoints is dropped with its rate


class EndpointList:
    """Keeps the endpoints, routes and destinations of the state up to date."""

    def __init__(self, state: EngineState, schedule: Schedule, pacing: Pacing, evaluation: OutcomeEvaluation) -> None:
        """Start with no endpoint."""
        self._state = state
        self._schedule = schedule
        self._pacing = pacing
        self._evaluation = evaluation
        self._failed_polls = 0  # in a row

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an update of the list."""
        self._plan_poll(event.kind)
        if event.kind is ListUpdateKind.FAILED:
            return
        if event.kind is not ListUpdateKind.CHANGES:
            for state in self._state.endpoints.values():
                _remove(state)
        for endpoint in event.endpoints:
            self._update_endpoint(endpoint)
        for state in list(self._state.endpoints.values()):
            self.drop_if_unused(state)
        self._drop_unused_destinations()

    def _plan_poll(self, kind: ListUpdateKind) -> None:
        """Plan a poll after a failed one, or after the cached list; the time is random to spread the senders' polls."""
        settings = self._state.settings
        if kind is ListUpdateKind.FAILED:
            self._failed_polls = min(self._failed_polls + 1, MAX_POLL_DOUBLINGS)
        else:
            self._failed_polls = 0
            if kind is not ListUpdateKind.CACHED or not settings.polls_endpoint_list:
                return
        latest = settings.poll_within_us * POLL_DEADLINE_FACTORS[self._failed_polls > 1]
        spread_us = min(latest, POLL_SPREAD_PER_SENDER_US * settings.replica_count << self._failed_polls)
        self._state.actions.append(SetTimer(POLL_TIMER, int(spread_us * self._state.random.random())))

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        known = self._state.endpoints.get(endpoint.id)
        if known is not None and known.endpoint.destination != endpoint.destination:
            _remove(known)  # it moved to another destination, where it is a new endpoint
            self.drop_if_unused(known)
            known = None
        if known is None:
            known = self._state.endpoints[endpoint.id] = self._new_endpoint(endpoint)
        known.endpoint = endpoint
        known.ready = endpoint.status is EndpointStatus.READY
        known.removed = endpoint.status is EndpointStatus.GONE
        weights = self._state.settings.weights
        if weights in ("nominal", "rough"):
            known.route.reported_limit = endpoint.weight
        elif weights == "told" and known.ready:
            self._pacing.configure_limit(known.route, endpoint.weight)
        self._schedule.evaluate_in_step(self._state.destination(endpoint.destination))

    def _new_endpoint(self, endpoint: Endpoint) -> EndpointState:
        has_own_route = self._state.settings.route_per_endpoint.get(endpoint.kind)
        routes = self._state.destination(endpoint.destination).routes
        route = routes.setdefault(endpoint.id if has_own_route else "", RouteState())
        added = EndpointState(endpoint, route)
        route.endpoints.append(added)
        return added

    def drop_if_unused(self, endpoint: EndpointState) -> None:
        """Drop a removed endpoint without calls in flight or a pause in force, and its route if it has its own."""
        if not endpoint.removed or endpoint.attempts:
            return
        route, name = endpoint.route, endpoint.endpoint.id
        pause_until = route.retry_after_until
        if route.slow_start.consecutive_failures:
            warming_until = route.slow_start.last_failure_at + self._state.settings.slow_start_us
            pause_until = max(pause_until, warming_until)
        if pause_until > self._state.now:
            return
        route.endpoints.remove(endpoint)
        if self._state.endpoints.get(name) is endpoint:
            del self._state.endpoints[name]
        self._evaluation.remove_endpoint(name)
        destination = self._state.destinations[endpoint.endpoint.destination]
        destination.routes.pop(name, None)
        destination.unused_since = self._state.now

    def _drop_unused_destinations(self) -> None:
        oldest = self._state.now - DESTINATION_RETENTION_US
        for number, destination in list(self._state.destinations.items()):
            if destination.unused_since < oldest and not self._is_needed(number):
                del self._state.destinations[number]

    def _is_needed(self, number: int) -> bool:
        if any(route.endpoints for route in self._state.destinations[number].routes.values()):
            return True
        if number in self._schedule.step_destinations or number in self._schedule.waiting_for_slot:
            return True
        return any(message.destination.number == number for message in self._state.messages.values())

    def restore_rate(self, event: LearnedRate) -> None:
        """Apply a learned rate; without it, a destination that is down at a restart would restart at almost no rate."""
        destination = self._state.destinations.get(event.destination)
        route = destination.routes.get(event.route) if destination else None
        if route is not None:
            route.learned_rate = event.own_rate
            route.reported_limit = route.reported_limit or event.limit

    def learned_rates(self) -> list[LearnedRate]:
        """Return the learned rate of each route for a later process."""
        return [
            LearnedRate(destination.number, name, self._lasting_rate(route), route.reported_limit)
            for destination in self._state.destinations.values()
            for name, route in destination.routes.items()
        ]

    def _lasting_rate(self, route: RouteState) -> float:
        slow_start = route.slow_start
        return slow_start.own_rate if slow_start.consecutive_failures else self._pacing.own_rate(route)


def _remove(endpoint: EndpointState) -> None:
    endpoint.ready = False
    endpoint.removed = True
