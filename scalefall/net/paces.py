"""What the module knows of paces, kept in the lasting folder for the process after this one.

It is a help and no promise: a file that is missing, old or unreadable is as good as none.
"""
from __future__ import annotations

import json
import math
import os

from scalefall.interface import Known
from scalefall.net.checks import log

MOST_BYTES = 32 * 1024          # of the folder's limit, for the file and the copy that takes its place
FRESH_US = 60_000_000           # what is older tells nothing of now


def save(folder: str, rows: list[Known], wall: int) -> None:
    path, lines, size = os.path.join(folder, "paces"), [str(wall)], 64
    for row in rows:
        lines.append(json.dumps(put(row)))
        size += len(lines[-1]) + 1
        if size > MOST_BYTES // 2 - 512:
            lines.pop()
            break
    try:
        with open(path + ".new", "w", encoding="ascii") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
    except OSError as error:
        log.error("paces: cannot write (%s)", error)


def load(folder: str, wall: int) -> list[Known]:
    try:
        with open(os.path.join(folder, "paces"), encoding="ascii") as file:
            first, *lines = file.read(MOST_BYTES).splitlines()
        if not 0 <= wall - int(first) < FRESH_US:
            return []
        return [get(*json.loads(line)) for line in lines]
    except FileNotFoundError:
        return []
    except (OSError, ValueError, TypeError, RecursionError) as error:
        log.warning("paces: cannot be read (%s)", error)
        return []


def put(row: Known) -> list:
    """As plain JSON."""
    return [row.destination, row.route, round(row.part, 3), round(row.limit, 3)]


def get(destination: int, route: str, part: float, limit: float) -> Known:
    """The same back; ValueError or TypeError if it is none."""
    if not (isinstance(destination, int) and isinstance(route, str)
            and 0 <= float(part) < math.inf and 0 <= float(limit) < math.inf):
        raise ValueError("a row has a wrong value")
    return Known(destination, route, float(part), float(limit))
