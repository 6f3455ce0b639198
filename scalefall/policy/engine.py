"""Every decision of a sender. A route has one limit and one pace: a destination, or an endpoint apart."""
from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import chain
from math import ceil, inf, log2, sqrt

from scalefall.policy.actions import (Action, CancelAttempt, CloseIdleConnections, Fail, LogLine,
                                      PollEndpointList, RouteAllowance, Send, SetTimer, Shed)
from scalefall.policy.events import (AttemptFinished, Endpoint, EndpointListUpdate, EndpointReport,
                                     EndpointStatus, Event, LearnedRate, ListUpdateKind, Message,
                                     MessageWithdrawn, Outcome, ShuttingDown, TimerFired)
from scalefall.policy.settings import Idempotency, MessageClass, Settings

SECOND = 1_000_000
BIN_US = 250_000            # the finest step of the request envelope
BINS = 40                   # T, the window of both envelopes, in steps: 10 s
TAUS = (1, 2, 5, 10)        # the interval lengths tested, in steps, up to T/4
WINDOW_US = BIN_US * BINS
QUANTILE = 1.645            # the 95th percentile of a Gaussian
MOST_K = 8                  # calls in one chain of overlaps that the service envelope follows
FREE_COMPLETIONS = 5        # admission is free until a class has so many completions on the route
MARGIN = 0.1                # share of the deadline that the delay target keeps back
KEPT = 0.5                  # a message that has lost more than this share of its worth goes behind
LEAST_HELD = 4              # messages that a destination may always hold
SMALL_LIMIT = 4.0           # calls a second that a destination takes at least, where no limit is told
GROWTH = 0.1                # for each call that it allows, a pace that was cut grows by this share
FIRST_RATE = 2.0            # calls a second that a pace is first cut from where the sender sends fewer
UNUSED = 0.5                # share of a told limit that may be left by chance; of what is left beyond it
TAKEN = 0.5                 # a pace may have this share on top of its even part of the limit, and no more
RISEN = 1.25                # a told limit that is so many times the one told before has risen, beyond noise
RAMP_SHARE = 2 / 3          # of what the rule allows a cold route; with less no told senders break it
QUESTIONS = 1               # calls that a sender sends to a route in doubt before its budget holds
TRIAL_SHARE = (2 - QUESTIONS) / 3   # of the same, before a success (see _failed)
SPREAD = 4                  # times a told wait over which senders come back after it
LATE = 3.0                  # calls not yet told are at most 1 / (e * age) a sender: by then too few to matter
ROUGH = 1.5                 # times that a rough weight may be too high
FEW = 20                    # served calls at which a sender's part goes half by these, half by an even part
RECENT_US = 2 * SECOND      # span over which the recent send rate is taken
DEPTH_US = SECOND // 4      # the pace lets through at once what it gathers in this time
TIMEOUT_TIMES = 4           # a call is overdue, or timed out, after so many times its high-percentile time
LEAST_TIMEOUT_US = SECOND // 2  # and never before this
UNKNOWN_SHARE = 4           # before there are figures, a call is given this part of its class's deadline
RETRY_US = SECOND // 5      # first pause before a message goes out again after a failure
ASKED_US = SECOND // 5      # a sender's part of the directory's time, which fails what waits too long
ASK_IN = (0.9, 3.6)         # times the time for asking: it is four times as long after a call that failed
KNOWN_US = 60 * SECOND      # so long after a start what the process before knew counts
FORGET_US = 60 * SECOND     # a destination with no endpoint for so long is forgotten, with its pace
CAPPED_US = 2 * SECOND      # an endpoint that served so lately and turns a connection away has too many
TIMER_WAKE, TIMER_ASK = 1, 2
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class Envelope:
    """Request and service envelope of one class on one route (the paper's 4.1 and 4.2)."""
    __slots__ = ("bins", "bin", "total", "sigma", "calls", "samples", "sums", "prior")

    def __init__(self, prior: Envelope | None = None) -> None:
        self.prior = prior
        self.bins: list[int] = [0] * BINS            # admissions for each step, newest last
        self.bin, self.total, self.sigma = 0, 0, [0.0] * len(TAUS)
        self.calls: deque[list[int]] = deque(maxlen=4 * MOST_K)   # [start, end or 0] in order of start
        self.samples: deque[tuple[int, int, int]] = deque()       # (when, k, time to serve k)
        self.sums: dict[int, list[float]] = {}    # k: [number, sum, sum of squares], in seconds

    def roll(self, now: int) -> None:
        steps = now // BIN_US - self.bin
        if steps > 0:
            self.bin += steps
            self.bins = (self.bins + [0] * min(steps, BINS))[-BINS:]
            self.total = sum(self.bins)
            for n, tau in enumerate(TAUS if self.total else ()):
                mean = self.total * tau / BINS
                squares = sum((sum(self.bins[at:at + tau]) - mean) ** 2 for at in range(0, BINS, tau))
                self.sigma[n] = sqrt(squares / (BINS // tau - 2))
        while self.samples and self.samples[0][0] < now - WINDOW_US:
            _, k, took = self.samples.popleft()
            row = self.sums[k]
            row[0] -= 1
            row[1] -= took / SECOND
            row[2] -= (took / SECOND) ** 2
            if row[0] == 0:
                del self.sums[k]

    def admitted(self, now: int) -> None:
        self.roll(now)
        self.bins[-1] += 1
        self.total += 1

    def started(self, now: int) -> list[int]:
        self.calls.append([now, 0])
        return self.calls[-1]

    def completed(self, now: int, call: list[int]) -> None:
        """A success: one sample for each chain of k overlapping calls that it ends."""
        self.roll(now)
        call[1] = now
        start, k = call[0], 0
        for other in reversed(self.calls):
            if other[0] > call[0] or (other[0] == call[0] and other is not call and k == 0):
                continue
            if k and 0 < other[1] <= start or k == MOST_K:
                break
            k, start = k + 1, other[0]
            self.sample(now, k, now - start)
            if self.prior:
                self.prior.roll(now)
                self.prior.sample(now, k, now - start)

    def sample(self, now: int, k: int, took: int) -> None:
        self.samples.append((now, k, took))
        row = self.sums.setdefault(k, [0, 0.0, 0.0])
        row[0] += 1
        row[1] += took / SECOND
        row[2] += (took / SECOND) ** 2

    def known(self) -> Envelope | None:
        """The figures to judge by: the route's, or while these are few the class's over all routes."""
        return next((e for e in (self, self.prior) if e and e.sums.get(1, [0])[0] >= FREE_COMPLETIONS), None)

    def bound(self, n: int, extra: float) -> int:
        """Requests within the n-th interval length, at the high percentile, the rate grown by extra/T."""
        return max(1, ceil((self.total + extra) * TAUS[n] / BINS + QUANTILE * self.sigma[n] - 1e-9))

    def delay(self, k: int) -> float:
        """High-percentile time, in us, to serve k overlapping calls; linear beyond the largest k seen."""
        seen = min(k, max(self.sums, default=0))
        while seen and seen not in self.sums:
            seen -= 1
        if not seen:
            return 0.0
        number, total, squares = self.sums[seen]
        mean = total / number
        spread = sqrt(max(0.0, squares - number * mean * mean) / (number - 1)) if number > 1 else 0.0
        return (mean * k / seen + QUANTILE * spread) * SECOND

    def mean_us(self) -> float:
        return self.sums[1][1] / self.sums[1][0] * SECOND if 1 in self.sums else 0.0

    def passes(self, target: int, extra: float, cut: int | None = None) -> bool:
        """The LMAC test; with cut (the target of the message let in) the service shrinks instead."""
        if (known := self.known()) is None:
            return True
        for n, tau in enumerate(TAUS):
            k = self.bound(n, extra if cut is None else 0)
            if cut is not None:
                k += ceil((tau * BIN_US + cut) * extra / WINDOW_US)
            if known.delay(k) > tau * BIN_US + target:
                return False
        return True


@dataclass(slots=True)
class Held:
    id: str
    cls: MessageClass
    destination: int
    due: int
    seq: int
    most: int                   # attempts
    key: str | None
    admitted: bool = False
    attempts: int = 0
    call: Call | None = None    # the attempt that is out
    mark: list[int] | None = None
    ran_at: int = -1            # send of the first attempt that may have run
    ran_zone: str = ""          # the zone that it must keep to since
    not_before: int = 0


@dataclass(slots=True)
class Call:
    """One call out; it holds a slot until the last of its messages has its outcome."""
    server: Server
    sent: int
    open: int = 0
    carried: int = 0
    judged: bool = False
    doubted: bool = False       # counted as a failure since it is overdue
    called_off: bool = False
    overdue_at: int = 0


@dataclass(slots=True)
class Guard:
    """Stands over a route, or over one endpoint whose neighbours serve, from a failure until it is warm."""
    doubts: int = 0             # failures in a row; 0: off; above QUESTIONS its budget holds
    part: float = 0.0           # calls a second, this sender's part of what a warm one takes
    since: int = -1             # when the last of these was told
    late: int = 0               # by then all but a few senders have been told
    last_ok: int = -1
    warm_from: int = -1         # the first success after the last failure
    next_call: int = 0


@dataclass(slots=True)
class Server:
    entry: Endpoint
    route: Route
    ready: bool = True
    gone: bool = False
    calls: dict[int, Call] = field(default_factory=dict)
    guard: Guard = field(default_factory=Guard)


@dataclass(slots=True)
class Route:
    envelopes: dict[str, Envelope] = field(default_factory=dict)
    servers: list[Server] = field(default_factory=list)
    rate: float = inf
    tokens: float = 1.0
    filled: int = 0
    cut_at: int = -1
    silent_until: int = 0
    sent: deque[int] = field(default_factory=deque)
    served: deque[int] = field(default_factory=deque)
    guard: Guard = field(default_factory=Guard)
    top: float = inf            # the most that the pace may reach, where answers tell the limit
    grown_at: int = 0           # when it last grew by what answers tell is left
    limit: float = 0.0          # calls a second from all senders, where it is told
    known: float = 0.0          # part of the process before


@dataclass(slots=True)
class Destination:
    number: int
    wake: int = -1              # the next look that is planned
    left: int = 0               # when it was first heard of, or an endpoint of it last went
    routes: dict[str, Route] = field(default_factory=dict)
    waiting: dict[str, Held] = field(default_factory=dict)


@dataclass(slots=True)
class Key:
    queue: deque[str] = field(default_factory=deque)
    out: bool = False
    rests_until: int = 0
    rests_for: str = ""


class Engine:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.set, self.random = settings, random.Random(seed)
        self.now = self.seq = self.calls_out = self.ask_fails = 0
        self.timer_at = self.started = -1
        self.ends_at: float = inf        # the process ends then, on purpose
        self.actions: list[Action] = []
        self.held: dict[str, Held] = {}
        self.attempts_out: dict[tuple[str, int], tuple[Held, Call]] = {}
        self.destinations: dict[int, Destination] = {}
        self.servers: dict[str, Server] = {}
        self.keys: dict[str, Key] = {}
        self.wide: dict[str, Envelope] = {}
        self.capped: dict[str, int] = {}    # until when idle connections are closed there
        self.touched: dict[int, Destination] = {}    # what this turn's events have changed
        self.starved: dict[int, Destination] = {}    # what waits for a slot
        self.wakes: list[tuple[int, int]] = []       # when a destination is to be looked at again
        self.due: list[tuple[int, int, str]] = []    # when a message is to be looked at again
        self.turn_calls: dict[str, Call] = {}
        self.targets: dict[str, int] = {}    # by class, like what follows, as it was when last handed in
        self.keeps: dict[str, int] = {}

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        self.now, self.actions, self.turn_calls = now_us, [], {}
        self.started = now_us if self.started < 0 else self.started
        for event in events:
            if isinstance(event, Message):
                self._arrive(event)
            elif isinstance(event, AttemptFinished):
                self._outcome(event)
            elif isinstance(event, EndpointReport):
                self._reported(event)
            elif isinstance(event, EndpointListUpdate):
                self._listed(event)
            elif isinstance(event, MessageWithdrawn) and event.id in self.held:
                self._forget(self.held[event.id])
            elif isinstance(event, TimerFired) and event.token == TIMER_ASK:
                self.actions.append(PollEndpointList())
            elif isinstance(event, LearnedRate):
                self._known(event)
            elif isinstance(event, ShuttingDown):
                self.ends_at = event.ends_at_us
        self._dispatch()
        return self.actions

    # -- knowing the fleet

    def _listed(self, event: EndpointListUpdate) -> None:
        self.ask_fails = min(self.ask_fails + 1, 4) if event.kind is ListUpdateKind.FAILED else 0
        cached = event.kind is ListUpdateKind.CACHED
        if event.kind is ListUpdateKind.FAILED or (self.set.polls_endpoint_list and cached):
            most = self.set.poll_within_us * ASK_IN[self.ask_fails > 1]
            pause = min(most, ASKED_US * self.set.replica_count << self.ask_fails)
            self.actions.append(SetTimer(TIMER_ASK, int(pause * self.random.random())))
        if event.kind is ListUpdateKind.FAILED:
            return
        if event.kind is not ListUpdateKind.CHANGES:
            for server in self.servers.values():
                server.ready, server.gone = False, True
        for entry in event.endpoints:
            server = self.servers.get(entry.id)
            if server is None or server.entry.destination != entry.destination:
                if server is not None:
                    server.ready, server.gone = False, True
                    self._drop(server)
                server = self.servers[entry.id] = self._new_server(entry)
            server.entry, server.ready = entry, entry.status is EndpointStatus.READY
            server.gone = entry.status is EndpointStatus.GONE
            if self.set.weights in ("nominal", "rough"):
                server.route.limit = entry.weight
            elif self.set.weights == "told" and server.ready:
                self._set_limit(server.route, entry.weight)
            self.touched[entry.destination] = self._destination(entry.destination)
        for server in list(self.servers.values()):
            self._drop(server)
        for number, destination in list(self.destinations.items()):
            if destination.left < self.now - FORGET_US and not self._needed(number):
                del self.destinations[number]

    def _known(self, event: LearnedRate) -> None:
        """A partner that is down at a restart would otherwise come back to a part of almost nothing."""
        destination = self.destinations.get(event.destination)
        route = destination.routes.get(event.route) if destination else None
        if route is not None:
            route.known, route.limit = event.own_rate, route.limit or event.limit

    def learned_rates(self) -> list[LearnedRate]:
        """What a later process of this sender should know; to be asked at any time."""
        return [LearnedRate(d.number, name, r.guard.part if r.guard.doubts else self._part(r), r.limit)
                for d in self.destinations.values() for name, r in d.routes.items()]

    def _new_server(self, entry: Endpoint) -> Server:
        destination = self._destination(entry.destination)
        name = entry.id if self.set.route_per_endpoint.get(entry.kind) else ""
        route = destination.routes.setdefault(name, Route())
        server = Server(entry, route)
        route.servers.append(server)
        return server

    def _drop(self, server: Server) -> None:
        """A gone endpoint with nothing out and no wait is forgotten, and its route where routes are apart."""
        guard, rests = server.route.guard, server.route.silent_until
        rests = max(rests, guard.since + self.set.slow_start_us if guard.doubts else 0)
        if not server.gone or server.calls or rests > self.now:
            return
        server.route.servers.remove(server)
        if self.servers.get(server.entry.id) is server:
            del self.servers[server.entry.id]
        self.capped.pop(server.entry.id, None)
        destination = self.destinations[server.entry.destination]
        destination.routes.pop(server.entry.id, None)
        destination.left = self.now

    def _needed(self, number: int) -> bool:
        return (any(route.servers for route in self.destinations[number].routes.values())
                or number in self.touched or number in self.starved
                or any(message.destination == number for message in self.held.values()))

    def _destination(self, number: int) -> Destination:
        return self.destinations.setdefault(number, Destination(number, left=self.now))

    # -- a message arrives

    def _arrive(self, event: Message) -> None:
        cls = event.message_class or self.set.classes.get(event.class_name)
        if cls is None:
            self.actions.append(Fail(event.id))
            return
        self.seq += 1
        most = self.set.attempts.get(event.destination, self.set.max_attempts)
        message = Held(event.id, cls, event.destination, event.due_us, self.seq, most,
                       event.ordering_key if cls.ordered else None, attempts=event.attempts)
        self.targets[cls.name], self.keeps[cls.name] = int(cls.deadline_us * (1 - MARGIN)), self._keeps(cls)
        if event.may_have_run_at_us is not None:
            message.ran_at = max(0, event.may_have_run_at_us)
            message.ran_zone = event.may_have_run_zone if cls.key_scope_zone else ""
        destination = self._destination(event.destination)
        self.held[message.id] = destination.waiting[message.id] = message
        if message.key is not None:
            self.keys.setdefault(message.key, Key()).queue.append(message.id)
        self.touched[destination.number] = destination
        if self._spent(message) or self._late_at(message) <= self.now:     # as after a restart
            self._give_up(message)
            return
        self._watch(message)
        self._admit(message)
        if not event.restored and len(destination.waiting) > self._bound(destination, message):
            self._refuse(message)

    def _admit(self, message: Held) -> bool:
        """LMAC: does its class keep its target with it, and every other class with its service cut by it?"""
        if message.admitted:
            return True
        target = self.targets[message.cls.name]
        routes = self.destinations[message.destination].routes.values()
        for route in sorted(routes, key=lambda route: sum(len(s.calls) for s in route.servers)):
            own = self._envelope(route, message.cls.name)
            for name, envelope in route.envelopes.items():
                envelope.roll(self.now)
                if not (own.passes(target, 1.0) if envelope is own else
                        envelope.passes(self.targets[name], 1.0, target)):
                    break
            else:
                own.admitted(self.now)
                message.admitted = True
                return True
        return False

    def _envelope(self, route: Route, name: str) -> Envelope:
        return route.envelopes.setdefault(name, Envelope(self.wide.setdefault(name, Envelope())))

    def _bound(self, destination: Destination, message: Held) -> float:
        """None may hold more than is left free: a hanging one fills all room; a burst is refused early too.
        What is not admitted waits only as far as the destination can serve in time."""
        room = self.set.max_queued - len(self.held)
        if message.admitted:
            return room
        served = sum(map(self._served, destination.routes.values()))
        return min(max(LEAST_HELD, served * self.targets[message.cls.name] / WINDOW_US), room)

    def _served(self, route: Route) -> int:
        return self._trim(route.served, WINDOW_US)

    def _trim(self, times: deque[int], span: int) -> int:
        while times and times[0] < self.now - span:
            times.popleft()
        return len(times)

    # -- dispatch

    def _dispatch(self) -> None:
        self._answer_late()
        while self.wakes and self.wakes[0][0] <= self.now:
            number = heapq.heappop(self.wakes)[1]
            if number in self.destinations:
                self.touched[number] = self.destinations[number]
        self._free_slots()
        shut: set[int | tuple[int, str]] = set()
        for message in sorted(chain.from_iterable(d.waiting.values() for d in self.touched.values()),
                              key=self._urgency):
            if message.destination in shut or (message.destination, message.cls.name) in shut \
                    or message.not_before > self.now or not self._in_turn(message):
                continue
            if not self._admit(message):
                shut.add((message.destination, message.cls.name))
                continue
            server = self._choose(message)
            if server is not None:
                self._send(message, server)
            elif not message.ran_zone:
                shut.add(message.destination)
        for destination in self.touched.values():
            at = min(map(self._next_chance, destination.routes.values()), default=inf)
            if destination.waiting and at < inf and not self.now < destination.wake <= at:
                destination.wake = int(at)
                heapq.heappush(self.wakes, (destination.wake, destination.number))
        self.touched = {}
        self._set_timer()

    def _answer_late(self) -> None:
        while self.due and self.due[0][0] <= self.now:
            message = self.held.get(heapq.heappop(self.due)[2])
            if message is not None:
                (self._give_up if self._late_at(message) <= self.now else self._watch)(message)

    def _watch(self, message: Held) -> None:
        heapq.heappush(self.due, (max(self.now + 1, self._late_at(message)), message.seq, message.id))

    def _late_at(self, message: Held) -> int:
        """Due; while it waits, less d(1), as it can't be served in time then; or its key's time is up."""
        if message.call is not None:
            return message.due
        late = message.due - self._mean(message)
        if message.ran_at >= 0 and message.cls.idempotency is Idempotency.WITH_KEY:
            late = min(late, message.ran_at + message.cls.key_ttl_us - self.set.tick_us + 1)
        return late

    def _mean(self, message: Held) -> int:
        routes = self.destinations[message.destination].routes.values()
        means = [r.envelopes[message.cls.name].mean_us() for r in routes if message.cls.name in r.envelopes]
        return int(min(means, default=0.0))

    def _next_chance(self, route: Route) -> float:
        """When a call might go out on the route if no event comes before; a step where none can tell."""
        if not any(server.ready for server in route.servers):
            return inf
        if route.silent_until > self.now:
            return route.silent_until
        guards = [route.guard] if route.guard.doubts else [server.guard for server in route.servers]
        times = [at for g in guards if g.doubts for at in (g.next_call, g.warm_from + self.set.slow_start_us)]
        if self._tokens(route) < 1:
            times.append(self.now + ceil((1 - route.tokens) * SECOND / route.rate))
        return min((at for at in times if at > self.now), default=self.now + BIN_US)

    def _set_timer(self) -> None:
        while self.due and self.due[0][2] not in self.held:
            heapq.heappop(self.due)
        at = min([queue[0][0] for queue in (self.due, self.wakes) if queue], default=-1)
        if at >= 0 and not self.now < self.timer_at <= at:
            self.timer_at = at
            self.actions.append(SetTimer(TIMER_WAKE, max(0, at - self.now)))

    def _urgency(self, message: Held) -> tuple[bool, float]:
        """Oldest first, what is worth twice as much as if it had waited twice as long; then what has lost
        most of its worth, as it would make all late under a backlog."""
        age = self.now - message.due + message.cls.deadline_us
        return (age >= self.keeps[message.cls.name], -age * message.cls.priority_weight)

    def _keeps(self, cls: MessageClass) -> int:
        """How long after it was handed in a message of the class keeps KEPT of its worth."""
        if cls.late_priority_weight >= KEPT:
            return cls.deadline_us
        if self.set.halves_after_objective:
            return min(cls.deadline_us, int(cls.latency_objective_us * (1 - log2(KEPT))))
        falls_for = cls.deadline_us - cls.latency_objective_us
        return cls.latency_objective_us + int(falls_for * (1 - KEPT) / (1 - cls.late_priority_weight))

    def _free_slots(self) -> None:
        """Calls overdue (hung, or the answer lost) are called off; one that is only slow may be ended too."""
        if self.calls_out < self.set.call_slots or not self.set.cancelling:
            return
        wanted = sum(1 for d in chain(self.starved.values(), self.touched.values()) if d.waiting)
        late = [(call.overdue_at, *attempt) for attempt, (message, call) in self.attempts_out.items()
                if call.overdue_at <= self.now and not call.called_off and message.id in self.held]
        for _, message_id, attempt in sorted(late)[:wanted]:
            self.attempts_out[message_id, attempt][1].called_off = True
            self.actions.append(CancelAttempt(message_id, attempt))

    def _in_turn(self, message: Held) -> bool:
        if message.key is None:
            return True
        key = self.keys[message.key]
        return (key.queue[0] == message.id and not key.out
                and (key.rests_until <= self.now or key.rests_for == message.id))

    def _choose(self, message: Held) -> Server | None:
        open_to: list[Server] = []
        for route in self.destinations[message.destination].routes.values():
            if route.silent_until > self.now or not self._in_time(route, message):
                continue
            for server in route.servers:
                if not server.ready or (message.ran_zone and server.entry.zone != message.ran_zone):
                    continue
                joined = self.turn_calls.get(server.entry.id)
                most = self.set.messages_per_call.get(server.entry.kind, 1)
                if joined and joined.carried < most:
                    return server
                self._overdue(server)
                if self._may_call(route, server):
                    open_to.append(server)
        return min(open_to, key=self._rank, default=None)

    def _in_time(self, route: Route, message: Held) -> bool:
        """Before the process ends, only what may be over by then: a call out at its end may have run."""
        return self.ends_at == inf or \
            self.now + self._expected(self._envelope(route, message.cls.name), message.cls) <= self.ends_at

    def _rank(self, server: Server) -> tuple[bool, int, bool, float, float]:
        """Ties are broken at random: by list order all senders would meet at the same endpoint."""
        fee = self.set.zone_cost.get(server.entry.zone, 0.0)
        rests = server.guard.doubts > 0 and server.guard.next_call > self.now
        return rests, len(server.calls), server.route.rate < inf, fee, self.random.random()

    def _overdue(self, server: Server) -> None:
        """A call overdue, and no success since it was sent, is evidence before any outcome is."""
        for call in server.calls.values():
            if call.overdue_at <= self.now and not call.doubted:
                call.doubted = True
                self._failed(call, 0)

    def _may_call(self, route: Route, server: Server) -> bool:
        free = self.set.call_slots - self.calls_out
        if free <= 0 or sum(len(s.calls) for s in route.servers) >= max(1, free):
            self.starved[server.entry.destination] = self.destinations[server.entry.destination]
            return False
        if 0 < server.entry.max_calls <= len(server.calls):
            return False
        guard = self._guard(route, server)
        return not (guard.doubts and guard.next_call > self.now) and self._tokens(route) >= 1

    def _guard(self, route: Route, server: Server) -> Guard:
        """The one whose budget a call draws from: the route's while it is on, for all its endpoints."""
        for guard in (route.guard, server.guard):
            if guard.doubts and 0 <= guard.warm_from <= self.now - self.set.slow_start_us:
                guard.doubts, guard.warm_from, route.tokens = 0, -1, 0.0    # no burst
                route.rate = min(route.rate, max(self._even_part(route), route.guard.part, guard.part))
        return route.guard if route.guard.doubts else server.guard

    def _tokens(self, route: Route) -> float:
        gained, route.filled = route.rate * (self.now - route.filled) / SECOND, self.now
        if route.rate == inf:
            return 1.0
        route.tokens = min(max(1.0, route.rate * DEPTH_US / SECOND), route.tokens + gained)
        route.rate = min(route.top, route.rate / (1 - GROWTH * gained) if GROWTH * gained < 1 else inf)
        return route.tokens

    def _send(self, message: Held, server: Server) -> None:
        route, call = server.route, self.turn_calls.get(server.entry.id)
        envelope = self._envelope(route, message.cls.name)
        if call is None or call.carried >= self.set.messages_per_call.get(server.entry.kind, 1):
            call = self._new_call(server, envelope, message)
        call.open += 1
        call.carried += 1
        message.call, message.mark = call, envelope.started(self.now)
        timeout = self._timeout(message, envelope)
        self.attempts_out[message.id, message.attempts] = (message, call)
        message.attempts += 1
        del self.destinations[message.destination].waiting[message.id]
        if message.key is not None:
            self.keys[message.key].out = True
        self.actions.append(Send(message.id, server.entry.id, timeout))

    def _new_call(self, server: Server, envelope: Envelope, message: Held) -> Call:
        route, call = server.route, Call(server, self.now)
        call.overdue_at = self.now + self._expected(envelope, message.cls)
        self.calls_out += 1
        server.calls[id(call)] = call
        self.turn_calls[server.entry.id] = call
        route.sent.append(self.now)
        self._trim(route.sent, RECENT_US)
        if route.rate != inf:
            route.tokens -= 1
        for guard in (route.guard, server.guard):
            guard.next_call = self.now + int(self._gap(guard) * self.random.uniform(0.5, 1.5))
        return call

    def _gap(self, guard: Guard) -> float:
        """Time between calls: the part of what the rule lets a cold route have, growing with its warmth."""
        first, warm_for = self.set.slow_start_from, self.now - guard.warm_from
        warmth = warm_for / max(1, self.set.slow_start_us) if guard.warm_from >= 0 else 0.0
        share = RAMP_SHARE * self.set.overload_multiple * (first + (1 - first) * warmth)
        gap = SECOND / max(1e-6, guard.part * min(1.0, share))
        trial = min(gap * RAMP_SHARE / TRIAL_SHARE, max(0, guard.late - self.now) + gap)
        return gap if guard.warm_from >= 0 else trial

    def _expected(self, envelope: Envelope, cls: MessageClass) -> int:
        if (known := envelope.known()) is None:
            return cls.deadline_us // UNKNOWN_SHARE
        return max(LEAST_TIMEOUT_US, int(TIMEOUT_TIMES * known.delay(1)))

    def _timeout(self, message: Held, envelope: Envelope) -> int:
        """Only what may be sent again is cut short; each further attempt is given twice the time."""
        left = message.due - self.now
        if message.cls.idempotency is Idempotency.NOT_IDEMPOTENT or message.attempts + 1 >= message.most:
            return left
        wait = self._expected(envelope, message.cls) << min(message.attempts, 4)
        if message.cls.idempotency is Idempotency.WITH_KEY:
            first = message.ran_at if message.ran_at >= 0 else self.now
            if self.now + wait + self._expected(envelope, message.cls) > first + message.cls.key_ttl_us:
                return left
        return min(left, wait)

    # -- an outcome

    def _outcome(self, event: AttemptFinished) -> None:
        if (found := self.attempts_out.pop((event.id, event.attempt), None)) is None:
            return
        message, call = found
        self.touched[message.destination] = self.destinations[message.destination]
        if message.key is not None:
            self._key_outcome(message, event.outcome)
        if event.retry_after_us:   # each outcome tells its own, also the later ones of a call already judged
            route = call.server.route
            route.silent_until = max(route.silent_until, self.now + event.retry_after_us)
        self._close(call)
        if not call.judged:
            call.judged = True
            self._judge(call, event)
        if event.outcome is Outcome.OK and message.mark is not None:
            self._envelope(call.server.route, message.cls.name).completed(self.now, message.mark)
        elif message.mark is not None:
            message.mark[1] = self.now
        if self.held.get(event.id) is not message:
            return
        message.call = None
        if event.finished or event.outcome is Outcome.OK:
            self._forget(message)
        else:
            self._again(message, call, event.outcome)

    def _key_outcome(self, message: Held, outcome: Outcome) -> None:
        key = self.keys[message.key]
        key.out = False
        if outcome in MAY_HAVE_RUN:
            key.rests_until, key.rests_for = self.now + self.set.ordering_gap_us, message.id
        self._key_moved(message.key, key)

    def _key_moved(self, name: str, key: Key) -> None:
        following = self.held.get(key.queue[0]) if key.queue else None
        if following is not None:
            self.touched[following.destination] = self.destinations[following.destination]
            if key.rests_until > self.now:
                heapq.heappush(self.wakes, (key.rests_until, following.destination))
        elif not key.out and key.rests_until <= self.now:
            del self.keys[name]

    def _reported(self, event: EndpointReport) -> None:
        """A call that another proxy made under a grant: it counts, and is judged, as one of our own."""
        server = self.servers.get(event.endpoint)
        if server is not None:
            server.route.sent.append(self.now)
            self._trim(server.route.sent, RECENT_US)
            self._tokens(server.route)      # a pace that was cut grows with the calls that it allows
            server.route.silent_until = max(server.route.silent_until, self.now + event.retry_after_us)
            self._judge(Call(server, event.sent_us), event)

    def allowances(self, among: set[int] | None = None) -> list[RouteAllowance]:
        """What all proxies together may send on each route, of some destinations or of all; after a turn."""
        return [RouteAllowance(n, name,
                               {s.entry.id: self._budget(self._guard(r, s)) for s in r.servers if s.ready},
                               min(r.rate, self._budget(r.guard)), r.silent_until)
                for n in (self.destinations if among is None else self.destinations.keys() & among)
                for name, r in self.destinations[n].routes.items()]

    def _budget(self, guard: Guard) -> float:
        return inf if not guard.doubts else 0.0 if guard.next_call > self.now else SECOND / self._gap(guard)

    def _close(self, call: Call) -> None:
        call.open -= 1
        if not call.open:
            self.calls_out -= 1
            del call.server.calls[id(call)]
            self.touched.update(self.starved)
            self.starved = {}
            if not call.server.calls and self.capped.get(call.server.entry.id, 0) > self.now:
                self.actions.append(CloseIdleConnections(call.server.entry.id))
            self._drop(call.server)

    def _judge(self, call: Call, event: AttemptFinished) -> None:
        server, route, outcome = call.server, call.server.route, event.outcome
        if event.load_report.get("x1"):
            alone = self.set.messages_per_call.get(server.entry.kind, 1) == 1
            self._told_limit(route, event.load_report["x1"], event.load_report.get("x0", 0.0), alone)
        if outcome is Outcome.OK:
            route.served.append(self.now)
            self._trim(route.served, WINDOW_US)
            self._succeeded(server.guard)
            self._succeeded(route.guard)
        elif outcome is Outcome.OVERLOADED and call.sent >= route.cut_at:
            self._tokens(route)
            recent = max(FIRST_RATE, self._trim(route.sent, RECENT_US) * SECOND / RECENT_US)
            route.rate = max(self._even_part(route), min(recent, route.rate) / 2)
            route.tokens, route.cut_at = self.random.uniform(-0.5, 0.5), self.now
        elif outcome is Outcome.CONNECT_FAILED and server.guard.last_ok >= max(0, self.now - CAPPED_US):
            self.capped[server.entry.id] = self.now + CAPPED_US
        # Above its limit a partner tells the rest of a span or less; that is no sign of an outage.
        above = (outcome is Outcome.OVERLOADED and route.limit > 0
                 and 0 < event.retry_after_us <= self.set.overload_window_us)
        if outcome not in (Outcome.OK, Outcome.NOT_SENT, Outcome.CONNECTIONS_EXHAUSTED) and not above:
            self._failed(call, event.retry_after_us)

    def _told_limit(self, route: Route, limit: float, left: float, alone: bool) -> None:
        """No pace goes far above its even part: refused calls cost, and at many partners use up the limit.
        Of what is told to be left beyond UNUSED it takes the even part each second, less what may be chance
        (a sum over N strays by 1 / sqrt(N): two of these); calls with many messages gather them instead.
        When a lowered limit is told to have risen, the even part is there at once: growing takes calls."""
        self._tokens(route)
        risen, route.limit = limit > RISEN * route.limit > 0, limit
        even, over = self._even_part(route), max(0.0, left - UNUSED) / (1 - UNUSED)
        route.rate = max(route.rate, even) if risen else route.rate
        if over and alone:
            sure = max(0.0, 1 - 2 / sqrt(self.set.replica_count))
            route.rate += sure * over * even * min(SECOND, self.now - route.grown_at) / SECOND
            route.grown_at = self.now
        route.top = even + TAKEN * over * (limit - even)
        route.rate = min(route.rate, route.top)

    def _set_limit(self, route: Route, limit: float) -> None:
        """A limit that the operator sets holds before any answer tells one; 0: there is none any more."""
        if limit > 0:
            self._told_limit(route, limit, 0.0, False)
        elif route.limit > 0:
            route.limit, route.top, route.rate = 0.0, inf, inf

    def _succeeded(self, guard: Guard) -> None:
        guard.last_ok = self.now
        guard.doubts = 0 if guard.doubts <= QUESTIONS else QUESTIONS + 1
        if guard.doubts and guard.warm_from < 0:
            guard.warm_from = self.now - int(self._gap(guard) / 2)
            guard.next_call = self.now + int(self._gap(guard) * self.random.random())

    def _even_part(self, route: Route) -> float:
        return (route.limit if route.limit > 0 else SMALL_LIMIT) / self.set.replica_count

    def _failed(self, call: Call, wait_us: int) -> None:
        """A failure or refusal that no success since its send gainsays. Told senders break the rule only when
        they push twice as much as the rest, U: the first calls of senders not yet told. Each of these asks q
        times (QUESTIONS), which makes q * U questions; told ones break it only with budgets of (2 - q) * U
        or more, and all together are at most 3 / (2 - q) times these budgets: TRIAL_SHARE keeps that in what
        a cold route may get. One that was served within fall asks on, at doubling gaps, as refusals above a
        limit come in rows; a wait over fall means shut: no question. Covers crashed, hung and shut partners
        and those that fail most calls; hurts where failures are single and calls rare."""
        server, route = call.server, call.server.route
        part = self._part(route)
        for guard, among in ((server.guard, len(route.servers)), (route.guard, 1)):
            if guard.last_ok > call.sent and wait_us <= self.set.overload_window_us:  # longer: it is shut
                continue
            if not guard.doubts:
                guard.part = part / max(1, among)
            held, served = guard.doubts > QUESTIONS, self.now - guard.last_ok
            if not guard.doubts or call.sent >= guard.since:
                guard.doubts, guard.since = guard.doubts + 1, self.now
            lately = not held and served <= self.set.overload_window_us and guard.last_ok >= 0
            guard.doubts = min(guard.doubts, QUESTIONS) if lately else guard.doubts
            guard.doubts += QUESTIONS if wait_us > self.set.overload_window_us else 0
            holds = guard.doubts > QUESTIONS
            if holds and not held:
                cold = self.set.overload_multiple * self.set.slow_start_from
                guard.late = self.now + int(LATE * SECOND / (cold * self._even_guess(route)))
                self.actions.append(LogLine(f"held {server.entry.id}: part of {guard.part:.2f} calls/s"))
            anew = guard.warm_from >= 0 and guard.doubts > QUESTIONS + 2
            guard.warm_from = -1 if anew else guard.warm_from
            if anew or not held or wait_us:
                wide = self._gap(guard) if holds else max(RETRY_US, SPREAD * wait_us, served * lately)
                guard.next_call = self.now + wait_us + int(wide * self.random.random())

    def _even_guess(self, route: Route) -> float:
        return self._even_part(route) / (ROUGH if self.set.weights == "rough" else 1)

    def _part(self, route: Route) -> float:
        """Calls a second that this sender is served with; few served tell less than what was known before."""
        seen = self._served(route)
        own = seen * SECOND / max(SECOND, min(WINDOW_US, self.now - self.started))
        share = seen / (seen + FEW)
        known = route.known if self.now - self.started < KNOWN_US else 0.0
        part = share * own + (1 - share) * (known or self._even_guess(route))
        return max(part, self._even_part(route)) if route.limit > 0 and self.set.weights == "none" else part

    def _again(self, message: Held, call: Call, outcome: Outcome) -> None:
        if outcome in MAY_HAVE_RUN and message.ran_at < 0:
            message.ran_at = call.sent
            message.ran_zone = call.server.entry.zone if message.cls.key_scope_zone else ""
        if outcome in MAY_HAVE_RUN or outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTIONS_EXHAUSTED):
            message.not_before = self.now + int(RETRY_US * message.attempts * self.random.uniform(0.5, 1.5))
        if self._late_at(message) <= self.now or self._spent(message):    # its key's time may be up by now
            self._give_up(message)
            return
        self.destinations[message.destination].waiting[message.id] = message
        heapq.heappush(self.wakes, (message.not_before, message.destination))
        self._watch(message)

    def _spent(self, message: Held) -> bool:
        """No further attempt is allowed; before a restart it may have run too."""
        return (message.attempts >= message.most
                or (message.ran_at >= 0 and message.cls.idempotency is Idempotency.NOT_IDEMPOTENT))

    # -- final answers

    def _give_up(self, message: Held) -> None:
        harmless = message.call is None and (
            message.ran_at < 0 or message.cls.idempotency is Idempotency.IDEMPOTENT
            or (message.cls.idempotency is Idempotency.WITH_KEY and not message.cls.key_scope_zone))
        if harmless:
            self._refuse(message)
        else:
            self.actions.append(Fail(message.id))
            self._forget(message)

    def _refuse(self, message: Held) -> None:
        self.actions.append(Shed(message.id, self._mean(message)))
        self._forget(message)

    def _forget(self, message: Held) -> None:
        destination = self.destinations[message.destination]
        del self.held[message.id]
        destination.waiting.pop(message.id, None)
        if message.key is not None:
            key = self.keys[message.key]
            key.queue.remove(message.id)
            self._key_moved(message.key, key)
