"""A Site as what the sender is started with, and what of an edit a running one can take. No I/O.

Endpoints are known to the module by name, pool and address together: one that moves is another endpoint, whose guards,
waits and figures start anew, and one that comes back where it was is the one it was.
"""

from __future__ import annotations

from typing import Any

from scalefall.lang.model import Definition, Endpoint, Site
from scalefall.lang.schema import BLOCKS
from scalefall.lang.units import SECOND, Rate
from scalefall.lang.wire import settings_table
from scalefall.net.config import Config, Fleet, RouteRules
from scalefall.net.list_stream import Entry, ListUpdate
from scalefall.policy.events import Endpoint as PolicyEndpoint
from scalefall.policy.events import EndpointStatus
from scalefall.policy.pacing import BURST_US
from scalefall.settings_reader import read_settings

STATUSES = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING}
RELOADABLE_BLOCKS = {"pool", "policy", "route"}  # whatever changes in these takes effect at once


def config(site: Site, state: str, seed: int) -> Config:
    """A complete sender, with no platform: its list of endpoints is the file's. The seed counts if it has none."""
    sender, settings = site.sender, read_settings(settings_table(site))
    seed = int(sender.get("seed"), 16) if "seed" in sender.values else seed
    settings.polls_endpoint_list, settings.weights = False, "told"
    fleet = Fleet(entries(site), routes(site))
    return Config(
        name=sender.get("name"),
        listen=tuple(sender.get("listen")),
        discovery=None,
        state=state,
        seed=seed,
        sockets=sender.get("sockets"),
        disk_bytes=sender.get("disk"),
        memory_bytes=sender.get("memory"),
        settings=settings,
        known=ListUpdate(1, True, fleet.entries),
        reports=sender.get("reports"),
        fleet=fleet,
    )


def entries(site: Site) -> list[Entry]:
    """The endpoints of all routes, in the file's order."""
    rows = []
    for route in site.definitions("route").values():
        pool = site.pool_of(route)
        dial = site.policy_value(route, "dial").value
        idle, limit = site.idle_close(pool).value, pool.get("limit")
        most, weight = pool.get("connections") or 0, calls_per_second(limit) if limit is not None else 0.0
        for each in site.endpoints.get(pool.name, ()):
            end = PolicyEndpoint(
                endpoint_id(each), each.zone, pool.get("kind"), int(route.name), STATUSES[each.state], weight, most
            )
            host, _, port = each.address.rpartition(":")
            rows.append(Entry(end, (host, int(port)), each.address, dial, idle))
    return rows


def endpoint_id(each: Endpoint) -> str:
    return f"{each.pool}/{each.name}@{each.address}"


def routes(site: Site) -> dict[int, RouteRules]:
    return {
        int(route.name): RouteRules(
            frozenset(site.classes_of(route)),
            site.policy_value(route, "attempts").value,
            site.policy_value(route, "wait").value,
        )
        for route in site.definitions("route").values()
    }


def calls_per_second(limit: Rate) -> float:
    """Calls a second that never make more than the limit's count in any of its spans: what the module lets through at
    once after a pause (one call, or what it gathers in BURST_US) comes on top of the pace."""
    even, span = float(limit.per_second), limit.per_us / SECOND
    depth = BURST_US / SECOND
    return even if even * depth <= 1 else max(1 / depth, limit.count / (span + depth))


def restart_only(site: Site) -> dict[str, Any]:
    """What a running sender cannot change, as plain values: all but pools, policies and routes."""
    return {block: values for block, values in site.meaning().items() if block not in RELOADABLE_BLOCKS}


def start_warnings(config: Config, site: Site) -> list[str]:
    """What is worth a line in the log at a start."""
    rows = []
    if site.sender.get("discovery") is not None:
        rows.append("discovery of the sender is not asked: the endpoints are the file's")
    if config.reports is None:
        rows.append("no reports address: ends of messages that are given up are told in this log only")
    return rows


def changes_needing_restart(was: dict[str, Any], new: Site) -> list[str]:
    """What differs from what is fixed in the running sender and takes a restart, a sentence each."""
    will, rows = restart_only(new), []
    for block in ("sender", "rules"):
        rows += _values(block, block, was[block], will[block], new)
    for block in ("class", "kind", "zone", "tenant"):
        for name in sorted(will[block].keys() - was[block].keys()):
            rows.append(f"{_at(new.definitions(block)[name])}: {block} {name} is new")
        for name in sorted(was[block].keys() & will[block].keys()):
            rows += _values(block, f"{block} {name}", was[block][name], will[block][name], new, name)
        if block != "class":  # a class that goes is carried by no route any more, which takes effect
            rows += [f"{new.file}: {block} {name} is gone" for name in sorted(was[block].keys() - will[block].keys())]
    return rows


def _values(block: str, title: str, was: dict, will: dict, new: Site, name: str = "") -> list[str]:
    rows = []
    for word, setting in BLOCKS[block].items():
        if was[word] != will[word]:
            each: Definition = getattr(new, block) if not name else new.definitions(block)[name]
            rows.append(
                f"{_at(each, word)}: {word} of {title} is {setting.show(will[word])} in the file, and stays "
                f"{setting.show(was[word])}"
            )
    return rows


def _at(each: Definition, word: str = "") -> str:
    place = each.values[word].place if word in each.values else each.place
    return f"{place.file}:{place.line}"
