"""Leases on shards from the holders' side: what they really may use, whatever is lost, late, cut off or restarted."""

from __future__ import annotations

from collections import defaultdict, deque

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.isolation_transitions import IsolationState
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED
from scalefall.control import allocator
from scalefall.errors import AssignmentError

S = 1_000_000
LEASE, DELAY = 4 * S, 5 * S
SHARDS = 3  # shard 2 may be split; destinations 0 to 5 are of shard destination % SHARDS
SPLIT = 2
DESTINATIONS = range(6)
OWN = {0: SHARDS, 2: SHARDS + 1}  # destinations that may be isolated, and to which shard
NAMES = "abcd"


def shard_of(destination):
    """Return a destination's home shard."""
    return destination % SHARDS


class LeaseMachine(RuleBasedStateMachine):
    """Messages take up to DELAY each way or are lost; a holder cut off keeps what it has; the service may restart."""

    names = st.sampled_from(NAMES)
    delays = st.lists(st.none() | st.sampled_from([0, S, DELAY]) | st.integers(0, DELAY), max_size=6)
    spans = st.sampled_from([0, S // 2, 2 * S, 3 * S])

    @initialize()
    def start(self):
        """Three holders, each with one shard."""
        self.now, self.wire, self.holders, self.live = 0, [], {}, set()
        self.allowances = {destination: deque([(0, UNLIMITED)]) for destination in DESTINATIONS}
        self.targets, self.isolated = {}, set()
        self.ledger, self.generation, self.began = ShardLedger(-LEASE - DELAY, LEASE, DELAY), 0, 0
        for shard, name in enumerate("abc"):
            self.joins(name)
            self.is_assigned(shard, name, None)

    def own_shard(self, destination):
        """Return the shard that a destination is of now."""
        return OWN[destination] if destination in self.isolated else shard_of(destination)

    def step(self, delays):
        """Send the grants of one step, each with a delay; None loses it."""
        for grant in self.ledger.step(self.now):
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.wire.append((self.now + delay, "grant", grant, self.generation))

    def goes_on(self, span, delays):
        """Step at once, then let time pass."""
        self.step(delays)
        self.time_goes_on(span, delays)

    @rule(span=st.integers(1, LEASE + DELAY), delays=delays)
    def time_goes_on(self, span, delays):
        """Deliver messages and step whenever either is due; the rules hold after each."""
        end = self.now + span
        while True:
            due = [row for row in self.wire if row[0] <= end]
            at = min([max(self.now + 1, self.ledger.next_deadline(self.now)), *(row[0] for row in due)])
            if at > end:
                break
            self.now = at
            for row in [row for row in due if row[0] <= at]:
                self.wire.remove(row)
                self.arrived(row, delays)
            self.step(delays)
            self.rules_hold()
        self.now = end

    def arrived(self, row, delays):
        """Deliver a grant to its holder, or its acknowledgement to the service that sent it."""
        _, kind, grant, generation = row
        if kind == "ack":
            if generation == self.generation:
                self.ledger.acknowledged(grant.holder, grant.shard, grant.number, self.now)
            return
        holder = self.holders[grant.holder]
        holder.granted(grant, self.now)
        if grant.holder in self.live:
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.wire.append((self.now + delay, "ack", grant, generation))

    @rule(name=names)
    def joins(self, name):
        """A holder can be heard."""
        self.holders.setdefault(name, ShardHolder(shard_of))
        self.live.add(name)
        self.ledger.holder_joined(name)

    @rule(name=names, span=spans, delays=delays)
    def is_cut_off(self, name, span, delays):
        """A holder can be heard no more, and uses what it has."""
        self.live.discard(name)
        self.ledger.holder_lost(name)
        self.time_goes_on(span, delays)

    @rule(name=names)
    def forgets_what_was_withdrawn(self, name):
        """A holder drops tenures as early as it may."""
        if name in self.holders:
            self.holders[name].forget(self.now - DELAY)

    @rule(shard=st.integers(0, SHARDS + 1), name=names, other=st.none() | names, span=spans, delays=delays)
    def is_assigned(self, shard, name, other, span=0, delays=()):
        """Of a shard that may be split, a third to the other; of one that may not, all to one."""
        if shard >= SHARDS and shard not in [OWN[destination] for destination in self.isolated]:
            return
        quotas = {name: FULL_QUOTA}
        if other not in (None, name) and shard >= SPLIT:
            quotas = {name: 2 * FULL_QUOTA // 3, other: FULL_QUOTA // 3}
        if all(self.ledger.knows(holder) for holder in quotas):
            self.targets[shard] = quotas
            self.ledger.assign(shard, quotas)
            self.goes_on(span, list(delays))

    @rule(
        destination=st.sampled_from(DESTINATIONS),
        amount=st.sampled_from([0, 10, 1000, 1050, 5000, 90_000, UNLIMITED]),
        span=spans,
        delays=delays,
    )
    def is_allowed(self, destination, amount, span, delays):
        """A destination's allowance changes."""
        self.allowances[destination].append((self.now, amount))
        self.ledger.set_limit(destination, self.own_shard(destination), amount)
        self.goes_on(span, delays)

    @rule(destination=st.sampled_from(sorted(OWN)), name=names, span=spans, delays=delays)
    def is_isolated(self, destination, name, span, delays):
        """A destination begins to move to a shard of its own."""
        if self.ledger.isolation(destination) or not self.ledger.is_free(OWN[destination]):
            return
        self.ledger.isolate(destination, shard_of(destination), OWN[destination])
        self.isolated.add(destination)
        self.is_assigned(OWN[destination], name, None, span, delays)

    @rule(destination=st.sampled_from(sorted(OWN)), span=spans, delays=delays)
    def is_merged(self, destination, span, delays):
        """A destination begins to move back."""
        if destination in self.isolated:
            self.ledger.merge(destination)
            self.isolated.discard(destination)
            self.targets.pop(OWN[destination], None)
            self.goes_on(span, delays)

    @precondition(lambda self: self.now >= self.began + LEASE + DELAY)
    @rule(keeps=st.booleans())
    def the_service_restarts(self, keeps):
        """Another one goes on, with the table of the one before or with another."""
        self.generation, self.began = self.generation + 1, self.now
        sent = [row[2].number for row in self.wire if row[1] == "grant"]
        had = [number for holder in self.holders.values() for number in holder.acknowledgements().values()]
        self.ledger = ShardLedger(self.now, LEASE, DELAY)
        self.ledger.resume(max(sent + had, default=0))
        for name in self.live:
            self.ledger.holder_joined(name)
        if not keeps:
            names = sorted(self.live)
            self.isolated = set()
            self.targets = {shard: {names[-1 - shard % len(names)]: FULL_QUOTA} for shard in range(SHARDS) if names}
        for destination in self.isolated:
            self.ledger.isolate(destination, shard_of(destination), OWN[destination])
        for destination, row in self.allowances.items():
            self.ledger.set_limit(destination, self.own_shard(destination), row[-1][1])
        for shard, quotas in list(self.targets.items()):
            known = {name: quota for name, quota in quotas.items() if name in self.live}
            self.targets[shard] = known
            self.ledger.assign(shard, known)

    @invariant()
    def rules_hold(self):
        """Quotas and budgets in use are within the rules of the ledger's page."""
        for shard in range(SHARDS + len(OWN)):
            quotas = [holder.quota(shard, self.now) for holder in self.holders.values()]
            assert sum(quotas) <= FULL_QUOTA
            assert shard >= SPLIT or sum(map(bool, quotas)) <= 1, "two epochs of a shard that is not split"
            if not self.generation:
                assert sum(quotas) <= self.ledger.in_use(shard, self.now)
        for destination, row in self.allowances.items():
            while len(row) > 1 and row[1][0] <= self.now - LEASE - DELAY:
                row.popleft()
            used = sum(holder.budget(destination, self.now) for holder in self.holders.values())
            assert used <= max(amount for _, amount in row), f"destination {destination}"

    def teardown(self):
        """Left alone, every live holder has its quota of its shards in the end, and knows every limit."""
        if not hasattr(self, "ledger"):
            return
        for _ in range(4 * (LEASE + DELAY) // S):
            self.time_goes_on(S, [])
        for shard, quotas in self.targets.items():
            for name in quotas.keys() & self.live:
                assert self.holders[name].quota(shard, self.now) == quotas[name]
                for destination in DESTINATIONS:
                    if self.own_shard(destination) == shard:
                        budget = quotas[name] * self.allowances[destination][-1][1] // FULL_QUOTA
                        assert self.holders[name].budget(destination, self.now) == budget


LeaseMachine.TestCase.settings = limits(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)
TestLeases = LeaseMachine.TestCase


def started(*holders):
    """A ledger that may grant from 0 on, with these holders live."""
    ledger = ShardLedger(-LEASE - DELAY, LEASE, DELAY)
    for holder in holders:
        ledger.holder_joined(holder)
    return ledger


def acknowledge(ledger, grants, now):
    """Acknowledge grants; each changes something."""
    for grant in grants:
        assert ledger.acknowledged(grant.holder, grant.shard, grant.number, now)


def quotas(grants):
    """Return the quota by holder and shard."""
    return {(grant.holder, grant.shard): grant.quota for grant in grants}


def test_unlimited_is_the_allocators():
    """The two constants mean the same, so that no conversion is needed."""
    assert UNLIMITED == allocator.UNLIMITED


def test_a_moved_shard_waits_for_the_acknowledgement_of_its_withdrawal():
    """The next holder's epoch is higher, and the one before is released."""
    ledger = started("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    acknowledge(ledger, first, 0)
    ledger.assign(1, {"b": FULL_QUOTA})
    withdrawal = ledger.step(S)
    assert quotas(withdrawal) == {("a", 1): 0}
    assert withdrawal[0].epoch == first[0].epoch
    acknowledge(ledger, withdrawal, S + 7)
    (granted,) = ledger.step(S + 7)
    assert quotas([granted]) == {("b", 1): FULL_QUOTA}
    assert granted.epoch > first[0].epoch
    assert ledger.drain_released() == [("a", 1)]


@pytest.mark.parametrize(("heard", "free_at"), [(True, S + LEASE), (False, LEASE + DELAY)])
def test_a_shard_of_a_lost_holder_waits_for_its_lease(heard, free_at):
    """From its acknowledgement, or from the latest time at which it can have arrived."""
    ledger = started("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    if heard:
        acknowledge(ledger, first, S)
    ledger.holder_lost("a")
    ledger.assign(1, {"b": FULL_QUOTA})
    assert ledger.step(free_at - 1) == []
    assert ledger.next_deadline(free_at - 1) == free_at
    assert quotas(ledger.step(free_at)) == {("b", 1): FULL_QUOTA}
    assert not ledger.knows("a")


def test_free_quota_is_granted_once():
    """The second holder waits until the lost one's lease has run out."""
    ledger = started("a", "b", "c")
    ledger.assign(1, {"a": FULL_QUOTA // 2})
    ledger.step(0)
    ledger.holder_lost("a")
    ledger.assign(1, {"b": FULL_QUOTA // 2, "c": FULL_QUOTA // 2})
    assert quotas(ledger.step(S)) == {("b", 1): FULL_QUOTA // 2}
    assert ledger.in_use(1, S) == FULL_QUOTA
    assert quotas(ledger.step(LEASE + DELAY))[("c", 1)] == FULL_QUOTA // 2


@pytest.mark.parametrize("heard", [True, False])
def test_a_new_tenure_is_sent_every_limit_whatever_was_acknowledged_in_the_one_before(heard):
    """A late acknowledgement of the tenure before does not count."""
    ledger = started("a")
    ledger.set_limit(7, 1, 1000)
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    if heard:
        acknowledge(ledger, first, 1)
    ledger.assign(1, {})
    withdrawal = ledger.step(1)
    ledger.assign(1, {"a": FULL_QUOTA})
    (second,) = ledger.step(2)
    acknowledge(ledger, withdrawal, 3)  # late, and of the tenure before
    (renewal,) = ledger.step(2 + LEASE // 2)
    assert first[0].limits == second.limits == renewal.limits == ((7, 1000),)
    assert first[0].epoch < second.epoch == renewal.epoch


def test_a_fall_is_sent_at_once_and_a_small_raise_with_the_renewal():
    """Limits are repeated until they are acknowledged."""
    ledger = started("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    acknowledge(ledger, ledger.step(0), 0)
    ledger.set_limit(7, 1, 1000)
    ledger.set_limit(8, 1, 2000)
    (fall,) = ledger.step(S)
    assert dict(fall.limits) == {7: 1000, 8: 2000}
    acknowledge(ledger, [fall], S)
    ledger.set_limit(7, 1, 1100)
    assert ledger.step(S) == ledger.step(S + LEASE // 2 - 1) == []
    (renewal,) = ledger.step(S + LEASE // 2)
    assert renewal.limits == ((7, 1100),)
    ledger.set_limit(8, 1, UNLIMITED)
    (raised,) = ledger.step(S + LEASE // 2)
    assert dict(raised.limits) == {7: 1100, 8: UNLIMITED}  # not acknowledged yet, so sent again
    acknowledge(ledger, [raised], 2 * S)
    ledger.set_limit(7, 1, UNLIMITED)
    assert ledger.step(4 * S)[0].limits == ((7, UNLIMITED),)


def test_an_isolated_destination_waits_for_every_holder_of_its_home_shard():
    """Its own shard is granted when all have the limit 0; on the way back, when the own one is withdrawn."""
    ledger = started("a", "b", "c")
    ledger.assign(1, {"a": FULL_QUOTA // 2, "b": FULL_QUOTA // 2})
    ledger.set_limit(7, 1, 1000)
    acknowledge(ledger, ledger.step(0), 0)
    ledger.isolate(7, 1, 9)
    ledger.assign(9, {"c": FULL_QUOTA})
    falls = ledger.step(1)
    assert {grant.limits for grant in falls} == {((7, 0),)}
    acknowledge(ledger, falls[:1], 2)
    assert ledger.step(2) == []
    assert ledger.isolation(7) is IsolationState.PREPARING
    acknowledge(ledger, falls[1:], 3)
    (own,) = ledger.step(3)
    assert (own.holder, own.shard, own.destination, own.limits) == ("c", 9, 7, ((7, 1000),))
    acknowledge(ledger, [own], 3)
    ledger.merge(7)
    (withdrawal,) = ledger.step(4)
    assert quotas([withdrawal]) == {("c", 9): 0}
    acknowledge(ledger, [withdrawal], 5)
    assert {grant.limits for grant in ledger.step(5)} == {((7, 1000),)}
    assert ledger.isolation(7) is None
    assert ledger.is_free(9)


def test_nothing_is_granted_until_what_an_earlier_service_granted_has_run_out():
    """After a start, and after another service led; numbers go on above the highest."""
    ledger = ShardLedger(0, LEASE, DELAY)
    ledger.resume(50)
    ledger.holder_joined("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    assert ledger.step(LEASE + DELAY - 1) == []
    assert ledger.next_deadline(0) == LEASE + DELAY
    (first,) = ledger.step(LEASE + DELAY)
    assert first.number == first.epoch == 51
    ledger.step_down()
    assert ledger.step(10 * LEASE) == []
    ledger.resume(99)
    ledger.start_grace_period(10 * LEASE)
    assert ledger.step(11 * LEASE + DELAY - 1) == []
    (again,) = ledger.step(11 * LEASE + DELAY)
    assert again.number == again.epoch == 100  # a tenure of its own: the other service's were between


def test_shards_that_stay_as_they_are_cost_one_renewal_in_half_a_lease():
    """And no step in between."""
    ledger, sent, steps = started("a"), defaultdict(int), 0
    ledger.assign(1, {"a": FULL_QUOTA})
    ledger.assign(2, {"a": FULL_QUOTA})
    now = 0
    while now < 20 * LEASE:
        grants = ledger.step(now)
        acknowledge(ledger, grants, now)
        steps += 1
        for grant in grants:
            sent[grant.shard] += 1
        now = max(now + 1, ledger.next_deadline(now))
    assert sent == {1: 40, 2: 40}
    assert steps <= 41


@pytest.mark.parametrize(
    ("wrong", "text"),
    [
        (lambda ledger: ledger.assign(1, {"a": FULL_QUOTA, "b": 1}), "shard 1: the quotas add up to 1000001"),
        (lambda ledger: ledger.assign(1, {"a": -1}), "the quota of a is -1"),
        (lambda ledger: ledger.assign(1, {"a": 0.5}), "the quota of a is 0.5"),
        (lambda ledger: ledger.assign(1, {"stranger": 1}), "shard 1: unknown holder stranger"),
        (lambda ledger: ledger.set_limit(7, 1, -1), "destination 7: an allowance of -1"),
        (lambda ledger: ledger.isolate(8, 0, 1), "shard 1 is in use"),
        (lambda ledger: ledger.isolate(7, 0, 9), "destination 7 has a shard of its own"),
        (lambda ledger: ledger.isolate(8, 5, 9), "shard 5 is another destination's own"),
        (lambda ledger: ledger.set_limit(7, 0, 10), "destination 7 is not in shard 0"),
        (lambda ledger: ledger.merge(8), "destination 8 has no shard of its own"),
    ],
)
def test_rejected_input_changes_nothing(wrong, text):
    """Each error names what is wrong; grants go on as before."""
    ledger = started("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    ledger.isolate(7, 0, 5)
    acknowledge(ledger, ledger.step(0), 0)
    with pytest.raises(AssignmentError, match=text):
        wrong(ledger)
    assert ledger.step(1) == []
    assert ledger.in_use(1, 1) == FULL_QUOTA
    assert quotas(ledger.step(LEASE // 2)) == {("a", 1): FULL_QUOTA}


def test_an_acknowledgement_of_a_number_that_is_unknown_or_out_of_use_is_ignored():
    """A repeated one does not make the lease longer."""
    ledger = started("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    first, second = ledger.step(0), ledger.step(LEASE // 2)
    acknowledge(ledger, second, LEASE // 2)
    for holder, shard, number in [("a", 1, first[0].number), ("a", 1, 99), ("b", 1, 1), ("a", 2, 1)]:
        assert not ledger.acknowledged(holder, shard, number, LEASE // 2)
    assert not ledger.acknowledged("a", 1, second[0].number, LEASE)  # again: its lease counts from the first time
    assert ledger.in_use(1, LEASE + LEASE // 2) == 0
