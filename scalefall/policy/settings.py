"""What the engine is told at its start: the rules for classes, endpoints, routes and the fleet of senders.

Times are whole microseconds. `scalefall.settings_reader` reads these from the platform's settings object.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What repeating a message of a class may do. The values are those of the platform's settings."""

    IDEMPOTENT = "safe"  # a repeat does no harm
    WITH_KEY = "keyed"  # a repeat does no harm where and while the endpoints know the message's idempotency key
    NOT_IDEMPOTENT = "unsafe"  # an attempt that may have run must not be repeated


@dataclass(slots=True)
class MessageClass:
    """The rules of one class of messages."""

    name: str
    latency_objective_us: int  # from when a message is handed in; up to then it has its full value
    deadline_us: int  # from when a message is handed in to its final answer, at most
    priority_weight: float  # the value of a message that is delivered within the objective
    late_priority_weight: float  # the share of that value that is left at the deadline, 0 to 1
    idempotency: Idempotency
    key_scope_zone: bool  # an idempotency key holds within one zone only
    key_ttl_us: int  # how long the endpoints know an idempotency key
    ordered: bool  # messages with the same ordering key go out one after another


@dataclass(slots=True)
class Tenant:
    """A client organisation and its quota."""

    name: str
    quota_per_s: float  # messages a second


@dataclass(slots=True)
class Settings:
    """Everything that one sender is told of its world. Names of kinds and zones are those of the endpoint list."""

    replica_index: int  # which of the replicas this sender is, from 0
    replica_count: int  # senders that share the destinations' limits
    classes: dict[str, MessageClass]  # by name
    tenants: dict[str, Tenant]  # by name
    over_quota_priority_weight: float  # factor on the priority weight of what a tenant sends beyond its quota
    call_slots: int  # calls of this sender at once
    messages_per_call: dict[str, int]  # at most, by kind of endpoint
    route_per_endpoint: dict[str, bool]  # by kind: each endpoint has a limit of its own, and so is its own route
    zone_cost: dict[str, float]  # of a call, by zone
    halves_after_objective: bool  # a late message's value halves with each objective; otherwise it falls linearly
    max_attempts: int  # for one message
    max_queued: int  # messages without a final answer
    cancelling: bool  # attempts may be cancelled
    probes: bool  # endpoints may be probed
    retry_after: bool  # a shed message's client may be told when to come back
    max_retry_after_us: int
    idle_close_us: int  # after which endpoints close an idle connection
    dial_timeout_us: int
    streams: int  # requests at once on one connection
    polls_endpoint_list: bool  # the list comes only when it is polled
    poll_within_us: int  # the list must be polled within this time of the start
    weights: str  # what an endpoint's weight says of its limit: "none", "nominal", "rough", "live" or "told"
    report_fields: list[str]  # names of the figures in a load report, in the order of the wire
    answer_slack_us: int  # by which a final answer may come after the deadline
    slow_start_from: float  # share of its limit that a cold endpoint takes at once, 0 to 1
    slow_start_us: int  # time until a cold endpoint takes its whole limit
    drain_grace_us: int  # after which a draining endpoint takes no more calls
    overload_window_us: int  # span over which calls are counted against what a cold endpoint takes
    overload_multiple: float  # times what it takes that brings a cold endpoint down within that span
    ordering_gap_us: int  # rest of an ordering key after an attempt that may have run
    tick_us: int  # the caller's step
    attempts: dict[int, int] = field(default_factory=dict)  # by destination, where not max_attempts
    answers_carry_report: bool = False  # every answer to a call carries the fields of a load report
