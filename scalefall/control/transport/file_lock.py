"""An exclusive lock on a file, which the operating system releases when its process ends."""

from __future__ import annotations

import fcntl
import os
from types import TracebackType
from typing import Self

PRIVATE_MODE = 0o600  # only the service's own user opens the file


class FileLock:
    """A lock by flock(2) on a file, which is created if it is missing; a context manager that releases the lock."""

    def __init__(self, path: str) -> None:
        """Set the path; the file is opened by try_acquire()."""
        self._path = path
        self._descriptor: int | None = None

    def __enter__(self) -> Self:
        """Return the lock; entering does not acquire it."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Release the lock if it is held."""
        self.release()

    def try_acquire(self) -> bool:
        """Acquire the lock without waiting; return whether this process holds it.

        Raises:
            OSError: The file cannot be opened or created.
        """
        if self._descriptor is not None:
            return True
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, PRIVATE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:  # another process holds it
            os.close(descriptor)
            return False
        self._descriptor = descriptor
        return True

    def release(self) -> None:
        """Release the lock; does nothing if it is not held."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
