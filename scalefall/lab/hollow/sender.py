"""A hollow sender: the real contract and its messages, with the model's links, clock and traffic.

Three streams use one link, as in lab/proxy/__main__.py: resources, quota and load reports. When the link is reset or
the control service ends, all three are reopened after a pause. For each message of its traffic the contract decides
whether it is sent; a call ends at once, successfully unless its destination is down, and is in the next load report.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from scalefall.control.transport import resources
from scalefall.lab.hollow.clock import VirtualClock
from scalefall.lab.hollow.control import Control, Opening, StreamKind
from scalefall.lab.hollow.grants import DestinationGrants
from scalefall.lab.hollow.link import Link
from scalefall.lab.hollow.stopwatch import Stopwatch
from scalefall.lab.proxy import messages
from scalefall.lab.proxy.contract import Contract, Fallback, Send
from scalefall.lab.proxy.meter import Direction, Kind
from scalefall.policy.events import Outcome

RECONNECT_DELAY_US = 300_000  # as RECONNECT_DELAY_S of lab/proxy/__main__.py
RECONNECT_JITTER_US = 700_000  # approximates the gRPC backoff of lab/proxy/__main__.py

Traffic = Iterator[tuple[int, int]]  # (us since the event before, destination)


@dataclass(slots=True)
class Outcomes:
    """The messages of a sender so far."""

    sent: int = 0
    refused: int = 0
    fell_back: int = 0  # handed to the sender's ingress


class HollowSender:
    """One process of a sender."""

    def __init__(
        self,
        clock: VirtualClock,
        control: Callable[[], Control | None],
        link: Link,
        node: str,
        instance: str,
        routes: list[int],
        random_: random.Random,
        stopwatch: Stopwatch,
        traffic: Traffic | None = None,
        is_down: Callable[[int], bool] = lambda _destination: False,
        outcomes: Outcomes | None = None,
    ) -> None:
        """Make a process that has not connected yet.

        control: returns the control instance, or None while it is down.
        is_down: returns whether calls to a destination fail.
        outcomes: counters that continue those of an earlier process in the same place.
        """
        self._clock, self._control, self._link = clock, control, link
        self.node, self.instance, self._routes = node, instance, routes
        self._random, self._stopwatch, self._traffic, self._is_down = random_, stopwatch, traffic or iter(()), is_down
        self.contract = Contract(routes)
        self.grants = DestinationGrants(node, self.contract)
        self.outcomes = outcomes or Outcomes()
        self.last_change = -1  # arrival of the last list
        self._calls: dict[tuple[int, str], list[messages.Call]] = defaultdict(list)
        self._without_list: set[int] = set()  # routes whose list has not arrived on this stream
        self._session = 0  # generation of the streams: timers and messages of earlier ones are dropped
        self._streams: list[tuple[Control, int]] = []
        self._ended = False
        link.on_reset = self._reset

    def start(self) -> None:
        self._connect()
        self._schedule_message()

    def end(self, silently: bool) -> None:
        """End the process. silently: as with its machine, without closing its streams."""
        self._ended = True
        self._session += 1
        if not silently:
            self._close_streams()
        self._link.close()
        self._link.on_reset = self._close_streams  # once the service's keepalive expires

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._ended

    def stream_closed(self) -> None:
        """Reconnect: the control service has ended a stream, or has ended itself."""
        if not self._ended:
            self._reset()

    # -- streams

    def _reset(self) -> None:
        self._close_streams()
        self._session += 1
        self._schedule_reconnect()

    def _close_streams(self) -> None:
        streams, self._streams = self._streams, []
        for control, number in streams:
            control.stream_closed(number)

    def _schedule_reconnect(self) -> None:
        session = self._session
        pause = RECONNECT_DELAY_US + self._random.randint(0, RECONNECT_JITTER_US)
        self._clock.after(pause, lambda: self._connect() if session == self._session else None)

    def _connect(self) -> None:
        control = self._control()
        if control is None or self._link.is_cut:
            self._schedule_reconnect()
            return
        self._session += 1
        self._without_list = set(self._routes)
        self.contract.stream_opened(self._clock.now)
        self._stopwatch.start()
        subscription = messages.subscription(self.node, self._names())
        self._stopwatch.stop()
        send = self._open(control, StreamKind.RESOURCES, self._on_resources)
        send(Kind.RESOURCES, subscription.SerializeToString())
        self._start_usage_reports(self._open(control, StreamKind.QUOTA, self._on_grants))
        self._loads = self._open(control, StreamKind.LOADS, self._on_loads)
        self._loads(Kind.LOADS, messages.initial_load_request(self.node).SerializeToString())

    def _opening(self, kind: StreamKind) -> Opening:
        return Opening(kind, self.node, self.instance)

    def _names(self) -> list[str]:
        """Return the names that a new resource stream subscribes to."""
        return [resources.resource_name(route) for route in self._routes]

    def _open(
        self, control: Control, kind: StreamKind, receive: Callable[[bytes], None]
    ) -> Callable[[Kind, bytes], None]:
        """Open a stream; return the function that sends on it."""
        session = self._session

        def deliver(data: bytes) -> None:
            if session == self._session:
                self._stopwatch.start()
                receive(data)
                self._stopwatch.stop()

        def down(kind: Kind, data: bytes) -> None:
            self._link.carry(Direction.DOWN, kind, data, deliver)

        number = control.accept(self._opening(kind), down, self.stream_closed)
        self._streams.append((control, number))

        def up(kind: Kind, data: bytes) -> None:
            self._link.carry(Direction.UP, kind, data, lambda data: control.receive(number, data))

        if kind is StreamKind.RESOURCES:
            self._acknowledge = up
        return up

    def _on_resources(self, data: bytes) -> None:
        response = messages.DeltaResponse.FromString(data)
        kind = Kind.HEARTBEATS if messages.is_heartbeat(response) else Kind.RESOURCES
        for row in response.resources:
            listed = messages.endpoint_states(row)
            if listed is None:
                self.contract.heartbeat_received()
                continue
            route = resources.destination_of(row.name)
            self.contract.list_received(
                route, listed.states, listed.blocked, listed.ttl_us, route in self._without_list
            )
            self._without_list.discard(route)
            self.last_change = self._clock.now
        self.contract.acknowledged(self._clock.now)
        self._acknowledge(kind, messages.acknowledgement(response).SerializeToString())

    def _on_grants(self, data: bytes) -> None:
        self.grants.receive(data, self._clock.now)

    def _start_usage_reports(self, send: Callable[[Kind, bytes], None]) -> None:
        session = self._session

        def report() -> None:
            if session != self._session:
                return
            self._stopwatch.start()
            data = self.grants.report(self._clock.now)
            self._stopwatch.stop()
            send(Kind.USAGE, data)
            self._clock.after(self.grants.interval_us, report)

        report()

    def _on_loads(self, data: bytes) -> None:
        interval_us = messages.LoadResponse.FromString(data).load_reporting_interval.ToMicroseconds()
        session = self._session

        def report() -> None:
            if session != self._session:
                return
            self._stopwatch.start()
            message = messages.load_report(self._take_calls(), interval_us, self._clock.now).SerializeToString()
            self._stopwatch.stop()
            self._loads(Kind.LOADS, message)
            self._clock.after(interval_us, report)

        self._clock.after(interval_us, report)

    def _take_calls(self) -> dict[tuple[int, str], list[messages.Call]]:
        """Return the calls since the last load report."""
        calls, self._calls = self._calls, defaultdict(list)
        return calls

    # -- traffic

    def _schedule_message(self) -> None:
        event = next(self._traffic, None)
        if event is not None:
            gap, destination = event
            self._clock.after(gap, lambda: self._message(destination))

    def _message(self, destination: int) -> None:
        if self._ended:
            return
        now = self._clock.now
        decision = self.contract.choose(destination, now)
        if isinstance(decision, Send):
            outcome = Outcome.CONNECT_FAILED if self._is_down(destination) else Outcome.OK
            self._calls[destination, decision.endpoint].append(messages.Call(outcome, now))
            self.outcomes.sent += 1
        elif isinstance(decision, Fallback):
            self.outcomes.fell_back += 1
        else:
            self.outcomes.refused += 1
        self._schedule_message()
