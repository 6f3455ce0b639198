"""What the commands share: options, colours, and how problems are printed."""

from __future__ import annotations

import gc
import os
from collections.abc import Callable
from typing import Any, NoReturn

import click

from scalefall.lang import files, load, render

CONTEXT_SETTINGS = {"help_option_names": ["-h", "--help"], "max_content_width": 100}
OK, DIFFERS, ERRORS, CANNOT_RUN, DANGEROUS = 0, 1, 1, 2, 3
STYLES: dict[str, dict[str, Any]] = {
    "error": {"fg": "red", "bold": True},
    "warning": {"fg": "yellow", "bold": True},
    "help": {"fg": "cyan"},
    "place": {"bold": True},
    "dangerous": {"fg": "red", "bold": True},
    "notable": {"fg": "yellow"},
}


def paint(text: str, what: str) -> str:
    """Colours are taken out again by click where the output is no terminal."""
    return click.style(text, **STYLES[what]) if what in STYLES else text


def option(*names: str, **more: Any) -> Callable:
    """An option that can be given as SCALEFALL_NAME too, and says so in the help."""
    long = next(name for name in names if name.startswith("--"))
    more.setdefault("envvar", "SCALEFALL_" + long[2:].partition("/")[0].upper().replace("-", "_"))
    return click.option(*names, show_envvar=True, **more)


def choose_colours(context: click.Context, _: click.Parameter, value: str) -> str:
    context.color = {"always": True, "never": False}.get(value, False if os.environ.get("NO_COLOR") else None)
    return value


format_option = option(
    "--format",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Text for people, or one JSON object for editors and scripts.",
)
color_option = option(
    "--color",
    type=click.Choice(["auto", "always", "never"]),
    default="auto",
    show_default=True,
    callback=choose_colours,
    expose_value=False,
    help="Colours; auto: on a terminal only.",
)
config_argument = click.argument(
    "path", type=click.Path(), envvar="SCALEFALL_CONFIG", default=files.ROOT_FILE, required=False
)


def cannot_run(text: str) -> NoReturn:
    click.echo(f"scalefall: {text}", err=True)
    raise SystemExit(CANNOT_RUN)


def read(path: str, revision: str = "") -> load.LoadResult:
    """The configuration at a path (a file, or a folder with a site.scale), as it is or as a git revision has it."""
    gc.disable()  # one run reads and ends: looking for cycles meanwhile was a third of its time
    try:
        return load.load(*files.locate(path, revision))
    except OSError as error:
        cannot_run(f"{path}: {error.strerror or error}")


def read_usable(path: str, revision: str = "") -> load.LoadResult:
    """The same where only a configuration without errors is of use: otherwise they are printed, and that was it."""
    loaded = read(path, revision)
    if not loaded.usable:
        raise SystemExit(print_errors(loaded))
    return loaded


def print_errors(loaded: load.LoadResult) -> int:
    """On standard error; the exit code that goes with them."""
    click.echo(render.text(loaded.error_problems, loaded.source(), paint), err=True, nl=False)
    return CANNOT_RUN if loaded.fatal else ERRORS


def write_output(text: str, path: str | None) -> None:
    """To a file if one is named, otherwise to standard output."""
    if path is None:
        click.echo(text, nl=False)
        return
    try:
        files.write(path, text)
    except OSError as error:
        cannot_run(f"{path} cannot be written: {error.strerror or error}")
