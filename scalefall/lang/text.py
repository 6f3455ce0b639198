"""Places in files and the problems found there, as every other module of the language reports them. No I/O."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

ERROR = "error"
WARNING = "warning"


class Place(NamedTuple):
    """A position in a file: line and column count from 1, length is in characters."""

    file: str
    line: int
    column: int = 1
    length: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(slots=True, frozen=True)
class Problem:
    """One fault (ERROR), or one construct that is valid but suspicious (WARNING)."""

    severity: str
    code: str  # stable identifier for editors and tests
    place: Place
    text: str  # what is wrong
    instead: str = ""  # what to write instead
    also: tuple[tuple[Place, str], ...] = ()  # related places, each with its role
    fatal: bool = False  # the first file cannot be read, so nothing was checked

    def sort_key(self) -> tuple[str, int, int, str, str]:
        return self.place.file, self.place.line, self.place.column, self.severity, self.text


class InvalidValue(Exception):
    """Raised for an invalid value: what is wrong, what to write instead, and the index of the faulty word."""

    def __init__(self, text: str, instead: str = "", word: int = 0, code: str = "value") -> None:
        super().__init__(text)
        self.text, self.instead, self.word, self.code = text, instead, word, code


@dataclass(slots=True)
class Problems:
    """Collects problems; a repeated problem at the same place is recorded once."""

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
    """Return the known word closest to the given one; empty if none is close."""
    choices = list(known)
    lower = {choice.lower(): choice for choice in choices}
    if word.lower() in lower:
        return lower[word.lower()]
    return next(iter(difflib.get_close_matches(word, choices, 1, 0.6)), "")


def suggestion(word: str, known: Iterable[str], what: str = "one of") -> str:
    """Return a hint for an unknown word: the closest known word if there is one, otherwise the choices."""
    choices = sorted(known)
    found = closest_match(word, choices)
    if found:
        return f"did you mean {found}?"
    if not choices:
        return ""
    shown = ", ".join(choices[:12]) + (", ..." if len(choices) > 12 else "")
    return f"{what} {shown}"


def join_words(words: Iterable[str]) -> str:
    """Return the words as one phrase: `a, b and c`."""
    items = list(words)
    return items[0] if len(items) == 1 else f"{', '.join(items[:-1])} and {items[-1]}" if items else ""


def pluralize(number: int, word: str) -> str:
    """Return the number with its noun: `1 endpoint`, `2 endpoints`."""
    return f"{number:,} {word}" + ("" if number == 1 else "s")
