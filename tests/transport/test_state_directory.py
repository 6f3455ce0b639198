"""The state directory and the leader's state: files that cannot be read or written, and the leader's lock."""

import logging

import pytest

from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.state import StateDirectory, StateDirectoryError
from scalefall.errors import LeadershipError, StorageError

SECOND_US = 1_000_000


class StubService:
    """Stands in for a control service: records what it restores, and provides the state to save."""

    def __init__(self):
        self.ledger = self.allocator = self.engine = self
        self.number, self.text, self.assignment_generation = 0, None, 0
        self.leader_calls, self.events = [], None

    def become_leader(self, now, number, snapshot):
        self.leader_calls.append((now, number, snapshot))
        self.number = number

    def restore(self, events, _now):
        self.events = events

    def unsettled_allowances(self):
        return []

    def learned_rates(self):
        return []

    def generation(self):
        return self.assignment_generation

    def snapshot(self):
        return self.text


def new_leader_state(path):
    """Return a stub service, and the leader state of a process on this directory."""
    service = StubService()
    return service, LeaderState(service, StateDirectory(str(path)), SECOND_US)


def block_writes(path, name):
    """Make writes to the file fail, by a directory in place of its new version."""
    (path / f"{name}.new").mkdir()


# -- the directory


def test_one_process_at_a_time_holds_the_lock_until_it_releases_it(tmp_path):
    first, second = StateDirectory(str(tmp_path)), StateDirectory(str(tmp_path))
    with first:
        assert first.acquire_lock()
        assert first.acquire_lock()
        assert not second.acquire_lock()
    assert second.acquire_lock()
    second.release()
    second.release()
    assert first.acquire_lock()
    first.release()
    assert (tmp_path / "granting").stat().st_mode & 0o777 == 0o600


def test_a_missing_directory_is_named_in_the_error(tmp_path):
    directory = StateDirectory(str(tmp_path / "none"))
    for operation, name in ((directory.acquire_lock, "granting"), (directory.open_epoch, "epoch")):
        with pytest.raises(StorageError) as caught:
            operation()
        assert str(caught.value) == f"{tmp_path}/none/{name}: No such file or directory"


@pytest.mark.parametrize("text", ["many", "", "-1", "1" * 19, "1.5"])
def test_an_epoch_that_is_not_a_number_is_an_error_and_left_unchanged(tmp_path, text):
    (tmp_path / "epoch").write_text(text)
    with pytest.raises(StateDirectoryError) as caught:
        StateDirectory(str(tmp_path)).open_epoch()
    assert str(caught.value) == f"{tmp_path}/epoch does not hold a number: {text!r}"
    assert (tmp_path / "epoch").read_text() == text


def test_an_unreadable_epoch_is_named_in_the_error(tmp_path):
    (tmp_path / "epoch").write_bytes(b"\xff")
    with pytest.raises(StateDirectoryError, match=f"^{tmp_path}/epoch: 'ascii' codec"):
        StateDirectory(str(tmp_path)).open_epoch()
    (tmp_path / "epoch").unlink()
    (tmp_path / "epoch").mkdir()
    with pytest.raises(StateDirectoryError) as caught:
        StateDirectory(str(tmp_path)).open_epoch()
    assert str(caught.value) == f"{tmp_path}/epoch: Is a directory"


def test_numbers_are_reserved_one_block_above_those_in_use(tmp_path):
    directory = StateDirectory(str(tmp_path))
    assert directory.open_epoch() == 0
    assert directory.reserved_below == 1_000_000
    directory.reserve_numbers(700_000)
    assert directory.reserved_below == 1_700_000
    assert (tmp_path / "epoch").read_text() == "1700000\n"
    assert StateDirectory(str(tmp_path)).open_epoch() == 1_700_000
    block_writes(tmp_path, "epoch")
    with pytest.raises(StateDirectoryError) as caught:
        directory.reserve_numbers(1_500_000)
    assert str(caught.value) == f"{tmp_path}/epoch: Is a directory"
    assert directory.reserved_below == 1_700_000


def test_saved_state_is_loaded_and_missing_state_is_none(tmp_path):
    directory = StateDirectory(str(tmp_path))
    assert (directory.load_snapshot(), directory.load_assignment()) == (None, None)
    directory.save_assignment("a\n")
    assert directory.load_assignment() == "a\n"
    assert [path.name for path in tmp_path.iterdir()] == ["assignment"]
    for text in ("{", "[" * 100_000):
        (tmp_path / "figures").write_text(text)
        with pytest.raises(StateDirectoryError):
            directory.load_snapshot()
    (tmp_path / "assignment").write_bytes(b"\xff")
    with pytest.raises(StateDirectoryError, match="utf-8"):
        directory.load_assignment()
    block_writes(tmp_path, "assignment")
    with pytest.raises(StateDirectoryError) as caught:
        directory.save_assignment("b")
    assert str(caught.value) == "Is a directory"


# -- the leader's state


def test_one_process_leads_and_its_successor_begins_above_its_numbers(tmp_path, caplog):
    caplog.set_level(logging.INFO, "scalefall")
    service, leader = new_leader_state(tmp_path)
    with pytest.raises(LeadershipError, match="another process grants here"):
        leader.require_leadership()
    assert leader.acquire_leadership(5, 6)
    leader.require_leadership()
    assert not leader.acquire_leadership(5, 6)  # it is the leader already
    assert service.leader_calls == [(5, 0, None)]
    assert service.events == []
    assert caplog.messages == ["granting: numbers above 0, beginning in 1.0 s"]
    assert caplog.records[0].fields == {"epoch": 0, "recalled": 0}
    second, follower = new_leader_state(tmp_path)
    assert not follower.acquire_leadership(7, 8)
    assert not follower.is_leader
    leader.release()
    assert follower.acquire_leadership(7, 8)
    assert second.leader_calls == [(7, 1_000_000, None)]
    follower.release()


def test_numbers_are_reserved_in_advance_and_a_failed_reservation_ends_granting(tmp_path, caplog):
    service, leader = new_leader_state(tmp_path)
    leader.acquire_leadership(0, 0)
    service.number = 500_000
    leader.reserve_numbers()
    assert (tmp_path / "epoch").read_text() == "1000000\n"
    service.number = 500_001
    leader.reserve_numbers()
    assert (tmp_path / "epoch").read_text() == "1500001\n"
    block_writes(tmp_path, "epoch")
    service.number = 1_200_000
    leader.reserve_numbers()
    assert caplog.messages == [
        f"grant numbers cannot be reserved: {tmp_path}/epoch: Is a directory; granting nothing more until a restart"
    ]
    assert not leader.is_leader
    leader.release()


def test_unreadable_saved_state_is_logged_and_does_not_prevent_leadership(tmp_path, caplog):
    (tmp_path / "figures").write_text("{}")
    (tmp_path / "assignment").write_bytes(b"\xff")
    service, leader = new_leader_state(tmp_path)
    assert leader.acquire_leadership(0, 0)
    assert service.leader_calls == [(0, 0, None)]
    assert service.events == []
    assignment_line, snapshot_line = caplog.messages
    assert assignment_line.startswith("saved assignment cannot be read: 'utf-8'")
    assert assignment_line.endswith("; assigning all shards again")
    assert snapshot_line.startswith("saved snapshot cannot be used: ")
    assert snapshot_line.endswith("; starting without it")
    leader.release()


def test_a_standby_saves_nothing_and_a_leader_saves_changed_state(tmp_path, caplog):
    service, leader = new_leader_state(tmp_path)
    leader.save(0, 0)
    assert list(tmp_path.iterdir()) == []
    leader.acquire_leadership(0, 0)
    leader.save(0, SECOND_US)
    written = (tmp_path / "figures").read_bytes()
    leader.save(0, 2 * SECOND_US)  # only the time differs
    assert (tmp_path / "figures").read_bytes() == written
    service.assignment_generation, service.text = 1, "shards"
    leader.save(0, 3 * SECOND_US)
    assert (tmp_path / "assignment").read_text() == "shards"
    (tmp_path / "assignment").unlink()
    leader.save(0, 4 * SECOND_US)  # the generation is unchanged
    assert not (tmp_path / "assignment").exists()
    block_writes(tmp_path, "assignment")
    service.assignment_generation = 2
    leader.save(0, 5 * SECOND_US)
    assert caplog.messages == ["snapshot or assignment cannot be saved: Is a directory; granting continues"]
    leader.release()
