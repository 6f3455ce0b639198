"""Formats problems as text for people and as JSON for editors. No I/O; the caller supplies the colours."""

from __future__ import annotations

import json
from collections.abc import Callable

from scalefall.lang.text import ERROR, Place, Problem, pluralize

Paint = Callable[[str, str], str]  # takes a text and its style: error, warning, place, help
MAX_EXCERPT_COLUMNS = 160  # of a longer source line, only the part around the fault is shown


def no_paint(text: str, _style: str) -> str:
    return text


def lines(problem: Problem, sources: dict[str, list[str]], paint: Paint = no_paint) -> list[str]:
    """Return the lines of a problem: place and text, the source line, carets below it, and what to write instead."""
    rows = [f"{paint(str(problem.place), 'place')}: {paint(problem.severity, problem.severity)}: {problem.text}"]
    rows += _excerpt(problem.place, sources, paint, problem.severity)
    if problem.instead:
        rows.append(f"  {paint('instead:', 'help')} {problem.instead}")
    for place, note in problem.also:
        rows.append(f"  {paint(str(place), 'place')}: {note}")
        rows += _excerpt(place, sources, paint, "help")
    return rows


def _excerpt(place: Place, sources: dict[str, list[str]], paint: Paint, style: str) -> list[str]:
    source = sources.get(place.file, [])
    if not 0 < place.line <= len(source) or not source[place.line - 1].strip():
        return []
    text, column = "".join(char if char.isprintable() else " " for char in source[place.line - 1]), place.column - 1
    start = max(0, column - MAX_EXCERPT_COLUMNS // 2) if len(text) > MAX_EXCERPT_COLUMNS else 0
    shown = text[start : start + MAX_EXCERPT_COLUMNS].rstrip()
    length = max(1, min(place.length, len(shown) - (column - start)))
    number = str(place.line)
    return [f"  {number} | {shown}", f"  {' ' * len(number)} | {' ' * (column - start)}{paint('^' * length, style)}"]


def text(problems: list[Problem], sources: dict[str, list[str]], paint: Paint = no_paint) -> str:
    """Return every problem, then the numbers of errors and warnings."""
    rows = []
    for problem in problems:
        rows += [*lines(problem, sources, paint), ""]
    return "\n".join([*rows, summary(problems)]) + "\n"


def summary(problems: list[Problem]) -> str:
    errors = sum(problem.severity == ERROR for problem in problems)
    return f"{pluralize(errors, 'error')}, {pluralize(len(problems) - errors, 'warning')}"


def line(problem: Problem) -> str:
    """Return a problem in one line, for a log."""
    return f"{problem.place}: {problem.text}" + (f"; {problem.instead}" if problem.instead else "")


def as_json(problems: list[Problem]) -> str:
    """Return one object: version, problems (lines and columns count from 1), and their numbers."""
    rows = [
        {
            "severity": each.severity,
            "code": each.code,
            **each.place._asdict(),
            "text": each.text,
            "instead": each.instead,
            "also": [{**place._asdict(), "text": note} for place, note in each.also],
        }
        for each in problems
    ]
    errors = sum(problem.severity == ERROR for problem in problems)
    return (
        json.dumps({"version": 1, "errors": errors, "warnings": len(problems) - errors, "problems": rows}, indent=1)
        + "\n"
    )
