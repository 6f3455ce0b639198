"""A configuration from its files to its meaning, in one call. The files come from whoever calls."""
from __future__ import annotations

from dataclasses import dataclass

from scalefall.lang.include import Files, Loader
from scalefall.lang.meaning import understand
from scalefall.lang.model import Site
from scalefall.lang.syntax import Document
from scalefall.lang.text import Problem, Problems


@dataclass(slots=True)
class Loaded:
    """site is whole and may be used only where usable is true."""
    site: Site
    documents: list[Document]
    problems: list[Problem]
    errors: int

    @property
    def usable(self) -> bool:
        return not self.errors

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
