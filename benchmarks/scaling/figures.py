"""Figures of the benchmark, each a slope over at least three sizes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from benchmarks.scaling.fit import Line, fit


class Quantity(Enum):
    """How a figure was measured, which decides its tolerance."""

    BYTES = "bytes"  # counted on the wire or on disk
    MEMORY = "memory"  # bytes in use, as the allocator counts them
    TIME = "time"  # processor time in steps of the fixed loop (processor.py)


class Role(Enum):
    SENDER_MESSAGES = "sender-messages"
    SENDER_CONTROL = "sender-control"
    CONTROL = "control-instance"
    LIST_SOURCE = "list-source"
    FAILURES = "failures"


@dataclass(slots=True, frozen=True)
class Figure:
    role: Role
    name: str
    quantity: Quantity
    unit: str  # of the slope, as "bytes an endpoint"
    sizes: str  # the quantity that varies
    points: tuple[tuple[float, float], ...]
    line: Line

    def as_json(self) -> dict[str, Any]:
        return asdict(self) | {"role": self.role.value, "quantity": self.quantity.value}


def figure(
    role: Role, name: str, quantity: Quantity, unit: str, sizes: str, points: Sequence[tuple[float, float]]
) -> Figure:
    return Figure(role, name, quantity, unit, sizes, tuple(points), fit(points))


def from_json(row: dict[str, Any]) -> Figure:
    points = tuple((x, y) for x, y in row["points"])
    return Figure(
        Role(row["role"]),
        row["name"],
        Quantity(row["quantity"]),
        row["unit"],
        row["sizes"],
        points,
        Line(**row["line"]),
    )
