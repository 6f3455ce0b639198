"""The lasting folder of a control service: who grants, the epoch of grant numbers, and what the module knew.

One process grants at a time: it holds an exclusive lock on the folder's `granting` file (flock, which the system takes
away the moment its process ends). Others that share the folder stand by. The one that takes over waits delay + lease,
as after any start, and numbers its grants above all that were given (`epoch`, written and synced before use).
"""

from __future__ import annotations

import fcntl
import json
import os
from typing import Any

BLOCK = 1_000_000  # grant numbers that are taken at a time
MOST_BYTES = 16_000_000


class StateDirectoryError(Exception):
    """The folder can't be used; the text is one plain line."""


class StateDirectory:
    def __init__(self, path: str) -> None:
        self._path = path
        self._lock: int | None = None
        self.reserved = 0  # numbers below this may be given

    def acquire_lock(self) -> bool:
        """Try to be the one that grants."""
        if self._lock is None:
            try:
                handle = os.open(self._at("granting"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            except OSError as error:
                raise StateDirectoryError(f"{self._at('granting')}: {error.strerror}") from None
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(handle)
                return False
            self._lock = handle
        return True

    def release(self) -> None:
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def open_epoch(self) -> int:
        """The number above which grants may be given now. A file that can't be read is no reason to begin at 0, as
        proxies may hold higher ones: StateDirectoryError."""
        try:
            with open(self._at("epoch"), encoding="ascii") as file:
                text = file.read(64).strip()
            if not (text.isdigit() and len(text) < 19):
                raise StateDirectoryError(f"{self._at('epoch')} does not hold a number: {text!r}")
            first = int(text)
        except FileNotFoundError:
            first = 0
        except (OSError, UnicodeDecodeError) as error:
            raise StateDirectoryError(f"{self._at('epoch')}: {getattr(error, 'strerror', None) or error}") from None
        self.reserve_numbers(first)
        return first

    def reserve_numbers(self, used: int) -> None:
        """Numbers up to a block above `used` may be given from now on."""
        try:
            self._write("epoch", f"{used + BLOCK}\n", sync=True)
        except OSError as error:
            raise StateDirectoryError(f"{self._at('epoch')}: {error.strerror}") from None
        self.reserved = used + BLOCK

    def save_snapshot(self, kept: dict[str, Any]) -> None:
        """OSError if it can't be written; what was kept before stays."""
        self._write("figures", json.dumps(kept), sync=False)

    def load_snapshot(self) -> Any:
        """None if there is nothing; ValueError if it can't be read."""
        text = self._read("figures")
        try:
            return None if text is None else json.loads(text)
        except RecursionError as error:
            raise ValueError(str(error)) from None

    def save_assignment(self, text: str) -> None:
        """Which sender has which shard. OSError if it can't be written; what was kept before stays."""
        self._write("assignment", text, sync=True)

    def load_assignment(self) -> str | None:
        """The same back; None if there is none, ValueError if it can't be read."""
        return self._read("assignment")

    def _read(self, name: str) -> str | None:
        """A file's text; None if there is none, ValueError if it can't be read."""
        try:
            with open(self._at(name), encoding="utf-8") as file:
                return file.read(MOST_BYTES)
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None

    def _at(self, name: str) -> str:
        return os.path.join(self._path, name)

    def _write(self, name: str, text: str, sync: bool) -> None:
        with open(self._at(name + ".new"), "w", encoding="utf-8") as file:
            file.write(text)
            if sync:
                file.flush()
                os.fsync(file.fileno())
        os.replace(self._at(name + ".new"), self._at(name))
        if sync:
            folder = os.open(self._path, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
