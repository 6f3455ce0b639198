"""Adaptive rate limit of a route: a token bucket whose rate is cut on overload and grows with the calls it allows.

The rate is infinite until an endpoint rejects a call because of its load or reports its limit. The limit applies to all
senders together. A sender does not know the others' rates, so each of them aims for its fair share.
"""

from __future__ import annotations

from math import inf, sqrt

from scalefall.policy.envelope import WINDOW_US
from scalefall.policy.state import EngineState, RouteState, count_since
from scalefall.policy.units import SECOND

GROWTH_PER_CALL = 0.1  # fraction by which a rate that was cut grows with each call that it allows
MIN_CUT_BASE_CALLS_PER_S = 2.0  # a sender that sends less is cut from this rate, unless its rate limit is lower
ASSUMED_LIMIT_PER_S = 4.0  # lower bound assumed for the limit of a destination that reports none
SEND_RATE_WINDOW_US = 2 * SECOND  # span of the recent send rate
BURST_US = SECOND // 4  # the bucket holds at most the tokens of this time
CHANCE_UNUSED_FRACTION = 0.5  # fraction of a reported limit that may be unused by chance; only the rest is used
MAX_EXTRA_FRACTION = 0.5  # fraction of the unused limit that a rate may have on top of its fair share
LIMIT_RISE_FACTOR = 1.25  # a reported limit above this multiple of the last one has risen and is not noise
CHANCE_STANDARD_DEVIATIONS = 2  # a sum over N senders varies by 1 / sqrt(N); this multiple may be chance
ROUGH_WEIGHT_FACTOR = 1.5  # factor by which a rough weight may be too high
PRIOR_WEIGHT_CALLS = 20  # served calls at which measured and prior rate have equal weight in own_rate
LEARNED_RATE_VALID_US = 60 * SECOND  # time from the start for which the learned rate is used


class Pacing:
    """Maintains the rate limits of routes."""

    def __init__(self, state: EngineState) -> None:
        """Limit the routes of this state."""
        self._state = state

    def refill(self, route: RouteState) -> float:
        """Add the tokens since the last refill, and return the number of calls that are allowed now.

        The rate itself grows with the calls that it allows.
        """
        now = self._state.now
        elapsed = now - route.refilled_at
        route.refilled_at = now
        rate = route.rate
        if rate == inf:
            return 1.0
        gained = rate * elapsed / SECOND
        route.tokens = min(max(1.0, rate * BURST_US / SECOND), route.tokens + gained)
        grown = rate / (1 - GROWTH_PER_CALL * gained) if GROWTH_PER_CALL * gained < 1 else inf
        route.rate = min(route.rate_ceiling, grown)
        return route.tokens

    def record_call(self, route: RouteState) -> None:
        """Record a call for the recent send rate."""
        now = self._state.now
        route.sent_at.append(now)
        count_since(route.sent_at, now - SEND_RATE_WINDOW_US)

    def record_served(self, route: RouteState) -> None:
        """Record a success for the served rate of this sender."""
        now = self._state.now
        route.served_at.append(now)
        count_since(route.served_at, now - WINDOW_US)

    def count_served(self, route: RouteState) -> int:
        """Return the number of calls that were served within the window."""
        return count_since(route.served_at, self._state.now - WINDOW_US)

    def decrease(self, route: RouteState) -> None:
        """Halve the rate after an overloaded answer, but not below the fair share of the limit."""
        state = self._state
        self.refill(route)
        recent = count_since(route.sent_at, state.now - SEND_RATE_WINDOW_US) * SECOND / SEND_RATE_WINDOW_US
        halved = min(max(MIN_CUT_BASE_CALLS_PER_S, recent), route.rate) / 2
        route.rate = max(self.fair_share_per_s(route), halved)
        route.tokens = state.random.uniform(-0.5, 0.5)
        route.decreased_at = state.now

    def report_limit(self, route: RouteState, limit: float, unused: float, batches: bool) -> None:
        """Apply a limit that an answer reports, and the fraction of it that is unused.

        The rate stays close to the fair share: calls that are rejected cost, and at many destinations count against the
        limit. Of the unused fraction beyond CHANCE_UNUSED_FRACTION a sender takes its fair share each second, less what
        may be chance; routes that batch put more messages into a call instead. If a lowered limit is reported to have
        risen, the rate is raised to the fair share at once, since growth takes calls.

        Args:
            route: The route of the call.
            limit: Calls a second from all senders.
            unused: Unused fraction of the limit, 0 to 1.
            batches: Whether calls may carry several messages.
        """
        now = self._state.now
        self.refill(route)
        has_risen = limit > LIMIT_RISE_FACTOR * route.reported_limit > 0
        route.reported_limit = limit
        fair_share = self.fair_share_per_s(route)
        spare = max(0.0, unused - CHANCE_UNUSED_FRACTION) / (1 - CHANCE_UNUSED_FRACTION)
        if has_risen:
            route.rate = max(route.rate, fair_share)
        if spare and not batches:
            beyond_chance = max(0.0, 1 - CHANCE_STANDARD_DEVIATIONS / sqrt(self._state.settings.replica_count))
            route.rate += beyond_chance * spare * fair_share * min(SECOND, now - route.increased_at) / SECOND
            route.increased_at = now
        route.rate_ceiling = fair_share + MAX_EXTRA_FRACTION * spare * (limit - fair_share)
        route.rate = min(route.rate, route.rate_ceiling)

    def configure_limit(self, route: RouteState, limit: float) -> None:
        """Apply a limit that the operator sets, whether or not an answer reports one; 0 removes it."""
        if limit > 0:
            self.report_limit(route, limit, 0.0, True)
        elif route.reported_limit > 0:
            route.reported_limit = 0.0
            route.rate_ceiling = inf
            route.rate = inf

    def limit_release(self, route: RouteState, calls_per_s: float) -> None:
        """Limit the rate at which calls go out that were held back. The limit grows, and ends, as after a cut."""
        if calls_per_s < route.rate:
            self.refill(route)
            route.rate = calls_per_s
            route.tokens = self._state.random.random()

    def fair_share_per_s(self, route: RouteState) -> float:
        """Return this sender's fair share of the limit."""
        limit = route.reported_limit if route.reported_limit > 0 else ASSUMED_LIMIT_PER_S
        return limit / self._state.settings.replica_count

    def cautious_fair_share_per_s(self, route: RouteState) -> float:
        """Return the fair share, reduced if the limit is only roughly known."""
        return self.fair_share_per_s(route) / (ROUGH_WEIGHT_FACTOR if self._state.settings.weights == "rough" else 1)

    def own_rate(self, route: RouteState) -> float:
        """Return the estimated rate at which this sender is served, in calls a second.

        The estimate weighs the measured rate, by the number of served calls, against a prior: the learned rate of the
        earlier process, or else the fair share of the limit.
        """
        state = self._state
        served = self.count_served(route)
        measured = served * SECOND / max(SECOND, min(WINDOW_US, state.now - state.started_at))
        confidence = served / (served + PRIOR_WEIGHT_CALLS)
        learned = route.learned_rate if state.now - state.started_at < LEARNED_RATE_VALID_US else 0.0
        prior = learned or self.cautious_fair_share_per_s(route)
        rate = confidence * measured + (1 - confidence) * prior
        if route.reported_limit > 0 and state.settings.weights == "none":
            return max(rate, self.fair_share_per_s(route))
        return rate
