"""The sender's state folder as revision 1d28f5d wrote it: read to its contents, and written again to the same bytes."""

import json
import pathlib
import shutil

import mapping
import pytest

STORED = pathlib.Path(__file__).parent / "sender"


def expected(name):
    return json.loads((STORED / f"{name}.json").read_text())


def copied(name, tmp_path):
    return pathlib.Path(shutil.copytree(STORED / name, tmp_path / name))


@pytest.mark.parametrize(
    ("name", "read_as", "becomes"),
    [
        ("appended", "appended", "compacted"),
        ("compacted", "appended", "compacted"),
        ("torn", "torn", "torn_compacted"),
        ("torn_compacted", "torn", "torn_compacted"),
        ("torn_first", "empty", "empty"),
        ("empty", "empty", "empty"),
    ],
)
def test_a_stored_journal_is_read_to_its_contents_and_compacted_to_the_stored_bytes(name, read_as, becomes, tmp_path):
    folder = copied(name, tmp_path)
    opened = mapping.open_journal(folder)
    assert mapping.deliveries(opened) == expected(read_as)
    opened.close()
    assert (folder / "journal").read_bytes() == (STORED / becomes / "journal").read_bytes()
    assert not (folder / "journal.new").exists()


def test_the_stored_operations_append_the_stored_bytes(tmp_path):
    opened = mapping.open_journal(tmp_path)
    assert all(mapping.perform(opened, operation) for operation in expected("operations"))
    assert mapping.deliveries(opened) == expected("appended")
    opened.close()
    assert (tmp_path / "journal").read_bytes() == (STORED / "appended" / "journal").read_bytes()


def test_the_stored_journal_covers_each_state_of_a_delivery():
    rows = expected("appended")
    assert {row["owes"] for row in rows} == {"none", "failed", "returned"}
    assert {row["repeat"] for row in rows} == {"not recorded", "freely", "with key", "never"}
    assert any(row["attempt_open"] and row["may_have_run_in"] for row in rows)
    assert any(row["attempt_open"] and not row["may_have_run_at_us"] for row in rows)
    assert any(row["attempts"] and not row["attempt_open"] and not row["may_have_run_at_us"] for row in rows)
    lost = [row["id"] for row in expected("torn") if row not in rows]
    assert lost == ["message-12"]


def test_stored_learned_rates_are_read_until_they_expire(tmp_path):
    folder, stored = copied("appended", tmp_path), expected("rates")
    written, limit = stored["wall_us"], mapping.MAX_AGES_US["rates"]
    assert limit == 60_000_000
    for wall_us in (written, written + limit - 1):
        assert mapping.load_rates(folder, wall_us) == stored["rates"]
    for wall_us in (written - 1, written + limit):
        assert mapping.load_rates(folder, wall_us) == []


def test_learned_rates_are_written_to_the_stored_bytes(tmp_path):
    stored = expected("rates")
    mapping.save_rates(tmp_path, stored["rates"], stored["wall_us"])
    assert [path.name for path in tmp_path.iterdir()] == ["paces"]
    assert (tmp_path / "paces").read_bytes() == (STORED / "appended" / "paces").read_bytes()


def test_stored_maintenance_is_read_and_written_to_the_stored_bytes(tmp_path):
    names = expected("maintenance")
    assert mapping.load_maintenance(copied("appended", tmp_path)) == names
    (tmp_path / "new").mkdir()
    assert mapping.save_maintenance(tmp_path / "new", names)
    assert [path.name for path in (tmp_path / "new").iterdir()] == ["maintenance"]
    stored = (STORED / "appended" / "maintenance").read_bytes()
    assert (tmp_path / "new" / "maintenance").read_bytes() == stored
