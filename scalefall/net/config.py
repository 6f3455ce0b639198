"""What a sender is told at its start: the configuration, read once into the values that the program uses."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from scalefall.net.list_stream import Entry, ListUpdate, read_list
from scalefall.policy.settings import Settings
from scalefall.settings_reader import read_settings

Address = tuple[str, int]
LIMITS = {"sockets": (1024, 64), "disk_mb": (3, 0.1), "memory_mb": (192, 16)}  # where it is missing; the least


class ConfigError(Exception):
    """The configuration cannot be used; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class RouteRules:
    """What holds on one route, where a file of the operator's own says so."""

    classes: frozenset[str]  # what it carries
    attempts: int
    max_retry_after_us: int  # the longest time after which a client is told to come back


@dataclass(slots=True, frozen=True)
class Fleet:
    """Endpoints and routes as a file of the operator's own has them, instead of discovery."""

    entries: list[Entry]
    routes: dict[int, RouteRules]


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address | None  # None: the fleet is the list, and nothing else is asked
    state: str
    seed: int
    sockets: int
    disk_bytes: int
    memory_bytes: int
    settings: Settings
    known: ListUpdate
    reports: Address | None = None  # where notices go if there is no discovery; None: to the log
    fleet: Fleet | None = None
    needs_restart: tuple[str, ...] = ()  # read again: what differs from the running sender and takes a restart
    admin: Address | None = None  # where the operators call; None: nowhere
    warnings: tuple[str, ...] = ()  # what can be used though its parts disagree, and how it is taken


def read_address(value: Any, name: str) -> Address:
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{name} must be an address and a port, not {value!r}")
    return host, int(port)


def read_config(environ: Mapping[str, str], reloading: bool = False) -> Config:
    """The configuration that the environment points to. At the start a variable of its own goes before the file's
    value; read again, the file goes first: a running process's variables cannot change."""
    path = environ.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError(f"{path} must hold an object")
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits must be an object")
    state = environ.get("RELAY_STATE", "")
    if not os.path.isdir(state):
        raise ConfigError(f"RELAY_STATE must name a folder, not {state!r}")
    try:
        settings, warnings = _settled(read_settings(table.get("settings")), table.get("peers"))
        known = read_list(table.get("known") or {"seq": 0, "whole": True, "hosts": []}, strict=False)
        if known.unread:
            warnings += (
                f"known: {len(known.unread)} endpoints cannot be read and are left out, the first {known.unread[0]!r}",
            )
        warnings += tuple(
            f"limits.{key} is missing: {default} it is" for key, (default, _) in LIMITS.items() if key not in limits
        )
        return Config(
            name=environ.get("RELAY_NAME") or str(table.get("name", "")),
            state=state,
            listen=read_address(environ.get("RELAY_LISTEN") or table.get("listen"), "listen"),
            discovery=read_address(
                table.get("discovery")
                if reloading and "discovery" in table
                else environ.get("RELAY_DISCOVERY") or table.get("discovery"),
                "discovery",
            ),
            seed=_seed(table.get("seed", "0")),
            sockets=int(_limit(limits, "sockets")),
            disk_bytes=int(_limit(limits, "disk_mb") * 1_000_000),
            memory_bytes=int(_limit(limits, "memory_mb") * 1_000_000),
            settings=settings,
            warnings=warnings,
            admin=_admin(environ.get("RELAY_ADMIN") or table.get("admin")),
            known=known,
        )
    except (ValueError, TypeError, KeyError, OverflowError) as error:
        raise ConfigError(str(error) or type(error).__name__) from error


def _admin(value: Any) -> Address | None:
    return read_address(value, "admin") if value else None


def _settled(settings: Settings, peers: Any) -> tuple[Settings, tuple[str, ...]]:
    """The number of senders is what limits, connections and asks are shared by: where the list of peers says another
    one, the larger is taken, as a part that is too small harms nobody."""
    if not settings.classes:
        raise ValueError("settings: grades names no class")
    warnings, number = [], settings.replica_count
    if peers is not None and not (isinstance(peers, list) and all(isinstance(peer, str) for peer in peers)):
        warnings.append("peers is no list of addresses and is left aside")
    elif peers and len(peers) != number:
        number = max(number, len(peers))
        warnings.append(
            f"settings.siblings is {settings.replica_count}, but peers names {len(peers)}: {number} senders it is"
        )
    if settings.replica_index >= settings.replica_count:
        number = max(number, settings.replica_index + 1)
        warnings.append(
            f"settings.index is {settings.replica_index}, of {settings.replica_count} senders: {number} senders it is"
        )
    return replace(settings, replica_count=number), tuple(warnings)


def _limit(limits: dict[str, Any], key: str) -> float:
    default, least = LIMITS[key]
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < float("inf"):
        raise ConfigError(f"limits.{key} must be a number of at least {least}, not {value!r}")
    return value


def _seed(value: Any) -> int:
    if not isinstance(value, str):
        raise ConfigError(f"seed must be a string of hexadecimal digits, not {value!r}")
    try:
        return int(value, 16)
    except ValueError:
        raise ConfigError(f"seed must be a string of hexadecimal digits, not {value!r}") from None
