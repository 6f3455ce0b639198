"""Helpers for protobuf messages."""

from __future__ import annotations

from typing import Protocol

from google.protobuf import any_pb2, duration_pb2


class SerializableMessage(Protocol):
    """A protobuf message that can be serialized."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - protobuf's name
        """Return the message as bytes."""


def serialize(message: SerializableMessage) -> bytes:
    """Return a message as bytes."""
    return message.SerializeToString()


def pack(message: SerializableMessage) -> any_pb2.Any:
    """Return a message as an Any, with the same bytes for equal messages."""
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def duration(us: int) -> duration_pb2.Duration:
    """Return a duration in microseconds as a message."""
    message = duration_pb2.Duration()
    message.FromMicroseconds(us)
    return message
