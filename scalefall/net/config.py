"""The sender's configuration: reads the file and the environment, and checks the values."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from scalefall.net.list_stream import Entry, ListUpdate, read_list
from scalefall.net.untrusted_numbers import read_port
from scalefall.policy.settings import Settings
from scalefall.settings_reader import read_settings

Address = tuple[str, int]
LIMITS = {"sockets": (1024, 64), "disk_mb": (3, 0.1), "memory_mb": (192, 16)}  # the default and the minimum, by key


class ConfigError(Exception):
    """The configuration cannot be used; the message is a single line."""


@dataclass(slots=True, frozen=True)
class RouteRules:
    """The rules of one route, from the operator's file."""

    classes: frozenset[str]  # message classes that it carries
    attempts: int
    max_retry_after_us: int  # longest Retry-After that a client gets


@dataclass(slots=True, frozen=True)
class Fleet:
    """Endpoints and routes from the operator's file, which replaces discovery."""

    entries: list[Entry]
    routes: dict[int, RouteRules]


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a sender.

    Attributes:
        name: The sender's name.
        listen: The address for clients.
        discovery: The address of discovery and of the platform; None: the fleet is the endpoint list.
        state: The folder of the stored state.
        seed: The seed of all random numbers.
        sockets: The most descriptors that the process may hold.
        disk_bytes: The most bytes that the state folder may hold.
        memory_bytes: The most memory that the process may use.
        settings: The settings of the engine.
        known: The endpoint list to start with.
        reports: Where delivery reports go without discovery; None: to the log.
        fleet: Endpoints and routes from the operator's file, in place of discovery.
        needs_restart: After a reload: the changes that take a restart.
        admin: The address for operators; None: no admin server.
        warnings: Inconsistent or missing values, and what is used instead.
        keys: The keys of the file and of its objects, such as "limits.sockets".
    """

    name: str
    listen: Address
    discovery: Address | None
    state: str
    seed: int
    sockets: int
    disk_bytes: int
    memory_bytes: int
    settings: Settings
    known: ListUpdate
    reports: Address | None = None
    fleet: Fleet | None = None
    needs_restart: tuple[str, ...] = ()
    admin: Address | None = None
    warnings: tuple[str, ...] = ()
    keys: frozenset[str] = frozenset()


def read_address(value: Any, name: str) -> Address:
    """Return an address written as `host:port`; a ConfigError names the value otherwise."""
    host, _, port_text = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    port = read_port(port_text)
    if not host or port is None:
        raise ConfigError(f"{name} must be an address and a port, not {value!r}")
    return host, port


def read_config(environ: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the configuration file that the environment names.

    At the start the environment overrides the file. In a reload the file's discovery address overrides the environment,
    as the variables of a running process cannot change.

    Raises:
        ConfigError: The file or a variable of the environment cannot be used.
    """
    table = _load_file(environ.get("RELAY_CONFIG", ""))
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits must be an object")
    state = environ.get("RELAY_STATE", "")
    if not os.path.isdir(state):
        raise ConfigError(f"RELAY_STATE must name a folder, not {state!r}")
    try:
        settings, warnings = _reconcile_replica_count(read_settings(table.get("settings")), table.get("peers"))
        known_table: Any = table.get("known") or {"seq": 0, "whole": True, "hosts": []}
        known = read_list(known_table, strict=False)
        return Config(
            name=environ.get("RELAY_NAME") or str(table.get("name", "")),
            state=state,
            listen=read_address(environ.get("RELAY_LISTEN") or table.get("listen"), "listen"),
            discovery=read_address(_discovery(environ, table, reloading), "discovery"),
            seed=_seed(table.get("seed", "0")),
            sockets=int(_limit(limits, "sockets")),
            disk_bytes=int(_limit(limits, "disk_mb") * 1_000_000),
            memory_bytes=int(_limit(limits, "memory_mb") * 1_000_000),
            settings=settings,
            warnings=(*warnings, *_known_list_warnings(known), *_limit_warnings(limits)),
            admin=_admin(environ.get("RELAY_ADMIN") or table.get("admin")),
            known=known,
            keys=_keys_with_values(table),
        )
    except (ValueError, TypeError, KeyError, OverflowError) as error:
        raise ConfigError(str(error) or type(error).__name__) from error


def _load_file(path: str) -> dict[str, Any]:
    """Return the object that the configuration file holds."""
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} cannot be read: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError(f"{path} must hold an object")
    return table


def _discovery(environ: Mapping[str, str], table: dict[str, Any], reloading: bool) -> Any:
    """Return discovery's address as it is written, from the file or from the environment."""
    if reloading and "discovery" in table:
        return table["discovery"]
    return environ.get("RELAY_DISCOVERY") or table.get("discovery")


def _known_list_warnings(known: ListUpdate) -> tuple[str, ...]:
    unreadable = known.unreadable_entries
    if not unreadable:
        return ()
    return (f"known: {len(unreadable)} endpoints cannot be read and are left out, the first {unreadable[0]!r}",)


def _limit_warnings(limits: dict[str, Any]) -> tuple[str, ...]:
    return tuple(
        f"limits.{key} is missing; using the default of {default}"
        for key, (default, _) in LIMITS.items()
        if key not in limits
    )


def _keys_with_values(table: dict[str, Any]) -> frozenset[str]:
    """Return the keys of the file and of the objects that it holds, as `object.key`; null counts as missing."""
    keys = {key for key, value in table.items() if value is not None}
    for name, nested in table.items():
        if isinstance(nested, dict):
            keys.update(f"{name}.{key}" for key, value in nested.items() if value is not None)
    return frozenset(keys)


def _admin(value: Any) -> Address | None:
    return read_address(value, "admin") if value else None


def _reconcile_replica_count(settings: Settings, peers: Any) -> tuple[Settings, tuple[str, ...]]:
    """Return the settings with a consistent number of replicas, and warnings about inconsistent values.

    Limits, connections and polls of discovery are divided by this number. Of two different numbers the larger is used:
    a fair share that is too small does no harm.
    """
    if not settings.classes:
        raise ValueError("settings: grades names no class")
    warnings, replica_count = [], settings.replica_count
    if peers is not None and not (isinstance(peers, list) and all(isinstance(peer, str) for peer in peers)):
        warnings.append("peers is not a list of addresses; ignored")
    elif peers and len(peers) != replica_count:
        replica_count = max(replica_count, len(peers))
        warnings.append(
            f"settings.siblings is {settings.replica_count}, but peers names {len(peers)}; "
            f"using {replica_count} senders"
        )
    if settings.replica_index >= settings.replica_count:
        replica_count = max(replica_count, settings.replica_index + 1)
        warnings.append(
            f"settings.index is {settings.replica_index}, of {settings.replica_count} senders; "
            f"using {replica_count} senders"
        )
    return replace(settings, replica_count=replica_count), tuple(warnings)


def _limit(limits: dict[str, Any], key: str) -> float:
    default, minimum = LIMITS[key]
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < float("inf"):
        raise ConfigError(f"limits.{key} must be a number of at least {minimum}, not {value!r}")
    return value


def _seed(value: Any) -> int:
    if not isinstance(value, str):
        raise ConfigError(f"seed must be a string of hexadecimal digits, not {value!r}")
    try:
        return int(value, 16)
    except ValueError:
        raise ConfigError(f"seed must be a string of hexadecimal digits, not {value!r}") from None
