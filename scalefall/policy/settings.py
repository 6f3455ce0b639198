"""Settings of the engine: the rules for classes, endpoints, routes and the group of replicas.

Times are whole microseconds. `scalefall.settings_reader` reads them from the platform's settings object.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Effect of sending a message of a class again. The values are those of the platform's settings."""

    IDEMPOTENT = "safe"  # a repeat is harmless
    WITH_KEY = "keyed"  # a repeat is harmless where and while the endpoints store the idempotency key
    NOT_IDEMPOTENT = "unsafe"  # a message that may have run must not be sent again


@dataclass(slots=True)
class MessageClass:
    """The rules of one class of messages."""

    name: str
    latency_objective_us: int  # from submission; a message keeps its full value until then
    deadline_us: int  # longest time from submission to the final answer
    priority_weight: float  # value of a message that is delivered within the objective
    late_priority_weight: float  # fraction of that value that remains at the deadline, 0 to 1
    idempotency: Idempotency
    key_scope_zone: bool  # an idempotency key is valid within one zone only
    key_ttl_us: int  # time for which endpoints store an idempotency key
    ordered: bool  # messages with the same ordering key are sent one after another


@dataclass(slots=True)
class Tenant:
    """A client organisation and its quota."""

    name: str
    quota_per_s: float  # messages a second


@dataclass(slots=True)
class Settings:
    """The settings of one sender. Names of kinds and zones are those of the endpoint list."""

    replica_index: int  # index of this sender among the replicas, from 0
    replica_count: int  # number of senders that share the destinations' limits
    classes: dict[str, MessageClass]  # by name
    tenants: dict[str, Tenant]  # by name
    over_quota_priority_weight: float  # factor on the priority weight of what a tenant sends beyond its quota
    call_slots: int  # limit on this sender's calls in flight
    messages_per_call: dict[str, int]  # limit on the messages in one call, by kind of endpoint
    route_per_endpoint: dict[str, bool]  # by kind: each endpoint has its own limit and is a route of its own
    zone_cost: dict[str, float]  # cost of a call, by zone
    halves_after_objective: bool  # a late message's value halves with each objective; otherwise it falls linearly
    max_attempts: int  # limit for one message
    max_queued: int  # limit on messages without a final answer
    cancelling: bool  # attempts may be cancelled
    probes: bool  # endpoints may be probed
    retry_after: bool  # the answer to a shed message may carry Retry-After
    max_retry_after_us: int
    idle_close_us: int  # time after which endpoints close an idle connection
    dial_timeout_us: int
    streams: int  # limit on concurrent requests on one connection
    polls_endpoint_list: bool  # the endpoint list is polled instead of pushed
    poll_within_us: int  # latest time for a poll, from the start
    # Meaning of an endpoint's weight as its limit: "nominal"; "rough", possibly too high; "told", set by the operator;
    # "none" and "live": not used as a limit.
    weights: str
    report_fields: list[str]  # names of the fields of a load report, in the order of the wire
    answer_slack_us: int  # time by which a final answer may exceed the deadline
    slow_start_from: float  # fraction of its limit that a cold endpoint accepts at first, 0 to 1
    slow_start_us: int  # time until a cold endpoint accepts its full limit
    drain_grace_us: int  # time after which a draining endpoint accepts no calls
    overload_window_us: int  # span over which calls are compared with what a cold endpoint accepts
    overload_multiple: float  # multiple of what it accepts at which a cold endpoint fails within that span
    ordering_gap_us: int  # pause of an ordering key after an attempt that may have run
    tick_us: int  # interval between the caller's steps
    attempts: dict[int, int] = field(default_factory=dict)  # limits by destination that replace max_attempts
    answers_carry_report: bool = False  # every answer to a call carries a load report
