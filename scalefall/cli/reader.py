"""Reads a configuration for a sender in a separate process, as a large one takes seconds of processor time.

In a thread of the sender, reading 20,000 endpoints delayed requests by 133 ms at the median and 435 ms at the 99th
percentile because of the interpreter's lock; the sender also has no other use for the parser and its memory. The
processes exchange pickles over pipes: a Request; then ConfigurationErrors, or a ReadResult and the endpoints in chunks,
so that decoding them blocks the sender for only a few milliseconds at a time.
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

ENDPOINTS_PER_CHUNK = 200
TIMEOUT_S = 120


@dataclass(slots=True)
class Request:
    """What to read, and for which sender."""

    path: str
    state: str
    seed: int  # used if the file has none
    flags: dict[str, Any]  # values of the Config that override the file's
    restart_only: dict[str, Any] | None  # what the running sender cannot change; None at a start


@dataclass(slots=True)
class ReadResult:
    """A valid configuration."""

    config: Config  # without its endpoints
    restart_only: dict[str, Any]
    start_warnings: list[str]  # logged at the start, a line each


@dataclass(slots=True)
class ConfigurationErrors:
    """The errors of an invalid or unreadable configuration."""

    text: str  # as `scalefall check` prints them
    lines: list[str]  # one per error, for a log
    fatal: bool  # the file itself could not be read


class InvalidConfigurationError(ConfigError):
    """Raised when the configuration has errors."""

    def __init__(self, errors: ConfigurationErrors) -> None:
        super().__init__("\n".join(errors.lines))
        self.errors = errors


# -- the sender's side


def read(request: Request) -> ReadResult:
    """Read a configuration in a separate process.

    Raises:
        InvalidConfigurationError: The configuration has errors.
        ConfigError: The process failed.
    """
    try:
        completed = subprocess.run(
            [sys.executable, "-m", "scalefall.cli.reader"],
            input=pickle.dumps(request),
            capture_output=True,
            timeout=TIMEOUT_S,
            start_new_session=True,
        )
    except (OSError, subprocess.SubprocessError) as error:
        raise ConfigError(f"{request.path} cannot be read: {error}") from error
    if completed.returncode:
        last_line = completed.stderr.decode(errors="replace").strip().splitlines()[-1:] or [
            f"exit code {completed.returncode}"
        ]
        raise ConfigError(f"{request.path} cannot be read: {last_line[0]}")
    return _decode_response(memoryview(completed.stdout))


def _decode_response(data: memoryview) -> ReadResult:
    head, offset = _decode_part(data, 0)
    if isinstance(head, ConfigurationErrors):
        raise InvalidConfigurationError(head)
    entries: list[Entry] = []
    while offset < len(data):
        chunk, offset = _decode_part(data, offset)
        entries += chunk
    config: Config = head.config
    head.config = replace(config, known=ListUpdate(1, True, entries), fleet=Fleet(entries, config.fleet.routes))
    return head


def _decode_part(data: memoryview, offset: int) -> tuple[Any, int]:
    length = int.from_bytes(data[offset : offset + 8], "big")
    return pickle.loads(data[offset + 8 : offset + 8 + length]), offset + 8 + length


# -- the reading process


def respond(request: Request, put: Callable[[Any], None]) -> None:
    """Read the requested configuration, and pass each part of the response to `put`."""
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
    needs_restart = sender.changes_needing_restart(request.restart_only, loaded.site) if request.restart_only else []
    without_endpoints = replace(
        config, known=ListUpdate(1, True, []), fleet=Fleet([], config.fleet.routes), needs_restart=tuple(needs_restart)
    )
    put(ReadResult(without_endpoints, sender.restart_only(loaded.site), sender.start_warnings(config, loaded.site)))
    for offset in range(0, len(config.fleet.entries), ENDPOINTS_PER_CHUNK):
        put(config.fleet.entries[offset : offset + ENDPOINTS_PER_CHUNK])


def main() -> None:
    def put(part: Any) -> None:
        data = pickle.dumps(part, pickle.HIGHEST_PROTOCOL)
        sys.stdout.buffer.write(len(data).to_bytes(8, "big") + data)

    respond(pickle.load(sys.stdin.buffer), put)
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    from scalefall.cli import reader  # imported by its own name, so that pickles name the same classes on both sides

    reader.main()
