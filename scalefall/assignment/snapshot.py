"""Snapshots of an assignment: encoding to text, for a file or a peer, and decoding.

The format is two lines, each ended by a line feed:

    scalefall-assignment 1 <blake2b of the second line, 128 bits in hex>
    {"fingerprint": ..., "generation": ..., "isolated": [[destination, shard], ...], "names": [name, ...],
     "nodes": [[name, region, zone], ...], "table": [[shard, index of a name, ...], ...]}

The second line is JSON without spaces. A text that is truncated, was changed, or belongs to other settings is rejected
with a one-line error that names the fault. The checksum detects corruption, not forgery, so a text whose checksum
matches is still validated field by field.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple, TypeAlias, TypedDict, cast

from scalefall.assignment.model import Node
from scalefall.errors import AssignmentError

FORMAT_NAME = "scalefall-assignment"
FORMAT_VERSION = "1"  # any other version is rejected
DIGEST_BYTES = 16  # enough to make undetected corruption negligible

Json: TypeAlias = None | bool | int | float | str | list["Json"] | dict[str, "Json"]
Predicate = Callable[[Json], bool]


class _Fields(TypedDict):
    """The validated fields of the second line."""

    fingerprint: str
    generation: int
    isolated: list[list[int]]
    names: list[str]
    nodes: list[list[str]]
    table: list[list[int]]


@dataclass(slots=True, frozen=True)
class TableState:
    """The state that the next control service starts from.

    Attributes:
        table: The names of the nodes that hold each shard.
        isolated: The shard of each isolated destination.
        generation: Increases with each change of the table or of the isolated destinations.
        nodes: The regions and zones of the table's nodes, for placement's `former_nodes`.
    """

    table: dict[int, tuple[str, ...]]
    isolated: dict[int, int]
    generation: int
    nodes: tuple[Node, ...] = field(default=())


def encode(state: TableState, fingerprint: str) -> str:
    """Return the state as text.

    Args:
        state: The state.
        fingerprint: The fingerprint of the settings that define the meaning of shard numbers.
    """
    names = sorted({name for holders in state.table.values() for name in holders})
    index = {name: number for number, name in enumerate(names)}
    fields = {
        "fingerprint": fingerprint,
        "generation": state.generation,
        "isolated": sorted([destination, shard] for destination, shard in state.isolated.items()),
        "names": names,
        "nodes": [[node.name, node.region, node.zone] for node in state.nodes],
        "table": [[shard, *(index[name] for name in state.table[shard])] for shard in sorted(state.table)],
    }
    body = json.dumps(fields, separators=(",", ":"))
    return f"{FORMAT_NAME} {FORMAT_VERSION} {_checksum(body)}\n{body}\n"


def decode(text: str, fingerprint: str) -> TableState:
    """Return the state of a text that `encode` returned for the same fingerprint.

    Raises:
        AssignmentError: The text is anything else.
    """
    fields = _checked(_parse(_body(text)))
    if fields["fingerprint"] != fingerprint:
        raise AssignmentError(f"snapshot: of other settings ({fields['fingerprint']!r:.80}, not {fingerprint!r:.80})")
    nodes = tuple(Node(*row) for row in fields["nodes"])
    if len({node.name for node in nodes}) < len(nodes):
        raise AssignmentError("snapshot: nodes: duplicate node")
    return TableState(
        table=_table(fields["table"], fields["names"]),
        isolated=_isolated(fields["isolated"]),
        generation=fields["generation"],
        nodes=nodes,
    )


def _checksum(body: str) -> str:
    return blake2b(body.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def _body(text: str) -> str:
    """Return the second line after checking the first: format, version and checksum."""
    lines = text.split("\n")
    head = lines[0].split(" ")
    if head[0] != FORMAT_NAME:
        raise AssignmentError(f"snapshot: does not begin with {FORMAT_NAME}")
    if len(lines) != 3 or lines[2] or len(head) != 3:
        raise AssignmentError("snapshot: truncated or extended: expected two lines, each ended by a line feed")
    if head[1] != FORMAT_VERSION:
        raise AssignmentError(f"snapshot: format version {head[1]!r:.20}, not {FORMAT_VERSION}")
    if head[2] != _checksum(lines[1]):
        raise AssignmentError("snapshot: checksum mismatch: the text is truncated or was changed")
    return lines[1]


def _unique(pairs: list[tuple[str, Json]]) -> dict[str, Json]:
    """Return a JSON object as a dict, after checking that no field is repeated."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise AssignmentError("snapshot: duplicate field")
    return found


def _parse(body: str) -> dict[str, Json]:
    """Return the fields of the second line, not yet validated."""
    try:
        fields = json.loads(body, object_pairs_hook=_unique)
    except AssignmentError:
        raise
    except (ValueError, RecursionError) as error:
        raise AssignmentError("snapshot: the second line is not JSON") from error
    if not isinstance(fields, dict):
        raise AssignmentError("snapshot: the second line is not an object")
    return fields


def _is_number(value: Json) -> bool:
    return type(value) is int and value >= 0


def _is_text(value: Json) -> bool:
    return isinstance(value, str)


def _is_list_of(is_entry: Predicate) -> Predicate:
    return lambda value: isinstance(value, list) and all(is_entry(entry) for entry in value)


def _is_row(is_entry: Predicate, min_length: int, max_length: float) -> Predicate:
    return lambda value: (
        isinstance(value, list) and all(is_entry(entry) for entry in value) and min_length <= len(value) <= max_length
    )


class FieldCheck(NamedTuple):
    """The check of a field of the second line."""

    is_valid: Predicate
    expected: str  # completes the error "the field ... is not ..."


FIELD_CHECKS: dict[str, FieldCheck] = {
    "fingerprint": FieldCheck(_is_text, "a string"),
    "generation": FieldCheck(_is_number, "a number of 0 or more"),
    "isolated": FieldCheck(_is_list_of(_is_row(_is_number, 2, 2)), "a list of [destination, shard]"),
    "names": FieldCheck(_is_list_of(_is_text), "a list of strings"),
    "nodes": FieldCheck(_is_list_of(_is_row(_is_text, 3, 3)), "a list of [name, region, zone]"),
    "table": FieldCheck(_is_list_of(_is_row(_is_number, 1, float("inf"))), "a list of [shard, index of a name, ...]"),
}


def _checked(fields: dict[str, Json]) -> _Fields:
    """Return the same fields after checking that each is valid, none is missing and none is unknown."""
    for name, field_check in FIELD_CHECKS.items():
        if name not in fields:
            raise AssignmentError(f"snapshot: the field {name} is missing")
        if not field_check.is_valid(fields[name]):
            raise AssignmentError(f"snapshot: the field {name} is not {field_check.expected}")
    for name in fields:
        if name not in FIELD_CHECKS:
            raise AssignmentError(f"snapshot: unknown field {name!r:.80}")
    return cast(_Fields, fields)


def _table(rows: list[list[int]], names: list[str]) -> dict[int, tuple[str, ...]]:
    table: dict[int, tuple[str, ...]] = {}
    for shard, *holders in rows:
        if shard in table:
            raise AssignmentError(f"snapshot: table: duplicate shard {shard}")
        if holders and max(holders) >= len(names):
            raise AssignmentError(f"snapshot: table: shard {shard} has index {max(holders)} of {len(names)} names")
        if len(set(holders)) < len(holders):
            raise AssignmentError(f"snapshot: table: shard {shard} lists a node twice")
        table[shard] = tuple([names[number] for number in holders])
    return table


def _isolated(rows: list[list[int]]) -> dict[int, int]:
    isolated: dict[int, int] = {}
    for destination, shard in rows:
        if destination in isolated:
            raise AssignmentError(f"snapshot: isolated: duplicate destination {destination}")
        isolated[destination] = shard
    if len(set(isolated.values())) < len(isolated):
        raise AssignmentError("snapshot: isolated: two destinations have the same shard")
    return isolated
