"""Whole installations in virtual time, judged by the audit; and mistakes made on purpose, each caught by its rule."""

import json

import pytest

from scalefall.control import audit
from scalefall.lab.partner.model import Shape
from scalefall.lab.world import SECOND, Plan, World, returning


def verdicts(world):
    """The audit's findings on a whole run, by rule."""
    rows, foreign = audit.read_log(json.dumps(row) for row in world.run())
    assert not foreign
    return {found.rule: found for found in audit.audit(rows)}


def broken(found):
    """The rules that are broken, each with its first lines."""
    return {rule: each.violations[:3] for rule, each in found.items() if each.violations}


@pytest.mark.parametrize("seed", [*range(8), 5116])  # the last one: two falls within one lease
def test_with_links_that_fail_while_endpoints_drain_every_rule_is_kept(seed):
    """And each of them has something to judge."""
    found = verdicts(World(Plan(shape=Shape(30.0, resets=0.1)), seed))
    assert not broken(found)
    assert all(found[rule].checked for rule in ("drain", "grants", "twice", "answer"))


@pytest.mark.parametrize(
    "more",
    [
        {},
        {"cuts": ((0, 15 * SECOND, 30 * SECOND),)},
        {"restarts": ((21 * SECOND, 22 * SECOND),)},
        {"restarts": ((26 * SECOND, 27 * SECOND),)},
    ],
    ids=["whole", "cut", "restart", "restart in the ramp"],
)
def test_a_destination_that_returns_cold_is_not_overloaded_and_is_used_again(more):
    """With a proxy cut off, and with control restarted at its return or in its slow start."""
    world = returning(1, **more)
    found = verdicts(world)
    assert not broken(found)
    assert found["fall"].checked > 50
    assert not world.partner.fell
    assert sum(row["event"] == "took" and row["at"] > 40 * SECOND for row in world.rows) > 50


CUT = {"cuts": ((0, 5 * SECOND, 29 * SECOND),), "faults": 0.0}


@pytest.mark.parametrize(
    ("rule", "plan"),
    [
        ("drain", Plan(mistakes=frozenset({"unleased", "greedy"}), drains=1.0, **CUT)),
        ("wait", Plan(mistakes=frozenset({"deaf"}), load=40.0, shape=Shape(8.0))),
        ("twice", Plan(mistakes=frozenset({"eager"}), shape=Shape(30.0, resets=0.3))),
    ],
)
def test_what_a_proxy_does_wrong_is_caught_by_its_rule(rule, plan):
    """Mistakes made on purpose: the audit sees each."""
    assert any(verdicts(World(plan, seed))[rule].verdict == "broken" for seed in range(5))


def test_a_lease_that_counts_from_the_arrival_breaks_the_drain_rule_where_links_are_slow():
    """This is why a lease counts from what control has proved to have received."""
    found = [
        verdicts(World(Plan(mistakes=frozenset({"late"}), drains=1.0, faults=0.5), seed))["drain"] for seed in range(20)
    ]
    assert any(each.violations for each in found)


def test_proxies_whose_grants_do_not_expire_overload_a_destination_that_returns_cold():
    """This is why grants are leases."""
    more = {
        "mistakes": frozenset({"greedy", "unleased", "deaf"}),
        "cuts": ((0, 10 * SECOND, 45 * SECOND), (1, 10 * SECOND, 45 * SECOND)),
    }
    assert any(verdicts(returning(seed, **more))["fall"].violations for seed in range(5))


ROWS = {
    "drain": [
        dict(event="endpoint", endpoint="e", now="draining"),
        dict(event="sent", endpoint="e", proxy="p", at=1000001),
    ],
    "wait": [
        dict(event="ready", wait_heard_ms=500),
        dict(event="answered", route=1, proxy="p", wait_ms=900),
        dict(event="sent", route=1, proxy="q", at=500001),
    ],
    "grants": [dict(event="allowance", route=1, amount=5000)]
    + [
        dict(event="granted", route=1, holder=holder, number=number, amount=3000, lease_ms=100, delay_ms=10, at=9)
        for number, holder in enumerate("ab")
    ],
    "fall": [dict(event="took", partner="p") for _ in range(9)]
    + [dict(event="capacity", partner="p", a_second=3, since=0, cold=True, fall=1.5, fall_ms=1000, at=500000)],
    "twice": [dict(event="effect", id="m", repeat="never"), dict(event="effect", id="m", repeat="never")],
    "answer": [dict(event="taken", id="m"), dict(event="ended", id="m"), dict(event="ended", id="m")],
}
FINE = {
    "drain": dict(at=1000000),
    "wait": dict(at=500000),
    "fall": dict(a_second=4),
    "twice": dict(id="n"),
    "answer": dict(id="n"),
    "grants": dict(amount=2000),
}


@pytest.mark.parametrize("rule", audit.RULE_NAMES)
def test_each_rule_is_reported_broken_at_its_edge_and_kept_just_before_it(rule):
    """No other rule is concerned by the same lines."""

    def judge(rows):
        read, _ = audit.read_log(json.dumps({"at": 0} | row) for row in rows)
        return {found.rule: found.verdict for found in audit.audit(read)}

    rows = ROWS[rule]
    assert judge(rows) == {name: "broken" if name == rule else "not seen" for name in audit.RULE_NAMES} | (
        {"answer": "broken"} if rule == "answer" else {}
    )
    assert judge([*rows[:-1], rows[-1] | FINE[rule]])[rule] == "kept"


def test_what_a_rule_cannot_judge_is_no_proof_and_foreign_lines_are_counted():
    """A line that lacks a field makes its rule broken, not kept."""
    rows, foreign = audit.read_log(['{"event": "granted", "at": 1, "route": 1}', "Traceback", "", "[1]", '{"at": 1}'])
    found = {each.rule: each for each in audit.audit(rows)}
    assert foreign == 3
    assert "nothing is proved" in found["grants"].violations[0]
    assert "passed over" in audit.format_findings(list(found.values()), foreign)


def test_a_line_of_the_log_counts_by_its_timestamp():
    """A timestamp in UTC is the same as `at` in us."""
    rows, _ = audit.read_log(['{"event": "x", "timestamp": "1970-01-01T00:00:01.500000Z"}'])
    assert rows[0].at == 1_500_000
