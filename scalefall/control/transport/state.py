"""The state directory of a control service: the leader's lock, the epoch of grant numbers, and the saved state.

One process leads at a time: it holds an exclusive lock on the directory's `granting` file. Others that share the
directory are standbys. A new leader waits delay + lease, as after any start, and numbers its grants above all earlier
ones (`epoch`, written and synced before use).
"""

from __future__ import annotations

import json
import os
from types import TracebackType
from typing import Self, cast

from scalefall.control.snapshot import Json, SnapshotDocument
from scalefall.control.transport.file_lock import FileLock
from scalefall.errors import StorageError

NUMBERS_PER_BLOCK = 1_000_000  # grant numbers reserved at a time, so that the epoch is rarely written
MAX_FILE_BYTES = 16_000_000  # the most that is read of a file: far more than a service writes; bounds the memory
MAX_EPOCH_BYTES = 64  # the most that is read of the epoch file, which contains one decimal number
MAX_EPOCH_DIGITS = 18  # fits a signed 64-bit integer, which clients may store
LOCK_FILE = "granting"
EPOCH_FILE = "epoch"
SNAPSHOT_FILE = "figures"
ASSIGNMENT_FILE = "assignment"
NEW_SUFFIX = ".new"  # suffix of a new file until it replaces the old one


class StateDirectoryError(StorageError):
    """The state directory, or a file in it, cannot be used; the text is one plain line."""


class StateDirectory:
    """The files of one state directory; a context manager that releases the leader's lock."""

    def __init__(self, path: str) -> None:
        """Set the directory; no file is opened yet.

        Args:
            path: An existing directory.
        """
        self._path = path
        self._lock = FileLock(self._file(LOCK_FILE))
        self.reserved_below = 0  # grants may have numbers below this

    def __enter__(self) -> Self:
        """Return the directory; entering does not acquire the lock."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Release the leader's lock if it is held."""
        self.release()

    def acquire_lock(self) -> bool:
        """Try to acquire the leader's lock; return whether this process holds it.

        Raises:
            StateDirectoryError: The lock file cannot be opened.
        """
        try:
            return self._lock.try_acquire()
        except OSError as error:
            raise StateDirectoryError(f"{self._file(LOCK_FILE)}: {error.strerror}") from None

    def release(self) -> None:
        """Release the leader's lock, so that another process may lead."""
        self._lock.release()

    def open_epoch(self) -> int:
        """Return the epoch, above which grants may be numbered, and reserve the first block of numbers.

        An unreadable file is an error rather than the epoch 0, as clients may hold grants with higher numbers.

        Raises:
            StateDirectoryError: The epoch cannot be read or written.
        """
        first = self._read_epoch()
        self.reserve_numbers(first)
        return first

    def _read_epoch(self) -> int:
        path = self._file(EPOCH_FILE)
        try:
            with open(path, encoding="ascii") as file:
                text = file.read(MAX_EPOCH_BYTES).strip()
        except FileNotFoundError:
            return 0
        except OSError as error:
            raise StateDirectoryError(f"{path}: {error.strerror or error}") from None
        except UnicodeDecodeError as error:
            raise StateDirectoryError(f"{path}: {error}") from None
        if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
            raise StateDirectoryError(f"{path} does not hold a number: {text!r}")
        return int(text)

    def reserve_numbers(self, used: int) -> None:
        """Reserve the numbers up to one block above the highest number in use.

        Raises:
            StateDirectoryError: The epoch cannot be written; the earlier reservation stays valid.
        """
        reserved = used + NUMBERS_PER_BLOCK
        try:
            self._replace(EPOCH_FILE, f"{reserved}\n", durable=True)
        except OSError as error:
            raise StateDirectoryError(f"{self._file(EPOCH_FILE)}: {error.strerror}") from None
        self.reserved_below = reserved

    def save_snapshot(self, snapshot: SnapshotDocument) -> None:
        """Write a snapshot of the engine's knowledge as JSON (snapshot.py).

        Raises:
            StateDirectoryError: The file cannot be written; the previous one stays.
        """
        self._save(SNAPSHOT_FILE, json.dumps(snapshot), durable=False)

    def load_snapshot(self) -> Json:
        """Return the saved snapshot as parsed, unvalidated JSON; None if there is none.

        Raises:
            StateDirectoryError: The file cannot be read.
        """
        text = self._read(SNAPSHOT_FILE)
        if text is None:
            return None
        try:
            return cast(Json, json.loads(text))
        except (ValueError, RecursionError) as error:
            raise StateDirectoryError(str(error)) from None

    def save_assignment(self, text: str) -> None:
        """Write the assignment of shards to senders.

        Raises:
            StateDirectoryError: The file cannot be written; the previous one stays.
        """
        self._save(ASSIGNMENT_FILE, text, durable=True)

    def load_assignment(self) -> str | None:
        """Return the saved assignment; None if there is none.

        Raises:
            StateDirectoryError: The file cannot be read.
        """
        return self._read(ASSIGNMENT_FILE)

    def _file(self, name: str) -> str:
        return os.path.join(self._path, name)

    def _read(self, name: str) -> str | None:
        try:
            with open(self._file(name), encoding="utf-8") as file:
                return file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError) as error:
            raise StateDirectoryError(str(error)) from None

    def _save(self, name: str, text: str, durable: bool) -> None:
        try:
            self._replace(name, text, durable)
        except OSError as error:
            raise StateDirectoryError(str(error.strerror or error)) from None

    def _replace(self, name: str, text: str, durable: bool) -> None:
        """Replace a file atomically; if durable, sync it and its directory before returning."""
        path, new_path = self._file(name), self._file(name + NEW_SUFFIX)
        with open(new_path, "w", encoding="utf-8") as file:
            file.write(text)
            if durable:
                file.flush()
                os.fsync(file.fileno())
        os.replace(new_path, path)
        if durable:
            self._sync_directory()

    def _sync_directory(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
