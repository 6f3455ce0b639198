"""An exclusive lock on the state folder: a second process must not change the journal of a running one."""

from __future__ import annotations

import os

from scalefall.errors import StorageError
from scalefall.net.logs import log

FILE_NAME = "lock"  # stays empty, so that it takes no block of the folder's limit
FILE_MODE = 0o600


class StateFolderInUseError(StorageError, OSError):
    """Another process uses the state folder."""

    def __init__(self, folder: str) -> None:
        """Name the folder."""
        super().__init__(f"state folder {folder} is in use by another process")


class StateFolderLock:
    """A record lock on a file of the folder, held from creation until release() or the end of the process.

    The operating system releases it however the process ends. It belongs to the process: it does not keep two objects
    of one process apart, and the release of one of them releases it for both.
    """

    def __init__(self, folder: str) -> None:
        """Acquire the lock without waiting.

        On a file system without record locks the folder is used unlocked, which is logged.

        Raises:
            StateFolderInUseError: Another process holds the lock.
            OSError: The file cannot be opened or created.
        """
        self._file = os.open(os.path.join(folder, FILE_NAME), os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            os.lockf(self._file, os.F_TLOCK, 0)
        except (BlockingIOError, PermissionError):  # EAGAIN or EACCES, by system
            os.close(self._file)
            raise StateFolderInUseError(folder) from None
        except OSError as error:
            log.warning("state folder: not locked, a second process would not be noticed: %s", error)

    def release(self) -> None:
        """Release the lock."""
        os.close(self._file)
