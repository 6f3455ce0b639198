"""The control service on the network: grpc.aio, ADS in both forms, load reports, quotas. It moves messages and decides
nothing; what a message means is service.py's and its parts'.

Each stream is one task that reads and one that writes. Reading is paced (rate_limits.py), and a client that reads
slowly holds up its own writer alone: what it may have waiting is bounded by its streams' windows, or it is cut off.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import grpc
from envoy.service.discovery.v3 import ads_pb2, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from google.protobuf.message import DecodeError

from scalefall import interface as i
from scalefall.assignment.assembly import AssignmentSettings
from scalefall.assignment.service import ShardedService, ShardGrants
from scalefall.control.rate_limits import TokenBucket, ClientRateLimiter
from scalefall.control.transport import reports, resources, state, tls, wire
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.quotas import Quotas, QuotaSession, RouteQuotas, ShardQuotas
from scalefall.control.grants import Grant
from scalefall.control.members import JoinRejected
from scalefall.control.service import ResourceBuilder, Outgoing, RouteEntries, ControlService
from scalefall.control.streams import CloseStream, ResponseRejected, Response
from scalefall.net.checks import log
from scalefall.net.config import Config, RouteRules

Code = grpc.StatusCode
MOST_MESSAGE = 4_000_000  # bytes of one request: 20,000 names of 200 bytes
MOST_STREAMS = 5_000
MOST_WAITING = 2_000  # messages that one stream may have to be read
FIRST_S = 10  # a stream that has not said who it is by then
MOST_NODE = 256
MOST_PLACE, MOST_INSTANCE = 64, 64  # characters of a region or zone, and of an instance
ELSEWHERE = "another process grants here"
REQUEST_RATE = (200, 100)  # requests of one stream: at once, and a second
BYTES_PER_REQUEST, BYTES_PER_REPEATED_REQUEST = (
    1_000,
    20_000,
)  # bytes that cost as much as a request; where it repeats the last one's names
OPEN = (50, 10)  # streams of one node likewise
KEEP_S = 1.0  # between looks at what has to outlast the process
ENDS_S = 1.0  # for streams to end in at the end of the process
TAKE_S = 0.2  # between tries to be the one that grants
OPTIONS = [
    ("grpc.max_receive_message_length", MOST_MESSAGE),
    ("grpc.max_send_message_length", -1),
    ("grpc.max_concurrent_streams", 1000),
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
    ("grpc.max_metadata_size", 16_384),
]


@dataclass(slots=True, frozen=True)
class ShardingOptions:
    """How destinations are divided among senders."""

    shards: int
    move_after_us: int  # a sender that is silent for so long loses its shards to others
    sender_load: float  # calls a second that one sender is to carry of a single destination; 0: any


@dataclass(slots=True, frozen=True)
class ServerOptions:
    listen: str
    lease_us: int
    delay_us: int
    endpoint_lease_us: int
    report_us: int
    sharding: ShardingOptions | None = None  # None: every client gets everything


@dataclass(slots=True)
class Peer:
    """One stream."""

    number: int
    context: grpc.aio.ServicerContext
    task: asyncio.Task
    names: frozenset[str] | None  # the node ids that its certificate is for; None: plain text
    certificate: bytes
    ends: float  # when that ends, by the wall clock
    incremental: bool = False
    leased: bool = False  # it knows times to live
    node: str = ""
    repeats: bool = False  # its last request had the names of the one before
    waiting: deque[bytes] = field(default_factory=deque)
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    closing: tuple[Code, str] | None = None
    quota: QuotaSession = field(default_factory=QuotaSession)  # of a quota stream


class Ended(Exception):
    """The stream is to end with this status."""

    def __init__(self, code: Code, text: str) -> None:
        super().__init__(text)
        self.code, self.text = code, text


class ControlServer:
    def __init__(
        self, config: Config, options: ServerOptions, folder: state.StateDirectory, held: tls.CertificateStore | None
    ) -> None:
        self._options, self._keys = options, held
        self._settings, self._seed = config.settings, config.seed
        self._numbers = itertools.count(1)
        self._peers: dict[int, Peer] = {}
        self._opened = ClientRateLimiter(*OPEN, 10_000)
        self._responses = wire.ResponseEncoder()
        self._index = reports.LoadReportIndex(())
        self._timer: asyncio.TimerHandle | None = None
        self._armed = 0  # when it comes
        self._beside: list[asyncio.Task] = []
        self.service = self._new_service()
        self._leader_state = LeaderState(self.service, folder, options.lease_us + options.delay_us)
        self.address = ""
        self._server: grpc.aio.Server | None = None
        self.configure(config)

    def _new_service(self) -> ControlService:
        ttl_us, divided = self._options.endpoint_lease_us, self._options.sharding is not None

        def endpoints(number: int, rows: list, allowed: list[i.Allowed], now: int) -> object:
            return resources.endpoint_resource(number, rows, allowed, now, 0 if divided else ttl_us)

        def fixed(rows: RouteEntries, routes: dict[int, RouteRules]) -> list:
            made = resources.static_resources(rows, routes, self._settings)
            return [*made, resources.lease_resource(ttl_us)] if divided else made

        service = self._build_service(ResourceBuilder(fixed, endpoints))
        service.ledger.step_down()
        return service

    def _build_service(self, builder: ResourceBuilder) -> ControlService:
        options, now = self._options, _now()
        common = (now, self._settings, self._seed, builder, options.lease_us, options.delay_us, options.lease_us)
        if options.sharding is None:
            service = ControlService(*common)
            self._quotas: Quotas = RouteQuotas(service)
            return service
        sharding = options.sharding
        assignment = AssignmentSettings(
            sharding.shards, options.lease_us, options.delay_us, sharding.move_after_us, sharding.sender_load
        )
        service = ShardedService(*common, assignment)
        self._quotas = ShardQuotas(service)
        return service

    # -- life

    async def start(self) -> None:
        """OSError if the address can't be had."""
        self._server = grpc.aio.server(options=OPTIONS)
        self._server.add_generic_rpc_handlers(
            [
                _handlers(
                    ads_pb2.DESCRIPTOR.services_by_name["AggregatedDiscoveryService"].full_name,
                    {
                        "StreamAggregatedResources": self._stream(self._whole),
                        "DeltaAggregatedResources": self._stream(self._delta),
                    },
                ),
                _handlers(
                    lrs_pb2.DESCRIPTOR.services_by_name["LoadReportingService"].full_name,
                    {"StreamLoadStats": self._stream(self._load)},
                ),
                _handlers(
                    rlqs_pb2.DESCRIPTOR.services_by_name["RateLimitQuotaService"].full_name,
                    {"StreamRateLimitQuotas": self._stream(self._quota)},
                ),
            ]
        )
        try:
            port = (
                self._server.add_insecure_port(self._options.listen)
                if self._keys is None
                else self._server.add_secure_port(self._options.listen, self._keys.credentials())
            )
        except RuntimeError:
            port = 0
        if not port:
            raise OSError(f"cannot listen at {self._options.listen}")
        await self._server.start()
        self.address = f"{self._options.listen.rpartition(':')[0]}:{port}"
        self._take()
        self._beside = [asyncio.create_task(self._keep()), asyncio.create_task(self._take_over())]
        self._plan()

    async def stop(self) -> None:
        for task in self._beside:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._leader_state.save(_now(), _wall())
        await self._server.stop(ENDS_S)
        self._leader_state.release()

    def configure(self, config: Config) -> None:
        """A fleet, at the start or read again: its changes are on their way when this returns. Inconsistent, and
        nothing changed, if it can't be."""
        fleet = config.fleet
        out = self.service.configure(fleet, _now())
        self._index = reports.LoadReportIndex(fleet.entries)
        self._send(out)
        log.info(
            "resources in force: generation %d, %d endpoints on %d routes",
            self.service.catalog.generation,
            len(fleet.entries),
            len(fleet.routes),
            extra={
                "fields": {
                    "generation": self.service.catalog.generation,
                    "endpoints": len(fleet.entries),
                    "routes": len(fleet.routes),
                }
            },
        )
        self._say()

    # -- who grants, and what outlasts the process

    @property
    def granting(self) -> bool:
        """Whether this process is the one that grants."""
        return self._leader_state.granting

    def _take(self) -> None:
        if self._leader_state.acquire_leadership(_now(), _wall()):
            self._plan()

    async def _take_over(self) -> None:
        if not self.granting:
            log.info("standing by: another process grants on this folder")
        while not self.granting:
            await asyncio.sleep(TAKE_S)
            try:
                self._take()
            except state.StateDirectoryError as error:
                log.error("cannot grant: %s", error)
                await asyncio.sleep(5)

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(KEEP_S)
            self._leader_state.save(_now(), _wall())
            wall = time.time()
            for peer in list(self._peers.values()):
                if peer.ends <= wall:
                    self._cut(peer, Code.UNAUTHENTICATED, "the certificate has ended")
                elif peer.certificate and self._keys is not None and not self._keys.trusts(peer.certificate):
                    self._cut(peer, Code.UNAUTHENTICATED, "the certificate's authority is not trusted any more")

    # -- time

    def _plan(self) -> None:
        if self._server is None:
            return
        now = _now()
        at = self.service.next_deadline(now)
        if self._timer is not None:
            if self._armed <= at:
                return  # it comes early enough, and plans anew then
            self._timer.cancel()
        self._armed = at
        self._timer = asyncio.get_running_loop().call_later((at - now) / 1e6, self._step)

    def _step(self) -> None:
        self._timer = None
        self._send(self.service.step(_now()))
        self._leader_state.reserve_numbers()
        self._say()
        self._plan()

    def _say(self) -> None:
        told, self.service.emitted_events = self.service.emitted_events, []
        for row in told:
            level = logging.DEBUG if row.is_debug else logging.INFO
            if log.isEnabledFor(level):
                log.log(
                    level,
                    f"{row.event}: %s",
                    " ".join(f"{key}={value}" for key, value in row.fields.items()),
                    extra={"fields": row.fields},
                )

    # -- what goes out

    def _send(self, out: Iterable[Outgoing]) -> None:
        for number, action in out:
            peer = self._peers.get(number)
            if peer is None:
                continue
            if isinstance(action, Response):
                self._put(peer, self._responses.encode(action, peer.incremental, peer.leased))
            elif isinstance(action, (Grant, ShardGrants)):
                data = self._quotas.grant_message(peer.quota, action)
                if data is not None and self.granting:
                    self._put(peer, data)
            elif isinstance(action, ResponseRejected):
                log.warning(
                    "rejected: %s keeps what it had of %s: %s",
                    peer.node,
                    ", ".join(action.names),
                    action.text,
                    extra={"fields": {"node": peer.node, "type": action.type, "names": action.names}},
                )
            elif isinstance(action, CloseStream):
                self._cut(peer, Code.INVALID_ARGUMENT, action.reason)

    def _put(self, peer: Peer, data: bytes) -> None:
        peer.waiting.append(data)
        peer.ready.set()
        if len(peer.waiting) > MOST_WAITING:
            self._cut(peer, Code.RESOURCE_EXHAUSTED, "it does not read what it is sent")

    def _cut(self, peer: Peer, code: Code, text: str) -> None:
        if peer.closing is None:
            peer.closing = (code, text)
            peer.task.cancel()

    async def _write(self, peer: Peer) -> None:
        while True:
            await peer.ready.wait()
            while peer.waiting:
                await peer.context.write(peer.waiting.popleft())
            peer.ready.clear()

    # -- what comes in

    def _stream(self, serve: Callable[[Peer], Awaitable[None]]) -> Callable:
        """A handler of one kind of stream: its writer, and how it ends."""

        async def handle(_: object, context: grpc.aio.ServicerContext) -> None:
            peer = self._admit(context)
            if isinstance(peer, Ended):
                await context.abort(peer.code, peer.text)
            writer = asyncio.create_task(self._write(peer))
            ended: Ended | None = None
            try:
                await serve(peer)
            except Ended as end:
                ended = end
            except asyncio.CancelledError:
                if peer.closing is None:
                    raise
                ended = Ended(*peer.closing)
            except (grpc.aio.BaseError, grpc.RpcError):
                pass  # it is gone
            finally:
                writer.cancel()
                self._peers.pop(peer.number, None)
                self.service.resource_stream_closed(peer.number)
                self.service.quota_stream_closed(peer.number, _now())
                self._say()
                if self._timer is not None:
                    self._plan()
            if ended is not None:
                log.warning(
                    "stream ended: %s at %s: %s",
                    peer.node or "a client that did not say who it is",
                    context.peer(),
                    ended.text,
                    extra={"fields": {"node": peer.node, "status": ended.code.name}},
                )
                await context.abort(ended.code, ended.text)

        return handle

    def _admit(self, context: grpc.aio.ServicerContext) -> Peer | Ended:
        if len(self._peers) >= MOST_STREAMS:
            return Ended(Code.RESOURCE_EXHAUSTED, f"{MOST_STREAMS} streams are open")
        names, certificate, ends = None, b"", float("inf")
        if self._keys is not None:
            auth = context.auth_context()
            certificate = next(iter(auth.get("x509_pem_cert", ())), b"")
            names, ends = tls.identity(certificate)
            if not names:
                return Ended(Code.UNAUTHENTICATED, "the certificate names no node")
        peer = Peer(next(self._numbers), context, asyncio.current_task(), names, certificate, ends)
        self._peers[peer.number] = peer
        return peer

    def _identify(self, peer: Peer, node: str) -> None:
        if not node or len(node) > MOST_NODE or not node.isprintable() or "/" in node:
            raise Ended(Code.INVALID_ARGUMENT, f"a node id is 1 to {MOST_NODE} printable characters without a slash")
        if peer.node and node != peer.node:
            raise Ended(Code.INVALID_ARGUMENT, "a stream is one node's")
        if peer.names is not None and node not in peer.names:
            raise Ended(Code.PERMISSION_DENIED, f"the certificate is not for node {node}")
        if not peer.node and self._opened.rejects(node, _now()):
            raise Ended(Code.RESOURCE_EXHAUSTED, "streams are opened too often")
        peer.node = node

    async def _messages(self, peer: Peer, kind: type) -> object:
        """The stream's messages, no faster than they may come."""
        pace = TokenBucket(_now(), *REQUEST_RATE)
        while True:
            if peer.node:
                data = await peer.context.read()
            else:
                try:
                    data = await asyncio.wait_for(peer.context.read(), FIRST_S)
                except asyncio.TimeoutError:
                    raise Ended(Code.DEADLINE_EXCEEDED, f"nothing said in {FIRST_S} s") from None
            if data is grpc.aio.EOF:
                return
            message = kind()
            try:
                message.ParseFromString(data)
            except DecodeError:
                raise Ended(Code.INVALID_ARGUMENT, "that is no message of this protocol") from None
            yield message
            wait = pace.consume(
                _now(), 1 + len(data) // (BYTES_PER_REPEATED_REQUEST if peer.repeats else BYTES_PER_REQUEST)
            )
            if wait:
                await asyncio.sleep(wait / 1e6)

    async def _whole(self, peer: Peer) -> None:
        await self._resources(peer, discovery_pb2.DiscoveryRequest, wire.request)

    async def _delta(self, peer: Peer) -> None:
        peer.incremental = True
        await self._resources(peer, discovery_pb2.DeltaDiscoveryRequest, wire.delta_request)

    async def _resources(self, peer: Peer, kind: type, read: Callable) -> None:
        async for message in self._messages(peer, kind):
            if self._options.sharding is not None and not self.granting:
                raise Ended(Code.UNAVAILABLE, ELSEWHERE)  # who has which destinations is known to the one that grants
            if not peer.node:
                self._identify(peer, message.node.id)
                peer.leased = wire.TTL_FEATURE in message.node.client_features
                self.service.resource_stream_opened(peer.number, peer.node, peer.incremental, peer.leased)
            elif message.node.id:
                self._identify(peer, message.node.id)
            self._send(self.service.request(peer.number, read(message), _now()))
            peer.repeats = self.service.repeats(peer.number)
            self._plan()

    async def _load(self, peer: Peer) -> None:
        async for message in self._messages(peer, lrs_pb2.LoadStatsRequest):
            if not self.granting:
                raise Ended(Code.UNAVAILABLE, ELSEWHERE)
            if not peer.node:
                self._identify(peer, message.node.id)
                answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
                answer.load_reporting_interval.FromMicroseconds(self._options.report_us)
                self._put(peer, answer.SerializeToString())
            now = _now()
            if self._options.sharding is not None:
                self.service.counted(self._index.loads(message.cluster_stats))
            calls = list(self._index.events(message.cluster_stats, now))
            if calls:
                self.service.calls_reported(calls, now)
                self._plan()

    async def _quota(self, peer: Peer) -> None:
        """A process names itself by the metadata scalefall-node and scalefall-instance, or by its domain alone; where
        it stands, by scalefall-region and scalefall-zone."""
        said = {key: value for key, value in peer.context.invocation_metadata() or () if isinstance(value, str)}
        async for message in self._messages(peer, rlqs_pb2.RateLimitQuotaUsageReports):
            now = _now()
            if not self.granting:
                raise Ended(Code.UNAVAILABLE, ELSEWHERE)
            if not peer.node:
                self._identify(peer, said.get("scalefall-node") or message.domain)
                place = [said.get(f"scalefall-{word}", "")[:MOST_PLACE] for word in ("region", "zone")]
                instance = said.get("scalefall-instance", "")[:MOST_INSTANCE]
                joined = self.service.quota_stream_joined(peer.number, peer.node, instance, now, *place)
                if isinstance(joined, JoinRejected):
                    raise Ended(Code.RESOURCE_EXHAUSTED, f"too many processes are node {peer.node}")
                if joined.replaced_stream is not None and joined.replaced_stream in self._peers:
                    self._cut(
                        self._peers[joined.replaced_stream], Code.ABORTED, "the same process has opened another stream"
                    )
            for usage in message.bucket_quota_usages:
                answer = self._quotas.usage_reported(peer.number, peer.quota, usage, now)
                if answer is not None:
                    self._put(peer, answer)
            self._plan()


def _handlers(service: str, methods: dict[str, Callable]) -> grpc.GenericRpcHandler:
    return grpc.method_handlers_generic_handler(
        service, {name: grpc.stream_stream_rpc_method_handler(serve) for name, serve in methods.items()}
    )


def _now() -> int:
    return time.monotonic_ns() // 1000


def _wall() -> int:
    return time.time_ns() // 1000
