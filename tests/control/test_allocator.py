"""Reports of proxies become grants: rate limits, Retry-After and slow-start budgets bound the calls of all proxies."""

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

MILLISECOND = 1000  # us
SECOND = 1_000_000  # us
LEASE_US = 2 * SECOND
DELAY_US = SECOND // 2


def listed(*names, status=EndpointStatus.READY):
    """Return an update of the endpoint list with these endpoints of destination 1."""
    return EndpointListUpdate(ListUpdateKind.CHANGES, [Endpoint(name, "a", "one", 1, status, 0.0) for name in names])


def started(*holders, **changes):
    """Return an allocator whose ledger has these holders, each with a large demand."""
    allocator = Allocator(
        Engine(settings(replica_count=1, **changes), 3), Ledger(-LEASE_US - DELAY_US, LEASE_US, DELAY_US)
    )
    for holder in holders:
        allocator._ledger.join(holder)
        allocator._ledger.set_demand(holder, 1, 1000 * UNITS_PER_CALL)
    return allocator


def reports(outcome, times=1, at=0, wait=0, report=None, endpoint="e"):
    """Return several equal reports."""
    return [EndpointReport(endpoint, at, outcome, wait, report or {}) for _ in range(times)]


def amounts(grants):
    """Return the amount granted to each holder."""
    return {grant.holder: grant.amount for grant in grants}


def test_a_destination_without_a_rate_limit_is_granted_without_limit():
    """The engine sets no rate for a destination without failures."""
    allocator = started("a")
    assert amounts(allocator.step(0, [listed("e")])) == {"a": UNLIMITED}


def test_a_limit_that_answers_report_is_divided_among_all():
    """The sum of the grants is within the limit."""
    allocator = started("a", "b")
    allocator.step(0, [listed("e")])
    grants = allocator.step(SECOND, reports(Outcome.OK, report={"x0": 0.0, "x1": 8.0}))
    assert sum(amounts(grants).values()) <= 8 * UNITS_PER_CALL
    assert allocator.last_allowances[0].rate <= 8


def test_retry_after_stops_every_proxy_until_it_is_over():
    """It binds all proxies, whichever of them got it, and ends by time alone."""
    allocator = started("a", "b")
    allocator.step(0, [listed("e")])
    grants = allocator.step(SECOND, reports(Outcome.OK, wait=3 * SECOND))  # a successful answer may have one too
    assert amounts(grants) == {"a": 0, "b": 0}
    assert allocator.last_allowances[0].retry_after_until == 4 * SECOND
    assert allocator.last_allowances[0].rate == inf
    assert not any(amounts(allocator.step(4 * SECOND - 1, [])).values())
    assert any(amounts(allocator.step(20 * SECOND, [])).values())


def test_after_a_failure_the_rate_is_zero_for_a_while_and_then_small():
    """A route without other endpoints has the rate of its slow start."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    allocator.step(SECOND, reports(Outcome.CONNECT_FAILED, at=SECOND))
    assert allocator.last_allowances[0].rate == 0
    allocator.step(60 * SECOND, [])
    assert 0 < allocator.last_allowances[0].rate < 10


def test_a_decreased_rate_grows_with_the_calls_that_are_reported():
    """Successes raise it step by step, up to a bound."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    allocator.step(SECOND, reports(Outcome.OK, 40, SECOND) + reports(Outcome.OVERLOADED, at=SECOND))
    rates = []
    for tenth in range(11, 18):
        allocator.step(tenth * SECOND // 10, reports(Outcome.OK, at=tenth * SECOND // 10))
        rates.append(allocator.last_allowances[0].rate)
    assert rates == sorted(rates)
    assert 1.2 * rates[0] < rates[-1] < inf


def test_a_draining_endpoint_has_no_allowance():
    """Even the last endpoint of a destination has none, so nothing is granted."""
    allocator = started("a")
    allocator.step(0, [listed("e", "f")])
    allocator.step(1, [listed("e", status=EndpointStatus.DRAINING)])
    assert set(allocator.last_allowances[0].endpoints) == {"f"}
    assert amounts(allocator.step(2, [listed("f", status=EndpointStatus.DRAINING)])) == {"a": 0}


def test_an_endpoint_with_failures_beside_one_that_serves_has_a_budget_of_its_own():
    """Once the other endpoint drains, that budget is the destination's whole allowance."""
    allocator = started("a")
    allocator.step(0, [listed("e", "f")])
    for second in range(1, 8):
        allocator.step(
            second * SECOND,
            reports(Outcome.OK, 5, second * SECOND, endpoint="f")
            + reports(Outcome.CONNECT_FAILED, 2, second * SECOND - 1, endpoint="e"),
        )
    [row] = allocator.last_allowances
    assert row.endpoints["f"] == inf
    assert row.endpoints["e"] < 5
    assert row.rate == inf
    allocator.step(9 * SECOND, [listed("f", status=EndpointStatus.DRAINING)])  # only the budget of "e" remains
    assert allocator.last_allowances[0].rate == inf
    assert allocator._ledger._accounts[1].allowance < 5 * UNITS_PER_CALL


def test_a_report_on_an_unknown_endpoint_changes_nothing():
    """Reports may come later than the list."""
    allocator = started("a")
    allocator.step(0, [listed("e")])
    before = allocator.allowances()
    allocator.step(1, reports(Outcome.TIMEOUT, 5, endpoint="never"))
    assert allocator.allowances() == before


class SimulatedDestination:
    """Has a capacity in calls a second; down for a while, then recovering over the slow start; records its calls."""

    def __init__(self, full_capacity, down_at, back_at, policy):
        """Take `full_capacity` calls a second, and none between `down_at` and `back_at`."""
        self.full_capacity, self.down_at, self.back_at, self.policy = full_capacity, down_at, back_at, policy
        self.calls, self.tokens, self.at = [], 0.0, 0

    def capacity(self, now):
        """Return the calls a second that it takes now."""
        if now < self.back_at:
            return self.full_capacity
        progress = min(1.0, (now - self.back_at) / self.policy.slow_start_us)
        return self.full_capacity * (self.policy.slow_start_from + (1 - self.policy.slow_start_from) * progress)

    def call(self, now):
        """Take one call; return its outcome."""
        self.calls.append(now)
        if self.down_at <= now < self.back_at:
            return Outcome.CONNECT_FAILED
        self.tokens = min(2.0, self.tokens + self.capacity(now) * (now - self.at) / SECOND)
        self.at = now
        if self.tokens < 1:
            return Outcome.OVERLOADED
        self.tokens -= 1
        return Outcome.OK


class Proxy:
    """Sends at the rate of its grant, with a burst of one call, and reports the outcomes."""

    def __init__(self, name, backlog):
        """Have `backlog` calls a second to make."""
        self.name, self.backlog, self.number, self.amount, self.expires_at = name, backlog, 0, 0, 0
        self.tokens, self.at, self.reports, self.connected = 0.0, 0, [], True

    def receive(self, grant, now):
        """Receive a grant; one with a lower number than the present one is dropped."""
        if grant.number > self.number:
            self.number, self.amount, self.expires_at = grant.number, grant.amount, now + grant.lease_us

    def send(self, now, destination):
        """Make the calls that the grant allows now."""
        rate = min(self.backlog, self.amount / UNITS_PER_CALL) if now < self.expires_at else 0.0
        self.tokens, self.at = min(1.0, self.tokens + rate * (now - self.at) / SECOND), now
        if self.tokens >= 1:
            self.tokens -= 1
            self.reports.append(EndpointReport("e", now, destination.call(now)))


def simulate(disconnection=None, seconds=70):
    """Run three proxies with a load of three times the capacity; the destination is down from 20 s to 35 s.

    `disconnection` is a proxy's name and the time from and until which it is disconnected.
    """
    policy = settings(replica_count=1)
    destination = SimulatedDestination(30.0, 20 * SECOND, 35 * SECOND, policy)
    proxies = [Proxy(name, 30.0) for name in "abc"]
    allocator, in_transit = started("a", "b", "c"), []
    allocator.step(0, [listed("e")])
    for now in range(0, seconds * SECOND, 10 * MILLISECOND):
        for _, kind, proxy, grant in [row for row in in_transit if row[0] <= now]:
            if kind == "grant":
                proxy.receive(grant, now)
                in_transit.append((now + 50 * MILLISECOND, "ack", proxy, grant))
            else:
                allocator._ledger.acknowledged(proxy.name, 1, grant.number, now)
        in_transit = [row for row in in_transit if row[0] > now]
        for proxy in proxies:
            proxy.send(now, destination)
            connected = not (
                disconnection and proxy.name == disconnection[0] and disconnection[1] <= now < disconnection[2]
            )
            if connected != proxy.connected:
                (allocator._ledger.join if connected else allocator._ledger.disconnected)(proxy.name)
                proxy.connected = connected
        if now % (100 * MILLISECOND) == 0:
            received = [report for proxy in proxies if proxy.connected for report in proxy.reports]
            for proxy in proxies:
                proxy.reports = proxy.reports if not proxy.connected else []
            for grant in allocator.step(now, received):
                proxy = next(one for one in proxies if one.name == grant.holder)
                if proxy.connected:
                    in_transit.append((now + 50 * MILLISECOND, "grant", proxy, grant))
    return destination, policy


@pytest.mark.parametrize("disconnection", [None, ("a", 30 * SECOND, 45 * SECOND), ("b", 19 * SECOND, 36 * SECOND)])
def test_a_destination_that_returns_cold_is_not_overloaded_and_is_used_again(disconnection):
    """No window has more calls than the overload limit allows, also with a proxy disconnected around the return."""
    destination, policy = simulate(disconnection)
    window = policy.overload_window_us
    for start in range(35 * SECOND, 70 * SECOND - window, 100 * MILLISECOND):
        count = sum(start <= at < start + window for at in destination.calls)
        limit = policy.overload_multiple * window / SECOND * destination.capacity(start + window)
        assert count <= limit + 3, (start / SECOND, count, limit)
    assert sum(at >= 60 * SECOND for at in destination.calls) >= 10 * 30 / 3


def test_a_step_evaluates_only_destinations_that_changed_or_may_change_with_time(monkeypatch):
    """Evaluating all would make a step cost as much as the fleet; an endpoint that moves changes two destinations."""
    allocator = started("a")
    many = [Endpoint(f"e{number}", "a", "one", number, EndpointStatus.READY, 0.0) for number in range(50)]
    allocator.step(0, [EndpointListUpdate(ListUpdateKind.CHANGES, many)])
    evaluated, real = [], allocator._engine.allowances
    monkeypatch.setattr(allocator._engine, "allowances", lambda among=None: evaluated.append(set(among)) or real(among))
    allocator.step(SECOND, reports(Outcome.CONNECT_FAILED, 3, SECOND, endpoint="e7"))
    allocator.step(2 * SECOND, reports(Outcome.OK, at=2 * SECOND, endpoint="e9"))
    allocator.step(3 * SECOND, [])
    moved = Endpoint("e9", "a", "one", 8, EndpointStatus.READY, 0.0)
    allocator.step(4 * SECOND, [EndpointListUpdate(ListUpdateKind.CHANGES, [moved])])
    assert evaluated == [{7}, {7, 9}, {7}, {7, 8, 9}]
