"""Discovery's list as it comes in: a stream of JSON objects cut into single ones, and their entries. No socket."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from scalefall.policy.events import Endpoint, EndpointStatus

MOST_NAME = 255  # characters of an id, a zone, a kind: they go into the journal with each call
MOST_DEPTH = 32  # objects within one another; a list has two
STATES = {"in_service": EndpointStatus.READY, "terminating": EndpointStatus.DRAINING, "terminated": EndpointStatus.GONE}
TEXT = rb'"(?:[^"\\]++|\\.)*+"'
FLAT = rb'\{(?:[^{}"]++|' + TEXT + rb")*+\}"  # an object with none in it, as an entry is: one step
TOKEN = re.compile(FLAT + b"|" + TEXT + rb'|[{}"]', re.DOTALL)  # a lone quotation mark: a text that has not all come
SPACE = b" \t\r\n"


@dataclass(slots=True, frozen=True)
class Entry:
    """One endpoint as the list has it: what the module is told, and where to dial."""

    endpoint: Endpoint
    address: tuple[str, int]
    host: str = ""  # what it is called in a request's Host; else its id
    dial_us: int = 0  # how long a dial to it may take, and when it closes an idle connection; 0: as the
    idle_us: int = 0  # settings say


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The list, or what of it has changed, at a version."""

    seq: int
    whole: bool
    entries: list[Entry]
    unread: tuple[str, ...] = ()  # entries that could not be read, by id where that much could


class ObjectStream:
    """Cuts a stream of JSON objects into single ones, on one line each or indented over many."""

    def __init__(self, most: int) -> None:
        """An object of more than so many bytes is a ValueError, before it is held whole."""
        self._most, self._text = most, bytearray()
        self._scanned = self._depth = 0

    @property
    def between(self) -> bool:
        """Whether no part of an object has come yet that is not whole."""
        return not self._text

    def feed(self, data: bytes) -> list[Any]:
        """The objects that are whole by now, parsed; ValueError or RecursionError where it is none."""
        self._text += data
        found, begin = [], 0
        for token in TOKEN.finditer(self._text, self._scanned):
            text = token.group()
            if text == b'"':
                break
            self._scanned = token.end()
            if text.startswith(b"{"):
                if not self._depth:
                    begin = self._between(begin, token.start())
                self._depth += text == b"{"
                if self._depth > MOST_DEPTH:
                    raise ValueError("a list nests too deep")
            elif text == b"}":
                self._depth -= 1
            elif not self._depth:
                raise ValueError("no list")
            if self._depth < 0:
                raise ValueError("no list")
            if not self._depth:
                found.append(json.loads(self._text[begin : self._scanned]))
                begin = self._scanned
        if not self._depth:
            begin = self._between(begin, len(self._text))
            self._scanned = len(self._text)
        del self._text[:begin]
        self._scanned -= begin
        if len(self._text) > self._most:
            raise ValueError("an object of the list is too long")
        return found

    def _between(self, begin: int, end: int) -> int:
        if self._text[begin:end].strip(SPACE):
            raise ValueError(f"no list: {bytes(self._text[begin:end].strip(SPACE)[:40])!r}")
        return end


def read_list(table: Any, strict: bool = True) -> ListUpdate:
    """Discovery's object as an update; a ValueError names what is wrong. If not strict, an entry that cannot be
    read costs that entry alone, unless none can be read."""
    entries, unread, why = [], [], ""
    try:
        seq, whole, rows = table["seq"], table.get("whole", False), table["hosts"]
        if isinstance(seq, bool) or not isinstance(seq, int):
            raise ValueError(f"seq must be a whole number, not {seq!r}")
        for row in rows:
            try:
                entries.append(_read_entry(row))
            except (TypeError, KeyError, AttributeError, ValueError, OverflowError) as error:
                if strict:
                    raise
                name = row.get("host") if isinstance(row, dict) else None
                unread.append(name if isinstance(name, str) else "")
                why = why or (str(error) if type(error) is ValueError else f"missing or wrong value ({error!r})")
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"list of endpoints: missing or wrong value ({error!r})") from error
    if unread and not entries:
        raise ValueError(f"list of endpoints: no entry can be read: {why}")
    return ListUpdate(seq, bool(whole), entries, tuple(unread))


def _read_entry(row: Any) -> Entry:
    host, port = row["dial"].rsplit(":", 1)
    if not isinstance(row["host"], str) or not isinstance(row["block"], int) or row["health"] not in STATES:
        raise ValueError(f"list of endpoints: {row['host']!r} has a wrong value")
    if max(len(row["host"]), len(host), len(str(row["site"])), len(str(row["class"]))) > MOST_NAME:
        raise ValueError(f"list of endpoints: a name of {row['host'][:20]!r} is too long")
    return Entry(
        Endpoint(
            row["host"],
            str(row["site"]),
            str(row["class"]),
            row["block"],
            STATES[row["health"]],
            float(row.get("share") or 0),
        ),
        (host, int(port)),
    )
