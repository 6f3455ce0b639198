"""Atomic replacement of small files in the state folder."""

from __future__ import annotations

import os

BLOCK_BYTES = 512  # file systems allocate whole blocks: a file takes its size rounded up to a multiple


def replace_file(path: str, data: bytes) -> None:
    """Replace a file atomically: write a temporary file beside it and rename that.

    Args:
        path: The file to replace; it need not exist.
        data: The new contents.

    Raises:
        OSError: The write failed; the file at the path is unchanged.
    """
    partial = path + ".new"
    with open(partial, "wb") as file:
        file.write(data)
    os.replace(partial, path)
