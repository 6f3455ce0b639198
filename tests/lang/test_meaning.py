"""The sentences of `diff`, the precedence of values, the Config of a sender, and the conversion to and from JSON."""

import json
import pathlib

import pytest

from scalefall.lang import diff, explain, load, render, sender, wire
from scalefall.lang.units import Rate
from scalefall.policy.events import Endpoint, EndpointStatus
from scalefall.policy.pacing import BURST_US
from scalefall.settings_reader import read_settings

ROOT = pathlib.Path(__file__).parent.parent.parent
SITE = """
class fee-order { aim 3s; deadline 24s; repeat never; worth 3 }
class event-notice { aim 3s; deadline 24s; repeat keyed for 6s }
policy default { dial within 1s }
policy careful { attempts 4; wait at-most 3s }
pool pojistovna {
  limit 4 per 1s
  dial-within 10.3.0.0/16
  endpoint a { at 10.3.0.18:8081; zone praha }
  endpoints b { at 10.3.0.20-10.3.0.22:8081; zone brno }
}
pool other { endpoint z { at 10.4.0.1:8081 } }
route 7 { pool pojistovna; policy careful; attempts 5 }
route 9 { pool other; classes event-notice }
"""


def site(text):
    loaded = load.load_text(text.encode(), "site.scale")
    assert loaded.usable, render.text(loaded.problems, loaded.source())
    return loaded.site


def describe_changes(old, new, text=SITE):
    """Return the changes that an edit makes: the first letter of the level and the sentence."""
    assert text.count(old) == 1
    return [f"{change.level[0]} {change.text}" for change in diff.compare(site(text), site(text.replace(old, new)))]


B = "endpoints b { at 10.3.0.20-10.3.0.22:8081; zone brno }"
SENTENCES = [
    (
        "10.3.0.20-10.3.0.22",
        "10.3.0.20-10.3.0.21",
        ["n endpoint b-3 of pojistovna disappears: no fresh work 1 s after it is applied"],
    ),
    (
        "at-most 3s",
        "at-most 3ms",
        ["d wait at-most of careful: 3 s -> 3 ms, 1000 times shorter: a wrong unit? (route 7)"],
    ),
    ("at-most 3s", "at-most 2s", ["p wait at-most of careful: 3 s -> 2 s, 1.5 times shorter (route 7)"]),
    ("within 1s", "within 1s; wait at-most 2s", ["p wait at-most of default: 3 s -> 2 s, 1.5 times shorter (route 9)"]),
    ("attempts 5", "attempts 4", ["p attempts of 7: 5 -> 4"]),
    ("policy careful; ", "", ["p route 7 follows policy default instead of careful"]),
    (
        "repeat never",
        "repeat keyed for 6s",
        ["d repeat of fee-order: never -> keyed for 6s, wider: more messages may take effect twice"],
    ),
    (
        "keyed for 6s",
        "keyed for 7s",
        ["d repeat of event-notice: keyed for 6s -> keyed for 7s, wider: more messages may take effect twice"],
    ),
    ("keyed for 6s", "never", ["n repeat of event-notice: keyed for 6s -> never, narrower"]),
    ("4 per 1s", "9 per 1s", ["d limit of pojistovna: 4 per 1s -> 9 per 1s, 2.25 times higher"]),
    ("4 per 1s", "8 per 1s", ["n limit of pojistovna: 4 per 1s -> 8 per 1s, 2 times higher"]),
    ("4 per 1s", "4 per 1min", ["n limit of pojistovna: 4 per 1s -> 4 per 1min, 60 times lower"]),
    ("limit 4 per 1s", "", ["d limit of pojistovna: 4 per 1s -> none, nothing holds the sending back any more"]),
    ("4 per 1s", "240 per 1min", ["n limit of pojistovna: 4 per 1s -> 240 per 1min, the same in other words"]),
    (
        "a { at 10.3.0.18",
        "a { at 10.3.0.19",
        [
            "n endpoint a of pojistovna moves from 10.3.0.18:8081 to 10.3.0.19:8081: the old address gets no fresh "
            "work 1 s after it is applied"
        ],
    ),
    (
        "zone praha",
        "zone praha; state draining",
        ["n endpoint a of pojistovna drains: no fresh work 1 s after it is applied"],
    ),
    (
        "endpoint a {",
        "endpoint c {",
        [
            "n endpoint a of pojistovna (10.3.0.18:8081) is called c from now on: no fresh work 1 s "
            "after it is applied",
            "p endpoint c of pojistovna appears at 10.3.0.18:8081",
        ],
    ),
    (
        "endpoint z { at 10.4.0.1:8081 }",
        "endpoint z { at 10.4.0.1:8081; state draining }",
        [
            "d pool other has no endpoint left that may have fresh work",
            "d route 9 has no endpoint left that may have fresh work",
            "n endpoint z of other drains: no fresh work 1 s after it is applied",
        ],
    ),
    (
        "endpoint z { at 10.4.0.1:8081 }",
        "",
        [
            "d pool other has no endpoint left that may have fresh work",
            "d route 9 has no endpoint left that may have fresh work",
            "n endpoint z of other disappears: no fresh work 1 s after it is applied",
        ],
    ),
    ("route 9 { pool other; classes event-notice }", "", ["d route 9 disappears: its messages are turned away"]),
    (
        "classes event-notice",
        "classes fee-order",
        ["n route 9 carries event-notice no more", "p route 9 carries fee-order now"],
    ),
]


@pytest.mark.parametrize(("old", "new", "sentences"), SENTENCES)
def test_diff_describes_each_change_in_a_sentence_worst_first(old, new, sentences):
    assert describe_changes(old, new) == sentences


def test_the_sentence_for_an_endpoint_that_changes_its_pool_names_the_new_pool():
    was = SITE.replace("dial-within 10.3.0.0/16", "")
    moved = was.replace("endpoint a { at 10.3.0.18:8081; zone praha }", "").replace(
        "endpoint z {", "endpoint y { at 10.3.0.18:8081 }\n endpoint z {"
    )
    assert [change.text for change in diff.compare(site(was), site(moved))] == [
        "endpoint a of pojistovna (10.3.0.18:8081) changes to pool other, as y: no fresh work 1 s after it is applied",
        "endpoint y of other appears at 10.3.0.18:8081",
    ]


def test_an_endpoint_that_returns_keeps_its_id_and_one_with_a_new_address_gets_a_new_id():
    was, moved = site(SITE), site(SITE.replace("10.3.0.18", "10.3.0.19"))
    ids = [[entry.endpoint.id for entry in sender.entries(one)] for one in (was, moved, site(SITE))]
    assert ids[0] == ids[2]
    assert ids[0][0] == "pojistovna/a@10.3.0.18:8081"
    assert ids[1][0] == "pojistovna/a@10.3.0.19:8081"
    assert ids[1][1:] == ids[0][1:]


def test_a_routes_value_precedes_its_policys_and_the_default_policys():
    rows = {row.text: (row.origin, row.place and row.place.line) for row in explain.explain(site(SITE), "7")}
    assert rows["attempts 5"] == ("route 7", 13)
    assert rows["wait at-most 3s"] == ("policy careful", 5)
    assert rows["dial within 1s"] == ("policy default", 4)
    assert rows["idle-close 10s"] == ("built in", None)
    assert rows["limit 4 per 1s"] == ("pool pojistovna", 7)


def test_the_config_of_a_sender_holds_the_values_in_force():
    config = sender.config(site(SITE), "state", 5)
    assert config.settings.attempts == {}
    assert config.fleet.routes[7].attempts == 5
    assert config.fleet.routes[9].classes == {"event-notice"}
    assert config.fleet.routes[9].max_retry_after_us == 3_000_000
    assert not config.settings.polls_endpoint_list
    assert config.settings.weights == "told"
    first = config.fleet.entries[0]
    assert first.endpoint == Endpoint(
        "pojistovna/a@10.3.0.18:8081", "praha", "partner", 7, EndpointStatus.READY, 4.0, 0
    )
    assert (first.address, first.dial_us, first.idle_us) == (("10.3.0.18", 8081), 1_000_000, 10_000_000)


@pytest.mark.parametrize(
    "limit",
    [
        Rate(1, 10**6),
        Rate(4, 10**6),
        Rate(5, 10**6),
        Rate(40, 10**6),
        Rate(100, 10**5),
        Rate(600, 60 * 10**6),
        Rate(7, 300_000),
    ],
)
def test_the_calls_of_one_span_with_the_burst_never_exceed_the_limit(limit):
    rate, span = sender.calls_per_second(limit), limit.per_us / 1e6
    burst = max(1.0, rate * BURST_US / 1e6)
    if burst == 1:
        assert rate <= limit.count / span  # evenly spaced calls: a span holds at most the count
    else:
        assert burst + rate * span <= limit.count + 1e-9


def test_only_changes_that_need_a_restart_are_listed():
    now = sender.restart_only(site(SITE))
    live = SITE.replace("4 per 1s", "5 per 1s").replace("attempts 4", "attempts 3")
    assert sender.changes_needing_restart(now, site(live)) == []
    new = SITE.replace("deadline 24s; repeat never", "deadline 20s; repeat never") + "sender { slots 3 }\nzone b { }\n"
    assert sender.changes_needing_restart(now, site(new)) == [
        "site.scale:15: slots of sender is 3 in the file, and stays 12",
        "site.scale:2: deadline of class fee-order is 20s in the file, and stays 24s",
        "site.scale:16: zone b is new",
    ]


def test_the_example_json_survives_import_and_compile():
    table = json.loads((ROOT / "example" / "config.json").read_text())
    hosts = [
        {
            "host": f"s-{n}",
            "dial": f"10.1.0.{n}:80",
            "site": "a b",
            "class": "m2",
            "block": n % 2,
            "health": "terminating" if n == 3 else "in_service",
            "share": 2.5 if n == 2 else 1.0,
            "born_ms": 0,
        }
        for n in (1, 2, 3)
    ]
    table["known"] = {"seq": 1, "whole": True, "hosts": hosts}
    text, dropped = wire.from_platform_json(table | {"peers": []})
    assert dropped == ["peers: the language has no word for it"]
    again, lost = wire.to_platform_json(site(text))
    assert lost == []
    assert read_settings(again["settings"]) == read_settings(table["settings"])
    assert {key: again[key] for key in ("name", "listen", "discovery", "seed", "limits")} == {
        key: table[key] for key in ("name", "listen", "discovery", "seed", "limits")
    }
    assert sorted(again["known"]["hosts"], key=lambda row: row["host"]) == hosts


def test_compile_lists_what_the_json_cannot_represent():
    _, lost = wire.to_platform_json(site(SITE))
    assert lost == [
        "attempts of route 7: the platform's settings hold one policy, the default one",
        "classes of route 9: the platform's routes carry every class",
        "limit of pool pojistovna: with weights none answers report the limits",
        "dial-within of pool pojistovna: the platform's settings have no place for it",
    ]
