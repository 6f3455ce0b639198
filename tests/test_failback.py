"""The sixth rule judged over many senders that share nothing: what those told of an outage send at the return.

The destination here only answers: done while it is up, refused or unreachable while it is not. It has no queue and
no score; the judge counts calls against the budget in the settings, with room for chance.
"""

from math import sqrt

import pytest
from helpers import SLOW_START_US, OVERLOAD_WINDOW_US, MILLISECOND, Fleet, Outage, SECOND, cold_budget

from scalefall.policy.engine import Engine
from scalefall.policy.events import Outcome

BACK = 20 * SECOND  # Outage's end


class Unguarded(Engine):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.outliers.record_failure = lambda attempt, retry_after_us: None


def broken(calls, limit):
    """The worst window after the return: was it over its budget, two thirds of it from those that had been told?"""
    for start in range(BACK, BACK + SLOW_START_US - OVERLOAD_WINDOW_US, 100 * MILLISECOND):
        window = [told for at, told in calls if start <= at < start + OVERLOAD_WINDOW_US]
        budget = cold_budget(start - BACK, limit)
        if len(window) > budget + 2 * sqrt(budget) and sum(window) >= 2 / 3 * len(window):
            return True
    return False


EQUAL = ([0.2] * 60, 15.0)
UNEQUAL = ([4.0] * 2 + [0.5] * 8 + [0.03] * 60, 16.0)
QUIET = ([0.04] * 100, 5.0)


@pytest.mark.parametrize(("rates", "limit"), [EQUAL, UNEQUAL, QUIET])
@pytest.mark.parametrize(
    ("fails", "wait"), [(Outcome.CONNECT_FAILED, False), (Outcome.OVERLOADED, False), (Outcome.OVERLOADED, True)]
)
def test_told_senders_seldom_have_a_part_in_pushing_a_returning_destination_over(rates, limit, fails, wait):
    """Where senders are many and quiet, those not told send more than the budget alone, and by chance fewer than half
    as many as the told: measured over 24 seeds at most 6; elsewhere at most 1."""
    outage = Outage(limit, fails, wait)
    over = sum(broken(Fleet(Engine, rates, outage, seed).run(), limit) for seed in range(8))
    assert over <= (3 if (rates, limit) == QUIET else 1)


def test_the_judge_catches_senders_without_a_guard():
    rates, limit = EQUAL
    for outage in (Outage(limit, Outcome.CONNECT_FAILED), Outage(limit, Outcome.OVERLOADED, True)):
        assert broken(Fleet(Unguarded, rates, outage).run(), limit)


@pytest.mark.parametrize(("rates", "limit"), [EQUAL, UNEQUAL])
def test_all_senders_serve_again_once_the_destination_is_warm(rates, limit):
    calls = Fleet(Engine, rates, Outage(limit, Outcome.CONNECT_FAILED)).run(end=50 * SECOND)
    late = sum(at >= 40 * SECOND for at, _ in calls) / 10
    assert late >= 0.4 * sum(rates)
