"""An Engine under test and the events that drive it; no server is modelled here."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from scalefall.policy.actions import Send, SetTimer
from scalefall.policy.engine import Engine
from scalefall.policy.events import (
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
    Message,
    Outcome,
    TimerFired,
)
from scalefall.policy.settings import Idempotency, MessageClass, Settings

MS, S = 1000, 1_000_000


def message_class(name="safe", effect=Idempotency.IDEMPOTENT, **changes):
    values = dict(
        name=name,
        latency_objective_us=S,
        deadline_us=8 * S,
        priority_weight=1.0,
        late_priority_weight=0.5,
        idempotency=effect,
        key_scope_zone=False,
        key_ttl_us=5 * S,
        ordered=False,
    )
    return MessageClass(**(values | changes))


CLASSES = (
    message_class(),
    message_class("keyed", Idempotency.WITH_KEY),
    message_class("zoned", Idempotency.WITH_KEY, key_scope_zone=True),
    message_class("unsafe", Idempotency.NOT_IDEMPOTENT, deadline_us=16 * S, latency_objective_us=4 * S),
    message_class("ordered", Idempotency.NOT_IDEMPOTENT, deadline_us=16 * S, latency_objective_us=4 * S, ordered=True),
)


def settings(**changes):
    values = dict(
        replica_index=0,
        replica_count=2,
        classes={c.name: c for c in CLASSES},
        tenants={},
        over_quota_priority_weight=0.1,
        call_slots=10,
        messages_per_call={"one": 1, "many": 20, "route": 1},
        route_per_endpoint={"one": False, "many": False, "route": True},
        zone_cost={"a": 0.0, "b": 0.0},
        halves_after_objective=False,
        max_attempts=6,
        max_queued=100,
        cancelling=True,
        probes=True,
        retry_after=True,
        max_retry_after_us=2 * S,
        idle_close_us=5 * S,
        dial_timeout_us=S,
        streams=1,
        polls_endpoint_list=False,
        poll_within_us=10 * S,
        weights="none",
        report_fields=["x0", "x1"],
        answer_slack_us=20 * MS,
        slow_start_from=0.25,
        slow_start_us=12 * S,
        drain_grace_us=S,
        overload_window_us=3 * S,
        overload_multiple=1.5,
        ordering_gap_us=300 * MS,
        tick_us=5 * MS,
    )
    return Settings(**(values | changes))


class Drive:
    """Hands events to one Engine and keeps what it did."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.engine, self.now, self.actions, self.attempts = Engine(self.settings, 7), 0, [], {}

    def turn(self, *events, after=0):
        self.now += after
        self.actions = self.engine.handle(self.now, list(events))
        for action in self.of(Send):
            self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        return self.actions

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def list(self, *rows, kind=ListUpdateKind.WHOLE, status=EndpointStatus.READY):
        """Rows are (id, destination, kind of endpoint, zone), the last two optional."""
        full = [(*row, "one", "a")[:4] if len(row) == 2 else (*row, "a")[:4] for row in rows]
        return self.turn(EndpointListUpdate(kind, [Endpoint(e, z, k, d, status, 0.0) for e, d, k, z in full]))

    def arrive(self, *ids, cls="safe", dest=1, key=None, after=0, tenant=None):
        due = self.settings.classes[cls].deadline_us if cls in self.settings.classes else 8 * S
        self.turn(*(Message(m, dest, cls, self.now + after + due, tenant, key) for m in ids), after=after)
        return [send.id for send in self.of(Send)]

    def result(self, ids, endpoint, outcome=Outcome.OK, after=100 * MS, wait=0, report=None):
        """Outcomes of the last attempts of ids; a number for wait, or one for each."""
        ids = [ids] if isinstance(ids, str) else ids
        waits = wait if isinstance(wait, list) else [wait] * len(ids)
        self.turn(
            *(
                AttemptFinished(m, self.attempts[m], endpoint, outcome, after, outcome is Outcome.OK, w, report or {})
                for m, w in zip(ids, waits, strict=False)
            ),
            after=after,
        )
        return [send.id for send in self.of(Send)]

    def tick(self, after=20 * MS):
        self.turn(TimerFired(1), after=after)
        return [send.id for send in self.of(Send)]


ANSWER, TICK = 80 * MS, 5 * MS  # of a fleet's destination, and of its senders
FALL, COLD, FALL_MULTIPLE, COLD_FROM = 1500 * MS, 12 * S, 1.5, 0.26  # of the settings of a fleet


def cold_budget(since, limit):
    """Calls that a destination may get from all senders in FALL, so long after its return; the limit is in calls/s."""
    share = COLD_FROM + (1 - COLD_FROM) * since / COLD
    return FALL_MULTIPLE * share * limit * FALL / S


@dataclass(slots=True, frozen=True)
class Outage:
    """A destination that takes limit calls a second when warm, answers fails within down, and tells when it is back
    if wait is set."""

    limit: float
    fails: Outcome
    wait: bool = False
    down: tuple[int, int] = (12 * S, 20 * S)

    def answer(self, now):
        up = not self.down[0] <= now < self.down[1]
        return (Outcome.OK, 0) if up else (self.fails, self.down[1] - now if self.wait else 0)


class Fleet:
    """Senders that share nothing on one clock, with so many messages a second each, at one destination."""

    def __init__(self, sender_type, rates, outage, seed=1, siblings=None, deadline_us=5 * S):
        self.rates, self.outage, self.deadline_us = rates, outage, deadline_us
        self.draw, self.queue, self.number = random.Random(seed), [], 0
        self.calls, self.told, self.attempts = [], set(), {}
        world = dict(
            replica_count=siblings or len(rates),
            weights="nominal",
            overload_window_us=FALL,
            slow_start_us=COLD,
            slow_start_from=COLD_FROM,
            overload_multiple=FALL_MULTIPLE,
            classes={"safe": message_class(deadline_us=deadline_us)},
        )
        self.senders = [sender_type(settings(replica_index=n, **world), seed * 1000 + n) for n in range(len(rates))]

    def push(self, at, n, event):
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, n, event))

    def hand_in(self, at, n, name):
        """Events come in ticks; its time runs from when it was sent."""
        self.push(at // TICK * TICK, n, Message(name, 1, "safe", at + self.deadline_us))

    def play(self, end=34 * S, backlog=0):
        """All calls until the end, as (time, whether its sender was told of a failure before). During the outage
        each sender is handed so many messages more, as its backlog."""
        for n, rate in enumerate(self.rates):
            self.push(
                0,
                n,
                EndpointListUpdate(
                    ListUpdateKind.WHOLE, [Endpoint("e", "a", "one", 1, EndpointStatus.READY, self.outage.limit)]
                ),
            )
            at = self.draw.expovariate(rate)
            while at * S < end:
                self.hand_in(int(at * S), n, f"m{n}-{at}")
                at += self.draw.expovariate(rate)
            began, ended = self.outage.down
            for number in range(backlog):
                self.hand_in(began + number * (ended - began) // backlog, n, f"b{n}-{number}")
        while self.queue and self.queue[0][0] < end:
            now, _, n, event = heapq.heappop(self.queue)
            for action in self.senders[n].handle(now, [event]):
                self.perform(now, n, action)
            if isinstance(event, AttemptFinished) and event.outcome is not Outcome.OK:
                self.told.add(n)
        return self.calls

    def perform(self, now, n, action):
        if isinstance(action, SetTimer):
            self.push(now + max(TICK, action.delay_us), n, TimerFired(action.token))
        elif isinstance(action, Send):
            self.calls.append((now, n in self.told))
            attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
            outcome, wait = self.outage.answer(now)
            done = outcome is Outcome.OK
            self.push(now + ANSWER, n, AttemptFinished(action.id, attempt, "e", outcome, ANSWER, done, wait))
