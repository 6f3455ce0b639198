"""Property tests of the six rules: arbitrary legal events, actions judged by the rules' text alone.

The judge keeps its own books from the events and actions; it reads nothing of the module's state. No server is
modelled here: outcomes are drawn. For each rule a broken variant of the module must be caught.
"""

import random
from dataclasses import replace

import pytest
from helpers import MILLISECOND, SECOND, settings
from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from scalefall.policy.actions import Fail, Send, SetTimer, Shed
from scalefall.policy.engine import Engine
from scalefall.policy.events import (
    NEVER_RAN,
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
    Message,
    MessageWithdrawn,
    Outcome,
    TimerFired,
)
from scalefall.policy.settings import Idempotency, Tenant

RESTS = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}
ENDPOINTS = [
    ("a", 1, "one", "a"),
    ("b", 1, "one", "b"),
    ("c", 2, "many", "a"),
    ("d", 2, "many", "a"),
    ("r", 3, "route", "a"),
    ("s", 3, "route", "b"),
]
KIND = {e: kind for e, _, kind, _ in ENDPOINTS}
DEST = {e: dest for e, dest, _, _ in ENDPOINTS}
ZONE = {e: zone for e, _, _, zone in ENDPOINTS}


class BrokenRuleError(AssertionError):
    pass


class Judge:
    def __init__(self, world):
        self.set, self.open, self.all, self.out = world, {}, {}, {}
        self.count, self.ran, self.waits, self.left = {}, {}, {}, {}
        self.order, self.rest = {}, {}

    def event(self, now, e):
        if isinstance(e, Message):
            self.open[e.id] = self.all[e.id] = e
            if e.class_name == "ordered":
                self.order.setdefault(e.ordering_key, []).append(e.id)
        elif isinstance(e, MessageWithdrawn):
            self.open.pop(e.id, None)
        elif isinstance(e, AttemptFinished):
            sent, _ = self.out.pop((e.id, e.attempt))
            if e.outcome not in NEVER_RAN:
                self.ran.setdefault(e.id, (sent, e.endpoint))
            if e.finished:
                self.open.pop(e.id, None)
            if e.retry_after_us:
                scope = e.endpoint if KIND[e.endpoint] == "route" else DEST[e.endpoint]
                self.waits[scope] = max(self.waits.get(scope, 0), now + e.retry_after_us)
            if e.outcome in RESTS and self.all[e.id].class_name == "ordered":
                self.rest[self.all[e.id].ordering_key] = (now + self.set.ordering_gap_us, e.id)
        elif isinstance(e, EndpointListUpdate):
            for entry in e.endpoints:
                if entry.status is EndpointStatus.READY:
                    self.left.pop(entry.id, None)
                else:
                    self.left.setdefault(entry.id, now)

    def action(self, now, a):
        if isinstance(a, Send):
            self.send(now, a)
        elif isinstance(a, (Shed, Fail)):
            if a.id not in self.open:
                raise BrokenRuleError(f"lost: {a.id} answered twice")
            effect = self.set.classes[self.open[a.id].class_name].idempotency if isinstance(a, Shed) else None
            may_run = a.id in self.ran or any(m == a.id for m, _ in self.out)
            zoned = isinstance(a, Shed) and self.set.classes[self.open[a.id].class_name].key_scope_zone
            if may_run and (effect is Idempotency.NOT_IDEMPOTENT or (effect is Idempotency.WITH_KEY and zoned)):
                raise BrokenRuleError(f"effect: {a.id} refused though it may have run")
            del self.open[a.id]

    def send(self, now, a):
        if a.id not in self.open:
            raise BrokenRuleError(f"lost: {a.id} sent after its end")
        message = self.open[a.id]
        cls = self.set.classes[message.class_name]
        if any(m == a.id for m, _ in self.out):
            raise BrokenRuleError(f"effect: two attempts of {a.id} out")
        if a.id in self.ran:
            first, where = self.ran[a.id]
            if cls.idempotency is Idempotency.NOT_IDEMPOTENT or (
                cls.idempotency is Idempotency.WITH_KEY
                and (now > first + cls.key_ttl_us or (cls.key_scope_zone and ZONE[where] != ZONE[a.endpoint]))
            ):
                raise BrokenRuleError(f"effect: {a.id} sent again")
        if now > self.left.get(a.endpoint, now) + self.set.drain_grace_us:
            raise BrokenRuleError(f"drain: {a.id} to {a.endpoint}")
        scope = a.endpoint if KIND[a.endpoint] == "route" else DEST[a.endpoint]
        if now < self.waits.get(scope, 0):
            raise BrokenRuleError(f"wait: {a.id} to {a.endpoint}")
        if message.class_name == "ordered":
            for other in self.order[message.ordering_key]:
                if other == a.id:
                    break
                if other in self.open or any(m == other for m, _ in self.out):
                    raise BrokenRuleError(f"order: {a.id} before {other}")
            until, owner = self.rest.get(message.ordering_key, (0, a.id))
            if now < until and owner != a.id:
                raise BrokenRuleError(f"order: {a.id} while its key rests")
        attempt = self.count[a.id] = self.count.get(a.id, -1) + 1
        self.out[a.id, attempt] = (now, a.endpoint)

    def turn_over(self, now):
        for message in self.open.values():
            if now > message.due_us + self.set.answer_slack_us:
                raise BrokenRuleError(f"lost: {message.id} without an answer at due")


def play(seed, turns=160, sender_type=Engine):
    draw = random.Random(seed)
    world = settings(
        call_slots=draw.choice([2, 6, 20]),
        max_queued=draw.choice([8, 60]),
        tenants={"t": Tenant("t", 2.0)},
        polls_endpoint_list=draw.random() < 0.5,
    )
    sender, judge, now, number = sender_type(world, seed), Judge(world), 0, 0
    timers, status = [], {e: EndpointStatus.READY for e, *_ in ENDPOINTS}

    def listed(names, kind):
        return EndpointListUpdate(kind, [Endpoint(e, ZONE[e], KIND[e], DEST[e], status[e], 0.0) for e in names])

    events = [listed(status, ListUpdateKind.CACHED)]
    mood = Outcome.OK
    for turn in range(turns + 400):
        ended = turn >= turns
        if not ended:
            for _ in range(draw.choice([0, 0, 1, 2, 8])):
                number += 1
                cls = draw.choice(sorted(world.classes))
                events.append(
                    Message(
                        f"m{number}",
                        draw.choice([1, 2, 3, 4]),
                        cls,
                        now + draw.choice([1, world.classes[cls].deadline_us]),
                        draw.choice([None, "t"]),
                        draw.choice("kl"),
                    )
                )
            if draw.random() < 0.06:
                name = draw.choice(sorted(status))
                status[name] = draw.choice(list(EndpointStatus))
                events.append(listed([name], ListUpdateKind.CHANGES))
            if draw.random() < 0.03:
                events.append(EndpointListUpdate(ListUpdateKind.FAILED))
            if draw.random() < 0.05 and judge.open:
                events.append(MessageWithdrawn(draw.choice(sorted(judge.open))))
            if draw.random() < 0.15:
                mood = draw.choice(list(Outcome))
        for (message, attempt), (sent, endpoint) in sorted(judge.out.items()):
            due = now >= judge.all[message].due_us
            if due or draw.random() < 0.4:
                outcome = Outcome.TIMEOUT if due else draw.choice([mood, mood, *Outcome])
                finished = outcome is Outcome.OK
                wait = draw.choice([0, 300 * MILLISECOND, 2 * SECOND]) if outcome is Outcome.OVERLOADED else 0
                events.append(
                    AttemptFinished(
                        message,
                        attempt,
                        endpoint,
                        outcome,
                        now - sent,
                        finished,
                        wait,
                        {"x0": draw.random(), "x1": 5.0},
                    )
                )
        events += [TimerFired(token) for at, token in timers if at <= now]
        timers = [(at, token) for at, token in timers if at > now]
        for event in events:
            if not isinstance(event, MessageWithdrawn) or event.id in judge.open:
                judge.event(now, event)
        if events:
            for action in sender.handle(now, events):
                judge.action(now, action)
                if isinstance(action, SetTimer):
                    timers.append((now + action.delay_us, action.token))
        judge.turn_over(now)
        events = []
        step = now + draw.choice([5, 20, 100, 400]) * MILLISECOND
        now = max(now + 5 * MILLISECOND, min([step, *(at for at, _ in timers)]))
        if ended and not judge.open and not judge.out:
            break
    return judge


@limits(derandomize=True, max_examples=120, deadline=None)
@given(st.integers(0, 2**32))
def test_the_rules_are_kept(seed):
    judge = play(seed)
    assert judge.count or not judge.all


class ForgetsDue(Engine):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        run = self.dispatcher.run
        self.dispatcher.run = lambda: (self.schedule.deadlines.clear(), run())


class RepeatsUnsafe(Engine):
    def _retry(self, message, attempt, outcome):
        super()._retry(message, attempt, Outcome.OVERLOADED)


class IgnoresDrains(Engine):
    def _handle_event(self, event):
        super()._handle_event(event)
        for endpoint in self.state.endpoints.values():
            endpoint.ready = True


class IgnoresWaits(Engine):
    def _finish_attempt(self, event):
        super()._finish_attempt(replace(event, retry_after_us=0))


class IgnoresOrder(Engine):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ordering.is_first = lambda message: True


@pytest.mark.parametrize(
    ("variant", "rule"),
    [
        (ForgetsDue, "lost"),
        (RepeatsUnsafe, "effect"),
        (IgnoresDrains, "drain"),
        (IgnoresWaits, "wait"),
        (IgnoresOrder, "order"),
    ],
)
def test_the_judge_catches_a_module_that_breaks_a_rule(variant, rule):
    found = []
    for seed in range(40):
        try:
            play(seed, sender_type=variant)
        except BrokenRuleError as broken:
            found.append(str(broken).split(":")[0])
    assert rule in found


def test_the_same_events_give_the_same_actions():
    assert play(11).out == play(11).out
    assert play(12).count == play(12).count
