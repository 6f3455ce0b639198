"""What the engine is told: messages, results of attempts, changes of the endpoint list. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from scalefall.policy.settings import MessageClass


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"  # the endpoint rejected the call because of its load
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    CONNECTIONS_EXHAUSTED = "crowded"  # the endpoint is up, and closed the connection as it has as many as it takes


NEVER_RAN = frozenset(
    (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CONNECTIONS_EXHAUSTED)
)  # outcomes after which a repeat does no harm, whatever the class


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint; nothing about its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(Enum):
    """How an update of the endpoint list is to be read."""

    CHANGES = 0  # only the endpoints that differ
    WHOLE = 1  # all endpoints; what is missing is gone
    CACHED = 2  # as WHOLE, but from before, and may be out of date
    FAILED = 3  # a poll brought nothing


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: str
    zone: str
    kind: str
    destination: int
    status: EndpointStatus
    weight: float  # its limit in calls a second, as far as Settings.weights says so; 0 if unknown
    max_calls: int = 0  # at once, from this sender; 0: no limit but the sender's call slots


@dataclass(slots=True)
class Message:
    """A message handed in: the sender owes it one final answer by due_us.

    One that was accepted before a restart comes again with its history: the attempts used, and when and where one
    first may have run.
    """

    id: str
    destination: int
    class_name: str
    due_us: int
    tenant: str | None = None
    ordering_key: str | None = None
    attempts: int = 0  # already used
    may_have_run_at_us: int | None = None  # may lie before the start
    may_have_run_zone: str = ""
    restored: bool = False  # accepted before a restart: never shed for want of capacity
    message_class: MessageClass | None = None  # the rules it was accepted under, where not those of the settings now


@dataclass(slots=True)
class MessageWithdrawn:
    """The client withdrew the message; nothing more is owed."""

    id: str


@dataclass(slots=True)
class AttemptFinished:
    """The one outcome of an attempt at a message."""

    id: str  # the message's
    attempt: int  # of this message, from 0
    endpoint: str
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the message is done, whatever the outcome
    retry_after_us: int = 0  # from now, as the endpoint said; 0: it said nothing
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class EndpointReport:
    """The result of a call that another proxy made under a grant of ours."""

    endpoint: str
    sent_us: int  # on our clock
    outcome: Outcome
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ProbeFinished:
    """The result of a health check."""

    endpoint: str
    outcome: Outcome
    latency_us: int
    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TimerFired:
    """A timer that the engine set has run out."""

    token: int


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list, or a change of it."""

    kind: ListUpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class LearnedRate:
    """What an earlier process of this sender learned of a route shortly before; comes after the cached list."""

    destination: int
    route: str
    own_rate: float  # calls a second that this sender was served with
    limit: float  # calls a second from all senders, as answers reported it; 0 if none did


@dataclass(slots=True)
class ShuttingDown:
    """The process ends at ends_at_us, on purpose: a call in flight then may have run."""

    ends_at_us: int


Event = (
    Message
    | MessageWithdrawn
    | AttemptFinished
    | EndpointReport
    | ProbeFinished
    | TimerFired
    | EndpointListUpdate
    | LearnedRate
    | ShuttingDown
)
