"""Outlier detection and slow start: limits calls to a route or an endpoint from its failures until it is warm again.

A recovering destination accepts only a fraction of its limit, which grows while it warms up. It is overloaded when the
calls within an overload window exceed its overload threshold: overload_multiple times what it accepts in that time. The
overload rule is broken at the first overload of a recovering destination of which over two thirds of the calls came
from senders that had been notified of the failure (that have "seen" it, by the outcome of a call of their own). Senders
share no state, so each has a budget of its own once it has seen failures. A call is subject to two slow starts: its
endpoint's and its route's.
"""

from __future__ import annotations

from math import inf

from scalefall.policy.actions import LogLine
from scalefall.policy.pacing import Pacing
from scalefall.policy.state import TRIAL_CALLS, Attempt, EndpointState, EngineState, RouteState, SlowStart
from scalefall.policy.units import SECOND

# Budgets of all senders during the warm-up, as a fraction of a recovering route's overload threshold. Up to two thirds
# of the threshold, senders that have seen the failure cannot break the overload rule.
WARMING_BUDGET_FRACTION = 2 / 3
# The fraction for budgets before the first success; OutlierDetection.record_failure has the derivation.
FAILING_BUDGET_FRACTION = (2 - TRIAL_CALLS) / 3
RETRY_AFTER_SPREAD_FACTOR = 4  # multiple of a Retry-After over which trial calls after it are spread
# Time until most senders have seen a failure, in mean intervals between a sender's calls at its fair share of a cold
# destination's overload threshold. A sender with r calls a second has seen no failure by time t with probability
# e^(-r * t), so that on average senders that have not seen it make at most 1 / (e * t) calls a second each.
DETECTION_CALL_INTERVALS = 3.0
MIN_TRIAL_SPREAD_US = SECOND // 5  # shortest span over which trial calls are spread
MIN_CALLS_PER_S = 1e-6  # keeps call intervals finite
RESTART_FAILURES = TRIAL_CALLS + 2  # more consecutive failures than this during the warm-up restart the slow start


class OutlierDetection:
    """Counts consecutive failures of endpoints and routes, and computes the budgets of their slow starts."""

    def __init__(self, state: EngineState, pacing: Pacing) -> None:
        """Limit the routes of this state."""
        self._state = state
        self._pacing = pacing

    def record_success(self, slow_start: SlowStart) -> None:
        """Record a success: it ends the slow start or, once the budget applies, starts the warm-up."""
        state = self._state
        slow_start.last_success_at = state.now
        if slow_start.consecutive_failures <= TRIAL_CALLS:
            slow_start.consecutive_failures = 0
            return
        slow_start.consecutive_failures = TRIAL_CALLS + 1
        if slow_start.warming_since < 0:
            slow_start.warming_since = state.now - int(self.call_interval_us(slow_start) / 2)
            slow_start.next_attempt_at = state.now + int(self.call_interval_us(slow_start) * state.random.random())

    def record_failure(self, attempt: Attempt, retry_after_us: int) -> None:
        """Record a failure or rejection, unless a call has succeeded since the failed one was sent.

        After its first failure a sender makes q trial calls (TRIAL_CALLS); then its budget applies. The budget before
        the first success, FAILING_BUDGET_FRACTION, follows from the overload rule, which is broken only if senders that
        have seen the failure make more than twice the calls of the rest. These are U, the first calls of senders that
        have not seen it; they lead to q * U trial calls. The budgets B of the others then break the rule only above
        B = (2 - q) * U, where all calls, U + q * U + B, are less than 3 / (2 - q) * B. With B at (2 - q) / 3 of a
        cold route's overload threshold, all calls stay within it.

        A sender that was served within the overload window continues with trial calls, at intervals that double, since
        rejections above a limit come in series. A Retry-After longer than that window means that the destination is
        closed: it counts despite a success, and there is no trial call. All this covers endpoints that crash, hang,
        close or fail most calls; it limits calls without need where failures are isolated and calls rare.
        """
        endpoint = attempt.endpoint
        route = endpoint.route
        own_rate = self._pacing.own_rate(route)
        endpoint_rate = own_rate / max(1, len(route.endpoints))
        self._count_failure(endpoint.slow_start, endpoint_rate, attempt, retry_after_us)
        self._count_failure(route.slow_start, own_rate, attempt, retry_after_us)

    def _count_failure(self, slow_start: SlowStart, own_rate: float, attempt: Attempt, retry_after_us: int) -> None:
        now = self._state.now
        window_us = self._state.settings.overload_window_us
        is_closed = retry_after_us > window_us
        if slow_start.last_success_at > attempt.sent_at and not is_closed:
            return
        if not slow_start.consecutive_failures:
            slow_start.own_rate = own_rate
        was_limited = slow_start.budget_applies()
        since_success = now - slow_start.last_success_at
        served_recently = not was_limited and since_success <= window_us and slow_start.last_success_at >= 0
        self._add_failure(slow_start, attempt.sent_at, served_recently, is_closed)
        is_limited = slow_start.budget_applies()
        if is_limited and not was_limited:
            self._begin(slow_start, attempt.endpoint)
        restarts = slow_start.warming_since >= 0 and slow_start.consecutive_failures > RESTART_FAILURES
        if restarts:
            slow_start.warming_since = -1
        if restarts or not was_limited or retry_after_us:
            if is_limited:
                spread_us = self.call_interval_us(slow_start)
            else:
                spread_us = max(
                    MIN_TRIAL_SPREAD_US,
                    RETRY_AFTER_SPREAD_FACTOR * retry_after_us,
                    since_success if served_recently else 0,
                )
            slow_start.next_attempt_at = now + retry_after_us + int(spread_us * self._state.random.random())

    def _add_failure(self, slow_start: SlowStart, sent_at: int, served_recently: bool, is_closed: bool) -> None:
        """Count the failure, unless its call was already in flight at the last counted one."""
        if not slow_start.consecutive_failures or sent_at >= slow_start.last_failure_at:
            slow_start.consecutive_failures += 1
            slow_start.last_failure_at = self._state.now
        if served_recently:
            slow_start.consecutive_failures = min(slow_start.consecutive_failures, TRIAL_CALLS)
        if is_closed:
            slow_start.consecutive_failures += TRIAL_CALLS

    def _begin(self, slow_start: SlowStart, endpoint: EndpointState) -> None:
        state = self._state
        overload_fraction = state.settings.overload_multiple * state.settings.slow_start_from
        fair_share = self._pacing.cautious_fair_share_per_s(endpoint.route)
        slow_start.widely_detected_at = state.now + int(
            DETECTION_CALL_INTERVALS * SECOND / (overload_fraction * fair_share)
        )
        name = endpoint.endpoint.id
        state.actions.append(LogLine(f"slow start: endpoint {name}, rate when warm {slow_start.own_rate:.2f} calls/s"))

    def record_overdue(self, endpoint: EndpointState) -> None:
        """Count overdue calls as failures, before their outcomes, unless a call has succeeded since they were sent."""
        now = self._state.now
        for attempt in endpoint.attempts.values():
            if attempt.overdue_at <= now and not attempt.counted_overdue:
                attempt.counted_overdue = True
                self.record_failure(attempt, 0)

    def record_call(self, slow_start: SlowStart) -> None:
        """Delay the next call by about one call interval."""
        state = self._state
        slow_start.next_attempt_at = state.now + int(self.call_interval_us(slow_start) * state.random.uniform(0.5, 1.5))

    def call_interval_us(self, slow_start: SlowStart) -> float:
        """Return the time between calls under the budget, which grows during the warm-up.

        Before the first success it is longer (FAILING_BUDGET_FRACTION), until most senders have seen the failure.
        """
        now = self._state.now
        settings = self._state.settings
        is_warming = slow_start.warming_since >= 0
        warm_up_progress = (now - slow_start.warming_since) / max(1, settings.slow_start_us) if is_warming else 0.0
        accepted_fraction = settings.slow_start_from + (1 - settings.slow_start_from) * warm_up_progress
        budget_fraction = WARMING_BUDGET_FRACTION * settings.overload_multiple * accepted_fraction
        interval = SECOND / max(MIN_CALLS_PER_S, slow_start.own_rate * min(1.0, budget_fraction))
        if is_warming:
            return interval
        return min(
            interval * WARMING_BUDGET_FRACTION / FAILING_BUDGET_FRACTION,
            max(0, slow_start.widely_detected_at - now) + interval,
        )

    def slow_start_in_force(self, route: RouteState, endpoint: EndpointState) -> SlowStart:
        """Return the slow start that limits a call: the route's while it is in force, otherwise the endpoint's.

        A slow start whose warm-up is complete ends here; the route then gets a rate limit, which prevents a burst.
        """
        warm_if_since = self._state.now - self._state.settings.slow_start_us
        route_slow_start, endpoint_slow_start = route.slow_start, endpoint.slow_start
        if route_slow_start.consecutive_failures and 0 <= route_slow_start.warming_since <= warm_if_since:
            self._end(route_slow_start, route)
        if endpoint_slow_start.consecutive_failures and 0 <= endpoint_slow_start.warming_since <= warm_if_since:
            self._end(endpoint_slow_start, route)
        return route_slow_start if route_slow_start.consecutive_failures else endpoint_slow_start

    def _end(self, slow_start: SlowStart, route: RouteState) -> None:
        slow_start.consecutive_failures = 0
        slow_start.warming_since = -1
        route.tokens = 0.0
        warm_rate = max(self._pacing.fair_share_per_s(route), route.slow_start.own_rate, slow_start.own_rate)
        route.rate = min(route.rate, warm_rate)

    def budget(self, slow_start: SlowStart) -> float:
        """Return the calls a second that the slow start allows now; inf if it is not in force."""
        if not slow_start.consecutive_failures:
            return inf
        if slow_start.next_attempt_at > self._state.now:
            return 0.0
        return SECOND / self.call_interval_us(slow_start)
