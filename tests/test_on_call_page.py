"""The on-call page lists every log message at WARNING or above with the text that the code has.

The page writes a message's fields as upper-case words: `configuration: %s` is `configuration: WHY`.
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
    """Yield the place and template of each message logged at WARNING or above; a template has to be constant."""
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
    """Return whether a code span of the page is the complete message, with a word for each field."""
    pattern = re.compile(FIELD_ON_PAGE.join(re.escape(part) for part in FIELD.split(template)) + r"\Z")
    return any(pattern.match(span) for span in CODE_SPAN.findall(page))


def test_every_message_at_warning_or_above_is_on_the_page() -> None:
    page = PAGE.read_text(encoding="utf-8")
    templates = all_templates()
    assert templates, "no log call found: the logger's name may have changed"
    assert [f"{where}: {template}" for where, template in templates if not is_on_page(template, page)] == []


@pytest.mark.parametrize(
    ("template", "page", "expected"),
    [
        ("load report cannot be read: %.80r", "| `load report cannot be read: VALUE` | ... |", True),
        ("load report cannot be read: %.80r", "| `load report cannot be read` | ... |", False),
        ("load report cannot be read: %.80r", "| load report cannot be read: VALUE | ... |", False),
        ("size (bytes): %d", "`size (bytes): SIZE`", True),
        ("%s %s failed", "`delivery report: ID failed`", False),
        ("%s %s failed", "`KIND NAME failed`", True),
        ("configuration: %s", "`configuration: WHY`", True),
        ("answer cannot be used: endpoint %s, status %d", "`answer cannot be used: endpoint ENDPOINT, STATUS`", False),
    ],
)
def test_only_a_complete_message_in_backticks_is_found(template: str, page: str, expected: bool) -> None:
    assert is_on_page(template, page) is expected


def test_log_calls_are_found_by_logger_and_level() -> None:
    source = "log.info('a')\nlog.warning('b %s', 1)\nlogger.exception('c')\nother.error('d')\nself.log.error('e')\n"
    assert list(message_templates(source, "m.py")) == [("m.py:2", "b %s"), ("m.py:3", "c")]


def test_an_event_that_is_not_constant_is_an_error() -> None:
    with pytest.raises(AssertionError, match="not constant"):
        list(message_templates("log.error(text)\n", "m.py"))
