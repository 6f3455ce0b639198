"""Resource streams: the aggregated discovery service (ADS), state-of-the-world and incremental.

Source: envoy.service.discovery.v3.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from envoy.service.discovery.v3 import discovery_pb2

from scalefall.control.streams import Request
from scalefall.control.transport import clock, wire
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.peers import Peer, PeerRegistry
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.control.transport.services import AnyControlService
from scalefall.control.transport.stream_reader import read_messages

DiscoveryRequest: TypeAlias = discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest


class ResourceStreams:
    """Serves resource streams."""

    def __init__(
        self,
        service: AnyControlService,
        peers: PeerRegistry,
        driver: ServiceDriver,
        leader_state: LeaderState,
        leader_only: bool,
    ) -> None:
        """Store the parts that the streams use.

        Args:
            service: Decides the responses.
            peers: The open streams.
            driver: Sends the responses.
            leader_state: This process's role.
            leader_only: Whether only the leader serves resources, as where destinations are sharded: a standby does not
                know the assignment.
        """
        self._service = service
        self._peers = peers
        self._driver = driver
        self._leader_state = leader_state
        self._leader_only = leader_only

    async def serve_state_of_the_world(self, peer: Peer) -> None:
        """Serve a stream whose responses carry all resources of a type."""
        await self._serve(peer, discovery_pb2.DiscoveryRequest, wire.parse_request)

    async def serve_incremental(self, peer: Peer) -> None:
        """Serve a stream whose responses carry only the changes."""
        peer.incremental = True
        await self._serve(peer, discovery_pb2.DeltaDiscoveryRequest, wire.parse_delta_request)

    async def _serve(
        self,
        peer: Peer,
        new_message: Callable[[], DiscoveryRequest],
        parse: Callable[[DiscoveryRequest], Request],
    ) -> None:
        async for message in read_messages(peer, new_message):
            if self._leader_only:
                self._leader_state.require_leadership()
            self._identify(peer, message)
            self._driver.send(self._service.request(peer.number, parse(message), clock.monotonic_us()))
            peer.repeats_names = self._service.repeats_names(peer.number)
            self._driver.schedule()

    def _identify(self, peer: Peer, message: DiscoveryRequest) -> None:
        """Set the node from the first message; later ones may omit it."""
        if peer.node:
            if message.node.id:
                self._peers.identify(peer, message.node.id)
            return
        self._peers.identify(peer, message.node.id)
        peer.supports_ttl = wire.TTL_FEATURE in message.node.client_features
        self._service.resource_stream_opened(peer.number, peer.node, peer.incremental, peer.supports_ttl)
