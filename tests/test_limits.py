"""What the operator's file sets and the module keeps: a limit, calls at once, attempts by destination."""

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


def drive(limit=0.0, most=0, **changes):
    driver = EngineDriver(weights="told", replica_count=1, call_slots=100, max_queued=1000, **changes)
    listed(driver, limit, most)
    return driver


def listed(driver, limit, most=0, status=READY, name="e", kind="one"):
    driver.step(EndpointListUpdate(ListUpdateKind.CHANGES, [Endpoint(name, "a", kind, 1, status, limit, most)]))


def sends_in(driver, span, more=200, each=50 * MILLISECOND):
    """Calls begun within the span, each served at once, with more waiting than may go."""
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
def test_a_limit_in_the_file_is_kept_before_any_answer_tells_one(limit):
    times = sends_in(drive(limit), 6 * SECOND)
    at_once = max(1, limit / 4)
    assert limit * 4 <= len(times) <= limit * 6 + at_once
    for start in times:
        assert sum(start <= at < start + SECOND for at in times) <= limit + at_once


def test_without_one_all_goes_at_once_and_one_that_is_lifted_binds_no_more():
    assert len(sends_in(drive(), SECOND // 2)) == 200
    driver = drive(2.0)
    assert len(sends_in(driver, SECOND)) <= 3
    listed(driver, 0.0)
    assert len(sends_in(driver, SECOND // 2, more=0)) >= 190


def test_a_limit_that_is_raised_holds_at_once_and_what_leaves_brings_no_old_one_back():
    driver = drive(2.0)
    listed(driver, 2.0, name="old")
    listed(driver, 20.0)
    listed(driver, 2.0, status=DRAINING, name="old")
    listed(driver, 2.0, status=EndpointStatus.GONE, name="old")
    assert len(sends_in(driver, 2 * SECOND)) >= 30


def test_what_an_earlier_process_knew_does_not_go_before_the_file():
    driver = drive(8.0)
    driver.step(LearnedRate(1, "", 1.0, 2.0))
    assert driver.engine.state.destinations[1].routes[""].reported_limit == 8.0


def test_an_endpoint_has_no_more_calls_at_once_than_it_may():
    driver = drive(most=3)
    listed(driver, 0.0, 2, name="f")
    sent = driver.submit(*(f"m{n}" for n in range(20)))
    assert len(sent) == 5
    by = [send.endpoint for send in driver.actions_of(Send)]
    assert (by.count("e"), by.count("f")) == (3, 2)
    first = next(send.id for send in driver.actions_of(Send) if send.endpoint == "f")
    assert len(driver.finish(first, "f")) == 1
    assert driver.actions_of(Send)[0].endpoint == "f"


def test_attempts_are_counted_by_destination():
    driver = drive(attempts={1: 2})
    assert driver.submit("m") == ["m"]
    for _ in range(2):
        driver.finish("m", "e", Outcome.ERROR)
        while driver.now < 7 * SECOND and not driver.actions_of(Send) and not driver.actions_of(Shed):
            driver.tick(50 * MILLISECOND)
    assert driver.attempts["m"] == 1
    assert [refused.id for refused in driver.actions_of(Shed)] == ["m"]
    assert driver.now < 7 * SECOND  # at once, and not when its time is up


def told_calls(senders, left, kind="one"):
    """Calls begun at a partner with a limit of one a second a sender in 20 s, while every answer tells what is left."""
    driver = EngineDriver(replica_count=senders, call_slots=100, max_queued=1000)
    listed(driver, 1.0, kind=kind)
    first = driver.submit("first")[0]
    driver.finish(first, "e", load_report={"x0": 0.0, "x1": float(senders)}, after=MILLISECOND)
    driver.submit(*(f"m{n}" for n in range(100)))
    calls, told = 0, []
    for _ in range(400):
        sent = [send.id for send in driver.actions_of(Send)]
        calls += bool(sent)
        driver.step(
            *(
                AttemptFinished(
                    name, driver.attempts[name], "e", Outcome.OK, 1, True, 0, {"x0": left, "x1": float(senders)}
                )
                for name in told
            ),
            after=50 * MILLISECOND,
        )
        told = sent
    return calls


def test_what_many_senders_leave_of_a_limit_is_taken_within_seconds():
    """Told that 0.8 to 1 of the limit was left, a sender with messages waiting went on at a call in one to two seconds:
    its pace grew by a tenth a call, and its calls were few."""
    grown, even = told_calls(200, 0.9), told_calls(200, 0.4)
    assert even <= 22
    assert grown >= 2 * even


def test_what_few_senders_leave_may_be_chance_and_what_gathers_in_calls_needs_no_more_of_them():
    assert told_calls(4, 0.9) < 0.8 * told_calls(200, 0.9)
    assert told_calls(200, 0.9, "many") < 0.8 * told_calls(200, 0.9)
