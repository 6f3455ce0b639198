"""Reading a stream's messages no faster than a client may send them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol, TypeVar

import grpc
from google.protobuf.message import DecodeError

from scalefall.control.rate_limits import TokenBucket
from scalefall.control.transport import clock
from scalefall.control.transport.peers import Peer, StreamEndedError

FIRST_MESSAGE_TIMEOUT_S = 10  # a client that has not said who it is by then holds a stream for nothing
REQUEST_RATE = (200, 100)  # requests of one stream: at once, and a second
BYTES_PER_REQUEST = 1_000  # that cost as much as one more request: so much is parsed and compared in its time
BYTES_PER_REPEATED_REQUEST = 20_000  # where a request repeats the last one's names, which costs next to nothing


class ParsedMessage(Protocol):
    """A message of protobuf, as far as reading goes."""

    def ParseFromString(self, data: bytes) -> int:  # noqa: N802 - protobuf's name
        """Parse it; DecodeError if it is malformed."""


MessageT = TypeVar("MessageT", bound=ParsedMessage)


async def read_messages(peer: Peer, new_message: Callable[[], MessageT]) -> AsyncIterator[MessageT]:
    """Yield the stream's messages until the client has sent its last one, at the pace that it may have.

    Args:
        peer: The stream.
        new_message: Makes an empty message of the stream's kind.

    Raises:
        StreamEndedError: Nothing was said in time, or a message is malformed.
    """
    pace = TokenBucket(clock.monotonic_us(), *REQUEST_RATE)
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
        wait_us = pace.consume(clock.monotonic_us(), _cost(len(data), peer.repeats_names))
        if wait_us:
            await asyncio.sleep(wait_us / 1e6)


async def _read_first(peer: Peer) -> bytes:
    """Read a message of a client that has not said who it is."""
    try:
        data: bytes = await asyncio.wait_for(peer.context.read(), FIRST_MESSAGE_TIMEOUT_S)
    except TimeoutError:
        reason = f"nothing said in {FIRST_MESSAGE_TIMEOUT_S} s"
        raise StreamEndedError(grpc.StatusCode.DEADLINE_EXCEEDED, reason) from None
    return data


def _cost(length: int, repeats_names: bool) -> int:
    """Return the cost of a message of so many bytes, in requests."""
    return 1 + length // (BYTES_PER_REPEATED_REQUEST if repeats_names else BYTES_PER_REQUEST)
