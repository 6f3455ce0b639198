"""The sixth rule judged over many senders that share nothing: what those told of an outage send at the return.

The destination here only answers: done while it is up, refused or unreachable while it is not. It has no queue and
no score; the judge counts calls against the budget in the settings, with room for chance.
"""

import heapq
import random
from math import sqrt

import pytest
from helpers import MS, S, message_class, settings

from scalefall import interface as i
from scalefall.policy import Sender

ANSWER = 80 * MS


class Unguarded(Sender):
    def _failed(self, call, wait_us):
        pass


def play(sender_type, rates, limit, fails, wait=False, down=(12 * S, 20 * S), end=34 * S, seed=1):
    """Calls at the destination, as (time, told?), from senders with so many messages a second."""
    draw, world = (
        random.Random(seed),
        dict(
            siblings=len(rates),
            weights="nominal",
            fall_us=1500 * MS,
            cold_from=0.26,
            classes={"safe": message_class(deadline_us=5 * S)},
        ),
    )
    senders = [sender_type(settings(index=n, **world), seed * 1000 + n) for n in range(len(rates))]
    told, calls, attempts, queue, number = set(), [], {}, [], 0

    def push(at, n, event):
        nonlocal number
        number += 1
        heapq.heappush(queue, (at, number, n, event))

    for n, rate in enumerate(rates):
        push(0, n, i.Listed(i.ListKind.WHOLE, [i.Endpoint("e", "a", "one", 1, i.Status.READY, limit)]))
        at = draw.expovariate(rate)
        while at * S < end:
            push(int(at * S) // 5000 * 5000, n, i.Message(f"m{n}-{at}", 1, "safe", int(at * S) + 5 * S))
            at += draw.expovariate(rate)
    while queue and queue[0][0] < end:
        now, _, n, event = heapq.heappop(queue)
        for action in senders[n].handle(now, [event]):
            if isinstance(action, i.SetTimer):
                push(now + max(5 * MS, action.delay_us), n, i.Timer(action.token))
            elif isinstance(action, i.Send):
                calls.append((now, n in told))
                attempt = attempts[action.id] = attempts.get(action.id, -1) + 1
                up = not down[0] <= now < down[1]
                push(
                    now + ANSWER,
                    n,
                    i.Attempted(
                        action.id,
                        attempt,
                        "e",
                        i.Outcome.OK if up else fails,
                        ANSWER,
                        up,
                        down[1] - now if wait and not up else 0,
                    ),
                )
        if isinstance(event, i.Attempted) and event.outcome is not i.Outcome.OK:
            told.add(n)
    return calls


def broken(calls, limit, back=20 * S, fall=1500 * MS, cold=12 * S, multiple=1.5, cold_from=0.26):
    """The worst window after the return: was it over its budget, two thirds of it from those that had been told?"""
    for start in range(back, back + cold - fall, 100 * MS):
        window = [told for at, told in calls if start <= at < start + fall]
        share = cold_from + (1 - cold_from) * (start - back) / cold
        budget = multiple * share * limit * fall / S
        if len(window) > budget + 2 * sqrt(budget) and sum(window) >= 2 / 3 * len(window):
            return True
    return False


EQUAL = ([0.2] * 60, 15.0)
UNEQUAL = ([4.0] * 2 + [0.5] * 8 + [0.03] * 60, 16.0)
QUIET = ([0.04] * 100, 5.0)


@pytest.mark.parametrize("rates, limit", [EQUAL, UNEQUAL, QUIET])
@pytest.mark.parametrize(
    "fails, wait", [(i.Outcome.CONNECT_FAILED, False), (i.Outcome.FULL, False), (i.Outcome.FULL, True)]
)
def test_told_senders_seldom_have_a_part_in_pushing_a_returning_destination_over(rates, limit, fails, wait):
    """Where senders are many and quiet, those not told send more than the budget alone, and by chance fewer than half
    as many as the told: measured over 24 seeds at most 6; elsewhere at most 1."""
    over = sum(broken(play(Sender, rates, limit, fails, wait, seed=seed), limit) for seed in range(8))
    assert over <= (3 if (rates, limit) == QUIET else 1)


def test_the_judge_catches_senders_without_a_guard():
    assert broken(play(Unguarded, *EQUAL, i.Outcome.CONNECT_FAILED), EQUAL[1])
    assert broken(play(Unguarded, *EQUAL, i.Outcome.FULL, True), EQUAL[1])


@pytest.mark.parametrize("rates, limit", [EQUAL, UNEQUAL])
def test_all_senders_serve_again_once_the_destination_is_warm(rates, limit):
    calls = play(Sender, rates, limit, i.Outcome.CONNECT_FAILED, end=50 * S)
    late = sum(at >= 40 * S for at, _ in calls) / 10
    assert late >= 0.4 * sum(rates)
