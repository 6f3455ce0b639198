"""A hollow sender: the real contract and its messages; its sockets, clock and traffic are the model's.

Three streams go over one link, as in lab/proxy/__main__.py: resources, quota and load reports. When the link is reset
or control is gone, all three are opened anew after a pause. A message of its traffic asks the contract whether it may
go out; a call ends at once, with success unless its destination is down, and goes into the next load report.
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

RECONNECT_DELAY_US, RECONNECT_JITTER_US = (
    300_000,
    700_000,
)  # until a stream is opened anew: the stand-in's pause and its backoff

Traffic = Iterator[tuple[int, int]]  # (us since the event before, destination)


@dataclass(slots=True)
class Outcomes:
    """Of a sender's messages so far."""

    sent: int = 0
    refused: int = 0
    fell_back: int = 0  # handed to the sender's own way of sending


class HollowSender:
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
        """control: the instance that can be reached now, if any. is_down: whether a call to a destination fails.
        outcomes: counted on, where an earlier process of this place has begun."""
        self._clock, self._control, self._link = clock, control, link
        self.node, self.instance, self._routes = node, instance, routes
        self._random, self._stopwatch, self._traffic, self._is_down = random_, stopwatch, traffic or iter(()), is_down
        self.contract = Contract(routes)
        self.grants = DestinationGrants(node, self.contract)
        self.outcomes = outcomes or Outcomes()
        self.last_change = -1  # when a list last arrived
        self._calls: dict[tuple[int, str], list[messages.Call]] = defaultdict(list)
        self._first: set[int] = set()  # routes whose list has not come on this stream
        self._session = 0  # of the streams: timers and messages of an earlier one are dropped
        self._streams: list[tuple[Control, int]] = []
        self._ended = False
        link.on_reset = self._reset

    def start(self) -> None:
        self._connect()
        self._plan_message()

    def end(self, silently: bool) -> None:
        """The process is gone. silently: as with its machine, so that nobody tells control."""
        self._ended = True
        self._session += 1
        if not silently:
            self._close_streams()
        self._link.close()
        self._link.on_reset = self._close_streams  # control's keepalive ends

    @property
    def has_ended(self) -> bool:
        """The process is gone."""
        return self._ended

    def stream_closed(self) -> None:
        """Control has ended a stream, or is gone."""
        if not self._ended:
            self._reset()

    # -- streams

    def _reset(self) -> None:
        self._close_streams()
        self._session += 1
        self._again()

    def _close_streams(self) -> None:
        streams, self._streams = self._streams, []
        for control, number in streams:
            control.stream_closed(number)

    def _again(self) -> None:
        session = self._session
        pause = RECONNECT_DELAY_US + self._random.randint(0, RECONNECT_JITTER_US)
        self._clock.after(pause, lambda: self._connect() if session == self._session else None)

    def _connect(self) -> None:
        control = self._control()
        if control is None or self._link.is_cut:
            self._again()
            return
        self._session += 1
        self._first = set(self._routes)
        self.contract.stream_opened(self._clock.now)
        self._stopwatch.start()
        subscription = messages.subscription(self.node, self._names())
        self._stopwatch.stop()
        send = self._open(control, StreamKind.RESOURCES, self._on_resources)
        send(Kind.RESOURCES, subscription.SerializeToString())
        self._report_use(self._open(control, StreamKind.QUOTA, self._on_grants))
        self._loads = self._open(control, StreamKind.LOADS, self._on_loads)
        self._loads(Kind.LOADS, messages.initial_load_request(self.node).SerializeToString())

    def _opening(self, kind: StreamKind) -> Opening:
        return Opening(kind, self.node, self.instance)

    def _names(self) -> list[str]:
        """What a new stream of resources asks for."""
        return [resources.resource_name(route) for route in self._routes]

    def _open(
        self, control: Control, kind: StreamKind, receive: Callable[[bytes], None]
    ) -> Callable[[Kind, bytes], None]:
        """Opens a stream; gives what sends on it."""
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
            self.contract.list_received(route, listed.states, listed.blocked, listed.ttl_us, route in self._first)
            self._first.discard(route)
            self.last_change = self._clock.now
        self.contract.acknowledged(self._clock.now)
        self._acknowledge(kind, messages.acknowledgement(response).SerializeToString())

    def _on_grants(self, data: bytes) -> None:
        self.grants.receive(data, self._clock.now)

    def _report_use(self, send: Callable[[Kind, bytes], None]) -> None:
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
        every = messages.LoadResponse.FromString(data).load_reporting_interval.ToMicroseconds()
        session = self._session

        def report() -> None:
            if session != self._session:
                return
            self._stopwatch.start()
            message = messages.load_report(self._take_calls(), every, self._clock.now).SerializeToString()
            self._stopwatch.stop()
            self._loads(Kind.LOADS, message)
            self._clock.after(every, report)

        self._clock.after(every, report)

    def _take_calls(self) -> dict[tuple[int, str], list[messages.Call]]:
        """The calls since the last report."""
        calls, self._calls = self._calls, defaultdict(list)
        return calls

    # -- traffic

    def _plan_message(self) -> None:
        event = next(self._traffic, None)
        if event is not None:
            gap, destination = event
            self._clock.after(gap, lambda: self._message(destination))

    def _message(self, destination: int) -> None:
        if self._ended:
            return
        now = self._clock.now
        chosen = self.contract.choose(destination, now)
        if isinstance(chosen, Send):
            outcome = Outcome.CONNECT_FAILED if self._is_down(destination) else Outcome.OK
            self._calls[destination, chosen.endpoint].append(messages.Call(outcome, now))
            self.outcomes.sent += 1
        elif isinstance(chosen, Fallback):
            self.outcomes.fell_back += 1
        else:
            self.outcomes.refused += 1
        self._plan_message()
