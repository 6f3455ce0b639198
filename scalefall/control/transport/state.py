"""The state directory of a control service: who leads, the epoch of grant numbers, and what the service knew.

One process leads at a time: it holds an exclusive lock on the directory's `granting` file. Others that share the
directory stand by. The one that takes over waits delay + lease, as after any start, and numbers its grants above all
that were given (`epoch`, written and synced before use).
"""

from __future__ import annotations

import json
import os
from types import TracebackType
from typing import Self, cast

from scalefall.control.snapshot import Json, SnapshotDocument
from scalefall.control.transport.file_lock import FileLock
from scalefall.errors import StorageError

NUMBERS_PER_BLOCK = 1_000_000  # grant numbers reserved at a time, so that the file is seldom written
MAX_FILE_BYTES = 16_000_000  # read of a file: far above what a service writes, so a strange file costs no memory
MAX_EPOCH_BYTES = 64  # read of the epoch file, which holds one decimal number
MAX_EPOCH_DIGITS = 18  # fits 64 bits signed, as clients may store numbers so
LOCK_FILE = "granting"
EPOCH_FILE = "epoch"
SNAPSHOT_FILE = "figures"
ASSIGNMENT_FILE = "assignment"
NEW_SUFFIX = ".new"  # of a file that is being written and will replace the one without it


class StateDirectoryError(StorageError):
    """The state directory, or a file in it, cannot be used; the text is one plain line."""


class StateDirectory:
    """The files of one state directory; a context manager that releases the leader's lock."""

    def __init__(self, path: str) -> None:
        """Name the directory; nothing is opened yet.

        Args:
            path: An existing directory.
        """
        self._path = path
        self._lock = FileLock(self._file(LOCK_FILE))
        self.reserved_below = 0  # numbers below this may be given

    def __enter__(self) -> Self:
        """Return the directory as it is: entering does not acquire the lock."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Release the leader's lock if it is held."""
        self.release()

    def acquire_lock(self) -> bool:
        """Try to become the process that leads; True if it is this one.

        Raises:
            StateDirectoryError: The lock's file cannot be opened.
        """
        try:
            return self._lock.try_acquire()
        except OSError as error:
            raise StateDirectoryError(f"{self._file(LOCK_FILE)}: {error.strerror}") from None

    def release(self) -> None:
        """Let another process lead."""
        self._lock.release()

    def open_epoch(self) -> int:
        """Return the number above which grants may be given now, and reserve the first block of them.

        A file that cannot be read is no reason to begin at 0, as clients may hold higher numbers.

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
        """Reserve the numbers up to one block above a number that is in use.

        Raises:
            StateDirectoryError: The epoch cannot be written; what was reserved before stays.
        """
        reserved = used + NUMBERS_PER_BLOCK
        try:
            self._replace(EPOCH_FILE, f"{reserved}\n", durable=True)
        except OSError as error:
            raise StateDirectoryError(f"{self._file(EPOCH_FILE)}: {error.strerror}") from None
        self.reserved_below = reserved

    def save_snapshot(self, snapshot: SnapshotDocument) -> None:
        """Write what the module knows, as JSON (snapshot.py).

        Raises:
            StateDirectoryError: It cannot be written; what was saved before stays.
        """
        self._save(SNAPSHOT_FILE, json.dumps(snapshot), durable=False)

    def load_snapshot(self) -> Json:
        """Return the saved snapshot as parsed JSON that is not checked yet; None if there is none.

        Raises:
            StateDirectoryError: It cannot be read.
        """
        text = self._read(SNAPSHOT_FILE)
        if text is None:
            return None
        try:
            return cast(Json, json.loads(text))
        except (ValueError, RecursionError) as error:
            raise StateDirectoryError(str(error)) from None

    def save_assignment(self, text: str) -> None:
        """Write which sender has which shard.

        Raises:
            StateDirectoryError: It cannot be written; what was saved before stays.
        """
        self._save(ASSIGNMENT_FILE, text, durable=True)

    def load_assignment(self) -> str | None:
        """Return the saved assignment; None if there is none.

        Raises:
            StateDirectoryError: It cannot be read.
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
        """Replace a file as a whole; durable: synced, with its directory, before this returns."""
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
