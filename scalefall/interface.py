"""The types that policy.py speaks: settings at the start, events in, actions out. Times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Union


class Effect(Enum):
    """What repeating a message of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    CROWDED = "crowded"  # the endpoint is up, and turned the connection away, as it holds as many as it takes


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CROWDED))


class Status(Enum):
    """What the directory says of an endpoint; nothing about its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a directory event is to be read."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True)
class MessageClass:
    name: str
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float
    effect: Effect
    key_scope_zone: bool
    key_ttl_us: int
    in_order: bool


@dataclass(slots=True)
class Tenant:
    name: str
    quota_per_s: float


@dataclass(slots=True)
class Settings:
    index: int
    siblings: int
    classes: dict[str, MessageClass]
    tenants: dict[str, Tenant]
    over_share_worth: float
    slots: int
    per_call: dict[str, int]
    apart: dict[str, bool]
    zone_fee: dict[str, float]
    halving: bool
    max_attempts: int
    max_held: int
    cancelling: bool
    probes: bool
    retry_after: bool
    max_retry_after_us: int
    idle_close_us: int
    dial_timeout_us: int
    streams: int
    ask: bool
    ask_within_us: int
    weights: str
    report_fields: list[str]
    answer_slack_us: int
    cold_from: float
    cold_us: int
    drain_grace_us: int
    fall_us: int
    fall_multiple: float
    turn_gap_us: int
    tick_us: int
    attempts: dict[int, int] = field(default_factory=dict)  # by destination, where not max_attempts
    answers_report: bool = False  # every answer to a call tells the fields of a report


@dataclass(slots=True)
class Endpoint:
    id: str
    zone: str
    kind: str
    destination: int
    status: Status
    weight: float
    most_calls: int = 0  # at once, from this sender; 0: as many as its slots


@dataclass(slots=True)
class Message:
    """A message handed in: the sender owes it one final answer by due_us. One that was taken on before a restart
    comes again with its history: attempts used, and when and where one first may have run."""

    id: str
    destination: int
    class_name: str
    due_us: int
    tenant: str | None = None
    key: str | None = None
    attempts: int = 0
    ran_us: int | None = None  # may lie before the start
    ran_zone: str = ""
    restored: bool = False  # taken on before a restart: never turned away for want of room
    cls: MessageClass | None = None  # the rules that it was taken on under, where not the settings' of now


@dataclass(slots=True)
class Dropped:
    """The client withdrew the message; nothing more is owed."""

    id: str


@dataclass(slots=True)
class Attempted:
    """The one outcome of an attempt."""

    id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    latency_us: int
    finished: bool = False
    wait_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Reported:
    """A call that another proxy made under a grant of ours, as it told."""

    endpoint: str
    sent_us: int  # by our clock
    outcome: Outcome
    wait_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Probed:
    endpoint: str
    outcome: Outcome
    latency_us: int
    wait_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class Listed:
    kind: ListKind
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class Known:
    """What an earlier process of this sender knew of a route, shortly before: comes after the cached list."""

    destination: int
    route: str
    part: float  # calls a second that this sender was served with
    limit: float  # the limit that answers told; 0 if none


@dataclass(slots=True)
class Allowed:
    """What all proxies together may send on a route now, in calls a second; inf: as much as they like."""

    destination: int
    route: str
    endpoints: dict[str, float]  # those that may have fresh work, each with what its own guard leaves it
    rate: float  # the route's pace, or its guard's budget
    silent_until: int  # nothing before: a wait that was told


@dataclass(slots=True)
class Closing:
    """The process ends at until_us, on purpose: a call still out then may have run."""

    until_us: int


@dataclass(slots=True)
class Send:
    id: str
    endpoint: str
    timeout_us: int


@dataclass(slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: handed back, a repeat does no harm; come again after retry_after_us."""

    id: str
    retry_after_us: int


@dataclass(slots=True)
class Fail:
    """Final answer: given up, no promise about its effect."""

    id: str


@dataclass(slots=True)
class SetTimer:
    token: int
    delay_us: int


@dataclass(slots=True)
class Probe:
    endpoint: str


@dataclass(slots=True)
class Close:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class Subscribe:
    on: bool = True


@dataclass(slots=True)
class Log:
    line: str


Event = Union[Message, Dropped, Attempted, Reported, Probed, Timer, Listed, Known, Closing]
Action = Union[Send, Cancel, Refuse, Fail, SetTimer, Probe, Close, Subscribe, Log]
