"""What the engine remembers: messages without a final answer, attempts in flight, endpoints, routes, destinations.

A route is what has one limit and one paced rate: all endpoints of a destination, or one endpoint where its kind says
that limits stand apart. Times are microseconds on the caller's clock; -1 stands for never.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from math import inf

from scalefall.policy.actions import Action
from scalefall.policy.envelope import CallSpan, Envelope
from scalefall.policy.events import Endpoint
from scalefall.policy.settings import MessageClass, Settings

TRIAL_CALLS = 1  # attempts that a sender makes on a failing route before its slow start limits it


@dataclass(slots=True, eq=False)
class QueuedMessage:
    """A message that has no final answer yet."""

    id: str
    message_class: MessageClass
    destination: DestinationState
    due: int
    sequence: int  # order of arrival
    max_attempts: int
    ordering_key: str | None
    admitted: bool = False
    attempts: int = 0  # begun so far
    attempt: Attempt | None = None  # the one in flight
    span: CallSpan | None = None  # of the last attempt, in the route's envelope
    may_have_run_at: int = -1  # send of the first attempt that may have run
    required_zone: str = ""  # the zone that it must keep to since, where its idempotency key holds there alone
    not_before: int = 0  # backoff after a failed attempt


@dataclass(slots=True, eq=False)
class Attempt:
    """One call in flight, with one or several messages; it holds a slot until the last of these has its outcome."""

    endpoint: EndpointState
    sent_at: int
    unfinished: int = 0  # messages without an outcome
    carried: int = 0  # messages
    evaluated: bool = False  # the first outcome counts for the whole call
    counted_overdue: bool = False  # counted as a failure already, since it is overdue
    cancelled: bool = False
    overdue_at: int = 0


@dataclass(slots=True)
class SlowStart:
    """Limits a route, or one endpoint whose neighbours serve, from a failure until it has warmed up again."""

    consecutive_failures: int = 0  # 0: not in force; above TRIAL_CALLS the budget limits
    own_rate: float = 0.0  # calls a second: what this sender sends once it is warm
    last_failure_at: int = -1
    widely_detected_at: int = 0  # by then all but a few senders have met the failure
    last_success_at: int = -1
    warming_since: int = -1  # the first success after the last failure
    next_attempt_at: int = 0

    def budget_applies(self) -> bool:
        """Return whether its budget, and not only one pause, limits what is sent."""
        return self.consecutive_failures > TRIAL_CALLS


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint of the list, or one that has left it and still matters."""

    endpoint: Endpoint
    route: RouteState
    ready: bool = True  # takes fresh work
    removed: bool = False  # left the list
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by id()
    slow_start: SlowStart = field(default_factory=SlowStart)


@dataclass(slots=True, eq=False)
class RouteState:
    """Endpoints with one limit and one paced rate (calls a second)."""

    envelopes: dict[str, Envelope] = field(default_factory=dict)  # by name of the class
    endpoints: list[EndpointState] = field(default_factory=list)
    rate: float = inf  # the paced rate; inf: no pace
    tokens: float = 1.0  # calls that the pace allows now
    refilled_at: int = 0
    decreased_at: int = -1  # when the rate was last cut because of an overloaded endpoint
    retry_after_until: int = 0  # an endpoint asked for no calls until then
    sent_at: deque[int] = field(default_factory=deque)  # recent calls
    served_at: deque[int] = field(default_factory=deque)  # recent successes
    slow_start: SlowStart = field(default_factory=SlowStart)
    rate_ceiling: float = inf  # the most that the rate may reach, where a limit is reported
    increased_at: int = 0  # when the rate last grew by what is reported to be left
    reported_limit: float = 0.0  # from all senders, as reported or configured; 0: unknown
    learned_rate: float = 0.0  # own rate of the process before

    def calls_in_flight(self) -> int:
        """Return the calls in flight to all its endpoints."""
        return sum(len(endpoint.attempts) for endpoint in self.endpoints)


@dataclass(slots=True, eq=False)
class DestinationState:
    """A destination that messages are addressed to."""

    number: int
    next_evaluation_at: int = -1  # the next evaluation that is planned
    unused_since: int = 0  # when it was first heard of, or an endpoint of it last went
    routes: dict[str, RouteState] = field(default_factory=dict)  # "": the one of all its endpoints
    waiting: dict[str, QueuedMessage] = field(default_factory=dict)  # by id, not in flight


class EngineState:
    """What the concerns of the engine share: its settings, the present step, and all that it knows of."""

    __slots__ = (
        "actions",
        "calls_in_flight",
        "destinations",
        "endpoints",
        "ends_at",
        "messages",
        "now",
        "random",
        "settings",
        "started_at",
    )

    def __init__(self, settings: Settings, randomness: random.Random) -> None:
        """Start with nothing known."""
        self.settings = settings
        self.random = randomness
        self.now = 0  # of the present step
        self.started_at = -1  # time of the first step
        self.ends_at: float = inf  # the process ends then, on purpose
        self.actions: list[Action] = []  # of the present step
        self.messages: dict[str, QueuedMessage] = {}
        self.destinations: dict[int, DestinationState] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.calls_in_flight = 0

    def destination(self, number: int) -> DestinationState:
        """Return a destination, a new one if it was unknown."""
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = DestinationState(number, unused_since=self.now)
        return found


def count_since(times: deque[int], oldest: int) -> int:
    """Drop times before oldest from the front, and return how many are left."""
    while times and times[0] < oldest:
        times.popleft()
    return len(times)
