"""The guards of the six rules, and the troubles found on the way; each test fails without its fix."""

import pytest
from helpers import MS, Drive, S, message_class, settings

from scalefall.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.engine import Engine
from scalefall.policy.events import (
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
    Message,
    MessageWithdrawn,
    Outcome,
    ProbeFinished,
    TimerFired,
)
from scalefall.policy.settings import Idempotency

O = Outcome  # noqa: E741


def serve(d, endpoint, times=6, took=100 * MS, dest=1, cls="safe"):
    """Give the destination a history of quick successes."""
    for n in range(times):
        name = f"{endpoint}-warm{d.now}-{n}"
        assert d.arrive(name, dest=dest, cls=cls) == [name]
        d.result(name, endpoint, after=took)


# -- no message lost


def test_a_message_without_endpoint_is_answered_by_due():
    d = Drive()
    assert d.arrive("m", dest=9) == []
    d.tick(8 * S)
    assert [a.id for a in d.of(Shed)] == ["m"]


def test_an_unknown_class_is_answered_at_once():
    d = Drive()
    d.turn(Message("m", 1, "never heard of", 8 * S))
    assert [a.id for a in d.of(Fail)] == ["m"]


def test_a_message_that_is_out_at_due_fails_at_due():
    d = Drive()
    d.list(("e", 1))
    assert d.arrive("m", cls="unsafe") == ["m"]
    d.tick(16 * S)
    assert [a.id for a in d.of(Fail)] == ["m"]
    d.result("m", "e", O.TIMEOUT)
    assert d.actions == []


def test_a_timer_is_set_for_due():
    d = Drive()
    d.arrive("m", cls="unsafe")
    assert 16 * S in [t.delay_us for t in d.of(SetTimer)]


def test_nothing_follows_a_drop():
    d = Drive()
    d.list(("e", 1))
    d.arrive("m")
    d.turn(MessageWithdrawn("m"))
    d.result("m", "e", O.OVERLOADED)
    d.tick(9 * S)
    assert d.actions == []


@pytest.mark.parametrize(
    "event",
    [
        MessageWithdrawn("ghost"),
        TimerFired(99),
        ProbeFinished("ghost", O.OK, 5),
        AttemptFinished("ghost", 0, "e", O.TIMEOUT, 5),
    ],
)
def test_events_for_what_is_not_held_are_passed_over(event):
    d = Drive()
    assert d.turn(event) == []


# -- no effect twice


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMEOUT, O.RESET, O.CANCELLED])
def test_unsafe_that_may_have_run_fails_at_once(outcome):
    d = Drive()
    d.list(("e", 1))
    d.arrive("m", cls="unsafe")
    d.result("m", "e", outcome)
    assert [type(a) for a in d.actions if not isinstance(a, SetTimer)] == [Fail]


def test_unsafe_that_never_ran_goes_again():
    d = Drive()
    d.list(("e", 1))
    d.arrive("m", cls="unsafe")
    sent = d.result("m", "e", O.CONNECT_FAILED) + d.tick(2 * S)
    assert sent == ["m"]


def test_unsafe_is_never_cut_short():
    d = Drive()
    d.list(("e", 1))
    d.arrive("m", cls="unsafe")
    assert d.of(Send)[0].timeout_us == 16 * S


def test_keyed_is_not_resent_after_its_time():
    d = Drive(classes={"keyed": message_class("keyed", Idempotency.WITH_KEY, key_ttl_us=2 * S)})
    d.list(("e", 1))
    d.arrive("m", cls="keyed")
    assert d.result("m", "e", O.RESET, after=2 * S) == []
    assert d.tick(S) == []


def test_keyed_whose_time_ran_out_during_an_attempt_is_not_resent_in_the_same_turn():
    """An attempt that never ran may end after the window of one that may have; the look at late ones was over then."""
    d = Drive(classes={"keyed": message_class("keyed", Idempotency.WITH_KEY, key_ttl_us=2 * S)})
    d.list(("e", 1))
    d.arrive("m", cls="keyed")
    d.result("m", "e", O.RESET)
    while not d.tick(50 * MS):
        pass
    d.tick(2 * S)
    assert d.result("m", "e", O.NOT_SENT) == []
    assert [a.id for a in d.of(Shed)] == ["m"]


def test_keyed_stays_in_the_zone_that_may_have_run_it_and_is_not_refused():
    d = Drive()
    d.list(("a1", 1, "one", "a"))
    d.arrive("m", cls="zoned")
    d.list(("b1", 1, "one", "b"), kind=ListUpdateKind.CHANGES)
    d.list(("a1", 1, "one", "a"), kind=ListUpdateKind.CHANGES, status=EndpointStatus.DRAINING)
    assert d.result("m", "a1", O.ERROR) == []
    assert d.tick(3 * S) == []
    assert d.of(Shed) == []
    d.tick(3 * S)
    assert [a.id for a in d.of(Fail)] == ["m"]


def test_never_two_attempts_out():
    d = Drive()
    d.list(("e", 1), ("f", 1))
    d.arrive("m")
    for _ in range(20):
        assert d.tick(100 * MS) == []


# -- drains kept


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_nothing_new_to_a_draining_or_gone_endpoint(status):
    d = Drive()
    d.list(("e", 1))
    d.list(("e", 1), kind=ListUpdateKind.CHANGES, status=status)
    assert d.arrive("m") == []
    d.list(("e", 1), kind=ListUpdateKind.CHANGES)
    assert [s.id for s in d.of(Send)] == ["m"]


def test_an_endpoint_missing_from_a_whole_list_is_gone():
    d = Drive()
    d.list(("e", 1), ("f", 1))
    d.list(("f", 1), ("f", 1))
    d.arrive("m", "n")
    assert {s.endpoint for s in d.of(Send)} == {"f"}
    d.list()
    assert d.arrive("o") == []


# -- waits heeded


def test_a_told_wait_silences_the_destination():
    d = Drive()
    d.list(("e", 1), ("f", 1))
    d.arrive("m")
    assert d.result("m", d.of(Send)[0].endpoint, O.OVERLOADED, wait=3 * S) == []
    assert d.arrive("n", after=2900 * MS) == []
    assert d.tick(100 * MS) + d.arrive("o", after=12 * S) != []


def test_where_routes_are_apart_the_wait_holds_for_the_route():
    d = Drive()
    d.list(("r", 1, "route"), ("s", 1, "route"))
    d.arrive("m")
    first = d.of(Send)[0].endpoint
    assert d.result("m", first, O.OVERLOADED, wait=3 * S) == ["m"]
    assert d.of(Send)[0].endpoint != first


def test_every_outcome_of_one_call_tells_its_own_wait():
    d = Drive()
    d.list(("e", 1, "many"))
    assert d.arrive("m1", "m2") == ["m1", "m2"]
    assert d.result(["m1", "m2"], "e", O.OVERLOADED, wait=[300 * MS, 2700 * MS]) == []
    assert d.tick(2650 * MS) == []
    assert d.tick(60 * MS) != []


# -- order kept


def test_one_key_goes_one_at_a_time_in_order():
    d = Drive()
    d.list(("e", 1), ("f", 2))
    assert d.arrive("a", cls="ordered", key="k") == ["a"]
    assert d.arrive("b", cls="ordered", key="k", dest=2) == []
    assert d.arrive("c", cls="ordered", key="other") == ["c"]
    assert d.result("a", "e") == ["b"]


def test_a_key_rests_after_a_timeout():
    d = Drive()
    d.list(("e", 1))
    d.arrive("a", cls="ordered", key="k")
    d.arrive("b", cls="ordered", key="k")
    assert d.result("a", "e", O.TIMEOUT) == []
    assert d.tick(280 * MS) == []
    assert d.tick(20 * MS) == ["b"]


def test_a_finished_message_with_an_attempt_out_still_holds_its_key():
    d = Drive()
    d.list(("e", 1))
    d.arrive("a", cls="ordered", key="k")
    d.arrive("b", cls="ordered", key="k")
    d.turn(MessageWithdrawn("a"))
    assert d.tick(S) == []
    assert d.result("a", "e", O.OK) == ["b"]


# -- a returning destination


def down(d):
    d.list(("e", 1))
    serve(d, "e", 10)
    for n in range(3):
        d.arrive(f"x{n}", cls="unsafe")
    for n in range(3):
        d.result(f"x{n}", "e", O.RESET, after=10 * MS)


def sends_in(d, span, outcome, step=50 * MS):
    """Answer every send at once with outcome; count the sends in span."""
    count, out = 0, [s.id for s in d.of(Send)]
    for n in range(span // step):
        out = d.result(out, "e", outcome, after=step) if out else d.arrive(f"t{d.now}-{n}", after=step)
        count += len(out)
    return count


def test_an_outage_is_met_with_one_question_and_then_the_budget():
    d = Drive()
    down(d)
    assert sends_in(d, 3 * S, O.CONNECT_FAILED) <= 10  # served within fall: questions at doubling gaps
    # 10 calls/s before: two thirds of 1.5 * 0.25 of three quarters of it and of a quarter of the even part, 2 calls/s
    assert 2 <= sends_in(d, 12 * S, O.CONNECT_FAILED) <= 26


def test_the_return_is_a_ramp_not_a_burst():
    d = Drive(max_queued=1000)
    down(d)
    sends_in(d, 6 * S, O.CONNECT_FAILED)
    while not d.arrive(f"t{d.now}", after=100 * MS):
        pass
    first = sends_in(d, 3 * S, O.OK)
    assert 3 <= first <= 12  # 10 in 1 s before the outage: a quarter of that at first
    sends_in(d, 12 * S, O.OK)
    assert sends_in(d, 3 * S, O.OK) >= 25


def test_a_warm_partner_is_served_at_its_own_part_not_at_that_of_one_of_its_endpoints():
    """At size a partner's pace fell by half as the last guard went, with its backlog waiting: 160 to 84 calls/s."""
    d = Drive(replica_count=4, max_queued=1000, call_slots=40)
    d.list(("e", 1), ("f", 1))
    told = {"x0": 0.4, "x1": 40.0}
    for n in range(20):
        d.arrive(f"w{n}")
        d.result(f"w{n}", d.of(Send)[0].endpoint, report=told, after=200 * MS)
    held, rates = False, []
    for n in range(30 * S // (50 * MS)):  # down for 4 s, and then back
        up = n > 80
        sent = [(s.id, s.endpoint) for s in d.of(Send)]
        d.turn(
            *(
                AttemptFinished(
                    m, d.attempts[m], e, O.OK if up else O.CONNECT_FAILED, 50 * MS, up, 0, told if up else {}
                )
                for m, e in sent
            ),
            Message(f"t{n}", 1, "safe", d.now + 8 * S),
            after=50 * MS,
        )
        route = d.engine.state.destinations[1].routes[""]
        doubts = any(
            guard.consecutive_failures
            for guard in [route.slow_start, *(server.slow_start for server in route.endpoints)]
        )
        held = held or doubts
        rates += [route.rate] if held and not doubts else []
    assert held
    assert len(rates) > 20
    assert min(rates) >= 10


def test_one_failure_is_asked_about_once_before_the_budget_holds():
    """The old guard let a sender go on after one failure; of many senders most see just one."""
    d = Drive(replica_count=200)
    d.list(("e", 1))
    d.arrive("m1")
    assert d.result("m1", "e", O.CONNECT_FAILED) == []
    sent = d.arrive("m2", "m3", "m4") + d.tick(S) + d.tick(S)
    assert len(sent) == 1
    d.result(sent, "e", O.CONNECT_FAILED)
    assert sends_in(d, 60 * S, O.CONNECT_FAILED) <= 1


def test_refusals_alone_are_met_as_an_outage_and_beside_successes_are_not():
    """A shut partner answers full: with the pace's floors alone all senders add up to its full limit."""
    d = Drive(replica_count=200)
    d.list(("e", 1))
    d.arrive("m1")
    d.result("m1", "e", O.OVERLOADED)
    sent = d.tick(2 * S)
    assert sent == ["m1"]
    d.result(sent, "e", O.OVERLOADED)
    assert sends_in(d, 60 * S, O.OVERLOADED) <= 1
    assert d.engine.state.endpoints["e"].route.slow_start.consecutive_failures > 1
    d = Drive()
    d.list(("e", 1))
    d.arrive("a", "b", "c", "d")
    d.result("a", "e", after=50 * MS)
    for name in "bcd":
        d.result(name, "e", O.OVERLOADED, after=MS)
    assert d.engine.state.endpoints["e"].route.slow_start.consecutive_failures == 0


def test_an_answer_to_the_question_ends_the_doubt():
    d = Drive(replica_count=200)
    d.list(("e", 1))
    d.arrive("m1")
    d.result("m1", "e", O.CONNECT_FAILED)
    assert d.tick(S) == ["m1"]
    d.result("m1", "e", O.OK)
    assert d.arrive("n1", "n2", "n3") == ["n1", "n2", "n3"]


def test_an_outage_of_the_route_holds_for_its_other_endpoints_one_of_an_endpoint_does_not():
    d = Drive(replica_count=200)
    d.list(("e", 1), ("f", 1))
    for _ in range(2):
        sent = d.arrive(f"m{d.now}") or d.tick(2 * S)
        d.result(sent, d.of(Send)[0].endpoint, O.CONNECT_FAILED)
    assert sends_in(d, 30 * S, O.CONNECT_FAILED) <= 1
    d = Drive(replica_count=200)
    d.list(("e", 1), ("f", 1))
    asked = 0
    for n in range(30):
        d.arrive(f"u{n}", f"v{n}", cls="unsafe", after=S)
        at = [(s.endpoint, s.id) for s in d.of(Send)]
        asked += sum(e == "e" for e, _ in at)
        for e, name in sorted(at, reverse=True):
            d.result(name, e, O.OK if e == "f" else O.RESET, after=50 * MS)
    assert asked <= 4
    assert d.engine.state.endpoints["e"].slow_start.consecutive_failures > 1
    assert not d.engine.state.endpoints["e"].route.slow_start.consecutive_failures


@pytest.mark.parametrize(("wait", "soon"), [(2 * S, 25), (10 * S, 3)])
def test_senders_told_to_wait_do_not_come_back_together(wait, soon):
    """A shut partner tells all the same end. Short waits: back over four times the wait; over fall: the budget."""
    back = []
    for seed in range(60):
        d = Drive(replica_count=200, classes={"patient": message_class("patient", deadline_us=60 * S)})
        d.engine = type(d.engine)(d.settings, seed)
        d.list(("e", 1))
        d.arrive("m", cls="patient")
        d.result("m", "e", O.OVERLOADED, wait=wait)
        start = d.now
        while d.now < start + wait + 2 * S and not d.tick(100 * MS):
            pass
        back.append(d.now - start - wait)
    assert min(back) >= 0
    assert sum(t < 2 * S for t in back) <= soon
    assert sum(t < 500 * MS for t in back) <= 20


def held(siblings=200, **changes):
    """A sender that was served 12 times in 6 s and then saw its question fail too."""
    d = Drive(replica_count=siblings, max_queued=1000, **changes)
    d.list(("e", 1, "route"))
    for n in range(12):
        d.arrive(f"w{n}", after=400 * MS)
        d.result(f"w{n}", "e", after=100 * MS)
    for name in ("x", "y", "z"):
        d.arrive(name, after=4 * S)
        d.result(d.tick(S) or name, "e", O.CONNECT_FAILED) if name in d.attempts else None
    assert d.engine.state.endpoints["e"].route.slow_start.consecutive_failures > 1
    return d


def test_a_guard_outlives_a_relisting_of_its_endpoint():
    d = held()
    guard = d.engine.state.endpoints["e"].route.slow_start
    d.list(("x", 9))
    d.list(("x", 9), ("e", 1, "route"))
    assert d.engine.state.endpoints["e"].route.slow_start is guard


def test_one_failure_in_the_ramp_is_a_question_and_two_start_it_anew():
    d = held(siblings=4)
    guard = d.engine.state.endpoints["e"].route.slow_start
    while guard.warming_since < 0:
        for name in d.arrive(f"t{d.now}", after=500 * MS) or d.tick(500 * MS):
            d.result(name, "e", O.OK)
    began, fails = guard.warming_since, 0
    while fails < 2:
        for name in d.arrive(f"t{d.now}", after=100 * MS) or d.tick(100 * MS):
            d.result(name, "e", O.RESET)
            fails += 1
            assert guard.warming_since == (began if fails == 1 else -1)


def test_a_rough_weight_counts_as_half_too_high():
    parts = []
    for weights in ("nominal", "rough"):
        d = Drive(replica_count=10, weights=weights)
        d.turn(EndpointListUpdate(ListUpdateKind.WHOLE, [Endpoint("e", "a", "one", 1, EndpointStatus.READY, 6.0)]))
        d.arrive("m")
        d.result("m", "e", O.RESET)
        parts.append(d.engine.state.endpoints["e"].route.slow_start.own_rate)
    assert parts[0] == pytest.approx(1.5 * parts[1])


def test_an_overdue_call_is_evidence_before_any_outcome():
    d = Drive()
    d.list(("e", 1))
    serve(d, "e", 10, cls="unsafe")
    d.arrive("hung", cls="unsafe")
    d.tick(2 * S)
    sent = d.arrive(*(f"m{n}" for n in range(4)), cls="unsafe") + d.tick(S)
    assert len(sent) == 1


# -- further departures


def test_a_failed_connect_beside_a_success_is_a_cap_not_an_outage():
    d = Drive()
    d.list(("e", 1))
    for n in range(5):
        d.arrive(f"a{n}", cls="unsafe")
    d.result("a0", "e", after=50 * MS)
    for n in (1, 2, 3):
        d.result(f"a{n}", "e", O.CONNECT_FAILED, after=10 * MS)
    assert not d.engine.state.endpoints["e"].slow_start.consecutive_failures
    assert d.of(Send) == []
    assert sorted(d.tick(400 * MS)) == ["a1", "a2", "a3"]


def test_calls_that_never_answer_give_their_slots_back():
    d = Drive(call_slots=2)
    d.list(("e", 1), ("f", 2))
    serve(d, "e", 6, cls="unsafe")
    d.arrive("h1", cls="unsafe")
    d.arrive("h2", cls="unsafe", dest=2)
    d.tick(3 * S)
    assert d.of(CancelAttempt) == []
    assert d.arrive("waits", dest=3) == []
    assert [c.id for c in d.of(CancelAttempt)] == ["h1"]
    assert d.arrive("waits too", dest=4, after=2 * S) == []
    assert [c.id for c in d.of(CancelAttempt)] == ["h2"]


def paced(*reports, gap=100 * MS):
    """A sender whose calls were all answered full, with these reports; its route."""
    d = Drive(replica_count=200)
    d.list(("e", 1))
    for n, report in enumerate(reports):
        d.arrive(f"m{n}", after=20 * S)
        d.result(f"m{n}", "e", O.OVERLOADED, after=gap, report=report)
    return d, d.engine.state.endpoints["e"].route


def test_full_cuts_the_pace_to_half():
    d, route = paced({})
    assert route.rate == 1.0
    assert d.tick(400 * MS) == []
    assert d.tick(1200 * MS) == ["m0"]


def test_the_pace_falls_well_under_one_call_a_second_and_is_free_again_with_time():
    d, route = paced({})
    lowest = 1.0
    count, sent = 0, []
    for n in range(120):
        d.arrive(f"n{n}", after=200 * MS)
        sent += [s.id for s in d.of(Send)]
        if sent:
            count += 1
            d.result(sent.pop(), "e", O.OK if count % 2 else O.OVERLOADED, after=10 * MS)
            sent += [s.id for s in d.of(Send)]
        lowest = min(lowest, route.rate)
    assert lowest < 0.5
    d.tick(200 * S)
    d.engine.pacing.refill(route)
    assert route.rate == float("inf")


def test_the_even_part_of_a_told_limit_is_the_floor_of_the_pace():
    d = Drive(replica_count=2)
    d.list(("e", 1))
    d.arrive("m", after=20 * S)
    d.result("m", "e", O.OVERLOADED, report={"x0": 0.5, "x1": 8.0})
    assert d.engine.state.endpoints["e"].route.rate == 4.0


def test_little_left_in_a_report_slows_down_before_a_refusal_does():
    d = Drive(replica_count=200)
    d.list(("e", 1))
    serve(d, "e", 3)
    route = d.engine.state.endpoints["e"].route
    assert route.rate == float("inf")
    d.arrive("m")
    d.result("m", "e", report={"x0": 0.05, "x1": 8.0})
    assert 0 < route.rate <= 2.0
    assert route.reported_limit == 8.0


@pytest.mark.parametrize("limit", [0, -3, 1e12, None])
def test_absurd_limits_are_taken_in_stride(limit):
    d = Drive()
    d.list(("e", 1))
    d.arrive("m")
    d.result("m", "e", report={"x0": 0.0, "x1": limit})
    d.arrive("n", after=20 * S)
    for outcome in (O.ERROR, O.ERROR, O.OK):
        d.result("n", "e", outcome)
        d.tick(9 * S)
        d.arrive("n" * (d.now // S), after=S)


def test_senders_do_not_meet_at_the_first_endpoint_of_the_list():
    first = []
    for seed in range(40):
        d = Drive()
        d.engine = type(d.engine)(d.settings, seed)
        d.list(("e", 1), ("f", 1), ("g", 1), ("h", 1))
        d.arrive("m")
        first.append(d.of(Send)[0].endpoint)
    assert all(first.count(e) >= 3 for e in "efgh")


def test_idle_connections_are_closed_for_a_while_where_an_endpoint_that_serves_turns_one_away():
    """Closed for good, and for all of the kind, they cost a handshake for nearly every call after an outage."""
    d = Drive()
    d.list(("e", 1), ("f", 2))
    serve(d, "e", 1)
    d.arrive("m")
    d.result("m", "e", O.CONNECT_FAILED)
    assert d.tick(S) == ["m"]
    d.result("m", "e")
    assert [c.endpoint for c in d.of(CloseIdleConnections)] == ["e"]
    serve(d, "f", 1, dest=2)
    assert d.of(CloseIdleConnections) == []
    d.tick(3 * S)
    serve(d, "e", 1)
    assert d.of(CloseIdleConnections) == []


def test_a_connection_turned_away_by_a_full_table_slows_nothing_and_holds_nothing():
    """At size most refusals are of this kind: as refusals of calls they held each sender to one call in 8 s."""
    d = Drive(replica_count=40)
    d.list(("e", 1))
    serve(d, "e")
    for n in range(3):
        assert d.arrive(f"away{n}") == [f"away{n}"]
        d.result(f"away{n}", "e", O.CONNECTIONS_EXHAUSTED)
        d.tick(S)  # sent again after a pause, and served
        d.result(f"away{n}", "e")
    assert d.arrive("next") == ["next"]
    assert not d.of(LogLine)
    d.result("next", "e", O.CONNECTIONS_EXHAUSTED, after=0)
    assert d.of(Send) == []
    assert d.tick(10 * MS) == []


def test_a_failed_connect_of_an_endpoint_that_has_not_served_lately_closes_nothing():
    d = Drive()
    d.list(("e", 1))
    serve(d, "e", 1)
    assert d.arrive("m", after=5 * S) == ["m"]
    d.result("m", "e", O.CONNECT_FAILED)
    assert d.tick(S) == ["m"]
    d.result("m", "e")
    assert d.of(CloseIdleConnections) == []


def test_a_pace_stays_at_the_even_part_of_a_told_limit_and_half_of_what_is_unused():
    """Refused calls cost, and use up the limit too; where a call takes many, they gather meanwhile."""
    for left, rate in ((0.2, 2.0), (0.5, 2.0), (1.0, 5.0)):
        d = Drive(replica_count=4)
        d.list(("e", 1, "many"))
        d.arrive("m")
        d.result("m", "e", report={"x0": left, "x1": 8.0})
        assert d.engine.state.endpoints["e"].route.rate == pytest.approx(rate)
        for n in range(50):
            for name in d.arrive(f"m{n}", after=100 * MS):
                d.result(name, "e", after=0)
        assert d.engine.state.endpoints["e"].route.rate == pytest.approx(rate)


def test_a_short_told_wait_is_no_doubt_where_a_limit_is_told():
    """Above a limit a partner tells the rest of its span; taken for an outage, a sender sent nothing for 14 s."""
    for wait, doubts in ((S, False), (4 * S, True)):
        d = Drive(replica_count=2)
        d.list(("e", 1))
        d.arrive("a")
        d.result("a", "e", O.OVERLOADED, wait=wait, report={"x0": 0.5, "x1": 3.0})
        assert bool(d.engine.state.endpoints["e"].slow_start.consecutive_failures) is doubts


def test_a_sender_that_has_seen_little_has_an_even_part_and_its_trials_carry_many():
    d = Drive(replica_count=2)
    d.list(("e", 1, "many"))
    d.arrive("a")
    d.result("a", "e", O.OVERLOADED, report={"x0": 0.5, "x1": 3.0})
    d.arrive(*(f"m{n}" for n in range(9)))
    for _ in range(2):
        sent = []
        while not sent:
            sent = d.tick(100 * MS)
        assert len(sent) == 10
        d.result(sent, "e", O.RESET)
    assert d.engine.state.endpoints["e"].slow_start.own_rate == pytest.approx(1.5)


def test_what_is_worth_more_goes_as_if_it_had_waited_longer():
    d = Drive(call_slots=1, classes={"safe": message_class(), "dear": message_class("dear", priority_weight=3.0)})
    d.list(("e", 1))
    d.arrive("out")
    d.arrive("old")
    d.arrive("dear", cls="dear", after=100 * MS)
    assert d.result("out", "e", after=100 * MS) == ["dear"]
    assert d.result("dear", "e") == ["old"]


def test_a_call_without_figures_is_given_a_quarter_of_its_deadline():
    d = Drive()
    d.list(("e", 1))
    d.arrive("m")
    assert d.of(Send)[0].timeout_us == 2 * S


def test_one_call_carries_many_for_one_slot():
    d = Drive(call_slots=1)
    d.list(("e", 1, "many"))
    assert len(d.arrive(*(f"m{n}" for n in range(21)))) == 20
    d.result([f"m{n}" for n in range(20)], "e")
    assert [s.id for s in d.of(Send)] == ["m20"]


def test_slots_are_kept():
    d = Drive(call_slots=3)
    d.list(("e", 1), ("f", 2), ("g", 3), ("h", 4))
    sent = [d.arrive(f"m{n}", dest=n) for n in range(1, 5)]
    assert sent == [["m1"], ["m2"], ["m3"], []]


def test_the_directory_is_asked_and_asked_again():
    """It counts as told what it has not heard: after the time for asking, or four of these after a call that failed."""
    d = Drive(polls_endpoint_list=True, replica_count=230)
    d.list(("e", 1), kind=ListUpdateKind.CACHED)
    for fails in range(60):
        token = d.of(SetTimer)[0]
        assert token.delay_us <= d.settings.poll_within_us * (3.6 if fails > 1 else 0.9)
        d.turn(TimerFired(token.token), after=token.delay_us)
        assert d.of(PollEndpointList) == [PollEndpointList(True)]
        d.turn(EndpointListUpdate(ListUpdateKind.FAILED))


@pytest.mark.parametrize(("senders", "least"), [(1, 0), (40, 30)])
def test_many_senders_that_start_together_ask_the_directory_one_after_another(senders, least):
    """It serves one call at a time, 0.15 s each, and fails one that has waited 1 s: of 28 that restarted
    together 5 were served, and those that failed came back together until 18 s later."""
    asks = []
    for n in range(senders):
        sender = Engine(settings(replica_count=senders, replica_index=n, polls_endpoint_list=True), 1000 + n)
        endpoint = Endpoint("e", "a", "one", 1, EndpointStatus.READY, 0.0)
        timers = [
            a
            for a in sender.handle(0, [EndpointListUpdate(ListUpdateKind.CACHED, [endpoint])])
            if isinstance(a, SetTimer)
        ]
        asks.append(timers[0].delay_us)
    free, served = 0, 0
    for at in sorted(asks):
        if max(free, at) - at < S:
            free, served = max(free, at) + 150 * MS, served + 1
    assert max(asks) <= 200 * MS * senders
    assert served > least


def test_what_has_lost_half_its_worth_goes_behind():
    d = Drive(call_slots=1)
    d.list(("e", 1))
    d.arrive("hog", cls="unsafe")
    d.arrive("old", cls="safe")
    d.arrive("fresh", cls="safe", after=7900 * MS)
    old = d.engine.state.messages["old"]
    assert (
        d.engine.priority.key(old) > d.engine.priority.key(d.engine.state.messages["fresh"])
        or old.message_class.late_priority_weight >= 0.5
    )


def test_attempts_stop_at_the_most_allowed():
    d = Drive(max_attempts=2)
    d.list(("e", 1))
    d.arrive("m")
    d.result("m", "e", O.ERROR)
    assert d.tick(S) == ["m"]
    d.result("m", "e", O.ERROR)
    assert [a.id for a in d.of(Shed)] == ["m"]


@pytest.mark.parametrize("busy", [0, 20])
def test_trials_of_many_senders_together_keep_to_what_a_cold_destination_may_get(busy):
    """100 senders with messages waiting, all told; some of them had all the traffic before, or none had any."""
    budget, trials = 1.5 * 0.25 * 6.0, 0
    for n in range(100):
        d = Drive(replica_count=100, replica_index=n, weights="nominal")
        d.engine = type(d.engine)(d.settings, n)
        d.turn(EndpointListUpdate(ListUpdateKind.WHOLE, [Endpoint("e", "a", "one", 1, EndpointStatus.READY, 6.0)]))
        for k in range(3 if n < busy else 0):  # 20 senders with 0.3 calls/s each: the limit of 6
            d.arrive(f"w{k}", after=3300 * MS)
            d.result(f"w{k}", "e", after=100 * MS)
        for k in range(2):
            name = f"x{k}"
            sent = d.arrive(name) or d.tick(2 * S)
            d.result(sent, "e", O.CONNECT_FAILED, after=10 * MS)
        sends_in(d, 3 * S, O.CONNECT_FAILED)  # questions
        trials += sends_in(d, 60 * S, O.CONNECT_FAILED)
    assert 5 <= trials <= 60 * budget * 2 / 3


def test_the_ready_endpoint_with_fewest_calls_out_is_chosen():
    d = Drive()
    d.list(("e", 1), ("f", 1))
    d.arrive("a", cls="unsafe")
    first = d.of(Send)[0].endpoint
    d.arrive("b", cls="unsafe")
    assert {first, d.of(Send)[0].endpoint} == {"e", "f"}
    d.result("a", first)
    d.arrive("c", cls="unsafe")
    assert d.of(Send)[0].endpoint == first


# -- cost and memory


def test_a_turn_looks_only_at_what_its_events_touch():
    d = Drive(call_slots=1)
    d.list(*((f"e{n}", n) for n in range(200)))
    d.arrive("out")
    looked = []
    d.engine.routing.next_call_at = lambda route: looked.append(route) or d.now + S
    d.arrive("m", dest=5)
    assert looked == [d.engine.state.destinations[5].routes[""]]


def test_no_timer_is_set_while_nothing_waits_and_one_while_it_does():
    d = Drive()
    d.list(("e", 1))
    d.arrive("m")
    d.result("m", "e")
    d.tick(9 * S)
    assert d.actions == []
    d.turn(Message("w", 2, "safe", d.now + 8 * S))
    assert [t.delay_us for t in d.of(SetTimer)] == [8 * S]


def test_gone_endpoints_are_forgotten_once_nothing_is_out():
    d = Drive()
    d.list(("e", 1), ("r", 3, "route"))
    d.arrive("m")
    d.list(("f", 1))
    assert sorted(d.engine.state.endpoints) == ["e", "f"]
    assert d.engine.state.destinations[3].routes == {}
    d.result("m", "e")
    assert sorted(d.engine.state.endpoints) == ["f"]
    assert len(d.engine.state.destinations[1].routes[""].endpoints) == 1


def test_a_wait_told_by_the_last_call_of_a_gone_route_is_kept_when_it_is_listed_again():
    d = Drive()
    d.list(("r", 3, "route"))
    assert d.arrive("m", dest=3) == ["m"]
    d.list(("x", 9))
    d.result("m", "r", O.OVERLOADED, wait=2 * S)
    d.list(("x", 9), ("r", 3, "route"))
    assert d.of(Send) == []
    assert d.tick(1900 * MS) == []
    assert d.arrive("n", dest=3) == []


def test_an_endpoint_that_moves_serves_its_new_destination_only():
    d = Drive()
    d.list(("e", 1))
    assert d.arrive("m") == ["m"]
    d.list(("e", 2))
    d.result("m", "e")
    assert d.arrive("n") == []
    assert d.arrive("o", dest=2) == ["o"]
    d.result("o", "e")
    d.list(("e", 3))
    assert [r.endpoints for r in d.engine.state.destinations[2].routes.values()] == [[]]


def test_the_module_forgets_endpoints_destinations_and_calls_that_are_long_over():
    """On a long day ids are ever new, and a route that was never slowed down kept the time of every call."""
    drive = Drive()
    for n in range(300):
        drive.list((f"e{n}", 1), (f"d{n}", 1000 + n))
        drive.arrive(f"m{n}")
        drive.result(f"m{n}", drive.of(Send)[0].endpoint, after=S)
    engine, state = drive.engine, drive.engine.state
    route = state.destinations[1].routes[""]
    assert len(route.sent_at) < 10
    assert len(route.served_at) < 15
    assert set(state.endpoints) == {"e299", "d299"}
    assert 1 in state.destinations
    assert len(state.destinations) < 70
    assert not state.messages
    assert not engine.attempts.in_flight
    assert not engine.ordering.queues
    assert len(engine.schedule.deadlines) < 20


def test_the_pace_is_at_its_even_part_at_once_when_a_lowered_limit_is_told_to_have_risen():
    """After a throttling it grew by a tenth a call, from one call in two seconds: a quarter of a minute lost."""
    d = Drive()
    d.list(("e", 1))
    serve(d, "e")
    route = d.engine.state.destinations[1].routes[""]
    d.arrive("a", "b", "c")
    for name, limit, rate in (("a", 30.0, 15.0), ("b", 1.0, 0.5), ("c", 30.0, 15.0)):
        d.result(name, "e", report={"x0": 0.05, "x1": limit}, after=MS)
        assert route.rate == rate
    route.rate = 2.0  # as after an outage: a limit that stays lifts nothing
    d.arrive("d")
    d.result("d", "e", report={"x0": 0.4, "x1": 31.0}, after=S)
    assert route.rate < 3


def test_what_a_process_knew_of_a_route_sets_the_part_of_a_partner_that_is_down_at_the_next_start():
    """Restarted in an outage, a sender held a partner that had taken 12 of its calls a second to a part of 2."""
    d = Drive()
    d.list(("e", 1), ("f", 2))
    for n in range(100):
        d.arrive(f"m{n}")
        d.result(f"m{n}", "e", after=80 * MS)
    d.arrive("x", after=MS)
    d.result("x", "e", O.CONNECT_FAILED)
    known = {row.destination: row for row in d.engine.learned_rates()}
    assert set(known) == {1, 2}
    assert 9 < known[1].own_rate < 14
    again = Drive()
    again.list(("e", 1), kind=ListUpdateKind.CACHED)
    again.turn(known[1], known[2])  # an endpoint that is not listed any more makes no route
    again.arrive("y")
    again.result("y", "e", O.CONNECT_FAILED)
    assert again.engine.state.destinations[1].routes[""].slow_start.own_rate == known[1].own_rate
    assert 2 not in again.engine.state.destinations
    assert again.engine.learned_rates()[0].own_rate == known[1].own_rate  # and it lasts over a second restart
    again.tick(after=61 * S)
    assert again.engine.pacing.own_rate(again.engine.state.destinations[1].routes[""]) == 2.0


def test_a_partner_that_fails_is_held_to_its_even_part_of_a_told_limit_if_it_was_served_with_less():
    """Held to what it had served, a third of its limit, it had no room for the backlog of its outage."""
    d = Drive()
    d.list(("e", 1))
    for n in range(30):
        d.arrive(f"m{n}")
        d.result(f"m{n}", "e", after=S // 2, report={"x0": 0.9, "x1": 12.0})
    d.arrive("x")
    d.result("x", "e", O.CONNECT_FAILED)
    assert d.engine.state.destinations[1].routes[""].slow_start.own_rate == 6.0
