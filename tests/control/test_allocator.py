"""The module judges what proxies report: paces, waits and budgets become grants, and a cold partner isn't flooded."""

from math import inf

import pytest
from helpers import settings

from scalefall.control.allocator import UNLIMITED, Allocator
from scalefall.control.grants import UNITS_PER_CALL
from scalefall.control.ledger import Ledger
from scalefall.policy.engine import Engine
from scalefall.policy.events import (
    Endpoint,
    EndpointListUpdate,
    EndpointReport,
    EndpointStatus,
    ListUpdateKind,
    Outcome,
)

MILLISECOND, SECOND = 1000, 1_000_000
LEASE, DELAY = 2 * SECOND, SECOND // 2


def listed(*names, status=EndpointStatus.READY):
    """An update of the endpoint list: these endpoints of destination 1."""
    return EndpointListUpdate(ListUpdateKind.CHANGES, [Endpoint(name, "a", "one", 1, status, 0.0) for name in names])


def started(*holders, **changes):
    """An allocator whose ledger has these holders, each with a large demand."""
    allocator = Allocator(Engine(settings(replica_count=1, **changes), 3), Ledger(-LEASE - DELAY, LEASE, DELAY))
    for holder in holders:
        allocator._ledger.join(holder)
        allocator._ledger.set_demand(holder, 1, 1000 * UNITS_PER_CALL)
    return allocator


def reports(outcome, times=1, at=0, wait=0, report=None, endpoint="e"):
    """The same report several times."""
    return [EndpointReport(endpoint, at, outcome, wait, report or {}) for _ in range(times)]


def amounts(grants):
    """What each holder is granted."""
    return {grant.holder: grant.amount for grant in grants}


def test_a_destination_without_a_rate_limit_is_granted_without_limit():
    """The module has no figure for a destination that has not failed."""
    allocator = started("a")
    assert amounts(allocator.step(0, [listed("e")])) == {"a": UNLIMITED}


def test_a_limit_that_answers_report_is_divided_among_all():
    """The sum of the grants is within the limit."""
    allocator = started("a", "b")
    allocator.step(0, [listed("e")])
    grants = allocator.step(SECOND, reports(Outcome.OK, report={"x0": 0.0, "x1": 8.0}))
    assert sum(amounts(grants).values()) <= 8 * UNITS_PER_CALL
    assert allocator.allowed[0].rate <= 8


def test_retry_after_stops_every_proxy_until_it_is_over():
    """It binds all proxies, whichever of them got it, and ends by time alone."""
    allocator = started("a", "b")
    allocator.step(0, [listed("e")])
    grants = allocator.step(SECOND, reports(Outcome.OK, wait=3 * SECOND))  # a good answer may have one too
    assert amounts(grants) == {"a": 0, "b": 0}
    assert allocator.allowed[0].retry_after_until == 4 * SECOND
    assert allocator.allowed[0].rate == inf
    assert not any(amounts(allocator.step(4 * SECOND - 1, [])).values())
    assert any(amounts(allocator.step(20 * SECOND, [])).values())


def test_after_a_failure_nothing_goes_out_for_a_while_and_then_little():
    """The slow start of a route without other endpoints."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    allocator.step(SECOND, reports(Outcome.CONNECT_FAILED, at=SECOND))
    assert allocator.allowed[0].rate == 0
    allocator.step(60 * SECOND, [])
    assert 0 < allocator.allowed[0].rate < 10


def test_a_decreased_rate_grows_with_the_calls_that_are_reported():
    """Successes raise it step by step, up to a bound."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    allocator.step(SECOND, reports(Outcome.OK, 40, SECOND) + reports(Outcome.OVERLOADED, at=SECOND))
    rates = []
    for tenth in range(11, 18):
        allocator.step(tenth * SECOND // 10, reports(Outcome.OK, at=tenth * SECOND // 10))
        rates.append(allocator.allowed[0].rate)
    assert rates == sorted(rates)
    assert 1.2 * rates[0] < rates[-1] < inf


def test_a_draining_endpoint_has_no_allowance():
    """Not even where it is the last one of its destination."""
    allocator = started("a")
    allocator.step(0, [listed("e", "f")])
    allocator.step(1, [listed("e", status=EndpointStatus.DRAINING)])
    assert set(allocator.allowed[0].endpoints) == {"f"}
    assert amounts(allocator.step(2, [listed("f", status=EndpointStatus.DRAINING)])) == {"a": 0}


def test_an_endpoint_with_failures_beside_one_that_serves_has_a_budget_of_its_own():
    """Once the other drains, that budget is all that there is."""
    allocator = started("a")
    allocator.step(0, [listed("e", "f")])
    for second in range(1, 8):
        allocator.step(
            second * SECOND,
            reports(Outcome.OK, 5, second * SECOND, endpoint="f")
            + reports(Outcome.CONNECT_FAILED, 2, second * SECOND - 1, endpoint="e"),
        )
    [row] = allocator.allowed
    assert row.endpoints["f"] == inf
    assert row.endpoints["e"] < 5
    assert row.rate == inf
    allocator.step(9 * SECOND, [listed("f", status=EndpointStatus.DRAINING)])  # now that one's budget is all there is
    assert allocator.allowed[0].rate == inf
    assert allocator._ledger._accounts[1].allowance < 5 * UNITS_PER_CALL


def test_a_report_on_an_unknown_endpoint_changes_nothing():
    """Reports may come later than the list."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    before = allocator.allowances()
    allocator.step(1, reports(Outcome.TIMEOUT, 5, endpoint="never"))
    assert allocator.allowances() == before


class Partner:
    """Takes so many calls a second; down for a while, then cold, and warm after cold_us; counts what reaches it."""

    def __init__(self, warm, down, back, set_):
        """Warm, it takes `warm` calls a second; it is down from `down` to `back`."""
        self.warm, self.down, self.back, self.set, self.calls, self.tokens, self.at = warm, down, back, set_, [], 0.0, 0

    def capacity(self, now):
        """Calls a second that it takes now."""
        if now < self.back:
            return self.warm
        part = min(1.0, (now - self.back) / self.set.slow_start_us)
        return self.warm * (self.set.slow_start_from + (1 - self.set.slow_start_from) * part)

    def call(self, now):
        """One call, and how it ends."""
        self.calls.append(now)
        if self.down <= now < self.back:
            return Outcome.CONNECT_FAILED
        self.tokens = min(2.0, self.tokens + self.capacity(now) * (now - self.at) / SECOND)
        self.at = now
        if self.tokens < 1:
            return Outcome.OVERLOADED
        self.tokens -= 1
        return Outcome.OK


class Proxy:
    """Sends all that its grant lets it: one call at once, and then at the grant's pace. Reports what became of them."""

    def __init__(self, name, backlog):
        """Has `backlog` calls a second to make."""
        self.name, self.backlog, self.number, self.amount, self.until = name, backlog, 0, 0, 0
        self.tokens, self.at, self.report, self.linked = 0.0, 0, [], True

    def get(self, grant, now):
        """A grant has come."""
        if grant.number > self.number:
            self.number, self.amount, self.until = grant.number, grant.amount, now + grant.lease_us

    def send(self, now, partner):
        """Make the calls that the grant allows now."""
        rate = min(self.backlog, self.amount / UNITS_PER_CALL) if now < self.until else 0.0
        self.tokens, self.at = min(1.0, self.tokens + rate * (now - self.at) / SECOND), now
        if self.tokens >= 1:
            self.tokens -= 1
            self.report.append(EndpointReport("e", now, partner.call(now)))


def play(cut=None, seconds=70):
    """Three proxies with work for three times what the partner takes; it is down from 20 s to 35 s and returns cold."""
    set_ = settings(replica_count=1)
    partner = Partner(30.0, 20 * SECOND, 35 * SECOND, set_)
    proxies = [Proxy(name, 30.0) for name in "abc"]
    allocator, wire = started("a", "b", "c"), []
    allocator.step(0, [listed("e")])
    for now in range(0, seconds * SECOND, 10 * MILLISECOND):
        for _, kind, proxy, what in [row for row in wire if row[0] <= now]:
            if kind == "grant":
                proxy.get(what, now)
                wire.append((now + 50 * MILLISECOND, "ack", proxy, what))
            else:
                allocator._ledger.acknowledged(proxy.name, 1, what.number, now)
        wire = [row for row in wire if row[0] > now]
        for proxy in proxies:
            proxy.send(now, partner)
            linked = not (cut and proxy.name == cut[0] and cut[1] <= now < cut[2])
            if linked != proxy.linked:
                (allocator._ledger.join if linked else allocator._ledger.disconnected)(proxy.name)
                proxy.linked = linked
        if now % (100 * MILLISECOND) == 0:
            told = [report for proxy in proxies if proxy.linked for report in proxy.report]
            for proxy in proxies:
                proxy.report = proxy.report if not proxy.linked else []
            for grant in allocator.step(now, told):
                proxy = next(one for one in proxies if one.name == grant.holder)
                if proxy.linked:
                    wire.append((now + 50 * MILLISECOND, "grant", proxy, grant))
    return partner, set_


@pytest.mark.parametrize("cut", [None, ("a", 30 * SECOND, 45 * SECOND), ("b", 19 * SECOND, 36 * SECOND)])
def test_a_destination_that_returns_cold_is_not_overloaded_and_is_used_again(cut):
    """No window has more calls than it can bear, also with a proxy cut off around its return."""
    partner, set_ = play(cut)
    window = set_.overload_window_us
    for start in range(35 * SECOND, 70 * SECOND - window, 100 * MILLISECOND):
        got = sum(start <= at < start + window for at in partner.calls)
        room = set_.overload_multiple * window / SECOND * partner.capacity(start + window)
        assert got <= room + 3, (start / SECOND, got, room)
    assert sum(at >= 60 * SECOND for at in partner.calls) >= 10 * 30 / 3


def test_a_step_evaluates_what_changed_or_may_change_by_time_and_nothing_else(monkeypatch):
    """An endpoint that moves to another destination changes both."""
    allocator = started("a")
    many = [Endpoint(f"e{n}", "a", "one", n, EndpointStatus.READY, 0.0) for n in range(50)]
    allocator.step(0, [EndpointListUpdate(ListUpdateKind.CHANGES, many)])
    asked, real = [], allocator._engine.allowances
    monkeypatch.setattr(allocator._engine, "allowances", lambda among=None: asked.append(set(among)) or real(among))
    allocator.step(SECOND, reports(Outcome.CONNECT_FAILED, 3, SECOND, endpoint="e7"))
    allocator.step(2 * SECOND, reports(Outcome.OK, at=2 * SECOND, endpoint="e9"))
    allocator.step(3 * SECOND, [])
    moved = Endpoint("e9", "a", "one", 8, EndpointStatus.READY, 0.0)
    allocator.step(4 * SECOND, [EndpointListUpdate(ListUpdateKind.CHANGES, [moved])])
    assert asked == [{7}, {7, 9}, {7}, {7, 8, 9}]
