"""The values in force on one route, each with the place that it comes from. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import NamedTuple

from scalefall.lang.model import Definition, Site
from scalefall.lang.schema import BLOCKS, POLICY
from scalefall.lang.text import Place


class Row(NamedTuple):
    """One line of the explanation."""

    part: str  # route, policy, pool, endpoint, class, rules
    text: str  # as it is written in the language
    origin: str
    place: Place | None  # None: built-in default


def explain(site: Site, name: str) -> list[Row]:
    """Return the rows for a route; raise KeyError if the route does not exist."""
    return list(_rows(site, site.definitions("route")[name]))


def _rows(site: Site, route: Definition) -> Iterator[Row]:
    yield Row("route", f"pool {route.get('pool')}", f"route {route.name}", route.lookup("pool").place)
    policy = route.lookup("policy")
    yield Row("route", f"policy {policy.value}", f"route {route.name}" if policy.place else "built in", policy.place)
    for setting in POLICY:
        found = site.policy_value(route, setting.word)
        yield Row("policy", setting.line(found.value), found.origin, found.place)
    pool = site.pool_of(route)
    if pool is not None:
        yield from _pool(site, pool)
    classes = route.lookup("classes")
    for name in site.classes_of(route):
        cls = site.definitions("class")[name]
        yield Row(
            "class",
            f"class {name}",
            f"route {route.name}" if classes.place else "every class",
            classes.place or cls.place,
        )
        for word, setting in BLOCKS["class"].items():
            value, place = cls.lookup(word)
            yield Row("class", f"  {setting.line(value)}", f"class {name}" if place else "built in", place)
    for word, setting in BLOCKS["rules"].items():
        value, place = site.rules.lookup(word)
        yield Row("rules", setting.line(value), "rules" if place else "built in", place)


def _pool(site: Site, pool: Definition) -> Iterator[Row]:
    for word, setting in BLOCKS["pool"].items():
        if word == "idle-close":
            found = site.idle_close(pool)
            yield Row("pool", setting.line(found.value), found.origin, found.place)
        else:
            value, place = pool.lookup(word)
            yield Row("pool", setting.line(value), f"pool {pool.name}" if place else "built in", place)
    for each in site.endpoints.get(pool.name, ()):
        state = "" if each.ready else ", draining"
        yield Row(
            "endpoint", f"{each.name} at {each.address}, zone {each.zone}{state}", f"pool {pool.name}", each.place
        )


def as_text(name: str, rows: list[Row]) -> str:
    width = min(60, max(len(row.text) for row in rows) + 2)
    lines, part = [f"route {name}"], ""
    for row in rows:
        if row.part != part and row.part != "route":
            lines.append(f"{row.part}")
        part = row.part
        where = f"{row.place.file}:{row.place.line}" if row.place else "built in"
        origin = f"  ({row.origin})" if row.place else ""
        lines.append(f"  {row.text:<{width}} {where}{origin}")
    return "\n".join(lines) + "\n"


def as_json(name: str, rows: list[Row]) -> str:
    return (
        json.dumps(
            {
                "version": 1,
                "route": name,
                "rows": [
                    {
                        "part": row.part,
                        "text": row.text.strip(),
                        "origin": row.origin,
                        "file": row.place.file if row.place else None,
                        "line": row.place.line if row.place else None,
                    }
                    for row in rows
                ],
            },
            indent=1,
        )
        + "\n"
    )
