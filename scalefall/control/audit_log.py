"""Rows of the logs that the audit reads. No I/O."""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, NamedTuple, TypeVar, cast

SECOND = 1_000_000  # us
KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(slots=True, frozen=True)
class LogRow:
    """One JSON object of a log.

    Its fields are what another program wrote: the methods that read them raise KeyError where one is missing, and do
    not look at its type. A rule that meets a wrong one gets a TypeError of its own, which the audit reports.
    """

    line: int  # its number, from 1, in all logs put together
    at: int  # us
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """A field that must be there."""
        return cast(str, self.fields[name])

    def number(self, name: str) -> int:
        """A field that must be there, such as an amount or milliseconds."""
        return cast(int, self.fields[name])

    def number_or(self, name: str, default: int) -> int:
        """A field that may be missing."""
        return cast(int, self.fields.get(name, default))

    def text_if_any(self, name: str) -> str | None:
        """A field that may be missing: None then."""
        return cast("str | None", self.fields.get(name))


RowsByEvent = dict[str, list[LogRow]]


class ReadLog(NamedTuple):
    """The rows in the order of their time, and how many lines were none."""

    rows: list[LogRow]
    skipped_lines: int


def read_log(lines: Iterable[str]) -> ReadLog:
    """Read the lines of any number of logs put together; empty lines count for nothing."""
    rows: list[LogRow] = []
    skipped_lines = 0
    for number, text in enumerate(lines, 1):
        if not text.strip():
            continue
        try:
            fields = json.loads(text)
            at = fields["at"] if "at" in fields else _microseconds(fields["timestamp"])
            rows.append(LogRow(number, int(at), str(fields["event"]), fields))
        except (ValueError, TypeError, KeyError, RecursionError):
            skipped_lines += 1
    rows.sort(key=lambda row: (row.at, row.line))
    return ReadLog(rows, skipped_lines)


def by_event(rows: Iterable[LogRow]) -> RowsByEvent:
    """Rows by the name of their event; a name that no row has gives none."""
    return grouped(rows, lambda row: row.event)


def grouped(rows: Iterable[LogRow], key: Callable[[LogRow], KeyT]) -> dict[KeyT, list[LogRow]]:
    """Rows by a key, in their order."""
    groups: dict[KeyT, list[LogRow]] = defaultdict(list)
    for row in rows:
        groups[key(row)].append(row)
    return groups


def between(rows: Sequence[LogRow], start: int, end: int) -> Sequence[LogRow]:
    """The rows with start <= at < end; `rows` are in the order of their time."""
    first = bisect_left(rows, start, key=lambda row: row.at)
    after_last = bisect_right(rows, end - 1, key=lambda row: row.at)
    return rows[first:after_last]


def _microseconds(timestamp: str) -> int:
    """An ISO 8601 time as microseconds; one without a zone is UTC."""
    when = datetime.fromisoformat(timestamp.replace("Z", "+00:00"))
    if when.tzinfo is None:
        when = when.replace(tzinfo=UTC)
    return round(when.timestamp() * SECOND)
