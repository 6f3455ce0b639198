"""What a configuration means, once read: a Site of definitions whose every value knows its place. No I/O.

`meaning` gives the same as plain values without places: two configurations mean the same if these are equal.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import netaddr

from scalefall.lang.schema import BLOCKS, POLICY
from scalefall.lang.text import Place

DEFAULT = "default"


class Value(NamedTuple):
    value: Any
    place: Place | None  # None: built in


@dataclass(slots=True)
class Def:
    """One definition; values hold what is written in it."""

    block: str
    name: str
    place: Place
    values: dict[str, Value] = field(default_factory=dict)
    broken: bool = False  # a value of it could not be read, so what is missing says nothing

    def own(self, word: str) -> Value:
        """What is written, or else the built-in default."""
        return self.values.get(word) or Value(BLOCKS[self.block][word].built_in, None)

    def get(self, word: str) -> Any:
        return self.own(word).value


class Endpoint(NamedTuple):
    """One endpoint; those of a range are numbered from 1."""

    name: str
    pool: str
    host: int  # the IPv4 address as a number
    port: int
    zone: str
    state: str
    weight: Any  # None: not said
    place: Place

    @property
    def address(self) -> str:
        return f"{netaddr.IPAddress(self.host, 4)}:{self.port}"

    @property
    def ready(self) -> bool:
        return self.state == "ready"


class Effective(NamedTuple):
    """A value in force on a route, and whose it is."""

    word: str
    value: Any
    place: Place | None
    origin: str


@dataclass(slots=True)
class Site:
    file: str
    sender: Def
    rules: Def
    blocks: dict[str, dict[str, Def]] = field(default_factory=dict)  # by block, then by name
    endpoints: dict[str, list[Endpoint]] = field(default_factory=dict)  # by pool, in the file's order

    def of(self, block: str) -> dict[str, Def]:
        return self.blocks.setdefault(block, {})

    def policy(self, route: Def, word: str) -> Effective:
        """A policy's setting on a route: the route's own word, its policy's, the default policy's, the built-in."""
        if word in route.values:
            return Effective(word, *route.values[word], f"route {route.name}")
        policies, named = self.of("policy"), route.get("policy")
        for name in dict.fromkeys((named, DEFAULT)):
            if name in policies and word in policies[name].values:
                return Effective(word, *policies[name].values[word], f"policy {name}")
        return Effective(word, BLOCKS["policy"][word].built_in, None, "built in")

    def idle_close(self, pool: Def) -> Effective:
        own = pool.values.get("idle-close")
        if own is not None:
            return Effective("idle-close", *own, f"pool {pool.name}")
        return Effective(
            "idle-close", *self.sender.own("idle-close"), "sender" if "idle-close" in self.sender.values else "built in"
        )

    def classes_of(self, route: Def) -> tuple[str, ...]:
        own = route.get("classes")
        return tuple(self.of("class")) if own is None else own

    def pool_of(self, route: Def) -> Def | None:
        return self.of("pool").get(route.get("pool"))

    def pools_in_use(self) -> set[str]:
        return {route.get("pool") for route in self.of("route").values()}

    def all_endpoints(self) -> Iterator[Endpoint]:
        for rows in self.endpoints.values():
            yield from rows

    def meaning(self) -> dict[str, Any]:
        """Plain values without places, defaults filled in. Names and addresses are what things are known by."""
        result: dict[str, Any] = {"sender": _filled(self.sender), "rules": _filled(self.rules)}
        for block in ("class", "kind", "zone", "tenant"):
            result[block] = {name: _filled(each) for name, each in self.of(block).items()}
        result["policy"] = {
            name: {row.word: self._of_policy(name, row.word) for row in POLICY}
            for name in {DEFAULT, *self.of("policy")}
        }
        result["pool"] = {
            name: _filled(each) | {"idle-close": self.idle_close(each).value} for name, each in self.of("pool").items()
        }
        for name, pool in result["pool"].items():
            pool["dial-within"] = pool["dial-within"] and tuple(sorted(pool["dial-within"]))
            pool["endpoints"] = {
                each.name: {"address": each.address, "zone": each.zone, "state": each.state, "weight": each.weight}
                for each in self.endpoints.get(name, ())
            }
        result["route"] = {name: self._of_route(each) for name, each in self.of("route").items()}
        return result

    def _of_policy(self, name: str, word: str) -> Any:
        for each in dict.fromkeys((name, DEFAULT)):
            if each in self.of("policy") and word in self.of("policy")[each].values:
                return self.of("policy")[each].values[word].value
        return BLOCKS["policy"][word].built_in

    def _of_route(self, route: Def) -> dict[str, Any]:
        return {
            "pool": route.get("pool"),
            "policy": route.get("policy"),
            "classes": tuple(sorted(self.classes_of(route))),
        } | {row.word: self.policy(route, row.word).value for row in POLICY}


def _filled(each: Def) -> dict[str, Any]:
    return {word: each.get(word) for word in BLOCKS[each.block]}
