"""What an edit changes: two Sites compared by meaning, told in plain sentences, worst first. No I/O.

The comparison is total: every leaf in which the two meanings differ has a sentence, but for a route's value that
changes with its policy, which has one there.
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

DANGEROUS, NOTABLE, PLAIN = "dangerous", "notable", "plain"
LEVELS = (DANGEROUS, NOTABLE, PLAIN)
MAX_SAFE_FACTOR = 2  # times that a limit may be raised without danger
WRONG_UNIT_FACTOR = 50  # times that any time may change before a wrong unit is more likely
EFFECT_ORDER = ("never", "keyed", "freely")
Table = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Change:
    level: str
    code: str
    text: str
    subject: str  # what it is about: "policy careful"
    word: str = ""
    old: str = ""
    new: str = ""
    place: Place | None = None


def compare(old: Site, new: Site) -> list[Change]:
    """All changes, worst first."""
    found = list(_Compare(old, new).changes())
    return sorted(found, key=lambda change: (LEVELS.index(change.level), change.subject, change.word, change.text))


def as_text(changes: list[Change], paint: Callable[[str, str], str] = lambda text, _what: text) -> str:
    rows = []
    for change in changes:
        mark = {DANGEROUS: "DANGEROUS ", NOTABLE: "notable   ", PLAIN: "          "}[change.level]
        place = f"  ({change.place.file}:{change.place.line})" if change.place else ""
        rows.append(paint(mark, change.level) + change.text + paint(place, "place"))
    numbers = [f"{sum(change.level == level for change in changes)} {level}" for level in LEVELS]
    return "\n".join([*rows, ", ".join(numbers) if changes else "no change of meaning"]) + "\n"


def as_json(changes: list[Change]) -> str:
    """One object: version, same, dangerous, and the changes with old and new in the language's own words."""
    rows = [
        {
            "level": c.level,
            "code": c.code,
            "text": c.text,
            "subject": c.subject,
            "word": c.word,
            "old": c.old,
            "new": c.new,
            "place": c.place._asdict() if c.place else None,
        }
        for c in changes
    ]
    return (
        json.dumps(
            {"version": 1, "same": not rows, "dangerous": any(c.level == DANGEROUS for c in changes), "changes": rows},
            indent=1,
        )
        + "\n"
    )


class _Compare:
    def __init__(self, old: Site, new: Site) -> None:
        self._old, self._new = old, new
        self._was, self._is = old.meaning(), new.meaning()
        self._grace = units.format_duration_spaced(self._is["rules"]["drain-grace"])
        self._homes = {
            row["address"]: (pool, name)
            for pool, table in self._is["pool"].items()
            for name, row in table["endpoints"].items()
        }

    def changes(self) -> Iterator[Change]:
        for block in ("sender", "rules"):
            yield from self._values(block, block, self._was[block], self._is[block], block)
        for block in ("class", "kind", "zone", "tenant", "policy"):
            yield from self._named(block)
        yield from self._pools()
        yield from self._routes()

    # -- definitions with a name

    def _named(self, block: str) -> Iterator[Change]:
        was, now = self._was[block], self._is[block]
        for name in was.keys() - now.keys():
            after = ": its messages are turned away" if block == "class" else ""
            yield self._change(
                NOTABLE if block == "class" else PLAIN, "gone", f"{block} {name} disappears{after}", block, name, False
            )
        for name in now.keys() - was.keys():
            yield self._change(PLAIN, "new", f"{block} {name} appears", block, name)
        for name in was.keys() & now.keys():
            yield from self._values(block, name, was[name], now[name], f"{block} {name}")

    def _values(self, block: str, name: str, was: Table, now: Table, subject: str) -> Iterator[Change]:
        for word in BLOCKS[block]:
            if word in was and was[word] != now[word]:
                yield self._value(block, name, word, was[word], now[word], subject)

    def _value(self, block: str, name: str, word: str, old: Any, new: Any, subject: str) -> Change:
        setting = BLOCKS[block][word]
        level, code, how = _judge(block, word, old, new)
        title = f"{word} {setting.lead}".strip()
        told = f"{title} of {name}: {_say(block, word, old)} -> {_say(block, word, new)}" + (f", {how}" if how else "")
        if block == "policy" and (routes := self._routes_of(name)):
            told += f" (route {join_words(routes)})"
        return self._change(level, code, told, block, name, True, word, setting.show(old), setting.show(new), subject)

    def _routes_of(self, policy: str) -> list[str]:
        return sorted((name for name, row in self._is["route"].items() if row["policy"] == policy), key=int)

    # -- pools and endpoints

    def _pools(self) -> Iterator[Change]:
        was, now = self._was["pool"], self._is["pool"]
        for name in sorted(was.keys() - now.keys()):
            yield self._change(
                NOTABLE,
                "gone",
                f"pool {name} disappears, and with it "
                f"{_number(was[name]['endpoints'])}: no fresh work {self._grace} after it is applied",
                "pool",
                name,
                False,
            )
            for each, row in was[name]["endpoints"].items():
                if row["address"] in self._homes:
                    yield self._gone(name, each, row)
        for name in sorted(now.keys() - was.keys()):
            yield self._change(
                PLAIN, "new", f"pool {name} appears with {_number(now[name]['endpoints'])}", "pool", name
            )
        for name in sorted(was.keys() & now.keys()):
            yield from self._values("pool", name, was[name], now[name], f"pool {name}")
            yield from self._endpoints(name, was[name]["endpoints"], now[name]["endpoints"])

    def _endpoints(self, pool: str, was: Table, now: Table) -> Iterator[Change]:
        for name in was.keys() - now.keys():
            yield self._gone(pool, name, was[name])
        for name in now.keys() - was.keys():
            yield self._change(
                PLAIN,
                "endpoint-new",
                f"endpoint {name} of {pool} appears at {now[name]['address']}",
                "endpoint",
                name,
                pool=pool,
            )
        for name in was.keys() & now.keys():
            if was[name] != now[name]:
                yield from self._endpoint(pool, name, was[name], now[name])
        if _ready(was) and not _ready(now):
            yield self._change(
                DANGEROUS, "empty", f"pool {pool} has no endpoint left that may have fresh work", "pool", pool
            )

    def _gone(self, pool: str, name: str, row: Table) -> Change:
        home, new_name = self._homes.get(row["address"], ("", ""))
        if home and home != pool:
            text = f"endpoint {name} of {pool} ({row['address']}) changes to pool {home}, as {new_name}"
        elif home:
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

    def _endpoint(self, pool: str, name: str, was: Table, now: Table) -> Iterator[Change]:
        subject = f"endpoint {name} of {pool}"
        if was["address"] != now["address"]:
            yield self._change(
                NOTABLE,
                "endpoint-moved",
                f"{subject} moves from {was['address']} to {now['address']}: "
                f"the old address gets no fresh work {self._grace} after it is applied",
                "endpoint",
                name,
                pool=pool,
            )
        if was["state"] != now["state"]:
            told = (
                f"drains: no fresh work {self._grace} after it is applied"
                if now["state"] == "draining"
                else "is ready again"
            )
            yield self._change(NOTABLE, "endpoint-state", f"{subject} {told}", "endpoint", name, pool=pool)
        for word in ("zone", "weight"):
            if was[word] != now[word]:
                show = BLOCKS["endpoint"][word].show
                yield self._change(
                    PLAIN,
                    "value",
                    f"{word} of {subject}: {show(was[word])} -> {show(now[word])}",
                    "endpoint",
                    name,
                    pool=pool,
                )

    # -- routes

    def _routes(self) -> Iterator[Change]:
        was, now = self._was["route"], self._is["route"]
        for name in sorted(was.keys() - now.keys(), key=int):
            yield self._change(
                DANGEROUS, "gone", f"route {name} disappears: its messages are turned away", "route", name, False
            )
        for name in sorted(now.keys() - was.keys(), key=int):
            yield self._change(PLAIN, "new", f"route {name} appears, to pool {now[name]['pool']}", "route", name)
            if not self._served(self._is, name):
                yield self._change(NOTABLE, "empty", f"route {name} has no endpoint", "route", name)
        for name in sorted(was.keys() & now.keys(), key=int):
            yield from self._route(name, was[name], now[name])

    def _route(self, name: str, was: Table, now: Table) -> Iterator[Change]:
        subject = f"route {name}"
        if was["pool"] != now["pool"]:
            yield self._change(
                NOTABLE,
                "pool",
                f"{subject} goes to pool {now['pool']} instead of {was['pool']}",
                "route",
                name,
                True,
                "pool",
                was["pool"],
                now["pool"],
            )
        if self._served(self._was, name) and not self._served(self._is, name):
            yield self._change(
                DANGEROUS, "empty", f"{subject} has no endpoint left that may have fresh work", "route", name
            )
        if was["policy"] != now["policy"]:
            yield self._change(
                PLAIN,
                "policy",
                f"{subject} follows policy {now['policy']} instead of {was['policy']}",
                "route",
                name,
                True,
                "policy",
                was["policy"],
                now["policy"],
            )
        for cls in sorted(set(was["classes"]) - set(now["classes"])):
            yield self._change(NOTABLE, "classes", f"{subject} carries {cls} no more", "route", name, True, "classes")
        for cls in sorted(set(now["classes"]) - set(was["classes"])):
            yield self._change(PLAIN, "classes", f"{subject} carries {cls} now", "route", name, True, "classes")
        for setting in POLICY:
            old, new = was[setting.word], now[setting.word]
            if old != new and not self._by_policy(was, now, setting.word):
                yield self._value("route", name, setting.word, old, new, subject)

    def _by_policy(self, was: Table, now: Table, word: str) -> bool:
        """Whether the policy's own sentence tells this change."""
        old, new = self._was["policy"], self._is["policy"]
        return (
            was["policy"] == now["policy"]
            and was["policy"] in old
            and was["policy"] in new
            and (old[was["policy"]][word], new[now["policy"]][word]) == (was[word], now[word])
        )

    @staticmethod
    def _served(meaning: Table, route: str) -> bool:
        return _ready(meaning["pool"].get(meaning["route"][route]["pool"], {}).get("endpoints", {}))

    def _change(
        self,
        level: str,
        code: str,
        text: str,
        block: str,
        name: str,
        there: bool = True,
        word: str = "",
        old: str = "",
        new: str = "",
        subject: str = "",
        pool: str = "",
    ) -> Change:
        site = self._new if there else self._old
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


def _judge(block: str, word: str, old: Any, new: Any) -> tuple[str, str, str]:
    """How bad a changed value is, its code, and by how much it changed."""
    setting = BLOCKS[block][word]
    if word == "repeat":
        return (
            (DANGEROUS, "repeat-widened", "wider: more messages may take effect twice")
            if _wider(old, new)
            else (NOTABLE, "repeat-narrowed", "narrower")
        )
    if setting.kind is RATE:
        return _judge_rate(word, old, new)
    if word == "dial-within":
        return NOTABLE, "value", ""
    if old is None or new is None or not isinstance(old, (int, Decimal)) or isinstance(old, bool):
        return PLAIN, "value", ""
    times = _times(Decimal(old), Decimal(new))
    if setting.kind is DURATION:
        far = times >= WRONG_UNIT_FACTOR
        how = "" if not times else f"{_round(times)} times {'shorter' if new < old else 'longer'}"
        return (DANGEROUS, "unit", f"{how}: a wrong unit?") if far else (PLAIN, "value", how)
    words = (
        ("smaller", "larger")
        if setting.kind.name == "a size"
        else ("fewer", "more")
        if isinstance(old, int)
        else ("less", "more")
    )
    return PLAIN, "value", f"{_round(times)} times {words[new > old]}" if times >= MAX_SAFE_FACTOR else ""


def _judge_rate(word: str, old: Any, new: Any) -> tuple[str, str, str]:
    if new is None:
        return DANGEROUS, "limit-raised", "nothing holds the sending back any more" if word == "limit" else ""
    if old is None:
        return NOTABLE, "limit-lowered", ""
    times = _times(old.per_second, new.per_second)
    if new.per_second > old.per_second:
        return (DANGEROUS if times > MAX_SAFE_FACTOR else NOTABLE), "limit-raised", f"{_round(times)} times higher"
    return NOTABLE, "limit-lowered", f"{_round(times)} times lower" if times > 1 else "the same in other words"


def _wider(old: Repeat, new: Repeat) -> bool:
    if old.effect != new.effect:
        return EFFECT_ORDER.index(new.effect) > EFFECT_ORDER.index(old.effect)
    return new.ttl_us > old.ttl_us or (old.in_zone and not new.in_zone)


def _times(old: Decimal, new: Decimal) -> Decimal:
    """How many times the larger is the smaller; endless from or to nothing counts as MOST_TIMES."""
    small, large = sorted((old, new))
    return large / small if small else Decimal(WRONG_UNIT_FACTOR if large else 0)


def _round(times: Decimal) -> str:
    return units.format_decimal(times.quantize(Decimal("0.01")) if times < 10 else times.quantize(Decimal(1)))


def _say(block: str, word: str, value: Any) -> str:
    setting = BLOCKS[block][word]
    if value is None:
        return setting.show(None)
    return units.format_duration_spaced(value) if setting.kind is DURATION else setting.kind.show(value)


def _number(endpoints: Table) -> str:
    return f"{len(endpoints)} endpoint" + ("" if len(endpoints) == 1 else "s")


def _ready(endpoints: Table) -> bool:
    return any(row["state"] == "ready" for row in endpoints.values())
