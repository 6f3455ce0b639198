"""The rates that the module has learned, kept in the lasting folder for the process after this one.

It is a help and no promise: a file that is missing, old or unreadable is as good as none.
"""

from __future__ import annotations

import json
import math
import os
from collections.abc import Callable

from scalefall.net.invariants import log
from scalefall.net.journal import BLOCK
from scalefall.policy.events import LearnedRate

LEAST_BYTES, PART = 32 * 1024, 16  # of the folder's limit, for the file and the copy that takes its place
MOST_BYTES = 4 * 1024 * 1024
ROW = 64  # bytes that a row takes at most, but for long names
SLICE = 128  # rows written in one turn
MAX_AGE_US = 60_000_000  # what is older tells nothing of now


def reserved_bytes(disk_bytes: int) -> int:
    """Bytes of the folder that are kept for this: 3 MB have some 2,500 rows."""
    return min(max(LEAST_BYTES, disk_bytes // PART), MOST_BYTES, disk_bytes // 3)


def save(folder: str, most: int, rows: list[LearnedRate], wall: int, rest: Callable[[], object] = lambda: None) -> None:
    """As many rows as half of most bytes hold, those that tell most first; rest() lets others have their turn."""
    path, lines, size = os.path.join(folder, "paces"), [str(wall)], 64
    if len(rows) * ROW > most // 2:
        rows = sorted(rows, key=lambda row: -row.own_rate)
    for number, row in enumerate(rows, 1):
        lines.append(json.dumps(to_row(row)))
        if number % SLICE == 0:
            rest()
        size += len(lines[-1]) + 1
        if size > most // 2 - BLOCK:
            lines.pop()
            break
    try:
        with open(path + ".new", "w", encoding="ascii") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
    except OSError as error:
        log.error("learned rates: cannot write (%s)", error)


def load(folder: str, most: int, wall: int) -> list[LearnedRate]:
    try:
        with open(os.path.join(folder, "paces"), encoding="ascii") as file:
            first, *lines = file.read(most).splitlines()
        if not 0 <= wall - int(first) < MAX_AGE_US:
            return []
        return [from_row(*json.loads(line)) for line in lines]
    except FileNotFoundError:
        return []
    except (OSError, ValueError, TypeError, RecursionError) as error:
        log.warning("learned rates: cannot be read (%s)", error)
        return []


def to_row(row: LearnedRate) -> list:
    """As plain JSON."""
    return [row.destination, row.route, round(row.own_rate, 3), round(row.limit, 3)]


def from_row(destination: int, route: str, part: float, limit: float) -> LearnedRate:
    """The same back; ValueError or TypeError if it is none."""
    if not (
        isinstance(destination, int)
        and isinstance(route, str)
        and 0 <= float(part) < math.inf
        and 0 <= float(limit) < math.inf
    ):
        raise ValueError("a row has a wrong value")
    return LearnedRate(destination, route, float(part), float(limit))
