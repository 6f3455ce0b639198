"""The table as text, for a file or a peer, and back.

The form is two lines, each ended by a line feed:

    scalefall-assignment 1 <blake2b of the second line, 128 bits in hex>
    {"fingerprint": ..., "generation": ..., "isolated": [[destination, shard], ...], "names": [name, ...],
     "nodes": [[name, region, zone], ...], "table": [[shard, index of a name, ...], ...]}

The second line is JSON without spaces. A text that is incomplete, was changed, or belongs to other settings is
rejected; the error is one line that names what is wrong. The checksum guards against damage, not against a forger: a
text with a right checksum is checked field by field all the same.
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
FORMAT_VERSION = "1"  # of the form; another one is rejected
DIGEST_BYTES = 16  # enough that no damage goes unseen

Json: TypeAlias = None | bool | int | float | str | list["Json"] | dict[str, "Json"]
Predicate = Callable[[Json], bool]


class _Fields(TypedDict):
    """The second line, checked."""

    fingerprint: str
    generation: int
    isolated: list[list[int]]
    names: list[str]
    nodes: list[list[str]]
    table: list[list[int]]


@dataclass(slots=True, frozen=True)
class TableState:
    """What outlives a control service.

    Attributes:
        table: The names of the nodes that hold each shard.
        isolated: Each isolated destination's own shard.
        generation: Grows with each change of the table or of the isolated destinations.
        nodes: Where the table's nodes stand, for placement's `former_nodes`.
    """

    table: dict[int, tuple[str, ...]]
    isolated: dict[int, int]
    generation: int
    nodes: tuple[Node, ...] = field(default=())


def encode(state: TableState, fingerprint: str) -> str:
    """Return the state as text.

    Args:
        state: The state.
        fingerprint: That of the settings on which the meaning of the shards' numbers depends.
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
    """Return the state of a text that encode made under the same fingerprint.

    Raises:
        AssignmentError: It is any other text.
    """
    fields = _checked(_parse(_body(text)))
    if fields["fingerprint"] != fingerprint:
        raise AssignmentError(f"snapshot: of other settings ({fields['fingerprint']!r:.80}, not {fingerprint!r:.80})")
    nodes = tuple(Node(*row) for row in fields["nodes"])
    if len({node.name for node in nodes}) < len(nodes):
        raise AssignmentError("snapshot: nodes: a node is there twice")
    return TableState(
        table=_table(fields["table"], fields["names"]),
        isolated=_isolated(fields["isolated"]),
        generation=fields["generation"],
        nodes=nodes,
    )


def _checksum(body: str) -> str:
    return blake2b(body.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def _body(text: str) -> str:
    """The second line, once the first one vouches for it."""
    lines = text.split("\n")
    head = lines[0].split(" ")
    if head[0] != FORMAT_NAME:
        raise AssignmentError(f"snapshot: it does not begin with {FORMAT_NAME}")
    if len(lines) != 3 or lines[2] or len(head) != 3:
        raise AssignmentError("snapshot: it is not whole: a first line, a second and a line feed are wanted")
    if head[1] != FORMAT_VERSION:
        raise AssignmentError(f"snapshot: it has the form of version {head[1]!r:.20}, not {FORMAT_VERSION}")
    if head[2] != _checksum(lines[1]):
        raise AssignmentError("snapshot: its checksum does not fit: it is cut off or was changed")
    return lines[1]


def _unique(pairs: list[tuple[str, Json]]) -> dict[str, Json]:
    """Make an object of JSON of which no field is there twice."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise AssignmentError("snapshot: a field is there twice")
    return found


def _parse(body: str) -> dict[str, Json]:
    """The fields of the second line, unchecked."""
    try:
        fields = json.loads(body, object_pairs_hook=_unique)
    except AssignmentError:
        raise
    except (ValueError, RecursionError) as error:
        raise AssignmentError("snapshot: its second line is not JSON") from error
    if not isinstance(fields, dict):
        raise AssignmentError("snapshot: its second line is not an object")
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
    """What a field of the second line has to be."""

    is_valid: Predicate
    expected: str  # for the error, after "is not"


FIELD_CHECKS: dict[str, FieldCheck] = {
    "fingerprint": FieldCheck(_is_text, "a string"),
    "generation": FieldCheck(_is_number, "a number of 0 or more"),
    "isolated": FieldCheck(_is_list_of(_is_row(_is_number, 2, 2)), "a list of [destination, shard]"),
    "names": FieldCheck(_is_list_of(_is_text), "a list of strings"),
    "nodes": FieldCheck(_is_list_of(_is_row(_is_text, 3, 3)), "a list of [name, region, zone]"),
    "table": FieldCheck(_is_list_of(_is_row(_is_number, 1, float("inf"))), "a list of [shard, index of a name, ...]"),
}


def _checked(fields: dict[str, Json]) -> _Fields:
    """The same fields, once each has been found to be what it has to be, and none is there besides."""
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
            raise AssignmentError(f"snapshot: table: shard {shard} is there twice")
        if holders and max(holders) >= len(names):
            raise AssignmentError(f"snapshot: table: shard {shard} is held by name {max(holders)} of {len(names)}")
        if len(set(holders)) < len(holders):
            raise AssignmentError(f"snapshot: table: shard {shard} is held twice by one node")
        table[shard] = tuple([names[number] for number in holders])
    return table


def _isolated(rows: list[list[int]]) -> dict[int, int]:
    isolated: dict[int, int] = {}
    for destination, shard in rows:
        if destination in isolated:
            raise AssignmentError(f"snapshot: isolated: destination {destination} is there twice")
        isolated[destination] = shard
    if len(set(isolated.values())) < len(isolated):
        raise AssignmentError("snapshot: isolated: a shard is given to two destinations")
    return isolated
