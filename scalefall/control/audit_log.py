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

    Another program wrote its fields: the methods that read them raise KeyError for a missing one and do not check
    types. A field of a wrong type raises TypeError in the rule that uses it, which the audit reports.
    """

    line: int  # its number, from 1, counted through all logs
    at: int  # us
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a required field."""
        return cast(str, self.fields[name])

    def number(self, name: str) -> int:
        """Return a required number, such as an amount or milliseconds."""
        return cast(int, self.fields[name])

    def number_or(self, name: str, default: int) -> int:
        """Return an optional number."""
        return cast(int, self.fields.get(name, default))

    def text_if_any(self, name: str) -> str | None:
        """Return an optional field; None if it is missing."""
        return cast("str | None", self.fields.get(name))


RowsByEvent = dict[str, list[LogRow]]


class ReadLog(NamedTuple):
    """The rows sorted by time, and the number of lines that are no rows."""

    rows: list[LogRow]
    skipped_lines: int


def read_log(lines: Iterable[str]) -> ReadLog:
    """Read the concatenated lines of any number of logs; empty lines are ignored."""
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
    """Return rows by event name; an absent name gives an empty list."""
    return grouped(rows, lambda row: row.event)


def grouped(rows: Iterable[LogRow], key: Callable[[LogRow], KeyT]) -> dict[KeyT, list[LogRow]]:
    """Return rows grouped by a key, in their order."""
    groups: dict[KeyT, list[LogRow]] = defaultdict(list)
    for row in rows:
        groups[key(row)].append(row)
    return groups


def between(rows: Sequence[LogRow], start: int, end: int) -> Sequence[LogRow]:
    """Return the rows with start <= at < end; `rows` are sorted by time."""
    first = bisect_left(rows, start, key=lambda row: row.at)
    after_last = bisect_right(rows, end - 1, key=lambda row: row.at)
    return rows[first:after_last]


def _microseconds(timestamp: str) -> int:
    """Convert an ISO 8601 time to microseconds; one without a zone is in UTC."""
    when = datetime.fromisoformat(timestamp.replace("Z", "+00:00"))
    if when.tzinfo is None:
        when = when.replace(tzinfo=UTC)
    return round(when.timestamp() * SECOND)
