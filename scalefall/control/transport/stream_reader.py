"""Reads a stream's messages at a limited rate."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol, TypeVar

import grpc
from google.protobuf.message import DecodeError

from scalefall.control.rate_limits import TokenBucket
from scalefall.control.transport import clock
from scalefall.control.transport.peers import Peer, StreamEndedError

FIRST_MESSAGE_TIMEOUT_S = 10  # a stream without a message has no node, and takes up one of MAX_STREAMS
REQUEST_RATE = (200, 100)  # requests of one stream: burst, and sustained rate per second
BYTES_PER_REQUEST = 1_000  # bytes of a request that cost as much as one more request, by the time to parse and compare
BYTES_PER_REPEATED_REQUEST = 20_000  # bytes of a request that repeats the last names, which is cheap to compare


class ParsedMessage(Protocol):
    """A protobuf message that can be parsed."""

    def ParseFromString(self, data: bytes) -> int:  # noqa: N802 - protobuf's name
        """Parse the message; raise DecodeError if it is malformed."""


MessageT = TypeVar("MessageT", bound=ParsedMessage)


async def read_messages(peer: Peer, new_message: Callable[[], MessageT]) -> AsyncIterator[MessageT]:
    """Yield the stream's messages until the client half-closes it, at a limited rate.

    Args:
        peer: The stream.
        new_message: Returns an empty message of the stream's type.

    Raises:
        StreamEndedError: The first message did not arrive in time, or a message is malformed.
    """
    rate_limiter = TokenBucket(clock.monotonic_us(), *REQUEST_RATE)
    while True:
        data = await (peer.context.read() if peer.node else _read_first(peer))
        if data is grpc.aio.EOF:
            return
        message = new_message()
        try:
            message.ParseFromString(data)
        except DecodeError:
            reason = "that is no message of this protocol"
            raise StreamEndedError(grpc.StatusCode.INVALID_ARGUMENT, reason) from None
        yield message
        wait_us = rate_limiter.consume(clock.monotonic_us(), _cost(len(data), peer.repeats_names))
        if wait_us:
            await asyncio.sleep(wait_us / 1e6)


async def _read_first(peer: Peer) -> bytes:
    """Read a message of a client whose node is not known yet, within the time limit."""
    try:
        data: bytes = await asyncio.wait_for(peer.context.read(), FIRST_MESSAGE_TIMEOUT_S)
    except TimeoutError:
        reason = f"nothing said in {FIRST_MESSAGE_TIMEOUT_S} s"
        raise StreamEndedError(grpc.StatusCode.DEADLINE_EXCEEDED, reason) from None
    return data


def _cost(length_bytes: int, repeats_names: bool) -> int:
    """Return the cost of a message of this length in bytes, in requests."""
    return 1 + length_bytes // (BYTES_PER_REPEATED_REQUEST if repeats_names else BYTES_PER_REQUEST)
