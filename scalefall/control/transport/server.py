"""The control server: gRPC services on top of a control service, from start to stop.

It passes messages on and makes no decisions; the control service interprets them. Each stream has one task that reads
(stream_server.py) at a limited rate (stream_reader.py) and one that writes (peers.py).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import grpc
from envoy.service.discovery.v3 import ads_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2

from scalefall.control.transport import clock, tls
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.load_report_streams import LoadReportStreams
from scalefall.control.transport.options import ServerOptions
from scalefall.control.transport.peers import PeerRegistry
from scalefall.control.transport.quota_streams import QuotaStreams
from scalefall.control.transport.resource_streams import ResourceStreams
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.control.transport.service_factory import build_service
from scalefall.control.transport.state import StateDirectory, StateDirectoryError
from scalefall.control.transport.stream_server import RpcHandler, StreamServer
from scalefall.errors import ConfigurationError
from scalefall.net.config import Config
from scalefall.net.logs import log

MAX_MESSAGE_BYTES = 4_000_000  # one request: enough for 20,000 names of 200 bytes
SAVE_INTERVAL_S = 1.0  # the leader's state is saved, and the clients' certificates are checked, at this interval
STOP_GRACE_S = 1.0  # the time that open streams have to end at shutdown
LEADERSHIP_ATTEMPT_INTERVAL_S = 0.2
LEADERSHIP_ERROR_BACKOFF_S = 5  # further delay after a state directory error
CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", -1),  # no limit: a response grows with the fleet
    ("grpc.max_concurrent_streams", 1000),  # per connection
    ("grpc.so_reuseport", 0),  # a second process cannot listen at the address
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.max_metadata_size", 16_384),  # bytes
]


class ControlServer:
    """Serves a control service over gRPC.

    Attributes:
        service: The control service.
        peers: The open streams.
        leader_state: This process's role, and the state that its successor needs.
        address: The address that it listens at, as `host:port`; empty before start().
    """

    def __init__(
        self,
        config: Config,
        options: ServerOptions,
        directory: StateDirectory,
        certificates: tls.CertificateStore | None,
    ) -> None:
        """Assemble the server; start() opens its sockets.

        Args:
            config: The configuration, with its fleet.
            options: The server's options.
            directory: The state directory.
            certificates: The TLS certificates; None for plaintext.

        Raises:
            ConfigurationError: The configuration has no fleet.
            InconsistentResourcesError: The fleet's resources contradict each other.
        """
        self._options = options
        self._certificates = certificates
        self.service, quotas = build_service(config, options, clock.monotonic_us())
        self.peers = PeerRegistry(certificates)
        self.leader_state = LeaderState(self.service, directory, options.lease_us + options.delay_us)
        self._driver = ServiceDriver(self.service, quotas, self.peers, self.leader_state)
        shared = (self.peers, self._driver, self.leader_state)
        self.resource_streams = ResourceStreams(self.service, *shared, leader_only=options.sharding is not None)
        self.load_report_streams = LoadReportStreams(self.service, quotas, *shared, options.report_us)
        self.quota_streams = QuotaStreams(self.service, quotas, *shared)
        self.address = ""
        self._grpc_server: grpc.aio.Server | None = None
        self._background: list[asyncio.Task[None]] = []
        self.configure(config)

    # -- from start to stop

    async def start(self) -> None:
        """Listen, and become the leader or a standby.

        Raises:
            OSError: The server cannot listen at the address.
            StateDirectoryError: The state directory cannot be used.
        """
        self._driver.start()
        self._grpc_server = grpc.aio.server(options=CHANNEL_OPTIONS)
        self._grpc_server.add_generic_rpc_handlers(self._rpc_handlers())
        port = self._bind(self._grpc_server)
        await self._grpc_server.start()
        self.address = f"{self._options.listen.rpartition(':')[0]}:{port}"
        self.try_to_lead()
        self._background = [
            asyncio.create_task(self._save_periodically()),
            asyncio.create_task(self._become_leader()),
        ]
        self._driver.schedule()

    def _rpc_handlers(self) -> list[grpc.GenericRpcHandler]:
        streams = StreamServer(self.peers, self._driver)
        discovery = ads_pb2.DESCRIPTOR.services_by_name["AggregatedDiscoveryService"].full_name
        load_reports = lrs_pb2.DESCRIPTOR.services_by_name["LoadReportingService"].full_name
        quotas = rlqs_pb2.DESCRIPTOR.services_by_name["RateLimitQuotaService"].full_name
        return [
            _rpc_handler(
                discovery,
                {
                    "StreamAggregatedResources": streams.handler(self.resource_streams.serve_state_of_the_world),
                    "DeltaAggregatedResources": streams.handler(self.resource_streams.serve_incremental),
                },
            ),
            _rpc_handler(load_reports, {"StreamLoadStats": streams.handler(self.load_report_streams.serve)}),
            _rpc_handler(quotas, {"StreamRateLimitQuotas": streams.handler(self.quota_streams.serve)}),
        ]

    def _bind(self, server: grpc.aio.Server) -> int:
        """Bind the address; return its port."""
        listen = self._options.listen
        port = 0
        with contextlib.suppress(RuntimeError):  # gRPC raises it for an address in use, or returns 0
            if self._certificates is None:
                port = server.add_insecure_port(listen)
            else:
                port = server.add_secure_port(listen, self._certificates.credentials())
        if not port:
            raise OSError(f"cannot listen at {listen}")
        return port

    async def stop(self) -> None:
        """Save the leader's state, end the streams and release the leadership."""
        for task in self._background:
            task.cancel()
        self._driver.stop()
        self.leader_state.save(clock.monotonic_us(), clock.wall_us())
        if self._grpc_server is not None:
            await self._grpc_server.stop(STOP_GRACE_S)
        self.leader_state.release()

    # -- configuration

    def configure(self, config: Config) -> None:
        """Apply a fleet at the start or a reload; its changes are queued for the clients when this returns.

        Raises:
            ConfigurationError: The configuration has no fleet.
            InconsistentResourcesError: Its resources contradict each other; nothing has changed.
        """
        fleet = config.fleet
        if fleet is None:
            raise ConfigurationError("the control service needs a configuration with endpoints and routes")
        outgoing = self.service.configure(fleet, clock.monotonic_us())
        self.load_report_streams.use_endpoints(fleet.entries)
        self._driver.send(outgoing)
        generation = self.service.catalog.generation
        endpoints, routes = len(fleet.entries), len(fleet.routes)
        log.info(
            "resources in force: generation %d, %d endpoints on %d routes",
            generation,
            endpoints,
            routes,
            extra={"fields": {"generation": generation, "endpoints": endpoints, "routes": routes}},
        )
        self._driver.write_events()

    # -- leadership

    def try_to_lead(self) -> None:
        """Become the leader unless another process is.

        Raises:
            StateDirectoryError: The state directory cannot be used.
        """
        if self.leader_state.acquire_leadership(clock.monotonic_us(), clock.wall_us()):
            self._driver.schedule()

    async def _become_leader(self) -> None:
        """Try repeatedly until this process is the leader."""
        if not self.leader_state.is_leader:
            log.info("standing by: another process leads on this state directory")
        while not self.leader_state.is_leader:
            await asyncio.sleep(LEADERSHIP_ATTEMPT_INTERVAL_S)
            try:
                self.try_to_lead()
            except StateDirectoryError as error:
                log.error("leadership cannot be acquired: %s; retrying", error)
                await asyncio.sleep(LEADERSHIP_ERROR_BACKOFF_S)

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            self.leader_state.save(clock.monotonic_us(), clock.wall_us())
            self.peers.close_untrusted(clock.wall_us() / 1e6)


def _rpc_handler(service: str, methods: Mapping[str, RpcHandler]) -> grpc.GenericRpcHandler:
    """Return gRPC's handler of a service whose methods are bidirectional streams of serialized messages."""
    handlers = {name: grpc.stream_stream_rpc_method_handler(handler) for name, handler in methods.items()}
    return grpc.method_handlers_generic_handler(service, handlers)
