"""A configuration from its files to its meaning, in one call. The files come from whoever calls."""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.lang.include import Files, Loader
from scalefall.lang.meaning import understand
from scalefall.lang.model import Def, Site
from scalefall.lang.syntax import Document
from scalefall.lang.text import ERROR, Place, Problem, Problems


@dataclass(slots=True)
class Loaded:
    """site is whole and may be used only where usable is true."""

    site: Site
    documents: list[Document]
    problems: list[Problem]
    errors: int
    raw: bytes = b""  # as it was read, where it is a single file

    @property
    def usable(self) -> bool:
        return not self.errors

    @property
    def wrong(self) -> list[Problem]:
        """The errors alone, for who has no use for warnings."""
        return [problem for problem in self.problems if problem.severity == ERROR]

    @property
    def fatal(self) -> bool:
        """The first file could not be read, so nothing was checked."""
        return any(problem.fatal for problem in self.problems)

    def source(self) -> dict[str, list[str]]:
        """The lines of each file, for messages."""
        return {document.file: document.lines for document in self.documents}


def load(files: Files, path: str) -> Loaded:
    problems = Problems()
    documents = Loader(files, problems).load(path)
    site = understand(files.shown(path), documents, problems)
    return Loaded(site, documents, problems.sorted(), problems.errors)


def single(files: Files, path: str) -> Loaded:
    """One file's shape alone: what it includes is not read, and what it says is not understood."""
    problems = Problems()
    loader = Loader(files, problems, follow=False)
    documents, nowhere = loader.load(path), Place(files.shown(path), 1)
    site = Site(files.shown(path), Def("sender", "", nowhere), Def("rules", "", nowhere))
    return Loaded(site, documents, problems.sorted(), problems.errors, loader.raw)


class _Given:
    """A text that is there already, as the only file."""

    def __init__(self, data: bytes, name: str) -> None:
        self._data, self._name = data, name

    def read(self, path: str, most: int) -> bytes:
        if path != self._name:
            raise FileNotFoundError(0, "there is no other file")
        return self._data[: most + 1]

    def names(self, folder: str) -> list[str]:
        return []

    def inside(self, path: str) -> bool:
        return True

    def shown(self, path: str) -> str:
        return path


def single_text(data: bytes, name: str) -> Loaded:
    return single(_Given(data, name), name)


def text(data: bytes, name: str) -> Loaded:
    """A configuration that is one text, with its meaning; an include in it finds nothing."""
    return load(_Given(data, name), name)
