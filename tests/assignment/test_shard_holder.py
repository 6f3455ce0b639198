"""The grants of one sender process."""

from __future__ import annotations

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED, ShardGrant

SECOND = 1_000_000  # us
LEASE_US = 4 * SECOND


def grant(number, quota=FULL_QUOTA, limits=(), epoch=1, shard=3, destination=None):
    """Return a grant, of shard 3 by default."""
    return ShardGrant("node/one", shard, epoch, number, quota, LEASE_US, limits, destination)


def holder():
    """Return a holder for which a destination's shard is its number modulo 10."""
    return ShardHolder(lambda destination: destination % 10)


def test_a_budget_is_quota_times_limit_until_the_lease_expires():
    """Guards against calls after the lease, or to destinations of a shard without one."""
    sender = holder()
    assert sender.granted(grant(1, FULL_QUOTA // 4, ((13, 4000),)), since=SECOND)
    assert sender.budget(13, SECOND) == 1000
    assert sender.budget(23, SECOND) == UNLIMITED // 4
    assert sender.budget(14, SECOND) == 0
    assert not sender.holds(14, SECOND)
    assert sender.holds(13, SECOND + LEASE_US - 1)
    assert sender.leased_shards(SECOND + LEASE_US - 1) == {3}
    assert sender.budget(13, SECOND + LEASE_US) == 0
    assert not sender.holds(13, SECOND + LEASE_US)
    assert not sender.leased_shards(SECOND + LEASE_US)


def test_a_late_grant_is_dropped():
    """Guards against a withdrawn shard that is revived by a grant with an equal or a lower number."""
    sender = holder()
    assert sender.granted(grant(2, 0), since=0)
    assert not sender.granted(grant(2), since=1)
    assert not sender.granted(grant(1), since=1)
    assert sender.budget(13, 1) == 0
    assert sender.acknowledgements() == {3: 2}


def test_a_grant_of_an_older_epoch_is_dropped_whatever_its_number():
    """Guards against a tenure that is revived by a service that no longer grants."""
    sender = holder()
    assert sender.granted(grant(10, 0, epoch=9), since=0)
    assert not sender.granted(grant(11, epoch=8), since=0)
    assert sender.quota(3, 0) == 0
    assert sender.epoch(3) == 9


def test_limits_accumulate_in_a_tenure_and_end_with_it():
    """Guards against limits of an earlier tenure that are applied in a new one."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 4000), (23, 50))), since=0)
    sender.granted(grant(2, limits=((23, UNLIMITED),)), since=0)
    assert sender.budget(13, 0) == 4000
    assert sender.budget(23, 0) == UNLIMITED
    sender.granted(grant(3, limits=((23, 7),), epoch=3), since=0)
    assert sender.budget(13, 0) == UNLIMITED
    assert sender.budget(23, 0) == 7


def test_the_shard_of_an_isolated_destination_takes_precedence_over_the_hash_while_it_is_leased():
    """After its withdrawal the home shard counts again, also once the number is reused for another destination."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 0),)), since=0)
    assert sender.budget(13, 0) == 0
    sender.granted(grant(2, FULL_QUOTA // 2, ((13, 800),), epoch=2, shard=12, destination=13), since=0)
    assert sender.budget(13, 0) == 400
    assert sender.budget(23, 0) == UNLIMITED
    sender.granted(grant(3, 0, epoch=2, shard=12, destination=13), since=1)
    sender.granted(grant(4, limits=((13, 900),)), since=1)
    assert sender.budget(13, 1) == 900
    sender.granted(grant(5, limits=((23, 60),), epoch=5, shard=12, destination=23), since=1)  # the number is reused
    assert sender.budget(13, 1) == 900
    assert sender.budget(23, 1) == 60


def test_only_withdrawn_tenures_are_removed():
    """Guards against lost limits of an expired tenure, which the service may continue and does not send again."""
    sender = holder()
    sender.granted(grant(1, limits=((13, 10),)), since=0)
    sender.granted(grant(2, 0, shard=4), since=0)
    sender.prune_withdrawn(LEASE_US)
    assert sender.acknowledgements() == {3: 1, 4: 2}
    assert sender.acknowledgements(LEASE_US) == {}
    sender.prune_withdrawn(LEASE_US + 1)
    assert sender.acknowledgements() == {3: 1}
    sender.granted(grant(3), since=3 * LEASE_US)  # the service continues the tenure without repeating the limits
    assert sender.budget(13, 3 * LEASE_US) == 10
