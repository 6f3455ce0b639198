"""Reader of the platform's settings object, shared by the simulator's adapter and the sender."""

from __future__ import annotations

from typing import Any

from scalefall.errors import ConfigurationError
from scalefall.policy.settings import Idempotency, MessageClass, Settings, Tenant


class SettingsError(ConfigurationError, ValueError):
    """The settings object is invalid; the text starts with "settings:" and names the key."""

    def __init__(self, text: str) -> None:
        """Prefix the text with its source."""
        super().__init__(f"settings: {text}")


def to_microseconds(milliseconds: float | None) -> int:
    """Return a time of the wire, in milliseconds, as whole microseconds; None is 0."""
    return round((milliseconds or 0) * 1000)


def to_milliseconds(microseconds: int) -> float:
    """Return a time in microseconds as milliseconds, the unit of the wire."""
    return microseconds / 1000


class _ObjectReader:
    """Reads typed values from one object of the settings; a SettingsError names a missing or invalid key."""

    def __init__(self, table: Any, path: str = "") -> None:
        if not isinstance(table, dict):
            raise SettingsError(f"{path or 'config'} must be an object")
        self.table: dict[str, Any] = table
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> Any:
        """Return a required value."""
        if key not in self.table or self.table[key] is None:
            raise SettingsError(f"{self._name(key)} is missing")
        return self.table[key]

    def number(self, key: str, minimum: float = 0) -> float:
        """Return a finite number that is at least the minimum."""
        value = self.get(key)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value < float("inf"):
            raise SettingsError(f"{self._name(key)} must be a number of at least {minimum:g}, not {value!r}")
        return value  # type: ignore[no-any-return]

    def time_us(self, key: str, minimum_ms: float = 0) -> int:
        """Return a time, in milliseconds on the wire, as whole microseconds."""
        return to_microseconds(self.number(key, minimum_ms))

    def flag(self, key: str) -> bool:
        """Return a boolean."""
        value = self.get(key)
        if not isinstance(value, bool):
            raise SettingsError(f"{self._name(key)} must be true or false, not {value!r}")
        return value

    def values(self, key: str) -> list[Any]:
        """Return a list."""
        value = self.get(key)
        if not isinstance(value, list):
            raise SettingsError(f"{self._name(key)} must be a list, not {value!r}")
        return value

    def object(self, key: str) -> _ObjectReader:
        """Return a reader of a nested object."""
        return _ObjectReader(self.get(key), self._name(key))

    def objects(self, key: str) -> list[_ObjectReader]:
        """Return a reader of each object of a list."""
        return [_ObjectReader(row, f"{self._name(key)}[{index}]") for index, row in enumerate(self.values(key))]

    def choice(self, key: str, allowed: tuple[str, ...]) -> str:
        """Return a string that is one of the allowed ones."""
        value = self.get(key)
        if value not in allowed:
            raise SettingsError(f"{self._name(key)} must be one of {', '.join(allowed)}, not {value!r}")
        return value  # type: ignore[no-any-return]


def _read_class(row: _ObjectReader) -> MessageClass:
    idempotency = Idempotency(row.choice("effect", tuple(each.value for each in Idempotency)))
    has_key = idempotency is Idempotency.WITH_KEY
    key_scope = row.get("keyScope") if has_key else "all"
    return MessageClass(
        name=row.get("name"),
        latency_objective_us=row.time_us("aim", 0.001),
        deadline_us=row.time_us("deadline", 0.001),
        priority_weight=row.number("worth"),
        late_priority_weight=row.number("lateWorth"),
        idempotency=idempotency,
        key_scope_zone=key_scope != "all",
        key_ttl_us=row.time_us("keyTtl") if has_key else 0,
        ordered=bool(row.table.get("fifoByKey")),
    )


def _check_lengths(family: _ObjectReader, names_by_key: dict[str, list[Any]]) -> None:
    """Check that each list of `familyInfo` has a value for each of the names that index it."""
    for key, names in names_by_key.items():
        if len(family.values(key)) < len(names):
            raise SettingsError(f"familyInfo.{key} must have a value for each of {len(names)} names")


def read_settings(config: Any) -> Settings:
    """Return Settings from the platform's settings object; unknown keys are ignored.

    Raises:
        SettingsError: A value is missing or invalid.
    """
    top = _ObjectReader(config)
    caps, family = top.object("caps"), top.object("familyInfo")
    rules, report = top.object("guarantees"), top.object("report")
    classes = [_read_class(row) for row in top.objects("grades")]
    kinds, zones = top.values("shapes"), top.values("areas")
    _check_lengths(family, {"perCall": kinds, "kindApart": kinds, "zoneFee": zones})
    return Settings(
        replica_index=int(top.number("index")),
        replica_count=int(top.number("siblings", 1)),
        classes={each.name: each for each in classes},
        tenants={row.get("name"): Tenant(row.get("name"), row.number("quotaPerS")) for row in top.objects("tenants")},
        over_quota_priority_weight=top.number("overShareWorth"),
        call_slots=int(family.number("workers", 1)),
        messages_per_call=dict(zip(kinds, map(int, family.values("perCall")), strict=False)),
        route_per_endpoint=dict(zip(kinds, family.values("kindApart"), strict=False)),
        zone_cost=dict(zip(zones, family.values("zoneFee"), strict=False)),
        halves_after_objective=family.choice("late", ("line", "linear", "halving")) == "halving",
        max_attempts=int(caps.number("maxAttempts", 1)),
        max_queued=int(caps.number("maxOpen", 1)),
        cancelling=caps.flag("cancelling"),
        probes=caps.flag("probes"),
        retry_after=caps.flag("retryAfter"),
        max_retry_after_us=caps.time_us("maxRetryAfter"),
        idle_close_us=caps.time_us("idleClose"),
        dial_timeout_us=caps.time_us("dialTimeout"),
        streams=int(caps.number("maxStreams", 1)),
        polls_endpoint_list=top.choice("registryMode", ("push", "ask")) == "ask",
        poll_within_us=rules.time_us("askWithin"),
        weights=top.choice("weights", ("none", "nominal", "rough", "live")),
        report_fields=report.values("fields"),
        answer_slack_us=rules.time_us("answerSlack"),
        slow_start_from=rules.number("coldFrom"),
        slow_start_us=rules.time_us("cold"),
        drain_grace_us=rules.time_us("drainGrace"),
        overload_window_us=rules.time_us("fall"),
        overload_multiple=rules.number("fallMultiple"),
        ordering_gap_us=to_microseconds(rules.table.get("turnGap")),
        tick_us=top.time_us("tick"),
        answers_carry_report=report.table.get("how") == "answers",
    )
