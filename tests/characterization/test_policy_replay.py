"""The engine performs the same actions for the same events as when the plays were recorded (see record.py)."""

from __future__ import annotations

from collections import Counter
from functools import cache

import pytest
from characterization import mapping, recording

SETTINGS_PLAY = "settings"


@cache
def rows_of(play):
    return recording.read(play)


def described(rows):
    """Return recorded rows with the names of their fields, one a line."""
    return "\n".join(f"    {row[0]} {mapping.SHAPES[row[0]].describe(row[1:])}" for row in rows) or "    (none)"


def first_difference(expected, found):
    for at in range(max(len(expected), len(found))):
        if recording.line(expected[at : at + 1]) != recording.line(found[at : at + 1]):
            return at
    return None


def query(engine, name, among):
    return mapping.learned_rates(engine) if name == "learned_rates" else mapping.allowances(engine, among)


@pytest.mark.parametrize("play", recording.play_names())
def test_the_recorded_events_give_the_recorded_actions(play):
    header, *steps = rows_of(play)
    engine = mapping.make_engine(mapping.SETTINGS.unpack(header["settings"]), header["seed"])
    for step, (now, events, actions, queries) in enumerate(steps):
        found = [mapping.pack(row) for row in mapping.handle(engine, now, [mapping.unpack(row) for row in events])]
        if recording.line(found) != recording.line(actions):
            at = first_difference(actions, found)
            pytest.fail(
                f"play {play}, step {step} at {now} us, action {at} differs\n  events:\n{described(events)}\n"
                f"  recorded:\n{described(actions[at : at + 1])}\n  now:\n{described(found[at : at + 1])}",
                pytrace=False,
            )
        for name, among, result in queries:
            answer = query(engine, name, among)
            if recording.line(answer) != recording.line(result):
                pytest.fail(
                    f"play {play}, step {step} at {now} us, {name} differs\n  recorded: {result}\n  now: {answer}",
                    pytrace=False,
                )


def test_the_settings_reader_accepts_and_rejects_what_it_did_when_recorded():
    for config, accepted, result in rows_of(SETTINGS_PLAY):
        try:
            found = (True, mapping.settings_from(config))
        except mapping.SettingsError as error:
            found = (False, str(error))
        assert recording.line(found) == recording.line((accepted, result)), recording.line(config)


def test_the_data_stay_small():
    assert sum(path.stat().st_size for path in recording.DATA.iterdir()) <= 1_500_000


# -- the plays together cover every kind


@pytest.fixture(scope="module")
def seen():
    """Return how often each kind occurs in the recordings, by (what, value)."""
    counts = Counter()
    for play in recording.play_names():
        header, *steps = rows_of(play)
        settings = mapping.SETTINGS.describe(header["settings"])
        classes = {name: mapping.MESSAGE_CLASS.describe(row) for name, row in settings["classes"].items()}
        counts["weights", settings["weights"]] += 1
        for key in ("cancelling", "ask", "halving"):
            counts[key, settings[key]] += 1
        for _, events, actions, queries in steps:
            counts.update(("query", name) for name, _, result in queries if result)
            counts.update(("action", row[0]) for row in actions)
            for row in events:
                count_event(counts, settings, classes, row[0], mapping.SHAPES[row[0]].describe(row[1:]))
    return counts


def count_event(counts, settings, classes, kind, event):
    counts["event", kind] += 1
    if kind in ("attempt_finished", "foreign_call_finished", "probe_finished"):
        counts[kind, event["outcome"]] += 1
        counts["Retry-After", event["outcome"], event["wait_us"] > settings["fall_us"]] += event["wait_us"] > 0
        counts.update(("report", settings["weights"], field) for field in event["report"])
    elif kind == "endpoints_listed":
        counts["list kind", event["kind"]] += 1
        for values in event["endpoints"]:
            endpoint = mapping.ENDPOINT.describe(values)
            counts["status", endpoint["status"]] += 1
            counts["operator's limit", settings["weights"], endpoint["weight"] > 0] += 1
            counts["apart", bool(settings["apart"].get(endpoint["kind"]))] += 1
            counts["batching", settings["per_call"].get(endpoint["kind"], 1) > 1] += 1
            counts["connection cap", endpoint["most_calls"] > 0] += 1
    elif kind == "message" and event["class_name"] in classes:
        rules = classes[event["class_name"]]
        counts["class", rules["effect"], rules["key_scope_zone"], rules["in_order"] and event["key"] is not None] += 1
        if event["restored"]:
            counts["restored", "attempts", event["attempts"] > 0] += 1
            counts["restored", "ran", event["ran_us"] is not None, event["ran_zone"] != ""] += 1
            counts["restored", "override", event["class_override"] is not None] += 1


def test_every_kind_of_event_outcome_and_list_is_recorded(seen):
    assert all(seen["event", shape.name] for shape in mapping.EVENTS)
    assert all(seen["attempt_finished", outcome] for outcome in mapping.OUTCOMES)
    assert all(seen["list kind", kind] for kind in mapping.LIST_KINDS)
    assert all(seen["status", status] for status in mapping.STATUSES)


def test_every_action_is_recorded_but_probes_which_the_engine_never_requests(seen):
    assert {shape.name for shape in mapping.ACTIONS if not seen["action", shape.name]} == {"probe"}


def test_every_form_of_limit_is_recorded(seen):
    assert all(seen["weights", form] for form in ("told", "rough", "nominal", "live", "none"))
    assert all(seen["operator's limit", "told", is_set] for is_set in (True, False))
    assert seen["report", "none", "x1"]
    assert seen["report", "none", "x0"]
    assert all(seen["Retry-After", "full", beyond_window] for beyond_window in (True, False))


def test_every_class_of_message_and_form_of_settings_is_recorded(seen):
    effects = [
        ("safe", False, False),
        ("keyed", False, False),
        ("keyed", True, False),
        ("unsafe", False, False),
        ("unsafe", False, True),
    ]
    assert all(seen["class", *form] for form in effects)
    assert {effect for effect, _, _ in effects} == mapping.EFFECTS
    flags = ("apart", "batching", "connection cap", "cancelling", "ask", "halving")
    assert all(seen[what, flag] for what in flags for flag in (True, False))


def test_restarts_and_queries_are_recorded(seen):
    assert all(seen["restored", what, flag] for what in ("attempts", "override") for flag in (True, False))
    assert all(seen["restored", "ran", *form] for form in ((False, False), (True, False), (True, True)))
    assert seen["query", "learned_rates"]
    assert seen["query", "allowances"]
