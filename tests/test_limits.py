"""Limits that the operator configures: rate of a destination, calls in flight, and attempts by destination."""

import pytest
from helpers import MILLISECOND, EngineDriver, SECOND

from scalefall.policy.actions import Send, Shed
from scalefall.policy.events import (
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    LearnedRate,
    ListUpdateKind,
    Outcome,
)

READY, DRAINING = EndpointStatus.READY, EndpointStatus.DRAINING


def limited_driver(limit=0.0, max_calls=0, **changes):
    driver = EngineDriver(weights="told", replica_count=1, call_slots=100, max_queued=1000, **changes)
    update_endpoint(driver, limit, max_calls)
    return driver


def update_endpoint(driver, limit, max_calls=0, status=READY, name="e", kind="one"):
    driver.step(EndpointListUpdate(ListUpdateKind.CHANGES, [Endpoint(name, "a", kind, 1, status, limit, max_calls)]))


def sends_in(driver, span, more=200, each=50 * MILLISECOND):
    """Return the times of calls within the span, each served at once, with more messages waiting than may be sent."""
    times, end = [], driver.now + span
    if more:
        driver.submit(*(f"m{driver.now}-{n}" for n in range(more)))
    while driver.now < end:
        sent = driver.actions_of(Send)
        while sent:
            times.append(driver.now)
            send = sent.pop()
            driver.step(AttemptFinished(send.id, driver.attempts[send.id], "e", Outcome.OK, 1, True))
            sent += driver.actions_of(Send)
        driver.tick(each)
    return times


@pytest.mark.parametrize("limit", [2.0, 4.0, 16.0])
def test_a_configured_limit_applies_before_any_answer_reports_one(limit):
    times = sends_in(limited_driver(limit), 6 * SECOND)
    burst = max(1, limit / 4)
    assert limit * 4 <= len(times) <= limit * 6 + burst
    for start in times:
        assert sum(start <= at < start + SECOND for at in times) <= limit + burst


def test_without_a_limit_all_is_sent_at_once_and_a_removed_limit_no_longer_applies():
    assert len(sends_in(limited_driver(), SECOND // 2)) == 200
    driver = limited_driver(2.0)
    assert len(sends_in(driver, SECOND)) <= 3
    update_endpoint(driver, 0.0)
    assert len(sends_in(driver, SECOND // 2, more=0)) >= 190


def test_a_raised_limit_applies_at_once_and_a_leaving_endpoint_does_not_restore_the_old_one():
    driver = limited_driver(2.0)
    update_endpoint(driver, 2.0, name="old")
    update_endpoint(driver, 20.0)
    update_endpoint(driver, 2.0, status=DRAINING, name="old")
    update_endpoint(driver, 2.0, status=EndpointStatus.GONE, name="old")
    assert len(sends_in(driver, 2 * SECOND)) >= 30


def test_a_configured_limit_takes_precedence_over_that_of_an_earlier_process():
    driver = limited_driver(8.0)
    driver.step(LearnedRate(1, "", 1.0, 2.0))
    assert driver.engine.state.destinations[1].routes[""].reported_limit == 8.0


def test_calls_in_flight_to_an_endpoint_do_not_exceed_its_limit():
    driver = limited_driver(max_calls=3)
    update_endpoint(driver, 0.0, 2, name="f")
    sent = driver.submit(*(f"m{n}" for n in range(20)))
    assert len(sent) == 5
    endpoints = [send.endpoint for send in driver.actions_of(Send)]
    assert (endpoints.count("e"), endpoints.count("f")) == (3, 2)
    first = next(send.id for send in driver.actions_of(Send) if send.endpoint == "f")
    assert len(driver.finish(first, "f")) == 1
    assert driver.actions_of(Send)[0].endpoint == "f"


def test_max_attempts_can_be_set_by_destination():
    driver = limited_driver(attempts={1: 2})
    assert driver.submit("m") == ["m"]
    for _ in range(2):
        driver.finish("m", "e", Outcome.ERROR)
        while driver.now < 7 * SECOND and not driver.actions_of(Send) and not driver.actions_of(Shed):
            driver.tick(50 * MILLISECOND)
    assert driver.attempts["m"] == 1
    assert [shed.id for shed in driver.actions_of(Shed)] == ["m"]
    assert driver.now < 7 * SECOND  # at once, and not when it is due


def calls_with_reports(senders, unused, kind="one"):
    """Return the number of calls in 20 s to a destination with a limit of one a second for each sender.

    Every answer reports the limit and the unused fraction of it.
    """
    driver = EngineDriver(replica_count=senders, call_slots=100, max_queued=1000)
    update_endpoint(driver, 1.0, kind=kind)
    first = driver.submit("first")[0]
    driver.finish(first, "e", load_report={"x0": 0.0, "x1": float(senders)}, after=MILLISECOND)
    driver.submit(*(f"m{n}" for n in range(100)))
    calls, unfinished = 0, []
    for _ in range(400):
        sent = [send.id for send in driver.actions_of(Send)]
        calls += bool(sent)
        driver.step(
            *(
                AttemptFinished(
                    name, driver.attempts[name], "e", Outcome.OK, 1, True, 0, {"x0": unused, "x1": float(senders)}
                )
                for name in unfinished
            ),
            after=50 * MILLISECOND,
        )
        unfinished = sent
    return calls


def test_an_unused_limit_of_many_senders_is_used_within_seconds():
    """With 0.8 to 1 of the limit unused, a sender with messages waiting made only a call in one to two seconds.

    Its rate grew by a tenth with each call, and it made few calls.
    """
    grown, fair_share = calls_with_reports(200, 0.9), calls_with_reports(200, 0.4)
    assert fair_share <= 22
    assert grown >= 2 * fair_share


def test_an_unused_limit_is_not_used_by_few_senders_or_where_calls_are_batched():
    assert calls_with_reports(4, 0.9) < 0.8 * calls_with_reports(200, 0.9)
    assert calls_with_reports(200, 0.9, "many") < 0.8 * calls_with_reports(200, 0.9)
