"""The clients' streams: the node of each, its outgoing queue, and the status that it ends with.

A client that reads slowly blocks only its own writer task. Its outgoing queue is bounded by the windows of unanswered
responses, and a stream with more than MAX_OUTGOING_MESSAGES queued messages is closed.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import grpc

from scalefall.control.rate_limits import ClientRateLimiter
from scalefall.control.transport import clock, tls
from scalefall.control.transport.quotas import QuotaSession
from scalefall.errors import ScalefallError

MAX_STREAMS = 5_000  # open streams of all clients together: bounds the process's memory
MAX_OUTGOING_MESSAGES = 2_000  # queued messages of one stream
MAX_NODE_ID_CHARACTERS = 256
STREAM_OPENING_RATE = (50, 10)  # streams that one node may open: burst, and sustained rate per second
MAX_RATE_LIMITED_NODES = 10_000  # nodes whose rate of opening streams is tracked: twice MAX_STREAMS


@dataclass(slots=True, frozen=True)
class StreamEnd:
    """The gRPC status that a stream ends with, and its text."""

    status: grpc.StatusCode
    reason: str


class StreamEndedError(ScalefallError):
    """Ends a stream with a gRPC status, as the client violated the protocol or exceeded a limit."""

    def __init__(self, status: grpc.StatusCode, reason: str) -> None:
        """Set the status and its text."""
        super().__init__(reason)
        self.end = StreamEnd(status, reason)


@dataclass(slots=True)
class Peer:
    """One client's stream.

    Attributes:
        number: The stream's number, by which the service refers to it.
        context: gRPC's side of the stream.
        task: The task that reads the stream; cancelled to end it.
        certificate: The client's certificate; None on a plaintext connection.
        incremental: Whether it uses the incremental variant of the xDS protocol.
        supports_ttl: Whether the client supports times to live of resources.
        node: The node id; empty until its first message.
        repeats_names: Whether its last request had the same names as the previous one.
        outgoing: Messages not yet written.
        outgoing_ready: Set while there are any.
        end: The status that this server ends it with; None until it is closed.
        quota: The state of a quota stream.
    """

    number: int
    context: grpc.aio.ServicerContext
    task: asyncio.Task[None]
    certificate: tls.ClientCertificate | None
    incremental: bool = False
    supports_ttl: bool = False
    node: str = ""
    repeats_names: bool = False
    outgoing: deque[bytes] = field(default_factory=deque)
    outgoing_ready: asyncio.Event = field(default_factory=asyncio.Event)
    end: StreamEnd | None = None
    quota: QuotaSession = field(default_factory=QuotaSession)

    def send(self, data: bytes) -> None:
        """Queue a message; close the stream if too many are queued."""
        self.outgoing.append(data)
        self.outgoing_ready.set()
        if len(self.outgoing) > MAX_OUTGOING_MESSAGES:
            self.close(grpc.StatusCode.RESOURCE_EXHAUSTED, "it does not read what it is sent")

    def close(self, status: grpc.StatusCode, reason: str) -> None:
        """End the stream with a status; later calls have no effect."""
        if self.end is None:
            self.end = StreamEnd(status, reason)
            self.task.cancel()

    async def write_outgoing(self) -> None:
        """Write queued messages until cancelled."""
        while True:
            await self.outgoing_ready.wait()
            while self.outgoing:
                await self.context.write(self.outgoing.popleft())
            self.outgoing_ready.clear()


class PeerRegistry:
    """The open streams by number; decides which clients may open one."""

    def __init__(self, certificates: tls.CertificateStore | None) -> None:
        """Start with no streams.

        Args:
            certificates: The trusted authorities; None for plaintext, where any client may claim any node.
        """
        self._certificates = certificates
        self._peers: dict[int, Peer] = {}
        self._numbers = itertools.count(1)
        self._openings = ClientRateLimiter(*STREAM_OPENING_RATE, MAX_RATE_LIMITED_NODES)

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over a copy of the open streams, which may close during the iteration."""
        return iter(list(self._peers.values()))

    def get(self, number: int) -> Peer | None:
        """Return an open stream; None if there is none of this number."""
        return self._peers.get(number)

    def add(self, peer: Peer) -> None:
        """Add a stream."""
        self._peers[peer.number] = peer

    def remove(self, peer: Peer) -> None:
        """Remove a closed stream."""
        self._peers.pop(peer.number, None)

    def admit(self, context: grpc.aio.ServicerContext, task: asyncio.Task[None]) -> Peer:
        """Add and return a new stream, which this task reads.

        Raises:
            StreamEndedError: Too many streams are open, or the client's certificate names no node.
        """
        if len(self._peers) >= MAX_STREAMS:
            raise StreamEndedError(grpc.StatusCode.RESOURCE_EXHAUSTED, f"{MAX_STREAMS} streams are open")
        certificate = self._client_certificate(context)
        if certificate is not None and not certificate.nodes:
            raise StreamEndedError(grpc.StatusCode.UNAUTHENTICATED, "the certificate names no node")
        peer = Peer(next(self._numbers), context, task, certificate)
        self.add(peer)
        return peer

    def _client_certificate(self, context: grpc.aio.ServicerContext) -> tls.ClientCertificate | None:
        if self._certificates is None:
            return None
        chain = context.auth_context().get("x509_pem_cert", ())
        return tls.read_client_certificate(next(iter(chain), b""))

    def identify(self, peer: Peer, node: str) -> None:
        """Set the node of a stream, or check that a later message names the same one.

        Raises:
            StreamEndedError: The node id is malformed, differs from the stream's or is not in the certificate, or the
                node opens streams too often.
        """
        if not _is_node_id(node):
            reason = f"a node id is 1 to {MAX_NODE_ID_CHARACTERS} printable characters without a slash"
            raise StreamEndedError(grpc.StatusCode.INVALID_ARGUMENT, reason)
        if peer.node and node != peer.node:
            raise StreamEndedError(grpc.StatusCode.INVALID_ARGUMENT, "a stream is one node's")
        if peer.certificate is not None and node not in peer.certificate.nodes:
            raise StreamEndedError(grpc.StatusCode.PERMISSION_DENIED, f"the certificate is not for node {node}")
        if not peer.node and self._openings.rejects(node, clock.monotonic_us()):
            raise StreamEndedError(grpc.StatusCode.RESOURCE_EXHAUSTED, "streams are opened too often")
        peer.node = node

    def close_untrusted(self, wall_s: float) -> None:
        """Close the streams whose certificate has expired or whose authority is no longer trusted.

        Args:
            wall_s: The wall clock, in seconds.
        """
        if self._certificates is None:
            return
        for peer in self:
            if peer.certificate is None:
                continue
            if peer.certificate.expires_s <= wall_s:
                peer.close(grpc.StatusCode.UNAUTHENTICATED, "the certificate has ended")
            elif not self._certificates.trusts(peer.certificate.pem):
                peer.close(grpc.StatusCode.UNAUTHENTICATED, "the certificate's authority is not trusted any more")


def _is_node_id(node: str) -> bool:
    return 0 < len(node) <= MAX_NODE_ID_CHARACTERS and node.isprintable() and "/" not in node
