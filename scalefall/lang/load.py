"""Loads a configuration from its files and analyzes it, in one call. The caller provides the files."""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.lang.include import Files, Loader
from scalefall.lang.meaning import analyze
from scalefall.lang.model import Definition, Site
from scalefall.lang.syntax import Document
from scalefall.lang.text import ERROR, Place, Problem, Problems


@dataclass(slots=True)
class LoadResult:
    """A loaded configuration. `site` is complete, and may be used, only if `usable` is true."""

    site: Site
    documents: list[Document]
    problems: list[Problem]
    error_count: int
    raw: bytes = b""  # the bytes of the file read last

    @property
    def usable(self) -> bool:
        return not self.error_count

    @property
    def error_problems(self) -> list[Problem]:
        """Return the errors without the warnings."""
        return [problem for problem in self.problems if problem.severity == ERROR]

    @property
    def fatal(self) -> bool:
        """Whether the first file could not be read, so that nothing was checked."""
        return any(problem.fatal for problem in self.problems)

    def source(self) -> dict[str, list[str]]:
        """Return the lines of each file, for messages."""
        return {document.file: document.lines for document in self.documents}


def load(files: Files, path: str) -> LoadResult:
    """Load and analyze a file and all that it includes."""
    problems = Problems()
    documents = Loader(files, problems).load(path)
    site = analyze(files.shown(path), documents, problems)
    return LoadResult(site, documents, problems.sorted(), problems.error_count)


def load_syntax(files: Files, path: str) -> LoadResult:
    """Parse one file only: its includes are not read, and its statements are not analyzed."""
    problems = Problems()
    loader = Loader(files, problems, follow=False)
    documents, nowhere = loader.load(path), Place(files.shown(path), 1)
    site = Site(files.shown(path), Definition("sender", "", nowhere), Definition("rules", "", nowhere))
    return LoadResult(site, documents, problems.sorted(), problems.error_count, loader.raw)


class _InMemoryFile:
    """A text in memory, as the only file."""

    def __init__(self, data: bytes, name: str) -> None:
        self._data, self._name = data, name

    def read(self, path: str, max_bytes: int) -> bytes:
        if path != self._name:
            raise FileNotFoundError(0, "there is no other file")
        return self._data[: max_bytes + 1]

    def names(self, folder: str) -> list[str]:
        return []

    def inside(self, path: str) -> bool:
        return True

    def shown(self, path: str) -> str:
        return path


def load_syntax_text(data: bytes, name: str) -> LoadResult:
    """Parse one text only, as `load_syntax` does for a file."""
    return load_syntax(_InMemoryFile(data, name), name)


def load_text(data: bytes, name: str) -> LoadResult:
    """Load a configuration from one text; an include in it finds no file."""
    return load(_InMemoryFile(data, name), name)
