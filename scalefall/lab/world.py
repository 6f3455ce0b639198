"""An installation in virtual time: a control service, proxies that keep the contract, a destination, links that fail.

All of it is driven by one seed; its log rows are those that the audit reads from processes on sockets. No I/O.

A link preserves the order of a stream's messages in each direction and guarantees no more: it may be slow (up to 5 s),
silent (neither end notices; messages arrive when it heals, or never), or reset (either end may notice at once or only
when its keepalive expires). The messages of a reopened stream may overtake the last ones of the stream before it.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from scalefall.control import snapshot
from scalefall.control.catalog import EDS, Resource
from scalefall.control.endpoint_health import endpoint_states
from scalefall.control.grants import Grant
from scalefall.control.members import Joined
from scalefall.control.service import ControlService, ResourceBuilder
from scalefall.control.streams import Request, Response
from scalefall.lab.classes import DEFAULT_CLASSES, REPEAT_WORDS
from scalefall.lab.partner.model import DestinationModel, DestinationProfile
from scalefall.lab.proxy.contract import (
    MAX_ATTEMPTS,
    USAGE_REPORT_INTERVAL_US,
    Contract,
    Fallback,
    Refuse,
    Send,
    final_answer,
    may_repeat,
)
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.events import Endpoint, EndpointReport, EndpointStatus, Outcome
from scalefall.policy.settings import MessageClass, Settings

MILLISECOND_US = 1000
SECOND = 1_000_000  # us
ROUTE = 7
KEEPALIVE_US = 15 * SECOND  # an end closes a link that was silent for this long
LOAD_REPORT_INTERVAL_US = SECOND // 2
FINAL_ANSWERS_S = 3  # no messages are accepted in the last seconds, so that each gets its final answer


@dataclass(slots=True)
class Plan:
    """What happens in a run. Times in us.

    Attributes:
        seconds: Length of the run.
        proxies: Number of proxies.
        endpoints: Number of the destination's endpoints.
        load: Messages a second at each proxy.
        destination: Limits and outages of the destination.
        lease_us: Lease of grants.
        delay_us: The delay of messages that the control service allows for.
        ttl_us: Time to live of endpoint lists.
        link_fault_rate: Link faults a second and proxy.
        drain_rate: Endpoints that begin or end draining, a second.
        disconnections: (proxy, start, end) of silent links.
        control_restarts: (stop, start) of the control service.
        at_end: What proxies do without a valid lease, as in `Contract`.
        loses_state: Injected fault: a restarted control service does not restore its state.
        proxy_faults: Injected faults of the proxies; see `_Proxy`.
        classes: The messages' classes, by name.
    """

    seconds: int = 30
    proxies: int = 3
    endpoints: int = 3
    load: float = 10.0
    destination: DestinationProfile = field(default_factory=lambda: DestinationProfile(30.0))
    lease_us: int = 2 * SECOND
    delay_us: int = SECOND // 2
    ttl_us: int = 900 * MILLISECOND_US
    link_fault_rate: float = 0.15
    drain_rate: float = 0.3
    disconnections: tuple[tuple[int, int, int], ...] = ()
    control_restarts: tuple[tuple[int, int], ...] = ()
    at_end: str = "fallback"
    loses_state: bool = False
    proxy_faults: frozenset[str] = frozenset()
    classes: dict[str, MessageClass] = field(default_factory=lambda: DEFAULT_CLASSES)


def settings(classes: dict[str, MessageClass]) -> Settings:
    """Return the engine's settings for one destination and these classes."""
    return Settings(
        replica_index=0,
        replica_count=1,
        classes=classes,
        tenants={},
        over_quota_priority_weight=0.1,
        call_slots=10,
        messages_per_call={"one": 1},
        route_per_endpoint={"one": False},
        zone_cost={"a": 0.0},
        halves_after_objective=False,
        max_attempts=6,
        max_queued=100,
        cancelling=True,
        probes=False,
        retry_after=True,
        max_retry_after_us=2 * SECOND,
        idle_close_us=5 * SECOND,
        dial_timeout_us=SECOND,
        streams=1,
        polls_endpoint_list=False,
        poll_within_us=10 * SECOND,
        weights="none",
        report_fields=["x0", "x1"],
        answer_slack_us=20 * MILLISECOND_US,
        slow_start_from=0.25,
        slow_start_us=12 * SECOND,
        drain_grace_us=SECOND,
        overload_window_us=3 * SECOND,
        overload_multiple=1.5,
        ordering_gap_us=300 * MILLISECOND_US,
        tick_us=5 * MILLISECOND_US,
    )


class World:
    """A simulated installation; `run` returns the rows of its log."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.random, self.now = plan, random.Random(seed), 0
        self.rows: list[dict[str, Any]] = []
        self.destination = DestinationModel(plan.destination, seed)
        self.states = {f"e{n}": EndpointStatus.READY for n in range(plan.endpoints)}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = self.last_stream = 0
        self._saved_state: tuple[int, dict | None] = (0, None)  # of the last control service: highest grant, snapshot
        self.control = _Control(self, 0, None)
        self.proxies = [_Proxy(self, n) for n in range(plan.proxies)]
        self.log(
            "control",
            "ready",
            wait_heard_ms=(LOAD_REPORT_INTERVAL_US + plan.lease_us + plan.delay_us) // 1000 + 500 + 5000,
        )

    def run(self) -> list[dict[str, Any]]:
        for proxy in self.proxies:
            proxy.start()
        for start, end in self.plan.control_restarts:
            self.at(start, self.stop_control)
            self.at(end, self.restart_control)
        for number, start, end in self.plan.disconnections:
            self.at(start, self.proxies[number].link.silence)
            self.at(end, self.proxies[number].link.heal)
        self._schedule_drain()
        self._log_capacity()
        end = self.plan.seconds * SECOND
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        return self.rows

    def at(self, when: int, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (max(when, self.now), self._sequence, callback))

    def after(self, delay_us: float, callback: Callable[[], None]) -> None:
        self.at(self.now + int(delay_us), callback)

    def log(self, who: str, event: str, **fields: Any) -> None:
        self.rows.append({"at": self.now, "who": who, "event": event, **fields})

    # -- drains, and the destination's capacity

    def _schedule_drain(self) -> None:
        if self.plan.drain_rate:
            self.after(self.random.expovariate(self.plan.drain_rate) * SECOND, self._drain)

    def _drain(self) -> None:
        """Start or end the draining of an endpoint, often with a link fault at nearly the same time."""
        name = self.random.choice(list(self.states))
        ready = self.states[name] is EndpointStatus.READY
        self.states[name] = EndpointStatus.DRAINING if ready else EndpointStatus.READY
        if ready and self.random.random() < 0.7:
            proxy = self.random.choice(self.proxies)
            self.after(self.random.choice([0, 0, 1, 20 * MILLISECOND_US, 60 * MILLISECOND_US]), proxy.link.inject_fault)
        self.after(self.random.choice([0, 1, 30 * MILLISECOND_US]), self.configure_control)
        self._schedule_drain()

    def configure_control(self) -> None:
        if self.control is not None:
            self.control.configure()

    def _log_capacity(self) -> None:
        profile, since = self.plan.destination, self.destination.slow_start_since
        if since >= 0:
            self.log(
                "partner",
                "capacity",
                partner="p",
                a_second=self.destination.capacity(self.now),
                since=since,
                cold=self.now < since + profile.slow_start_us,
                fall=profile.overload_multiple,
                fall_ms=profile.overload_window_us // 1000,
            )
        self.after(100 * MILLISECOND_US, self._log_capacity)

    # -- restarts of the control service

    def stop_control(self) -> None:
        stopped, self.control = self.control, None
        self._saved_state = stopped.capture_state()
        for proxy in self.proxies:
            if proxy.link.state != "silent":
                proxy.streams_closed()

    def restart_control(self) -> None:
        self.control = _Control(self, self._saved_state[0], None if self.plan.loses_state else self._saved_state[1])
        self.control.configure()


class _Control:
    """An instance of the control service, with the streams of the proxies."""

    def __init__(self, world: World, last_grant: int, saved: dict | None) -> None:
        self._world, plan = world, world.plan
        builder = ResourceBuilder(lambda _rows, _routes: [], self._endpoints)
        self.service = ControlService(
            world.now, settings(plan.classes), 3, builder, plan.lease_us, plan.delay_us, plan.lease_us
        )
        self.service.ledger.resume(last_grant)
        self._scheduled_steps = 0
        self.streams: dict[int, tuple[_Proxy, int]] = {}  # by stream: its proxy, and the generation of the link
        self.configure()
        if saved is not None:
            self.service.restore(snapshot.restore(saved, world.now, world.now), world.now)
        self.schedule_step()

    def _endpoints(self, destination: int, entries: list[Entry], allowed: list[RouteAllowance], now: int) -> Resource:
        states, blocked = endpoint_states((entry.endpoint for entry in entries), allowed, now)
        return Resource(
            EDS,
            f"route-{destination}",
            f"{states}{blocked}",
            (states, bool(blocked)),
            frozenset(),
            self._world.plan.ttl_us,
        )

    def configure(self) -> None:
        entries = [
            Entry(Endpoint(name, "a", "one", ROUTE, status, 0.0), ("127.0.0.1", 1))
            for name, status in self._world.states.items()
        ]
        rules = {ROUTE: RouteRules(frozenset(self._world.plan.classes), 6, 2 * SECOND)}
        self._send(self.service.configure(Fleet(entries, rules), self._world.now))
        self.schedule_step()

    def capture_state(self) -> tuple[int, dict]:
        return self.service.ledger.number, snapshot.capture(
            self.service.allocator.unsettled_allowances(),
            self.service.engine.learned_rates(),
            self._world.now,
            self._world.now,
        )

    def schedule_step(self) -> None:
        self._log_events()
        self._scheduled_steps += 1
        step = self._scheduled_steps
        self._world.at(self.service.next_deadline(self._world.now), lambda: self._step(step))

    def _step(self, step: int) -> None:
        if step == self._scheduled_steps and self._world.control is self:
            self._send(self.service.step(self._world.now))
            self.schedule_step()

    def _log_events(self) -> None:
        events, self.service.emitted_events = self.service.emitted_events, []
        for event in events:
            self._world.log("control", event.event, **event.fields)

    def _send(self, outgoing: list) -> None:
        for stream, action in outgoing:
            if stream in self.streams:
                proxy, generation = self.streams[stream]
                proxy.link.down(
                    stream, generation, lambda proxy=proxy, stream=stream, action=action: proxy.received(stream, action)
                )

    # -- messages from the proxies

    def request_received(self, proxy: _Proxy, stream: int, generation: int, request: Request) -> None:
        if stream not in self.streams:
            if request.nonce:
                return
            self.streams[stream] = (proxy, generation)
            self.service.resource_stream_opened(stream, proxy.name, True, True)
        self._send(self.service.request(stream, request, self._world.now))
        self.schedule_step()

    def usage_reported(self, proxy: _Proxy, stream: int, generation: int, rows: list) -> None:
        if stream not in self.streams:
            self.streams[stream] = (proxy, generation)
            joined = self.service.quota_stream_joined(stream, proxy.name, "i", self._world.now)
            if isinstance(joined, Joined) and joined.replaced_stream is not None:
                self.streams.pop(joined.replaced_stream, None)
        for route, calls_per_s, acknowledged_grant, report_number in rows:
            proxy.last_reports[stream, route] = report_number
            self.service.demand_reported(stream, route, calls_per_s, acknowledged_grant, self._world.now)
        self.schedule_step()

    def load_reported(self, calls: list[EndpointReport]) -> None:
        self.service.calls_reported(calls, self._world.now)
        self.schedule_step()

    def link_closed(self, generation: int, proxy: _Proxy) -> None:
        for stream in [key for key, row in self.streams.items() if row == (proxy, generation)]:
            del self.streams[stream]
            self.service.resource_stream_closed(stream)
            self.service.quota_stream_closed(stream, self._world.now)
        self.schedule_step()


class _Link:
    """The link between a proxy and the control service; a reset begins its next generation."""

    def __init__(self, world: World, proxy: _Proxy) -> None:
        self._world, self._proxy = world, proxy
        self.state, self.generation = "up", 0
        self._extra_delay_us = 0
        self._last_arrival: dict[tuple, int] = {}
        self._buffered: list[tuple[tuple, int, Callable[[], None]]] = []

    def up(self, stream: int, callback: Callable[[], None]) -> None:
        self._carry(("up", stream), self.generation, callback)

    def down(self, stream: int, generation: int, callback: Callable[[], None]) -> None:
        self._carry(("down", stream), generation, callback)

    def _carry(self, direction: tuple, generation: int, callback: Callable[[], None]) -> None:
        if self.state == "silent":
            self._buffered.append((direction, generation, callback))
            return
        random_ = self._world.random
        delay_us = random_.randint(200, 3000) + (
            random_.randint(0, self._extra_delay_us) if self._extra_delay_us else 0
        )
        arrival = self._last_arrival[direction] = max(self._last_arrival.get(direction, 0), self._world.now + delay_us)
        self._world.at(arrival, callback)

    def schedule_fault(self) -> None:
        if self._world.plan.link_fault_rate:
            self._world.after(
                self._world.random.expovariate(self._world.plan.link_fault_rate) * SECOND, self._on_fault_due
            )

    def _on_fault_due(self) -> None:
        self.inject_fault()
        self.schedule_fault()

    def inject_fault(self) -> None:
        """Reset the link, or make it silent or slow for a time; nothing unless it is up."""
        world, kind = self._world, self._world.random.choice(["reset", "silent", "slow", "slow"])
        if self.state != "up":
            return
        if kind == "reset":
            self.reset()
        elif kind == "silent":
            self.silence()
            world.after(world.random.uniform(0.2, 20) * SECOND, self.heal)
        else:
            self._extra_delay_us = world.random.randint(50 * MILLISECOND_US, 5 * SECOND)
            world.after(world.random.uniform(0.5, 8) * SECOND, self._end_extra_delay)

    def _end_extra_delay(self) -> None:
        self._extra_delay_us = 0

    def silence(self) -> None:
        self.state = "silent"
        self._world.after(KEEPALIVE_US, lambda generation=self.generation: self._keepalive_expired(generation))

    def heal(self) -> None:
        """End a silence: what was sent meanwhile is delivered now, or lost as the link is reset."""
        if self.state != "silent":
            return
        self.state = "up"
        buffered, self._buffered = self._buffered, []
        if self._world.random.random() < 0.5:
            for direction, generation, callback in buffered:
                self._carry(direction, generation, callback)
        else:
            self.reset()

    def _keepalive_expired(self, generation: int) -> None:
        if self.state == "silent" and generation == self.generation:
            self.reset()

    def reset(self) -> None:
        """Break the connection; each end notices soon, the control service perhaps only by its keepalive."""
        world, generation, proxy = self._world, self.generation, self._proxy
        self.generation += 1
        world.after(
            world.random.choice([0, 5 * MILLISECOND_US, KEEPALIVE_US]),
            lambda: world.control and world.control.link_closed(generation, proxy),
        )
        world.after(world.random.choice([0, 5 * MILLISECOND_US, 300 * MILLISECOND_US]), proxy.streams_closed)


class _Proxy:
    """A proxy that keeps the contract, except for the plan's proxy_faults:

    lease_from_arrival      a heartbeat proves the acknowledgement that follows it, so lists are trusted too long
    keeps_expired_lists     lists are trusted without end
    ignores_retry_after     a Retry-After does not stop calls
    keeps_expired_grants    grants do not expire
    repeats_everything      every failed message is repeated
    """

    def __init__(self, world: World, number: int) -> None:
        self._world, self.name = world, f"proxy-{number}"
        self.contract = Contract([ROUTE], world.plan.at_end)
        self.link = _Link(world, self)
        self.last_reports: dict[tuple[int, int], int] = {}  # by stream and route: the last that control received
        self._resource_stream = self._quota_stream = 0
        self._awaits_list = True
        self._unreported_calls: list[EndpointReport] = []
        self._messages = 0
        self.counts = {"sent": 0, "fallback": 0, "refused": 0, "ok": 0, "failed": 0}

    def start(self) -> None:
        self._connect()
        self.link.schedule_fault()
        self._schedule_message()
        self._world.after(self._world.random.randint(0, USAGE_REPORT_INTERVAL_US), self._report_usage)
        self._world.after(self._world.random.randint(0, LOAD_REPORT_INTERVAL_US), self._report_loads)

    # -- streams to the control service

    def _connect(self) -> None:
        world = self._world
        world.last_stream += 2
        self._resource_stream, self._quota_stream, self._awaits_list = world.last_stream, world.last_stream + 1, True
        self.contract.stream_opened(world.now)
        self._send_request(Request(EDS, names=(f"route-{ROUTE}",)))

    def _send_request(self, request: Request) -> None:
        stream, generation, world = self._resource_stream, self.link.generation, self._world
        self.link.up(
            stream, lambda: world.control and world.control.request_received(self, stream, generation, request)
        )

    def streams_closed(self) -> None:
        """Open new streams after a pause."""
        self._resource_stream = self._quota_stream = -1
        self._world.after(self._world.random.uniform(0.05, 1.0) * SECOND, self._reconnect)

    def _reconnect(self) -> None:
        if self._resource_stream == -1:
            if self._world.control is None:
                self._world.after(200 * MILLISECOND_US, self._reconnect)
            else:
                self._connect()

    def _report_usage(self) -> None:
        rows = self.contract.usage_rows(self._world.now)
        if self._quota_stream != -1:
            stream, generation, world = self._quota_stream, self.link.generation, self._world
            self.link.up(stream, lambda: world.control and world.control.usage_reported(self, stream, generation, rows))
        self._world.after(USAGE_REPORT_INTERVAL_US, self._report_usage)

    def _report_loads(self) -> None:
        if self._quota_stream != -1 and self._unreported_calls and self.link.state == "up":
            calls, self._unreported_calls, world = self._unreported_calls, [], self._world
            self.link.up(0, lambda: world.control and world.control.load_reported(calls))
        self._world.after(LOAD_REPORT_INTERVAL_US, self._report_loads)

    def received(self, stream: int, action: object) -> None:
        now, plan = self._world.now, self._world.plan
        if isinstance(action, Grant) and stream == self._quota_stream:
            last_report = self.last_reports.get((stream, action.destination), 0)
            lease = 1 << 40 if "keeps_expired_grants" in plan.proxy_faults else action.lease_us
            self.contract.grant_received(action.destination, action.amount, action.number, last_report, lease)
        elif isinstance(action, Response) and stream == self._resource_stream:
            if "lease_from_arrival" in plan.proxy_faults:
                self.contract.acknowledged(now)
            if action.is_heartbeat:
                self.contract.heartbeat_received()
            for resource in action.resources if not action.is_heartbeat else ():
                ttl = 1 << 40 if "keeps_expired_lists" in plan.proxy_faults else resource.ttl_us
                self.contract.list_received(ROUTE, resource.body[0], resource.body[1], ttl, self._awaits_list)
                self._awaits_list = False
            self.contract.acknowledged(now)
            self._send_request(Request(EDS, action.nonce))

    # -- messages

    def _schedule_message(self) -> None:
        self._world.after(self._world.random.expovariate(self._world.plan.load) * SECOND, self._accept_message)

    def _accept_message(self) -> None:
        if self._world.now > (self._world.plan.seconds - FINAL_ANSWERS_S) * SECOND:
            return
        self._messages += 1
        message_class = self._world.random.choice(list(self._world.plan.classes.values()))
        name = f"{self.name}-{self._messages}"
        self._world.log(self.name, "taken", id=name, proxy=self.name)
        self._attempt(name, message_class, 0, -1)
        self._schedule_message()

    def _attempt(self, name: str, message_class: MessageClass, attempts: int, first_sent: int) -> None:
        world, now = self._world, self._world.now
        decision = self.contract.choose(ROUTE, now)
        if isinstance(decision, Send):
            self.counts["sent"] += 1
            world.log(self.name, "sent", proxy=self.name, route=ROUTE, endpoint=decision.endpoint, id=name)
            world.log("partner", "took", partner="p", id=name)
            effects, failures = world.destination.effects[name], world.destination.overload_failures
            answer = world.destination.call(name, now)
            if world.destination.overload_failures > failures:
                world.log("partner", "fell", partner="p")
            if world.destination.effects[name] > effects:
                world.log("partner", "effect", id=name, repeat=REPEAT_WORDS[message_class.idempotency])
            first_sent = now if first_sent < 0 else first_sent
            world.after(
                answer.delay_us,
                lambda: self._attempt_ended(
                    name, message_class, attempts + 1, first_sent, decision.endpoint, now, answer
                ),
            )
        elif isinstance(decision, Fallback):
            self._finish(name, "fallback")
        elif isinstance(decision, Refuse):
            self._finish(name, "refused")

    def _attempt_ended(
        self,
        name: str,
        message_class: MessageClass,
        attempts: int,
        first_sent: int,
        endpoint: str,
        sent_at: int,
        answer: Any,
    ) -> None:
        world = self._world
        self._unreported_calls.append(
            EndpointReport(endpoint, sent_at, answer.outcome, answer.retry_after_us, answer.load_report)
        )
        if answer.retry_after_us and "ignores_retry_after" not in world.plan.proxy_faults:
            self.contract.retry_after_received(ROUTE, world.now + answer.retry_after_us)
        world.log(
            self.name,
            "answered",
            proxy=self.name,
            route=ROUTE,
            endpoint=endpoint,
            id=name,
            outcome=answer.outcome.value,
            wait_ms=answer.retry_after_us / 1000,
        )
        if answer.outcome is Outcome.OK:
            self._finish(name, "ok")
        elif ("repeats_everything" in world.plan.proxy_faults and attempts < MAX_ATTEMPTS) or may_repeat(
            message_class, answer.outcome, first_sent, world.now, attempts
        ):
            world.after(
                world.random.uniform(25, 100) * MILLISECOND_US,
                lambda: self._attempt(name, message_class, attempts, first_sent),
            )
        else:
            self._finish(name, final_answer(answer.outcome))

    def _finish(self, name: str, outcome: str) -> None:
        self.counts[outcome] += 1
        self._world.log(self.name, "ended", id=name, how=outcome, proxy=self.name)


def world_with_outage(seed: int, **changes: Any) -> World:
    """Return an installation with a destination of 30 calls a second that is down from 12 s to 20 s and returns cold.

    All proxies then have messages for it. changes: other attributes of the plan.
    """
    profile = DestinationProfile(30.0, outages=((12 * SECOND, 20 * SECOND),))
    return World(
        replace(Plan(seconds=50, load=30.0, destination=profile, link_fault_rate=0.0, drain_rate=0.0), **changes), seed
    )
