"""A configuration from its files to its meaning, in one call. The files come from whoever calls."""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.lang.include import Files, Loader
from scalefall.lang.meaning import analyze
from scalefall.lang.model import Definition, Site
from scalefall.lang.syntax import Document
from scalefall.lang.text import ERROR, Place, Problem, Problems


@dataclass(slots=True)
class LoadResult:
    """site is whole and may be used only where usable is true."""

    site: Site
    documents: list[Document]
    problems: list[Problem]
    error_count: int
    raw: bytes = b""  # as it was read, where it is a single file

    @property
    def usable(self) -> bool:
        return not self.error_count

    @property
    def error_problems(self) -> list[Problem]:
        """The errors alone, for who has no use for warnings."""
        return [problem for problem in self.problems if problem.severity == ERROR]

    @property
    def fatal(self) -> bool:
        """The first file could not be read, so nothing was checked."""
        return any(problem.fatal for problem in self.problems)

    def source(self) -> dict[str, list[str]]:
        """The lines of each file, for messages."""
        return {document.file: document.lines for document in self.documents}


def load(files: Files, path: str) -> LoadResult:
    problems = Problems()
    documents = Loader(files, problems).load(path)
    site = analyze(files.shown(path), documents, problems)
    return LoadResult(site, documents, problems.sorted(), problems.error_count)


def load_syntax(files: Files, path: str) -> LoadResult:
    """One file's shape alone: what it includes is not read, and what it says is not understood."""
    problems = Problems()
    loader = Loader(files, problems, follow=False)
    documents, nowhere = loader.load(path), Place(files.shown(path), 1)
    site = Site(files.shown(path), Definition("sender", "", nowhere), Definition("rules", "", nowhere))
    return LoadResult(site, documents, problems.sorted(), problems.error_count, loader.raw)


class _Given:
    """A text that is there already, as the only file."""

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
    return load_syntax(_Given(data, name), name)


def load_text(data: bytes, name: str) -> LoadResult:
    """A configuration that is one text, with its meaning; an include in it finds nothing."""
    return load(_Given(data, name), name)
