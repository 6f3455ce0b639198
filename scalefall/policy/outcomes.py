"""Evaluation of call outcomes for their endpoint and route: limits, overload, failures, connection limits."""

from __future__ import annotations

from scalefall.policy.events import AttemptFinished, EndpointReport, Outcome
from scalefall.policy.pacing import Pacing
from scalefall.policy.slow_start import OutlierDetection
from scalefall.policy.state import Attempt, EndpointState, EngineState, RouteState
from scalefall.policy.units import SECOND

# An endpoint that rejects a connection within this time of a success has reached its connection limit.
CONNECTION_CAP_WINDOW_US = 2 * SECOND
LIMIT_FIELD = "x1"  # field of a load report: the route's limit in calls a second for all senders
UNUSED_FIELD = "x0"  # field of a load report: unused fraction of that limit
NO_FAULT = (Outcome.OK, Outcome.NOT_SENT, Outcome.CONNECTIONS_EXHAUSTED)  # outcomes that are not endpoint failures


class OutcomeEvaluation:
    """Evaluates the outcomes of calls, including those that proxies made under grants."""

    def __init__(self, state: EngineState, pacing: Pacing, outliers: OutlierDetection) -> None:
        """Evaluate calls to the endpoints of this state."""
        self._state = state
        self._pacing = pacing
        self._outliers = outliers
        self._connection_cap_until: dict[str, int] = {}  # by endpoint; idle connections are closed until then

    def evaluate(self, attempt: Attempt, event: AttemptFinished | EndpointReport) -> None:
        """Update the limit, the rate and the slow starts of the endpoint and its route from a call's outcome."""
        endpoint, outcome = attempt.endpoint, event.outcome
        route = endpoint.route
        if event.load_report.get(LIMIT_FIELD):
            self._apply_limit(endpoint, event.load_report)
        if outcome is Outcome.OK:
            self._pacing.record_served(route)
            self._outliers.record_success(endpoint.slow_start)
            self._outliers.record_success(route.slow_start)
            return
        if outcome is Outcome.OVERLOADED and attempt.sent_at >= route.decreased_at:
            self._pacing.decrease(route)
        elif outcome is Outcome.CONNECT_FAILED:
            self._record_rejected_connection(endpoint)
        if outcome not in NO_FAULT and not self._is_above_limit(route, event):
            self._outliers.record_failure(attempt, event.retry_after_us)

    def _record_rejected_connection(self, endpoint: EndpointState) -> None:
        now = self._state.now
        if endpoint.slow_start.last_success_at >= max(0, now - CONNECTION_CAP_WINDOW_US):
            self._connection_cap_until[endpoint.endpoint.id] = now + CONNECTION_CAP_WINDOW_US

    def _apply_limit(self, endpoint: EndpointState, load_report: dict[str, float]) -> None:
        batches = self._state.settings.messages_per_call.get(endpoint.endpoint.kind, 1) != 1
        unused = load_report.get(UNUSED_FIELD, 0.0)
        self._pacing.report_limit(endpoint.route, load_report[LIMIT_FIELD], unused, batches)

    def _is_above_limit(self, route: RouteState, event: AttemptFinished | EndpointReport) -> bool:
        """Return whether a call was rejected for exceeding a known limit, which is no sign of an outage.

        A destination above its limit demands a Retry-After of at most the rest of its overload window.
        """
        if event.outcome is not Outcome.OVERLOADED or route.reported_limit <= 0:
            return False
        return 0 < event.retry_after_us <= self._state.settings.overload_window_us

    def evaluate_endpoint_report(self, event: EndpointReport) -> None:
        """Count and evaluate a call that a proxy made under a grant like a call of this sender."""
        endpoint = self._state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        route = endpoint.route
        self._pacing.record_call(route)
        self._pacing.refill(route)  # a rate that was cut grows with the calls that it allows
        route.retry_after_until = max(route.retry_after_until, self._state.now + event.retry_after_us)
        self.evaluate(Attempt(endpoint, event.sent_us), event)

    def has_too_many_connections(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint serves but recently rejected a connection, so that idle ones are closed."""
        return self._connection_cap_until.get(endpoint.endpoint.id, 0) > self._state.now

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        self._connection_cap_until.pop(endpoint_id, None)
