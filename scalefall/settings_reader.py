"""The platform's settings object as the module's Settings: read once, by the adapter and by the node alike."""

from __future__ import annotations

from typing import Any

from scalefall.policy.settings import Idempotency, MessageClass, Settings, Tenant


def us(milliseconds: float | None) -> int:
    """A wire time as whole microseconds; an absent one is 0."""
    return round((milliseconds or 0) * 1000)


def ms(microseconds: int) -> float:
    return microseconds / 1000


class _Reader:
    """Takes figures out of the settings object; what is missing or impossible is named."""

    def __init__(self, table: Any, path: str = "") -> None:
        if not isinstance(table, dict):
            raise ValueError(f"settings: {path or 'config'} must be an object")
        self.table, self.path = table, path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> Any:
        if key not in self.table or self.table[key] is None:
            raise ValueError(f"settings: {self._name(key)} is missing")
        return self.table[key]

    def number(self, key: str, least: float = 0) -> float:
        value = self.get(key)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < float("inf"):
            raise ValueError(f"settings: {self._name(key)} must be a number of at least {least:g}, not {value!r}")
        return value

    def time(self, key: str, least: float = 0) -> int:
        return us(self.number(key, least))

    def flag(self, key: str) -> bool:
        value = self.get(key)
        if not isinstance(value, bool):
            raise ValueError(f"settings: {self._name(key)} must be true or false, not {value!r}")
        return value

    def rows(self, key: str) -> list[Any]:
        value = self.get(key)
        if not isinstance(value, list):
            raise ValueError(f"settings: {self._name(key)} must be a list, not {value!r}")
        return value

    def part(self, key: str) -> _Reader:
        return _Reader(self.get(key), self._name(key))

    def parts(self, key: str) -> list[_Reader]:
        return [_Reader(row, f"{self._name(key)}[{n}]") for n, row in enumerate(self.rows(key))]

    def word(self, key: str, allowed: tuple[str, ...]) -> str:
        value = self.get(key)
        if value not in allowed:
            raise ValueError(f"settings: {self._name(key)} must be one of {', '.join(allowed)}, not {value!r}")
        return value


def read_settings(config: Any) -> Settings:
    """The wire's settings object as Settings; unknown keys are ignored."""
    top = _Reader(config)
    caps, family, rules, report = (top.part(k) for k in ("caps", "familyInfo", "guarantees", "report"))
    classes = {}
    for row in top.parts("grades"):
        effect = Idempotency(row.word("effect", tuple(e.value for e in Idempotency)))
        scope = row.get("keyScope") if effect is Idempotency.WITH_KEY else "all"
        classes[row.get("name")] = MessageClass(
            name=row.get("name"),
            latency_objective_us=row.time("aim", 0.001),
            deadline_us=row.time("deadline", 0.001),
            priority_weight=row.number("worth"),
            late_priority_weight=row.number("lateWorth"),
            idempotency=effect,
            key_scope_zone=scope != "all",
            key_ttl_us=row.time("keyTtl") if effect is Idempotency.WITH_KEY else 0,
            ordered=bool(row.table.get("fifoByKey")),
        )
    kinds, zones = top.rows("shapes"), top.rows("areas")
    for key, names in (("perCall", kinds), ("kindApart", kinds), ("zoneFee", zones)):
        if len(family.rows(key)) < len(names):
            raise ValueError(f"settings: familyInfo.{key} must have a value for each of {len(names)} names")
    return Settings(
        replica_index=int(top.number("index")),
        replica_count=int(top.number("siblings", 1)),
        classes=classes,
        tenants={t.get("name"): Tenant(t.get("name"), t.number("quotaPerS")) for t in top.parts("tenants")},
        over_quota_priority_weight=top.number("overShareWorth"),
        call_slots=int(family.number("workers", 1)),
        messages_per_call=dict(zip(kinds, map(int, family.rows("perCall")))),
        route_per_endpoint=dict(zip(kinds, family.rows("kindApart"))),
        zone_cost=dict(zip(zones, family.rows("zoneFee"))),
        halves_after_objective=family.word("late", ("line", "linear", "halving")) == "halving",
        max_attempts=int(caps.number("maxAttempts", 1)),
        max_queued=int(caps.number("maxOpen", 1)),
        cancelling=caps.flag("cancelling"),
        probes=caps.flag("probes"),
        retry_after=caps.flag("retryAfter"),
        max_retry_after_us=caps.time("maxRetryAfter"),
        idle_close_us=caps.time("idleClose"),
        dial_timeout_us=caps.time("dialTimeout"),
        streams=int(caps.number("maxStreams", 1)),
        polls_endpoint_list=top.word("registryMode", ("push", "ask")) == "ask",
        poll_within_us=rules.time("askWithin"),
        weights=top.word("weights", ("none", "nominal", "rough", "live")),
        report_fields=report.rows("fields"),
        answer_slack_us=rules.time("answerSlack"),
        slow_start_from=rules.number("coldFrom"),
        slow_start_us=rules.time("cold"),
        drain_grace_us=rules.time("drainGrace"),
        overload_window_us=rules.time("fall"),
        overload_multiple=rules.number("fallMultiple"),
        ordering_gap_us=us(rules.table.get("turnGap")),
        tick_us=top.time("tick"),
        answers_carry_report=report.table.get("how") == "answers",
    )
