"""A control instance in the model: `control.service.ControlService` and `control/transport`'s messages, without gRPC.

It does what control/transport does between its sockets and the service: it parses messages from bytes and serializes
them, reads a stream no faster than its rate limit, and runs steps when the service asks for them. Left out:
certificates, the state directory, and the limits on streams and on messages that wait to be read.
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

TIMER_DELAY_US = 500  # lateness of an event loop's timer: epoll waits in whole milliseconds, rounded up

Send = Callable[[Kind, bytes], None]


@dataclass(slots=True, frozen=True)
class ControlOptions:
    """The options of `scalefall control`, with its defaults. Times in us.

    Attributes:
        lease_us: Lease of grants.
        delay_us: The delay of messages that the service allows for.
        endpoint_lease_us: Time to live of endpoint lists.
        report_us: Interval of load reports.
        sharded: Destinations are divided among senders; the factory then makes a ShardedService.
        with_static_resources: Listeners, routes and clusters are built too.
        max_reported_calls: Calls of one endpoint and load report that become an event each.
    """

    lease_us: int = 2_000_000
    delay_us: int = 500_000
    endpoint_lease_us: int = 900_000
    report_us: int = 1_000_000
    sharded: bool = False
    with_static_resources: bool = True
    max_reported_calls: int = reports.MAX_REPORTED_CALLS


class StreamKind(Enum):
    """The service that a stream belongs to."""

    RESOURCES = "resources"
    QUOTA = "quota"
    LOADS = "loads"


@dataclass(slots=True, frozen=True)
class Opening:
    """What identifies a sender when it opens a stream; `instance` is in the metadata of a quota stream."""

    kind: StreamKind
    node: str
    instance: str
    region: str = ""
    zone: str = ""


@dataclass(slots=True)
class _Stream:
    number: int
    opening: Opening
    send: Send
    close: Callable[[], None]
    bucket: TokenBucket
    ready_at: int = 0  # when its next message may be read
    opened: bool = False  # its first message was read
    supports_ttl: bool = False
    quota: QuotaSession = field(default_factory=QuotaSession)


ServiceFactory = Callable[[int, Settings, ResourceBuilder, ControlOptions], ControlService]


def make_service(now: int, settings: Settings, builder: ResourceBuilder, options: ControlOptions) -> ControlService:
    """Return a service without an assignment, with grants by destination."""
    return ControlService(now, settings, 3, builder, options.lease_us, options.delay_us, options.lease_us)


class Control:
    """One instance of the control service, with its streams."""

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
        """Start, and configure the service.

        first_grant: grants are numbered above it, as after the durable epoch of an earlier instance.
        snapshot: the assignment that an earlier instance saved.
        """
        self._clock, self._options, self.stopwatch = clock, options, stopwatch
        self._responses = wire.ResponseEncoder()
        self._streams: dict[int, _Stream] = {}
        self._last_stream = 0
        self._timer: Timer | None = None
        self._timer_at = 0
        self.stopped = False

        def endpoints(number: int, rows: list, allowed: list[RouteAllowance], now: int) -> object:
            return resources.endpoint_resource(
                number, rows, allowed, now, 0 if options.sharded else options.endpoint_lease_us
            )

        def static_resources(rows: RouteEntries, routes: dict[int, RouteRules]) -> list:
            built = resources.static_resources(rows, routes, settings) if options.with_static_resources else []
            return [*built, resources.lease_resource(options.endpoint_lease_us)] if options.sharded else built

        self.service = factory(clock.now, settings, ResourceBuilder(static_resources, endpoints), options)
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
        self._schedule_step()
        self.stopwatch.stop()

    def stop(self) -> None:
        """End the process and its streams."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        streams, self._streams = list(self._streams.values()), {}
        for stream in streams:
            stream.close()

    # -- streams

    def accept(self, opening: Opening, send: Send, close: Callable[[], None]) -> int:
        """Return the number of a new stream. close: called when the service ends it."""
        self._last_stream += 1
        self._streams[self._last_stream] = _Stream(
            self._last_stream, opening, send, close, TokenBucket(self._clock.now, *REQUEST_RATE)
        )
        return self._last_stream

    def receive(self, number: int, data: bytes) -> None:
        """Receive a message, which is read after those before it, within the stream's rate limit."""
        stream = self._streams.get(number)
        if stream is None:
            return
        if stream.ready_at > self._clock.now:
            self._clock.at(stream.ready_at, lambda: self._read(number, data))
        else:
            self._read(number, data)
        cost = 1 + len(data) // (BYTES_PER_REPEATED_REQUEST if self._repeats_names(stream) else BYTES_PER_REQUEST)
        stream.ready_at = max(stream.ready_at, self._clock.now + stream.bucket.consume(self._clock.now, cost))

    def stream_closed(self, number: int) -> None:
        """Process the end of a stream at the sender."""
        if self._streams.pop(number, None) is not None:
            self.stopwatch.start()
            self.service.resource_stream_closed(number)
            self.service.quota_stream_closed(number, self._clock.now)
            self._schedule_step()
            self.stopwatch.stop()

    @property
    def streams(self) -> int:
        return len(self._streams)

    def _repeats_names(self, stream: _Stream) -> bool:
        return (
            stream.opened and stream.opening.kind is StreamKind.RESOURCES and self.service.repeats_names(stream.number)
        )

    def _read(self, number: int, data: bytes) -> None:
        stream = self._streams.get(number)
        if stream is None:
            return
        self.stopwatch.start()
        match stream.opening.kind:
            case StreamKind.RESOURCES:
                self._resources(stream, messages.DeltaRequest.FromString(data))
            case StreamKind.QUOTA:
                self._quota(stream, messages.QuotaReport.FromString(data))
            case StreamKind.LOADS:
                self._loads(stream, messages.LoadRequest.FromString(data))
        self._schedule_step()
        self.stopwatch.stop()

    def _resources(self, stream: _Stream, message: messages.DeltaRequest) -> None:
        if not stream.opened:
            stream.opened, stream.supports_ttl = True, wire.TTL_FEATURE in message.node.client_features
            self.service.resource_stream_opened(stream.number, message.node.id, True, stream.supports_ttl)
        self._send(self.service.request(stream.number, wire.parse_delta_request(message), self._clock.now))

    def _quota(self, stream: _Stream, message: messages.QuotaReport) -> None:
        now = self._clock.now
        if not stream.opened:
            stream.opened = True
            opening = stream.opening
            joined = self.service.quota_stream_joined(
                stream.number, opening.node, opening.instance, now, opening.region, opening.zone
            )
            if isinstance(joined, JoinRejected):
                self._end_stream(stream.number)
                return
            if joined.replaced_stream is not None:
                self._end_stream(joined.replaced_stream)
        for usage in message.bucket_quota_usages:
            answer = self._quotas.usage_reported(stream.number, stream.quota, usage, now)
            if answer is not None:
                stream.send(Kind.GRANTS, answer)

    def _loads(self, stream: _Stream, message: messages.LoadRequest) -> None:
        if not stream.opened:
            stream.opened = True
            answer = messages.LoadResponse(send_all_clusters=True, report_endpoint_granularity=True)
            answer.load_reporting_interval.FromMicroseconds(self._options.report_us)
            stream.send(Kind.LOADS, answer.SerializeToString())
        now = self._clock.now
        if self._options.sharded:
            self.service.calls_counted(self._index.loads(message.cluster_stats))
        calls = list(self._index.events(message.cluster_stats, now))
        if calls:
            self.service.calls_reported(calls, now)

    # -- steps

    def _schedule_step(self) -> None:
        deadline = self.service.next_deadline(self._clock.now)
        if self._timer is not None:
            if self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        self._timer = self._clock.at(deadline + TIMER_DELAY_US, self._step)

    def _step(self) -> None:
        self._timer = None
        self.stopwatch.start()
        self._send(self.service.step(self._clock.now))
        self.service.emitted_events.clear()
        self._schedule_step()
        self.stopwatch.stop()

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for number, action in outgoing:
            stream = self._streams.get(number)
            if stream is None:
                continue
            if isinstance(action, Response):
                kind = Kind.HEARTBEATS if action.is_heartbeat else Kind.RESOURCES
                stream.send(kind, self._responses.encode(action, True, stream.supports_ttl))
            elif isinstance(action, (Grant, ShardGrants)):
                data = self._quotas.grant_message(stream.quota, action)
                if data is not None:
                    stream.send(Kind.GRANTS, data)
            elif isinstance(action, CloseStream):
                self._end_stream(number)

    def _end_stream(self, number: int) -> None:
        """End a stream from the service's side."""
        stream = self._streams.pop(number, None)
        if stream is not None:
            self.service.resource_stream_closed(number)
            self.service.quota_stream_closed(number, self._clock.now)
            stream.close()
