"""What the commands share: options, colours, exit codes and the printing of problems."""

from __future__ import annotations

import gc
import os
from collections.abc import Callable
from typing import Any, NoReturn

import click

from scalefall.lang import files, load, render

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}
OK = 0
DIFFERS = 1
ERRORS = 1
CANNOT_RUN = 2
DANGEROUS = 3
STYLES: dict[str, dict[str, Any]] = {
    "error": {"fg": "red", "bold": True},
    "warning": {"fg": "yellow", "bold": True},
    "help": {"fg": "cyan"},
    "place": {"bold": True},
    "dangerous": {"fg": "red", "bold": True},
    "notable": {"fg": "yellow"},
}


def paint(text: str, style: str) -> str:
    """Return the text in the colours of a style; click removes them if the output is not a terminal."""
    return click.style(text, **STYLES[style]) if style in STYLES else text


def option(*names: str, **attributes: Any) -> Callable:
    """Declare an option that an environment variable SCALEFALL_NAME can also set, as its help shows."""
    long_name = next(name for name in names if name.startswith("--"))
    attributes.setdefault("envvar", "SCALEFALL_" + long_name[2:].partition("/")[0].upper().replace("-", "_"))
    return click.option(*names, show_envvar=True, **attributes)


def choose_colours(context: click.Context, _: click.Parameter, value: str) -> str:
    """Apply --color; with auto, click decides unless NO_COLOR is set."""
    context.color = {"always": True, "never": False}.get(value, False if os.environ.get("NO_COLOR") else None)
    return value


format_option = option(
    "--format",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Print text for people, or one JSON object for editors and scripts.",
)
color_option = option(
    "--color",
    type=click.Choice(["auto", "always", "never"]),
    default="auto",
    show_default=True,
    callback=choose_colours,
    expose_value=False,
    help="Print in colours; auto: only on a terminal.",
)
config_argument = click.argument(
    "path", type=click.Path(), envvar="SCALEFALL_CONFIG", default=files.ROOT_FILE, required=False
)


def cannot_run(text: str) -> NoReturn:
    """Print a message and exit with the code for a command that could not run."""
    click.echo(f"scalefall: {text}", err=True)
    raise SystemExit(CANNOT_RUN)


def read(path: str, revision: str = "") -> load.LoadResult:
    """Load a configuration (a file, or a folder with a site.scale) from disk or from a git revision."""
    gc.disable()  # the process reads once and ends; garbage collection would take a third of its time
    try:
        return load.load(*files.locate(path, revision))
    except OSError as error:
        cannot_run(f"{path}: {error.strerror or error}")


def read_usable(path: str, revision: str = "") -> load.LoadResult:
    """Load a configuration; print its errors and exit if it has any."""
    loaded = read(path, revision)
    if not loaded.usable:
        raise SystemExit(print_errors(loaded))
    return loaded


def print_errors(loaded: load.LoadResult) -> int:
    """Print the errors on standard error; return the exit code for them."""
    click.echo(render.text(loaded.error_problems, loaded.source(), paint), err=True, nl=False)
    return CANNOT_RUN if loaded.fatal else ERRORS


def write_output(text: str, path: str | None) -> None:
    """Write to a file if one is given, otherwise to standard output."""
    if path is None:
        click.echo(text, nl=False)
        return
    try:
        files.write(path, text)
    except OSError as error:
        cannot_run(f"{path} cannot be written: {error.strerror or error}")
