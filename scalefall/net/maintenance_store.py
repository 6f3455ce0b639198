"""Which endpoints are in maintenance, kept in the state folder: it stays in force across a restart."""

from __future__ import annotations

import json
import os

from scalefall.errors import StorageError
from scalefall.net.files import BLOCK_BYTES, replace_file
from scalefall.net.logs import log

DISK_DIVISOR = 32  # this part of the folder's limit is for the names and for the copy that replaces their file,
MIN_RESERVED_BYTES = 8 * 1024  # but at least so much: enough for some 300 names of a usual length


class MaintenanceStore:
    """The file with the ids of the endpoints in maintenance.

    Attributes:
        reserved_bytes: How much of the state folder it may take, its next copy included.
    """

    def __init__(self, folder: str, disk_bytes: int) -> None:
        """Find the file in a folder whose files may take so many bytes together; nothing is read yet."""
        self.reserved_bytes = max(MIN_RESERVED_BYTES, disk_bytes // DISK_DIVISOR)
        self._path = os.path.join(folder, "maintenance")

    def load(self) -> set[str]:
        """Read the ids; none if there is no file, or one that cannot be read, which is logged."""
        try:
            with open(self._path, encoding="utf-8") as file:
                return _endpoint_ids(file.read(self.reserved_bytes))
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError, StorageError) as error:
            log.error("maintenance: unreadable, no endpoint is in maintenance: %s", error)
            return set()

    def save(self, endpoints: set[str]) -> bool:
        """Replace the file.

        Returns:
            False if there is no room for the ids or the file cannot be written, which is logged; the file is then as
            it was.
        """
        data = json.dumps(sorted(endpoints)).encode()
        if len(data) > self.reserved_bytes // 2 - BLOCK_BYTES:
            log.error("maintenance: no capacity for so many endpoints: %d", len(endpoints))
            return False
        try:
            replace_file(self._path, data)
        except OSError as error:
            log.error("maintenance: write failed: %s", error)
            return False
        return True


def _endpoint_ids(text: str) -> set[str]:
    ids = json.loads(text)
    if not isinstance(ids, list) or not all(isinstance(endpoint, str) for endpoint in ids):
        raise StorageError("no list of names")
    return set(ids)
