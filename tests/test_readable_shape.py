"""Bounds on the size of files, classes and functions in the packages listed here."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
CHECKED_PATHS = (
    "scalefall/adapter.py",
    "scalefall/errors.py",
    "scalefall/settings_reader.py",
    "scalefall/assignment",
    "scalefall/control",
    "scalefall/net",
    "scalefall/policy",
)
EXEMPT_FILES = {"settings_reader.py"}
MAX_LINES = {"file": 400, "class": 250, "function": 40}


def checked_sources():
    for name in CHECKED_PATHS:
        path = ROOT / name
        assert path.exists(), name
        found = [path] if path.is_file() else sorted(path.rglob("*.py"))
        yield from [source for source in found if source.name not in EXEMPT_FILES]


def oversized(path, text):
    """Yield what exceeds its bound, as (kind, name, number of lines)."""
    if text.count("\n") > MAX_LINES["file"]:
        yield "file", path.name, text.count("\n")
    for node in ast.walk(ast.parse(text)):
        match node:
            case ast.ClassDef(name=name):
                kind = "class"
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                kind = "function"
            case _:
                continue
        length = node.end_lineno - node.lineno + 1
        if length > MAX_LINES[kind]:
            yield kind, name, length


@pytest.mark.parametrize("path", checked_sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_files_classes_and_functions_are_within_their_bounds(path):
    assert list(oversized(path, path.read_text())) == []


@pytest.mark.parametrize(
    ("kind", "text"),
    [
        ("file", "\n" * 401),
        ("class", "class A:\n" + "    a = 1\n" * 250),
        ("function", "def f():\n" + "    a = 1\n" * 40),
        ("function", "async def f():\n" + "    a = 1\n" * 40),
    ],
)
def test_exceeding_a_bound_is_detected(kind, text):
    assert [row[0] for row in oversized(ROOT / "a.py", text)] == [kind]
