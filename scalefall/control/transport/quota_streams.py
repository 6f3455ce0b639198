"""Quota streams (RLQS): the processes that make calls, the demand that they report, and their grants.

A process gives its identity in the metadata scalefall-node and scalefall-instance, or in its domain alone, and its
locality in scalefall-region and scalefall-zone. Source: envoy.service.rate_limit_quota.v3.
"""

from __future__ import annotations

from collections.abc import Mapping

import grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2

from scalefall.control.members import JoinRejected
from scalefall.control.transport import clock
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEndedError
from scalefall.control.transport.quotas import Quotas
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.control.transport.services import AnyControlService
from scalefall.control.transport.stream_reader import read_messages

MAX_LOCALITY_CHARACTERS = 64  # longer regions and zones are truncated, as they are only stored and compared
MAX_INSTANCE_CHARACTERS = 64  # longer instance ids are truncated


class QuotaStreams:
    """Serves quota streams."""

    def __init__(
        self,
        service: AnyControlService,
        quotas: Quotas,
        peers: PeerRegistry,
        driver: ServiceDriver,
        leader_state: LeaderState,
    ) -> None:
        """Store the service, the conversion of its messages, the open streams, the driver and the role."""
        self._service = service
        self._quotas = quotas
        self._peers = peers
        self._driver = driver
        self._leader_state = leader_state

    async def serve(self, peer: Peer) -> None:
        """Serve one stream."""
        metadata = _text_metadata(peer.context)
        async for message in read_messages(peer, rlqs_pb2.RateLimitQuotaUsageReports):
            now_us = clock.monotonic_us()
            self._leader_state.require_leadership()
            if not peer.node:
                self._peers.identify(peer, metadata.get("scalefall-node") or message.domain)
                self._join(peer, metadata, now_us)
            for usage in message.bucket_quota_usages:
                answer = self._quotas.usage_reported(peer.number, peer.quota, usage, now_us)
                if answer is not None:
                    peer.send(answer)
            self._driver.schedule()

    def _join(self, peer: Peer, metadata: Mapping[str, str], now_us: int) -> None:
        """Register the process as a member; close an earlier stream of the same process.

        Raises:
            StreamEndedError: Too many processes have the same node id.
        """
        joined = self._service.quota_stream_joined(
            peer.number,
            peer.node,
            metadata.get("scalefall-instance", "")[:MAX_INSTANCE_CHARACTERS],
            now_us,
            metadata.get("scalefall-region", "")[:MAX_LOCALITY_CHARACTERS],
            metadata.get("scalefall-zone", "")[:MAX_LOCALITY_CHARACTERS],
        )
        if isinstance(joined, JoinRejected):
            raise StreamEndedError(grpc.StatusCode.RESOURCE_EXHAUSTED, f"too many processes are node {peer.node}")
        replaced = self._peers.get(joined.replaced_stream) if joined.replaced_stream is not None else None
        if replaced is not None:
            replaced.close(grpc.StatusCode.ABORTED, "the same process has opened another stream")


def _text_metadata(context: grpc.aio.ServicerContext) -> dict[str, str]:
    """Return the stream's metadata without the binary entries."""
    return {key: value for key, value in context.invocation_metadata() or () if isinstance(value, str)}
