"""Property tests of the engine's rules: random legal events, and a checker of every action.

The checker has its own records of events and actions and reads no state of the engine. Outcomes are random; no server
is modelled. For each rule, the checker must catch a broken variant of the engine.
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

PAUSES = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}  # outcomes after which an ordering key pauses
ENDPOINTS = [
    ("a", 1, "one", "a"),
    ("b", 1, "one", "b"),
    ("c", 2, "many", "a"),
    ("d", 2, "many", "a"),
    ("r", 3, "route", "a"),
    ("s", 3, "route", "b"),
]
KIND = {endpoint: kind for endpoint, _, kind, _ in ENDPOINTS}
DESTINATION = {endpoint: destination for endpoint, destination, _, _ in ENDPOINTS}
ZONE = {endpoint: zone for endpoint, _, _, zone in ENDPOINTS}


class BrokenRuleError(AssertionError):
    pass


class RuleChecker:
    """Checks actions against the rules, from events and actions alone."""

    def __init__(self, engine_settings):
        self.settings = engine_settings
        self.open = {}  # messages without a final answer, by id
        self.messages = {}  # all messages, by id
        self.in_flight = {}  # send time and endpoint, by message id and attempt
        self.attempts = {}  # number of the last attempt, by message id
        self.may_have_run = {}  # send time and endpoint of the first attempt that may have run, by message id
        self.retry_after_until = {}  # by endpoint or destination
        self.draining_since = {}  # by endpoint
        self.ordered_ids = {}  # message ids in order of arrival, by ordering key
        self.pauses = {}  # end, and id of the message that is exempt, by ordering key

    def check_event(self, now, event):
        if isinstance(event, Message):
            self.open[event.id] = self.messages[event.id] = event
            if event.class_name == "ordered":
                self.ordered_ids.setdefault(event.ordering_key, []).append(event.id)
        elif isinstance(event, MessageWithdrawn):
            self.open.pop(event.id, None)
        elif isinstance(event, AttemptFinished):
            sent_at, _ = self.in_flight.pop((event.id, event.attempt))
            if event.outcome not in NEVER_RAN:
                self.may_have_run.setdefault(event.id, (sent_at, event.endpoint))
            if event.finished:
                self.open.pop(event.id, None)
            if event.retry_after_us:
                scope = event.endpoint if KIND[event.endpoint] == "route" else DESTINATION[event.endpoint]
                self.retry_after_until[scope] = max(self.retry_after_until.get(scope, 0), now + event.retry_after_us)
            if event.outcome in PAUSES and self.messages[event.id].class_name == "ordered":
                self.pauses[self.messages[event.id].ordering_key] = (now + self.settings.ordering_gap_us, event.id)
        elif isinstance(event, EndpointListUpdate):
            for endpoint in event.endpoints:
                if endpoint.status is EndpointStatus.READY:
                    self.draining_since.pop(endpoint.id, None)
                else:
                    self.draining_since.setdefault(endpoint.id, now)

    def check_action(self, now, action):
        if isinstance(action, Send):
            self.check_send(now, action)
        elif isinstance(action, (Shed, Fail)):
            if action.id not in self.open:
                raise BrokenRuleError(f"final answer: {action.id} has two")
            rules = self.settings.classes[self.open[action.id].class_name]
            idempotency = rules.idempotency if isinstance(action, Shed) else None
            may_have_run = action.id in self.may_have_run or any(name == action.id for name, _ in self.in_flight)
            has_zone_key = isinstance(action, Shed) and rules.key_scope_zone
            if may_have_run and (
                idempotency is Idempotency.NOT_IDEMPOTENT or (idempotency is Idempotency.WITH_KEY and has_zone_key)
            ):
                raise BrokenRuleError(f"repeat: {action.id} shed although it may have run")
            del self.open[action.id]

    def check_send(self, now, action):
        if action.id not in self.open:
            raise BrokenRuleError(f"final answer: {action.id} sent after it")
        message = self.open[action.id]
        rules = self.settings.classes[message.class_name]
        if any(name == action.id for name, _ in self.in_flight):
            raise BrokenRuleError(f"repeat: two attempts of {action.id} in flight")
        if action.id in self.may_have_run:
            first_sent_at, first_endpoint = self.may_have_run[action.id]
            if rules.idempotency is Idempotency.NOT_IDEMPOTENT or (
                rules.idempotency is Idempotency.WITH_KEY
                and (
                    now > first_sent_at + rules.key_ttl_us
                    or (rules.key_scope_zone and ZONE[first_endpoint] != ZONE[action.endpoint])
                )
            ):
                raise BrokenRuleError(f"repeat: {action.id} sent again although it may have run")
        if now > self.draining_since.get(action.endpoint, now) + self.settings.drain_grace_us:
            raise BrokenRuleError(f"drain: {action.id} sent to {action.endpoint}")
        scope = action.endpoint if KIND[action.endpoint] == "route" else DESTINATION[action.endpoint]
        if now < self.retry_after_until.get(scope, 0):
            raise BrokenRuleError(f"Retry-After: {action.id} sent to {action.endpoint}")
        if message.class_name == "ordered":
            for other_id in self.ordered_ids[message.ordering_key]:
                if other_id == action.id:
                    break
                if other_id in self.open or any(name == other_id for name, _ in self.in_flight):
                    raise BrokenRuleError(f"order: {action.id} sent before {other_id}")
            until, exempt_id = self.pauses.get(message.ordering_key, (0, action.id))
            if now < until and exempt_id != action.id:
                raise BrokenRuleError(f"order: {action.id} sent while its key pauses")
        attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        self.in_flight[action.id, attempt] = (now, action.endpoint)

    def check_step_end(self, now):
        for message in self.open.values():
            if now > message.due_us + self.settings.answer_slack_us:
                raise BrokenRuleError(f"final answer: {message.id} has none when it is due")


def play(seed, steps=160, engine_type=Engine):
    draw = random.Random(seed)
    engine_settings = settings(
        call_slots=draw.choice([2, 6, 20]),
        max_queued=draw.choice([8, 60]),
        tenants={"t": Tenant("t", 2.0)},
        polls_endpoint_list=draw.random() < 0.5,
    )
    engine, checker, now, number = engine_type(engine_settings, seed), RuleChecker(engine_settings), 0, 0
    timers, status = [], {endpoint: EndpointStatus.READY for endpoint, *_ in ENDPOINTS}

    def list_update(names, kind):
        endpoints = [Endpoint(name, ZONE[name], KIND[name], DESTINATION[name], status[name], 0.0) for name in names]
        return EndpointListUpdate(kind, endpoints)

    events = [list_update(status, ListUpdateKind.CACHED)]
    usual_outcome = Outcome.OK
    for step in range(steps + 400):
        is_ending = step >= steps
        if not is_ending:
            for _ in range(draw.choice([0, 0, 1, 2, 8])):
                number += 1
                class_name = draw.choice(sorted(engine_settings.classes))
                events.append(
                    Message(
                        f"m{number}",
                        draw.choice([1, 2, 3, 4]),
                        class_name,
                        now + draw.choice([1, engine_settings.classes[class_name].deadline_us]),
                        draw.choice([None, "t"]),
                        draw.choice("kl"),
                    )
                )
            if draw.random() < 0.06:
                name = draw.choice(sorted(status))
                status[name] = draw.choice(list(EndpointStatus))
                events.append(list_update([name], ListUpdateKind.CHANGES))
            if draw.random() < 0.03:
                events.append(EndpointListUpdate(ListUpdateKind.FAILED))
            if draw.random() < 0.05 and checker.open:
                events.append(MessageWithdrawn(draw.choice(sorted(checker.open))))
            if draw.random() < 0.15:
                usual_outcome = draw.choice(list(Outcome))
        for (message, attempt), (sent, endpoint) in sorted(checker.in_flight.items()):
            is_due = now >= checker.messages[message].due_us
            if is_due or draw.random() < 0.4:
                outcome = Outcome.TIMEOUT if is_due else draw.choice([usual_outcome, usual_outcome, *Outcome])
                is_final = outcome is Outcome.OK
                retry_after_us = draw.choice([0, 300 * MILLISECOND, 2 * SECOND]) if outcome is Outcome.OVERLOADED else 0
                events.append(
                    AttemptFinished(
                        message,
                        attempt,
                        endpoint,
                        outcome,
                        now - sent,
                        is_final,
                        retry_after_us,
                        {"x0": draw.random(), "x1": 5.0},
                    )
                )
        events += [TimerFired(token) for at, token in timers if at <= now]
        timers = [(at, token) for at, token in timers if at > now]
        for event in events:
            if not isinstance(event, MessageWithdrawn) or event.id in checker.open:
                checker.check_event(now, event)
        if events:
            for action in engine.handle(now, events):
                checker.check_action(now, action)
                if isinstance(action, SetTimer):
                    timers.append((now + action.delay_us, action.token))
        checker.check_step_end(now)
        events = []
        latest = now + draw.choice([5, 20, 100, 400]) * MILLISECOND
        now = max(now + 5 * MILLISECOND, min([latest, *(at for at, _ in timers)]))
        if is_ending and not checker.open and not checker.in_flight:
            break
    return checker


@limits(derandomize=True, max_examples=120, deadline=None)
@given(st.integers(0, 2**32))
def test_the_engine_obeys_the_rules(seed):
    checker = play(seed)
    assert checker.attempts or not checker.messages


class IgnoresDeadlines(Engine):
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


class IgnoresRetryAfter(Engine):
    def _finish_attempt(self, event):
        super()._finish_attempt(replace(event, retry_after_us=0))


class IgnoresOrder(Engine):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ordering.is_first = lambda message: True


@pytest.mark.parametrize(
    ("variant", "rule"),
    [
        (IgnoresDeadlines, "final answer"),
        (RepeatsUnsafe, "repeat"),
        (IgnoresDrains, "drain"),
        (IgnoresRetryAfter, "Retry-After"),
        (IgnoresOrder, "order"),
    ],
)
def test_the_checker_catches_an_engine_that_breaks_a_rule(variant, rule):
    found = []
    for seed in range(40):
        try:
            play(seed, engine_type=variant)
        except BrokenRuleError as broken:
            found.append(str(broken).split(":")[0])
    assert rule in found


def test_the_same_events_give_the_same_actions():
    assert play(11).in_flight == play(11).in_flight
    assert play(12).attempts == play(12).attempts
