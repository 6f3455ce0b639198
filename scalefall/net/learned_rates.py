"""The file in the state folder with the rates that the policy engine has learned, for the next process.

The file is only an optimization: one that is missing, outdated or unreadable counts as empty.
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
DISK_DIVISOR = 16  # this fraction of the folder's limit is reserved for the file and the copy that replaces it
MIN_RESERVED_BYTES = 32 * 1024
MAX_RESERVED_BYTES = 4 * 1024 * 1024  # enough for some 30,000 rows
MAX_ROW_BYTES = 64  # unless the route has a long name
VALUES_PER_ROW = 4  # destination, route, own rate, limit
HEADER_RESERVED_BYTES = 64  # reserved for the first line, the time of writing
ROWS_PER_SLICE = 128  # encoded without yielding to other tasks: less than a millisecond
MAX_AGE_US = 60_000_000  # older rates do not describe the present load


class LearnedRateError(StorageError, ValueError):
    """A row of the file is not a learned rate."""


def reserved_bytes(disk_bytes: int) -> int:
    """Return how much of the state folder's limit is reserved for learned rates; 3 MB give some 2,500 rows."""
    return min(max(MIN_RESERVED_BYTES, disk_bytes // DISK_DIVISOR), MAX_RESERVED_BYTES, disk_bytes // 3)


def save(
    folder: str,
    limit_bytes: int,
    rates: list[LearnedRate],
    wall_us: int,
    yield_control: Callable[[], object] = lambda: None,
) -> None:
    """Replace the file by one with as many rates as half of the limit holds, the highest first if not all fit.

    A write error is logged, and the previous file stays.

    Args:
        folder: The state folder.
        limit_bytes: The most bytes that the file and the copy that replaces it may take together.
        rates: The rates that the engine has learned.
        wall_us: The current time, in microseconds since the epoch.
        yield_control: Called after each slice of rows, to let other tasks run.
    """
    if len(rates) * MAX_ROW_BYTES > limit_bytes // 2:
        rates = sorted(rates, key=lambda rate: -rate.own_rate)
    lines = _lines(rates, limit_bytes // 2 - BLOCK_BYTES, wall_us, yield_control)
    try:
        replace_file(os.path.join(folder, FILE_NAME), ("\n".join(lines) + "\n").encode("ascii"))
    except OSError as error:
        log.error("learned rates: write failed, the previous file stays: %s", error)


def _lines(rates: list[LearnedRate], limit_bytes: int, wall_us: int, yield_control: Callable[[], object]) -> list[str]:
    """Return the file's lines, as many as the limit holds."""
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
    """Read the rates that the previous process has learned.

    Args:
        folder: The state folder.
        limit_bytes: The most bytes of the file that are read.
        wall_us: The current time, in microseconds since the epoch.

    Returns:
        The rates; none if the file is missing, outdated or unreadable. Only an unreadable file is logged.
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
        log.warning("learned rates: unreadable, starting without them: %s", error)
        return []


def to_row(rate: LearnedRate) -> list[str | int | float]:
    """Return a learned rate as JSON values: its destination, its route, its own rate and its limit."""
    return [rate.destination, rate.route, round(rate.own_rate, 3), round(rate.limit, 3)]


def from_row(*row: Any) -> LearnedRate:
    """Return the learned rate that a row of JSON values holds.

    Raises:
        LearnedRateError: The row is not a learned rate.
    """
    if len(row) != VALUES_PER_ROW:
        raise LearnedRateError(f"row has {len(row)} values instead of {VALUES_PER_ROW}")
    destination, route, own_rate, limit = row
    if not isinstance(destination, int) or not isinstance(route, str):
        raise LearnedRateError(
            f"row has a destination of type {type(destination).__name__} and a route of type {type(route).__name__}"
        )
    try:
        own_rate, limit = float(own_rate), float(limit)
    except (TypeError, ValueError) as error:
        raise LearnedRateError("row has a rate or a limit that is not a number") from error
    if not (0 <= own_rate < math.inf and 0 <= limit < math.inf):
        raise LearnedRateError(f"row has rate {own_rate} and limit {limit}; both must be finite and not negative")
    return LearnedRate(destination, route, own_rate, limit)
