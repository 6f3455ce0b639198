"""Parses discovery's endpoint list: splits a stream of JSON objects, and reads their entries. Uses no socket."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import NotRequired, TypedDict

from scalefall.errors import RemoteProtocolError
from scalefall.net.memory_budget import JSON_VALUE_BYTES, MemoryBudget, Reservation
from scalefall.net.untrusted_numbers import read_port, read_quantity
from scalefall.policy.events import Endpoint, EndpointStatus

MAX_NAME_CHARACTERS = 255  # limit of an id, a zone or a kind: the journal records them with each call
MAX_STRING_BYTES = 16 * 1024  # of a name with escapes, where MAX_NAME_CHARACTERS are allowed
JSON_SEPARATORS = (b",", b"{", b"[")  # each value but the first of an object or array follows one of them
MAX_DEPTH = 32  # levels of nested objects; a list has two
ERROR_EXCERPT_BYTES = 40  # length of the invalid data quoted in an error
ERROR_EXCERPT_CHARACTERS = 20  # length of the start of a too long name quoted in an error
HEALTH_STATUS = {
    "in_service": EndpointStatus.READY,
    "terminating": EndpointStatus.DRAINING,
    "terminated": EndpointStatus.GONE,
}
JSON_STRING = rb'"(?:[^"\\]++|\\.)*+"'
FLAT_OBJECT = rb'\{(?:[^{}"]++|' + JSON_STRING + rb")*+\}"  # without nested objects, as an entry is
TOKEN = re.compile(FLAT_OBJECT + b"|" + JSON_STRING + rb'|[{}"]', re.DOTALL)  # a lone " starts an incomplete string
JSON_WHITESPACE = b" \t\r\n"

EntryRow = TypedDict(  # one endpoint in discovery's JSON; the functional form, as `class` is a keyword
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
    """One valid object of discovery's JSON; `read_list` checks what was received.

    Attributes:
        seq: The list's version.
        whole: The object is the complete list; otherwise the changes.
        hosts: The endpoints.
    """

    seq: int
    whole: NotRequired[bool]
    hosts: list[EntryRow]


class EndpointListError(RemoteProtocolError, ValueError):
    """An endpoint list cannot be read; the text states the reason.

    Also a ValueError, as a value in the JSON is invalid.
    """


@dataclass(slots=True, frozen=True)
class Entry:
    """One endpoint of the list: its data for the engine, and how to connect to it.

    Attributes:
        endpoint: The data for the engine.
        address: The host and port to dial.
        host: The value of a request's Host field; the endpoint's id if empty.
        dial_us: The dial timeout in microseconds; that of the settings if 0.
        idle_us: The endpoint's idle timeout in microseconds; that of the settings if 0.
    """

    endpoint: Endpoint
    address: tuple[str, int]
    host: str = ""
    dial_us: int = 0
    idle_us: int = 0


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The complete list, or its changes, at a version.

    Attributes:
        seq: The version.
        is_whole: The update is the complete list; otherwise the changes.
        entries: The entries.
        unreadable_entries: The ids of the entries that cannot be read; empty strings where the id cannot be read.
    """

    seq: int
    is_whole: bool
    entries: list[Entry]
    unreadable_entries: tuple[str, ...] = ()


class ObjectStream:
    """Splits a stream of JSON objects, each on one line or indented over many."""

    def __init__(self, max_bytes: int, reservation: Reservation | None = None) -> None:
        """Start at the beginning of a stream.

        Args:
            max_bytes: The size limit of one object; a longer one is an error before it is complete.
            reservation: Accounts for the incomplete object, and for one that is parsed; None: there is no limit.
        """
        self._max_bytes = max_bytes
        self._reservation = reservation or MemoryBudget().open()
        self._text = bytearray()  # from the start of the first incomplete object
        self._scanned = 0  # bytes of the text that have been scanned
        self._depth = 0  # levels of nested objects at the end of the scanned bytes

    @property
    def is_between_objects(self) -> bool:
        """Whether no incomplete object has been received."""
        return not self._text

    def feed(self, data: bytes) -> list[ListObject]:
        """Add data to the stream; return the objects that it completes, parsed from JSON.

        Raises:
            EndpointListError: The data is not a stream of objects, or an object is too long or nests too deep, or does
                not fit into the memory budget.
            ValueError: An object is not valid JSON.
            RecursionError: The arrays of an object nest too deep.
        """
        self._text += data
        found: list[ListObject] = []
        start = 0
        for token in TOKEN.finditer(self._text, self._scanned):
            text = token.group()
            if text == b'"':
                self._check_string(len(self._text) - token.start())
                break
            self._scanned = token.end()
            if self._depth and len(text) > 1:
                continue  # an entry, or a string within an object
            if not self._depth and text.startswith(b"{"):
                start = self._skip_space(start, token.start())
            self._track_depth(text)
            if not self._depth:
                found.append(self._parse(self._text[start : self._scanned]))
                start = self._scanned
        else:
            if not self._depth:
                start = self._skip_space(start, len(self._text))
            self._scanned = len(self._text)  # what is no token need not be scanned again
        del self._text[:start]
        self._scanned -= start
        if len(self._text) > self._max_bytes:
            raise EndpointListError(f"list of endpoints: an object is longer than {self._max_bytes} bytes")
        self._reserve(self._text.__alloc__())
        return found

    def _parse(self, text: bytearray) -> ListObject:
        """Parse one object, if its values fit into the memory budget beside what has been received.

        Raises:
            EndpointListError: They do not fit.
            ValueError: The object is not valid JSON.
            RecursionError: Its arrays nest too deep.
        """
        value_count = sum(text.count(separator) for separator in JSON_SEPARATORS)
        self._reserve(self._text.__alloc__() + len(text) + JSON_VALUE_BYTES * value_count)
        list_object: ListObject = json.loads(text)
        return list_object

    def _reserve(self, held_bytes: int) -> None:
        if not self._reservation.try_resize(held_bytes):
            raise EndpointListError(f"list of endpoints: {held_bytes} bytes do not fit into the memory budget")

    def _check_string(self, string_bytes: int) -> None:
        """Check the length of an incomplete string, which is scanned again when more of it has arrived.

        Raises:
            EndpointListError: It is longer than any name that is allowed.
        """
        if string_bytes > MAX_STRING_BYTES:
            raise EndpointListError(f"list of endpoints: a string is longer than {MAX_STRING_BYTES} bytes")

    def _track_depth(self, text: bytes) -> None:
        """Update the depth for one token.

        Raises:
            EndpointListError: The token nests too deep, or stands outside an object.
        """
        if text == b"{":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise EndpointListError(f"list of endpoints: objects nest deeper than {MAX_DEPTH} levels")
        elif text == b"}":
            self._depth -= 1
            if self._depth < 0:
                raise EndpointListError("list of endpoints: closing brace outside an object")
        elif not self._depth and not text.startswith(b"{"):
            raise EndpointListError("list of endpoints: string outside an object")

    def _skip_space(self, start: int, end: int) -> int:
        """Return the end of the white space between two objects.

        Raises:
            EndpointListError: There is more than white space.
        """
        between = self._text[start:end].strip(JSON_WHITESPACE)
        if between:
            raise EndpointListError(f"list of endpoints: not an object: {bytes(between[:ERROR_EXCERPT_BYTES])!r}")
        return end


def read_list(list_object: ListObject, strict: bool = True) -> ListUpdate:
    """Return discovery's object as an update.

    Args:
        list_object: The object, parsed from JSON.
        strict: Every entry must be readable; otherwise unreadable entries are skipped, unless none can be read.

    Raises:
        EndpointListError: The object cannot be read; the text states the reason.
        ValueError: A number in the object cannot be read.
        OverflowError: A number in the object is infinite.
    """
    entries: list[Entry] = []
    unreadable_entries: list[str] = []
    first_reason = ""
    try:
        seq, whole, rows = list_object["seq"], list_object.get("whole", False), list_object["hosts"]
        if isinstance(seq, bool) or not isinstance(seq, int):
            raise EndpointListError(f"seq must be a whole number, not {seq!r}")
        if not isinstance(whole, bool):
            raise EndpointListError(f"whole must be true or false, not {whole!r}")
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
    return ListUpdate(seq, whole, entries, tuple(unreadable_entries))


def _id_of(row: EntryRow) -> str:
    """Return the id of an unreadable entry; empty if the id cannot be read either."""
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
        TypeError: A value has the wrong type, or the row is not an object.
        KeyError: A value is missing.
        AttributeError: The address is not a string.
    """
    host, port_text = row["dial"].rsplit(":", 1)
    port = read_port(port_text)
    if not isinstance(row["host"], str) or type(row["block"]) is not int or row["health"] not in HEALTH_STATUS:
        raise EndpointListError(f"list of endpoints: wrong host, block or health in the entry {row['host']!r}")
    if not port:
        raise EndpointListError(
            f"list of endpoints: wrong port in the entry {row['host']!r}: {port_text[:ERROR_EXCERPT_CHARACTERS]!r}"
        )
    if max(len(row["host"]), len(host), len(str(row["site"])), len(str(row["class"]))) > MAX_NAME_CHARACTERS:
        raise EndpointListError(
            f"list of endpoints: a name in the entry {row['host'][:ERROR_EXCERPT_CHARACTERS]!r} is longer than "
            f"{MAX_NAME_CHARACTERS} characters"
        )
    return Entry(
        Endpoint(
            row["host"],
            str(row["site"]),
            str(row["class"]),
            row["block"],
            HEALTH_STATUS[row["health"]],
            _read_limit(row),
        ),
        (host, port),
    )


def _read_limit(row: EntryRow) -> float:
    """Return an entry's limit; 0 if it has none.

    Raises:
        EndpointListError: It is no number, or negative or not finite.
        OverflowError: It is too large.
    """
    value: object = row.get("share")
    if value is None:
        return 0.0
    try:
        return read_quantity(value)
    except (TypeError, ValueError) as error:
        raise EndpointListError(f"list of endpoints: wrong share in the entry {row['host']!r}: {error}") from error
