"""Checks that are known to fail for a stated reason: KNOWN-RED.txt at the root, one line each.

A line is `test | cause | issue`. A check of this benchmark is listed as `scale: ` and the check's name. A listed check
is still measured and printed, but does not count as failed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PREFIX = "scale: "
MAX_LINES = 3  # beyond this, faults are to be fixed before others are listed


class KnownRedError(ValueError):
    """KNOWN-RED.txt is invalid; the text names the line and the reason."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the file's lines, none if there is no file. Raise KnownRedError for a line without its three parts, or for
    more than MAX_LINES lines."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise KnownRedError(f"{path.name}: {len(lines)} lines, {MAX_LINES} at most")
    return [_read_line(path.name, number, line) for number, line in enumerate(lines, 1)]


def _read_line(name: str, number: int, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise KnownRedError(f"{name}:{number}: expected `test | cause | issue`, not {line!r}")
    return KnownRed(*parts)


def checks_passed_over(entries: list[KnownRed]) -> set[str]:
    """Return the names of the listed checks of this benchmark."""
    return {entry.test.removeprefix(PREFIX) for entry in entries if entry.test.startswith(PREFIX)}
