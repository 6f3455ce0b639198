"""The decaying mean of measured loads."""

import pytest

from scalefall.assignment.load_means import AVERAGING_US, LoadMeans

SECOND = 1_000_000  # us


def test_the_mean_decays_and_idle_destinations_are_dropped():
    """Reports weigh less with age; a destination without traffic is dropped once its mean is close to zero."""
    loads, now = LoadMeans(), 0
    for _ in range(30):
        now += 10 * SECOND
        loads.report({1: 50.0, 2: 8.0}, now)
    assert loads.means(now) == pytest.approx({1: 50.0, 2: 8.0})
    loads.report({1: 50.0}, now + AVERAGING_US)
    assert loads.means(now + AVERAGING_US) == pytest.approx({1: 50.0, 2: 8.0 / 2.718281828})
    assert loads.means(now + 8 * AVERAGING_US).keys() == {1, 2}
    assert loads.means(now + 30 * AVERAGING_US) == {}
    assert len(loads) == 0
