"""Serves a stream from opening to end: admission, the writer task, the handler of its kind, the final status."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import grpc

from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEnd, StreamEndedError
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.errors import LeadershipError
from scalefall.net.logs import log

ServeStream = Callable[[Peer], Awaitable[None]]  # reads a stream until the client half-closes it
RpcHandler = Callable[[object, grpc.aio.ServicerContext], Awaitable[None]]  # as gRPC calls it for each new stream


class StreamServer:
    """Serves streams of any kind, each by one task that reads and one that writes."""

    def __init__(self, peers: PeerRegistry, driver: ServiceDriver) -> None:
        """Store the open streams, and the driver that is notified when they close."""
        self._peers = peers
        self._driver = driver

    def handler(self, serve: ServeStream) -> RpcHandler:
        """Return gRPC's handler of one kind of stream."""

        async def handle(_request_iterator: object, context: grpc.aio.ServicerContext) -> None:
            peer = await self._admit(context)
            writer = asyncio.create_task(peer.write_outgoing())
            try:
                end = await _serve_to_end(peer, serve)
            finally:
                writer.cancel()
                self._driver.stream_closed(peer)
            if end is not None:
                _log_end(peer, end)
                await context.abort(end.status, end.reason)

        return handle

    async def _admit(self, context: grpc.aio.ServicerContext) -> Peer:
        """Add a new stream; if it is not admitted, abort() ends it by raising an exception."""
        task = asyncio.current_task()
        assert task is not None  # gRPC runs each stream in a task of its own
        try:
            return self._peers.admit(context, task)
        except StreamEndedError as error:
            await context.abort(error.end.status, error.end.reason)
            raise  # not reached


async def _serve_to_end(peer: Peer, serve: ServeStream) -> StreamEnd | None:
    """Serve a stream; return the status to end it with, None if the client ended it."""
    try:
        await serve(peer)
    except StreamEndedError as error:
        return error.end
    except LeadershipError as error:
        return StreamEnd(grpc.StatusCode.UNAVAILABLE, str(error))  # makes the client try another process
    except asyncio.CancelledError:
        if peer.end is None:
            raise  # cancelled by gRPC or the client, not by Peer.close
        return peer.end
    except (grpc.aio.BaseError, grpc.RpcError):
        return None  # the client has disconnected
    return None


def _log_end(peer: Peer, end: StreamEnd) -> None:
    log.warning(
        "stream ended: node %s at %s: %s",
        peer.node or "unknown",
        peer.context.peer(),
        end.reason,
        extra={"fields": {"node": peer.node, "status": end.status.name}},
    )
