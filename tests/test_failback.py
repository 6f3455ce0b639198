"""The overload rule over many independent senders: what those that have seen an outage send at its end.

The destination succeeds while it is up, and is overloaded or unreachable while it is down; it has no queue. The check
compares the calls with the budget of the settings, with a margin for chance.
"""

from math import sqrt

import pytest
from helpers import SLOW_START_US, OVERLOAD_WINDOW_US, MILLISECOND, Fleet, Outage, SECOND, cold_budget

from scalefall.policy.engine import Engine
from scalefall.policy.events import Outcome

OUTAGE_END = 20 * SECOND


class WithoutSlowStart(Engine):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.outliers.record_failure = lambda attempt, retry_after_us: None


def breaks_rule(calls, limit):
    """Return whether a window after the outage exceeds its budget, with two thirds from senders that saw the outage.

    The overload rule itself is broken only with over two thirds.
    """
    for start in range(OUTAGE_END, OUTAGE_END + SLOW_START_US - OVERLOAD_WINDOW_US, 100 * MILLISECOND):
        window = [has_seen_failure for at, has_seen_failure in calls if start <= at < start + OVERLOAD_WINDOW_US]
        budget = cold_budget(start - OUTAGE_END, limit)
        if len(window) > budget + 2 * sqrt(budget) and sum(window) >= 2 / 3 * len(window):
            return True
    return False


EQUAL = ([0.2] * 60, 15.0)
UNEQUAL = ([4.0] * 2 + [0.5] * 8 + [0.03] * 60, 16.0)
LOW_RATE = ([0.04] * 100, 5.0)


@pytest.mark.parametrize(("rates", "limit"), [EQUAL, UNEQUAL, LOW_RATE])
@pytest.mark.parametrize(
    ("outcome", "sends_retry_after"),
    [(Outcome.CONNECT_FAILED, False), (Outcome.OVERLOADED, False), (Outcome.OVERLOADED, True)],
)
def test_senders_that_saw_the_outage_seldom_overload_a_recovering_destination(rates, limit, outcome, sends_retry_after):
    """With many senders at low rates, those that saw no failure exceed the budget alone.

    By chance their calls may be less than half of those of the others, which then break the rule: over 24 seeds at most
    6 times, with the other rates at most once.
    """
    outage = Outage(limit, outcome, sends_retry_after)
    broken = sum(breaks_rule(Fleet(Engine, rates, outage, seed).run(), limit) for seed in range(8))
    assert broken <= (3 if (rates, limit) == LOW_RATE else 1)


def test_the_check_catches_senders_without_slow_start():
    rates, limit = EQUAL
    for outage in (Outage(limit, Outcome.CONNECT_FAILED), Outage(limit, Outcome.OVERLOADED, True)):
        assert breaks_rule(Fleet(WithoutSlowStart, rates, outage).run(), limit)


@pytest.mark.parametrize(("rates", "limit"), [EQUAL, UNEQUAL])
def test_senders_deliver_at_full_rate_once_the_destination_is_warm(rates, limit):
    calls = Fleet(Engine, rates, Outage(limit, Outcome.CONNECT_FAILED)).run(end=50 * SECOND)
    late = sum(at >= 40 * SECOND for at, _ in calls) / 10
    assert late >= 0.4 * sum(rates)
