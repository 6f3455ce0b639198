"""Conversion between the language and the platform's JSON, both ways. No I/O.

Both forms hold the same Settings. The JSON cannot represent per-route policies, connection limits and networks;
`to_platform_json` lists what it leaves out.
"""

from __future__ import annotations

from collections.abc import Iterator
from decimal import Decimal
from typing import Any

from scalefall.lang import syntax, units
from scalefall.lang.format import layout
from scalefall.lang.model import DEFAULT, Definition, Endpoint, Site
from scalefall.lang.schema import BLOCKS, NAME, POLICY, Repeat, Setting
from scalefall.lang.text import Problems, join_words
from scalefall.net.config import read_address
from scalefall.net.list_stream import ListUpdate, read_list
from scalefall.policy.events import EndpointStatus
from scalefall.policy.settings import MessageClass, Settings
from scalefall.settings_reader import read_settings

EFFECTS = {"never": "unsafe", "keyed": "keyed", "freely": "safe"}
HEALTH = {"ready": "in_service", "draining": "terminating"}
KNOWN_KEYS = {"name", "listen", "discovery", "seed", "limits", "known", "settings"}


def to_platform_json(site: Site) -> tuple[dict[str, Any], list[str]]:
    """Return the platform's configuration object, and what it cannot represent, a sentence each."""
    sender = site.sender
    table: dict[str, Any] = {"name": sender.get("name"), "listen": str(sender.get("listen"))}
    if sender.get("discovery") is not None:
        table["discovery"] = str(sender.get("discovery"))
    table |= {
        "seed": sender.get("seed"),
        "limits": {
            "cores": float(sender.get("cores")),
            "memory_mb": sender.get("memory") / 1e6,
            "sockets": sender.get("sockets"),
            "disk_mb": sender.get("disk") / 1e6,
        },
        "known": {"seq": 1, "whole": True, "hosts": list(_hosts(site))},
        "settings": settings_table(site),
    }
    return table, list(_not_representable(site))


def settings_table(site: Site) -> dict[str, Any]:
    """Return the settings object, as scalefall.settings_reader reads it."""
    sender, rules, policy = site.sender, site.rules, _default_policy(site)
    kinds, zones = _names(site, "kind"), _names(site, "zone")
    index, siblings = sender.get("number")
    return {
        "index": index,
        "siblings": siblings,
        "tick": _ms(sender.get("tick")),
        "weights": sender.get("weights"),
        "registryMode": sender.get("list"),
        "overShareWorth": float(sender.get("over-share")),
        "areas": zones,
        "shapes": kinds,
        "turnGap": _ms(sender.get("turn-gap")),
        "report": {"fields": list(sender.get("load-report")), "how": "answers"},
        "caps": {
            "cancelling": sender.get("cancel"),
            "probes": sender.get("probe"),
            "retryAfter": sender.get("tell-wait"),
            "maxStreams": sender.get("streams"),
            "maxOpen": sender.get("hold"),
            "idleClose": _ms(sender.get("idle-close")),
            "maxAttempts": policy["attempts"],
            "maxRetryAfter": _ms(policy["wait"]),
            "dialTimeout": _ms(policy["dial"]),
        },
        "familyInfo": {
            "workers": sender.get("slots"),
            "late": sender.get("late"),
            "perCall": [_setting(site, "kind", name, "per-call") for name in kinds],
            "kindApart": [_setting(site, "kind", name, "limits") == "apart" for name in kinds],
            "zoneFee": [float(_setting(site, "zone", name, "fee")) for name in zones],
        },
        "guarantees": {
            "answerSlack": _ms(rules.get("answer-slack")),
            "askWithin": _ms(rules.get("ask-within")),
            "cold": _ms(rules.get("cold")),
            "coldFrom": float(rules.get("cold-from")),
            "drainGrace": _ms(rules.get("drain-grace")),
            "fall": _ms(rules.get("fall")),
            "fallMultiple": float(rules.get("fall-multiple")),
        },
        "tenants": [
            {"name": each.name, "quotaPerS": float(each.get("quota").per_second)}
            for each in site.definitions("tenant").values()
        ],
        "grades": [_class_row(each) for each in site.definitions("class").values()],
    }


def _class_row(each: Definition) -> dict[str, Any]:
    repeat: Repeat = each.get("repeat")
    return {
        "name": each.name,
        "aim": _ms(each.get("aim")),
        "deadline": _ms(each.get("deadline")),
        "effect": EFFECTS[repeat.effect],
        "keyScope": "zone" if repeat.in_zone else "all",
        "keyTtl": _ms(repeat.ttl_us),
        "worth": float(each.get("worth")),
        "lateWorth": float(each.get("late-worth")),
        "fifoByKey": each.get("in-order"),
    }


def _default_policy(site: Site) -> dict[str, Any]:
    each = site.definitions("policy").get(DEFAULT)
    return {row.word: each.get(row.word) if each else row.built_in for row in POLICY}


def _names(site: Site, block: str) -> list[str]:
    """Return the defined names, or else the names in use."""
    if site.definitions(block):
        return list(site.definitions(block))
    used = (
        [each.get("kind") for each in site.definitions("pool").values()]
        if block == "kind"
        else [each.zone for each in site.all_endpoints()]
    )
    return list(dict.fromkeys(used))


def _setting(site: Site, block: str, name: str, word: str) -> Any:
    each = site.definitions(block).get(name)
    return each.get(word) if each else BLOCKS[block][word].built_in


def _ms(us: int) -> float:
    return us / 1000


def host_names(site: Site) -> dict[tuple[str, str], str]:
    """Return a name for each endpoint by pool and name: its own unless another pool has the same name."""
    seen: dict[str, int] = {}
    for each in site.all_endpoints():
        seen[each.name] = seen.get(each.name, 0) + 1
    return {
        (each.pool, each.name): each.name if seen[each.name] == 1 else f"{each.name}.{each.pool}"
        for each in site.all_endpoints()
    }


def _hosts(site: Site) -> Iterator[dict[str, Any]]:
    names, nominal = host_names(site), site.sender.get("weights") in ("nominal", "rough")
    for route in site.definitions("route").values():
        pool = site.pool_of(route)
        for each in site.endpoints.get(pool.name, ()) if pool else ():
            yield {
                "host": names[each.pool, each.name],
                "dial": each.address,
                "site": each.zone,
                "class": pool.get("kind"),
                "block": int(route.name),
                "health": HEALTH[each.state],
                "share": weight(pool, each, nominal),
                "born_ms": 0,
            }


def weight(pool: Definition, each: Endpoint, limited: bool) -> float:
    """Return the weight in the endpoint's row: its own, else the pool's limit if `limited`, else 1."""
    if each.weight is not None:
        return float(each.weight)
    limit = pool.get("limit")
    return float(limit.per_second) if limited and limit is not None else 1.0


def _not_representable(site: Site) -> Iterator[str]:
    if site.sender.get("reports") is not None:
        yield "reports of sender: the platform receives delivery reports at its discovery"
    default = _default_policy(site)
    for route in site.definitions("route").values():
        words = [row.word for row in POLICY if site.policy_value(route, row.word).value != default[row.word]]
        if words:
            yield f"{join_words(words)} of route {route.name}: the platform's settings hold one policy, the default one"
        if route.get("classes") is not None and set(route.get("classes")) != set(site.definitions("class")):
            yield f"classes of route {route.name}: the platform's routes carry every class"
    used = site.pools_in_use()
    for pool in site.definitions("pool").values():
        if pool.name not in used:
            yield f"pool {pool.name}: no route leads there"
        if pool.get("limit") is not None and site.sender.get("weights") not in ("nominal", "rough"):
            yield f"limit of pool {pool.name}: with weights {site.sender.get('weights')} answers report the limits"
        if site.idle_close(pool).value != site.sender.get("idle-close"):
            yield f"idle-close of pool {pool.name}: the platform's settings hold one for all"
        for word in ("connections", "dial-within"):
            if pool.get(word) is not None:
                yield f"{word} of pool {pool.name}: the platform's settings have no place for it"


# -- from the platform's JSON


def from_platform_json(table: Any) -> tuple[str, list[str]]:
    """Return the text in the language for a configuration object, and what the text cannot represent.

    Raises:
        ValueError: The object is invalid.
    """
    if not isinstance(table, dict):
        raise ValueError("the configuration must be an object")
    settings = read_settings(table.get("settings"))
    known = read_list(table.get("known") or {"seq": 0, "whole": True, "hosts": []})
    limits = table.get("limits", {})
    if not isinstance(limits, dict):
        raise ValueError("limits must be an object")
    rows = [
        "# Written by `scalefall import` from the platform's JSON.",
        "",
        *_block("sender", "", _sender(table, limits, settings)),
        "",
        *_block("rules", "", _rules(settings)),
        "",
        *_block(
            "policy",
            DEFAULT,
            {"attempts": settings.max_attempts, "wait": settings.max_retry_after_us, "dial": settings.dial_timeout_us},
        ),
        "",
    ]
    for cls in settings.classes.values():
        rows += _block("class", cls.name, _class(cls))
    for name, per_call in settings.messages_per_call.items():
        rows += _block(
            "kind", name, {"per-call": per_call, "limits": "apart" if settings.route_per_endpoint[name] else "together"}
        )
    for name, fee in settings.zone_cost.items():
        rows += _block("zone", name, {"fee": _decimal(fee)})
    for tenant in settings.tenants.values():
        rows += _block("tenant", tenant.name, {"quota": _rate(tenant.quota_per_s)})
    rows += ["", *_pools(known)]
    dropped = [f"{key}: the language has no word for it" for key in sorted(table.keys() - KNOWN_KEYS)]
    return layout(syntax.parse("\n".join(rows), "imported", Problems())), dropped


def _sender(table: dict[str, Any], limits: dict[str, Any], settings: Settings) -> dict[str, Any]:
    values: dict[str, Any] = {}
    if table.get("name"):
        values["name"] = str(table["name"])
    for word in ("listen", "discovery"):
        if word in table:
            host, port = read_address(table[word], word)
            values[word] = f"{host}:{port}"
    values["seed"] = str(table.get("seed", "0"))
    values["number"] = (settings.replica_index, settings.replica_count)
    for word, key in (("cores", "cores"), ("sockets", "sockets")):
        if key in limits:
            values[word] = _decimal(limits[key]) if word == "cores" else int(limits[key])
    for word, key in (("memory", "memory_mb"), ("disk", "disk_mb")):
        if key in limits:
            values[word] = int(_decimal(limits[key]) * 10**6)
    return values | {
        "slots": settings.call_slots,
        "hold": settings.max_queued,
        "idle-close": settings.idle_close_us,
        "tick": settings.tick_us,
        "late": "halving" if settings.halves_after_objective else "linear",
        "cancel": settings.cancelling,
        "probe": settings.probes,
        "tell-wait": settings.retry_after,
        "streams": settings.streams,
        "list": "ask" if settings.polls_endpoint_list else "push",
        "weights": settings.weights,
        "load-report": tuple(settings.report_fields),
        "over-share": _decimal(settings.over_quota_priority_weight),
        "turn-gap": settings.ordering_gap_us,
    }


def _rules(settings: Settings) -> dict[str, Any]:
    return {
        "drain-grace": settings.drain_grace_us,
        "cold": settings.slow_start_us,
        "cold-from": _decimal(settings.slow_start_from),
        "fall": settings.overload_window_us,
        "fall-multiple": _decimal(settings.overload_multiple),
        "ask-within": settings.poll_within_us,
        "answer-slack": settings.answer_slack_us,
    }


def _class(cls: MessageClass) -> dict[str, Any]:
    effect = next(word for word, effect in EFFECTS.items() if effect == cls.idempotency.value)
    return {
        "aim": cls.latency_objective_us,
        "deadline": cls.deadline_us,
        "repeat": Repeat(effect, cls.key_ttl_us if effect == "keyed" else 0, cls.key_scope_zone),
        "worth": _decimal(cls.priority_weight),
        "late-worth": _decimal(cls.late_priority_weight),
        "in-order": cls.ordered,
    }


def _pools(known: ListUpdate) -> Iterator[str]:
    """Yield a pool and a route for each destination in the list."""
    states = {EndpointStatus.READY: "ready", EndpointStatus.DRAINING: "draining"}
    pools: dict[tuple[int, str], list[str]] = {}
    for entry in known.entries:
        endpoint = entry.endpoint
        if endpoint.status not in states:
            continue
        weight = "" if endpoint.weight == 1 else f"weight {units.format_decimal(_decimal(endpoint.weight))}; "
        state = "" if endpoint.status is EndpointStatus.READY else "state draining; "
        host, port = entry.address
        pools.setdefault((endpoint.destination, endpoint.kind), []).append(
            f"endpoint {_name_literal(endpoint.id)} "
            f"{{ at {host}:{port}; {weight}{state}zone {_name_literal(endpoint.zone)} }}"
        )
    kinds: dict[int, str] = {}
    for (number, kind), rows in sorted(pools.items()):
        if kinds.setdefault(number, kind) != kind:
            raise ValueError(f"destination {number} has endpoints of two kinds, {kinds[number]} and {kind}")
        yield from (
            f"pool dest-{number} {{",
            f"kind {_name_literal(kind)}",
            *rows,
            "}",
            f"route {number} {{ pool dest-{number} }}",
            "",
        )


def _block(block: str, name: str, values: dict[str, Any]) -> Iterator[str]:
    """Yield a definition with the values that differ from the built-in defaults."""
    settings = BLOCKS[block]
    rows = [
        _line(settings[word], value)
        for word, value in values.items()
        if value != settings[word].built_in or settings[word].default == ""
    ]
    head = f"{block} {_name_literal(name)}".strip() if name else block
    if block in ("sender", "rules", "policy"):
        if rows:
            yield from (f"{head} {{", *rows, "}")
    else:
        yield f"{head} {{ {'; '.join(rows)} }}"


def _line(setting: Setting, value: Any) -> str:
    if setting.kind.is_list:
        return f"{setting.word} {', '.join(map(_value_literal, value))}"
    return f"{setting.word} {_value_literal(value)}" if isinstance(value, str) else setting.line(value)


def _name_literal(text: str) -> str:
    """Return a name as it is written: in quotes unless it is a plain name of the language."""
    return text if NAME.match(text) else syntax.quoted(text)


def _value_literal(text: str) -> str:
    """Return a value as it is written: in quotes unless it is one word."""
    return text if _is_one_word(text) else syntax.quoted(text)


def _is_one_word(text: str) -> bool:
    """Return whether a text is one word of the language without quotes."""
    return bool(text) and text.isprintable() and not any(char.isspace() or char in ';,{}"#' for char in text)


def _decimal(value: Any) -> Decimal:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise ValueError(f"{value!r} is not a number of at least 0")
    return Decimal(repr(value)) if isinstance(value, float) else Decimal(value)


def _rate(per_second: float) -> units.Rate:
    """Return a rate with a whole count, in the shortest span that has one."""
    value = _decimal(per_second)
    for span in (1, 10, 60, 100, 1000, 3600, 10_000, 1_000_000):
        if value * span == int(value * span) and value > 0:
            return units.Rate(int(value * span), span * units.SECOND)
    raise ValueError(f"a quota of {per_second!r} a second is no whole number in any span")
