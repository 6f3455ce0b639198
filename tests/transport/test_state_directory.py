"""The state directory and the leader's state: what cannot be read or written, and who holds the lock."""

import logging

import pytest

from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.state import StateDirectory, StateDirectoryError
from scalefall.errors import LeadershipError, StorageError

S = 1_000_000


class Service:
    """In place of a control service: what it is told, and what it has to leave."""

    def __init__(self):
        self.ledger = self.allocator = self.engine = self
        self.number, self.text, self.number_of_saves = 0, None, 0
        self.began, self.events = [], None

    def become_leader(self, now, number, snapshot):
        self.began.append((now, number, snapshot))
        self.number = number

    def restore(self, events, _now):
        self.events = events

    def unsettled_allowances(self):
        return []

    def learned_rates(self):
        return []

    def generation(self):
        return self.number_of_saves

    def snapshot(self):
        return self.text


def leader_of(path):
    service = Service()
    return service, LeaderState(service, StateDirectory(str(path)), S)


def unwritable(path, name):
    """Put a directory where the new file of this name would be written."""
    (path / f"{name}.new").mkdir()


# -- the directory


def test_one_holds_the_lock_at_a_time_and_leaving_releases_it(tmp_path):
    one, two = StateDirectory(str(tmp_path)), StateDirectory(str(tmp_path))
    with one:
        assert one.acquire_lock()
        assert one.acquire_lock()
        assert not two.acquire_lock()
    assert two.acquire_lock()
    two.release()
    two.release()
    assert one.acquire_lock()
    one.release()
    assert (tmp_path / "granting").stat().st_mode & 0o777 == 0o600


def test_a_directory_that_is_not_there_is_named_in_one_line(tmp_path):
    directory = StateDirectory(str(tmp_path / "none"))
    for attempt, name in ((directory.acquire_lock, "granting"), (directory.open_epoch, "epoch")):
        with pytest.raises(StorageError) as caught:
            attempt()
        assert str(caught.value) == f"{tmp_path}/none/{name}: No such file or directory"


@pytest.mark.parametrize("text", ["many", "", "-1", "1" * 19, "1.5"])
def test_an_epoch_that_is_no_number_is_never_guessed(tmp_path, text):
    (tmp_path / "epoch").write_text(text)
    with pytest.raises(StateDirectoryError) as caught:
        StateDirectory(str(tmp_path)).open_epoch()
    assert str(caught.value) == f"{tmp_path}/epoch does not hold a number: {text!r}"
    assert (tmp_path / "epoch").read_text() == text


def test_an_epoch_that_is_no_text_or_no_file_is_named(tmp_path):
    (tmp_path / "epoch").write_bytes(b"\xff")
    with pytest.raises(StateDirectoryError, match=f"^{tmp_path}/epoch: 'ascii' codec"):
        StateDirectory(str(tmp_path)).open_epoch()
    (tmp_path / "epoch").unlink()
    (tmp_path / "epoch").mkdir()
    with pytest.raises(StateDirectoryError) as caught:
        StateDirectory(str(tmp_path)).open_epoch()
    assert str(caught.value) == f"{tmp_path}/epoch: Is a directory"


def test_numbers_are_reserved_a_block_above_those_in_use(tmp_path):
    directory = StateDirectory(str(tmp_path))
    assert directory.open_epoch() == 0
    assert directory.reserved_below == 1_000_000
    directory.reserve_numbers(700_000)
    assert directory.reserved_below == 1_700_000
    assert (tmp_path / "epoch").read_text() == "1700000\n"
    assert StateDirectory(str(tmp_path)).open_epoch() == 1_700_000
    unwritable(tmp_path, "epoch")
    with pytest.raises(StateDirectoryError) as caught:
        directory.reserve_numbers(1_500_000)
    assert str(caught.value) == f"{tmp_path}/epoch: Is a directory"
    assert directory.reserved_below == 1_700_000


def test_what_is_saved_is_loaded_and_nothing_is_none(tmp_path):
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
    unwritable(tmp_path, "assignment")
    with pytest.raises(StateDirectoryError) as caught:
        directory.save_assignment("b")
    assert str(caught.value) == "Is a directory"


# -- the leader's state


def test_the_leader_is_one_and_the_next_begins_above_its_numbers(tmp_path, caplog):
    caplog.set_level(logging.INFO, "scalefall")
    service, leader = leader_of(tmp_path)
    with pytest.raises(LeadershipError, match="another process grants here"):
        leader.require_leadership()
    assert leader.acquire_leadership(5, 6)
    leader.require_leadership()
    assert not leader.acquire_leadership(5, 6)  # it is one already
    assert service.began == [(5, 0, None)]
    assert service.events == []
    assert caplog.messages == ["granting: numbers above 0, beginning in 1.0 s"]
    assert caplog.records[0].fields == {"epoch": 0, "recalled": 0}
    second, follower = leader_of(tmp_path)
    assert not follower.acquire_leadership(7, 8)
    assert not follower.is_leader
    leader.release()
    assert follower.acquire_leadership(7, 8)
    assert second.began == [(7, 1_000_000, None)]
    follower.release()


def test_numbers_are_reserved_ahead_and_where_they_cannot_be_had_nothing_more_is_granted(tmp_path, caplog):
    service, leader = leader_of(tmp_path)
    leader.acquire_leadership(0, 0)
    service.number = 500_000
    leader.reserve_numbers()
    assert (tmp_path / "epoch").read_text() == "1000000\n"
    service.number = 500_001
    leader.reserve_numbers()
    assert (tmp_path / "epoch").read_text() == "1500001\n"
    unwritable(tmp_path, "epoch")
    service.number = 1_200_000
    leader.reserve_numbers()
    assert caplog.messages == [
        f"grant numbers cannot be reserved: {tmp_path}/epoch: Is a directory; granting nothing more until a restart"
    ]
    assert not leader.is_leader
    leader.release()


def test_what_cannot_be_read_of_the_last_leader_is_one_line_each_and_it_leads(tmp_path, caplog):
    (tmp_path / "figures").write_text("{}")
    (tmp_path / "assignment").write_bytes(b"\xff")
    service, leader = leader_of(tmp_path)
    assert leader.acquire_leadership(0, 0)
    assert service.began == [(0, 0, None)]
    assert service.events == []
    assignment, figures = caplog.messages
    assert assignment.startswith("saved assignment cannot be read: 'utf-8'")
    assert assignment.endswith("; assigning all shards again")
    assert figures.startswith("saved snapshot cannot be used: ")
    assert figures.endswith("; starting without it")
    leader.release()


def test_a_standby_saves_nothing_and_a_leader_what_has_changed(tmp_path, caplog):
    service, leader = leader_of(tmp_path)
    leader.save(0, 0)
    assert list(tmp_path.iterdir()) == []
    leader.acquire_leadership(0, 0)
    leader.save(0, S)
    written = (tmp_path / "figures").read_bytes()
    leader.save(0, 2 * S)  # nothing but the time differs
    assert (tmp_path / "figures").read_bytes() == written
    service.number_of_saves, service.text = 1, "shards"
    leader.save(0, 3 * S)
    assert (tmp_path / "assignment").read_text() == "shards"
    (tmp_path / "assignment").unlink()
    leader.save(0, 4 * S)  # the same generation
    assert not (tmp_path / "assignment").exists()
    unwritable(tmp_path, "assignment")
    service.number_of_saves = 2
    leader.save(0, 5 * S)
    assert caplog.messages == ["snapshot or assignment cannot be saved: Is a directory; granting continues"]
    leader.release()
