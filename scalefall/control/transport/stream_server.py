"""A stream from its opening to its end: admission, its writer, the handler of its kind, and the status it ends with."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import grpc

from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEnd, StreamEndedError
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.errors import LeadershipError
from scalefall.net.logs import log

ServeStream = Callable[[Peer], Awaitable[None]]  # reads a stream until the client has sent its last message
RpcHandler = Callable[[object, grpc.aio.ServicerContext], Awaitable[None]]  # as gRPC calls it for each new stream


class StreamServer:
    """Serves streams of any kind: one task reads each, and one writes."""

    def __init__(self, peers: PeerRegistry, driver: ServiceDriver) -> None:
        """Take the open streams, and the service that is told when they close."""
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
        """Take in a stream; one that may not be opened is ended here, by the exception that abort() raises."""
        task = asyncio.current_task()
        assert task is not None  # gRPC runs each stream in a task of its own
        try:
            return self._peers.admit(context, task)
        except StreamEndedError as refused:
            await context.abort(refused.end.status, refused.end.reason)
            raise  # not reached


async def _serve_to_end(peer: Peer, serve: ServeStream) -> StreamEnd | None:
    """Serve a stream; return the status that it is to end with, None where the client ended it."""
    try:
        await serve(peer)
    except StreamEndedError as ended:
        return ended.end
    except LeadershipError as error:
        return StreamEnd(grpc.StatusCode.UNAVAILABLE, str(error))  # the client is to try the other processes
    except asyncio.CancelledError:
        if peer.end is None:
            raise  # the server or the client cancelled it, not Peer.close
        return peer.end
    except (grpc.aio.BaseError, grpc.RpcError):
        return None  # the client is gone
    return None


def _log_end(peer: Peer, end: StreamEnd) -> None:
    log.warning(
        "stream ended: %s at %s: %s",
        peer.node or "a client that did not say who it is",
        peer.context.peer(),
        end.reason,
        extra={"fields": {"node": peer.node, "status": end.status.name}},
    )
