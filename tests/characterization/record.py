"""Records the plays under ``data``: what the decision module does in seeded worlds, in virtual time.

The plays were recorded from revision 1d28f5d, before the module was renamed and split, by

    PYTHONPATH=.:tests python -m characterization.record

from the root of the repository. The script only stays to show how: the replay feeds the recorded events, so that
a change of this world's draws changes no test. Recording anew takes today's behaviour for right; do it only for a
change of behaviour that is meant, and say so in its commit.

A file starts with a header (settings and seed); each line after is one step: the time in microseconds, the events,
the actions, and the queries made after it (name, the destinations asked for, result). Names and fields: mapping.py.
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
CANCEL_US = 3 * MILLISECOND  # until a call that is called off has its outcome
LIST_US = 40 * MILLISECOND  # until the directory answers

Outcome, Status, ListKind = Outcome, EndpointStatus, ListUpdateKind
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
    """A span of seconds in which an endpoint (or each, where none is named) fails."""

    kind: str  # one of FAST_FAULTS, "hang" or "slow"
    start: float
    end: float
    endpoint: str = ""
    share: float = 1.0  # of the calls
    tells_wait: bool = False


@dataclass
class Stream:
    """Messages of one class for one destination, at a rate a second within a span of seconds."""

    rate: float
    class_name: str = "safe"
    destination: int = 1
    start: float = 0.0
    end: float = 1e9
    keys: int = 0  # that many ordering keys; 0: none


@dataclass
class Play:
    """One world: endpoints as (id, destination, kind, zone, latency in ms, weight, most calls at once)."""

    name: str
    settings: Settings
    endpoints: list[tuple]
    streams: list[Stream]
    seconds: float = 24.0
    faults: list[Fault] = field(default_factory=list)
    changes: list[tuple[float, ListKind, list[tuple[str, Status, float | None]]]] = field(default_factory=list)
    moves: list[tuple[float, str, int]] = field(default_factory=list)  # at, endpoint, its new destination
    limits: dict[int, float] = field(default_factory=dict)  # calls a second that a destination takes
    new_limits: list[tuple[float, int, float]] = field(default_factory=list)
    others: float = 0.0  # share of the limit that other senders use
    tells_limit: bool = False
    tells_wait: bool = False  # of calls above the limit
    withdrawn: float = 0.01
    finished: float = 0.02  # answers that are errors and final
    repeated: float = 0.0  # share of outcomes that are told twice
    foreign: float = 0.0  # calls a second of other proxies
    probed: float = 0.0  # probe outcomes a second
    list_fails: int = 0  # so many times in a row, when asked for
    restored: int = 0
    learned: list[tuple[int, str, float, float]] = field(default_factory=list)
    closing: tuple[float, float] | None = None  # told at, and until, in seconds


class World:
    """Plays one Play against the decision module and keeps the steps."""

    def __init__(self, play: Play, seed: int) -> None:
        self.play, self.seed = play, seed
        self.draw = random.Random(seed * 7919 + 11)
        self.sender = mapping.make_sender(play.settings, seed)
        self.queue: list[tuple[int, int, Any]] = []
        self.number = 0
        self.rows = {
            row[0]: Endpoint(row[0], row[3], row[2], row[1], Status.READY, row[5], row[6]) for row in play.endpoints
        }
        self.latency = {row[0]: row[4] * MILLISECOND for row in play.endpoints}
        self.limits = dict(play.limits)
        self.used: dict[tuple[int, int], float] = {}
        self.attempts: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[str, int]] = {}  # endpoint and start of what is out
        self.timers: dict[int, int] = {}
        self.fails_left = play.list_fails
        self.steps: list[list[Any]] = []

    def push(self, at: float, event: Any) -> None:
        tick = self.play.settings.tick_us
        self.number += 1
        heapq.heappush(self.queue, (-(-int(at) // tick) * tick, self.number, event))

    def chance(self, share: float) -> bool:
        return share > 0 and self.draw.random() < share

    # -- what comes by itself

    def plan(self) -> None:
        play = self.play
        kind = ListKind.CACHED if play.settings.polls_endpoint_list or play.learned else ListKind.WHOLE
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
        for rate, make in ((play.foreign, self.foreign), (play.probed, self.probed)):
            at = self.draw.expovariate(rate) if rate else play.seconds
            while at < play.seconds:
                self.push(at * SECOND, make(int(at * SECOND)))
                at += self.draw.expovariate(rate)
        if play.closing:
            self.push(play.closing[0] * SECOND, ShuttingDown(int(play.closing[1] * SECOND)))

    def plan_stream(self, stream: Stream) -> None:
        rules = self.play.settings.classes.get(stream.class_name)
        end = min(stream.end, self.play.seconds)
        at = stream.start + self.draw.expovariate(stream.rate)
        while at < end:
            name = f"m{len(self.attempts)}"
            self.attempts[name] = 0
            due = int(at * SECOND) + (rules.deadline_us if rules else 8 * SECOND)
            key = f"k{self.draw.randrange(stream.keys)}" if stream.keys else None
            self.push(at * SECOND, Message(name, stream.destination, stream.class_name, due, None, key))
            if self.chance(self.play.withdrawn):
                self.push((at + self.draw.uniform(0, 2)) * SECOND, MessageWithdrawn(name))
            at += self.draw.expovariate(stream.rate)

    def restored(self, number: int) -> Message:
        """A message that an earlier process took on: its history differs from one to the next."""
        names = sorted(self.play.settings.classes)
        rules = self.play.settings.classes[names[number % len(names)]]
        used = number % 4
        ran = None if number % 3 == 0 else self.draw.randrange(-2 * SECOND, SECOND // 10)
        zone = self.draw.choice(("a", "b")) if ran is not None and number % 2 else ""
        due = self.draw.randrange(-SECOND // 2, rules.deadline_us)
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

    def foreign(self, at: int) -> EndpointReport:
        endpoint = self.draw.choice([*self.rows, "unlisted"])
        outcome = self.draw.choice([Outcome.OK] * 6 + [Outcome.OVERLOADED, Outcome.ERROR, Outcome.TIMEOUT])
        wait = self.draw.choice((0, 0, 300 * MILLISECOND)) if outcome is Outcome.OVERLOADED else 0
        return EndpointReport(endpoint, max(0, at - self.draw.randrange(2 * SECOND)), outcome, wait, {})

    def probed(self, _at: int) -> ProbeFinished:
        return ProbeFinished(self.draw.choice(list(self.rows)), self.draw.choice(list(Outcome)), 30 * MILLISECOND)

    # -- endpoints

    def called(self, now: int, endpoint: str) -> tuple[Outcome | None, int, int]:
        """Outcome of a call (None: it hangs), how long it takes, and the wait that it tells."""
        row = self.rows[endpoint]
        latency = int(self.latency[endpoint] * self.draw.uniform(0.6, 1.8))
        for fault in self.play.faults:
            if (
                fault.start * SECOND <= now < fault.end * SECOND
                and fault.endpoint in ("", endpoint)
                and self.chance(fault.share)
            ):
                if fault.kind == "hang":
                    return None, 0, 0
                if fault.kind == "slow":
                    latency *= 8
                    break
                wait = int(fault.end * SECOND) - now if fault.tells_wait else 0
                return FAST_FAULTS[fault.kind], self.draw.randrange(2 * MILLISECOND, 30 * MILLISECOND), wait
        if row.status is Status.GONE:
            return Outcome.CONNECT_FAILED, 2 * MILLISECOND, 0
        limit = self.limits.get(row.destination)
        if limit:
            span = (row.destination, now // SECOND)
            self.used[span] = self.used.get(span, limit * self.play.others) + 1
            if self.used[span] > limit:
                return Outcome.OVERLOADED, 5 * MILLISECOND, (SECOND - now % SECOND if self.play.tells_wait else 0)
        if self.chance(self.play.finished):
            return Outcome.ERROR, latency, 0
        return Outcome.OK, latency, 0

    def report(self, now: int, endpoint: str) -> dict[str, float]:
        destination = self.rows[endpoint].destination
        limit = self.limits.get(destination)
        if not limit or not self.play.tells_limit:
            return {}
        used = self.used.get((destination, now // SECOND), limit * self.play.others)
        return {"x1": limit, "x0": round(max(0.0, 1 - used / limit), 3)}

    # -- actions

    def perform(self, now: int, actions: list[Any]) -> None:
        calls: dict[str, tuple[int, tuple[Outcome | None, int, int]]] = {}
        for action in actions:
            if isinstance(action, Send):
                most = self.play.settings.messages_per_call.get(self.rows[action.endpoint].kind, 1)
                carried, result = calls.get(action.endpoint, (most, None))
                if carried >= most:
                    carried, result = 0, self.called(now, action.endpoint)
                calls[action.endpoint] = (carried + 1, result)
                self.send(now, action, result)
            elif isinstance(action, CancelAttempt):
                found = self.out.get((action.id, action.attempt))
                if found:
                    self.end(now, CANCEL_US, action.id, action.attempt, Outcome.CANCELLED, 0)
            elif isinstance(action, SetTimer):
                self.number += 1
                self.timers[action.token] = self.number
                self.push(now + max(self.play.settings.tick_us, action.delay_us), (action.token, self.number, "timer"))
            elif isinstance(action, PollEndpointList):
                self.subscribe(now)

    def send(self, now: int, action: Send, result: tuple[Outcome | None, int, int]) -> None:
        attempt = self.attempts[action.id]
        self.attempts[action.id] += 1
        self.out[action.id, attempt] = (action.endpoint, now)
        outcome, latency, wait = result
        if self.chance(0.02):  # one message of a call may fare differently from the others
            outcome, latency = (
                self.draw.choice((Outcome.ERROR, Outcome.OVERLOADED, Outcome.RESET)),
                latency + 20 * MILLISECOND,
            )
        if outcome is None or latency > action.timeout_us:
            outcome, latency, wait = Outcome.TIMEOUT, action.timeout_us, 0
        self.end(now, latency, action.id, attempt, outcome, wait)

    def end(self, now: int, latency: int, name: str, attempt: int, outcome: Outcome, wait: int) -> None:
        endpoint, start = self.out[name, attempt]
        finished = outcome is Outcome.OK or (outcome is Outcome.ERROR and self.chance(self.play.finished * 5))
        report = self.report(now, endpoint) if outcome in (Outcome.OK, Outcome.OVERLOADED) else {}
        taken = now + latency - start
        self.push(now + latency, AttemptFinished(name, attempt, endpoint, outcome, taken, finished, wait, report))

    def subscribe(self, now: int) -> None:
        if self.fails_left > 0:
            self.fails_left -= 1
            self.push(now + LIST_US, EndpointListUpdate(ListKind.FAILED))
        else:
            self.push(now + LIST_US, (ListKind.WHOLE, []))

    # -- one step

    def resolve(self, entry: Any) -> Any:
        """An event as it is when its time comes; None where nothing is left of it."""
        if isinstance(entry, tuple) and isinstance(entry[1], str):
            self.rows[entry[1]].destination = entry[2]
            return EndpointListUpdate(ListKind.CHANGES, [copy.copy(self.rows[entry[1]])])
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
            whole = [copy.copy(row) for row in self.rows.values() if row.status is not Status.GONE]
            return EndpointListUpdate(kind, whole if kind is ListKind.WHOLE else changed)
        if isinstance(entry, AttemptFinished):
            first = self.out.pop((entry.id, entry.attempt), None) is not None
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
            actions = mapping.handle(self.sender, now, events)
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
            queries.append(["learned_rates", None, mapping.learned_rates(self.sender)])
        if number % 10 == 3:
            among = None if number % 20 == 3 else [1, 99]
            queries.append(["allowances", among, mapping.allowances(self.sender, among)])
        return queries


# -- the plays


def example(**changes: Any) -> Settings:
    """The settings of example/config.json, with changes."""
    settings = read_settings(json.loads(EXAMPLE.read_text())["settings"])
    for name, value in changes.items():
        setattr(settings, name, value)
    return settings


def rows(
    *ids: str,
    destination: int = 1,
    kind: str = "one",
    zones: str = "ab",
    ms: float = 60,
    weight: float = 0.0,
    most: int = 0,
) -> list[tuple]:
    return [(name, destination, kind, zones[n % len(zones)], ms, weight, most) for n, name in enumerate(ids)]


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
    Fault("error", 0, 24, share=0.05),
]
GONE, READY, DRAINING = Status.GONE, Status.READY, Status.DRAINING
CHANGES, WHOLE = ListKind.CHANGES, ListKind.WHOLE
DRAINS = [
    (4, CHANGES, [("e1", DRAINING, None)]),
    (6, CHANGES, [("e1", GONE, None)]),
    (8, CHANGES, [("e1", READY, None)]),
    (10, WHOLE, [("e2", GONE, None)]),
    (13, CHANGES, [("e2", READY, None)]),
    (17, WHOLE, [("e3", DRAINING, None)]),
]


def plays() -> list[Play]:
    """Return all plays; their seeds go by their place, so that a new one is put at the end."""
    s = helpers.settings
    outage = [Fault("error", 6, 11)]
    tight = dict(overload_window_us=1500 * MILLISECOND, slow_start_us=8 * SECOND, slow_start_from=0.26)
    return [
        Play("classes", s(), rows("e1", "e2", "e3"), ALL_CLASSES, faults=MIXED_FAULTS),
        Play(
            "classes-halving",
            s(halves_after_objective=True, call_slots=6, ordering_gap_us=800 * MILLISECOND),
            rows("e1", "e2", "e3"),
            ALL_CLASSES,
            faults=MIXED_FAULTS,
        ),
        Play(
            "no-cancelling", s(cancelling=False, call_slots=4), rows("e1", "e2", "e3"), ALL_CLASSES, faults=MIXED_FAULTS
        ),
        Play(
            "hang-cancelling",
            s(call_slots=3),
            rows("e1") + rows("f1", destination=2) + rows("g1", destination=3) + rows("h1", "h2", destination=4),
            [
                Stream(1, "unsafe"),
                Stream(1, "unsafe", destination=2),
                Stream(4, "safe", destination=3),
                Stream(1, "ordered", destination=4, keys=2),
            ],
            faults=[Fault("hang", 2, 16, "e1"), Fault("hang", 3, 20, "f1"), Fault("hang", 12, 14, "h1")],
        ),
        Play("drains", s(), rows("e1", "e2", "e3"), ALL_CLASSES, changes=DRAINS),
        Play("apart", s(), rows("e1", "e2", "e3", kind="route"), ALL_CLASSES, faults=MIXED_FAULTS, changes=DRAINS),
        Play(
            "apart-limits",
            s(replica_count=3),
            rows("e1", "e2", kind="route"),
            [Stream(14)],
            limits={1: 9},
            others=0.2,
            tells_limit=True,
            tells_wait=True,
            foreign=3,
        ),
        Play(
            "batches",
            s(call_slots=4),
            rows("e1", "e2", kind="many"),
            [Stream(40), Stream(10, "keyed"), Stream(4, "ordered", keys=2)],
            seconds=12,
            limits={1: 8},
            faults=[Fault("error", 4, 5), Fault("hang", 8, 9)],
        ),
        Play(
            "batches-told",
            s(call_slots=6, replica_count=4),
            rows("e1", kind="many"),
            [Stream(40)],
            seconds=12,
            limits={1: 6},
            tells_limit=True,
            tells_wait=True,
            others=0.3,
        ),
        Play(
            "example",
            example(replica_count=3),
            rows("e1", kind="toy", zones=["here"]),
            [Stream(6, "event-notice"), Stream(6, "status-update"), Stream(3, "fee-order"), Stream(0.5, "unknown")],
            limits={1: 12},
            tells_limit=True,
            faults=[Fault("reset", 6, 8), Fault("full", 14, 18, tells_wait=True)],
            list_fails=3,
        ),
        Play(
            "ask-fails",
            s(polls_endpoint_list=True, replica_count=8, poll_within_us=3 * SECOND),
            rows("e1", "e2"),
            [Stream(5)],
            list_fails=6,
            seconds=30,
        ),
        Play("limit-none", s(replica_count=4), rows("e1", "e2"), [Stream(12)], limits={1: 20}, others=0.6),
        Play(
            "limit-answers",
            s(replica_count=4),
            rows("e1", "e2"),
            [Stream(14)],
            limits={1: 20},
            others=0.4,
            tells_limit=True,
            tells_wait=True,
            new_limits=[(6, 1, 8), (14, 1, 30)],
        ),
        Play(
            "limit-nominal",
            s(weights="nominal", replica_count=3, **tight),
            rows("e1", "e2", weight=24),
            [Stream(10)],
            limits={1: 24},
            others=0.5,
            faults=outage,
        ),
        Play(
            "limit-rough",
            s(weights="rough", replica_count=3, **tight),
            rows("e1", "e2", weight=30),
            [Stream(10)],
            limits={1: 24},
            others=0.5,
            faults=outage,
        ),
        Play(
            "limit-told",
            s(weights="told", replica_count=2),
            rows("e1", "e2", weight=10),
            [Stream(9)],
            limits={1: 10},
            tells_wait=True,
            changes=[
                (6, CHANGES, [("e1", READY, 4.0)]),
                (10, CHANGES, [("e1", READY, 20.0)]),
                (14, CHANGES, [("e1", READY, 0.0)]),
                (18, CHANGES, [("e2", READY, 6.0)]),
            ],
        ),
        Play(
            "outage-route",
            s(weights="nominal", **tight),
            rows("e1", weight=20),
            [Stream(10), Stream(3, "unsafe")],
            faults=[Fault("connect", 5, 9)],
            seconds=30,
        ),
        Play(
            "outage-endpoint",
            s(**tight),
            rows("e1", "e2", "e3"),
            [Stream(14)],
            faults=[Fault("error", 5, 9, "e1"), Fault("hang", 16, 19, "e2")],
            seconds=30,
        ),
        Play(
            "outage-waits",
            s(**tight, replica_count=3),
            rows("e1", "e2"),
            [Stream(10)],
            seconds=30,
            faults=[Fault("full", 5, 10, tells_wait=True), Fault("full", 14, 15, tells_wait=True)],
        ),
        Play(
            "outage-again",
            s(**tight),
            rows("e1"),
            [Stream(10)],
            seconds=36,
            foreign=1,
            faults=[Fault("error", 5, 8), Fault("error", 10, 11), Fault("reset", 13, 14), Fault("error", 15, 16)],
        ),
        Play(
            "connection-cap",
            s(call_slots=8),
            rows("e1", "e2", most=2, ms=300),
            [Stream(12)],
            faults=[Fault("connect", 3, 22, "e1", share=0.3), Fault("crowded", 6, 10, share=0.3)],
        ),
        Play(
            "restart",
            s(weights="none", **tight),
            rows("e1", "e2") + rows("f1", destination=2),
            [Stream(5), Stream(3, "ordered", keys=3), Stream(3, "zoned", destination=2)],
            restored=60,
            seconds=14,
            learned=[(1, "", 6.0, 9.0), (2, "", 3.0, 0.0), (7, "", 1.0, 1.0)],
            faults=[Fault("error", 2, 4)],
        ),
        Play(
            "restart-apart",
            s(polls_endpoint_list=True, **tight),
            rows("e1", "e2", kind="route"),
            [Stream(6)],
            restored=20,
            seconds=14,
            learned=[(1, "e1", 5.0, 8.0), (1, "e2", 2.0, 0.0)],
            faults=[Fault("hang", 1, 4, "e1")],
            list_fails=1,
        ),
        Play(
            "shutdown", s(), rows("e1", "e2"), ALL_CLASSES, seconds=18, closing=(8, 13), faults=[Fault("slow", 6, 10)]
        ),
        Play(
            "overload",
            s(call_slots=3, max_queued=40, attempts={2: 2}),
            rows("e1", ms=120) + rows("f1", destination=2),
            [
                Stream(30, start=2, end=8),
                Stream(6, "keyed"),
                Stream(8, "unsafe", start=4),
                Stream(4, destination=2),
                Stream(1, destination=3),
            ],
            limits={1: 12},
            probed=1,
            faults=[Fault("error", 3, 14, "f1", share=0.5)],
        ),
        Play(
            "forgotten",
            s(),
            rows("e1") + rows("f1", destination=2),
            [Stream(1), Stream(1, destination=2, end=4)],
            seconds=80,
            changes=[(6, CHANGES, [("f1", GONE, None)]), (75, CHANGES, [("e1", READY, None)])],
        ),
        *later_plays(),
    ]


def later_plays() -> list[Play]:
    """Plays for decisions that those before left open: found by changing the module and seeing none differ."""
    s = helpers.settings
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
    short_waits = [Fault("full", at, at + 0.4, tells_wait=True) for at in (3, 6, 9, 13, 17, 21)]
    short_errors = [Fault("error", at, at + 0.3, tells_wait=True) for at in (4.5, 11, 15, 19)]
    fade_streams = [Stream(14, "fades"), Stream(10, "fades-too")]
    return [
        Play("deep-chains", s(call_slots=60), rows("e1", "e2", ms=900), [Stream(24)], seconds=14, limits={1: 26}),
        Play("low-rate", s(replica_count=20), rows("e1"), [Stream(1.2)], limits={1: 4}, others=0.8, seconds=60),
        Play("short-waits", s(), rows("e1"), [Stream(8)], faults=[*short_waits, *short_errors]),
        Play(
            "ordered",
            s(classes={rules.name: rules for rules in ordered}, ordering_gap_us=1500 * MILLISECOND),
            rows("e1", "e2", ms=400),
            [Stream(3, rules.name, keys=5) for rules in ordered],
            faults=[Fault("error", 0, 24, share=0.15), Fault("reset", 8, 9), Fault("hang", 14, 15, "e1")],
            withdrawn=0.2,
        ),
        Play("restart-full", s(max_queued=20), rows("e1", ms=300), [Stream(8)], restored=40, seconds=8, limits={1: 6}),
        Play("zone-fees", s(zone_cost={"a": 0.02, "b": 0.0}), rows("e1", "e2", "e3", "e4"), ALL_CLASSES, seconds=10),
        Play("fades", s(classes=fading, call_slots=6), rows("e1"), fade_streams, seconds=14, limits={1: 10}),
        Play(
            "fades-halving",
            s(classes=fading, call_slots=6, halves_after_objective=True),
            rows("e1"),
            fade_streams,
            seconds=14,
            limits={1: 10},
        ),
        Play("foreign-full", s(replica_count=2), rows("e1"), [Stream(9)], foreign=12, limits={1: 10}, others=0.3),
        Play(
            "moved",
            s(),
            rows("e1", "e2") + rows("f1", destination=2, ms=500),
            [Stream(6), Stream(5, destination=2)],
            moves=[(5, "e2", 2), (9, "f1", 1), (14, "e2", 1)],
            seconds=18,
        ),
        Play(
            "shutdown-short",
            s(),
            rows("e1", "e2", ms=200),
            [Stream(20), Stream(8, "keyed")],
            seconds=9,
            closing=(4, 6.2),
        ),
        Play(
            "shutdown-batches",
            s(call_slots=6),
            rows("e1", kind="many", ms=500) + rows("f1", destination=2, kind="route"),
            [Stream(20), Stream(6, "unsafe"), Stream(6, "zoned", destination=2), Stream(3, "ordered", keys=2)],
            seconds=14,
            closing=(6, 10.5),
            faults=[Fault("error", 7, 8)],
            restored=10,
        ),
        Play(
            "repeated",
            s(weights="live"),
            rows("e1", "e2", weight=8),
            [Stream(8)],
            repeated=0.1,
            seconds=10,
            limits={1: 9},
        ),
        Play("told-none", s(weights="told"), rows("e1"), [Stream(8)], repeated=0.1, seconds=10, limits={1: 6}),
        Play(
            "cut-and-told",
            s(replica_count=8),
            rows("e1", "e2"),
            [Stream(14)],
            limits={1: 40},
            others=0.1,
            tells_limit=True,
            seconds=12,
            faults=[Fault("full", 0, 12, share=0.15)],
        ),
        Play(
            "cut-and-told-batches",
            s(replica_count=8),
            rows("e1", kind="many"),
            [Stream(14)],
            limits={1: 40},
            others=0.1,
            tells_limit=True,
            seconds=12,
            faults=[Fault("full", 0, 12, share=0.15)],
        ),
    ]


# -- the settings reader


def settings_rows() -> list[list[Any]]:
    """Configurations with one value changed at a time, each with the settings or the complaint."""
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
            continue  # a value that the reader does not look at before it uses it: no form to hold it to
    return rows


def paths_of(value: Any, before: tuple = ()) -> list[tuple]:
    pairs = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [found for key, part in pairs for found in ((*before, key), *paths_of(part, (*before, key)))]


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
        rows = World(play, 100 + number).run()
        size = recording.write(f"play-{play.name}", rows)
        total += size
        print(f"{play.name}: {len(rows) - 1} steps, {size} bytes")
    print(f"total {total} bytes")


if __name__ == "__main__":
    main()
