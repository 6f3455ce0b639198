"""The model of an analyzed configuration: a Site of definitions, each value with its place in the source. No I/O.

`Site.meaning` returns the same as plain values without places: two configurations are equivalent if these are equal.
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
    """A value and where it is written."""

    value: Any
    place: Place | None  # None: built-in default


@dataclass(slots=True)
class Definition:
    """One definition; `values` holds the settings written in it."""

    block: str
    name: str
    place: Place
    values: dict[str, Value] = field(default_factory=dict)
    broken: bool = False  # some of its statements could not be read, so a missing setting is not reported

    def lookup(self, word: str) -> Value:
        """Return the setting as written, or else its built-in default."""
        return self.values.get(word) or Value(BLOCKS[self.block][word].built_in, None)

    def get(self, word: str) -> Any:
        return self.lookup(word).value


class Endpoint(NamedTuple):
    """One endpoint; the endpoints of a range are numbered from 1."""

    name: str
    pool: str
    host: int  # the IPv4 address as a number
    port: int
    zone: str
    state: str
    weight: Any  # None: not given
    place: Place

    @property
    def address(self) -> str:
        return f"{netaddr.IPAddress(self.host, 4)}:{self.port}"

    @property
    def ready(self) -> bool:
        return self.state == "ready"


class EffectiveValue(NamedTuple):
    """A value in force on a route, and the definition that it comes from."""

    word: str
    value: Any
    place: Place | None
    origin: str


@dataclass(slots=True)
class Site:
    """A whole configuration: its definitions by block and name, and the endpoints of its pools."""

    file: str
    sender: Definition
    rules: Definition
    blocks: dict[str, dict[str, Definition]] = field(default_factory=dict)  # by block, then by name
    endpoints: dict[str, list[Endpoint]] = field(default_factory=dict)  # by pool, in the order of the file

    def definitions(self, block: str) -> dict[str, Definition]:
        return self.blocks.setdefault(block, {})

    def policy_value(self, route: Definition, word: str) -> EffectiveValue:
        """Return a setting in force on a route: the route's, its policy's, the default policy's or the built-in one."""
        if word in route.values:
            return EffectiveValue(word, *route.values[word], f"route {route.name}")
        policies, named = self.definitions("policy"), route.get("policy")
        for name in dict.fromkeys((named, DEFAULT)):
            if name in policies and word in policies[name].values:
                return EffectiveValue(word, *policies[name].values[word], f"policy {name}")
        return EffectiveValue(word, BLOCKS["policy"][word].built_in, None, "built in")

    def idle_close(self, pool: Definition) -> EffectiveValue:
        own = pool.values.get("idle-close")
        if own is not None:
            return EffectiveValue("idle-close", *own, f"pool {pool.name}")
        return EffectiveValue(
            "idle-close",
            *self.sender.lookup("idle-close"),
            "sender" if "idle-close" in self.sender.values else "built in",
        )

    def classes_of(self, route: Definition) -> tuple[str, ...]:
        own = route.get("classes")
        return tuple(self.definitions("class")) if own is None else own

    def pool_of(self, route: Definition) -> Definition | None:
        return self.definitions("pool").get(route.get("pool"))

    def pools_in_use(self) -> set[str]:
        return {route.get("pool") for route in self.definitions("route").values()}

    def all_endpoints(self) -> Iterator[Endpoint]:
        for rows in self.endpoints.values():
            yield from rows

    def meaning(self) -> dict[str, Any]:
        """Return plain values without places, with defaults filled in; names and addresses are the identities."""
        result: dict[str, Any] = {"sender": _with_defaults(self.sender), "rules": _with_defaults(self.rules)}
        for block in ("class", "kind", "zone", "tenant"):
            result[block] = {name: _with_defaults(each) for name, each in self.definitions(block).items()}
        result["policy"] = {
            name: {row.word: self._policy_with_default(name, row.word) for row in POLICY}
            for name in {DEFAULT, *self.definitions("policy")}
        }
        result["pool"] = {
            name: _with_defaults(each) | {"idle-close": self.idle_close(each).value}
            for name, each in self.definitions("pool").items()
        }
        for name, pool in result["pool"].items():
            pool["dial-within"] = pool["dial-within"] and tuple(sorted(pool["dial-within"]))
            pool["endpoints"] = {
                each.name: {"address": each.address, "zone": each.zone, "state": each.state, "weight": each.weight}
                for each in self.endpoints.get(name, ())
            }
        result["route"] = {name: self._route_meaning(each) for name, each in self.definitions("route").items()}
        return result

    def _policy_with_default(self, name: str, word: str) -> Any:
        for each in dict.fromkeys((name, DEFAULT)):
            if each in self.definitions("policy") and word in self.definitions("policy")[each].values:
                return self.definitions("policy")[each].values[word].value
        return BLOCKS["policy"][word].built_in

    def _route_meaning(self, route: Definition) -> dict[str, Any]:
        return {
            "pool": route.get("pool"),
            "policy": route.get("policy"),
            "classes": tuple(sorted(self.classes_of(route))),
        } | {row.word: self.policy_value(route, row.word).value for row in POLICY}


def _with_defaults(each: Definition) -> dict[str, Any]:
    return {word: each.get(word) for word in BLOCKS[each.block]}
