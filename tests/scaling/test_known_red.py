"""KNOWN-RED.txt: listed checks are passed over, and no others."""

import pathlib

import pytest
from benchmarks.scaling.known_red import MAX_LINES, KnownRedError, checks_passed_over, read_known_red

ROOT = pathlib.Path(__file__).parent.parent.parent


def write(folder, *lines):
    path = folder / "KNOWN-RED.txt"
    path.write_text("".join(f"{line}\n" for line in lines))
    return path


def test_a_check_is_passed_over_only_by_its_full_name(tmp_path):
    listed = read_known_red(write(tmp_path, "scale: control: heartbeat | slower here | 35", "tests/test_x.py | y | 9"))
    assert checks_passed_over(listed) == {"control: heartbeat"}


def test_a_missing_file_lists_nothing(tmp_path):
    assert read_known_red(tmp_path / "KNOWN-RED.txt") == []


@pytest.mark.parametrize("line", ["scale: a", "scale: a | cause", "scale: a | cause |", "scale: a | b | 1 | 2"])
def test_a_line_without_test_cause_and_issue_is_an_error(tmp_path, line):
    with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt:1: expected"):
        read_known_red(write(tmp_path, line))


def test_more_lines_than_the_maximum_are_an_error(tmp_path):
    with pytest.raises(KnownRedError, match="at most"):
        read_known_red(write(tmp_path, *["scale: a | cause | 1"] * (MAX_LINES + 1)))


def test_the_project_file_is_valid():
    read_known_red(ROOT / "KNOWN-RED.txt")
