"""Includes: which files belong to a configuration, and in which order. A `Files` object provides the files.

Each path is relative to the folder of the including file and never leads out of the root, the folder of the first
file. Each file is read once.
"""

from __future__ import annotations

import fnmatch
import posixpath
import re
from dataclasses import dataclass
from typing import Protocol

from scalefall.lang.syntax import Document, Statement, parse, value_of
from scalefall.lang.text import Place, Problems, closest_match

MAX_INCLUDE_DEPTH = 16  # of nested includes
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_TOTAL_BYTES = 32 * 1024 * 1024
MAX_FILES = 10_000
GLOB = re.compile(r"[*?\[]")


class Files(Protocol):
    """A source of files. Paths are relative to the root, with slashes; errors are OSErrors with a readable text."""

    def read(self, path: str, max_bytes: int) -> bytes:
        """Return the content of a regular file, cut after `max_bytes` and one more byte."""

    def names(self, folder: str) -> list[str]:
        """Return the names in a folder; none if there is no such folder."""

    def inside(self, path: str) -> bool:
        """Return whether the path, with its links resolved, is below the root."""

    def shown(self, path: str) -> str:
        """Return the path as messages show it."""


@dataclass(slots=True, frozen=True)
class _Step:
    """One file of an include chain, and the place of the include; None for the first file."""

    path: str
    place: Place | None


class Loader:
    """Reads a file and all that it includes into documents, in order; problems are collected and never raised."""

    def __init__(self, files: Files, problems: Problems, follow: bool = True) -> None:
        self._files, self._problems, self._follow = files, problems, follow
        self._read: dict[str, Place | None] = {}
        self._total_bytes = 0
        self.documents: list[Document] = []
        self.raw = b""  # of the file read last

    def load(self, path: str) -> list[Document]:
        self._load([_Step(posixpath.normpath(path), None)])
        return self.documents

    def _load(self, chain: list[_Step]) -> None:
        step = chain[-1]
        data = self._bytes(step)
        if data is None:
            return
        shown = self._files.shown(step.path)
        self._read[step.path], self.raw = step.place, data
        text = self._text(data, shown)
        document = parse(text, shown, self._problems)
        self.documents.append(document)
        for statement in document.statements if self._follow else ():
            if statement.name == "include" and statement.body is None:
                self._include(document, statement, chain)

    def _bytes(self, step: _Step) -> bytes | None:
        shown = self._files.shown(step.path)
        place = step.place or Place(shown, 1)
        if len(self._read) >= MAX_FILES:
            self._problems.error("many", place, f"more than {MAX_FILES:,} files in all")
            return None
        try:
            data = self._files.read(step.path, MAX_FILE_BYTES)
        except OSError as error:
            fault = error.strerror or str(error)
            self._problems.error(
                "unreadable",
                place,
                f"{shown} cannot be read: {fault}",
                self._suggest_name(step),
                fatal=step.place is None,
            )
            return None
        self._total_bytes += len(data)
        if len(data) > MAX_FILE_BYTES:
            self._problems.error(
                "large",
                place,
                f"{shown} is larger than {MAX_FILE_BYTES // 2**20} MiB",
                "split it into files and include them",
                fatal=step.place is None,
            )
            return None
        if self._total_bytes > MAX_TOTAL_BYTES:
            self._problems.error(
                "large",
                place,
                f"with {shown} all files together are larger than {MAX_TOTAL_BYTES // 2**20} MiB",
                fatal=step.place is None,
            )
            return None
        return data

    def _suggest_name(self, step: _Step) -> str:
        folder, name = posixpath.split(step.path)
        others = [each for each in self._files.names(folder) if posixpath.join(folder, each) not in self._read]
        found = closest_match(name, others)
        return f"did you mean {found}?" if found and found != name else ""

    def _text(self, data: bytes, shown: str) -> str:
        try:
            return data.decode()
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            column = len(data[data.rfind(b"\n", 0, error.start) + 1 : error.start].decode(errors="replace")) + 1
            self._problems.error(
                "encoding",
                Place(shown, line, column),
                f"byte {data[error.start]:#04x} is not UTF-8",
                "save the file as UTF-8",
            )
            return data.decode(errors="replace")

    def _include(self, document: Document, statement: Statement, chain: list[_Step]) -> None:
        words = statement.words[1:]
        if len(words) != 1 or words[0].type not in ("STRING", "WORD"):
            faulty = words[1] if len(words) > 1 else statement.words[0]
            if not words or words[0].type != "BADSTRING":
                self._problems.error(
                    "include", document.place(faulty), "include takes one path", 'write include "partners/*.scale"'
                )
            return
        place, include_path = document.place(words[0]), value_of(words[0])
        fault = _path_fault(include_path)
        if fault:
            self._problems.error(
                "include",
                place,
                f"{include_path!r} {fault}",
                "includes are relative and stay below the folder of the first file",
            )
            return
        if len(chain) >= MAX_INCLUDE_DEPTH:
            self._problems.error("include", place, f"includes more than {MAX_INCLUDE_DEPTH} deep")
            return
        path = posixpath.normpath(posixpath.join(posixpath.dirname(chain[-1].path), include_path))
        found = self._matching(path) if GLOB.search(include_path) else [path]
        if not found:
            self._problems.warn("include", place, f"no file matches {include_path}")
        for each in found:
            self._include_one(each, place, chain)

    def _include_one(self, path: str, place: Place, chain: list[_Step]) -> None:
        if not self._files.inside(path):
            self._problems.error(
                "include", place, f"{self._files.shown(path)} leads out of the configuration's folder over a link"
            )
            return
        step = _Step(path, place)
        loop_start = next((index for index, one in enumerate(chain) if one.path == path), None)
        if loop_start is not None:
            self._report_loop([*chain[loop_start:], step])
        elif path in self._read:
            first = self._read[path]
            self._problems.warn(
                "include",
                place,
                f"{self._files.shown(path)} is included already; it is read once",
                "",
                [(first, "first here")] if first else [],
            )
        else:
            self._load([*chain, step])

    def _report_loop(self, chain: list[_Step]) -> None:
        """Report an include loop: each of its steps with its line."""
        steps = [f"{step.place.file}:{step.place.line} includes {self._files.shown(step.path)}" for step in chain[1:]]
        self._problems.error(
            "loop",
            chain[-1].place,
            "includes in a loop: " + ", ".join(steps),
            "take one of them out",
            [(step.place, f"includes {self._files.shown(step.path)}") for step in chain[1:-1]],
        )

    def _matching(self, pattern: str) -> list[str]:
        """Return the paths that match, sorted by name within each folder."""
        found = [""]
        parts = pattern.split("/")
        for index, part in enumerate(parts):
            if not GLOB.search(part):
                found = [posixpath.join(folder, part) for folder in found]
                continue
            found = [
                posixpath.join(folder, name)
                for folder in found
                for name in sorted(self._files.names(folder))
                if fnmatch.fnmatchcase(name, part) and not name.startswith(".")
            ]
            if index < len(parts) - 1:
                found = [folder for folder in found if self._files.names(folder)]
        return found


def _path_fault(include_path: str) -> str:
    if not include_path:
        return "is empty"
    if include_path.startswith(("/", "~")) or re.match(r"[A-Za-z]:", include_path):
        return "is not a relative path"
    if "\\" in include_path:
        return "has a backslash; paths have slashes"
    if ".." in include_path.split("/"):
        return "leads upwards"
    if "\0" in include_path or not include_path.isprintable():
        return "has characters that a path cannot have"
    return ""
