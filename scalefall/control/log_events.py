"""Events that the service emits for the log. The audit and operators' tools read their names and fields."""

from __future__ import annotations

from dataclasses import dataclass

FieldValue = str | int | float | bool


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One line of the log: a constant name, then its fields."""

    event: str
    fields: dict[str, FieldValue]
    is_debug: bool = False  # whether it is for the audit rather than for an operator
