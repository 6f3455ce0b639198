"""LMAC with figures worked out by hand."""

import pytest
from helpers import MILLISECOND, EngineDriver, SECOND, message_class

from scalefall.policy.actions import Send, Shed
from scalefall.policy.envelope import BIN_US, MIN_COMPLETIONS, INTERVAL_LENGTHS_BINS, WINDOW_US, Envelope


def filled(counts):
    e = Envelope()
    for step, count in enumerate(counts):
        for _ in range(count):
            e.record_admission(step * BIN_US)
    e.advance((len(counts) - 1) * BIN_US)
    return e


def served(*chains, repeat=MIN_COMPLETIONS):
    """Each chain is a list of (start, end); ends are told in order."""
    e = Envelope()
    for n in range(repeat):
        for chain in chains:
            base = n * SECOND
            calls = [e.record_start(base + start) for start, _ in chain]
            for call, (_, end) in sorted(zip(calls, chain, strict=True), key=lambda row: row[1][1]):
                e.record_completion(base + end, call)
    return e


def test_request_envelope_rate_and_variance():
    e = filled([4, 0] * 20)  # 80 in 10 s: 2 a step in the mean
    assert e.total == 80
    assert e.sigma[0] == pytest.approx((40 * 4 / 38) ** 0.5)  # each step is 2 off; divisor 40/1 - 2
    assert e.sigma[1] == 0  # pairs of steps all hold 4
    assert e.max_requests(0, 0) == 6  # 2 + 1.645 * 2.052 = 5.4
    assert e.max_requests(1, 40) == 6  # (80 + 40) * 2 / 40


def test_request_envelope_forgets_what_left_the_window():
    e = filled([3] * 40)
    e.advance(39 * BIN_US + WINDOW_US)
    assert e.total == 0
    assert e.max_requests(0, 1.0) == 1


def test_taus_reach_a_quarter_of_the_window():
    assert max(INTERVAL_LENGTHS_BINS) * BIN_US * 4 == WINDOW_US


def test_service_envelope_counts_overlapping_calls():
    e = served([(0, 100 * MILLISECOND), (50 * MILLISECOND, 170 * MILLISECOND)])
    assert e.service_sums[1][0] == 2 * MIN_COMPLETIONS
    assert e.service_sums[2][0] == MIN_COMPLETIONS
    assert e.service_sums[1][1] / e.service_sums[1][0] == pytest.approx(0.11)  # (100 + 120) / 2 ms
    assert e.service_sums[2][1] / e.service_sums[2][0] == pytest.approx(0.17)  # first start to second end
    assert e.delay_us(2) == pytest.approx(170 * MILLISECOND)


def test_service_envelope_of_calls_that_do_not_overlap():
    e = served([(0, 100 * MILLISECOND), (150 * MILLISECOND, 250 * MILLISECOND)])
    assert max(e.service_sums) == 1


def test_service_envelope_is_linear_beyond_the_largest_seen():
    e = served([(0, 100 * MILLISECOND)])
    assert e.delay_us(1) == pytest.approx(100 * MILLISECOND)
    assert e.delay_us(5) == pytest.approx(500 * MILLISECOND)


def test_service_variance_enters_at_the_quantile():
    e = served([(0, 100 * MILLISECOND)], [(500 * MILLISECOND, 800 * MILLISECOND)], repeat=1)
    assert e.delay_us(1) == pytest.approx(200 * MILLISECOND + 1.645 * (2 * 0.1**2) ** 0.5 * SECOND)


def test_own_test_passes_up_to_target_and_no_further():
    e = served([(0, 100 * MILLISECOND)])
    e.sigma, e.total = [0.0] * len(INTERVAL_LENGTHS_BINS), 79  # with one more 8/s: 2, 4, 10 and 20 messages
    assert e.meets_target(0, 1.0)  # 200 <= 250, 400 <= 500, 1000 <= 1250, 2000 <= 2500 ms
    e.total = 119  # 12/s: 3 in 250 ms take 300 ms
    assert not e.meets_target(0, 1.0)
    assert not e.meets_target(490 * MILLISECOND, 1.0)
    assert e.meets_target(510 * MILLISECOND, 1.0)


def test_other_classes_are_tested_with_their_service_cut():
    e = served([(0, 100 * MILLISECOND)])
    e.sigma, e.total = [0.0] * len(INTERVAL_LENGTHS_BINS), 80  # 8/s passes with room of 50 ms at the least tau
    assert e.meets_target(0, 0, 0)
    assert not e.meets_target(0, 1.0, 10 * SECOND)  # (0.25 + 10) / 10 more: two calls, 400 ms > 250 ms


def slow_calls(e, count, start=0):
    """Calls one after another of 1.5 s each, within the window."""
    for n in range(count):
        e.record_completion(
            start + n * 1600 * MILLISECOND + 1500 * MILLISECOND, e.record_start(start + n * 1600 * MILLISECOND)
        )


def test_admission_is_free_until_enough_completions():
    e = Envelope()
    slow_calls(e, MIN_COMPLETIONS - 1)
    assert e.basis() is None
    assert e.meets_target(SECOND, 1.0)
    slow_calls(e, 1, (MIN_COMPLETIONS - 1) * 1600 * MILLISECOND)
    assert e.basis() is e
    assert not e.meets_target(SECOND, 1.0)


def test_while_a_route_has_few_figures_those_of_the_class_over_all_routes_decide():
    wide = Envelope()
    busy, quiet = Envelope(wide), Envelope(wide)
    slow_calls(busy, MIN_COMPLETIONS)
    assert quiet.basis() is wide
    assert not quiet.meets_target(SECOND, 1.0)
    slow_calls(quiet, MIN_COMPLETIONS, 20 * SECOND)
    assert quiet.basis() is quiet


def test_the_prior_is_the_senders_own_of_the_class():
    driver = EngineDriver()
    driver.update_list(("e", 1), ("f", 2))
    for n in range(MIN_COMPLETIONS):
        driver.submit(f"m{n}")
        driver.finish(f"m{n}", "e", after=50 * MILLISECOND)
    driver.submit("n", destination=2)
    assert driver.actions_of(Send)[0].timeout_us == 500 * MILLISECOND
    driver.submit("k", destination=2, class_name="keyed")
    assert driver.actions_of(Send)[0].timeout_us == 2 * SECOND


def test_a_message_that_fails_the_test_waits_and_is_tested_again():
    driver = EngineDriver(classes={c.name: c for c in (message_class(deadline_us=2 * SECOND),)})
    driver.update_list(("e", 1))
    for n in range(MIN_COMPLETIONS):
        driver.submit(f"m{n}")
        driver.finish(f"m{n}", "e", after=1500 * MILLISECOND)
    envelope = driver.engine.state.destinations[1].routes[""].envelopes["safe"]
    envelope.advance(driver.now)
    envelope.bins[-1] += 100  # a load that the figures cannot carry
    envelope.total += 100
    assert driver.submit("late") == []
    assert "late" in driver.engine.state.destinations[1].waiting
    envelope.bins, envelope.total = [0] * 40, 0
    assert driver.tick(250 * MILLISECOND) == ["late"]


def test_backlog_past_the_bound_is_refused_at_once_with_a_time_to_return():
    driver = EngineDriver(call_slots=1)
    driver.update_list(("e", 1))
    for n in range(3):
        driver.submit(f"w{n}")
        driver.finish(f"w{n}", "e", after=300 * MILLISECOND)
    driver.submit("first")
    refused = []
    for n in range(60):
        driver.submit(f"m{n}")
        refused += driver.actions_of(Shed)
    assert refused
    assert all(r.retry_after_us == 300 * MILLISECOND for r in refused)
    assert not any(a.id == "m0" for a in refused)


def test_time_left_under_the_mean_is_refused():
    driver = EngineDriver(call_slots=1)
    driver.update_list(("e", 1))
    driver.submit("w")
    driver.finish("w", "e", after=400 * MILLISECOND)
    driver.submit("hog", class_name="unsafe")
    driver.submit("m")
    driver.tick(7500 * MILLISECOND)
    assert driver.actions_of(Shed) == []
    driver.tick(150 * MILLISECOND)
    assert [shed.id for shed in driver.actions_of(Shed)] == ["m"]
