"""Stable names of the recorded plays, and what they are called in the code now.

The recordings under ``data`` hold only the names and the order of fields that stand on the left here. A renaming
in the code changes the right-hand sides of this module and nothing else of the characterization tests.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Callable

from scalefall import interface
from scalefall.policy.engine import Sender
from scalefall.settings_reader import read_settings

SettingsError = ValueError  # what read_settings raises


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
        """Return recorded values by stable name, to be read by a person."""
        return dict(zip(self.fields, values))


def _same(*names: str) -> dict[str, str]:
    """Fields that are called in the code as in the recordings."""
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
    lambda table: {str(number): most for number, most in table.items()},
    lambda table: {int(number): most for number, most in table.items()},
)

MESSAGE_CLASS = Shape(
    "message_class",
    interface.MessageClass,
    {
        "name": "name",
        "aim_us": "aim_us",
        "deadline_us": "deadline_us",
        "worth": "worth",
        "late_worth": "late_worth",
        "effect": "effect",
        "key_scope_zone": "key_scope_zone",
        "key_ttl_us": "key_ttl_us",
        "in_order": "in_order",
    },
    {"effect": _enum(interface.Effect)},
)
TENANT = Shape("tenant", interface.Tenant, {"name": "name", "quota_per_s": "quota_per_s"})
ENDPOINT = Shape(
    "endpoint",
    interface.Endpoint,
    _same("id", "zone", "kind", "destination", "status", "weight", "most_calls"),
    {"status": _enum(interface.Status)},
)
SETTINGS = Shape(
    "settings",
    interface.Settings,
    _same(
        "index",
        "siblings",
        "classes",
        "tenants",
        "over_share_worth",
        "slots",
        "per_call",
        "apart",
        "zone_fee",
        "halving",
        "max_attempts",
        "max_held",
        "cancelling",
        "probes",
        "retry_after",
        "max_retry_after_us",
        "idle_close_us",
        "dial_timeout_us",
        "streams",
        "ask",
        "ask_within_us",
        "weights",
        "report_fields",
        "answer_slack_us",
        "cold_from",
        "cold_us",
        "drain_grace_us",
        "fall_us",
        "fall_multiple",
        "turn_gap_us",
        "tick_us",
        "attempts",
        "answers_report",
    ),
    {"classes": _by_name(MESSAGE_CLASS), "tenants": _by_name(TENANT), "attempts": _ATTEMPTS_BY_DESTINATION},
)

_OUTCOME = {"outcome": _enum(interface.Outcome)}

EVENTS = (
    Shape(
        "message",
        interface.Message,
        {
            "id": "id",
            "destination": "destination",
            "class_name": "class_name",
            "due_us": "due_us",
            "tenant": "tenant",
            "key": "key",
            "attempts": "attempts",
            "ran_us": "ran_us",
            "ran_zone": "ran_zone",
            "restored": "restored",
            "class_override": "cls",
        },
        {"class_override": _or_none(MESSAGE_CLASS)},
    ),
    Shape("withdrawn", interface.Dropped, _same("id")),
    Shape(
        "attempt_finished",
        interface.Attempted,
        _same("id", "attempt", "endpoint", "outcome", "latency_us", "finished", "wait_us", "report"),
        _OUTCOME,
    ),
    Shape(
        "foreign_call_finished",
        interface.Reported,
        _same("endpoint", "sent_us", "outcome", "wait_us", "report"),
        _OUTCOME,
    ),
    Shape(
        "probe_finished",
        interface.Probed,
        _same("endpoint", "outcome", "latency_us", "wait_us", "report"),
        _OUTCOME,
    ),
    Shape("timer_fired", interface.Timer, _same("token")),
    Shape(
        "endpoints_listed",
        interface.Listed,
        _same("kind", "endpoints"),
        {"kind": _enum(interface.ListKind), "endpoints": _list_of(ENDPOINT)},
    ),
    Shape(
        "learned_rate",
        interface.Known,
        {"destination": "destination", "route": "route", "rate": "part", "limit": "limit"},
    ),
    Shape("shutdown", interface.Closing, _same("until_us")),
)

ACTIONS = (
    Shape("send", interface.Send, _same("id", "endpoint", "timeout_us")),
    Shape("cancel", interface.Cancel, _same("id", "attempt")),
    Shape("refuse", interface.Refuse, _same("id", "retry_after_us")),
    Shape("fail", interface.Fail, _same("id")),
    Shape("set_timer", interface.SetTimer, _same("token", "delay_us")),
    Shape("probe", interface.Probe, _same("endpoint")),
    Shape("close_connections", interface.Close, _same("endpoint")),
    Shape("subscribe", interface.Subscribe, _same("on")),
    Shape("log", interface.Log, _same("line")),
)

LEARNED_RATE = next(shape for shape in EVENTS if shape.name == "learned_rate")
ALLOWANCE = Shape(
    "allowance",
    interface.Allowed,
    _same("destination", "route", "endpoints", "rate", "silent_until"),
)

OUTCOMES = {member.value for member in interface.Outcome}
LIST_KINDS = {member.value for member in interface.ListKind}
STATUSES = {member.value for member in interface.Status}
EFFECTS = {member.value for member in interface.Effect}

SHAPES = {shape.name: shape for shape in (*EVENTS, *ACTIONS)}
_BY_TYPE = {shape.type: shape for shape in (*EVENTS, *ACTIONS)}


def pack(item: Any) -> list[Any]:
    """Return an event or an action as recorded: its stable name, then its values."""
    shape = _BY_TYPE[type(item)]
    return [shape.name, *shape.pack(item)]


def unpack(row: list[Any]) -> Any:
    """Return a recorded event or action as an item of the code's class."""
    return SHAPES[row[0]].unpack(row[1:])


def make_sender(settings: Any, seed: int) -> Sender:
    """Return the decision module under test."""
    return Sender(settings, seed)


def handle(sender: Sender, now_us: int, events: list[Any]) -> list[Any]:
    """Hand the events of one step to the sender and return its actions."""
    return sender.handle(now_us, events)


def learned_rates(sender: Sender) -> list[list[Any]]:
    """Return what a later process should know of the routes, as recorded."""
    return [LEARNED_RATE.pack(row) for row in sender.known()]


def allowances(sender: Sender, among: list[int] | None) -> list[list[Any]]:
    """Return what all proxies may send on the routes of some destinations, or of all, as recorded."""
    return [ALLOWANCE.pack(row) for row in sender.allowances(None if among is None else set(among))]


def settings_from(config: Any) -> list[Any]:
    """Return the settings object of the wire as the reader takes it, as recorded."""
    return SETTINGS.pack(read_settings(config))
