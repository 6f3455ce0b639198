"""Adaptive rate limit of a route: a token bucket whose rate is cut on overload and grows with the calls it allows.

The rate is infinite until an endpoint rejects a call because of its load or reports its limit. The sender does not
know what the other senders send; the limit is for all of them, so each aims for an even share of it.
"""

from __future__ import annotations

from math import inf, sqrt

from scalefall.policy.envelope import WINDOW_US
from scalefall.policy.state import EngineState, RouteState, count_since
from scalefall.policy.units import SECOND

GROWTH_PER_CALL = 0.1  # for each call that it allows, a rate that was cut grows by this share of itself
INITIAL_CALLS_PER_S = 2.0  # calls a second that a rate is first cut from, where the sender sends fewer
ASSUMED_LIMIT_PER_S = 4.0  # calls a second that a destination takes at least, where no limit is reported
SEND_RATE_WINDOW_US = 2 * SECOND  # span over which the recent send rate is taken
BURST_US = SECOND // 4  # the pace lets through at once what it gathers in this time
# share of a reported limit that may be left by chance; a sender takes of what is left beyond it
CHANCE_UNUSED_SHARE = 0.5
MAX_EXTRA_SHARE = 0.5  # a rate may have this share of what is left on top of its even share of the limit, and no more
LIMIT_RISE_FACTOR = 1.25  # a reported limit so many times the one before has risen, beyond noise
CHANCE_STANDARD_DEVIATIONS = 2  # a sum over N senders strays by 1 / sqrt(N): so many times that may be chance
ROUGH_WEIGHT_FACTOR = 1.5  # times that a rough weight may be too high
PRIOR_WEIGHT_CALLS = 20  # served calls at which a sender's own rate goes half by these, half by an even share
LEARNED_RATE_VALID_US = 60 * SECOND  # so long after a start what the process before learned counts


class Pacing:
    """Keeps the paced rates of routes."""

    def __init__(self, state: EngineState) -> None:
        """Pace the routes of this state."""
        self._state = state

    def refill(self, route: RouteState) -> float:
        """Return the calls that the pace allows now, after adding what has gathered since the last time.

        The rate itself grows with the calls that it has allowed.
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
        """Remember a call for the recent send rate."""
        now = self._state.now
        route.sent_at.append(now)
        count_since(route.sent_at, now - SEND_RATE_WINDOW_US)

    def record_served(self, route: RouteState) -> None:
        """Remember a success for the rate that this sender is served with."""
        now = self._state.now
        route.served_at.append(now)
        count_since(route.served_at, now - WINDOW_US)

    def count_served(self, route: RouteState) -> int:
        """Return the calls that were served within the window."""
        return count_since(route.served_at, self._state.now - WINDOW_US)

    def decrease(self, route: RouteState) -> None:
        """Halve the rate after an endpoint was overloaded; not below the even share of the limit."""
        state = self._state
        self.refill(route)
        recent = count_since(route.sent_at, state.now - SEND_RATE_WINDOW_US) * SECOND / SEND_RATE_WINDOW_US
        halved = min(max(INITIAL_CALLS_PER_S, recent), route.rate) / 2
        route.rate = max(self.fair_share_per_s(route), halved)
        route.tokens = state.random.uniform(-0.5, 0.5)
        route.decreased_at = state.now

    def report_limit(self, route: RouteState, limit: float, left: float, batches: bool) -> None:
        """Take a limit that an answer reports, and the share of it that is left unused.

        No rate goes far above its even share: calls that are rejected cost, and at many destinations use up the limit.
        Of what is left beyond CHANCE_UNUSED_SHARE it takes the even share each second, less what may be chance; routes
        that batch gather messages in a call instead. When a lowered limit is reported to have risen, the even share is
        there at once: growing takes calls.

        Args:
            route: the route that was called.
            limit: calls a second from all senders.
            left: share of the limit that is unused, 0 to 1.
            batches: calls may carry several messages.
        """
        now = self._state.now
        self.refill(route)
        risen = limit > LIMIT_RISE_FACTOR * route.reported_limit > 0
        route.reported_limit = limit
        even = self.fair_share_per_s(route)
        spare = max(0.0, left - CHANCE_UNUSED_SHARE) / (1 - CHANCE_UNUSED_SHARE)
        if risen:
            route.rate = max(route.rate, even)
        if spare and not batches:
            certain = max(0.0, 1 - CHANCE_STANDARD_DEVIATIONS / sqrt(self._state.settings.replica_count))
            route.rate += certain * spare * even * min(SECOND, now - route.increased_at) / SECOND
            route.increased_at = now
        route.rate_ceiling = even + MAX_EXTRA_SHARE * spare * (limit - even)
        route.rate = min(route.rate, route.rate_ceiling)

    def configure_limit(self, route: RouteState, limit: float) -> None:
        """Take a limit that the operator sets; it holds before any answer reports one. 0: there is none any more."""
        if limit > 0:
            self.report_limit(route, limit, 0.0, True)
        elif route.reported_limit > 0:
            route.reported_limit = 0.0
            route.rate_ceiling = inf
            route.rate = inf

    def fair_share_per_s(self, route: RouteState) -> float:
        """Return this sender's even share of the limit, in calls a second."""
        limit = route.reported_limit if route.reported_limit > 0 else ASSUMED_LIMIT_PER_S
        return limit / self._state.settings.replica_count

    def cautious_fair_share_per_s(self, route: RouteState) -> float:
        """Return the even share, less where the limit is only roughly known."""
        return self.fair_share_per_s(route) / (ROUGH_WEIGHT_FACTOR if self._state.settings.weights == "rough" else 1)

    def own_rate(self, route: RouteState) -> float:
        """Return the calls a second that this sender is served with.

        Few served calls tell less than what was known before: the learned rate of the process before, or else the
        even share of the limit.
        """
        state = self._state
        served = self.count_served(route)
        measured = served * SECOND / max(SECOND, min(WINDOW_US, state.now - state.started_at))
        confidence = served / (served + PRIOR_WEIGHT_CALLS)
        learned = route.learned_rate if state.now - state.started_at < LEARNED_RATE_VALID_US else 0.0
        before = learned or self.cautious_fair_share_per_s(route)
        rate = confidence * measured + (1 - confidence) * before
        if route.reported_limit > 0 and state.settings.weights == "none":
            return max(rate, self.fair_share_per_s(route))
        return rate
