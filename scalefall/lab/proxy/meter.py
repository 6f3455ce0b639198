"""Messages and bytes between senders and the control service, counted by direction and kind. No I/O, no clock.

Bytes are those of the serialized protobuf messages; what gRPC and TCP add to them is not counted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Direction(Enum):
    """The way of a message."""

    UP = "up"  # to the control service
    DOWN = "down"


class Kind(Enum):
    """What a message is about."""

    RESOURCES = "resources"  # subscriptions, lists and their acknowledgements
    HEARTBEATS = "heartbeats"  # heartbeats and their acknowledgements
    GRANTS = "grants"
    USAGE = "usage"  # usage reports
    LOADS = "loads"  # load reports


@dataclass(slots=True)
class Count:
    messages: int = 0
    bytes: int = 0


class Meter:
    def __init__(self) -> None:
        self._counts = {(direction, kind): Count() for direction in Direction for kind in Kind}

    def add(self, direction: Direction, kind: Kind, size: int) -> None:
        count = self._counts[direction, kind]
        count.messages += 1
        count.bytes += size

    def count(self, direction: Direction, kind: Kind) -> Count:
        """Return what was counted so far."""
        count = self._counts[direction, kind]
        return Count(count.messages, count.bytes)

    def table(self) -> dict[str, dict[str, list[int]]]:
        """Return messages and bytes by direction and kind, for a log."""
        return {
            direction.value: {
                kind.value: [self._counts[direction, kind].messages, self._counts[direction, kind].bytes]
                for kind in Kind
            }
            for direction in Direction
        }
