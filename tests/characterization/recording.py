"""Files of the recorded plays: compressed JSON lines, with the same bytes for the same content."""

from __future__ import annotations

import json
import lzma
from pathlib import Path
from typing import Any
from collections.abc import Iterable

DATA = Path(__file__).parent / "data"


def line(value: Any) -> str:
    """Return the value as one compact line of JSON; infinity is written as Python's json module reads it."""
    return json.dumps(value, separators=(",", ":"))


def write(name: str, rows: Iterable[Any]) -> int:
    """Write the rows as ``data/NAME.jsonl.xz`` and return the size in bytes."""
    content = "".join(line(row) + "\n" for row in rows).encode()
    packed = lzma.compress(content, preset=9 | lzma.PRESET_EXTREME)
    (DATA / f"{name}.jsonl.xz").write_bytes(packed)
    return len(packed)


def read(name: str) -> list[Any]:
    """Return the rows of ``data/NAME.jsonl.xz``."""
    text = lzma.decompress((DATA / f"{name}.jsonl.xz").read_bytes()).decode()
    return [json.loads(row) for row in text.splitlines()]


def play_names() -> list[str]:
    """Return the names of all recorded plays of the engine."""
    return sorted(path.name.removesuffix(".jsonl.xz") for path in DATA.glob("play-*.jsonl.xz"))
