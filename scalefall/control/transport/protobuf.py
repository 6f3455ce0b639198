"""Small helpers for messages of protobuf."""

from __future__ import annotations

from typing import Protocol

from google.protobuf import any_pb2, duration_pb2


class SerializableMessage(Protocol):
    """A message of protobuf, as far as writing goes."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - protobuf's name
        """Return the message as bytes."""


def serialize(message: SerializableMessage) -> bytes:
    """Return a message as bytes."""
    return message.SerializeToString()


def pack(message: SerializableMessage) -> any_pb2.Any:
    """Return a message as an Any, whose bytes are the same for equal messages."""
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def duration(us: int) -> duration_pb2.Duration:
    """Return a duration of so many microseconds."""
    message = duration_pb2.Duration()
    message.FromMicroseconds(us)
    return message
