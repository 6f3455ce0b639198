"""A Sender under test and the events that drive it; no server is modelled here."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from scalefall import interface as i
from scalefall.policy.engine import Sender

MS, S = 1000, 1_000_000


def message_class(name="safe", effect=i.Effect.SAFE, **changes):
    values = dict(
        name=name,
        aim_us=S,
        deadline_us=8 * S,
        worth=1.0,
        late_worth=0.5,
        effect=effect,
        key_scope_zone=False,
        key_ttl_us=5 * S,
        in_order=False,
    )
    return i.MessageClass(**(values | changes))


CLASSES = (
    message_class(),
    message_class("keyed", i.Effect.KEYED),
    message_class("zoned", i.Effect.KEYED, key_scope_zone=True),
    message_class("unsafe", i.Effect.UNSAFE, deadline_us=16 * S, aim_us=4 * S),
    message_class("ordered", i.Effect.UNSAFE, deadline_us=16 * S, aim_us=4 * S, in_order=True),
)


def settings(**changes):
    values = dict(
        index=0,
        siblings=2,
        classes={c.name: c for c in CLASSES},
        tenants={},
        over_share_worth=0.1,
        slots=10,
        per_call={"one": 1, "many": 20, "route": 1},
        apart={"one": False, "many": False, "route": True},
        zone_fee={"a": 0.0, "b": 0.0},
        halving=False,
        max_attempts=6,
        max_held=100,
        cancelling=True,
        probes=True,
        retry_after=True,
        max_retry_after_us=2 * S,
        idle_close_us=5 * S,
        dial_timeout_us=S,
        streams=1,
        ask=False,
        ask_within_us=10 * S,
        weights="none",
        report_fields=["x0", "x1"],
        answer_slack_us=20 * MS,
        cold_from=0.25,
        cold_us=12 * S,
        drain_grace_us=S,
        fall_us=3 * S,
        fall_multiple=1.5,
        turn_gap_us=300 * MS,
        tick_us=5 * MS,
    )
    return i.Settings(**(values | changes))


class Drive:
    """Hands events to one Sender and keeps what it did."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.sender, self.now, self.actions, self.attempts = Sender(self.settings, 7), 0, [], {}

    def turn(self, *events, after=0):
        self.now += after
        self.actions = self.sender.handle(self.now, list(events))
        for action in self.of(i.Send):
            self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        return self.actions

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def list(self, *rows, kind=i.ListKind.WHOLE, status=i.Status.READY):
        """Rows are (id, destination, kind of endpoint, zone), the last two optional."""
        full = [(*row, "one", "a")[:4] if len(row) == 2 else (*row, "a")[:4] for row in rows]
        return self.turn(i.Listed(kind, [i.Endpoint(e, z, k, d, status, 0.0) for e, d, k, z in full]))

    def arrive(self, *ids, cls="safe", dest=1, key=None, after=0, tenant=None):
        due = self.settings.classes[cls].deadline_us if cls in self.settings.classes else 8 * S
        self.turn(*(i.Message(m, dest, cls, self.now + after + due, tenant, key) for m in ids), after=after)
        return [send.id for send in self.of(i.Send)]

    def result(self, ids, endpoint, outcome=i.Outcome.OK, after=100 * MS, wait=0, report=None):
        """Outcomes of the last attempts of ids; a number for wait, or one for each."""
        ids = [ids] if isinstance(ids, str) else ids
        waits = wait if isinstance(wait, list) else [wait] * len(ids)
        self.turn(
            *(
                i.Attempted(m, self.attempts[m], endpoint, outcome, after, outcome is i.Outcome.OK, w, report or {})
                for m, w in zip(ids, waits)
            ),
            after=after,
        )
        return [send.id for send in self.of(i.Send)]

    def tick(self, after=20 * MS):
        self.turn(i.Timer(1), after=after)
        return [send.id for send in self.of(i.Send)]


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
    fails: i.Outcome
    wait: bool = False
    down: tuple[int, int] = (12 * S, 20 * S)

    def answer(self, now):
        up = not self.down[0] <= now < self.down[1]
        return (i.Outcome.OK, 0) if up else (self.fails, self.down[1] - now if self.wait else 0)


class Fleet:
    """Senders that share nothing on one clock, with so many messages a second each, at one destination."""

    def __init__(self, sender_type, rates, outage, seed=1, siblings=None, deadline_us=5 * S):
        self.rates, self.outage, self.deadline_us = rates, outage, deadline_us
        self.draw, self.queue, self.number = random.Random(seed), [], 0
        self.calls, self.told, self.attempts = [], set(), {}
        world = dict(
            siblings=siblings or len(rates),
            weights="nominal",
            fall_us=FALL,
            cold_us=COLD,
            cold_from=COLD_FROM,
            fall_multiple=FALL_MULTIPLE,
            classes={"safe": message_class(deadline_us=deadline_us)},
        )
        self.senders = [sender_type(settings(index=n, **world), seed * 1000 + n) for n in range(len(rates))]

    def push(self, at, n, event):
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, n, event))

    def hand_in(self, at, n, name):
        """Events come in ticks; its time runs from when it was sent."""
        self.push(at // TICK * TICK, n, i.Message(name, 1, "safe", at + self.deadline_us))

    def play(self, end=34 * S, backlog=0):
        """All calls until the end, as (time, whether its sender was told of a failure before). During the outage
        each sender is handed so many messages more, as its backlog."""
        for n, rate in enumerate(self.rates):
            self.push(
                0, n, i.Listed(i.ListKind.WHOLE, [i.Endpoint("e", "a", "one", 1, i.Status.READY, self.outage.limit)])
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
            if isinstance(event, i.Attempted) and event.outcome is not i.Outcome.OK:
                self.told.add(n)
        return self.calls

    def perform(self, now, n, action):
        if isinstance(action, i.SetTimer):
            self.push(now + max(TICK, action.delay_us), n, i.Timer(action.token))
        elif isinstance(action, i.Send):
            self.calls.append((now, n in self.told))
            attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
            outcome, wait = self.outage.answer(now)
            done = outcome is i.Outcome.OK
            self.push(now + ANSWER, n, i.Attempted(action.id, attempt, "e", outcome, ANSWER, done, wait))
