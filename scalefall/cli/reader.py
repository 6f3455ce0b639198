"""Reads a configuration for a sender in a process of its own, as reading a large one takes seconds of a processor.

Read in a thread of the sender, 20,000 endpoints made hand-ins wait 133 ms in the middle and 435 ms at the worst
hundredth, for the interpreter's lock; the sender needs neither the parser nor its memory otherwise. The two processes
speak over pipes, in pickles: a request; then a Read, or a Wrong, and the endpoints in pieces, so that taking them in
holds the sender up for a few milliseconds at a time.
"""

from __future__ import annotations

import pickle
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from scalefall.net.config import Config, ConfigError, Fleet
from scalefall.net.list_stream import Entry, ListUpdate

ENDPOINTS_PER_CHUNK = 200  # endpoints
TIMEOUT_S = 120


@dataclass(slots=True)
class Request:
    path: str
    state: str
    seed: int  # where the file has none
    flags: dict[str, Any]  # values of the Config that go before the file's
    restart_only: dict[str, Any] | None  # what the running sender cannot change, where there is one


@dataclass(slots=True)
class ReadResult:
    config: Config  # without its endpoints
    restart_only: dict[str, Any]
    start_warnings: list[str]  # worth a line in the log at the start


@dataclass(slots=True)
class ConfigurationErrors:
    text: str  # as `scalefall check` prints it
    lines: list[str]  # for a log
    fatal: bool  # the file itself could not be read


class InvalidConfigurationError(ConfigError):
    """The configuration has errors."""

    def __init__(self, errors: ConfigurationErrors) -> None:
        super().__init__("\n".join(errors.lines))
        self.errors = errors


# -- the sender's side


def read(request: Request) -> ReadResult:
    """The configuration, read elsewhere; Unusable if it has errors, ConfigError if it could not be read at all."""
    try:
        done = subprocess.run(
            [sys.executable, "-m", "scalefall.cli.reader"],
            input=pickle.dumps(request),
            capture_output=True,
            timeout=TIMEOUT_S,
            start_new_session=True,
        )
    except (OSError, subprocess.SubprocessError) as error:
        raise ConfigError(f"{request.path} cannot be read: {error}") from error
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().splitlines()[-1:] or [f"exit code {done.returncode}"]
        raise ConfigError(f"{request.path} cannot be read: {last[0]}")
    return _taken(memoryview(done.stdout))


def _taken(data: memoryview) -> ReadResult:
    first, at = _next(data, 0)
    if isinstance(first, ConfigurationErrors):
        raise InvalidConfigurationError(first)
    entries: list[Entry] = []
    while at < len(data):
        piece, at = _next(data, at)
        entries += piece
    config: Config = first.config
    first.config = replace(config, known=ListUpdate(1, True, entries), fleet=Fleet(entries, config.fleet.routes))
    return first


def _next(data: memoryview, at: int) -> tuple[Any, int]:
    length = int.from_bytes(data[at : at + 8], "big")
    return pickle.loads(data[at + 8 : at + 8 + length]), at + 8 + length


# -- the reading process


def respond(request: Request, put: Callable[[Any], None]) -> None:
    """Read what is asked for, and hand the answer's parts to put."""
    import gc

    from scalefall.lang import files, load, render, sender

    gc.disable()
    try:
        loaded = load.load(*files.locate(request.path))
    except OSError as error:
        line = f"{request.path}: {error.strerror or error}"
        put(ConfigurationErrors(f"scalefall: {line}\n", [line], True))
        return
    if not loaded.usable:
        put(
            ConfigurationErrors(
                render.text(loaded.error_problems, loaded.source()),
                [render.line(each) for each in loaded.error_problems],
                loaded.fatal,
            )
        )
        return
    config = replace(sender.config(loaded.site, request.state, request.seed), **request.flags)
    left = sender.changes_needing_restart(request.restart_only, loaded.site) if request.restart_only else []
    bare = replace(
        config, known=ListUpdate(1, True, []), fleet=Fleet([], config.fleet.routes), needs_restart=tuple(left)
    )
    put(ReadResult(bare, sender.restart_only(loaded.site), sender.start_warnings(config, loaded.site)))
    for at in range(0, len(config.fleet.entries), ENDPOINTS_PER_CHUNK):
        put(config.fleet.entries[at : at + ENDPOINTS_PER_CHUNK])


def main() -> None:
    def put(part: Any) -> None:
        data = pickle.dumps(part, pickle.HIGHEST_PROTOCOL)
        sys.stdout.buffer.write(len(data).to_bytes(8, "big") + data)

    respond(pickle.load(sys.stdin.buffer), put)
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    from scalefall.cli import reader  # under its own name, so that both sides mean the same classes

    reader.main()
