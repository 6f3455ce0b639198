"""What a sender process keeps of its grants."""

from __future__ import annotations

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant

S = 1_000_000
LEASE = 4 * S


def grant(number, quota=FULL_QUOTA, limits=(), epoch=1, shard=3, destination=None):
    """Return a grant of shard 3, or another."""
    return ShardGrant("node/one", shard, epoch, number, quota, LEASE, limits, destination)


def holder():
    """Return a holder whose shards are destinations modulo 10."""
    return ShardHolder(lambda destination: destination % 10)


def test_a_budget_is_quota_times_limit_until_the_lease_runs_out():
    """A destination of another shard has none."""
    sender = holder()
    assert sender.granted(grant(1, FULL_QUOTA // 4, ((13, 4000),)), since=S)
    assert sender.budget(13, S) == 1000
    assert sender.budget(23, S) == UNLIMITED // 4
    assert sender.budget(14, S) == 0
    assert not sender.holds(14, S)
    assert sender.holds(13, S + LEASE - 1)
    assert sender.leased_shards(S + LEASE - 1) == {3}
    assert sender.budget(13, S + LEASE) == 0
    assert not sender.holds(13, S + LEASE)
    assert not sender.leased_shards(S + LEASE)


def test_a_late_grant_is_dropped():
    """An equal or a lower number does not bring back what was withdrawn."""
    sender = holder()
    assert sender.granted(grant(2, 0), since=0)
    assert not sender.granted(grant(2), since=1)
    assert not sender.granted(grant(1), since=1)
    assert sender.budget(13, 1) == 0
    assert sender.acknowledgements() == {3: 2}


def test_a_grant_of_an_older_epoch_is_dropped_whatever_its_number():
    """A service that no longer grants cannot bring back a tenure."""
    sender = holder()
    assert sender.granted(grant(10, 0, epoch=9), since=0)
    assert not sender.granted(grant(11, epoch=8), since=0)
    assert sender.quota(3, 0) == 0
    assert sender.epoch(3) == 9


def test_limits_add_up_in_a_tenure_and_end_with_it():
    """A new epoch begins with no limits."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 4000), (23, 50))), since=0)
    sender.granted(grant(2, limits=((23, UNLIMITED),)), since=0)
    assert sender.budget(13, 0) == 4000
    assert sender.budget(23, 0) == UNLIMITED
    sender.granted(grant(3, limits=((23, 7),), epoch=3), since=0)
    assert sender.budget(13, 0) == UNLIMITED
    assert sender.budget(23, 0) == 7


def test_the_shard_of_an_isolated_destination_goes_before_the_hash_while_it_is_leased():
    """Withdrawn, the home shard counts again, also when the number gets another destination."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 0),)), since=0)
    assert sender.budget(13, 0) == 0
    sender.granted(grant(2, FULL_QUOTA // 2, ((13, 800),), epoch=2, shard=12, destination=13), since=0)
    assert sender.budget(13, 0) == 400
    assert sender.budget(23, 0) == UNLIMITED
    sender.granted(grant(3, 0, epoch=2, shard=12, destination=13), since=1)
    sender.granted(grant(4, limits=((13, 900),)), since=1)
    assert sender.budget(13, 1) == 900
    sender.granted(grant(5, limits=((23, 60),), epoch=5, shard=12, destination=23), since=1)  # the number used again
    assert sender.budget(13, 1) == 900
    assert sender.budget(23, 1) == 60


def test_only_withdrawn_tenures_are_forgotten():
    """One that has only run out keeps its limits, as the service counts on them."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 10),)), since=0)
    sender.granted(grant(2, 0, shard=4), since=0)
    sender.prune_withdrawn(LEASE)
    assert sender.acknowledgements() == {3: 1, 4: 2}
    assert sender.acknowledgements(LEASE) == {}
    sender.prune_withdrawn(LEASE + 1)
    assert sender.acknowledgements() == {3: 1}
    sender.granted(
        grant(3), since=3 * LEASE
    )  # the service goes on with the tenure, and counts on what was acknowledged
    assert sender.budget(13, 3 * LEASE) == 10
