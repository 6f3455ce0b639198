"""A recovering destination would fail under the sum of all senders' calls: the slow start must hold for all together.

Beyond the budget of N calls in an overload window, 2 * sqrt(N) + 2 may be chance. Every sender has a backlog from the
outage, so none sends less than its budget. The destination is that of test_failback.py.
"""

from bisect import bisect_left
from math import sqrt

import pytest
from helpers import SLOW_START_US, OVERLOAD_WINDOW_US, MILLISECOND, Fleet, Outage, SECOND, cold_budget

from scalefall.policy.engine import Engine
from scalefall.policy.events import Outcome

SEEDS = range(8)
BACKLOG = 10  # messages of each sender beyond its rate, submitted during the outage
DEADLINE = 30 * SECOND
THIRTY = ([2.0] * 30, 60.0)  # messages a second of each sender, and the warm destination's limit in calls a second


def max_excess(rates, outage, seed, replica_count=None):
    """Return by how many calls the worst window after the outage exceeds its budget and what may be chance."""
    calls = Fleet(Engine, rates, outage, seed, replica_count, DEADLINE).run(backlog=BACKLOG)
    times, outage_end = [at for at, _ in calls], outage.down[1]
    excesses = []
    for start in range(outage_end, outage_end + SLOW_START_US - OVERLOAD_WINDOW_US, 100 * MILLISECOND):
        budget = cold_budget(start - outage_end, outage.limit)
        window = bisect_left(times, start + OVERLOAD_WINDOW_US) - bisect_left(times, start)
        excesses.append(window - budget - 2 * sqrt(budget) - 2)
    return max(excesses)


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
def test_all_senders_together_stay_within_the_slow_start_of_a_recovering_destination(outcome):
    rates, limit = THIRTY
    assert max(max_excess(rates, Outage(limit, outcome), seed) for seed in SEEDS) <= 0


@pytest.mark.parametrize("outage", [Outage(60.0, Outcome.CONNECT_FAILED), Outage(60.0, Outcome.OVERLOADED, True)])
def test_the_check_catches_senders_that_each_use_the_whole_budget(outage):
    rates, _ = THIRTY
    assert min(max_excess(rates, outage, seed, replica_count=1) for seed in SEEDS) > 100


SMALL = [([0.5] * 30, 15.0), ([0.75] * 20, 15.0), ([0.2] * 30, 6.0)]


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
@pytest.mark.parametrize(("rates", "limit"), SMALL)
def test_senders_stay_within_the_slow_start_of_a_destination_with_a_small_limit(rates, limit, outcome):
    """A sender with a complete warm-up went on at 2 calls a second, several times its fair share.

    Others were still warming up then, as each warm-up starts at the sender's own first success.
    """
    assert max(max_excess(rates, Outage(limit, outcome), seed) for seed in SEEDS) <= 0


@pytest.mark.parametrize(("rates", "limit"), [THIRTY, *SMALL])
def test_senders_stay_within_the_slow_start_of_a_destination_that_sends_retry_after(rates, limit):
    """A success of an earlier call, after the rejected call was sent, cancelled the rejection.

    The Retry-After allowed no other call, and the whole backlog was sent at its end.
    """
    assert max(max_excess(rates, Outage(limit, Outcome.OVERLOADED, True), seed) for seed in SEEDS) <= 0
