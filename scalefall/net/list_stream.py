"""Discovery's list as it comes in: a stream of JSON objects cut into single ones, and their entries. No socket."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import NotRequired, TypedDict

from scalefall.errors import RemoteProtocolError
from scalefall.policy.events import Endpoint, EndpointStatus

MAX_NAME_CHARACTERS = 255  # characters of an id, a zone, a kind: they go into the journal with each call
MAX_DEPTH = 32  # objects within one another; a list has two
ERROR_EXCERPT_BYTES = 40  # of what is no list, in the error's text
ERROR_EXCERPT_CHARACTERS = 20  # of a name that is too long, in the error's text
HEALTH_STATUS = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
JSON_STRING = rb'"(?:[^"\\]++|\\.)*+"'
FLAT_OBJECT = rb'\{(?:[^{}"]++|' + JSON_STRING + rb")*+\}"  # an object with none in it, as an entry is: one step
TOKEN = re.compile(
    FLAT_OBJECT + b"|" + JSON_STRING + rb'|[{}"]', re.DOTALL
)  # a lone quotation mark: a text that has not all come
JSON_WHITESPACE = b" \t\r\n"

EntryRow = TypedDict(  # one endpoint in discovery's JSON; `class` is no name that a class body could have
    "EntryRow",
    {
        "host": str,
        "dial": str,
        "site": str,
        "class": str,
        "block": int,
        "health": str,
        "share": NotRequired[float],
    },
)


class ListObject(TypedDict):
    """One object of discovery's JSON, as it is meant to be: what has come is checked where it is read.

    Attributes:
        seq: The list's version.
        whole: It is the whole list; else what has changed.
        hosts: The endpoints.
    """

    seq: int
    whole: NotRequired[bool]
    hosts: list[EntryRow]


class EndpointListError(RemoteProtocolError, ValueError):
    """A list of endpoints cannot be read; the text says what is wrong.

    Also a ValueError: it has come as JSON, and a value in it is unacceptable.
    """


@dataclass(slots=True, frozen=True)
class Entry:
    """One endpoint as the list has it: what the engine hears of it, and where to dial.

    Attributes:
        endpoint: What the engine hears.
        address: Where to dial, host and port.
        host: What it is called in a request's Host field; empty: by its id.
        dial_us: How many microseconds a dial to it may take; 0: as the settings say.
        idle_us: After how many microseconds it closes an idle connection; 0: as the settings say.
    """

    endpoint: Endpoint
    address: tuple[str, int]
    host: str = ""
    dial_us: int = 0
    idle_us: int = 0


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The list, or what of it has changed, at a version.

    Attributes:
        seq: The version.
        is_full: It is the whole list; else what has changed.
        entries: Its entries.
        unreadable_entries: The entries that could not be read, by id where that much could, else as empty texts.
    """

    seq: int
    is_full: bool
    entries: list[Entry]
    unreadable_entries: tuple[str, ...] = ()


class ObjectStream:
    """Cuts a stream of JSON objects into single ones, on one line each or indented over many."""

    def __init__(self, max_bytes: int) -> None:
        """Start at the beginning of a stream.

        Args:
            max_bytes: How long one object may be; a longer one is an error before it is held whole.
        """
        self._max_bytes = max_bytes
        self._text = bytearray()  # from the first object on that is not whole
        self._scanned = 0  # bytes of the text that have been looked at
        self._depth = 0  # of the object within which these end

    @property
    def is_between_objects(self) -> bool:
        """Whether no part of an object has come yet that is not whole."""
        return not self._text

    def feed(self, data: bytes) -> list[ListObject]:
        """Return the objects that are whole by now, parsed from JSON.

        Raises:
            EndpointListError: This is no stream of objects, or one is too long or nests too deep.
            ValueError: An object is no JSON.
            RecursionError: Its arrays nest too deep.
        """
        self._text += data
        found: list[ListObject] = []
        start = 0
        for token in TOKEN.finditer(self._text, self._scanned):
            text = token.group()
            if text == b'"':
                break
            self._scanned = token.end()
            if self._depth and len(text) > 1:
                continue  # an entry, or a text within an object
            if not self._depth and text.startswith(b"{"):
                start = self._skip_space(start, token.start())
            self._track_depth(text)
            if not self._depth:
                found.append(json.loads(self._text[start : self._scanned]))
                start = self._scanned
        if not self._depth:
            start = self._skip_space(start, len(self._text))
            self._scanned = len(self._text)
        del self._text[:start]
        self._scanned -= start
        if len(self._text) > self._max_bytes:
            raise EndpointListError("an object of the list is too long")
        return found

    def _track_depth(self, text: bytes) -> None:
        """Follow the depth past one token.

        Raises:
            EndpointListError: It nests too deep, or stands outside of an object.
        """
        if text == b"{":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise EndpointListError("a list nests too deep")
        elif text == b"}":
            self._depth -= 1
            if self._depth < 0:
                raise EndpointListError("no list")
        elif not self._depth and not text.startswith(b"{"):
            raise EndpointListError("no list")

    def _skip_space(self, start: int, end: int) -> int:
        """Return the end of a stretch between two objects.

        Raises:
            EndpointListError: There is more than white space in it.
        """
        between = self._text[start:end].strip(JSON_WHITESPACE)
        if between:
            raise EndpointListError(f"no list: {bytes(between[:ERROR_EXCERPT_BYTES])!r}")
        return end


def read_list(table: ListObject, strict: bool = True) -> ListUpdate:
    """Return discovery's object as an update.

    Args:
        table: The object, parsed from JSON.
        strict: Every entry has to be readable; else one that is not costs that entry alone, unless none can be read.

    Raises:
        EndpointListError: It cannot be read; the text names what is wrong.
        ValueError: A number in it cannot be read.
        OverflowError: A number in it is infinite.
    """
    entries: list[Entry] = []
    unreadable_entries: list[str] = []
    first_reason = ""
    try:
        seq, whole, rows = table["seq"], table.get("whole", False), table["hosts"]
        if isinstance(seq, bool) or not isinstance(seq, int):
            raise EndpointListError(f"seq must be a whole number, not {seq!r}")
        for row in rows:
            try:
                entries.append(_read_entry(row))
            except (TypeError, KeyError, AttributeError, ValueError, OverflowError) as error:
                if strict:
                    raise
                unreadable_entries.append(_id_of(row))
                first_reason = first_reason or _reason(error)
    except (TypeError, KeyError, AttributeError) as error:
        raise EndpointListError(f"list of endpoints: missing or wrong value ({error!r})") from error
    if unreadable_entries and not entries:
        raise EndpointListError(f"list of endpoints: no entry can be read: {first_reason}")
    return ListUpdate(seq, bool(whole), entries, tuple(unreadable_entries))


def _id_of(row: EntryRow) -> str:
    """Return the id of an entry that cannot be read; empty if not even that can."""
    endpoint_id = row.get("host") if isinstance(row, dict) else None
    return endpoint_id if isinstance(endpoint_id, str) else ""


def _reason(error: Exception) -> str:
    """Return why an entry cannot be read."""
    if type(error) in (ValueError, EndpointListError):
        return str(error)
    return f"missing or wrong value ({error!r})"


def _read_entry(row: EntryRow) -> Entry:
    """Return one entry of discovery's list.

    Raises:
        EndpointListError: A value is wrong.
        ValueError: A number cannot be read.
        OverflowError: A number is infinite.
        TypeError: A value has the wrong type, or the row is no object.
        KeyError: A value is missing.
        AttributeError: A text is none.
    """
    host, port = row["dial"].rsplit(":", 1)
    if not isinstance(row["host"], str) or not isinstance(row["block"], int) or row["health"] not in HEALTH_STATUS:
        raise EndpointListError(f"list of endpoints: {row['host']!r} has a wrong value")
    if max(len(row["host"]), len(host), len(str(row["site"])), len(str(row["class"]))) > MAX_NAME_CHARACTERS:
        raise EndpointListError(f"list of endpoints: a name of {row['host'][:ERROR_EXCERPT_CHARACTERS]!r} is too long")
    return Entry(
        Endpoint(
            row["host"],
            str(row["site"]),
            str(row["class"]),
            row["block"],
            HEALTH_STATUS[row["health"]],
            float(row.get("share") or 0),
        ),
        (host, int(port)),
    )
