"""A whole installation in virtual time: a control service, proxies that keep the contract, a partner, links that fail.

Everything is drawn from one seed; the rows that it yields are the audit's, as processes on sockets log them. No I/O.

A link keeps the order of a stream's messages in each direction and no more: it may be slow (up to 5 s), silent (both
ends think it stands; what was sent arrives when it heals, or never), or reset (either end may notice at once or only
when its keepalive does). A stream that was opened anew may overtake the old one's last messages.
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

MS, SECOND = 1000, 1_000_000
ROUTE = 7
KEEPALIVE_US = 15 * SECOND  # until an end that hears nothing gives a link up
REPORT_US = SECOND // 2
LAST_S = 3  # before the end no more messages come, so that each can have its answer


@dataclass(slots=True)
class Plan:
    """What happens in a run. Times in us."""

    seconds: int = 30
    proxies: int = 3
    endpoints: int = 3
    load: float = 10.0  # messages a second at each proxy
    destination: DestinationProfile = field(default_factory=lambda: DestinationProfile(30.0))
    lease_us: int = 2 * SECOND
    delay_us: int = SECOND // 2
    ttl_us: int = 900 * MS
    link_fault_rate: float = 0.15  # link faults a second and proxy
    drain_rate: float = 0.3  # a second
    disconnections: tuple[tuple[int, int, int], ...] = ()  # proxy, from, to: silent
    control_restarts: tuple[tuple[int, int], ...] = ()  # of control: from, to
    at_end: str = "fallback"
    loses_state: bool = False  # a restart that forgets what the module knew, as a fault to be caught
    proxy_faults: frozenset[str] = frozenset()  # that the proxies make, to be caught: see _Proxy
    classes: dict[str, MessageClass] = field(default_factory=lambda: DEFAULT_CLASSES)


def settings(classes: dict[str, MessageClass]) -> Settings:
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
        answer_slack_us=20 * MS,
        slow_start_from=0.25,
        slow_start_us=12 * SECOND,
        drain_grace_us=SECOND,
        overload_window_us=3 * SECOND,
        overload_multiple=1.5,
        ordering_gap_us=300 * MS,
        tick_us=5 * MS,
    )


class World:
    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.random, self.now = plan, random.Random(seed), 0
        self.rows: list[dict[str, Any]] = []
        self.destination = DestinationModel(plan.destination, seed)
        self.states = {f"e{n}": EndpointStatus.READY for n in range(plan.endpoints)}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = self.ids = 0
        self._kept: tuple[int, dict | None] = (0, None)  # what the last control left
        self.control = _Control(self, 0, None)
        self.proxies = [_Proxy(self, n) for n in range(plan.proxies)]
        self.log("control", "ready", wait_heard_ms=(REPORT_US + plan.lease_us + plan.delay_us) // 1000 + 500 + 5000)

    def run(self) -> list[dict[str, Any]]:
        for proxy in self.proxies:
            proxy.start()
        for start, end in self.plan.control_restarts:
            self.at(start, self.stop_control)
            self.at(end, self.restart_control)
        for number, start, end in self.plan.disconnections:
            self.at(start, self.proxies[number].link.silence)
            self.at(end, self.proxies[number].link.heal)
        self._next_drain()
        self._capacity()
        end = self.plan.seconds * SECOND
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        return self.rows

    def at(self, when: int, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (max(when, self.now), self._count, what))

    def after(self, us: float, what: Callable[[], None]) -> None:
        self.at(self.now + int(us), what)

    def log(self, who: str, event: str, **fields: Any) -> None:
        self.rows.append({"at": self.now, "who": who, "event": event, **fields})

    # -- what the operator and the partner do

    def _next_drain(self) -> None:
        if self.plan.drain_rate:
            self.after(self.random.expovariate(self.plan.drain_rate) * SECOND, self._drain)

    def _drain(self) -> None:
        """An endpoint drains, or is back; often a link fails within the same instants."""
        name = self.random.choice(list(self.states))
        ready = self.states[name] is EndpointStatus.READY
        self.states[name] = EndpointStatus.DRAINING if ready else EndpointStatus.READY
        if ready and self.random.random() < 0.7:
            proxy = self.random.choice(self.proxies)
            self.after(self.random.choice([0, 0, 1, 20 * MS, 60 * MS]), proxy.link.fail)
        self.after(self.random.choice([0, 1, 30 * MS]), self.configure_control)
        self._next_drain()

    def configure_control(self) -> None:
        if self.control is not None:
            self.control.configure()

    def _capacity(self) -> None:
        shape, cold = self.plan.destination, self.destination.slow_start_since
        if cold >= 0:
            self.log(
                "partner",
                "capacity",
                partner="p",
                a_second=self.destination.capacity(self.now),
                since=cold,
                cold=self.now < cold + shape.slow_start_us,
                fall=shape.overload_multiple,
                fall_ms=shape.overload_window_us // 1000,
            )
        self.after(100 * MS, self._capacity)

    # -- control's life

    def stop_control(self) -> None:
        dead, self.control = self.control, None
        self._kept = dead.keep()
        for proxy in self.proxies:
            if proxy.link.state != "silent":
                proxy.ended()

    def restart_control(self) -> None:
        self.control = _Control(self, self._kept[0], None if self.plan.loses_state else self._kept[1])
        self.control.configure()


class _Control:
    def __init__(self, world: World, number: int, kept: dict | None) -> None:
        self._world, plan = world, world.plan
        builder = ResourceBuilder(lambda _rows, _routes: [], self._endpoints)
        self.service = ControlService(
            world.now, settings(plan.classes), 3, builder, plan.lease_us, plan.delay_us, plan.lease_us
        )
        self.service.ledger.resume(number)
        self._planned = 0
        self.streams: dict[int, tuple[_Proxy, int]] = {}  # by stream: whose, and its link's generation
        self.configure()
        if kept is not None:
            self.service.restore(snapshot.restore(kept, world.now, world.now), world.now)
        self.plan()

    def _endpoints(self, number: int, rows: list[Entry], allowed: list[RouteAllowance], now: int) -> Resource:
        found, blocked = endpoint_states((entry.endpoint for entry in rows), allowed, now)
        return Resource(
            EDS, f"route-{number}", f"{found}{blocked}", (found, bool(blocked)), frozenset(), self._world.plan.ttl_us
        )

    def configure(self) -> None:
        entries = [
            Entry(Endpoint(name, "a", "one", ROUTE, status, 0.0), ("127.0.0.1", 1))
            for name, status in self._world.states.items()
        ]
        rules = {ROUTE: RouteRules(frozenset(self._world.plan.classes), 6, 2 * SECOND)}
        self._send(self.service.configure(Fleet(entries, rules), self._world.now))
        self.plan()

    def keep(self) -> tuple[int, dict]:
        return self.service.ledger.number, snapshot.capture(
            self.service.allocator.unsettled_allowances(),
            self.service.engine.learned_rates(),
            self._world.now,
            self._world.now,
        )

    def plan(self) -> None:
        self._say()
        self._planned += 1
        mine = self._planned
        self._world.at(self.service.next_deadline(self._world.now), lambda: self._step(mine))

    def _step(self, planned: int) -> None:
        if planned == self._planned and self._world.control is self:
            self._send(self.service.step(self._world.now))
            self.plan()

    def _say(self) -> None:
        told, self.service.emitted_events = self.service.emitted_events, []
        for row in told:
            self._world.log("control", row.event, **row.fields)

    def _send(self, out: list) -> None:
        for stream, action in out:
            if stream in self.streams:
                proxy, link = self.streams[stream]
                proxy.link.down(
                    stream, link, lambda proxy=proxy, stream=stream, action=action: proxy.received(stream, action)
                )

    # -- what arrives

    def asked(self, proxy: _Proxy, stream: int, link: int, request: Request) -> None:
        if stream not in self.streams:
            if request.nonce:
                return
            self.streams[stream] = (proxy, link)
            self.service.resource_stream_opened(stream, proxy.name, True, True)
        self._send(self.service.request(stream, request, self._world.now))
        self.plan()

    def used(self, proxy: _Proxy, stream: int, link: int, rows: list) -> None:
        if stream not in self.streams:
            self.streams[stream] = (proxy, link)
            joined = self.service.quota_stream_joined(stream, proxy.name, "i", self._world.now)
            if isinstance(joined, Joined) and joined.replaced_stream is not None:
                self.streams.pop(joined.replaced_stream, None)
        for route, calls, had, said in rows:
            proxy.heard[stream, route] = said
            self.service.demand_reported(stream, route, calls, had, self._world.now)
        self.plan()

    def reported(self, calls: list[EndpointReport]) -> None:
        self.service.calls_reported(calls, self._world.now)
        self.plan()

    def ended(self, link: int, proxy: _Proxy) -> None:
        for stream in [key for key, row in self.streams.items() if row == (proxy, link)]:
            del self.streams[stream]
            self.service.resource_stream_closed(stream)
            self.service.quota_stream_closed(stream, self._world.now)
        self.plan()


class _Link:
    """Between one proxy and control."""

    def __init__(self, world: World, proxy: _Proxy) -> None:
        self._world, self._proxy = world, proxy
        self.state, self.number = "fine", 0
        self._slow = 0
        self._last: dict[tuple, int] = {}
        self._held: list[tuple[tuple, int, Callable[[], None]]] = []

    def up(self, stream: int, what: Callable[[], None]) -> None:
        self._carry(("up", stream), self.number, what)

    def down(self, stream: int, number: int, what: Callable[[], None]) -> None:
        self._carry(("down", stream), number, what)

    def _carry(self, way: tuple, number: int, what: Callable[[], None]) -> None:
        if self.state == "silent":
            self._held.append((way, number, what))
            return
        random_ = self._world.random
        late = random_.randint(200, 3000) + (random_.randint(0, self._slow) if self._slow else 0)
        at = self._last[way] = max(self._last.get(way, 0), self._world.now + late)
        self._world.at(at, what)

    def next_fault(self) -> None:
        if self._world.plan.link_fault_rate:
            self._world.after(self._world.random.expovariate(self._world.plan.link_fault_rate) * SECOND, self._fault)

    def _fault(self) -> None:
        self.fail()
        self.next_fault()

    def fail(self) -> None:
        """One of: reset, silence for a while, delay for a while."""
        world, kind = self._world, self._world.random.choice(["reset", "silent", "slow", "slow"])
        if self.state != "fine":
            return
        if kind == "reset":
            self.reset()
        elif kind == "silent":
            self.silence()
            world.after(world.random.uniform(0.2, 20) * SECOND, self.heal)
        else:
            self._slow = world.random.randint(50 * MS, 5 * SECOND)
            world.after(world.random.uniform(0.5, 8) * SECOND, self._fast)

    def _fast(self) -> None:
        self._slow = 0

    def silence(self) -> None:
        self.state = "silent"
        self._world.after(KEEPALIVE_US, lambda number=self.number: self._given_up(number))

    def heal(self) -> None:
        """What was held arrives late, or never, with the link's end."""
        if self.state != "silent":
            return
        self.state = "fine"
        held, self._held = self._held, []
        if self._world.random.random() < 0.5:
            for way, number, what in held:
                self._carry(way, number, what)
        else:
            self.reset()

    def _given_up(self, number: int) -> None:
        if self.state == "silent" and number == self.number:
            self.reset()

    def reset(self) -> None:
        """Each end notices at once, or only by its keepalive."""
        world, number, proxy = self._world, self.number, self._proxy
        self.number += 1
        world.after(
            world.random.choice([0, 5 * MS, KEEPALIVE_US]), lambda: world.control and world.control.ended(number, proxy)
        )
        world.after(world.random.choice([0, 5 * MS, 300 * MS]), proxy.ended)


class _Proxy:
    """Follows the contract, except for the plan's proxy_faults:

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
        self.heard: dict[tuple[int, int], int] = {}  # by stream and route: the last report that control has
        self._ads = self._quota = 0
        self._first = True
        self._reports: list[EndpointReport] = []
        self._ids = 0
        self.counts = {"sent": 0, "fallback": 0, "refused": 0, "ok": 0, "failed": 0}

    def start(self) -> None:
        self._connect()
        self.link.next_fault()
        self._next_message()
        self._world.after(self._world.random.randint(0, USAGE_REPORT_INTERVAL_US), self._use)
        self._world.after(self._world.random.randint(0, REPORT_US), self._report)

    # -- towards control

    def _connect(self) -> None:
        world = self._world
        world.ids += 2
        self._ads, self._quota, self._first = world.ids, world.ids + 1, True
        self.contract.stream_opened(world.now)
        self._ask(Request(EDS, names=(f"route-{ROUTE}",)))

    def _ask(self, request: Request) -> None:
        stream, link, world = self._ads, self.link.number, self._world
        self.link.up(stream, lambda: world.control and world.control.asked(self, stream, link, request))

    def ended(self) -> None:
        """The streams are over; it opens others soon."""
        self._ads = self._quota = -1
        self._world.after(self._world.random.uniform(0.05, 1.0) * SECOND, self._again)

    def _again(self) -> None:
        if self._ads == -1:
            if self._world.control is None:
                self._world.after(200 * MS, self._again)
            else:
                self._connect()

    def _use(self) -> None:
        rows = self.contract.usage_rows(self._world.now)
        if self._quota != -1:
            stream, link, world = self._quota, self.link.number, self._world
            self.link.up(stream, lambda: world.control and world.control.used(self, stream, link, rows))
        self._world.after(USAGE_REPORT_INTERVAL_US, self._use)

    def _report(self) -> None:
        if self._quota != -1 and self._reports and self.link.state == "fine":
            calls, self._reports, world = self._reports, [], self._world
            self.link.up(0, lambda: world.control and world.control.reported(calls))
        self._world.after(REPORT_US, self._report)

    def received(self, stream: int, action: object) -> None:
        now, plan = self._world.now, self._world.plan
        if isinstance(action, Grant) and stream == self._quota:
            heard = self.heard.get((stream, action.destination), 0)
            lease = 1 << 40 if "keeps_expired_grants" in plan.proxy_faults else action.lease_us
            self.contract.grant_received(action.destination, action.amount, action.number, heard, lease)
        elif isinstance(action, Response) and stream == self._ads:
            if "lease_from_arrival" in plan.proxy_faults:
                self.contract.acknowledged(now)
            if action.is_heartbeat:
                self.contract.heartbeat_received()
            for resource in action.resources if not action.is_heartbeat else ():
                ttl = 1 << 40 if "keeps_expired_lists" in plan.proxy_faults else resource.ttl_us
                self.contract.list_received(ROUTE, resource.body[0], resource.body[1], ttl, self._first)
                self._first = False
            self.contract.acknowledged(now)
            self._ask(Request(EDS, action.nonce))

    # -- messages

    def _next_message(self) -> None:
        self._world.after(self._world.random.expovariate(self._world.plan.load) * SECOND, self._message)

    def _message(self) -> None:
        if self._world.now > (self._world.plan.seconds - LAST_S) * SECOND:
            return
        self._ids += 1
        cls = self._world.random.choice(list(self._world.plan.classes.values()))
        name = f"{self.name}-{self._ids}"
        self._world.log(self.name, "taken", id=name, proxy=self.name)
        self._try(name, cls, 0, -1)
        self._next_message()

    def _try(self, name: str, cls: MessageClass, tries: int, first: int) -> None:
        world, now = self._world, self._world.now
        chosen = self.contract.choose(ROUTE, now)
        if isinstance(chosen, Send):
            self.counts["sent"] += 1
            world.log(self.name, "sent", proxy=self.name, route=ROUTE, endpoint=chosen.endpoint, id=name)
            world.log("partner", "took", partner="p", id=name)
            before, fell = world.destination.effects[name], world.destination.overload_failures
            answer = world.destination.call(name, now)
            if world.destination.overload_failures > fell:
                world.log("partner", "fell", partner="p")
            if world.destination.effects[name] > before:
                world.log("partner", "effect", id=name, repeat=REPEAT_WORDS[cls.idempotency])
            first = now if first < 0 else first
            world.after(
                answer.delay_us, lambda: self._answered(name, cls, tries + 1, first, chosen.endpoint, now, answer)
            )
        elif isinstance(chosen, Fallback):
            self._end(name, "fallback")
        elif isinstance(chosen, Refuse):
            self._end(name, "refused")

    def _answered(
        self, name: str, cls: MessageClass, tries: int, first: int, endpoint: str, sent: int, answer: Any
    ) -> None:
        world = self._world
        self._reports.append(EndpointReport(endpoint, sent, answer.outcome, answer.retry_after_us, answer.load_report))
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
            self._end(name, "ok")
        elif ("repeats_everything" in world.plan.proxy_faults and tries < MAX_ATTEMPTS) or may_repeat(
            cls, answer.outcome, first, world.now, tries
        ):
            world.after(world.random.uniform(25, 100) * MS, lambda: self._try(name, cls, tries, first))
        else:
            self._end(name, final_answer(answer.outcome))

    def _end(self, name: str, how: str) -> None:
        self.counts[how] += 1
        self._world.log(self.name, "ended", id=name, how=how, proxy=self.name)


def world_with_outage(seed: int, **more: Any) -> World:
    """A partner of 30 calls a second that is away from 12 s to 20 s and comes back cold, with all proxies waiting."""
    shape = DestinationProfile(30.0, outages=((12 * SECOND, 20 * SECOND),))
    return World(
        replace(Plan(seconds=50, load=30.0, destination=shape, link_fault_rate=0.0, drain_rate=0.0), **more), seed
    )
