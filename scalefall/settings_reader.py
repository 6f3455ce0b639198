"""The platform's settings object, read once: by the simulator's adapter and by the sender alike."""

from __future__ import annotations

from typing import Any

from scalefall.errors import ConfigurationError
from scalefall.policy.settings import Idempotency, MessageClass, Settings, Tenant


class SettingsError(ConfigurationError, ValueError):
    """The settings object cannot be used; the text starts with "settings:" and names the key."""

    def __init__(self, text: str) -> None:
        """Put the prefix by which readers of the text know where it comes from."""
        super().__init__(f"settings: {text}")


def us(milliseconds: float | None) -> int:
    """Return a wire time as whole microseconds; an absent one is 0."""
    return round((milliseconds or 0) * 1000)


def ms(microseconds: int) -> float:
    """Return a time in microseconds as the wire's milliseconds."""
    return microseconds / 1000


class _Reader:
    """Takes values out of one object of the settings; a SettingsError names what is missing or impossible."""

    def __init__(self, table: Any, path: str = "") -> None:
        if not isinstance(table, dict):
            raise SettingsError(f"{path or 'config'} must be an object")
        self.table: dict[str, Any] = table
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> Any:
        """Return a value that has to be there."""
        if key not in self.table or self.table[key] is None:
            raise SettingsError(f"{self._name(key)} is missing")
        return self.table[key]

    def number(self, key: str, minimum: float = 0) -> float:
        """Return a finite number."""
        value = self.get(key)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value < float("inf"):
            raise SettingsError(f"{self._name(key)} must be a number of at least {minimum:g}, not {value!r}")
        return value  # type: ignore[no-any-return]

    def time_us(self, key: str, minimum_ms: float = 0) -> int:
        """Return a time of the wire in microseconds."""
        return us(self.number(key, minimum_ms))

    def flag(self, key: str) -> bool:
        """Return true or false."""
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

    def object(self, key: str) -> _Reader:
        """Return the reader of an object inside this one."""
        return _Reader(self.get(key), self._name(key))

    def objects(self, key: str) -> list[_Reader]:
        """Return the readers of a list of objects."""
        return [_Reader(row, f"{self._name(key)}[{index}]") for index, row in enumerate(self.values(key))]

    def word(self, key: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed words."""
        value = self.get(key)
        if value not in allowed:
            raise SettingsError(f"{self._name(key)} must be one of {', '.join(allowed)}, not {value!r}")
        return value  # type: ignore[no-any-return]


def _read_class(row: _Reader) -> MessageClass:
    idempotency = Idempotency(row.word("effect", tuple(each.value for each in Idempotency)))
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


def _check_lengths(family: _Reader, names_by_key: dict[str, list[Any]]) -> None:
    """Check that each list has a value for each name that it is read by."""
    for key, names in names_by_key.items():
        if len(family.values(key)) < len(names):
            raise SettingsError(f"familyInfo.{key} must have a value for each of {len(names)} names")


def read_settings(config: Any) -> Settings:
    """Return the platform's settings object as Settings; unknown keys are ignored.

    Raises:
        SettingsError: a value is missing or impossible.
    """
    top = _Reader(config)
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
        halves_after_objective=family.word("late", ("line", "linear", "halving")) == "halving",
        max_attempts=int(caps.number("maxAttempts", 1)),
        max_queued=int(caps.number("maxOpen", 1)),
        cancelling=caps.flag("cancelling"),
        probes=caps.flag("probes"),
        retry_after=caps.flag("retryAfter"),
        max_retry_after_us=caps.time_us("maxRetryAfter"),
        idle_close_us=caps.time_us("idleClose"),
        dial_timeout_us=caps.time_us("dialTimeout"),
        streams=int(caps.number("maxStreams", 1)),
        polls_endpoint_list=top.word("registryMode", ("push", "ask")) == "ask",
        poll_within_us=rules.time_us("askWithin"),
        weights=top.word("weights", ("none", "nominal", "rough", "live")),
        report_fields=report.values("fields"),
        answer_slack_us=rules.time_us("answerSlack"),
        slow_start_from=rules.number("coldFrom"),
        slow_start_us=rules.time_us("cold"),
        drain_grace_us=rules.time_us("drainGrace"),
        overload_window_us=rules.time_us("fall"),
        overload_multiple=rules.number("fallMultiple"),
        ordering_gap_us=us(rules.table.get("turnGap")),
        tick_us=top.time_us("tick"),
        answers_carry_report=report.table.get("how") == "answers",
    )
