"""Engines under test and the events that drive them; no server is modelled here."""

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

MILLISECOND = 1000  # microseconds
SECOND = 1_000_000  # microseconds


def message_class(name="safe", idempotency=Idempotency.IDEMPOTENT, **changes):
    values = dict(
        name=name,
        latency_objective_us=SECOND,
        deadline_us=8 * SECOND,
        priority_weight=1.0,
        late_priority_weight=0.5,
        idempotency=idempotency,
        key_scope_zone=False,
        key_ttl_us=5 * SECOND,
        ordered=False,
    )
    return MessageClass(**(values | changes))


CLASSES = (
    message_class(),
    message_class("keyed", Idempotency.WITH_KEY),
    message_class("zoned", Idempotency.WITH_KEY, key_scope_zone=True),
    message_class("unsafe", Idempotency.NOT_IDEMPOTENT, deadline_us=16 * SECOND, latency_objective_us=4 * SECOND),
    message_class(
        "ordered", Idempotency.NOT_IDEMPOTENT, deadline_us=16 * SECOND, latency_objective_us=4 * SECOND, ordered=True
    ),
)


def settings(**changes):
    values = dict(
        replica_index=0,
        replica_count=2,
        classes={rules.name: rules for rules in CLASSES},
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
        max_retry_after_us=2 * SECOND,
        idle_close_us=5 * SECOND,
        dial_timeout_us=SECOND,
        streams=1,
        polls_endpoint_list=False,
        poll_within_us=10 * SECOND,
        weights="none",
        report_fields=["x0", "x1"],
        answer_slack_us=20 * MILLISECOND,
        slow_start_from=0.25,
        slow_start_us=12 * SECOND,
        drain_grace_us=SECOND,
        overload_window_us=3 * SECOND,
        overload_multiple=1.5,
        ordering_gap_us=300 * MILLISECOND,
        tick_us=5 * MILLISECOND,
    )
    return Settings(**(values | changes))


class EngineDriver:
    """Drives one Engine: makes its events, and keeps the actions of its last step."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.engine = Engine(self.settings, 7)
        self.now = 0
        self.actions = []
        self.attempts = {}  # number of the last attempt by message

    def step(self, *events, after=0):
        """Run one step with the events; return its actions."""
        self.now += after
        self.actions = self.engine.handle(self.now, list(events))
        for action in self.actions_of(Send):
            self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        return self.actions

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def update_list(self, *rows, kind=ListUpdateKind.WHOLE, status=EndpointStatus.READY):
        """Update the endpoint list; rows are (id, destination, kind, zone), the last two optional."""
        full_rows = [(*row, "one", "a")[:4] if len(row) == 2 else (*row, "a")[:4] for row in rows]
        endpoints = [
            Endpoint(endpoint, zone, endpoint_kind, destination, status, 0.0)
            for endpoint, destination, endpoint_kind, zone in full_rows
        ]
        return self.step(EndpointListUpdate(kind, endpoints))

    def submit(self, *ids, class_name="safe", destination=1, ordering_key=None, after=0, tenant=None):
        """Submit messages; return the ids of those that the step sends."""
        classes = self.settings.classes
        due = self.now + after + (classes[class_name].deadline_us if class_name in classes else 8 * SECOND)
        self.step(*(Message(name, destination, class_name, due, tenant, ordering_key) for name in ids), after=after)
        return [send.id for send in self.actions_of(Send)]

    def finish(self, ids, endpoint, outcome=Outcome.OK, after=100 * MILLISECOND, retry_after_us=0, load_report=None):
        """Finish the last attempts of ids, with one Retry-After for all or one each; return the ids that are sent."""
        ids = [ids] if isinstance(ids, str) else ids
        waits = retry_after_us if isinstance(retry_after_us, list) else [retry_after_us] * len(ids)
        is_final = outcome is Outcome.OK
        self.step(
            *(
                AttemptFinished(name, self.attempts[name], endpoint, outcome, after, is_final, wait, load_report or {})
                for name, wait in zip(ids, waits, strict=False)
            ),
            after=after,
        )
        return [send.id for send in self.actions_of(Send)]

    def tick(self, after=20 * MILLISECOND):
        """Fire the timer for evaluations; return the ids of the messages that are sent."""
        self.step(TimerFired(1), after=after)
        return [send.id for send in self.actions_of(Send)]


LATENCY_US = 80 * MILLISECOND  # of the fleet's destination
TICK_US = 5 * MILLISECOND  # of the fleet's senders
# Settings of a fleet's slow start.
OVERLOAD_WINDOW_US = 1500 * MILLISECOND
SLOW_START_US = 12 * SECOND
OVERLOAD_MULTIPLE = 1.5
SLOW_START_FROM = 0.26


def cold_budget(elapsed_us, limit):
    """Return the calls that a destination may get from all senders within an overload window.

    The window starts elapsed_us after the destination has come back; the limit is in calls a second.
    """
    fraction = SLOW_START_FROM + (1 - SLOW_START_FROM) * elapsed_us / SLOW_START_US
    return OVERLOAD_MULTIPLE * fraction * limit * OVERLOAD_WINDOW_US / SECOND


@dataclass(slots=True, frozen=True)
class Outage:
    """A destination that serves limit calls a second when warm, and answers with an outcome while it is down.

    With sends_retry_after, these answers demand a Retry-After until it is back.
    """

    limit: float
    outcome: Outcome
    sends_retry_after: bool = False
    down: tuple[int, int] = (12 * SECOND, 20 * SECOND)

    def answer(self, now):
        """Return the outcome of a call, and its Retry-After."""
        is_up = not self.down[0] <= now < self.down[1]
        return (Outcome.OK, 0) if is_up else (self.outcome, self.down[1] - now if self.sends_retry_after else 0)


class Fleet:
    """Independent senders on one clock, each with a rate of messages a second for the same destination."""

    def __init__(self, sender_type, rates, outage, seed=1, replica_count=None, deadline_us=5 * SECOND):
        self.rates, self.outage, self.deadline_us = rates, outage, deadline_us
        self.random, self.queue, self.sequence = random.Random(seed), [], 0
        self.calls, self.failed_senders, self.attempts = [], set(), {}
        changes = dict(
            replica_count=replica_count or len(rates),
            weights="nominal",
            overload_window_us=OVERLOAD_WINDOW_US,
            slow_start_us=SLOW_START_US,
            slow_start_from=SLOW_START_FROM,
            overload_multiple=OVERLOAD_MULTIPLE,
            classes={"safe": message_class(deadline_us=deadline_us)},
        )
        self.senders = [sender_type(settings(replica_index=n, **changes), seed * 1000 + n) for n in range(len(rates))]

    def push(self, at, n, event):
        self.sequence += 1
        heapq.heappush(self.queue, (at, self.sequence, n, event))

    def submit(self, at, n, name):
        """Submit a message to a sender at a tick; its deadline counts from the time at which the client sent it."""
        self.push(at // TICK_US * TICK_US, n, Message(name, 1, "safe", at + self.deadline_us))

    def run(self, end=34 * SECOND, backlog=0):
        """Return all calls until the end, as (time, whether their sender had seen a failure before).

        During the outage each sender gets a backlog of this many more messages.
        """
        for n, rate in enumerate(self.rates):
            endpoint = Endpoint("e", "a", "one", 1, EndpointStatus.READY, self.outage.limit)
            self.push(0, n, EndpointListUpdate(ListUpdateKind.WHOLE, [endpoint]))
            at = self.random.expovariate(rate)
            while at * SECOND < end:
                self.submit(int(at * SECOND), n, f"m{n}-{at}")
                at += self.random.expovariate(rate)
            began, ended = self.outage.down
            for number in range(backlog):
                self.submit(began + number * (ended - began) // backlog, n, f"b{n}-{number}")
        while self.queue and self.queue[0][0] < end:
            now, _, n, event = heapq.heappop(self.queue)
            for action in self.senders[n].handle(now, [event]):
                self.perform(now, n, action)
            if isinstance(event, AttemptFinished) and event.outcome is not Outcome.OK:
                self.failed_senders.add(n)
        return self.calls

    def perform(self, now, n, action):
        if isinstance(action, SetTimer):
            self.push(now + max(TICK_US, action.delay_us), n, TimerFired(action.token))
        elif isinstance(action, Send):
            self.calls.append((now, n in self.failed_senders))
            attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
            outcome, retry_after_us = self.outage.answer(now)
            is_final = outcome is Outcome.OK
            event = AttemptFinished(action.id, attempt, "e", outcome, LATENCY_US, is_final, retry_after_us)
            self.push(now + LATENCY_US, n, event)
