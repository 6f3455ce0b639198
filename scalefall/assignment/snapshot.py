"""The table as text, for a file or a peer, and back.

The form is two lines, each ended by a line feed:

    scalefall-assignment 1 <blake2b of the second line, 128 bits in hex>
    {"fingerprint": ..., "generation": ..., "isolated": [[destination, shard], ...], "names": [name, ...],
     "nodes": [[name, region, zone], ...], "table": [[shard, index of a name, ...], ...]}

The second line is JSON without spaces. A text that is not whole, was changed, or belongs to other settings is refused;
the error is one line that names what is wrong. The checksum guards against damage, not against a forger: a text with a
right checksum is checked field by field all the same.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from scalefall.assignment.model import Node
from scalefall.errors import AssignmentError

FORM = "scalefall-assignment"
VERSION = "1"
DIGEST_BYTES = 16  # enough that no damage goes unseen


@dataclass(slots=True, frozen=True)
class TableState:
    """What control keeps of the assignment. nodes tells where the table's nodes stand, for placement's `former`."""

    table: dict[int, tuple[str, ...]]
    isolated: dict[int, int]
    generation: int
    nodes: tuple[Node, ...] = field(default=())


def encode(state: TableState, fingerprint: str) -> str:
    """The state as text; fingerprint is that of the settings under which its shards mean what they mean."""
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
    return f"{FORM} {VERSION} {_checksum(body)}\n{body}\n"


def decode(text: str, fingerprint: str) -> TableState:
    """The state of a text that encode made under the same fingerprint; AssignmentError for any other text."""
    body = _body(text)
    fields = _parse(body)
    _check_fields(fields)
    if fields["fingerprint"] != fingerprint:
        raise AssignmentError(f"snapshot: of other settings ({fields['fingerprint']!r:.80}, not {fingerprint!r:.80})")
    nodes = tuple(Node(*row) for row in fields["nodes"])
    if len({node.name for node in nodes}) < len(nodes):
        raise AssignmentError("snapshot: nodes: a node is there twice")
    return TableState(
        _table(fields["table"], fields["names"]), _isolated(fields["isolated"]), fields["generation"], nodes
    )


def _checksum(body: str) -> str:
    return blake2b(body.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def _body(text: str) -> str:
    """The second line, once the first one vouches for it."""
    lines = text.split("\n")
    head = lines[0].split(" ")
    if head[0] != FORM:
        raise AssignmentError(f"snapshot: it does not begin with {FORM}")
    if len(lines) != 3 or lines[2] or len(head) != 3:
        raise AssignmentError("snapshot: it is not whole: a first line, a second and a line feed are wanted")
    if head[1] != VERSION:
        raise AssignmentError(f"snapshot: it has the form of version {head[1]!r:.20}, not {VERSION}")
    if head[2] != _checksum(lines[1]):
        raise AssignmentError("snapshot: its checksum does not fit: it is cut off or was changed")
    return lines[1]


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise AssignmentError("snapshot: a field is there twice")
    return found


def _parse(body: str) -> dict[str, Any]:
    try:
        fields = json.loads(body, object_pairs_hook=_unique)
    except AssignmentError:
        raise
    except (ValueError, RecursionError) as error:
        raise AssignmentError("snapshot: its second line is not JSON") from error
    if not isinstance(fields, dict):
        raise AssignmentError("snapshot: its second line is not an object")
    return fields


def _is_number(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _is_list_of(check: Callable[[object], bool]) -> Callable[[object], bool]:
    return lambda value: isinstance(value, list) and all(check(entry) for entry in value)


def _is_row(check: Callable[[object], bool], least: int, most: float) -> Callable[[object], bool]:
    rows = _is_list_of(check)
    return lambda value: rows(value) and least <= len(value) <= most


FIELD_CHECKS: dict[str, tuple[Callable[[object], bool], str]] = {
    "fingerprint": (_is_text, "a string"),
    "generation": (_is_number, "a number of 0 or more"),
    "isolated": (_is_list_of(_is_row(_is_number, 2, 2)), "a list of [destination, shard]"),
    "names": (_is_list_of(_is_text), "a list of strings"),
    "nodes": (_is_list_of(_is_row(_is_text, 3, 3)), "a list of [name, region, zone]"),
    "table": (_is_list_of(_is_row(_is_number, 1, float("inf"))), "a list of [shard, index of a name, ...]"),
}


def _check_fields(fields: dict[str, Any]) -> None:
    for name, (is_right, wanted) in FIELD_CHECKS.items():
        if name not in fields:
            raise AssignmentError(f"snapshot: the field {name} is missing")
        if not is_right(fields[name]):
            raise AssignmentError(f"snapshot: the field {name} is not {wanted}")
    for name in fields:
        if name not in FIELD_CHECKS:
            raise AssignmentError(f"snapshot: unknown field {name!r:.80}")


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
