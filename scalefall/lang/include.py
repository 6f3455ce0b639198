"""Includes: which files belong to a configuration, and in which order. The files themselves come from a Files.

Paths are relative to the folder of the first file, the root, and never lead out of it. Each file is read once.
"""

from __future__ import annotations

import fnmatch
import posixpath
import re
from dataclasses import dataclass
from typing import Protocol

from scalefall.lang.syntax import Document, Statement, parse, value_of
from scalefall.lang.text import Place, Problems, closest_match

MAX_INCLUDE_DEPTH = 16  # files that include files
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_TOTAL_BYTES = 32 * 1024 * 1024
MAX_FILES = 10_000
GLOB = re.compile(r"[*?\[]")


class Files(Protocol):
    """Where files come from; paths are relative to the root, with slashes. Errors are OSErrors with a plain text."""

    def read(self, path: str, max_bytes: int) -> bytes:
        """At most `most` bytes and one more of a regular file."""

    def names(self, folder: str) -> list[str]:
        """What stands in a folder; none where there is no such folder."""

    def inside(self, path: str) -> bool:
        """False if the path leads out of the root, over links."""

    def shown(self, path: str) -> str:
        """The path as the user is to see it."""


@dataclass(slots=True, frozen=True)
class _Step:
    """One file on the way to the one being read, and where it was included."""

    path: str
    place: Place | None


class Loader:
    """Reads a file and all that it includes into documents, in order; problems are gathered, none is raised."""

    def __init__(self, files: Files, problems: Problems, follow: bool = True) -> None:
        self._files, self._problems, self._follow = files, problems, follow
        self._read: dict[str, Place | None] = {}
        self._total = 0
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
            why = error.strerror or str(error)
            self._problems.error(
                "unreadable", place, f"{shown} cannot be read: {why}", self._neighbour(step), fatal=step.place is None
            )
            return None
        self._total += len(data)
        if len(data) > MAX_FILE_BYTES:
            self._problems.error(
                "large",
                place,
                f"{shown} is larger than {MAX_FILE_BYTES // 2**20} MiB",
                "split it into files and include them",
                fatal=step.place is None,
            )
            return None
        if self._total > MAX_TOTAL_BYTES:
            self._problems.error(
                "large",
                place,
                f"with {shown} all files together are larger than {MAX_TOTAL_BYTES // 2**20} MiB",
                fatal=step.place is None,
            )
            return None
        return data

    def _neighbour(self, step: _Step) -> str:
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
            at = words[1] if len(words) > 1 else statement.words[0]
            if not words or words[0].type != "BADSTRING":
                self._problems.error(
                    "include", document.place(at), "include takes one path", 'write include "partners/*.scale"'
                )
            return
        place, wanted = document.place(words[0]), value_of(words[0])
        why = _leads_out(wanted)
        if why:
            self._problems.error(
                "include",
                place,
                f"{wanted!r} {why}",
                "includes are relative and stay below the folder of the first file",
            )
            return
        if len(chain) >= MAX_INCLUDE_DEPTH:
            self._problems.error("include", place, f"includes more than {MAX_INCLUDE_DEPTH} deep")
            return
        path = posixpath.normpath(posixpath.join(posixpath.dirname(chain[-1].path), wanted))
        found = self._matching(path) if GLOB.search(wanted) else [path]
        if not found:
            self._problems.warn("include", place, f"no file matches {wanted}")
        for each in found:
            self._one(each, place, chain)

    def _one(self, path: str, place: Place, chain: list[_Step]) -> None:
        if not self._files.inside(path):
            self._problems.error(
                "include", place, f"{self._files.shown(path)} leads out of the configuration's folder over a link"
            )
            return
        step = _Step(path, place)
        at = next((n for n, one in enumerate(chain) if one.path == path), None)
        if at is not None:
            self._loop([*chain[at:], step])
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

    def _loop(self, chain: list[_Step]) -> None:
        """The whole way round, each step with the line that takes it."""
        steps = [f"{step.place.file}:{step.place.line} includes {self._files.shown(step.path)}" for step in chain[1:]]
        self._problems.error(
            "loop",
            chain[-1].place,
            "includes in a loop: " + ", ".join(steps),
            "take one of them out",
            [(step.place, f"includes {self._files.shown(step.path)}") for step in chain[1:-1]],
        )

    def _matching(self, pattern: str) -> list[str]:
        """Paths that match, in the order of their names, folder by folder."""
        found = [""]
        parts = pattern.split("/")
        for n, part in enumerate(parts):
            if not GLOB.search(part):
                found = [posixpath.join(folder, part) for folder in found]
                continue
            found = [
                posixpath.join(folder, name)
                for folder in found
                for name in sorted(self._files.names(folder))
                if fnmatch.fnmatchcase(name, part) and not name.startswith(".")
            ]
            if n < len(parts) - 1:
                found = [folder for folder in found if self._files.names(folder)]
        return found


def _leads_out(wanted: str) -> str:
    if not wanted:
        return "is empty"
    if wanted.startswith(("/", "~")) or re.match(r"[A-Za-z]:", wanted):
        return "is not a relative path"
    if "\\" in wanted:
        return "has a backslash; paths have slashes"
    if ".." in wanted.split("/"):
        return "leads upwards"
    if "\0" in wanted or not wanted.isprintable():
        return "has characters that a path cannot have"
    return ""
