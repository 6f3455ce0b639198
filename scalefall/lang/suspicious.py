"""Warnings about valid but suspicious settings of a complete Site. No I/O."""

from __future__ import annotations

from scalefall.lang import units
from scalefall.lang.model import DEFAULT, Definition, Site
from scalefall.lang.schema import BLOCKS, DURATION
from scalefall.lang.text import Problems, pluralize

SHORT_DURATION_US = 50_000
LONG_DURATION_US = units.HOUR


def add_warnings(site: Site, problems: Problems) -> None:
    """Report everything suspicious in a complete configuration."""
    for each in (site.sender, site.rules, *(one for block in site.blocks.values() for one in block.values())):
        _check_durations(each, problems)
    for cls in site.definitions("class").values():
        _check_class(cls, problems)
    _check_policies(site, problems)
    used = site.pools_in_use()
    for pool in site.definitions("pool").values():
        if pool.name not in used:
            problems.warn("unused", pool.place, f"no route uses pool {pool.name}", "write a route, or take it out")
    for route in site.definitions("route").values():
        _check_route(site, route, problems)
    _check_classes_used(site, problems)


def _check_durations(each: Definition, problems: Problems) -> None:
    for word, (value, place) in each.values.items():
        setting = BLOCKS[each.block][word]
        if setting.kind is not DURATION or setting.may_be_short or place is None:
            continue
        if value < SHORT_DURATION_US:
            problems.warn(
                "short",
                place,
                f"{setting.line(value)} is under 50 ms",
                f"was {units.format_duration(value * 1000)} meant?" if value else "",
            )
        elif value > LONG_DURATION_US:
            problems.warn("long", place, f"{setting.line(value)} is over an hour")


def _check_class(cls: Definition, problems: Problems) -> None:
    if cls.broken:
        return
    aim, deadline = cls.lookup("aim"), cls.lookup("deadline")
    if deadline.value < aim.value:
        problems.warn(
            "deadline",
            deadline.place,
            f"the deadline of {cls.name} ({units.format_duration_spaced(deadline.value)}) "
            f"is shorter than its aim ({units.format_duration_spaced(aim.value)})",
            "",
            [(aim.place, "its aim")],
        )
    repeat = cls.lookup("repeat")
    if repeat.value.effect == "keyed" and repeat.value.ttl_us < SHORT_DURATION_US:
        problems.warn(
            "short",
            repeat.place,
            f"keys of {cls.name} are known for under 50 ms",
            f"was {units.format_duration(repeat.value.ttl_us * 1000)} meant?",
        )


def _check_policies(site: Site, problems: Problems) -> None:
    named = {route.get("policy") for route in site.definitions("route").values()}
    for policy in site.definitions("policy").values():
        if policy.name not in named and policy.name != DEFAULT:
            problems.warn("unused", policy.place, f"no route uses policy {policy.name}")


def _check_route(site: Site, route: Definition, problems: Problems) -> None:
    pool = site.pool_of(route)
    if pool is None:
        return
    rows = site.endpoints.get(pool.name, [])
    if not any(row.ready for row in rows):
        draining = f": {pluralize(len(rows), 'endpoint')}, all draining" if rows else f": pool {pool.name} is empty"
        problems.warn(
            "empty",
            route.place,
            f"route {route.name} has no endpoint left{draining}",
            "",
            [(pool.place, f"pool {pool.name}")],
        )
    if route.get("classes") == ():
        problems.warn("empty", route.place, f"route {route.name} carries no class")


def _check_classes_used(site: Site, problems: Problems) -> None:
    routes = list(site.definitions("route").values())
    used = {name for route in routes for name in site.classes_of(route)}
    for cls in site.definitions("class").values():
        if routes and cls.name not in used:
            problems.warn("unused", cls.place, f"no route carries class {cls.name}")
