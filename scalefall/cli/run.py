"""`scalefall run`: a sender configured by a file, without the platform."""

from __future__ import annotations

import os
import secrets
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import click

from scalefall.cli import logs, output, reader
from scalefall.cli.output import option
from scalefall.lang.files import ROOT_FILE
from scalefall.net.config import Config, ConfigError, read_address
from scalefall.net.logs import log
from scalefall.net.sender import run as serve


def _address(context: click.Context, parameter: click.Parameter, value: str | None) -> tuple[str, int] | None:
    try:
        return None if value is None else read_address(value, "it")
    except ConfigError as error:
        raise click.BadParameter(str(error)) from None


def writable_folder(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Check that an option names a folder that can be written."""
    if not os.path.isdir(value):
        raise click.BadParameter(f"{value} is not a folder")
    if not os.access(value, os.W_OK | os.X_OK):
        raise click.BadParameter(f"{value} cannot be written")
    return value


def configuration(path: str, state: str, flags: dict[str, Any]) -> tuple[reader.ReadResult, Callable[[], Config]]:
    """Return the configuration to start with and a function that reads it again; on errors, print them and exit."""
    request = reader.Request(path, state, secrets.randbits(64), flags, None)
    try:
        start = reader.read(request)
    except reader.InvalidConfigurationError as error:
        click.echo(error.errors.text, err=True, nl=False)
        raise SystemExit(output.CANNOT_RUN if error.errors.fatal else output.ERRORS) from None
    except ConfigError as error:
        output.cannot_run(str(error))

    def read_again() -> Config:
        """Read the configuration for a reload; an exception leaves the sender unchanged."""
        return reader.read(replace(request, restart_only=start.restart_only)).config

    return start, read_again


@click.command(
    epilog="""\b
Example:
  scalefall run --config site.scale --state /var/lib/scalefall --log-format json
\b
SIGHUP reads the configuration again: endpoints, limits, policies and routes change together or not at all.
SIGTERM stops it within 3.3 s; pending work stays in the folder. Exit code 2: it could not start."""
)
@option(
    "--config",
    "path",
    type=click.Path(),
    default=ROOT_FILE,
    show_default=True,
    help="Read this configuration: a file, or a folder with a site.scale.",
)
@option(
    "--state",
    required=True,
    callback=writable_folder,
    help="Keep persistent state in this folder; write nothing elsewhere.",
)
@option("--name", help="Override the file's name.")
@option("--listen", metavar="ADDRESS:PORT", callback=_address, help="Override the file's listen.")
@option("--reports", metavar="ADDRESS:PORT", callback=_address, help="Override the file's reports.")
@option(
    "--log-level",
    type=click.Choice(logs.LEVELS),
    default="info",
    show_default=True,
    help="Log this level and above; debug logs each message.",
)
@option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Log text lines, or one JSON object per line.",
)
def run(
    path: str,
    state: str,
    name: str | None,
    listen: tuple[str, int] | None,
    reports: tuple[str, int] | None,
    log_level: str,
    log_format: str,
) -> None:
    """Run a sender with a configuration until SIGTERM."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a SIGHUP before the sender is ready must not end it
    flags = {key: value for key, value in (("name", name), ("listen", listen), ("reports", reports)) if value}
    start, read_again = configuration(path, state, flags)
    logs.set_up(log_level, log_format)
    for line in start.start_warnings:
        log.warning("%s", line)
    try:
        serve(start.config, read_again)
    except OSError as error:
        output.cannot_run(f"{error.strerror or error}")
