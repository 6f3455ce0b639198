"""Input of the engine: messages, results of attempts, updates of the endpoint list. Times are microseconds."""

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
    CONNECTIONS_EXHAUSTED = "crowded"  # the endpoint is up, but has reached its connection limit


# Outcomes after which a message of any class may be sent again.
NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CONNECTIONS_EXHAUSTED))


class EndpointStatus(Enum):
    """Status of an endpoint in the endpoint list; independent of its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(Enum):
    """How to apply an update of the endpoint list."""

    CHANGES = 0  # only the endpoints that changed
    WHOLE = 1  # all endpoints; a known one that is missing has been removed
    CACHED = 2  # like WHOLE, but stored before the start, and possibly out of date
    FAILED = 3  # a poll failed


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: str
    zone: str
    kind: str
    destination: int
    status: EndpointStatus
    weight: float  # its limit in calls a second, with the meaning that Settings.weights gives it; 0 if unknown
    max_calls: int = 0  # limit on this sender's calls in flight; 0: only the call slots limit them


@dataclass(slots=True)
class Message:
    """A message from a client, which must get exactly one final answer by due_us.

    A message that was accepted before a restart is handed over with its history: the attempts used, and the time and
    zone of the first one that may have run.
    """

    id: str
    destination: int
    class_name: str
    due_us: int
    tenant: str | None = None
    ordering_key: str | None = None
    attempts: int = 0  # attempts already used
    may_have_run_at_us: int | None = None  # may be before the start
    may_have_run_zone: str = ""
    restored: bool = False  # accepted before a restart, so never shed for lack of capacity
    message_class: MessageClass | None = None  # the rules at acceptance, where they differ from the current settings
    batch_bytes: int = 0  # bytes that it takes in the body of a call with several messages; 0: unknown


@dataclass(slots=True)
class MessageWithdrawn:
    """The client withdrew the message; it gets no final answer."""

    id: str


@dataclass(slots=True)
class AttemptFinished:
    """The outcome of an attempt; each attempt has exactly one."""

    id: str  # of the message
    attempt: int  # number of the attempt at this message, from 0
    endpoint: str
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the message needs no further attempt, whatever the outcome
    retry_after_us: int = 0  # from now, as the answer demands; 0: not given
    load_report: dict[str, float] = field(default_factory=dict)
    batch_unreadable: bool = False  # the endpoint could not read the call; one of its messages may be the cause


@dataclass(slots=True)
class EndpointReport:
    """The result of a call that a proxy made under a grant of this engine."""

    endpoint: str
    sent_us: int  # on the engine's clock
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
    """A timer that the engine set has expired."""

    token: int


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list, or changes to it."""

    kind: ListUpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class EndpointListUnconfirmed:
    """Changes of the endpoint list may be missing, so that no call may start until EndpointListConfirmed.

    A later event of this kind replaces the endpoints that are excepted.
    """

    since_us: int  # when the list was last known to be complete, or the start
    usable: frozenset[str] = frozenset()  # endpoints that have shown since that they are in service


@dataclass(slots=True)
class EndpointListConfirmed:
    """The endpoint list is complete; any update that was missing has come before."""


@dataclass(slots=True)
class LearnedRate:
    """Learned rate of a route from an earlier process of this sender; comes after the cached list."""

    destination: int
    route: str
    own_rate: float  # this sender's served calls a second
    limit: float  # reported limit in calls a second from all senders; 0 if none was reported


@dataclass(slots=True)
class ShuttingDown:
    """The process exits at ends_at_us; a call still in flight by then may have run."""

    ends_at_us: int


Event = (
    Message
    | MessageWithdrawn
    | AttemptFinished
    | EndpointReport
    | ProbeFinished
    | TimerFired
    | EndpointListUpdate
    | EndpointListUnconfirmed
    | EndpointListConfirmed
    | LearnedRate
    | ShuttingDown
)
