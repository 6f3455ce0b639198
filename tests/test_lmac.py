"""LMAC admission, with expected figures calculated by hand."""

import pytest
from helpers import MILLISECOND, EngineDriver, SECOND, message_class

from scalefall.policy.actions import Send, Shed
from scalefall.policy.envelope import BIN_US, MIN_COMPLETIONS, INTERVAL_LENGTHS_BINS, WINDOW_US, Envelope


def filled(counts):
    envelope = Envelope()
    for step, count in enumerate(counts):
        for _ in range(count):
            envelope.record_admission(step * BIN_US)
    envelope.advance((len(counts) - 1) * BIN_US)
    return envelope


def served(*chains, repeat=MIN_COMPLETIONS):
    """Return an envelope with calls, each chain a list of (start, end); calls are completed in order of their end."""
    envelope = Envelope()
    for n in range(repeat):
        for chain in chains:
            base = n * SECOND
            calls = [envelope.record_start(base + start) for start, _ in chain]
            for call, (_, end) in sorted(zip(calls, chain, strict=True), key=lambda row: row[1][1]):
                envelope.record_completion(base + end, call)
    return envelope


def test_request_envelope_rate_and_variance():
    envelope = filled([4, 0] * 20)  # 80 in 10 s: 2 in each bin on average
    assert envelope.total == 80
    assert envelope.sigma[0] == pytest.approx((40 * 4 / 38) ** 0.5)  # each bin deviates by 2; divisor 40/1 - 2
    assert envelope.sigma[1] == 0  # all pairs of bins have 4
    assert envelope.max_requests(0, 0) == 6  # 2 + 1.645 * 2.052 = 5.4
    assert envelope.max_requests(1, 40) == 6  # (80 + 40) * 2 / 40


def test_request_envelope_drops_what_left_the_window():
    envelope = filled([3] * 40)
    envelope.advance(39 * BIN_US + WINDOW_US)
    assert envelope.total == 0
    assert envelope.max_requests(0, 1.0) == 1


def test_interval_lengths_reach_a_quarter_of_the_window():
    assert max(INTERVAL_LENGTHS_BINS) * BIN_US * 4 == WINDOW_US


def test_service_envelope_counts_overlapping_calls():
    envelope = served([(0, 100 * MILLISECOND), (50 * MILLISECOND, 170 * MILLISECOND)])
    assert envelope.service_sums[1][0] == 2 * MIN_COMPLETIONS
    assert envelope.service_sums[2][0] == MIN_COMPLETIONS
    assert envelope.service_sums[1][1] / envelope.service_sums[1][0] == pytest.approx(0.11)  # (100 + 120) / 2 ms
    assert envelope.service_sums[2][1] / envelope.service_sums[2][0] == pytest.approx(0.17)  # first start to second end
    assert envelope.delay_us(2) == pytest.approx(170 * MILLISECOND)


def test_service_envelope_of_calls_that_do_not_overlap():
    envelope = served([(0, 100 * MILLISECOND), (150 * MILLISECOND, 250 * MILLISECOND)])
    assert max(envelope.service_sums) == 1


def test_service_envelope_is_linear_beyond_the_largest_sampled_chain():
    envelope = served([(0, 100 * MILLISECOND)])
    assert envelope.delay_us(1) == pytest.approx(100 * MILLISECOND)
    assert envelope.delay_us(5) == pytest.approx(500 * MILLISECOND)


def test_service_time_includes_its_standard_deviation_at_the_quantile():
    envelope = served([(0, 100 * MILLISECOND)], [(500 * MILLISECOND, 800 * MILLISECOND)], repeat=1)
    assert envelope.delay_us(1) == pytest.approx(200 * MILLISECOND + 1.645 * (2 * 0.1**2) ** 0.5 * SECOND)


def test_a_class_meets_its_target_up_to_the_limit_and_no_further():
    envelope = served([(0, 100 * MILLISECOND)])
    envelope.sigma, envelope.total = (
        [0.0] * len(INTERVAL_LENGTHS_BINS),
        79,
    )  # with one more, 8/s: 2, 4, 10 and 20 messages
    assert envelope.meets_target(0, 1.0)  # 200 <= 250, 400 <= 500, 1000 <= 1250, 2000 <= 2500 ms
    envelope.total = 119  # 12/s: 3 in 250 ms take 300 ms
    assert not envelope.meets_target(0, 1.0)
    assert not envelope.meets_target(490 * MILLISECOND, 1.0)
    assert envelope.meets_target(510 * MILLISECOND, 1.0)


def test_messages_of_another_class_reduce_the_service_of_a_class():
    envelope = served([(0, 100 * MILLISECOND)])
    envelope.sigma, envelope.total = (
        [0.0] * len(INTERVAL_LENGTHS_BINS),
        80,
    )  # 8/s meets the target by 50 ms at the shortest interval
    assert envelope.meets_target(0, 0, 0)
    assert not envelope.meets_target(0, 1.0, 10 * SECOND)  # (0.25 + 10) / 10 more: two calls, 400 ms > 250 ms


def slow_calls(envelope, count, start=0):
    """Record calls of 1.5 s each, one after another, within the window."""
    for n in range(count):
        envelope.record_completion(
            start + n * 1600 * MILLISECOND + 1500 * MILLISECOND, envelope.record_start(start + n * 1600 * MILLISECOND)
        )


def test_all_messages_are_admitted_until_there_are_enough_completions():
    envelope = Envelope()
    slow_calls(envelope, MIN_COMPLETIONS - 1)
    assert envelope.basis() is None
    assert envelope.meets_target(SECOND, 1.0)
    slow_calls(envelope, 1, (MIN_COMPLETIONS - 1) * 1600 * MILLISECOND)
    assert envelope.basis() is envelope
    assert not envelope.meets_target(SECOND, 1.0)


def test_while_a_route_has_few_completions_those_of_the_class_on_all_routes_are_used():
    shared = Envelope()
    busy, idle = Envelope(shared), Envelope(shared)
    slow_calls(busy, MIN_COMPLETIONS)
    assert idle.basis() is shared
    assert not idle.meets_target(SECOND, 1.0)
    slow_calls(idle, MIN_COMPLETIONS, 20 * SECOND)
    assert idle.basis() is idle


def test_a_new_route_uses_the_figures_of_the_class_on_other_routes():
    driver = EngineDriver()
    driver.update_list(("e", 1), ("f", 2))
    for n in range(MIN_COMPLETIONS):
        driver.submit(f"m{n}")
        driver.finish(f"m{n}", "e", after=50 * MILLISECOND)
    driver.submit("n", destination=2)
    assert driver.actions_of(Send)[0].timeout_us == 500 * MILLISECOND
    driver.submit("k", destination=2, class_name="keyed")
    assert driver.actions_of(Send)[0].timeout_us == 2 * SECOND


def test_a_message_that_is_not_admitted_waits_and_is_admitted_later():
    driver = EngineDriver(classes={"safe": message_class(deadline_us=2 * SECOND)})
    driver.update_list(("e", 1))
    for n in range(MIN_COMPLETIONS):
        driver.submit(f"m{n}")
        driver.finish(f"m{n}", "e", after=1500 * MILLISECOND)
    envelope = driver.engine.state.destinations[1].routes[""].envelopes["safe"]
    envelope.advance(driver.now)
    envelope.bins[-1] += 100  # more load than the route can serve in time
    envelope.total += 100
    assert driver.submit("late") == []
    assert "late" in driver.engine.state.destinations[1].waiting
    envelope.bins, envelope.total = [0] * 40, 0
    assert driver.tick(250 * MILLISECOND) == ["late"]


def test_messages_beyond_the_bound_on_waiting_ones_are_shed_at_once_with_a_retry_after():
    driver = EngineDriver(call_slots=1)
    driver.update_list(("e", 1))
    for n in range(3):
        driver.submit(f"w{n}")
        driver.finish(f"w{n}", "e", after=300 * MILLISECOND)
    driver.submit("first")
    shed = []
    for n in range(60):
        driver.submit(f"m{n}")
        shed += driver.actions_of(Shed)
    assert shed
    assert all(answer.retry_after_us == 300 * MILLISECOND for answer in shed)
    assert not any(answer.id == "m0" for answer in shed)


def test_a_message_is_shed_when_less_time_is_left_than_the_mean_service_time():
    driver = EngineDriver(call_slots=1)
    driver.update_list(("e", 1))
    driver.submit("w")
    driver.finish("w", "e", after=400 * MILLISECOND)
    driver.submit("slow", class_name="unsafe")
    driver.submit("m")
    driver.tick(7500 * MILLISECOND)
    assert driver.actions_of(Shed) == []
    driver.tick(150 * MILLISECOND)
    assert [shed.id for shed in driver.actions_of(Shed)] == ["m"]
