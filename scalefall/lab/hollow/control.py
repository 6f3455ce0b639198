"""A control instance in the model: `control.service.ControlService` and `control/transport`'s messages, without gRPC.

It does what control/transport does between its sockets and the service: messages are parsed from bytes and made into
bytes, a stream is read no faster than its bucket allows, and steps are run when the service asks for them. What it
leaves out: certificates, the state directory, and the limits of streams and waiting messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from scalefall.assignment.service import ShardGrants
from scalefall.control.grants import Grant
from scalefall.control.members import JoinRejected
from scalefall.control.rate_limits import TokenBucket
from scalefall.control.service import ControlService, Outgoing, ResourceBuilder, RouteEntries
from scalefall.control.streams import CloseStream, Response
from scalefall.control.transport import reports, resources, wire
from scalefall.control.transport.quotas import Quotas, QuotaSession, RouteQuotas, ShardQuotas
from scalefall.control.transport.stream_reader import BYTES_PER_REPEATED_REQUEST, BYTES_PER_REQUEST, REQUEST_RATE
from scalefall.lab.hollow.clock import Timer, VirtualClock
from scalefall.lab.hollow.stopwatch import Stopwatch
from scalefall.lab.proxy import messages
from scalefall.lab.proxy.meter import Kind
from scalefall.net.config import Fleet, RouteRules
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.settings import Settings

TIMER_DELAY_US = 500  # by which an event loop's timer comes late: epoll waits in whole milliseconds, rounded up

Send = Callable[[Kind, bytes], None]


@dataclass(slots=True, frozen=True)
class ControlOptions:
    """As the options of `scalefall control`, with its defaults. Times in us."""

    lease_us: int = 2_000_000
    delay_us: int = 500_000
    endpoint_lease_us: int = 900_000
    report_us: int = 1_000_000
    sharded: bool = False  # destinations among senders: the factory makes a ShardedService
    with_static_resources: bool = True  # listeners, routes and clusters are built too
    max_reported_calls: int = (
        reports.MAX_REPORTED_CALLS
    )  # calls of one endpoint and report that the module is told one by one


class StreamKind(Enum):
    RESOURCES = "resources"
    QUOTA = "quota"
    LOADS = "loads"


@dataclass(slots=True, frozen=True)
class Opening:
    """What a sender says when it opens a stream; the instance goes in the metadata of a quota stream."""

    kind: StreamKind
    node: str
    instance: str
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class _Peer:
    number: int
    opening: Opening
    send: Send
    close: Callable[[], None]
    pace: TokenBucket
    ready_at: int = 0  # when its next message may be read
    begun: bool = False
    leased: bool = False
    quota: QuotaSession = field(default_factory=QuotaSession)


ServiceFactory = Callable[[int, Settings, ResourceBuilder, ControlOptions], ControlService]


def make_service(now: int, settings: Settings, builder: ResourceBuilder, options: ControlOptions) -> ControlService:
    """A service without an assignment: grants by destination."""
    return ControlService(now, settings, 3, builder, options.lease_us, options.delay_us, options.lease_us)


class Control:
    def __init__(
        self,
        clock: VirtualClock,
        settings: Settings,
        fleet: Fleet,
        options: ControlOptions,
        stopwatch: Stopwatch,
        first_grant: int = 0,
        factory: ServiceFactory = make_service,
        snapshot: str | None = None,
    ) -> None:
        """first_grant: grants are numbered above it, as after the durable epoch of an earlier instance. snapshot: the
        assignment that one left."""
        self._clock, self._options, self.stopwatch = clock, options, stopwatch
        self._responses = wire.ResponseEncoder()
        self._peers: dict[int, _Peer] = {}
        self._count = 0
        self._timer: Timer | None = None
        self._armed = 0
        self.stopped = False

        def endpoints(number: int, rows: list, allowed: list[RouteAllowance], now: int) -> object:
            return resources.endpoint_resource(
                number, rows, allowed, now, 0 if options.sharded else options.endpoint_lease_us
            )

        def fixed(rows: RouteEntries, routes: dict[int, RouteRules]) -> list:
            made = resources.static_resources(rows, routes, settings) if options.with_static_resources else []
            return [*made, resources.lease_resource(options.endpoint_lease_us)] if options.sharded else made

        self.service = factory(clock.now, settings, ResourceBuilder(fixed, endpoints), options)
        self._quotas: Quotas = ShardQuotas(self.service) if options.sharded else RouteQuotas(self.service)
        if options.sharded:
            self.service.become_leader(clock.now, first_grant, snapshot)
        else:
            self.service.ledger.resume(first_grant)
        self.configure(fleet)

    def configure(self, fleet: Fleet) -> None:
        self.stopwatch.start()
        self._index = reports.LoadReportIndex(fleet.entries, self._options.max_reported_calls)
        self._send(self.service.configure(fleet, self._clock.now))
        self._plan()
        self.stopwatch.stop()

    def stop(self) -> None:
        """The process ends; its streams with it."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        peers, self._peers = list(self._peers.values()), {}
        for peer in peers:
            peer.close()

    # -- streams

    def accept(self, opening: Opening, send: Send, close: Callable[[], None]) -> int:
        """The number of the new stream. close: called if it is ended from here."""
        self._count += 1
        self._peers[self._count] = _Peer(self._count, opening, send, close, TokenBucket(self._clock.now, *REQUEST_RATE))
        return self._count

    def receive(self, number: int, data: bytes) -> None:
        """A message has arrived; it is read once the ones before it are, at the stream's pace."""
        peer = self._peers.get(number)
        if peer is None:
            return
        if peer.ready_at > self._clock.now:
            self._clock.at(peer.ready_at, lambda: self._read(number, data))
        else:
            self._read(number, data)
        cost = 1 + len(data) // (BYTES_PER_REPEATED_REQUEST if self._repeats(peer) else BYTES_PER_REQUEST)
        peer.ready_at = max(peer.ready_at, self._clock.now + peer.pace.consume(self._clock.now, cost))

    def stream_closed(self, number: int) -> None:
        """The sender's end is gone."""
        if self._peers.pop(number, None) is not None:
            self.stopwatch.start()
            self.service.resource_stream_closed(number)
            self.service.quota_stream_closed(number, self._clock.now)
            self._plan()
            self.stopwatch.stop()

    @property
    def streams(self) -> int:
        return len(self._peers)

    def _repeats(self, peer: _Peer) -> bool:
        return peer.begun and peer.opening.kind is StreamKind.RESOURCES and self.service.repeats_names(peer.number)

    def _read(self, number: int, data: bytes) -> None:
        peer = self._peers.get(number)
        if peer is None:
            return
        self.stopwatch.start()
        match peer.opening.kind:
            case StreamKind.RESOURCES:
                self._resources(peer, messages.DeltaRequest.FromString(data))
            case StreamKind.QUOTA:
                self._quota(peer, messages.QuotaReport.FromString(data))
            case StreamKind.LOADS:
                self._loads(peer, messages.LoadRequest.FromString(data))
        self._plan()
        self.stopwatch.stop()

    def _resources(self, peer: _Peer, message: messages.DeltaRequest) -> None:
        if not peer.begun:
            peer.begun, peer.leased = True, wire.TTL_FEATURE in message.node.client_features
            self.service.resource_stream_opened(peer.number, message.node.id, True, peer.leased)
        self._send(self.service.request(peer.number, wire.delta_request(message), self._clock.now))

    def _quota(self, peer: _Peer, message: messages.QuotaReport) -> None:
        now = self._clock.now
        if not peer.begun:
            peer.begun = True
            opening = peer.opening
            joined = self.service.quota_stream_joined(
                peer.number, opening.node, opening.instance, now, opening.region, opening.zone
            )
            if isinstance(joined, JoinRejected):
                self._cut(peer.number)
                return
            if joined.replaced_stream is not None:
                self._cut(joined.replaced_stream)
        for usage in message.bucket_quota_usages:
            answer = self._quotas.usage_reported(peer.number, peer.quota, usage, now)
            if answer is not None:
                peer.send(Kind.GRANTS, answer)

    def _loads(self, peer: _Peer, message: messages.LoadRequest) -> None:
        if not peer.begun:
            peer.begun = True
            answer = messages.LoadResponse(send_all_clusters=True, report_endpoint_granularity=True)
            answer.load_reporting_interval.FromMicroseconds(self._options.report_us)
            peer.send(Kind.LOADS, answer.SerializeToString())
        now = self._clock.now
        if self._options.sharded:
            self.service.calls_counted(self._index.loads(message.cluster_stats))
        calls = list(self._index.events(message.cluster_stats, now))
        if calls:
            self.service.calls_reported(calls, now)

    # -- turns

    def _plan(self) -> None:
        at = self.service.next_deadline(self._clock.now)
        if self._timer is not None:
            if self._armed <= at:
                return
            self._timer.cancel()
        self._armed = at
        self._timer = self._clock.at(at + TIMER_DELAY_US, self._step)

    def _step(self) -> None:
        self._timer = None
        self.stopwatch.start()
        self._send(self.service.step(self._clock.now))
        self.service.emitted_events.clear()
        self._plan()
        self.stopwatch.stop()

    def _send(self, out: Iterable[Outgoing]) -> None:
        for number, action in out:
            peer = self._peers.get(number)
            if peer is None:
                continue
            if isinstance(action, Response):
                kind = Kind.HEARTBEATS if action.is_heartbeat else Kind.RESOURCES
                peer.send(kind, self._responses.encode(action, True, peer.leased))
            elif isinstance(action, (Grant, ShardGrants)):
                data = self._quotas.grant_message(peer.quota, action)
                if data is not None:
                    peer.send(Kind.GRANTS, data)
            elif isinstance(action, CloseStream):
                self._cut(number)

    def _cut(self, number: int) -> None:
        """Ends a stream from here."""
        peer = self._peers.pop(number, None)
        if peer is not None:
            self.service.resource_stream_closed(number)
            self.service.quota_stream_closed(number, self._clock.now)
            peer.close()
