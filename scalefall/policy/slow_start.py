"""Outlier detection and slow start: what a route or an endpoint gets after failures, until it is warm again.

All senders together must not push a destination over that has just come back: a cold one takes only a share of its
limit, which grows while it warms up. The senders share nothing, so each keeps to a budget of its own, from when it
has met failures. Two slow starts stand over a call: that of its endpoint, and that of its route.
"""

from __future__ import annotations

from math import inf

from scalefall.policy.actions import LogLine
from scalefall.policy.pacing import Pacing
from scalefall.policy.state import TRIAL_CALLS, Attempt, EndpointState, EngineState, RouteState, SlowStart
from scalefall.policy.units import SECOND

# of what the rule allows a cold route; with less the senders that met the failure don't break it
WARMING_BUDGET_SHARE = 2 / 3
FAILING_BUDGET_SHARE = (2 - TRIAL_CALLS) / 3  # the same before the first success; see OutlierDetection.record_failure
RETRY_AFTER_SPREAD_FACTOR = 4  # times a Retry-After over which senders come back after it
DETECTION_CALL_INTERVALS = (
    3.0  # in even gaps; calls of senders that have not met the failure are then at most 1 / (e * age) a sender
)
MIN_TRIAL_SPREAD_US = SECOND // 5  # the shortest span over which questions are spread
MIN_CALLS_PER_S = 1e-6  # calls a second; keeps gaps finite
RESTART_FAILURES = TRIAL_CALLS + 2  # more failures in a row while warming up begin the slow start anew


class OutlierDetection:
    """Counts failures and successes of endpoints and routes, and holds what is sent to slow starts' budgets."""

    def __init__(self, state: EngineState, pacing: Pacing) -> None:
        """Stand over the routes of this state."""
        self._state = state
        self._pacing = pacing

    def record_success(self, slow_start: SlowStart) -> None:
        """Take a success: a question that is answered ends it, otherwise the warm-up begins."""
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
        """Take a failure or rejection, unless a success since its send contradicts it.

        Senders that have met the failure break the rule only when they push twice as much as the rest, U: the first
        calls of senders that have not. Each of these asks q times (TRIAL_CALLS), which makes q * U questions; the
        others break it only with budgets of (2 - q) * U or more, and all together are at most 3 / (2 - q) times these
        budgets: FAILING_BUDGET_SHARE keeps that in what a cold route may get. A sender that was served within the
        overload window asks on, at doubling gaps, as rejections above a limit come in rows. A Retry-After over that
        window means that the destination is closed: no question. Covers endpoints that crash, hang, close or fail most
        calls; hurts where failures are single and calls rare.
        """
        endpoint = attempt.endpoint
        route = endpoint.route
        own_rate = self._pacing.own_rate(route)
        of_endpoint = own_rate / max(1, len(route.endpoints))
        self._count_failure(endpoint.slow_start, of_endpoint, attempt, retry_after_us)
        self._count_failure(route.slow_start, own_rate, attempt, retry_after_us)

    def _count_failure(self, slow_start: SlowStart, own_rate: float, attempt: Attempt, retry_after_us: int) -> None:
        now = self._state.now
        window_us = self._state.settings.overload_window_us
        closed = retry_after_us > window_us
        if slow_start.last_success_at > attempt.sent_at and not closed:
            return
        if not slow_start.consecutive_failures:
            slow_start.own_rate = own_rate
        limited_before = slow_start.budget_applies()
        since_success = now - slow_start.last_success_at
        served_lately = not limited_before and since_success <= window_us and slow_start.last_success_at >= 0
        self._add_failure(slow_start, attempt.sent_at, served_lately, closed)
        limited = slow_start.budget_applies()
        if limited and not limited_before:
            self._begin(slow_start, attempt.endpoint)
        begins_anew = slow_start.warming_since >= 0 and slow_start.consecutive_failures > RESTART_FAILURES
        if begins_anew:
            slow_start.warming_since = -1
        if begins_anew or not limited_before or retry_after_us:
            if limited:
                spread_us = self.call_interval_us(slow_start)
            else:
                spread_us = max(
                    MIN_TRIAL_SPREAD_US,
                    RETRY_AFTER_SPREAD_FACTOR * retry_after_us,
                    since_success if served_lately else 0,
                )
            slow_start.next_attempt_at = now + retry_after_us + int(spread_us * self._state.random.random())

    def _add_failure(self, slow_start: SlowStart, sent_at: int, served_lately: bool, closed: bool) -> None:
        """Count the failure; calls that were in flight when the last one was met add nothing."""
        if not slow_start.consecutive_failures or sent_at >= slow_start.last_failure_at:
            slow_start.consecutive_failures += 1
            slow_start.last_failure_at = self._state.now
        if served_lately:
            slow_start.consecutive_failures = min(slow_start.consecutive_failures, TRIAL_CALLS)
        if closed:
            slow_start.consecutive_failures += TRIAL_CALLS

    def _begin(self, slow_start: SlowStart, endpoint: EndpointState) -> None:
        state = self._state
        slow_start_fraction = state.settings.overload_multiple * state.settings.slow_start_from
        even = self._pacing.cautious_fair_share_per_s(endpoint.route)
        slow_start.widely_detected_at = state.now + int(
            DETECTION_CALL_INTERVALS * SECOND / (slow_start_fraction * even)
        )
        name = endpoint.endpoint.id
        state.actions.append(LogLine(f"held {name}: part of {slow_start.own_rate:.2f} calls/s"))

    def record_overdue(self, endpoint: EndpointState) -> None:
        """Count calls that are overdue: with no success since it was sent, one is evidence before any outcome is."""
        now = self._state.now
        for attempt in endpoint.attempts.values():
            if attempt.overdue_at <= now and not attempt.counted_overdue:
                attempt.counted_overdue = True
                self.record_failure(attempt, 0)

    def record_call(self, slow_start: SlowStart) -> None:
        """Put off the next call by about one gap."""
        state = self._state
        slow_start.next_attempt_at = state.now + int(self.call_interval_us(slow_start) * state.random.uniform(0.5, 1.5))

    def call_interval_us(self, slow_start: SlowStart) -> float:
        """Return the time between calls: the part of what the rule lets a cold route have, growing with its warmth.

        Before the first success it is longer (a trial), but ends by when the failure is widely known.
        """
        now = self._state.now
        settings = self._state.settings
        warming = slow_start.warming_since >= 0
        warmth = (now - slow_start.warming_since) / max(1, settings.slow_start_us) if warming else 0.0
        allowed = settings.slow_start_from + (1 - settings.slow_start_from) * warmth
        fraction = WARMING_BUDGET_SHARE * settings.overload_multiple * allowed
        gap = SECOND / max(MIN_CALLS_PER_S, slow_start.own_rate * min(1.0, fraction))
        if warming:
            return gap
        return min(gap * WARMING_BUDGET_SHARE / FAILING_BUDGET_SHARE, max(0, slow_start.widely_detected_at - now) + gap)

    def slow_start_in_force(self, route: RouteState, endpoint: EndpointState) -> SlowStart:
        """Return the one whose budget a call draws from: the route's while it is in force, for all its endpoints.

        A slow start whose warm-up is over ends here, and the route goes on with a pace instead of a burst.
        """
        warm_if_since = self._state.now - self._state.settings.slow_start_us
        of_route, of_endpoint = route.slow_start, endpoint.slow_start
        if of_route.consecutive_failures and 0 <= of_route.warming_since <= warm_if_since:
            self._end(of_route, route)
        if of_endpoint.consecutive_failures and 0 <= of_endpoint.warming_since <= warm_if_since:
            self._end(of_endpoint, route)
        return of_route if of_route.consecutive_failures else of_endpoint

    def _end(self, slow_start: SlowStart, route: RouteState) -> None:
        slow_start.consecutive_failures = 0
        slow_start.warming_since = -1
        route.tokens = 0.0
        warm_rate = max(self._pacing.fair_share_per_s(route), route.slow_start.own_rate, slow_start.own_rate)
        route.rate = min(route.rate, warm_rate)

    def budget(self, slow_start: SlowStart) -> float:
        """Return the calls a second that it leaves; inf while it is not in force."""
        if not slow_start.consecutive_failures:
            return inf
        if slow_start.next_attempt_at > self._state.now:
            return 0.0
        return SECOND / self.call_interval_us(slow_start)
