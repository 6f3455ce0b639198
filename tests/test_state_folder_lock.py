"""The lock on the state folder, against a process that holds it."""

import errno
import os
import pathlib
import subprocess
import sys

import pytest

from scalefall.net.journal import Journal
from scalefall.net.state_folder_lock import StateFolderInUseError, StateFolderLock

ROOT = pathlib.Path(__file__).parent.parent
LIMIT_BYTES = 1_000_000
HOLDER = """
import sys
from scalefall.net.state_folder_lock import StateFolderLock
lock = StateFolderLock(sys.argv[1])
print("held", flush=True)
sys.stdin.readline()
"""


@pytest.fixture
def holder(tmp_path):
    """A process that holds the lock of the temporary folder until a line is written to it."""
    with subprocess.Popen(
        [sys.executable, "-c", HOLDER, str(tmp_path)], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout.readline() == b"held\n"
        yield process
        process.kill()


def folder_contents(folder):
    return {path.name: (path.stat().st_ino, path.read_bytes()) for path in folder.iterdir()}


def test_a_journal_in_a_folder_that_another_process_uses_is_not_opened_and_nothing_changes(holder, tmp_path):
    """Guards against a second process that compacted the journal of a running one, whose later records were lost."""
    (tmp_path / "journal").write_bytes(b"records of the other process")
    (tmp_path / "journal.new").write_bytes(b"its copy")
    before = folder_contents(tmp_path)
    with pytest.raises(StateFolderInUseError, match=f"{tmp_path} is in use by another process"):
        Journal(str(tmp_path), LIMIT_BYTES)
    assert folder_contents(tmp_path) == before


@pytest.mark.parametrize("end", ["killed", "at its own end"])
def test_the_folder_is_free_once_its_process_has_ended(holder, tmp_path, end):
    if end == "killed":
        holder.kill()
    else:
        holder.stdin.write(b"\n")
        holder.stdin.flush()
    holder.wait()
    Journal(str(tmp_path), LIMIT_BYTES).close()


def test_a_closed_journal_leaves_its_folder_to_other_processes(tmp_path):
    Journal(str(tmp_path), LIMIT_BYTES).close()
    done = subprocess.run(
        [sys.executable, "-c", HOLDER, str(tmp_path)], cwd=ROOT, input=b"\n", capture_output=True, check=False
    )
    assert (done.returncode, done.stdout) == (0, b"held\n")


def test_a_file_system_without_record_locks_is_used_with_a_warning(tmp_path, monkeypatch, caplog):
    def no_locks(*_):
        raise OSError(errno.ENOLCK, "No locks available")

    monkeypatch.setattr(os, "lockf", no_locks)
    StateFolderLock(str(tmp_path)).release()
    assert "not locked" in caplog.text
