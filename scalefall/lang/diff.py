"""Compares two Sites by meaning and describes each change in a plain sentence, worst first. No I/O.

The comparison is complete: every leaf in which the two meanings differ has a sentence, except a route's value that
changes with its policy, which the policy's sentence covers.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from decimal import Decimal
from typing import Any

from scalefall.lang import units
from scalefall.lang.model import Site
from scalefall.lang.schema import BLOCKS, DURATION, POLICY, RATE, Repeat
from scalefall.lang.text import Place, join_words

DANGEROUS = "dangerous"
NOTABLE = "notable"
PLAIN = "plain"
LEVELS = (DANGEROUS, NOTABLE, PLAIN)
MAX_SAFE_FACTOR = 2  # a limit raised by a larger factor is dangerous
WRONG_UNIT_FACTOR = 50  # a duration changed by this factor probably has a wrong unit
EFFECT_ORDER = ("never", "keyed", "freely")
Table = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Change:
    """One change, with the value before and after in the language's own words."""

    level: str
    code: str
    text: str
    subject: str  # the definition that changes, such as "policy careful"
    word: str = ""
    old: str = ""
    new: str = ""
    place: Place | None = None


def compare(old: Site, new: Site) -> list[Change]:
    """Return all changes, worst first."""
    found = list(_Comparison(old, new).changes())
    return sorted(found, key=lambda change: (LEVELS.index(change.level), change.subject, change.word, change.text))


def as_text(changes: list[Change], paint: Callable[[str, str], str] = lambda text, _style: text) -> str:
    rows = []
    for change in changes:
        mark = {DANGEROUS: "DANGEROUS ", NOTABLE: "notable   ", PLAIN: "          "}[change.level]
        place = f"  ({change.place.file}:{change.place.line})" if change.place else ""
        rows.append(paint(mark, change.level) + change.text + paint(place, "place"))
    numbers = [f"{sum(change.level == level for change in changes)} {level}" for level in LEVELS]
    return "\n".join([*rows, ", ".join(numbers) if changes else "no change of meaning"]) + "\n"


def as_json(changes: list[Change]) -> str:
    """Return one object: version, same, dangerous, and the changes with old and new as the language writes them."""
    rows = [
        {
            "level": change.level,
            "code": change.code,
            "text": change.text,
            "subject": change.subject,
            "word": change.word,
            "old": change.old,
            "new": change.new,
            "place": change.place._asdict() if change.place else None,
        }
        for change in changes
    ]
    return (
        json.dumps(
            {
                "version": 1,
                "same": not rows,
                "dangerous": any(change.level == DANGEROUS for change in changes),
                "changes": rows,
            },
            indent=1,
        )
        + "\n"
    )


class _Comparison:
    def __init__(self, old: Site, new: Site) -> None:
        self._old, self._new = old, new
        self._old_meaning, self._new_meaning = old.meaning(), new.meaning()
        self._grace = units.format_duration_spaced(self._new_meaning["rules"]["drain-grace"])
        self._owners = {
            row["address"]: (pool, name)
            for pool, table in self._new_meaning["pool"].items()
            for name, row in table["endpoints"].items()
        }

    def changes(self) -> Iterator[Change]:
        for block in ("sender", "rules"):
            yield from self._changed_values(block, block, self._old_meaning[block], self._new_meaning[block], block)
        for block in ("class", "kind", "zone", "tenant", "policy"):
            yield from self._changed_definitions(block)
        yield from self._changed_pools()
        yield from self._changed_routes()

    # -- named definitions

    def _changed_definitions(self, block: str) -> Iterator[Change]:
        before, after = self._old_meaning[block], self._new_meaning[block]
        for name in before.keys() - after.keys():
            consequence = ": its messages are turned away" if block == "class" else ""
            yield self._change(
                NOTABLE if block == "class" else PLAIN,
                "gone",
                f"{block} {name} disappears{consequence}",
                block,
                name,
                False,
            )
        for name in after.keys() - before.keys():
            yield self._change(PLAIN, "new", f"{block} {name} appears", block, name)
        for name in before.keys() & after.keys():
            yield from self._changed_values(block, name, before[name], after[name], f"{block} {name}")

    def _changed_values(self, block: str, name: str, before: Table, after: Table, subject: str) -> Iterator[Change]:
        for word in BLOCKS[block]:
            if word in before and before[word] != after[word]:
                yield self._changed_value(block, name, word, before[word], after[word], subject)

    def _changed_value(self, block: str, name: str, word: str, old: Any, new: Any, subject: str) -> Change:
        setting = BLOCKS[block][word]
        level, code, detail = _classify(block, word, old, new)
        title = f"{word} {setting.lead}".strip()
        text = f"{title} of {name}: {_spaced_value(block, word, old)} -> {_spaced_value(block, word, new)}" + (
            f", {detail}" if detail else ""
        )
        if block == "policy" and (routes := self._routes_of(name)):
            text += f" (route {join_words(routes)})"
        return self._change(level, code, text, block, name, True, word, setting.show(old), setting.show(new), subject)

    def _routes_of(self, policy: str) -> list[str]:
        return sorted((name for name, row in self._new_meaning["route"].items() if row["policy"] == policy), key=int)

    # -- pools and endpoints

    def _changed_pools(self) -> Iterator[Change]:
        before, after = self._old_meaning["pool"], self._new_meaning["pool"]
        for name in sorted(before.keys() - after.keys()):
            yield self._change(
                NOTABLE,
                "gone",
                f"pool {name} disappears, and with it "
                f"{_endpoint_count(before[name]['endpoints'])}: no fresh work {self._grace} after it is applied",
                "pool",
                name,
                False,
            )
            for each, row in before[name]["endpoints"].items():
                if row["address"] in self._owners:
                    yield self._removed_endpoint(name, each, row)
        for name in sorted(after.keys() - before.keys()):
            yield self._change(
                PLAIN, "new", f"pool {name} appears with {_endpoint_count(after[name]['endpoints'])}", "pool", name
            )
        for name in sorted(before.keys() & after.keys()):
            yield from self._changed_values("pool", name, before[name], after[name], f"pool {name}")
            yield from self._changed_endpoints(name, before[name]["endpoints"], after[name]["endpoints"])

    def _changed_endpoints(self, pool: str, before: Table, after: Table) -> Iterator[Change]:
        for name in before.keys() - after.keys():
            yield self._removed_endpoint(pool, name, before[name])
        for name in after.keys() - before.keys():
            yield self._change(
                PLAIN,
                "endpoint-new",
                f"endpoint {name} of {pool} appears at {after[name]['address']}",
                "endpoint",
                name,
                pool=pool,
            )
        for name in before.keys() & after.keys():
            if before[name] != after[name]:
                yield from self._changed_endpoint(pool, name, before[name], after[name])
        if _any_ready(before) and not _any_ready(after):
            yield self._change(
                DANGEROUS, "empty", f"pool {pool} has no endpoint left that may have fresh work", "pool", pool
            )

    def _removed_endpoint(self, pool: str, name: str, row: Table) -> Change:
        new_pool, new_name = self._owners.get(row["address"], ("", ""))
        if new_pool and new_pool != pool:
            text = f"endpoint {name} of {pool} ({row['address']}) changes to pool {new_pool}, as {new_name}"
        elif new_pool:
            text = f"endpoint {name} of {pool} ({row['address']}) is called {new_name} from now on"
        else:
            text = f"endpoint {name} of {pool} disappears"
        return self._change(
            NOTABLE,
            "endpoint-gone",
            f"{text}: no fresh work {self._grace} after it is applied",
            "endpoint",
            name,
            False,
            pool=pool,
        )

    def _changed_endpoint(self, pool: str, name: str, before: Table, after: Table) -> Iterator[Change]:
        subject = f"endpoint {name} of {pool}"
        if before["address"] != after["address"]:
            yield self._change(
                NOTABLE,
                "endpoint-moved",
                f"{subject} moves from {before['address']} to {after['address']}: "
                f"the old address gets no fresh work {self._grace} after it is applied",
                "endpoint",
                name,
                pool=pool,
            )
        if before["state"] != after["state"]:
            text = (
                f"drains: no fresh work {self._grace} after it is applied"
                if after["state"] == "draining"
                else "is ready again"
            )
            yield self._change(NOTABLE, "endpoint-state", f"{subject} {text}", "endpoint", name, pool=pool)
        for word in ("zone", "weight"):
            if before[word] != after[word]:
                show = BLOCKS["endpoint"][word].show
                yield self._change(
                    PLAIN,
                    "value",
                    f"{word} of {subject}: {show(before[word])} -> {show(after[word])}",
                    "endpoint",
                    name,
                    pool=pool,
                )

    # -- routes

    def _changed_routes(self) -> Iterator[Change]:
        before, after = self._old_meaning["route"], self._new_meaning["route"]
        for name in sorted(before.keys() - after.keys(), key=int):
            yield self._change(
                DANGEROUS, "gone", f"route {name} disappears: its messages are turned away", "route", name, False
            )
        for name in sorted(after.keys() - before.keys(), key=int):
            yield self._change(PLAIN, "new", f"route {name} appears, to pool {after[name]['pool']}", "route", name)
            if not self._has_ready_endpoint(self._new_meaning, name):
                yield self._change(NOTABLE, "empty", f"route {name} has no endpoint", "route", name)
        for name in sorted(before.keys() & after.keys(), key=int):
            yield from self._changed_route(name, before[name], after[name])

    def _changed_route(self, name: str, before: Table, after: Table) -> Iterator[Change]:
        subject = f"route {name}"
        if before["pool"] != after["pool"]:
            yield self._change(
                NOTABLE,
                "pool",
                f"{subject} goes to pool {after['pool']} instead of {before['pool']}",
                "route",
                name,
                True,
                "pool",
                before["pool"],
                after["pool"],
            )
        if self._has_ready_endpoint(self._old_meaning, name) and not self._has_ready_endpoint(self._new_meaning, name):
            yield self._change(
                DANGEROUS, "empty", f"{subject} has no endpoint left that may have fresh work", "route", name
            )
        if before["policy"] != after["policy"]:
            yield self._change(
                PLAIN,
                "policy",
                f"{subject} follows policy {after['policy']} instead of {before['policy']}",
                "route",
                name,
                True,
                "policy",
                before["policy"],
                after["policy"],
            )
        for cls in sorted(set(before["classes"]) - set(after["classes"])):
            yield self._change(NOTABLE, "classes", f"{subject} carries {cls} no more", "route", name, True, "classes")
        for cls in sorted(set(after["classes"]) - set(before["classes"])):
            yield self._change(PLAIN, "classes", f"{subject} carries {cls} now", "route", name, True, "classes")
        for setting in POLICY:
            old, new = before[setting.word], after[setting.word]
            if old != new and not self._covered_by_policy(before, after, setting.word):
                yield self._changed_value("route", name, setting.word, old, new, subject)

    def _covered_by_policy(self, before: Table, after: Table, word: str) -> bool:
        """Return whether the sentence about the policy covers this change."""
        old, new = self._old_meaning["policy"], self._new_meaning["policy"]
        return (
            before["policy"] == after["policy"]
            and before["policy"] in old
            and before["policy"] in new
            and (old[before["policy"]][word], new[after["policy"]][word]) == (before[word], after[word])
        )

    @staticmethod
    def _has_ready_endpoint(meaning: Table, route: str) -> bool:
        return _any_ready(meaning["pool"].get(meaning["route"][route]["pool"], {}).get("endpoints", {}))

    def _change(
        self,
        level: str,
        code: str,
        text: str,
        block: str,
        name: str,
        in_new: bool = True,
        word: str = "",
        old: str = "",
        new: str = "",
        subject: str = "",
        pool: str = "",
    ) -> Change:
        site = self._new if in_new else self._old
        if block == "endpoint":
            place = (
                next((row.place for row in site.endpoints.get(pool, ()) if row.name == name), None)
                if len(site.endpoints.get(pool, ())) <= 100
                else site.definitions("pool")[pool].place
            )
            subject = f"endpoint {pool}/{name}"
        else:
            each = getattr(site, block) if block in ("sender", "rules") else site.definitions(block).get(name)
            place = each and (each.values[word].place if word in each.values else each.place)
        return Change(level, code, text, subject or f"{block} {name}", word, old, new, place)


def _classify(block: str, word: str, old: Any, new: Any) -> tuple[str, str, str]:
    """Return the level of a changed value, its code, and by how much it changed."""
    setting = BLOCKS[block][word]
    if word == "repeat":
        return (
            (DANGEROUS, "repeat-widened", "wider: more messages may take effect twice")
            if _is_wider(old, new)
            else (NOTABLE, "repeat-narrowed", "narrower")
        )
    if setting.kind is RATE:
        return _classify_rate(word, old, new)
    if word == "dial-within":
        return NOTABLE, "value", ""
    if old is None or new is None or not isinstance(old, (int, Decimal)) or isinstance(old, bool):
        return PLAIN, "value", ""
    ratio = _ratio(Decimal(old), Decimal(new))
    if setting.kind is DURATION:
        suspicious = ratio >= WRONG_UNIT_FACTOR
        detail = "" if not ratio else f"{_rounded(ratio)} times {'shorter' if new < old else 'longer'}"
        return (DANGEROUS, "unit", f"{detail}: a wrong unit?") if suspicious else (PLAIN, "value", detail)
    words = (
        ("smaller", "larger")
        if setting.kind.name == "a size"
        else ("fewer", "more")
        if isinstance(old, int)
        else ("less", "more")
    )
    return PLAIN, "value", f"{_rounded(ratio)} times {words[new > old]}" if ratio >= MAX_SAFE_FACTOR else ""


def _classify_rate(word: str, old: Any, new: Any) -> tuple[str, str, str]:
    if new is None:
        return DANGEROUS, "limit-raised", "nothing holds the sending back any more" if word == "limit" else ""
    if old is None:
        return NOTABLE, "limit-lowered", ""
    ratio = _ratio(old.per_second, new.per_second)
    if new.per_second > old.per_second:
        return (DANGEROUS if ratio > MAX_SAFE_FACTOR else NOTABLE), "limit-raised", f"{_rounded(ratio)} times higher"
    return NOTABLE, "limit-lowered", f"{_rounded(ratio)} times lower" if ratio > 1 else "the same in other words"


def _is_wider(old: Repeat, new: Repeat) -> bool:
    if old.effect != new.effect:
        return EFFECT_ORDER.index(new.effect) > EFFECT_ORDER.index(old.effect)
    return new.ttl_us > old.ttl_us or (old.in_zone and not new.in_zone)


def _ratio(old: Decimal, new: Decimal) -> Decimal:
    """Return the ratio of the larger to the smaller value; WRONG_UNIT_FACTOR if only one of them is zero."""
    small, large = sorted((old, new))
    return large / small if small else Decimal(WRONG_UNIT_FACTOR if large else 0)


def _rounded(ratio: Decimal) -> str:
    return units.format_decimal(ratio.quantize(Decimal("0.01")) if ratio < 10 else ratio.quantize(Decimal(1)))


def _spaced_value(block: str, word: str, value: Any) -> str:
    setting = BLOCKS[block][word]
    if value is None:
        return setting.show(None)
    return units.format_duration_spaced(value) if setting.kind is DURATION else setting.kind.show(value)


def _endpoint_count(endpoints: Table) -> str:
    return f"{len(endpoints)} endpoint" + ("" if len(endpoints) == 1 else "s")


def _any_ready(endpoints: Table) -> bool:
    return any(row["state"] == "ready" for row in endpoints.values())
