"""The ledger's rules one by one, from the service's side; test_shard_ledger.py has the model check."""

from __future__ import annotations

from collections import defaultdict

import pytest

from scalefall.assignment.isolation_transitions import IsolationState
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED
from scalefall.control import allocator
from scalefall.errors import AssignmentError

S = 1_000_000
LEASE, DELAY = 4 * S, 5 * S


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
    ledger.holder_disconnected("a")
    ledger.assign(1, {"b": FULL_QUOTA})
    assert ledger.step(free_at - 1) == []
    assert ledger.next_deadline(free_at - 1) == free_at
    assert quotas(ledger.step(free_at)) == {("b", 1): FULL_QUOTA}
    assert not ledger.is_known("a")


def test_free_quota_is_granted_once():
    """The second holder waits until the lost one's lease has run out."""
    ledger = started("a", "b", "c")
    ledger.assign(1, {"a": FULL_QUOTA // 2})
    ledger.step(0)
    ledger.holder_disconnected("a")
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
