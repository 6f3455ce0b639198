"""The Config of a sender from a Site, and which changes a running sender cannot apply. No I/O.

The engine identifies an endpoint by name, pool and address together. One with a new address is a new endpoint: its slow
start and consecutive failures start fresh, while rate, Retry-After and latency statistics belong to the engine's route,
which it enters (a new route if endpoints of its kind have limits apart). One that returns at its old address is the
same endpoint as before.
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
RELOADABLE_BLOCKS = {"pool", "policy", "route"}  # changes in these take effect at once, without a restart


def config(site: Site, state: str, seed: int) -> Config:
    """Return the Config of a sender without the platform, its endpoint list from the file.

    `seed` is used if the file has none.
    """
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
    """Return the endpoints of all routes, in the order of the file."""
    rows = []
    for route in site.definitions("route").values():
        pool = site.pool_of(route)
        dial = site.policy_value(route, "dial").value
        idle, limit = site.idle_close(pool).value, pool.get("limit")
        max_connections, weight = pool.get("connections") or 0, calls_per_second(limit) if limit is not None else 0.0
        for each in site.endpoints.get(pool.name, ()):
            endpoint = PolicyEndpoint(
                endpoint_id(each),
                each.zone,
                pool.get("kind"),
                int(route.name),
                STATUSES[each.state],
                weight,
                max_connections,
            )
            host, _, port = each.address.rpartition(":")
            rows.append(Entry(endpoint, (host, int(port)), each.address, dial, idle))
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
    """Return a rate in calls per second that never exceeds the limit's count in any of its spans.

    It leaves capacity for the engine's burst after a pause (one call, or what accumulates in BURST_US).
    """
    even_rate, span_s = float(limit.per_second), limit.per_us / SECOND
    burst_s = BURST_US / SECOND
    return even_rate if even_rate * burst_s <= 1 else max(1 / burst_s, limit.count / (span_s + burst_s))


def restart_only(site: Site) -> dict[str, Any]:
    """Return what a running sender cannot change, as plain values: all but pools, policies and routes."""
    return {block: values for block, values in site.meaning().items() if block not in RELOADABLE_BLOCKS}


def start_warnings(config: Config, site: Site) -> list[str]:
    """Return the warnings to log at a start, a line each."""
    rows = []
    if site.sender.get("discovery") is not None:
        rows.append("discovery of the sender is not used: the endpoints come from the file")
    if config.reports is None:
        rows.append("no reports address: delivery reports of messages given up are only logged")
    return rows


def changes_needing_restart(before: dict[str, Any], new: Site) -> list[str]:
    """Return the changes that a running sender cannot apply without a restart, a sentence each."""
    after, rows = restart_only(new), []
    for block in ("sender", "rules"):
        rows += _changed_settings(block, block, before[block], after[block], new)
    for block in ("class", "kind", "zone", "tenant"):
        for name in sorted(after[block].keys() - before[block].keys()):
            rows.append(f"{_location(new.definitions(block)[name])}: {block} {name} is new")
        for name in sorted(before[block].keys() & after[block].keys()):
            rows += _changed_settings(block, f"{block} {name}", before[block][name], after[block][name], new, name)
        if block != "class":  # the routes stop carrying a removed class at once
            rows += [
                f"{new.file}: {block} {name} is removed" for name in sorted(before[block].keys() - after[block].keys())
            ]
    return rows


def _changed_settings(block: str, title: str, before: dict, after: dict, new: Site, name: str = "") -> list[str]:
    rows = []
    for word, setting in BLOCKS[block].items():
        if before[word] != after[word]:
            each: Definition = getattr(new, block) if not name else new.definitions(block)[name]
            rows.append(
                f"{_location(each, word)}: {word} of {title} is {setting.show(after[word])} in the file, and stays "
                f"{setting.show(before[word])}"
            )
    return rows


def _location(each: Definition, word: str = "") -> str:
    place = each.values[word].place if word in each.values else each.place
    return f"{place.file}:{place.line}"
