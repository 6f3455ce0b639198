"""The files, tests, modules, classes and constants that the pages name exist.

A name is checked if it stands in backticks on a page and has one of these forms:

    `net/journal.py`, `on-call.md`, `scalefall/lab/`    a file or directory whose path ends like this
    `test_restart`                                      a test module, or a test function
    `calls_that_hang_..`                                the beginning of a test function's name, without `test_`
    `scalefall.net.config.Config`                       a module, or what it defines
    `EndpointList.replaced`, `http.MAX_HEAD`            what a class or a module of that name defines
    `EndpointList`, `_restore`, `SILENT_US`             a class, a private name, a constant, wherever it is defined
    `net/journal.py`: `compact`, `_load`                names that occur in that file

Anything else in backticks (words of a log line, settings, commands) is not checked. In indented diagrams, which have no
backticks, names of files that end in `.py` are checked.
"""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TREES = ("scalefall", "tests", "benchmarks", "example", "deploy", "docs", ".ci")
PAGES = sorted(
    [
        ROOT / "README.md",
        *(ROOT / "docs").glob("*.md"),
        *(ROOT / "docs" / "design").glob("*.md"),
        *(ROOT / "docs" / "operate").glob("*.md"),
        *(ROOT / "docs" / "capacity").glob("*.md"),
        *(ROOT / "docs" / "incidents").glob("*.md"),
    ]
)
EXTERNAL_NAMES = {
    "ShouldRateLimit": "a method of Envoy's rate limit service",
}
CONFIGURATION = ("limits", "settings", "sender")  # objects of the configuration, whose keys look like attributes
ENVIRONMENT = ("RELAY_", "SCALEFALL_")  # prefixes of environment variables, which look like constants

NAMES_IN_FILE = re.compile(r"`([\w./-]+\.py)`: (`\w+`(?:, `\w+`)*)")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
INDENTED_FILE = re.compile(r"(?<!\S)[\w./-]+\.py(?!\S)")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
FILE = re.compile(r"[\w.][\w./-]*\.(?:py|md)\Z")
DIRECTORY = re.compile(r"(?:[\w.-]+/)+\Z")
TEST = re.compile(r"test_\w+\Z")
TEST_PREFIX = re.compile(r"(\w*_)\.{2,3}\Z")
TEST_MIDDLE = re.compile(r"\.{2,3}(_\w+_)\.{2,3}\Z")
DOTTED_MODULE = re.compile(r"scalefall(?:\.\w+)+\Z")
ATTRIBUTE = re.compile(r"(\w+)\.(\w+)\Z")
CLASS = re.compile(r"[A-Z][a-z]{2,}[a-z0-9]*(?:[A-Z][a-z0-9]+)*\Z")
PRIVATE = re.compile(r"_[a-z]\w*\Z")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+\Z")


@dataclass
class DefinedNames:
    """The names that the repository defines."""

    files: set[str] = field(default_factory=set)  # paths from the root
    directories: set[str] = field(default_factory=set)  # paths from the root, each with a slash at the end
    in_modules: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by the last part of its name
    in_dotted: dict[str, set[str]] = field(default_factory=dict)  # by the module's dotted name
    in_classes: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    functions: set[str] = field(default_factory=set)
    bases: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    everything: set[str] = field(default_factory=set)  # every defined or assigned name

    def has_attribute(self, owner: str, name: str) -> bool:
        """Return whether a class (or one of its bases) or a module named owner defines the name."""
        found = self.in_classes.get(owner, set()) | self.in_modules.get(owner, set())
        return name in found or any(self.has_attribute(base, name) for base in self.bases.get(owner, ()))

    def has_dotted(self, name: str) -> bool:
        """Return whether the dotted name is a module, or a name that a module defines."""
        if name in self.in_dotted:
            return True
        module, _, attribute = name.rpartition(".")
        return attribute in self.in_dotted.get(module, set())


def defined_names(node: ast.stmt) -> Iterator[str]:
    """Yield the names that one statement in the body of a module or class defines."""
    match node:
        case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.ClassDef():
            yield node.name
        case ast.Assign():
            for target in node.targets:
                yield from (part.id for part in ast.walk(target) if isinstance(part, ast.Name))
        case ast.AnnAssign(target=ast.Name(id=name)):
            yield name
        case ast.If() | ast.Try():
            for child in ast.iter_child_nodes(node):
                if isinstance(child, ast.stmt):
                    yield from defined_names(child)


def assigned_attributes(node: ast.AST) -> Iterator[str]:
    """Yield the names of the attributes that are assigned anywhere inside a class."""
    for part in ast.walk(node):
        if isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
            yield part.attr


def read_module(path: Path, names: DefinedNames) -> None:
    relative = path.relative_to(ROOT)
    tree = ast.parse(path.read_text(encoding="utf-8"))
    defined = {name for node in tree.body for name in defined_names(node)}
    parts = relative.with_suffix("").parts
    if parts[-1] == "__init__":
        parts = parts[:-1]
    names.in_modules[parts[-1]] |= defined
    names.in_dotted[".".join(parts)] = defined
    names.everything |= defined
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            inside = {name for part in node.body for name in defined_names(part)} | set(assigned_attributes(node))
            names.in_classes[node.name] |= inside
            names.bases[node.name] |= {base.id for base in node.bases if isinstance(base, ast.Name)}
            names.everything |= inside
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.functions.add(node.name)
            names.everything.add(node.name)


@cache
def code_names() -> DefinedNames:
    names = DefinedNames()
    paths = [path for tree in TREES for path in (ROOT / tree).rglob("*") if "__pycache__" not in path.parts]
    for path in [*paths, *ROOT.glob("*"), *(ROOT / tree for tree in TREES)]:
        relative = path.relative_to(ROOT).as_posix()
        if path.is_dir():
            names.directories.add(relative + "/")
        else:
            names.files.add(relative)
        if path.suffix == ".py" and path.is_file():
            read_module(path, names)
    return names


def ends_with(paths: set[str], wanted: str) -> bool:
    return any(path == wanted or path.endswith("/" + wanted) for path in paths)


def fault(span: str, names: DefinedNames) -> str:
    """Return what is wrong with a code span that has the form of a name, else an empty string."""
    word = span.split()[0] if span.strip() else ""
    call = re.sub(r"\(.*\)\Z", "", span)
    if FILE.match(word):
        return "" if ends_with(names.files, word) else "no such file"
    if DIRECTORY.match(span):
        return "" if ends_with(names.directories, span) else "no such directory"
    if TEST.match(span):
        return "" if span in names.functions or ends_with(names.files, f"{span}.py") else "no such test"
    if found := TEST_PREFIX.match(span):
        return "" if has_test(names, found[1].removeprefix("test_"), at_start=True) else "no test name begins with this"
    if found := TEST_MIDDLE.match(span):
        return "" if has_test(names, found[1], at_start=False) else "no test name contains this"
    if DOTTED_MODULE.match(call):
        return "" if names.has_dotted(call) else "no such module, nor anything of this name in one"
    if (found := ATTRIBUTE.match(call)) and found[1] not in CONFIGURATION and is_owner(found[1], names):
        return "" if names.has_attribute(found[1], found[2]) else f"{found[1]} defines no {found[2]}"
    if CLASS.match(call) or PRIVATE.match(call) or CONSTANT.match(call):
        known = call in names.everything or call in EXTERNAL_NAMES or call.startswith(ENVIRONMENT)
        return "" if known else "defined nowhere"
    return ""


def is_owner(name: str, names: DefinedNames) -> bool:
    """Return whether the name before a dot is a module or a class, or has the form of a class name."""
    return name in names.in_classes or name in names.in_modules or CLASS.match(name) is not None


def has_test(names: DefinedNames, text: str, at_start: bool) -> bool:
    return any(
        name.startswith("test_" + text) if at_start else text in name
        for name in names.functions
        if name.startswith("test_")
    )


def faults(text: str, names: DefinedNames) -> list[str]:
    """Return the names on a page that do not exist, each with its line number."""
    text = FENCE.sub(lambda found: "\n" * found[0].count("\n"), text)
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        spans = (INDENTED_FILE if line.startswith("    ") else CODE_SPAN).findall(line)
        found += [f"{number}: `{span}`: {why}" for span in spans if (why := fault(span, names))]
        found += [f"{number}: {why}" for why in absent_from_files(line, names)]
    return found


def absent_from_files(line: str, names: DefinedNames) -> list[str]:
    """Return the names that a line attributes to a file and that do not occur in it."""
    absent = []
    for path, listed in NAMES_IN_FILE.findall(line):
        files = [file for file in names.files if file == path or file.endswith("/" + path)]
        words = {word for file in files for word in re.findall(r"\w+", (ROOT / file).read_text(encoding="utf-8"))}
        absent += [f"`{name}`: not in {path}" for name in CODE_SPAN.findall(listed) if name not in words]
    return absent


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.relative_to(ROOT).as_posix())
def test_pages_name_only_existing_code(page: Path) -> None:
    found = faults(page.read_text(encoding="utf-8"), code_names())
    assert not found, "\n" + "\n".join(found)


def test_missing_names_are_reported() -> None:
    broken = [
        "net/never_there.py",
        "docs/never-there.md",
        "scalefall/never_there/",
        "test_never_there",
        "a_name_of_no_test_..",
        "scalefall.net.never_there",
        "scalefall.net.config.never_there",
        "Config.never_there",
        "Never.there",
        "NeverThere",
        "_never_there",
        "NEVER_THERE_US",
    ]
    found = faults("".join(f"text `{name}` text\n" for name in broken), code_names())
    assert [line.split("`")[1] for line in found] == broken
    absent = faults("`net/config.py`: `Config`, `never_there`\n", code_names())
    assert absent == ["1: `never_there`: not in net/config.py"]
    assert faults("    client --> net/never_there.py   parses\n", code_names()) == [
        "1: `net/never_there.py`: no such file"
    ]


def test_existing_names_and_other_text_are_not_reported() -> None:
    names = code_names()
    text = "`net/config.py` `test_pages_name_only_existing_code` `scalefall.net.config.Config` `Config.listen` `x0`"
    assert faults(text + " `SCALEFALL_LOG` `scalefall run --config site.scale` `journal: write failed`", names) == []
