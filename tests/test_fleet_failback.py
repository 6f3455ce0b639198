"""A destination that returns cold falls under the sum of what all processes send: the ramp holds for the fleet.

Beyond its budget of N calls in the settings' fall time, 2 * sqrt(N) + 2 are chance. Every sender has a backlog from the
outage, so none sends less than it may. The destination only answers, as in test_failback.py.
"""

from bisect import bisect_left
from math import sqrt

import pytest
from helpers import SLOW_START_US, OVERLOAD_WINDOW_US, MILLISECOND, Fleet, Outage, SECOND, cold_budget

from scalefall.policy.engine import Engine
from scalefall.policy.events import Outcome

SEEDS = range(8)
BACKLOG = 10  # messages of each sender beside those that come all the time, for as long as the play lasts
DEADLINE = 30 * SECOND
THIRTY = ([2.0] * 30, 60.0)  # messages a second of each sender; calls a second that the warm destination takes


def most_over(rates, outage, seed, replica_count=None):
    """By how many calls the worst window after the return is above its budget and what may be chance."""
    calls = Fleet(Engine, rates, outage, seed, replica_count, DEADLINE).run(backlog=BACKLOG)
    times, back = [at for at, _ in calls], outage.down[1]
    over = []
    for start in range(back, back + SLOW_START_US - OVERLOAD_WINDOW_US, 100 * MILLISECOND):
        budget = cold_budget(start - back, outage.limit)
        window = bisect_left(times, start + OVERLOAD_WINDOW_US) - bisect_left(times, start)
        over.append(window - budget - 2 * sqrt(budget) - 2)
    return max(over)


@pytest.mark.parametrize("fails", [Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
def test_a_returning_destination_gets_its_ramp_and_no_more_from_all_senders_together(fails):
    rates, limit = THIRTY
    assert max(most_over(rates, Outage(limit, fails), seed) for seed in SEEDS) <= 0


@pytest.mark.parametrize("outage", [Outage(60.0, Outcome.CONNECT_FAILED), Outage(60.0, Outcome.OVERLOADED, True)])
def test_the_judge_catches_senders_that_each_take_the_budget_of_one_alone(outage):
    rates, _ = THIRTY
    assert min(most_over(rates, outage, seed, replica_count=1) for seed in SEEDS) > 100


SMALL = [([0.5] * 30, 15.0), ([0.75] * 20, 15.0), ([0.2] * 30, 6.0)]


@pytest.mark.parametrize("fails", [Outcome.CONNECT_FAILED, Outcome.OVERLOADED])
@pytest.mark.parametrize(("rates", "limit"), SMALL)
def test_a_destination_with_a_small_limit_gets_its_ramp_and_no_more_to_its_end(rates, limit, fails):
    """A sender whose ramp was over went on at 2 calls a second, several times its part, before others' ramps were over,
    as each counts from before its own first success."""
    assert max(most_over(rates, Outage(limit, fails), seed) for seed in SEEDS) <= 0


@pytest.mark.parametrize(("rates", "limit"), [THIRTY, *SMALL])
def test_a_destination_that_told_when_it_is_back_gets_its_ramp_and_no_more(rates, limit):
    """A success that came after the refused call was sent, of one sent before, made the refusal count for nothing, and
    the told wait let no other call come: the whole backlog went out at the return."""
    assert max(most_over(rates, Outage(limit, Outcome.OVERLOADED, True), seed) for seed in SEEDS) <= 0
