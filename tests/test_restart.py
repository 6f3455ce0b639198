"""A restarted process is ready within 10 s, with a full journal and a long list. See benchmarks/restart.py for more."""

import pytest
from restarthelp import ENDPOINT_COUNT, fill_state, start, write_config

from scalefall.net.config import read_config

MAX_START_S = 10
STARTS = 3
MIN_MESSAGES = 6000  # a folder of 3 MB holds at least this many small messages


@pytest.mark.parametrize("siblings", [1, ENDPOINT_COUNT])
def test_a_process_with_a_full_journal_and_1024_known_endpoints_is_ready_in_time(tmp_path, siblings):
    config = write_config(tmp_path, siblings=siblings)
    for number in range(STARTS):
        state = tmp_path / str(number)
        state.mkdir()
        accepted = fill_state(state)
        known = read_config({"RELAY_CONFIG": str(config), "RELAY_STATE": str(state)}).known
        assert accepted > MIN_MESSAGES
        assert len(known.entries) == ENDPOINT_COUNT
        done = start(config, state)
        assert done.restored == accepted, done
        assert done.seconds < MAX_START_S, done
