"""Recorder of the plays under ``data``: what the engine does in seeded simulations, in virtual time.

The plays were recorded from revision 1d28f5d, before the engine was renamed and split, by

    PYTHONPATH=.:tests python -m characterization.record

from the root of the repository. The replay uses the recorded events, so a change of this simulation changes no test.
Recording again accepts the current behaviour as correct; do it only for an intended change of behaviour, and say so in
its commit.

A file starts with a header (settings and seed). Each further line is one step: the time in microseconds, the events,
the actions, and the queries after it (name, destinations, result). mapping.py defines the names and fields.
"""

from __future__ import annotations

import copy
import heapq
import json
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import helpers
from characterization import mapping, recording

from scalefall.policy.actions import CancelAttempt, PollEndpointList, Send, SetTimer
from scalefall.policy.events import (
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointReport,
    EndpointStatus,
    LearnedRate,
    ListUpdateKind,
    Message,
    MessageWithdrawn,
    Outcome,
    ProbeFinished,
    ShuttingDown,
    TimerFired,
)
from scalefall.policy.settings import Idempotency, Settings
from scalefall.settings_reader import read_settings

MILLISECOND = 1000  # microseconds
SECOND = 1_000_000  # microseconds
REVISION = "1d28f5d"
EXAMPLE = Path(__file__).parents[2] / "example" / "config.json"
CANCEL_US = 3 * MILLISECOND  # time until a cancelled call has its outcome
LIST_US = 40 * MILLISECOND  # time until discovery answers a poll

FAST_FAULTS = {
    "error": Outcome.ERROR,
    "full": Outcome.OVERLOADED,
    "connect": Outcome.CONNECT_FAILED,
    "reset": Outcome.RESET,
    "crowded": Outcome.CONNECTIONS_EXHAUSTED,
    "not_sent": Outcome.NOT_SENT,
}


@dataclass
class Fault:
    """A span of seconds in which an endpoint, or each if none is named, fails."""

    kind: str  # one of FAST_FAULTS, "hang" or "slow"
    start: float
    end: float
    endpoint: str = ""
    fraction: float = 1.0  # of the calls that fail
    sends_retry_after: bool = False


@dataclass
class Stream:
    """Messages of one class for one destination, at a rate a second, within a span of seconds."""

    rate: float
    class_name: str = "safe"
    destination: int = 1
    start: float = 0.0
    end: float = 1e9
    keys: int = 0  # number of ordering keys; 0: none


@dataclass
class Play:
    """One simulation; endpoints are (id, destination, kind, zone, latency in ms, weight, limit of calls in flight)."""

    name: str
    settings: Settings
    endpoints: list[tuple]
    streams: list[Stream]
    seconds: float = 24.0
    faults: list[Fault] = field(default_factory=list)
    changes: list[tuple[float, ListUpdateKind, list[tuple[str, EndpointStatus, float | None]]]] = field(
        default_factory=list
    )
    moves: list[tuple[float, str, int]] = field(default_factory=list)  # time, endpoint, its new destination
    limits: dict[int, float] = field(default_factory=dict)  # limit in calls a second, by destination
    new_limits: list[tuple[float, int, float]] = field(default_factory=list)  # time, destination, limit
    used_by_others: float = 0.0  # fraction of the limit that other senders use
    reports_limit: bool = False
    sends_retry_after: bool = False  # for calls above the limit
    withdrawn: float = 0.01  # fraction of messages
    finished: float = 0.02  # fraction of answers that are errors; five times this fraction of errors is final
    repeated: float = 0.0  # fraction of outcomes that are reported twice
    proxy_calls: float = 0.0  # calls a second of proxies
    probed: float = 0.0  # probe outcomes a second
    failed_polls: int = 0  # number of polls in a row that fail
    restored: int = 0  # number of messages that an earlier process accepted
    learned: list[tuple[int, str, float, float]] = field(default_factory=list)  # the fields of LearnedRate
    shutdown: tuple[float, float] | None = None  # times of the event and of the exit, in seconds


class Simulation:
    """Runs one Play against the engine and records the steps."""

    def __init__(self, play: Play, seed: int) -> None:
        self.play, self.seed = play, seed
        self.random = random.Random(seed * 7919 + 11)
        self.engine = mapping.make_engine(play.settings, seed)
        self.queue: list[tuple[int, int, Any]] = []
        self.number = 0
        self.rows = {
            row[0]: Endpoint(row[0], row[3], row[2], row[1], EndpointStatus.READY, row[5], row[6])
            for row in play.endpoints
        }
        self.latency = {row[0]: row[4] * MILLISECOND for row in play.endpoints}
        self.limits = dict(play.limits)
        self.used: dict[tuple[int, int], float] = {}
        self.attempts: dict[str, int] = {}
        self.in_flight: dict[
            tuple[str, int], tuple[str, int]
        ] = {}  # endpoint and start time, by message id and attempt
        self.timers: dict[int, int] = {}
        self.failed_polls_left = play.failed_polls
        self.steps: list[list[Any]] = []

    def push(self, at: float, event: Any) -> None:
        tick = self.play.settings.tick_us
        self.number += 1
        heapq.heappush(self.queue, (-(-int(at) // tick) * tick, self.number, event))

    def chance(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability

    # -- events that do not depend on actions

    def plan(self) -> None:
        play = self.play
        kind = ListUpdateKind.CACHED if play.settings.polls_endpoint_list or play.learned else ListUpdateKind.WHOLE
        self.push(0, EndpointListUpdate(kind, [copy.copy(row) for row in self.rows.values()]))
        for row in play.learned:
            self.push(0, LearnedRate(*row))
        for number in range(play.restored):
            self.push(0, self.restored(number))
        for at, list_kind, rows in play.changes:
            self.push(at * SECOND, (list_kind, rows))
        for move in play.moves:
            self.push(move[0] * SECOND, move)
        for at, destination, limit in play.new_limits:
            self.push(at * SECOND, (destination, limit))
        for stream in play.streams:
            self.plan_stream(stream)
        for rate, make in ((play.proxy_calls, self.proxy_call), (play.probed, self.probe_result)):
            at = self.random.expovariate(rate) if rate else play.seconds
            while at < play.seconds:
                self.push(at * SECOND, make(int(at * SECOND)))
                at += self.random.expovariate(rate)
        if play.shutdown:
            self.push(play.shutdown[0] * SECOND, ShuttingDown(int(play.shutdown[1] * SECOND)))

    def plan_stream(self, stream: Stream) -> None:
        rules = self.play.settings.classes.get(stream.class_name)
        end = min(stream.end, self.play.seconds)
        at = stream.start + self.random.expovariate(stream.rate)
        while at < end:
            name = f"m{len(self.attempts)}"
            self.attempts[name] = 0
            due = int(at * SECOND) + (rules.deadline_us if rules else 8 * SECOND)
            key = f"k{self.random.randrange(stream.keys)}" if stream.keys else None
            self.push(at * SECOND, Message(name, stream.destination, stream.class_name, due, None, key))
            if self.chance(self.play.withdrawn):
                self.push((at + self.random.uniform(0, 2)) * SECOND, MessageWithdrawn(name))
            at += self.random.expovariate(stream.rate)

    def restored(self, number: int) -> Message:
        """Return a message that an earlier process accepted; histories vary with the number."""
        names = sorted(self.play.settings.classes)
        rules = self.play.settings.classes[names[number % len(names)]]
        used = number % 4
        ran = None if number % 3 == 0 else self.random.randrange(-2 * SECOND, SECOND // 10)
        zone = self.random.choice(("a", "b")) if ran is not None and number % 2 else ""
        due = self.random.randrange(-SECOND // 2, rules.deadline_us)
        override = None
        if number % 5 == 0:
            override = copy.copy(rules)
            override.deadline_us, override.late_priority_weight = rules.deadline_us // 2, 0.2
            override.key_ttl_us = rules.key_ttl_us // 2
        key = f"k{number % 3}" if rules.ordered else None
        name = f"r{number}"
        self.attempts[name] = used
        destination = self.play.endpoints[number % len(self.play.endpoints)][1]
        return Message(name, destination, rules.name, due, None, key, used, ran, zone, True, override)

    def proxy_call(self, at: int) -> EndpointReport:
        endpoint = self.random.choice([*self.rows, "unlisted"])
        outcome = self.random.choice([Outcome.OK] * 6 + [Outcome.OVERLOADED, Outcome.ERROR, Outcome.TIMEOUT])
        wait = self.random.choice((0, 0, 300 * MILLISECOND)) if outcome is Outcome.OVERLOADED else 0
        return EndpointReport(endpoint, max(0, at - self.random.randrange(2 * SECOND)), outcome, wait, {})

    def probe_result(self, _at: int) -> ProbeFinished:
        return ProbeFinished(self.random.choice(list(self.rows)), self.random.choice(list(Outcome)), 30 * MILLISECOND)

    # -- endpoints

    def called(self, now: int, endpoint: str) -> tuple[Outcome | None, int, int]:
        """Return the outcome of a call (None: it hangs), its duration, and its Retry-After."""
        row = self.rows[endpoint]
        latency = int(self.latency[endpoint] * self.random.uniform(0.6, 1.8))
        for fault in self.play.faults:
            if (
                fault.start * SECOND <= now < fault.end * SECOND
                and fault.endpoint in ("", endpoint)
                and self.chance(fault.fraction)
            ):
                if fault.kind == "hang":
                    return None, 0, 0
                if fault.kind == "slow":
                    latency *= 8
                    break
                wait = int(fault.end * SECOND) - now if fault.sends_retry_after else 0
                return FAST_FAULTS[fault.kind], self.random.randrange(2 * MILLISECOND, 30 * MILLISECOND), wait
        if row.status is EndpointStatus.GONE:
            return Outcome.CONNECT_FAILED, 2 * MILLISECOND, 0
        limit = self.limits.get(row.destination)
        if limit:
            span = (row.destination, now // SECOND)
            self.used[span] = self.used.get(span, limit * self.play.used_by_others) + 1
            if self.used[span] > limit:
                return (
                    Outcome.OVERLOADED,
                    5 * MILLISECOND,
                    (SECOND - now % SECOND if self.play.sends_retry_after else 0),
                )
        if self.chance(self.play.finished):
            return Outcome.ERROR, latency, 0
        return Outcome.OK, latency, 0

    def report(self, now: int, endpoint: str) -> dict[str, float]:
        destination = self.rows[endpoint].destination
        limit = self.limits.get(destination)
        if not limit or not self.play.reports_limit:
            return {}
        used = self.used.get((destination, now // SECOND), limit * self.play.used_by_others)
        return {"x1": limit, "x0": round(max(0.0, 1 - used / limit), 3)}

    # -- actions

    def perform(self, now: int, actions: list[Any]) -> None:
        calls: dict[str, tuple[int, tuple[Outcome | None, int, int]]] = {}
        for action in actions:
            if isinstance(action, Send):
                max_messages = self.play.settings.messages_per_call.get(self.rows[action.endpoint].kind, 1)
                carried, result = calls.get(action.endpoint, (max_messages, None))
                if carried >= max_messages:
                    carried, result = 0, self.called(now, action.endpoint)
                calls[action.endpoint] = (carried + 1, result)
                self.send(now, action, result)
            elif isinstance(action, CancelAttempt):
                found = self.in_flight.get((action.id, action.attempt))
                if found:
                    self.end(now, CANCEL_US, action.id, action.attempt, Outcome.CANCELLED, 0)
            elif isinstance(action, SetTimer):
                self.number += 1
                self.timers[action.token] = self.number
                self.push(now + max(self.play.settings.tick_us, action.delay_us), (action.token, self.number, "timer"))
            elif isinstance(action, PollEndpointList):
                self.poll_list(now)

    def send(self, now: int, action: Send, result: tuple[Outcome | None, int, int]) -> None:
        attempt = self.attempts[action.id]
        self.attempts[action.id] += 1
        self.in_flight[action.id, attempt] = (action.endpoint, now)
        outcome, latency, wait = result
        if self.chance(0.02):  # one message of a call may have another outcome than the others
            outcome, latency = (
                self.random.choice((Outcome.ERROR, Outcome.OVERLOADED, Outcome.RESET)),
                latency + 20 * MILLISECOND,
            )
        if outcome is None or latency > action.timeout_us:
            outcome, latency, wait = Outcome.TIMEOUT, action.timeout_us, 0
        self.end(now, latency, action.id, attempt, outcome, wait)

    def end(self, now: int, latency: int, name: str, attempt: int, outcome: Outcome, wait: int) -> None:
        endpoint, start = self.in_flight[name, attempt]
        finished = outcome is Outcome.OK or (outcome is Outcome.ERROR and self.chance(self.play.finished * 5))
        report = self.report(now, endpoint) if outcome in (Outcome.OK, Outcome.OVERLOADED) else {}
        duration = now + latency - start
        self.push(now + latency, AttemptFinished(name, attempt, endpoint, outcome, duration, finished, wait, report))

    def poll_list(self, now: int) -> None:
        if self.failed_polls_left > 0:
            self.failed_polls_left -= 1
            self.push(now + LIST_US, EndpointListUpdate(ListUpdateKind.FAILED))
        else:
            self.push(now + LIST_US, (ListUpdateKind.WHOLE, []))

    # -- one step

    def resolve(self, entry: Any) -> Any:
        """Return a planned entry as an event at its time; None if there is none."""
        if isinstance(entry, tuple) and isinstance(entry[1], str):
            self.rows[entry[1]].destination = entry[2]
            return EndpointListUpdate(ListUpdateKind.CHANGES, [copy.copy(self.rows[entry[1]])])
        if isinstance(entry, tuple) and len(entry) == 3:
            return TimerFired(entry[0]) if self.timers.get(entry[0]) == entry[1] else None
        if isinstance(entry, tuple) and isinstance(entry[0], int):
            self.limits[entry[0]] = entry[1]
            return None
        if isinstance(entry, tuple):
            kind, rows = entry
            changed = []
            for name, status, weight in rows:
                row = self.rows[name]
                row.status, row.weight = status, row.weight if weight is None else weight
                changed.append(copy.copy(row))
            whole = [copy.copy(row) for row in self.rows.values() if row.status is not EndpointStatus.GONE]
            return EndpointListUpdate(kind, whole if kind is ListUpdateKind.WHOLE else changed)
        if isinstance(entry, AttemptFinished):
            first = self.in_flight.pop((entry.id, entry.attempt), None) is not None
            if first and self.chance(self.play.repeated):
                self.push(self.queue[0][0] if self.queue else 0, entry)
            return entry if first or self.play.repeated else None
        return entry

    def run(self) -> list[Any]:
        self.plan()
        number = 0
        while self.queue and self.queue[0][0] < self.play.seconds * SECOND:
            now, events = self.queue[0][0], []
            while self.queue and self.queue[0][0] == now:
                event = self.resolve(heapq.heappop(self.queue)[2])
                events += [event] if event is not None else []
            if not events:
                continue
            recorded = [mapping.pack(event) for event in events]
            actions = mapping.handle(self.engine, now, events)
            self.steps.append([now, recorded, [mapping.pack(action) for action in actions], self.queries(number)])
            self.perform(now, actions)
            number += 1
        header = {
            "play": self.play.name,
            "revision": REVISION,
            "seed": self.seed,
            "settings": mapping.SETTINGS.pack(self.play.settings),
        }
        return [header, *self.steps]

    def queries(self, number: int) -> list[list[Any]]:
        queries: list[list[Any]] = []
        if number % 25 == 7:
            queries.append(["learned_rates", None, mapping.learned_rates(self.engine)])
        if number % 10 == 3:
            among = None if number % 20 == 3 else [1, 99]
            queries.append(["allowances", among, mapping.allowances(self.engine, among)])
        return queries


# -- the plays


def example(**changes: Any) -> Settings:
    """Return the settings of example/config.json, with changes."""
    settings = read_settings(json.loads(EXAMPLE.read_text())["settings"])
    for name, value in changes.items():
        setattr(settings, name, value)
    return settings


def rows(
    *ids: str,
    destination: int = 1,
    kind: str = "one",
    zones: str = "ab",
    latency_ms: float = 60,
    weight: float = 0.0,
    max_calls: int = 0,
) -> list[tuple]:
    return [
        (name, destination, kind, zones[n % len(zones)], latency_ms, weight, max_calls) for n, name in enumerate(ids)
    ]


ALL_CLASSES = [Stream(6), Stream(4, "keyed"), Stream(3, "zoned"), Stream(3, "unsafe"), Stream(3, "ordered", keys=4)]
MIXED_FAULTS = [
    Fault("error", 3, 5, "e1"),
    Fault("hang", 6, 9, "e2"),
    Fault("connect", 10, 12, "e1"),
    Fault("reset", 12, 14, "e3"),
    Fault("crowded", 14, 15, "e2"),
    Fault("not_sent", 15, 16),
    Fault("slow", 16, 18),
    Fault("full", 18, 19, "e1"),
    Fault("error", 0, 24, fraction=0.05),
]
GONE, READY, DRAINING = EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING
CHANGES, WHOLE = ListUpdateKind.CHANGES, ListUpdateKind.WHOLE
DRAINS = [
    (4, CHANGES, [("e1", DRAINING, None)]),
    (6, CHANGES, [("e1", GONE, None)]),
    (8, CHANGES, [("e1", READY, None)]),
    (10, WHOLE, [("e2", GONE, None)]),
    (13, CHANGES, [("e2", READY, None)]),
    (17, WHOLE, [("e3", DRAINING, None)]),
]


def plays() -> list[Play]:
    """Return all plays; seeds depend on the position, so new plays are appended."""
    settings_with = helpers.settings
    outage = [Fault("error", 6, 11)]
    fast_slow_start = dict(overload_window_us=1500 * MILLISECOND, slow_start_us=8 * SECOND, slow_start_from=0.26)
    return [
        Play("classes", settings_with(), rows("e1", "e2", "e3"), ALL_CLASSES, faults=MIXED_FAULTS),
        Play(
            "classes-halving",
            settings_with(halves_after_objective=True, call_slots=6, ordering_gap_us=800 * MILLISECOND),
            rows("e1", "e2", "e3"),
            ALL_CLASSES,
            faults=MIXED_FAULTS,
        ),
        Play(
            "no-cancelling",
            settings_with(cancelling=False, call_slots=4),
            rows("e1", "e2", "e3"),
            ALL_CLASSES,
            faults=MIXED_FAULTS,
        ),
        Play(
            "hang-cancelling",
            settings_with(call_slots=3),
            rows("e1") + rows("f1", destination=2) + rows("g1", destination=3) + rows("h1", "h2", destination=4),
            [
                Stream(1, "unsafe"),
                Stream(1, "unsafe", destination=2),
                Stream(4, "safe", destination=3),
                Stream(1, "ordered", destination=4, keys=2),
            ],
            faults=[Fault("hang", 2, 16, "e1"), Fault("hang", 3, 20, "f1"), Fault("hang", 12, 14, "h1")],
        ),
        Play("drains", settings_with(), rows("e1", "e2", "e3"), ALL_CLASSES, changes=DRAINS),
        Play(
            "apart",
            settings_with(),
            rows("e1", "e2", "e3", kind="route"),
            ALL_CLASSES,
            faults=MIXED_FAULTS,
            changes=DRAINS,
        ),
        Play(
            "apart-limits",
            settings_with(replica_count=3),
            rows("e1", "e2", kind="route"),
            [Stream(14)],
            limits={1: 9},
            used_by_others=0.2,
            reports_limit=True,
            sends_retry_after=True,
            proxy_calls=3,
        ),
        Play(
            "batches",
            settings_with(call_slots=4),
            rows("e1", "e2", kind="many"),
            [Stream(40), Stream(10, "keyed"), Stream(4, "ordered", keys=2)],
            seconds=12,
            limits={1: 8},
            faults=[Fault("error", 4, 5), Fault("hang", 8, 9)],
        ),
        Play(
            "batches-told",
            settings_with(call_slots=6, replica_count=4),
            rows("e1", kind="many"),
            [Stream(40)],
            seconds=12,
            limits={1: 6},
            reports_limit=True,
            sends_retry_after=True,
            used_by_others=0.3,
        ),
        Play(
            "example",
            example(replica_count=3),
            rows("e1", kind="toy", zones=["here"]),
            [Stream(6, "event-notice"), Stream(6, "status-update"), Stream(3, "fee-order"), Stream(0.5, "unknown")],
            limits={1: 12},
            reports_limit=True,
            faults=[Fault("reset", 6, 8), Fault("full", 14, 18, sends_retry_after=True)],
            failed_polls=3,
        ),
        Play(
            "ask-fails",
            settings_with(polls_endpoint_list=True, replica_count=8, poll_within_us=3 * SECOND),
            rows("e1", "e2"),
            [Stream(5)],
            failed_polls=6,
            seconds=30,
        ),
        Play(
            "limit-none",
            settings_with(replica_count=4),
            rows("e1", "e2"),
            [Stream(12)],
            limits={1: 20},
            used_by_others=0.6,
        ),
        Play(
            "limit-answers",
            settings_with(replica_count=4),
            rows("e1", "e2"),
            [Stream(14)],
            limits={1: 20},
            used_by_others=0.4,
            reports_limit=True,
            sends_retry_after=True,
            new_limits=[(6, 1, 8), (14, 1, 30)],
        ),
        Play(
            "limit-nominal",
            settings_with(weights="nominal", replica_count=3, **fast_slow_start),
            rows("e1", "e2", weight=24),
            [Stream(10)],
            limits={1: 24},
            used_by_others=0.5,
            faults=outage,
        ),
        Play(
            "limit-rough",
            settings_with(weights="rough", replica_count=3, **fast_slow_start),
            rows("e1", "e2", weight=30),
            [Stream(10)],
            limits={1: 24},
            used_by_others=0.5,
            faults=outage,
        ),
        Play(
            "limit-told",
            settings_with(weights="told", replica_count=2),
            rows("e1", "e2", weight=10),
            [Stream(9)],
            limits={1: 10},
            sends_retry_after=True,
            changes=[
                (6, CHANGES, [("e1", READY, 4.0)]),
                (10, CHANGES, [("e1", READY, 20.0)]),
                (14, CHANGES, [("e1", READY, 0.0)]),
                (18, CHANGES, [("e2", READY, 6.0)]),
            ],
        ),
        Play(
            "outage-route",
            settings_with(weights="nominal", **fast_slow_start),
            rows("e1", weight=20),
            [Stream(10), Stream(3, "unsafe")],
            faults=[Fault("connect", 5, 9)],
            seconds=30,
        ),
        Play(
            "outage-endpoint",
            settings_with(**fast_slow_start),
            rows("e1", "e2", "e3"),
            [Stream(14)],
            faults=[Fault("error", 5, 9, "e1"), Fault("hang", 16, 19, "e2")],
            seconds=30,
        ),
        Play(
            "outage-waits",
            settings_with(**fast_slow_start, replica_count=3),
            rows("e1", "e2"),
            [Stream(10)],
            seconds=30,
            faults=[Fault("full", 5, 10, sends_retry_after=True), Fault("full", 14, 15, sends_retry_after=True)],
        ),
        Play(
            "outage-again",
            settings_with(**fast_slow_start),
            rows("e1"),
            [Stream(10)],
            seconds=36,
            proxy_calls=1,
            faults=[Fault("error", 5, 8), Fault("error", 10, 11), Fault("reset", 13, 14), Fault("error", 15, 16)],
        ),
        Play(
            "connection-cap",
            settings_with(call_slots=8),
            rows("e1", "e2", max_calls=2, latency_ms=300),
            [Stream(12)],
            faults=[Fault("connect", 3, 22, "e1", fraction=0.3), Fault("crowded", 6, 10, fraction=0.3)],
        ),
        Play(
            "restart",
            settings_with(weights="none", **fast_slow_start),
            rows("e1", "e2") + rows("f1", destination=2),
            [Stream(5), Stream(3, "ordered", keys=3), Stream(3, "zoned", destination=2)],
            restored=60,
            seconds=14,
            learned=[(1, "", 6.0, 9.0), (2, "", 3.0, 0.0), (7, "", 1.0, 1.0)],
            faults=[Fault("error", 2, 4)],
        ),
        Play(
            "restart-apart",
            settings_with(polls_endpoint_list=True, **fast_slow_start),
            rows("e1", "e2", kind="route"),
            [Stream(6)],
            restored=20,
            seconds=14,
            learned=[(1, "e1", 5.0, 8.0), (1, "e2", 2.0, 0.0)],
            faults=[Fault("hang", 1, 4, "e1")],
            failed_polls=1,
        ),
        Play(
            "shutdown",
            settings_with(),
            rows("e1", "e2"),
            ALL_CLASSES,
            seconds=18,
            shutdown=(8, 13),
            faults=[Fault("slow", 6, 10)],
        ),
        Play(
            "overload",
            settings_with(call_slots=3, max_queued=40, attempts={2: 2}),
            rows("e1", latency_ms=120) + rows("f1", destination=2),
            [
                Stream(30, start=2, end=8),
                Stream(6, "keyed"),
                Stream(8, "unsafe", start=4),
                Stream(4, destination=2),
                Stream(1, destination=3),
            ],
            limits={1: 12},
            probed=1,
            faults=[Fault("error", 3, 14, "f1", fraction=0.5)],
        ),
        Play(
            "forgotten",
            settings_with(),
            rows("e1") + rows("f1", destination=2),
            [Stream(1), Stream(1, destination=2, end=4)],
            seconds=80,
            changes=[(6, CHANGES, [("f1", GONE, None)]), (75, CHANGES, [("e1", READY, None)])],
        ),
        *later_plays(),
    ]


def later_plays() -> list[Play]:
    """Return plays for decisions that the others do not cover, found by changes to the engine that altered no play."""
    settings_with = helpers.settings
    fades = (
        helpers.message_class("fades", late_priority_weight=0.1),
        helpers.message_class("fades-too", late_priority_weight=0.3, priority_weight=2),
    )
    fading = {rules.name: rules for rules in fades}
    ordered = (
        helpers.message_class("safe-ordered", ordered=True),
        helpers.message_class("keyed-ordered", Idempotency.WITH_KEY, ordered=True),
        helpers.message_class("unsafe-ordered", Idempotency.NOT_IDEMPOTENT, ordered=True),
    )
    short_waits = [Fault("full", at, at + 0.4, sends_retry_after=True) for at in (3, 6, 9, 13, 17, 21)]
    short_errors = [Fault("error", at, at + 0.3, sends_retry_after=True) for at in (4.5, 11, 15, 19)]
    fade_streams = [Stream(14, "fades"), Stream(10, "fades-too")]
    return [
        Play(
            "deep-chains",
            settings_with(call_slots=60),
            rows("e1", "e2", latency_ms=900),
            [Stream(24)],
            seconds=14,
            limits={1: 26},
        ),
        Play(
            "low-rate",
            settings_with(replica_count=20),
            rows("e1"),
            [Stream(1.2)],
            limits={1: 4},
            used_by_others=0.8,
            seconds=60,
        ),
        Play("short-waits", settings_with(), rows("e1"), [Stream(8)], faults=[*short_waits, *short_errors]),
        Play(
            "ordered",
            settings_with(classes={rules.name: rules for rules in ordered}, ordering_gap_us=1500 * MILLISECOND),
            rows("e1", "e2", latency_ms=400),
            [Stream(3, rules.name, keys=5) for rules in ordered],
            faults=[Fault("error", 0, 24, fraction=0.15), Fault("reset", 8, 9), Fault("hang", 14, 15, "e1")],
            withdrawn=0.2,
        ),
        Play(
            "restart-full",
            settings_with(max_queued=20),
            rows("e1", latency_ms=300),
            [Stream(8)],
            restored=40,
            seconds=8,
            limits={1: 6},
        ),
        Play(
            "zone-fees",
            settings_with(zone_cost={"a": 0.02, "b": 0.0}),
            rows("e1", "e2", "e3", "e4"),
            ALL_CLASSES,
            seconds=10,
        ),
        Play(
            "fades", settings_with(classes=fading, call_slots=6), rows("e1"), fade_streams, seconds=14, limits={1: 10}
        ),
        Play(
            "fades-halving",
            settings_with(classes=fading, call_slots=6, halves_after_objective=True),
            rows("e1"),
            fade_streams,
            seconds=14,
            limits={1: 10},
        ),
        Play(
            "foreign-full",
            settings_with(replica_count=2),
            rows("e1"),
            [Stream(9)],
            proxy_calls=12,
            limits={1: 10},
            used_by_others=0.3,
        ),
        Play(
            "moved",
            settings_with(),
            rows("e1", "e2") + rows("f1", destination=2, latency_ms=500),
            [Stream(6), Stream(5, destination=2)],
            moves=[(5, "e2", 2), (9, "f1", 1), (14, "e2", 1)],
            seconds=18,
        ),
        Play(
            "shutdown-short",
            settings_with(),
            rows("e1", "e2", latency_ms=200),
            [Stream(20), Stream(8, "keyed")],
            seconds=9,
            shutdown=(4, 6.2),
        ),
        Play(
            "shutdown-batches",
            settings_with(call_slots=6),
            rows("e1", kind="many", latency_ms=500) + rows("f1", destination=2, kind="route"),
            [Stream(20), Stream(6, "unsafe"), Stream(6, "zoned", destination=2), Stream(3, "ordered", keys=2)],
            seconds=14,
            shutdown=(6, 10.5),
            faults=[Fault("error", 7, 8)],
            restored=10,
        ),
        Play(
            "repeated",
            settings_with(weights="live"),
            rows("e1", "e2", weight=8),
            [Stream(8)],
            repeated=0.1,
            seconds=10,
            limits={1: 9},
        ),
        Play(
            "told-none", settings_with(weights="told"), rows("e1"), [Stream(8)], repeated=0.1, seconds=10, limits={1: 6}
        ),
        Play(
            "cut-and-told",
            settings_with(replica_count=8),
            rows("e1", "e2"),
            [Stream(14)],
            limits={1: 40},
            used_by_others=0.1,
            reports_limit=True,
            seconds=12,
            faults=[Fault("full", 0, 12, fraction=0.15)],
        ),
        Play(
            "cut-and-told-batches",
            settings_with(replica_count=8),
            rows("e1", kind="many"),
            [Stream(14)],
            limits={1: 40},
            used_by_others=0.1,
            reports_limit=True,
            seconds=12,
            faults=[Fault("full", 0, 12, fraction=0.15)],
        ),
    ]


# -- the settings reader


def settings_rows() -> list[list[Any]]:
    """Return configurations with one value changed at a time, each with the settings or the error."""
    base = json.loads(EXAMPLE.read_text())["settings"]
    base["tenants"] = [{"name": "t1", "quotaPerS": 5}]
    base["grades"][0]["keyScope"] = "zone"
    base["grades"][2]["fifoByKey"] = True
    base["turnGap"] = 250
    base["familyInfo"]["late"] = "halving"
    configs = [base, {}, None, [], "x"]
    for path in paths_of(base):
        for value in ("absent", None, -1, 0, 0.5, 7, True, False, "x", "push", "rough", "zone", [], {}):
            configs.append(changed(base, path, value))
    rows = []
    for config in configs:
        try:
            rows.append([config, True, mapping.settings_from(config)])
        except mapping.SettingsError as error:
            rows.append([config, False, str(error)])
        except (TypeError, AttributeError, KeyError):
            continue  # a value that the reader uses unchecked, with no defined error
    return rows


def paths_of(value: Any, before: tuple = ()) -> list[tuple]:
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [found for key, child in pairs for found in ((*before, key), *paths_of(child, (*before, key)))]


def changed(base: Any, path: tuple, value: Any) -> Any:
    result = copy.deepcopy(base)
    *before, last = path
    table = result
    for key in before:
        table = table[key]
    if value == "absent":
        del table[last]
    else:
        table[last] = value
    return result


def main() -> None:
    recording.DATA.mkdir(exist_ok=True)
    total = recording.write("settings", settings_rows())
    for number, play in enumerate(plays()):
        rows = Simulation(play, 100 + number).run()
        size = recording.write(f"play-{play.name}", rows)
        total += size
        print(f"{play.name}: {len(rows) - 1} steps, {size} bytes")
    print(f"total {total} bytes")


if __name__ == "__main__":
    main()
