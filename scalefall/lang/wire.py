"""The platform's JSON and the language, both ways. No I/O.

The two forms hold the same Settings. What only the language can say (per-route policies, connection caps, networks)
has no place in the JSON; `compiled` names it, so that nothing is lost in silence.
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
    """The platform's configuration object, and what it cannot hold, a sentence each."""
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
    return table, list(_lost(site))


def settings_table(site: Site) -> dict[str, Any]:
    """The settings object, as scalefall.settings_reader reads it."""
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
        "grades": [_grade(each) for each in site.definitions("class").values()],
    }


def _grade(each: Definition) -> dict[str, Any]:
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
    """Those that are defined, or else those in use."""
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
    """A name for each endpoint, by pool and name: its own where no other pool has it too."""
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
    """What the endpoint's row tells of its weight: its own word, else the pool's limit where limits are told so."""
    if each.weight is not None:
        return float(each.weight)
    limit = pool.get("limit")
    return float(limit.per_second) if limited and limit is not None else 1.0


def _lost(site: Site) -> Iterator[str]:
    if site.sender.get("reports") is not None:
        yield "reports of sender: the platform's are at its discovery"
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
            yield f"limit of pool {pool.name}: with weights {site.sender.get('weights')} answers tell limits"
        if site.idle_close(pool).value != site.sender.get("idle-close"):
            yield f"idle-close of pool {pool.name}: the platform's settings hold one for all"
        for word in ("connections", "dial-within"):
            if pool.get(word) is not None:
                yield f"{word} of pool {pool.name}: the platform's settings have no place for it"


# -- from the platform's JSON


def from_platform_json(table: Any) -> tuple[str, list[str]]:
    """The language's text for a configuration object, and what of it has no place there; ValueError says what is
    wrong with the object."""
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
    dropped = [f"{key}: no word of the language" for key in sorted(table.keys() - KNOWN_KEYS)]
    return layout(syntax.parse("\n".join(rows), "imported", Problems())), dropped


def _sender(table: dict[str, Any], limits: dict[str, Any], s: Settings) -> dict[str, Any]:
    values: dict[str, Any] = {}
    if table.get("name"):
        values["name"] = str(table["name"])
    for word in ("listen", "discovery"):
        if word in table:
            host, port = read_address(table[word], word)
            values[word] = f"{host}:{port}"
    values["seed"] = str(table.get("seed", "0"))
    values["number"] = (s.replica_index, s.replica_count)
    for word, key in (("cores", "cores"), ("sockets", "sockets")):
        if key in limits:
            values[word] = _decimal(limits[key]) if word == "cores" else int(limits[key])
    for word, key in (("memory", "memory_mb"), ("disk", "disk_mb")):
        if key in limits:
            values[word] = int(_decimal(limits[key]) * 10**6)
    return values | {
        "slots": s.call_slots,
        "hold": s.max_queued,
        "idle-close": s.idle_close_us,
        "tick": s.tick_us,
        "late": "halving" if s.halves_after_objective else "linear",
        "cancel": s.cancelling,
        "probe": s.probes,
        "tell-wait": s.retry_after,
        "streams": s.streams,
        "list": "ask" if s.polls_endpoint_list else "push",
        "weights": s.weights,
        "load-report": tuple(s.report_fields),
        "over-share": _decimal(s.over_quota_priority_weight),
        "turn-gap": s.ordering_gap_us,
    }


def _rules(s: Settings) -> dict[str, Any]:
    return {
        "drain-grace": s.drain_grace_us,
        "cold": s.slow_start_us,
        "cold-from": _decimal(s.slow_start_from),
        "fall": s.overload_window_us,
        "fall-multiple": _decimal(s.overload_multiple),
        "ask-within": s.poll_within_us,
        "answer-slack": s.answer_slack_us,
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
    """A pool and a route for each destination that the list names."""
    states = {EndpointStatus.READY: "ready", EndpointStatus.DRAINING: "draining"}
    pools: dict[tuple[int, str], list[str]] = {}
    for entry in known.entries:
        end = entry.endpoint
        if end.status not in states:
            continue
        weight = "" if end.weight == 1 else f"weight {units.format_decimal(_decimal(end.weight))}; "
        state = "" if end.status is EndpointStatus.READY else "state draining; "
        host, port = entry.address
        pools.setdefault((end.destination, end.kind), []).append(
            f"endpoint {_named(end.id)} {{ at {host}:{port}; {weight}{state}zone {_named(end.zone)} }}"
        )
    kinds: dict[int, str] = {}
    for (number, kind), rows in sorted(pools.items()):
        if kinds.setdefault(number, kind) != kind:
            raise ValueError(f"destination {number} has endpoints of two kinds, {kinds[number]} and {kind}")
        yield from (
            f"pool dest-{number} {{",
            f"kind {_named(kind)}",
            *rows,
            "}",
            f"route {number} {{ pool dest-{number} }}",
            "",
        )


def _block(block: str, name: str, values: dict[str, Any]) -> Iterator[str]:
    """A definition with those values that are not the built-in ones."""
    settings = BLOCKS[block]
    rows = [
        _line(settings[word], value)
        for word, value in values.items()
        if value != settings[word].built_in or settings[word].default == ""
    ]
    head = f"{block} {_named(name)}".strip() if name else block
    if block in ("sender", "rules", "policy"):
        if rows:
            yield from (f"{head} {{", *rows, "}")
    else:
        yield f"{head} {{ {'; '.join(rows)} }}"


def _line(setting: Setting, value: Any) -> str:
    if setting.kind.is_list:
        return f"{setting.word} {', '.join(map(_written, value))}"
    return f"{setting.word} {_written(value)}" if isinstance(value, str) else setting.line(value)


def _named(text: str) -> str:
    """A name as it is written: in quotes unless it is one of the language's own."""
    return text if NAME.match(text) else syntax.quoted(text)


def _written(text: str) -> str:
    """A value as it is written: in quotes unless it is one word."""
    return text if _is_one_word(text) else syntax.quoted(text)


def _is_one_word(text: str) -> bool:
    """Whether a text is one word of the language as it stands."""
    return bool(text) and text.isprintable() and not any(char.isspace() or char in ';,{}"#' for char in text)


def _decimal(value: Any) -> Decimal:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise ValueError(f"{value!r} is not a number of at least 0")
    return Decimal(repr(value)) if isinstance(value, float) else Decimal(value)


def _rate(per_second: float) -> units.Rate:
    """A rate of whole counts: the span grows until it is one."""
    value = _decimal(per_second)
    for span in (1, 10, 60, 100, 1000, 3600, 10_000, 1_000_000):
        if value * span == int(value * span) and value > 0:
            return units.Rate(int(value * span), span * units.SECOND)
    raise ValueError(f"a quota of {per_second!r} a second is no whole number in any span")
