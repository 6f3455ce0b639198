"""The ledger's invariants one by one, from the service's side; test_shard_ledger.py has the model check."""

from __future__ import annotations

from collections import defaultdict

import pytest

from scalefall.assignment.isolation_transitions import IsolationState
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED
from scalefall.control import allocator
from scalefall.errors import AssignmentError

SECOND = 1_000_000  # us
LEASE_US = 4 * SECOND
DELAY_US = 5 * SECOND


def started_ledger(*holders):
    """Return a ledger whose grace period ends at time 0, with these holders live."""
    ledger = ShardLedger(-LEASE_US - DELAY_US, LEASE_US, DELAY_US)
    for holder in holders:
        ledger.holder_joined(holder)
    return ledger


def acknowledge(ledger, grants, now):
    """Acknowledge grants, and check that each acknowledgement changes something."""
    for grant in grants:
        assert ledger.acknowledged(grant.holder, grant.shard, grant.number, now)


def quotas(grants):
    """Return the quota by holder and shard."""
    return {(grant.holder, grant.shard): grant.quota for grant in grants}


def test_unlimited_equals_the_allocators_constant():
    """Guards against different values, as allowances are passed on without conversion."""
    assert UNLIMITED == allocator.UNLIMITED


def test_a_moved_shard_waits_for_the_acknowledgement_of_its_withdrawal():
    """Guards against two holders during a move; the next holder's epoch is higher, and the previous is released."""
    ledger = started_ledger("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    acknowledge(ledger, first, 0)
    ledger.assign(1, {"b": FULL_QUOTA})
    withdrawal = ledger.step(SECOND)
    assert quotas(withdrawal) == {("a", 1): 0}
    assert withdrawal[0].epoch == first[0].epoch
    acknowledge(ledger, withdrawal, SECOND + 7)
    (granted,) = ledger.step(SECOND + 7)
    assert quotas([granted]) == {("b", 1): FULL_QUOTA}
    assert granted.epoch > first[0].epoch
    assert ledger.drain_released() == [("a", 1)]


@pytest.mark.parametrize(("acknowledged", "free_at"), [(True, SECOND + LEASE_US), (False, LEASE_US + DELAY_US)])
def test_a_shard_of_an_unreachable_holder_is_granted_again_once_its_lease_has_expired(acknowledged, free_at):
    """The lease counts from the acknowledgement, or from the latest possible receipt of the grant."""
    ledger = started_ledger("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    if acknowledged:
        acknowledge(ledger, first, SECOND)
    ledger.holder_disconnected("a")
    ledger.assign(1, {"b": FULL_QUOTA})
    assert ledger.step(free_at - 1) == []
    assert ledger.next_deadline(free_at - 1) == free_at
    assert quotas(ledger.step(free_at)) == {("b", 1): FULL_QUOTA}
    assert not ledger.is_known("a")


def test_free_quota_is_granted_once():
    """Guards against a total above FULL_QUOTA: one new holder has to wait until the old holder's lease has expired."""
    ledger = started_ledger("a", "b", "c")
    ledger.assign(1, {"a": FULL_QUOTA // 2})
    ledger.step(0)
    ledger.holder_disconnected("a")
    ledger.assign(1, {"b": FULL_QUOTA // 2, "c": FULL_QUOTA // 2})
    assert quotas(ledger.step(SECOND)) == {("b", 1): FULL_QUOTA // 2}
    assert ledger.in_use(1, SECOND) == FULL_QUOTA
    assert quotas(ledger.step(LEASE_US + DELAY_US))[("c", 1)] == FULL_QUOTA // 2


@pytest.mark.parametrize("acknowledged", [True, False])
def test_a_new_tenure_is_sent_every_limit_whatever_was_acknowledged_in_the_previous_one(acknowledged):
    """Guards against limits missing from a new tenure after a late acknowledgement of the previous one."""
    ledger = started_ledger("a")
    ledger.set_limit(7, 1, 1000)
    ledger.assign(1, {"a": FULL_QUOTA})
    first = ledger.step(0)
    if acknowledged:
        acknowledge(ledger, first, 1)
    ledger.assign(1, {})
    withdrawal = ledger.step(1)
    ledger.assign(1, {"a": FULL_QUOTA})
    (second,) = ledger.step(2)
    acknowledge(ledger, withdrawal, 3)  # late, of the previous tenure
    (renewal,) = ledger.step(2 + LEASE_US // 2)
    assert first[0].limits == second.limits == renewal.limits == ((7, 1000),)
    assert first[0].epoch < second.epoch == renewal.epoch


def test_a_reduced_limit_is_sent_at_once_and_a_small_raise_with_the_renewal():
    """Guards against late reductions, and against limits that are not repeated until they are acknowledged."""
    ledger = started_ledger("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    acknowledge(ledger, ledger.step(0), 0)
    ledger.set_limit(7, 1, 1000)
    ledger.set_limit(8, 1, 2000)
    (reduction,) = ledger.step(SECOND)
    assert dict(reduction.limits) == {7: 1000, 8: 2000}
    acknowledge(ledger, [reduction], SECOND)
    ledger.set_limit(7, 1, 1100)
    assert ledger.step(SECOND) == ledger.step(SECOND + LEASE_US // 2 - 1) == []
    (renewal,) = ledger.step(SECOND + LEASE_US // 2)
    assert renewal.limits == ((7, 1100),)
    ledger.set_limit(8, 1, UNLIMITED)
    (raised,) = ledger.step(SECOND + LEASE_US // 2)
    assert dict(raised.limits) == {7: 1100, 8: UNLIMITED}  # 7 is repeated, as it is not acknowledged
    acknowledge(ledger, [raised], 2 * SECOND)
    ledger.set_limit(7, 1, UNLIMITED)
    assert ledger.step(4 * SECOND)[0].limits == ((7, UNLIMITED),)


def test_an_isolated_destination_waits_for_every_holder_of_its_home_shard():
    """Guards against a budget in two shards: the next shard's grants wait for limit 0, or for the withdrawal."""
    ledger = started_ledger("a", "b", "c")
    ledger.assign(1, {"a": FULL_QUOTA // 2, "b": FULL_QUOTA // 2})
    ledger.set_limit(7, 1, 1000)
    acknowledge(ledger, ledger.step(0), 0)
    ledger.isolate(7, 1, 9)
    ledger.assign(9, {"c": FULL_QUOTA})
    reductions = ledger.step(1)
    assert {grant.limits for grant in reductions} == {((7, 0),)}
    acknowledge(ledger, reductions[:1], 2)
    assert ledger.step(2) == []
    assert ledger.isolation(7) is IsolationState.PREPARING
    acknowledge(ledger, reductions[1:], 3)
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


def test_nothing_is_granted_until_the_grants_of_an_earlier_service_have_expired():
    """The grace period follows a start and a return to leadership; numbers continue above the highest."""
    ledger = ShardLedger(0, LEASE_US, DELAY_US)
    ledger.resume(50)
    ledger.holder_joined("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    assert ledger.step(LEASE_US + DELAY_US - 1) == []
    assert ledger.next_deadline(0) == LEASE_US + DELAY_US
    (first,) = ledger.step(LEASE_US + DELAY_US)
    assert first.number == first.epoch == 51
    ledger.step_down()
    assert ledger.step(10 * LEASE_US) == []
    ledger.resume(99)
    ledger.start_grace_period(10 * LEASE_US)
    assert ledger.step(11 * LEASE_US + DELAY_US - 1) == []
    (again,) = ledger.step(11 * LEASE_US + DELAY_US)
    assert again.number == again.epoch == 100  # a new tenure, as another service granted in between


def test_an_unchanged_shard_costs_one_renewal_per_half_lease():
    """Guards against needless messages, and against steps between renewals."""
    ledger, sent, steps = started_ledger("a"), defaultdict(int), 0
    ledger.assign(1, {"a": FULL_QUOTA})
    ledger.assign(2, {"a": FULL_QUOTA})
    now = 0
    while now < 20 * LEASE_US:
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
    """Guards against a partial update by invalid input: the grants do not change."""
    ledger = started_ledger("a", "b")
    ledger.assign(1, {"a": FULL_QUOTA})
    ledger.isolate(7, 0, 5)
    acknowledge(ledger, ledger.step(0), 0)
    with pytest.raises(AssignmentError, match=text):
        wrong(ledger)
    assert ledger.step(1) == []
    assert ledger.in_use(1, 1) == FULL_QUOTA
    assert quotas(ledger.step(LEASE_US // 2)) == {("a", 1): FULL_QUOTA}


def test_an_acknowledgement_of_a_number_that_is_unknown_or_no_longer_in_use_is_ignored():
    """Guards against a repeated acknowledgement that extends the lease in the ledger."""
    ledger = started_ledger("a")
    ledger.assign(1, {"a": FULL_QUOTA})
    first, second = ledger.step(0), ledger.step(LEASE_US // 2)
    acknowledge(ledger, second, LEASE_US // 2)
    for holder, shard, number in [("a", 1, first[0].number), ("a", 1, 99), ("b", 1, 1), ("a", 2, 1)]:
        assert not ledger.acknowledged(holder, shard, number, LEASE_US // 2)
    assert not ledger.acknowledged("a", 1, second[0].number, LEASE_US)  # repeated: the lease counts from the first one
    assert ledger.in_use(1, LEASE_US + LEASE_US // 2) == 0
