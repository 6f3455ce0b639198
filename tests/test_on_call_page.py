"""Each constant log message at WARNING or above stands on the on-call page, in the words that the code has.

A message's fields are written there as upper-case words: `journal: cannot write (%s)` is `journal: cannot write (WHY)`.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "operate" / "on-call.md"
PACKAGES = ("net", "control")
LEVELS = frozenset(("warning", "error", "exception", "critical"))
LOGGERS = frozenset(("log", "logger"))
FIELD = re.compile(r"%[-+ #0]*\d*(?:\.\d+)?[sdifrgx]")
FIELD_ON_PAGE = r"[A-Z][A-Z0-9]*(?:[ ,][A-Z][A-Z0-9]*)*"
CODE_SPAN = re.compile(r"`([^`\n]+)`")


def message_templates(source: str, path: str) -> Iterator[tuple[str, str]]:
    """Each message logged at WARNING or above: where, and its template. A template has to be constant."""
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Call(func=ast.Attribute(value=ast.Name(id=logger), attr=level), args=[template, *_]) if (
                logger in LOGGERS and level in LEVELS
            ):
                where = f"{path}:{node.lineno}"
                assert isinstance(template, ast.Constant), f"{where}: the event of a log line is not constant"
                yield where, template.value


def all_templates() -> list[tuple[str, str]]:
    paths = sorted(path for package in PACKAGES for path in (ROOT / "scalefall" / package).rglob("*.py"))
    return [
        row
        for path in paths
        for row in message_templates(path.read_text(encoding="utf-8"), path.relative_to(ROOT).as_posix())
    ]


def is_on_page(template: str, page: str) -> bool:
    """Whether one code span of the page is the whole message, with words in the place of its fields."""
    pattern = re.compile(FIELD_ON_PAGE.join(re.escape(part) for part in FIELD.split(template)) + r"\Z")
    return any(pattern.match(span) for span in CODE_SPAN.findall(page))


def test_every_message_at_warning_or_above_is_on_the_page() -> None:
    page = PAGE.read_text(encoding="utf-8")
    templates = all_templates()
    assert templates, "no log call was found: has the logger another name?"
    assert [f"{where}: {template}" for where, template in templates if not is_on_page(template, page)] == []


@pytest.mark.parametrize(
    ("template", "page", "expected"),
    [
        ("journal: cannot write (%s)", "| `journal: cannot write (WHY)` | ... |", True),
        ("journal: cannot write (%s)", "| `journal: cannot write` | ... |", False),
        ("journal: cannot write (%s)", "| journal: cannot write (WHY) | ... |", False),
        ("%s %s failed", "`notice: ID failed`", False),
        ("%s %s failed", "`KIND NAME failed`", True),
        ("cannot accept: %s", "`cannot accept: WHY`", True),
        ("answer of %s cannot be used: status %d", "`answer of ENDPOINT cannot be used: STATUS`", False),
    ],
)
def test_a_message_is_found_whole_and_in_backticks_only(template: str, page: str, expected: bool) -> None:
    assert is_on_page(template, page) is expected


def test_calls_are_found_by_logger_and_level() -> None:
    source = "log.info('a')\nlog.warning('b %s', 1)\nlogger.exception('c')\nother.error('d')\nself.log.error('e')\n"
    assert list(message_templates(source, "m.py")) == [("m.py:2", "b %s"), ("m.py:3", "c")]


def test_an_event_that_is_not_constant_is_an_error() -> None:
    with pytest.raises(AssertionError, match="not constant"):
        list(message_templates("log.error(text)\n", "m.py"))
