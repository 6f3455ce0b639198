"""Checks that are known to fail for a stated reason: KNOWN-RED.txt at the root, one line each.

A line is `test | cause | issue`. The test of a check of this benchmark is written `scale: ` and the check's name. A
check that is listed is still measured and printed; it only does not count among the failed ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PREFIX = "scale: "
MAX_LINES = 3  # more than these are a reason to mend first


class KnownRedError(ValueError):
    """KNOWN-RED.txt cannot be used; the text says which line and why."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """The file's lines, none if there is no file. Raises KnownRedError for a line without its three parts, or for
    more than MOST_LINES lines."""
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
    """The names of the checks of this benchmark that are listed."""
    return {entry.test.removeprefix(PREFIX) for entry in entries if entry.test.startswith(PREFIX)}
