"""Control's state folder as revision 1d28f5d wrote it: restored by a successor, and written again to the same bytes."""

import json
import pathlib
import shutil

import mapping
import pytest

STORED = pathlib.Path(__file__).parent / "control"
WALL_US = 1_800_000_000_000_000  # when the stored folders were written
FOLDERS = ["without_shards", "with_shards"]
FILES = {
    "without_shards": {"granting", "epoch", "figures"},
    "with_shards": {"granting", "epoch", "figures", "assignment"},
}


def expected(name):
    return json.loads((STORED / f"{name}.json").read_text())


def copied(name, tmp_path):
    return pathlib.Path(shutil.copytree(STORED / name, tmp_path / name))


def files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def assignment_text(name):
    return mapping.assignment_text(expected("assignment")) if name == "with_shards" else None


@pytest.mark.parametrize("name", FOLDERS)
def test_a_successor_restores_what_a_stored_folder_holds(name, tmp_path):
    folder = copied(name, tmp_path)
    left = (folder / "figures").read_bytes()
    leader = mapping.Leader(folder, expected("left"), assignment_text(name), 9_000_000, WALL_US + 300_000)
    assert leader.lead() == expected(name)
    leader.end()
    assert (folder / "epoch").read_text() == expected(f"{name}_after")
    assert (folder / "figures").read_bytes() == left


@pytest.mark.parametrize("name", FOLDERS)
def test_the_same_state_is_written_to_the_stored_bytes(name, tmp_path):
    leader = mapping.Leader(tmp_path, expected("left"), assignment_text(name), 5_000_000, WALL_US)
    leader.lead()
    leader.grant_up_to(700_000)
    leader.save()
    leader.end()
    assert files(tmp_path) == files(STORED / name)
    assert set(files(tmp_path)) == FILES[name]


@pytest.mark.parametrize(
    ("later_us", "kinds"),
    [
        (899_999, {"learned", "not sent", "cannot connect"}),
        (900_000, {"learned", "cannot connect"}),
        (59_999_999, {"learned", "cannot connect"}),
        (60_000_000, {"cannot connect"}),
        (599_999_999, {"cannot connect"}),
        (600_000_000, set()),
    ],
)
def test_stored_events_are_restored_up_to_their_maximum_age(later_us, kinds, tmp_path):
    folder = copied("without_shards", tmp_path)
    leader = mapping.Leader(folder, expected("left"), None, 0, WALL_US + later_us)
    events = leader.lead()["events"]
    leader.end()
    assert {event.get("outcome", "learned") for event in events} == kinds


def test_a_coordinator_reads_the_stored_assignment_and_does_not_change_it():
    stored = (STORED / "with_shards" / "assignment").read_text()
    row = expected("assignment")
    assert mapping.assignment_row(stored, row["settings"]) == row
    assert mapping.reassembled_snapshot(stored, 64) == (stored, "")
    _, rejected = mapping.reassembled_snapshot(stored, 63)
    assert rejected == "snapshot: of other settings ('shards 64', not 'shards 63')"
