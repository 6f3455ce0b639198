"""Stable names of the recorded plays, and their current names in the code.

The recordings under ``data`` contain only the names on the left-hand sides here, and their fields in this order. A
renaming in the code changes the right-hand sides and nothing else of the characterization tests.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any
from collections.abc import Callable

from scalefall.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Probe,
    RouteAllowance,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.engine import Engine
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
from scalefall.policy.settings import Idempotency, MessageClass, Settings, Tenant
from scalefall.settings_reader import read_settings

SettingsError = ValueError  # raised by read_settings


@dataclass(frozen=True)
class Shape:
    """One recorded kind: its stable name, the class in the code, and its fields in recorded order."""

    name: str
    type: type
    fields: dict[str, str]  # stable name: attribute in the code
    codecs: dict[str, tuple[Callable[[Any], Any], Callable[[Any], Any]]] = field(default_factory=dict)

    def pack(self, item: Any) -> list[Any]:
        """Return the values of the item's fields, in recorded order."""
        values = [getattr(item, attribute) for attribute in self.fields.values()]
        for at, stable in enumerate(self.fields):
            if stable in self.codecs:
                values[at] = self.codecs[stable][0](values[at])
        return values

    def unpack(self, values: list[Any]) -> Any:
        """Return an item of the class in the code from its recorded values."""
        arguments = {}
        for (stable, attribute), value in zip(self.fields.items(), values, strict=True):
            arguments[attribute] = self.codecs[stable][1](value) if stable in self.codecs else value
        return self.type(**arguments)

    def describe(self, values: list[Any]) -> dict[str, Any]:
        """Return recorded values by stable name, for messages."""
        return dict(zip(self.fields, values, strict=False))


def _same(*names: str) -> dict[str, str]:
    """Return the fields whose names in the code are those of the recordings."""
    return {name: name for name in names}


def _enum(type_: Any) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    return (lambda member: member.value), type_


def _list_of(shape: Shape) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    return (lambda items: [shape.pack(item) for item in items]), (lambda rows: [shape.unpack(row) for row in rows])


def _by_name(shape: Shape) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    return (
        lambda table: {name: shape.pack(item) for name, item in table.items()},
        lambda table: {name: shape.unpack(row) for name, row in table.items()},
    )


def _or_none(shape: Shape) -> tuple[Callable[[Any], Any], Callable[[Any], Any]]:
    return (
        lambda item: None if item is None else shape.pack(item),
        lambda row: None if row is None else shape.unpack(row),
    )


_ATTEMPTS_BY_DESTINATION = (
    lambda table: {str(number): limit for number, limit in table.items()},
    lambda table: {int(number): limit for number, limit in table.items()},
)

MESSAGE_CLASS = Shape(
    "message_class",
    MessageClass,
    {
        "name": "name",
        "aim_us": "latency_objective_us",
        "deadline_us": "deadline_us",
        "worth": "priority_weight",
        "late_worth": "late_priority_weight",
        "effect": "idempotency",
        "key_scope_zone": "key_scope_zone",
        "key_ttl_us": "key_ttl_us",
        "in_order": "ordered",
    },
    {"effect": _enum(Idempotency)},
)
TENANT = Shape("tenant", Tenant, {"name": "name", "quota_per_s": "quota_per_s"})
ENDPOINT = Shape(
    "endpoint",
    Endpoint,
    {
        "id": "id",
        "zone": "zone",
        "kind": "kind",
        "destination": "destination",
        "status": "status",
        "weight": "weight",
        "most_calls": "max_calls",
    },
    {"status": _enum(EndpointStatus)},
)
SETTINGS = Shape(
    "settings",
    Settings,
    {
        "index": "replica_index",
        "siblings": "replica_count",
        "classes": "classes",
        "tenants": "tenants",
        "over_share_worth": "over_quota_priority_weight",
        "slots": "call_slots",
        "per_call": "messages_per_call",
        "apart": "route_per_endpoint",
        "zone_fee": "zone_cost",
        "halving": "halves_after_objective",
        "max_attempts": "max_attempts",
        "max_held": "max_queued",
        "cancelling": "cancelling",
        "probes": "probes",
        "retry_after": "retry_after",
        "max_retry_after_us": "max_retry_after_us",
        "idle_close_us": "idle_close_us",
        "dial_timeout_us": "dial_timeout_us",
        "streams": "streams",
        "ask": "polls_endpoint_list",
        "ask_within_us": "poll_within_us",
        "weights": "weights",
        "report_fields": "report_fields",
        "answer_slack_us": "answer_slack_us",
        "cold_from": "slow_start_from",
        "cold_us": "slow_start_us",
        "drain_grace_us": "drain_grace_us",
        "fall_us": "overload_window_us",
        "fall_multiple": "overload_multiple",
        "turn_gap_us": "ordering_gap_us",
        "tick_us": "tick_us",
        "attempts": "attempts",
        "answers_report": "answers_carry_report",
    },
    {"classes": _by_name(MESSAGE_CLASS), "tenants": _by_name(TENANT), "attempts": _ATTEMPTS_BY_DESTINATION},
)

_OUTCOME = {"outcome": _enum(Outcome)}

_PRESENT_LOG_LINE = re.compile(r"slow start: endpoint (.+), rate when warm ([0-9]+\.[0-9]{2}) calls/s")
_RECORDED_LOG_LINE = re.compile(r"held (.+): part of ([0-9]+\.[0-9]{2}) calls/s")


def _recorded_log_line(line: str) -> str:
    """Return a log line as recorded; the whole line must match, and each field is kept."""
    found = _PRESENT_LOG_LINE.fullmatch(line)
    if found is None:
        raise ValueError(f"log line {line!r} does not match {_PRESENT_LOG_LINE.pattern!r}")
    return f"held {found[1]}: part of {found[2]} calls/s"


def _present_log_line(line: str) -> str:
    """Return a recorded log line as the code writes it now."""
    found = _RECORDED_LOG_LINE.fullmatch(line)
    if found is None:
        raise ValueError(f"recorded log line {line!r} does not match {_RECORDED_LOG_LINE.pattern!r}")
    return f"slow start: endpoint {found[1]}, rate when warm {found[2]} calls/s"


EVENTS = (
    Shape(
        "message",
        Message,
        {
            "id": "id",
            "destination": "destination",
            "class_name": "class_name",
            "due_us": "due_us",
            "tenant": "tenant",
            "key": "ordering_key",
            "attempts": "attempts",
            "ran_us": "may_have_run_at_us",
            "ran_zone": "may_have_run_zone",
            "restored": "restored",
            "class_override": "message_class",
        },
        {"class_override": _or_none(MESSAGE_CLASS)},
    ),
    Shape("withdrawn", MessageWithdrawn, _same("id")),
    Shape(
        "attempt_finished",
        AttemptFinished,
        {
            "id": "id",
            "attempt": "attempt",
            "endpoint": "endpoint",
            "outcome": "outcome",
            "latency_us": "latency_us",
            "finished": "finished",
            "wait_us": "retry_after_us",
            "report": "load_report",
        },
        _OUTCOME,
    ),
    Shape(
        "foreign_call_finished",
        EndpointReport,
        {
            "endpoint": "endpoint",
            "sent_us": "sent_us",
            "outcome": "outcome",
            "wait_us": "retry_after_us",
            "report": "load_report",
        },
        _OUTCOME,
    ),
    Shape(
        "probe_finished",
        ProbeFinished,
        {
            "endpoint": "endpoint",
            "outcome": "outcome",
            "latency_us": "latency_us",
            "wait_us": "retry_after_us",
            "report": "load_report",
        },
        _OUTCOME,
    ),
    Shape("timer_fired", TimerFired, _same("token")),
    Shape(
        "endpoints_listed",
        EndpointListUpdate,
        _same("kind", "endpoints"),
        {"kind": _enum(ListUpdateKind), "endpoints": _list_of(ENDPOINT)},
    ),
    Shape(
        "learned_rate",
        LearnedRate,
        {"destination": "destination", "route": "route", "rate": "own_rate", "limit": "limit"},
    ),
    Shape(
        "shutdown",
        ShuttingDown,
        {
            "until_us": "ends_at_us",
        },
    ),
)

ACTIONS = (
    Shape("send", Send, _same("id", "endpoint", "timeout_us")),
    Shape("cancel", CancelAttempt, _same("id", "attempt")),
    Shape("refuse", Shed, _same("id", "retry_after_us")),
    Shape("fail", Fail, _same("id")),
    Shape("set_timer", SetTimer, _same("token", "delay_us")),
    Shape("probe", Probe, _same("endpoint")),
    Shape("close_connections", CloseIdleConnections, _same("endpoint")),
    Shape("subscribe", PollEndpointList, _same("on")),
    Shape("log", LogLine, _same("line"), {"line": (_recorded_log_line, _present_log_line)}),
)

LEARNED_RATE = next(shape for shape in EVENTS if shape.name == "learned_rate")
ALLOWANCE = Shape(
    "allowance",
    RouteAllowance,
    {
        "destination": "destination",
        "route": "route",
        "endpoints": "endpoints",
        "rate": "rate",
        "silent_until": "retry_after_until",
    },
)

OUTCOMES = {member.value for member in Outcome}
LIST_KINDS = {member.value for member in ListUpdateKind}
STATUSES = {member.value for member in EndpointStatus}
EFFECTS = {member.value for member in Idempotency}

SHAPES = {shape.name: shape for shape in (*EVENTS, *ACTIONS)}
_BY_TYPE = {shape.type: shape for shape in (*EVENTS, *ACTIONS)}


def pack(item: Any) -> list[Any]:
    """Return an event or an action as recorded: its stable name, then its values."""
    shape = _BY_TYPE[type(item)]
    return [shape.name, *shape.pack(item)]


def unpack(row: list[Any]) -> Any:
    """Return a recorded event or action as an item of the code's class."""
    return SHAPES[row[0]].unpack(row[1:])


def make_engine(settings: Any, seed: int) -> Engine:
    """Return the engine under test."""
    return Engine(settings, seed)


def handle(engine: Engine, now_us: int, events: list[Any]) -> list[Any]:
    """Run one step of the engine with the events, and return its actions."""
    return engine.handle(now_us, events)


def learned_rates(engine: Engine) -> list[list[Any]]:
    """Return the learned rates of the routes, as recorded."""
    return [LEARNED_RATE.pack(row) for row in engine.learned_rates()]


def allowances(engine: Engine, among: list[int] | None) -> list[list[Any]]:
    """Return the allowances of the routes of some destinations, or of all, as recorded."""
    return [ALLOWANCE.pack(row) for row in engine.allowances(None if among is None else set(among))]


def settings_from(config: Any) -> list[Any]:
    """Return the settings that the reader reads from the settings object of the wire, as recorded."""
    return SETTINGS.pack(read_settings(config))
