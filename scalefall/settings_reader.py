"""The platform's settings object as the module's Settings: read once, by the adapter and by the node alike."""

from __future__ import annotations

from typing import Any

from scalefall import interface as i


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


def read_settings(config: Any) -> i.Settings:
    """The wire's settings object as Settings; unknown keys are ignored."""
    top = _Reader(config)
    caps, family, rules, report = (top.part(k) for k in ("caps", "familyInfo", "guarantees", "report"))
    classes = {}
    for row in top.parts("grades"):
        effect = i.Effect(row.word("effect", tuple(e.value for e in i.Effect)))
        scope = row.get("keyScope") if effect is i.Effect.KEYED else "all"
        classes[row.get("name")] = i.MessageClass(
            name=row.get("name"),
            aim_us=row.time("aim", 0.001),
            deadline_us=row.time("deadline", 0.001),
            worth=row.number("worth"),
            late_worth=row.number("lateWorth"),
            effect=effect,
            key_scope_zone=scope != "all",
            key_ttl_us=row.time("keyTtl") if effect is i.Effect.KEYED else 0,
            in_order=bool(row.table.get("fifoByKey")),
        )
    kinds, zones = top.rows("shapes"), top.rows("areas")
    for key, names in (("perCall", kinds), ("kindApart", kinds), ("zoneFee", zones)):
        if len(family.rows(key)) < len(names):
            raise ValueError(f"settings: familyInfo.{key} must have a value for each of {len(names)} names")
    return i.Settings(
        index=int(top.number("index")),
        siblings=int(top.number("siblings", 1)),
        classes=classes,
        tenants={t.get("name"): i.Tenant(t.get("name"), t.number("quotaPerS")) for t in top.parts("tenants")},
        over_share_worth=top.number("overShareWorth"),
        slots=int(family.number("workers", 1)),
        per_call=dict(zip(kinds, map(int, family.rows("perCall")))),
        apart=dict(zip(kinds, family.rows("kindApart"))),
        zone_fee=dict(zip(zones, family.rows("zoneFee"))),
        halving=family.word("late", ("line", "linear", "halving")) == "halving",
        max_attempts=int(caps.number("maxAttempts", 1)),
        max_held=int(caps.number("maxOpen", 1)),
        cancelling=caps.flag("cancelling"),
        probes=caps.flag("probes"),
        retry_after=caps.flag("retryAfter"),
        max_retry_after_us=caps.time("maxRetryAfter"),
        idle_close_us=caps.time("idleClose"),
        dial_timeout_us=caps.time("dialTimeout"),
        streams=int(caps.number("maxStreams", 1)),
        ask=top.word("registryMode", ("push", "ask")) == "ask",
        ask_within_us=rules.time("askWithin"),
        weights=top.word("weights", ("none", "nominal", "rough", "live")),
        report_fields=report.rows("fields"),
        answer_slack_us=rules.time("answerSlack"),
        cold_from=rules.number("coldFrom"),
        cold_us=rules.time("cold"),
        drain_grace_us=rules.time("drainGrace"),
        fall_us=rules.time("fall"),
        fall_multiple=rules.number("fallMultiple"),
        turn_gap_us=us(rules.table.get("turnGap")),
        tick_us=top.time("tick"),
        answers_report=report.table.get("how") == "answers",
    )
