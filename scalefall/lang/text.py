"""Places in files and problems found there: what every other part of the language reports with. No I/O."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

ERROR, WARNING = "error", "warning"


class Place(NamedTuple):
    """Where something stands: lines and columns count from 1, length is in characters."""

    file: str
    line: int
    column: int = 1
    length: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Problem:
    """One thing that is wrong (ERROR) or legal but suspicious (WARNING)."""

    severity: str
    code: str  # a stable word for editors and tests
    place: Place
    text: str  # what is wrong
    instead: str = ""  # what to write instead
    also: tuple[tuple[Place, str], ...] = ()  # other places that belong to it, each with a word on its part
    fatal: bool = False  # the file asked for itself cannot be read: nothing was checked

    def sort_key(self) -> tuple[str, int, int, str, str]:
        return self.place.file, self.place.line, self.place.column, self.severity, self.text


class InvalidValue(Exception):
    """A value that can't be used: what is wrong, what to write instead, and which of its words is at fault."""

    def __init__(self, text: str, instead: str = "", word: int = 0, code: str = "value") -> None:
        super().__init__(text)
        self.text, self.instead, self.word, self.code = text, instead, word, code


@dataclass(slots=True)
class Problems:
    """Gathers problems; the same one at the same place is kept once."""

    found: dict[tuple[str, Place, str], Problem] = field(default_factory=dict)

    def error(
        self,
        code: str,
        place: Place,
        text: str,
        instead: str = "",
        also: Iterable[tuple[Place, str]] = (),
        fatal: bool = False,
    ) -> None:
        self.add(Problem(ERROR, code, place, text, instead, tuple(also), fatal))

    def warn(
        self, code: str, place: Place, text: str, instead: str = "", also: Iterable[tuple[Place, str]] = ()
    ) -> None:
        self.add(Problem(WARNING, code, place, text, instead, tuple(also)))

    def add(self, problem: Problem) -> None:
        self.found.setdefault((problem.code, problem.place, problem.text), problem)

    def sorted(self) -> list[Problem]:
        return sorted(self.found.values(), key=Problem.sort_key)

    @property
    def error_count(self) -> int:
        return sum(1 for problem in self.found.values() if problem.severity == ERROR)

    @property
    def warning_count(self) -> int:
        return len(self.found) - self.error_count


def closest_match(word: str, known: Iterable[str]) -> str:
    """The known word that was probably meant; empty if none is near."""
    choices = list(known)
    lower = {choice.lower(): choice for choice in choices}
    if word.lower() in lower:
        return lower[word.lower()]
    return next(iter(difflib.get_close_matches(word, choices, 1, 0.6)), "")


def suggestion(word: str, known: Iterable[str], what: str = "one of") -> str:
    """Help on an unknown word: the near name if there is one, otherwise the choices."""
    choices = sorted(known)
    found = closest_match(word, choices)
    if found:
        return f"did you mean {found}?"
    if not choices:
        return ""
    shown = ", ".join(choices[:12]) + (", ..." if len(choices) > 12 else "")
    return f"{what} {shown}"


def join_words(words: Iterable[str]) -> str:
    """a, b and c"""
    rows = list(words)
    return rows[0] if len(rows) == 1 else f"{', '.join(rows[:-1])} and {rows[-1]}" if rows else ""


def pluralize(number: int, word: str) -> str:
    """1 endpoint, 2 endpoints"""
    return f"{number:,} {word}" + ("" if number == 1 else "s")
