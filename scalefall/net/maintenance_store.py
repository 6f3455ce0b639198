"""The file in the state folder with the endpoints in maintenance, so that maintenance persists across restarts."""

from __future__ import annotations

import json
import os

from scalefall.errors import StorageError
from scalefall.net.files import BLOCK_BYTES, replace_file
from scalefall.net.logs import log

DISK_DIVISOR = 32  # this fraction of the folder's limit is reserved for the file and the copy that replaces it
MIN_RESERVED_BYTES = 8 * 1024  # enough for some 300 ids of a usual length


class MaintenanceStore:
    """The file with the ids of the endpoints in maintenance.

    Attributes:
        reserved_bytes: The most bytes that the file and the copy that replaces it may take together.
    """

    def __init__(self, folder: str, disk_bytes: int) -> None:
        """Set the folder, and the limit for all of its files together; read nothing yet."""
        self.reserved_bytes = max(MIN_RESERVED_BYTES, disk_bytes // DISK_DIVISOR)
        self._path = os.path.join(folder, "maintenance")

    def load(self) -> set[str]:
        """Return the stored ids; none if the file is missing, or unreadable, which is logged."""
        try:
            with open(self._path, encoding="utf-8") as file:
                return _endpoint_ids(file.read(self.reserved_bytes))
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError, StorageError) as error:
            log.error("maintenance: file unreadable, starting with no endpoint in maintenance: %s", error)
            return set()

    def save(self, endpoints: set[str]) -> bool:
        """Replace the file.

        Returns:
            Whether the file was written. If not, because the ids exceed the limit or the write failed, the reason is
            logged and the previous file stays.
        """
        data = json.dumps(sorted(endpoints)).encode()
        if len(data) > self.reserved_bytes // 2 - BLOCK_BYTES:
            log.error(
                "maintenance: not saved, %d endpoint ids take %d bytes of %d allowed",
                len(endpoints),
                len(data),
                self.reserved_bytes // 2 - BLOCK_BYTES,
            )
            return False
        try:
            replace_file(self._path, data)
        except OSError as error:
            log.error("maintenance: write failed, the previous file stays: %s", error)
            return False
        return True


def _endpoint_ids(text: str) -> set[str]:
    ids = json.loads(text)
    if not isinstance(ids, list) or not all(isinstance(endpoint, str) for endpoint in ids):
        raise StorageError("contents are not a JSON list of strings")
    return set(ids)
