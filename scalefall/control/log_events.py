"""Events that the service emits for the log. Their names and fields are read by the audit and by operators' tools."""

from __future__ import annotations

from dataclasses import dataclass

FieldValue = str | int | float | bool


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One line of the log: a constant name, then its fields."""

    event: str
    fields: dict[str, FieldValue]
    is_debug: bool = False  # of interest to the audit, not to a person
