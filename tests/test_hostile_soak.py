"""A short part of the soak under bad clients, kills and shutdowns; benchmarks/hostile_soak.py plays more seeds."""

import crowd
import pytest
from benchmarks.hostile_soak import Play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_sender_under_bad_clients_and_restarts_keeps_its_limits_and_loses_and_repeats_nothing(seed):
    crowd.raise_descriptor_limit()
    play = Play(seed)
    play.run()
    assert play.faults == []
    assert play.accepted
