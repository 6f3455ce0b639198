"""The rates that the policy engine has learned, kept in the state folder for the next process.

They are a help and no promise: a file that is missing, old or unreadable is as good as none.
"""

from __future__ import annotations

import json
import math
import os
from collections.abc import Callable
from typing import Any

from scalefall.errors import StorageError
from scalefall.net.files import BLOCK_BYTES, replace_file
from scalefall.net.logs import log
from scalefall.policy.events import LearnedRate

FILE_NAME = "paces"
DISK_DIVISOR = 16  # this part of the folder's limit is for the file and for the copy that replaces it,
MIN_RESERVED_BYTES = 32 * 1024  # but at least so much
MAX_RESERVED_BYTES = 4 * 1024 * 1024  # and at most so much, enough for some 30,000 rows
MAX_ROW_BYTES = 64  # of a row at most, unless its route has a long name
VALUES_PER_ROW = 4  # destination, route, own rate, limit
HEADER_RESERVED_BYTES = 64  # reserved for the first line, the time at which the file was written
ROWS_PER_SLICE = 128  # written in a row before other tasks have their turn: less than a millisecond
MAX_AGE_US = 60_000_000  # what is older says nothing about the rates of now


class LearnedRateError(StorageError, ValueError):
    """A row does not hold a learned rate."""


def reserved_bytes(disk_bytes: int) -> int:
    """How much of the state folder's limit is kept for learned rates; 3 MB have some 2,500 rows."""
    return min(max(MIN_RESERVED_BYTES, disk_bytes // DISK_DIVISOR), MAX_RESERVED_BYTES, disk_bytes // 3)


def save(
    folder: str,
    limit_bytes: int,
    rates: list[LearnedRate],
    wall_us: int,
    yield_control: Callable[[], object] = lambda: None,
) -> None:
    """Replace the file by one with as many rates as half of the limit holds, the highest first if not all fit.

    A file that cannot be written is logged, and the one before stays.

    Args:
        folder: The state folder.
        limit_bytes: What the file and the copy that replaces it may take together.
        rates: What the engine has learned.
        wall_us: The present time, microseconds since the epoch.
        yield_control: Called now and then, to let other tasks run.
    """
    if len(rates) * MAX_ROW_BYTES > limit_bytes // 2:
        rates = sorted(rates, key=lambda rate: -rate.own_rate)
    lines = _lines(rates, limit_bytes // 2 - BLOCK_BYTES, wall_us, yield_control)
    try:
        replace_file(os.path.join(folder, FILE_NAME), ("\n".join(lines) + "\n").encode("ascii"))
    except OSError as error:
        log.error("learned rates: write failed: %s", error)


def _lines(rates: list[LearnedRate], limit_bytes: int, wall_us: int, yield_control: Callable[[], object]) -> list[str]:
    """The file's lines, as many as the limit holds."""
    lines = [str(wall_us)]
    size = HEADER_RESERVED_BYTES
    for number, rate in enumerate(rates, 1):
        line = json.dumps(to_row(rate))
        if number % ROWS_PER_SLICE == 0:
            yield_control()
        size += len(line) + 1
        if size > limit_bytes:
            break
        lines.append(line)
    return lines


def load(folder: str, limit_bytes: int, wall_us: int) -> list[LearnedRate]:
    """Read what the process before has learned.

    Args:
        folder: The state folder.
        limit_bytes: No more of the file is read.
        wall_us: The present time, microseconds since the epoch.

    Returns:
        The rates; none if there is no file, an old one, or one that cannot be read, which is logged.
    """
    try:
        with open(os.path.join(folder, FILE_NAME), encoding="ascii") as file:
            written_at, *lines = file.read(limit_bytes).splitlines()
        if not 0 <= wall_us - int(written_at) < MAX_AGE_US:
            return []
        return [from_row(*json.loads(line)) for line in lines]
    except FileNotFoundError:
        return []
    except (OSError, ValueError, TypeError, RecursionError) as error:
        log.warning("learned rates: unreadable: %s", error)
        return []


def to_row(rate: LearnedRate) -> list[str | int | float]:
    """A learned rate as plain JSON: its destination, its route, its own rate and its limit."""
    return [rate.destination, rate.route, round(rate.own_rate, 3), round(rate.limit, 3)]


def from_row(*row: Any) -> LearnedRate:
    """The learned rate that a row of plain JSON holds.

    Raises:
        LearnedRateError: The row has other values.
    """
    if len(row) != VALUES_PER_ROW:
        raise LearnedRateError("a row has a wrong number of values")
    destination, route, own_rate, limit = row
    if not isinstance(destination, int) or not isinstance(route, str):
        raise LearnedRateError("a row has a wrong value")
    try:
        own_rate, limit = float(own_rate), float(limit)
    except (TypeError, ValueError) as error:
        raise LearnedRateError("a row has a wrong value") from error
    if not (0 <= own_rate < math.inf and 0 <= limit < math.inf):
        raise LearnedRateError("a row has a wrong value")
    return LearnedRate(destination, route, own_rate, limit)
