"""State of the engine: messages without a final answer, attempts in flight, endpoints, routes, destinations.

A route is what shares one rate limit: all endpoints of a destination, or a single endpoint if its kind has a limit for
each endpoint. Times are microseconds on the caller's clock; -1 means never.
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

TRIAL_CALLS = 1  # trial calls that a sender makes to a failing route before the budget of its slow start applies


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
    attempts: int = 0  # started so far
    attempt: Attempt | None = None  # in flight
    span: CallSpan | None = None  # of the last attempt, shared with the route's envelope
    may_have_run_at: int = -1  # send time of the first attempt that may have run
    required_zone: str = ""  # zone of that attempt, if the idempotency key is valid only there
    not_before: int = 0  # end of the backoff after a failed attempt
    batch_bytes: int = 0  # bytes that it takes in the body of a call with several messages
    sent_alone: bool = False  # shares no call, as an endpoint could not read one that it was in


@dataclass(slots=True, eq=False)
class Attempt:
    """One call in flight, with one or several messages; it uses a call slot until the last of them has its outcome."""

    endpoint: EndpointState
    sent_at: int
    number: int = -1  # of the calls that this engine started; -1: a proxy's
    unfinished: int = 0  # messages in the call without an outcome
    carried: int = 0  # messages in the call
    batch_bytes: int = 0  # of these messages
    evaluated: bool = False  # the first outcome has been evaluated, for all messages of the call
    counted_overdue: bool = False  # already counted as a failure because it is overdue
    cancelled: bool = False
    overdue_at: int = 0


@dataclass(slots=True)
class SlowStart:
    """Limits calls to a route, or to one endpoint of a healthy route, from a failure until it has warmed up."""

    consecutive_failures: int = 0  # 0: not in force; above TRIAL_CALLS the budget applies
    own_rate: float = 0.0  # calls a second that this sender may send once the route is warm; set at the first failure
    last_failure_at: int = -1
    widely_detected_at: int = 0  # time by which most senders have seen the failure themselves
    last_success_at: int = -1
    warming_since: int = -1  # start of the warm-up, at the first success after failures
    next_attempt_at: int = 0

    def budget_applies(self) -> bool:
        """Return whether the budget limits calls, and not only the pause after a failure."""
        return self.consecutive_failures > TRIAL_CALLS


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint of the list, or one that has left it and still has calls in flight or a pause in force."""

    endpoint: Endpoint
    route: RouteState
    ready: bool = True  # takes new calls
    removed: bool = False  # left the list
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by id()
    slow_start: SlowStart = field(default_factory=SlowStart)


@dataclass(slots=True, eq=False)
class RouteState:
    """Endpoints that share one limit and one rate, in calls a second."""

    envelopes: dict[str, Envelope] = field(default_factory=dict)  # by class name
    endpoints: list[EndpointState] = field(default_factory=list)
    rate: float = inf  # rate limit; inf: none
    tokens: float = 1.0  # calls that the rate limit allows now
    refilled_at: int = 0
    decreased_at: int = -1  # when the rate was last cut after an overloaded answer
    retry_after_until: int = 0  # no calls before then, as an answer demanded
    sent_at: deque[int] = field(default_factory=deque)  # times of recent calls
    served_at: deque[int] = field(default_factory=deque)  # times of recent successes
    slow_start: SlowStart = field(default_factory=SlowStart)
    rate_ceiling: float = inf  # bound on the rate where a limit is reported
    increased_at: int = 0  # when the rate last grew because part of the limit was reported unused
    reported_limit: float = 0.0  # for all senders, as reported or configured; 0: unknown
    learned_rate: float = 0.0  # own rate of the earlier process; 0: unknown

    def calls_in_flight(self) -> int:
        """Return the number of calls in flight to its endpoints."""
        return sum(len(endpoint.attempts) for endpoint in self.endpoints)


@dataclass(slots=True, eq=False)
class DestinationState:
    """A destination that messages are addressed to."""

    number: int
    next_evaluation_at: int = -1  # the next planned evaluation
    unused_since: int = 0  # when it was added, or an endpoint of it was last removed
    routes: dict[str, RouteState] = field(default_factory=dict)  # by endpoint id; "": the route of all its endpoints
    waiting: dict[str, QueuedMessage] = field(default_factory=dict)  # messages that are not in flight, by id


class EngineState:
    """State that the components of the engine share: settings, the current step, messages, destinations, endpoints."""

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
        "suspended_since",
        "usable",
    )

    def __init__(self, settings: Settings, randomness: random.Random) -> None:
        """Start with no message, destination or endpoint."""
        self.settings = settings
        self.random = randomness
        self.now = 0  # time of the current step
        self.started_at = -1  # time of the first step
        self.ends_at: float = inf  # when the process exits
        self.suspended_since = -1  # while sending is suspended: when the endpoint list was last known to be complete
        self.usable: frozenset[str] = frozenset()  # endpoints that get calls during a suspension
        self.actions: list[Action] = []  # of the current step
        self.messages: dict[str, QueuedMessage] = {}
        self.destinations: dict[int, DestinationState] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.calls_in_flight = 0

    def may_use(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint is in service, as far as the endpoint list is known to be complete."""
        return endpoint.ready and (self.suspended_since < 0 or endpoint.endpoint.id in self.usable)

    def destination(self, number: int) -> DestinationState:
        """Return a destination, created if it was unknown."""
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = DestinationState(number, unused_since=self.now)
        return found


def count_since(times: deque[int], oldest: int) -> int:
    """Drop times before oldest and return the number of those left."""
    while times and times[0] < oldest:
        times.popleft()
    return len(times)
