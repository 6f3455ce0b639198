"""Small files in the state folder, each replaced as a whole, so that a reader never finds half of one."""

from __future__ import annotations

import os

BLOCK_BYTES = 512  # file systems count in blocks: a file takes its size, rounded up to whole ones


def replace_file(path: str, data: bytes) -> None:
    """Write a file beside the one at a path, and put it in its place.

    Args:
        path: The file to replace; it need not exist.
        data: What it holds afterwards.

    Raises:
        OSError: It could not be written; the file at the path is as it was.
    """
    partial = path + ".new"
    with open(partial, "wb") as file:
        file.write(data)
    os.replace(partial, path)
