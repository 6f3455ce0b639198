"""Grants from the holders' side: their use stays within the allowance over lost and late messages and restarts."""

from collections import defaultdict, deque

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalefall.control.fair_shares import max_min_fair
from scalefall.control.grants import MIN_GRANT, UNITS_PER_CALL, Grant
from scalefall.control.ledger import Ledger

SECOND = 1_000_000  # us
LEASE_US = 4 * SECOND
DELAY_US = 5 * SECOND
DESTINATION = 7


class Holder:
    """One process of a proxy that follows the contract: the highest number counts, for its lease from its receipt."""

    def __init__(self):
        """Start without a grant."""
        self.number, self.amount, self.expires_at = 0, 0, 0

    def receive(self, grant, now):
        """Receive a grant; one with a lower number than the present one is dropped."""
        if grant.number > self.number:
            self.number, self.amount, self.expires_at = grant.number, grant.amount, now + grant.lease_us

    def may_use(self, now):
        """Return what the holder may use now."""
        return self.amount if now < self.expires_at else 0


class LedgerModel(RuleBasedStateMachine):
    """Messages take up to DELAY_US or are lost, a disconnected holder keeps its grant, and the service may restart."""

    names = st.sampled_from("abcd")

    @initialize()
    def start(self):
        """Start with a ledger without allowance, holders or messages."""
        self.now, self.holders, self.in_transit = 0, {}, []
        self.allowances = deque([(0, 0)])  # the time of each change and the amount
        self.ledger, self.live, self.epoch = Ledger(0, LEASE_US, DELAY_US), set(), 0

    def step(self, delays):
        """Send the ledger's grants, each with a delay, or lost where that is None."""
        for grant in self.ledger.step(self.now):
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.in_transit.append((self.now + delay, "grant", grant, self.epoch))

    @rule(span=st.integers(1, 3 * SECOND), delays=st.lists(st.none() | st.integers(0, DELAY_US), max_size=4))
    def advance_time(self, span, delays):
        """Process everything that is due within a span of time, in order."""
        end = self.now + span
        while True:
            due = [row for row in self.in_transit if row[0] <= end]
            at = min([max(self.now + 1, self.ledger.next_deadline(self.now)), *(row[0] for row in due)])
            if at > end:
                break
            self.now = at
            for row in [row for row in due if row[0] == at]:
                self.in_transit.remove(row)
                self.deliver(row, delays)
            self.step(delays)
            self.use_is_within_allowance()
        self.now = end

    def deliver(self, row, delays):
        """Deliver a grant or an acknowledgement."""
        _, kind, grant, epoch = row
        if kind == "ack" and epoch == self.epoch:
            self.ledger.acknowledged(grant.holder, DESTINATION, grant.number, self.now)
        elif kind == "grant" and grant.holder in self.holders:
            self.holders[grant.holder].receive(grant, self.now)
            if grant.holder in self.live:
                self.in_transit.append((self.now + (delays.pop() or 0 if delays else 0), "ack", grant, epoch))

    @rule(name=names, demand=st.integers(1, 20 * UNITS_PER_CALL))
    def join(self, name, demand):
        """Make a holder reachable, for the first time or again."""
        self.holders.setdefault(name, Holder())
        self.live.add(name)
        self.ledger.join(name)
        self.ledger.set_demand(name, DESTINATION, demand)
        self.step([])

    @rule(name=names)
    def disconnect(self, name):
        """Make a holder unreachable."""
        self.live.discard(name)
        self.ledger.disconnected(name)

    @rule(name=names, demand=st.integers(0, 20 * UNITS_PER_CALL))
    def change_demand(self, name, demand):
        """Change a live holder's demand."""
        if name in self.live:
            self.ledger.set_demand(name, DESTINATION, demand)

    @rule(
        amount=st.sampled_from([0, MIN_GRANT // 2, MIN_GRANT, 3 * MIN_GRANT, 5 * UNITS_PER_CALL, 50 * UNITS_PER_CALL])
    )
    def change_allowance(self, amount):
        """Change the allowance."""
        self.ledger.allow(DESTINATION, amount)
        self.allowances.append((self.now, amount))
        self.step([])

    @rule()
    def restart_service(self):
        """Start a new ledger that knows only the highest number, the holders and the allowance."""
        self.ledger, self.epoch = Ledger(self.now, LEASE_US, DELAY_US), self.epoch + 1
        number = max(
            [holder.number for holder in self.holders.values()]
            + [row[2].number for row in self.in_transit if row[1] == "grant"],
            default=0,
        )
        self.ledger.resume(number)
        for name in self.live:
            self.ledger.join(name)
            self.ledger.set_demand(name, DESTINATION, UNITS_PER_CALL)
        self.ledger.allow(DESTINATION, self.allowances[-1][1])

    @invariant()
    def use_is_within_allowance(self):
        """All holders together may use at most the largest allowance of the last delay and lease."""
        while len(self.allowances) > 1 and self.allowances[1][0] <= self.now - LEASE_US - DELAY_US:
            self.allowances.popleft()
        used = sum(holder.may_use(self.now) for holder in self.holders.values())
        assert used <= max(amount for _, amount in self.allowances)
        if not self.epoch:
            assert used <= self.ledger.in_use(DESTINATION, self.now)

    def teardown(self):
        """Without further changes, every live holder with a demand is eventually granted some of the allowance."""
        if not hasattr(self, "ledger"):
            return
        self.change_allowance(MIN_GRANT)
        for name in sorted(self.live):
            self.ledger.set_demand(name, DESTINATION, UNITS_PER_CALL)
        served = defaultdict(int)
        for _ in range(4 * 4 * 2 * 9 * 2):
            self.advance_time(SECOND // 2, [])
            for name in self.live:
                served[name] += self.holders[name].may_use(self.now)
        assert all(served[name] for name in self.live)


LedgerModel.TestCase.settings = limits(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
TestLedgerModel = LedgerModel.TestCase


def started(*holders, allowance=10 * UNITS_PER_CALL, demand=20 * UNITS_PER_CALL):
    """Return a ledger that may grant from time 0, with these holders."""
    ledger = Ledger(-LEASE_US - DELAY_US, LEASE_US, DELAY_US)
    ledger.allow(DESTINATION, allowance)
    for holder in holders:
        ledger.join(holder)
        ledger.set_demand(holder, DESTINATION, demand)
    return ledger


def amounts(grants):
    """Return the amount granted to each holder."""
    return {grant.holder: grant.amount for grant in grants}


def acknowledge(ledger, grants, now):
    """Acknowledge the receipt of these grants by their holders."""
    for grant in grants:
        ledger.acknowledged(grant.holder, DESTINATION, grant.number, now)


def test_an_allowance_is_divided_and_a_new_holder_waits_for_headroom():
    """A reduced grant frees capacity only once it is acknowledged: until then its holder may use the larger one."""
    ledger = started("a", "b")
    first = ledger.step(0)
    assert amounts(first) == {"a": 5 * UNITS_PER_CALL, "b": 5 * UNITS_PER_CALL}
    acknowledge(ledger, first, SECOND)
    ledger.join("c")
    ledger.set_demand("c", DESTINATION, 20 * UNITS_PER_CALL)
    second = ledger.step(SECOND)
    assert amounts(second) == {"a": 3333, "b": 3333}  # reduced, and nothing yet for the new holder
    acknowledge(ledger, second[:1], SECOND + 1)
    assert amounts(ledger.step(SECOND + 1)) == {"c": 5000 - 3333}


def test_the_grant_of_an_unreachable_holder_is_not_granted_to_others_until_it_has_expired():
    """An unacknowledged grant may be in use until sent + delay + lease."""
    ledger = started("a", "b")
    first = ledger.step(0)
    acknowledge(ledger, [grant for grant in first if grant.holder == "a"], 0)
    ledger.disconnected("b")
    assert amounts(ledger.step(LEASE_US + DELAY_US - 1)) == {"a": 5 * UNITS_PER_CALL}  # renewed, and not raised
    assert amounts(ledger.step(LEASE_US + DELAY_US)) == {"a": 10 * UNITS_PER_CALL}


def test_headroom_is_granted_once():
    """Granting the same headroom to two new holders in one step would exceed the allowance."""
    ledger = started("x", "y")
    acknowledge(ledger, ledger.step(0), 0)
    ledger.disconnected("x")
    ledger.disconnected("y")
    ledger.allow(DESTINATION, 20 * UNITS_PER_CALL)
    for holder in ("b", "c"):
        ledger.join(holder)
        ledger.set_demand(holder, DESTINATION, 20 * UNITS_PER_CALL)
    assert amounts(ledger.step(SECOND)) == {"b": 10 * UNITS_PER_CALL}
    assert ledger.in_use(DESTINATION, SECOND) == 20 * UNITS_PER_CALL


def test_an_acknowledgement_of_an_earlier_grant_does_not_shorten_a_later_one():
    """The later grant may still be in transit, and counts until its own expiry."""
    ledger = started("a", allowance=5 * UNITS_PER_CALL)
    first = ledger.step(0)
    ledger.allow(DESTINATION, 10 * UNITS_PER_CALL)
    assert amounts(ledger.step(1)) == {"a": 10 * UNITS_PER_CALL}
    acknowledge(ledger, first, 2)
    assert (
        ledger.in_use(DESTINATION, 2) == ledger.in_use(DESTINATION, 1 + DELAY_US + LEASE_US - 1) == 10 * UNITS_PER_CALL
    )


def test_an_acknowledged_grant_expires_by_its_lease_and_a_lost_one_later():
    """A grant without an acknowledgement may have been received as late as the delay allows."""
    ledger = started("a", "b")
    acknowledge(ledger, [grant for grant in ledger.step(0) if grant.holder == "b"], SECOND)
    ledger.disconnected("a")
    ledger.disconnected("b")
    assert ledger.in_use(DESTINATION, SECOND + LEASE_US - 1) == 10 * UNITS_PER_CALL
    assert ledger.in_use(DESTINATION, SECOND + LEASE_US) == 5 * UNITS_PER_CALL
    assert ledger.in_use(DESTINATION, DELAY_US + LEASE_US) == 0


def test_nothing_is_granted_until_the_grants_of_an_earlier_service_have_expired():
    """An earlier service may have granted the whole allowance just before the start."""
    ledger = Ledger(0, LEASE_US, DELAY_US)
    ledger.allow(DESTINATION, UNITS_PER_CALL)
    ledger.join("a")
    ledger.set_demand("a", DESTINATION, UNITS_PER_CALL)
    assert ledger.step(LEASE_US + DELAY_US - 1) == []
    assert ledger.next_deadline(0) == LEASE_US + DELAY_US
    assert amounts(ledger.step(LEASE_US + DELAY_US)) == {"a": UNITS_PER_CALL}


def test_a_decrease_of_the_allowance_is_sent_at_once_and_raises_no_grant():
    """More than the allowance may be in use until the reduced grants are acknowledged."""
    ledger = started("a", "b")
    acknowledge(ledger, ledger.step(0), 0)
    ledger.allow(DESTINATION, UNITS_PER_CALL)
    ledger.set_demand("b", DESTINATION, UNITS_PER_CALL // 10)
    reduced = ledger.step(SECOND)
    assert amounts(reduced) == {"a": 900, "b": 100}
    acknowledge(ledger, reduced[:1], SECOND)
    assert ledger.step(SECOND) == []
    assert ledger.in_use(DESTINATION, SECOND) > UNITS_PER_CALL


def test_grants_after_a_decrease_stay_within_it_also_when_a_holder_becomes_unreachable():
    """If its reduced grant were granted to others, the sum would be too large once the earlier grants have expired."""
    ledger = started("a", "b", "c", allowance=1000 * UNITS_PER_CALL)
    ledger.step(0)
    ledger.allow(DESTINATION, 30 * UNITS_PER_CALL)
    ledger.step(SECOND)
    ledger.disconnected("c")  # its grant after the decrease counts until it has expired
    ledger.set_demand("a", DESTINATION, 40 * UNITS_PER_CALL)
    for now in range(2 * SECOND, SECOND + LEASE_US + DELAY_US, SECOND):
        ledger.step(now)
    assert ledger.in_use(DESTINATION, LEASE_US + DELAY_US) <= 30 * UNITS_PER_CALL
    ledger.step(SECOND + LEASE_US + DELAY_US)
    # The unreachable holder's grant has expired and is granted to the others.
    assert ledger.in_use(DESTINATION, SECOND + LEASE_US + DELAY_US) > 20 * UNITS_PER_CALL


def test_an_unchanged_destination_costs_one_renewal_per_half_lease():
    """Nothing is sent between the renewals."""
    ledger = started("a")
    sent, now = 0, 0
    while now < 20 * LEASE_US:
        grants = ledger.step(now)
        acknowledge(ledger, grants, now)
        sent += len(grants)
        now = max(now + 1, ledger.next_deadline(now))
    assert 40 <= sent <= 42


@pytest.mark.parametrize(
    ("demands", "amount", "shares"),
    [
        ({"a": 1, "b": 10, "c": 10}, 12, {"a": 1, "b": 5, "c": 6}),
        ({"a": 1, "b": 1}, 10, {"a": 5, "b": 5}),
        ({}, 5, {}),
        ({"a": 5}, 0, {"a": 0}),
    ],
)
def test_shares_are_max_min_fair(demands, amount, shares):
    """No holder gets more than one whose demand is unmet, but for rounding."""
    assert max_min_fair(demands, amount) == shares


def test_a_holder_drops_a_late_grant_of_a_lower_number():
    """The model's holder follows the contract that the ledger relies on."""
    holder = Holder()
    holder.receive(Grant("a", DESTINATION, 2, 0, LEASE_US), 0)
    holder.receive(Grant("a", DESTINATION, 1, UNITS_PER_CALL, LEASE_US), 1)
    assert holder.may_use(2) == 0
