"""Properties of every text: formatting keeps it, `diff` is empty only for equal meanings, and reading never raises."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from scalefall.lang import explain, format, load, render, wire
from scalefall.lang.diff import as_json, as_text, compare
from scalefall.lang.syntax import equivalent_statements, parse
from scalefall.lang.text import Problems

some_examples = settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)

# -- texts of any structure, in any layout

WORDS = st.sampled_from(["pool", "a", "3s", "10.3.0.1:80", '"x y"', '"q\\"z"', "-", "\u0159\u00edz", "x" * 60])
GAPS = st.sampled_from([" ", "   ", ", ", ",\n  ", " ,"])
ENDS = st.sampled_from([";", "\n", "\n\n\n", " ; ", "  # behind\n", "\n# alone  \n", ";\n;\n"])


@st.composite
def heads(draw):
    text = draw(WORDS)
    for _ in range(draw(st.integers(0, 4))):
        text += draw(GAPS) + draw(WORDS)
    return text


def blocks(inner):
    opens = st.sampled_from([" {", " {\n", " { # opened\n", " {\n\n  # first\n"])
    closes = st.sampled_from([" }", "\n}", "\n  # last\n}"])
    body = st.lists(st.tuples(inner, ENDS), max_size=4).map(lambda rows: "".join(map("".join, rows)))
    return st.builds("{}{}{}{}".format, heads(), opens, body, closes)


TEXTS = st.lists(st.tuples(st.recursive(heads(), blocks, max_leaves=8), ENDS), max_size=6).map(
    lambda rows: "".join(map("".join, rows))
)


def parsed(text):
    problems = Problems()
    document = parse(text, "f", problems)
    assert not problems.error_count, problems.sorted()
    return document


@some_examples
@given(TEXTS)
def test_formatting_keeps_statements_and_comments_and_is_idempotent(text):
    document = parsed(text)
    formatted = format.layout(document)
    parsed_again = parsed(formatted)
    assert equivalent_statements(document.statements, parsed_again.statements)
    assert [comment.rstrip() for comment in document.comments] == [
        comment.rstrip() for comment in parsed_again.comments
    ]
    assert format.layout(parsed_again) == formatted


# -- whole configurations


def lines(**choices):
    """Return a strategy for at most one line per word."""
    return st.tuples(
        *(
            st.sampled_from(["", *(f"{word.replace('_', '-')} {value}\n" for value in values)])
            for word, values in choices.items()
        )
    ).map("".join)


ENDPOINTS = st.sampled_from(
    [
        "",
        "endpoint a { at 10.3.0.1:80 }\n",
        "endpoint a { at 10.3.0.1:80; zone here; state ready }\n",
        "endpoint a { at 10.3.0.2:80 }\n",
        "endpoint a { at 10.3.0.1:80; state draining }\n",
        "endpoints b { at 10.3.0.1-10.3.0.3:80 }\n",
        "endpoint b-1 { at 10.3.0.1:80 }\nendpoint b-2 { at 10.3.0.2:80 }\n",
        "endpoint a { at 10.3.0.1:80; zone brno; weight 2 }\n",
    ]
)
POLICY = {
    "attempts": ["6", "4"],
    "wait": ["at-most 3s", "at-most 3000ms", "at-most 3ms"],
    "dial": ["within 1500ms", "within 1s"],
}


@st.composite
def sites(draw):
    classes = draw(st.sampled_from([["a"], ["a", "b"], ["b"]]))
    text = draw(lines(tick=["5ms", "0.005s"], disk=["3MB", "3000kB"], seed=["0", "ff"])).join(["sender {\n", "}\n"])
    text += draw(lines(cold=["10s"], drain_grace=["1s", "2s"])).join(["rules {\n", "}\n"])
    for name in classes:
        repeat = draw(st.sampled_from(["never", "freely", "keyed for 6s", "keyed for 6000ms", "keyed for 6s in-zone"]))
        text += f"class {name} {{ aim 3s; deadline 24s; repeat {repeat}\n" + draw(lines(worth=["1", "1.0"])) + "}\n"
    for name in ("default", "careful"):
        text += f"policy {name} {{\n{draw(lines(**POLICY))}}}\n"
    for name in ("p", "q")[: draw(st.integers(1, 2))]:
        pool = draw(
            lines(
                limit=["4 per 1s", "240 per 1min", "20 per 1s"],
                idle_close=["10s", "9s"],
                dial_within=["10.0.0.0/8, 0.0.0.0/0", "0.0.0.0/0, 10.0.0.0/8"],
            )
        )
        rows = draw(ENDPOINTS).replace(":80", ":80" if name == "p" else ":81")
        text += f"pool {name} {{\n{pool}{rows}}}\n"
        if draw(st.booleans()):
            carried = draw(
                st.sampled_from(
                    ["", "classes every\n", f"classes {', '.join(reversed(classes))}\n", f"classes {classes[0]}\n"]
                )
            )
            rules = draw(lines(policy=["careful", "default"], attempts=["4", "5"]))
            text += f"route {'78'['pq'.index(name)]} {{ pool {name}\n{rules}{carried}}}\n"
    return text


def site(text):
    loaded = load.load_text(text.encode(), "f")
    assert loaded.usable, render.text(loaded.problems, loaded.source())
    return loaded.site


@some_examples
@given(sites(), sites())
def test_diff_is_empty_exactly_if_the_meanings_are_equal(one, other):
    old, new = site(one), site(other)
    assert compare(old, old) == compare(new, site(one if one == other else other)) == []
    changes = compare(old, new)
    assert (changes == []) == (old.meaning() == new.meaning())
    assert len(set(changes)) == len(changes)
    assert as_text(changes)
    assert as_json(changes)


@some_examples
@given(sites())
def test_formatting_keeps_the_meaning(text):
    assert site(format.layout(parsed(text))).meaning() == site(text).meaning()


@some_examples
@given(sites())
def test_import_of_the_compiled_json_gives_the_same_settings_and_limits(text):
    table, _ = wire.to_platform_json(site(text))
    again, _ = wire.to_platform_json(site(wire.from_platform_json(table)[0]))
    assert again["settings"] == table["settings"]
    assert again["limits"] == table["limits"]


@some_examples
@given(sites())
def test_every_route_can_be_explained(text):
    read = site(text)
    for name in read.definitions("route"):
        rows = explain.explain(read, name)
        assert all(row.place or row.origin == "built in" for row in rows)
        assert explain.as_text(name, rows)
        assert explain.as_json(name, rows)


# -- arbitrary input

SOUP = st.lists(
    st.sampled_from(
        [
            "{",
            "}",
            '"',
            ";",
            "\n",
            "#",
            ",",
            " ",
            "\\",
            "pool",
            "route 7",
            "class a",
            "aim",
            "endpoint x",
            "endpoints",
            "at",
            "10.3.0.1",
            "10.0.0.1-10.0.0.9:80",
            "per",
            "3",
            "3s",
            "include",
            '"*"',
            "limit",
            "classes",
            "repeat keyed for",
            "wait at-most",
            "\0",
            "\r",
            "\u2028",
            "-",
            "%",
            "=",
            "dial-within",
            "0.0.0.0/0",
            "sender",
            "number",
            "of",
        ]
    )
).map("".join)


@some_examples
@given(st.one_of(st.binary(max_size=200), SOUP.map(str.encode)))
def test_reading_arbitrary_input_never_raises(data):
    loaded = load.load_text(data, "f")
    assert render.text(loaded.problems, loaded.source())
    assert render.as_json(loaded.problems)
    assert all(problem.place.line >= 1 and problem.place.column >= 1 for problem in loaded.problems)
    if not loaded.documents[0].broken:
        format.layout(loaded.documents[0])
