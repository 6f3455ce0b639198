"""Grants from the holders' side: what they really may use, whatever is lost, late, cut, restarted or taken away."""

from collections import defaultdict, deque

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalefall.control.fair_shares import max_min_fair
from scalefall.control.grants import MIN_GRANT, UNITS_PER_CALL, Grant
from scalefall.control.ledger import Ledger

S = 1_000_000
LEASE, DELAY = 4 * S, 5 * S
DEST = 7


class Holder:
    """One process of a proxy, by the contract: the highest number counts, for its lease from when it came."""

    def __init__(self):
        """Has no grant."""
        self.number, self.amount, self.until = 0, 0, 0

    def get(self, grant, now):
        """A grant has come."""
        if grant.number > self.number:
            self.number, self.amount, self.until = grant.number, grant.amount, now + grant.lease_us

    def may_use(self, now):
        """What it may use now."""
        return self.amount if now < self.until else 0


class World(RuleBasedStateMachine):
    """Messages take up to DELAY each way or are lost; a holder cut off keeps what it has; the service may restart."""

    names = st.sampled_from("abcd")

    @initialize()
    def start(self):
        """A ledger without allowance, holders or messages."""
        self.now, self.holders, self.wire = 0, {}, []
        self.allowances = deque([(0, 0)])  # since when, how much
        self.ledger, self.live, self.epoch = Ledger(0, LEASE, DELAY), set(), 0

    def step(self, delays):
        """The ledger's grants set out; each takes its time, or is lost where that is None."""
        for grant in self.ledger.step(self.now):
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.wire.append((self.now + delay, "grant", grant, self.epoch))

    @rule(span=st.integers(1, 3 * S), delays=st.lists(st.none() | st.integers(0, DELAY), max_size=4))
    def time_goes_on(self, span, delays):
        """Everything that is due in a span of time, in order."""
        end = self.now + span
        while True:
            due = [row for row in self.wire if row[0] <= end]
            at = min([max(self.now + 1, self.ledger.next_deadline(self.now)), *(row[0] for row in due)])
            if at > end:
                break
            self.now = at
            for row in [row for row in due if row[0] == at]:
                self.wire.remove(row)
                self.arrived(row, delays)
            self.step(delays)
            self.kept()
        self.now = end

    def arrived(self, row, delays):
        """A grant or an acknowledgement has arrived."""
        _, kind, what, epoch = row
        if kind == "ack" and epoch == self.epoch:
            self.ledger.acknowledged(what.holder, DEST, what.number, self.now)
        elif kind == "grant" and what.holder in self.holders:
            self.holders[what.holder].get(what, self.now)
            if what.holder in self.live:
                self.wire.append((self.now + (delays.pop() or 0 if delays else 0), "ack", what, epoch))

    @rule(name=names, wanted=st.integers(1, 20 * UNITS_PER_CALL))
    def joins(self, name, wanted):
        """A holder is reachable, for the first time or again."""
        self.holders.setdefault(name, Holder())
        self.live.add(name)
        self.ledger.join(name)
        self.ledger.set_demand(name, DEST, wanted)
        self.step([])

    @rule(name=names)
    def is_cut_off(self, name):
        """A holder is unreachable."""
        self.live.discard(name)
        self.ledger.disconnected(name)

    @rule(name=names, wanted=st.integers(0, 20 * UNITS_PER_CALL))
    def wants(self, name, wanted):
        """A holder's demand is another one."""
        if name in self.live:
            self.ledger.set_demand(name, DEST, wanted)

    @rule(
        amount=st.sampled_from([0, MIN_GRANT // 2, MIN_GRANT, 3 * MIN_GRANT, 5 * UNITS_PER_CALL, 50 * UNITS_PER_CALL])
    )
    def the_module_allows(self, amount):
        """The allowance is another one."""
        self.ledger.allow(DEST, amount)
        self.allowances.append((self.now, amount))
        self.step([])

    @rule()
    def the_service_restarts(self):
        """A new ledger has nothing but the epoch, the holders and the allowance."""
        self.ledger, self.epoch = Ledger(self.now, LEASE, DELAY), self.epoch + 1
        number = max(
            [holder.number for holder in self.holders.values()]
            + [row[2].number for row in self.wire if row[1] == "grant"],
            default=0,
        )
        self.ledger.resume(number)
        for name in self.live:
            self.ledger.join(name)
            self.ledger.set_demand(name, DEST, UNITS_PER_CALL)
        self.ledger.allow(DEST, self.allowances[-1][1])

    @invariant()
    def kept(self):
        """What all may use is no more than was allowed at some moment of the last delay and lease."""
        while len(self.allowances) > 1 and self.allowances[1][0] <= self.now - LEASE - DELAY:
            self.allowances.popleft()
        used = sum(holder.may_use(self.now) for holder in self.holders.values())
        assert used <= max(amount for _, amount in self.allowances)
        if not self.epoch:
            assert used <= self.ledger.in_use(DEST, self.now)

    def teardown(self):
        """Left alone with an allowance, every live holder that wants work has some in the end."""
        if not hasattr(self, "ledger"):
            return
        self.the_module_allows(MIN_GRANT)
        for name in sorted(self.live):
            self.ledger.set_demand(name, DEST, UNITS_PER_CALL)
        served = defaultdict(int)
        for _ in range(4 * 4 * 2 * 9 * 2):
            self.time_goes_on(S // 2, [])
            for name in self.live:
                served[name] += self.holders[name].may_use(self.now)
        assert all(served[name] for name in self.live)


World.TestCase.settings = limits(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
TestWorld = World.TestCase


def started(*holders, allow=10 * UNITS_PER_CALL, want=20 * UNITS_PER_CALL):
    """A ledger whose quiet time is over, with these holders."""
    ledger = Ledger(-LEASE - DELAY, LEASE, DELAY)
    ledger.allow(DEST, allow)
    for holder in holders:
        ledger.join(holder)
        ledger.set_demand(holder, DEST, want)
    return ledger


def amounts(grants):
    """What each holder is granted."""
    return {grant.holder: grant.amount for grant in grants}


def acknowledge(ledger, grants, now):
    """The holders have received these grants."""
    for grant in grants:
        ledger.acknowledged(grant.holder, DEST, grant.number, now)


def test_an_allowance_is_divided_and_a_newcomer_waits_for_headroom():
    """A smaller grant frees capacity only once it is acknowledged."""
    ledger = started("a", "b")
    first = ledger.step(0)
    assert amounts(first) == {"a": 5 * UNITS_PER_CALL, "b": 5 * UNITS_PER_CALL}
    acknowledge(ledger, first, S)
    ledger.join("c")
    ledger.set_demand("c", DEST, 20 * UNITS_PER_CALL)
    second = ledger.step(S)
    assert amounts(second) == {"a": 3333, "b": 3333}  # less for them, and nothing yet for the newcomer
    acknowledge(ledger, second[:1], S + 1)
    assert amounts(ledger.step(S + 1)) == {"c": 5000 - 3333}


def test_what_an_unreachable_holder_has_is_nobody_elses_until_it_has_expired():
    """Its grant counts until sent + delay + lease."""
    ledger = started("a", "b")
    first = ledger.step(0)
    acknowledge(ledger, [grant for grant in first if grant.holder == "a"], 0)
    ledger.disconnected("b")
    assert amounts(ledger.step(LEASE + DELAY - 1)) == {"a": 5 * UNITS_PER_CALL}  # renewed, and not raised
    assert amounts(ledger.step(LEASE + DELAY)) == {"a": 10 * UNITS_PER_CALL}


def test_headroom_is_granted_once():
    """The second newcomer gets nothing yet."""
    ledger = started("x", "y")
    acknowledge(ledger, ledger.step(0), 0)
    ledger.disconnected("x")
    ledger.disconnected("y")
    ledger.allow(DEST, 20 * UNITS_PER_CALL)
    for holder in ("b", "c"):
        ledger.join(holder)
        ledger.set_demand(holder, DEST, 20 * UNITS_PER_CALL)
    assert amounts(ledger.step(S)) == {"b": 10 * UNITS_PER_CALL}
    assert ledger.in_use(DEST, S) == 20 * UNITS_PER_CALL


def test_an_acknowledgement_of_an_earlier_grant_says_nothing_of_a_later_one():
    """The later one counts to its own end."""
    ledger = started("a", allow=5 * UNITS_PER_CALL)
    first = ledger.step(0)
    ledger.allow(DEST, 10 * UNITS_PER_CALL)
    assert amounts(ledger.step(1)) == {"a": 10 * UNITS_PER_CALL}
    acknowledge(ledger, first, 2)
    assert ledger.in_use(DEST, 2) == ledger.in_use(DEST, 1 + DELAY + LEASE - 1) == 10 * UNITS_PER_CALL


def test_an_acknowledged_grant_expires_by_its_lease_and_a_lost_one_later():
    """The lost one may have taken all of the delay."""
    ledger = started("a", "b")
    acknowledge(ledger, [g for g in ledger.step(0) if g.holder == "b"], S)
    ledger.disconnected("a")
    ledger.disconnected("b")
    assert ledger.in_use(DEST, S + LEASE - 1) == 10 * UNITS_PER_CALL
    assert ledger.in_use(DEST, S + LEASE) == 5 * UNITS_PER_CALL
    assert ledger.in_use(DEST, DELAY + LEASE) == 0


def test_nothing_is_granted_until_what_an_earlier_service_granted_has_expired():
    """It may have granted everything just before the start."""
    ledger = Ledger(0, LEASE, DELAY)
    ledger.allow(DEST, UNITS_PER_CALL)
    ledger.join("a")
    ledger.set_demand("a", DEST, UNITS_PER_CALL)
    assert ledger.step(LEASE + DELAY - 1) == []
    assert ledger.next_deadline(0) == LEASE + DELAY
    assert amounts(ledger.step(LEASE + DELAY)) == {"a": UNITS_PER_CALL}


def test_a_decrease_of_the_allowance_goes_out_at_once_and_raises_nobody():
    """More than the allowance is in use until the smaller grants are acknowledged."""
    ledger = started("a", "b")
    acknowledge(ledger, ledger.step(0), 0)
    ledger.allow(DEST, UNITS_PER_CALL)
    ledger.set_demand("b", DEST, UNITS_PER_CALL // 10)
    less = ledger.step(S)
    assert amounts(less) == {"a": 900, "b": 100}
    acknowledge(ledger, less[:1], S)
    assert ledger.step(S) == []
    assert ledger.in_use(DEST, S) > UNITS_PER_CALL


def test_grants_after_a_decrease_add_up_also_with_a_holder_that_becomes_unreachable():
    """Else the sum would be too large when the larger grants of before have expired."""
    ledger = started("a", "b", "c", allow=1000 * UNITS_PER_CALL)
    ledger.step(0)
    ledger.allow(DEST, 30 * UNITS_PER_CALL)
    ledger.step(S)
    ledger.disconnected("c")  # what it was given after the fall is its own until it has run out
    ledger.set_demand("a", DEST, 40 * UNITS_PER_CALL)
    for now in range(2 * S, S + LEASE + DELAY, S):
        ledger.step(now)
    assert ledger.in_use(DEST, LEASE + DELAY) <= 30 * UNITS_PER_CALL
    ledger.step(S + LEASE + DELAY)
    assert ledger.in_use(DEST, S + LEASE + DELAY) > 20 * UNITS_PER_CALL  # and then it is others'


def test_a_destination_that_stays_as_it_is_costs_one_renewal_in_half_a_lease():
    """Nothing is sent between."""
    ledger = started("a")
    sent, now = 0, 0
    while now < 20 * LEASE:
        grants = ledger.step(now)
        acknowledge(ledger, grants, now)
        sent += len(grants)
        now = max(now + 1, ledger.next_deadline(now))
    assert 40 <= sent <= 42


@pytest.mark.parametrize(
    ("wanted", "amount", "shares"),
    [
        ({"a": 1, "b": 10, "c": 10}, 12, {"a": 1, "b": 5, "c": 6}),
        ({"a": 1, "b": 1}, 10, {"a": 5, "b": 5}),
        ({}, 5, {}),
        ({"a": 5}, 0, {"a": 0}),
    ],
)
def test_shares_are_max_min_fair(wanted, amount, shares):
    """Nobody gets more while another has less and demands more."""
    assert max_min_fair(wanted, amount) == shares


def test_a_grant_of_a_lower_number_that_comes_late_is_dropped_by_its_holder():
    """The holder of this model keeps the contract that the ledger counts on."""
    holder = Holder()
    holder.get(Grant("a", DEST, 2, 0, LEASE), 0)
    holder.get(Grant("a", DEST, 1, UNITS_PER_CALL, LEASE), 1)
    assert holder.may_use(2) == 0
