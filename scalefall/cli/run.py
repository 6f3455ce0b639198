"""`scalefall run`: a complete sender on a file of its own, with no platform."""
from __future__ import annotations

import os
import secrets

import click

from scalefall.cli import logs, output
from scalefall.cli.output import option
from scalefall.lang import files, load, render
from scalefall.lang.schema import address
from scalefall.lang.text import Wrong


def _address(context: click.Context, parameter: click.Parameter, value: str | None) -> tuple[str, int] | None:
    try:
        return None if value is None else address(value)
    except Wrong as wrong:
        raise click.BadParameter(f"{wrong.text}; {wrong.instead}") from None


def _folder(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not os.path.isdir(value):
        raise click.BadParameter(f"{value} is not a folder")
    if not os.access(value, os.W_OK | os.X_OK):
        raise click.BadParameter(f"{value} cannot be written")
    return value


@click.command(epilog="""\b
Example:
  scalefall run --config site.scale --state /var/lib/scalefall --log-format json
\b
SIGHUP reads the configuration again: endpoints, limits, policies and routes change at once or not at all.
SIGTERM ends it within 3.3 s; what it owes stays in the folder. Exit code 2: it could not start.""")
@option("--config", "path", type=click.Path(), default=files.ROOT_FILE, show_default=True,
        help="The configuration's file, or a folder with a site.scale.")
@option("--state", required=True, callback=_folder, help="The folder that lasts. Nothing else is written.")
@option("--name", help="Goes before the file's name.")
@option("--listen", metavar="ADDRESS:PORT", callback=_address, help="Goes before the file's listen.")
@option("--reports", metavar="ADDRESS:PORT", callback=_address, help="Goes before the file's reports.")
@option("--log-level", type=click.Choice(logs.LEVELS), default="info", show_default=True,
        help="debug follows every message.")
@option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True,
        help="Lines for people, or one JSON object each.")
def run(path: str, state: str, name: str | None, listen: tuple[str, int] | None, reports: tuple[str, int] | None,
        log_level: str, log_format: str) -> None:
    """Start a sender on a configuration, and serve until SIGTERM."""
    from dataclasses import replace

    from scalefall.lang import sender
    from scalefall.net.config import Config, ConfigError
    from scalefall.net.host import run as serve
    site = output.usable(path).site
    logs.set_up(log_level, log_format)
    seed = int(site.sender.get("seed"), 16) if "seed" in site.sender.values else secrets.randbits(64)
    flags = {key: value for key, value in (("name", name), ("listen", listen), ("reports", reports)) if value}
    start = replace(sender.config(site, state, seed), **flags)

    if site.sender.get("discovery") is not None:
        logs.log.warning("discovery of the sender is not asked: the endpoints are the file's")
    if start.reports is None:
        logs.log.warning("no reports address: ends of messages that are given up are told in this log only")

    def read_again() -> Config:
        """Runs beside the sending; what it raises leaves everything as it was."""
        try:
            loaded = load.load(*files.locate(path))
        except OSError as error:
            raise ConfigError(f"{path}: {error.strerror or error}") from error
        if not loaded.usable:
            raise ConfigError("\n".join(render.line(each) for each in loaded.problems if each.severity == "error"))
        return replace(sender.config(loaded.site, state, seed), left=tuple(sender.cannot_change(site, loaded.site)))

    try:
        serve(start, read_again)
    except OSError as error:
        output.cannot_run(f"{error.strerror or error}")
