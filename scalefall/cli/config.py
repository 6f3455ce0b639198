"""Commands on configurations: check, fmt, diff, explain, compile, import."""

from __future__ import annotations

import difflib
import json
import sys

import click

from scalefall.cli import output
from scalefall.cli.output import color_option, config_argument, format_option, option, paint
from scalefall.lang import diff as differ
from scalefall.lang import explain as explainer
from scalefall.lang import files, load, render
from scalefall.lang import format as formatter
from scalefall.lang.text import closest_match


@click.command(
    epilog="""\b
Examples:
  scalefall check site.scale
  scalefall check --format json site.scale
\b
Exit code: 0 no errors (warnings are allowed), 1 errors, 2 the check could not run."""
)
@config_argument
@format_option
@option("--strict/--no-strict", default=False, help="Treat warnings as errors.")
@color_option
def check(path: str, form: str, strict: bool) -> None:
    """Report the errors and warnings of a configuration. Check all that it includes too, in one run."""
    loaded = output.read(path)
    if form == "json":
        click.echo(render.as_json(loaded.problems), nl=False)
    else:
        click.echo(render.text(loaded.problems, loaded.source(), paint), nl=False)
    if loaded.fatal:
        sys.exit(output.CANNOT_RUN)
    sys.exit(output.ERRORS if loaded.error_count or (strict and loaded.problems) else output.OK)


@click.command(
    epilog="""\b
Examples:
  scalefall fmt site.scale partners/
  scalefall fmt --check .
  scalefall fmt - < site.scale
\b
Exit code: 0 formatted, or nothing to change; 1 a file would change (--check, --diff) or has
syntax errors (it stays unchanged); 2 the formatter could not run."""
)
@click.argument("paths", nargs=-1, type=click.Path(), required=True)
@option(
    "--check",
    "only_check",
    is_flag=True,
    envvar="SCALEFALL_FMT_CHECK",
    help="Change nothing; list the files that would change.",
)
@option("--diff", "show_diff", is_flag=True, envvar="SCALEFALL_FMT_DIFF", help="Change nothing; show the changes.")
@color_option
def fmt(paths: tuple[str, ...], only_check: bool, show_diff: bool) -> None:
    """Format files. For a folder, format every .scale file below it. Keep comments and meaning."""
    code = output.OK
    for path in paths:
        if path == "-":
            code = max(code, _format_stdin())
            continue
        try:
            found = files.find_files(path)
        except OSError as error:
            output.cannot_run(f"{path}: {error.strerror or error}")
        for name in found:
            code = max(code, _format_file(name, only_check, show_diff))
    sys.exit(code)


def _format_stdin() -> int:
    loaded = load.load_syntax_text(sys.stdin.buffer.read(), "standard input")
    if not loaded.usable:
        return output.print_errors(loaded)
    click.echo(formatter.layout(loaded.documents[0]), nl=False)
    return output.OK


def _format_file(name: str, only_check: bool, show_diff: bool) -> int:
    loaded = load.load_syntax(*files.locate(name))
    if not loaded.usable:
        return output.print_errors(loaded)
    old, new = loaded.raw, formatter.layout(loaded.documents[0])
    if old == new.encode():
        return output.OK
    if show_diff:
        before = old.decode(errors="replace").splitlines(keepends=True)
        click.echo(
            "".join(difflib.unified_diff(before, new.splitlines(keepends=True), name, f"{name} (formatted)")), nl=False
        )
    elif only_check:
        click.echo(f"{name} would change")
    else:
        output.write_output(new, name)
        click.echo(f"{name} formatted")
    return output.DIFFERS if only_check or show_diff else output.OK


@click.command(
    epilog="""\b
Examples:
  scalefall diff old/site.scale new/site.scale
  scalefall diff --git HEAD site.scale              the last commit and the working file
  scalefall diff --git v1 --git v2 site.scale       two revisions
\b
Exit code: 0 the same meaning, 1 differences, 2 the comparison could not run, 3 dangerous differences."""
)
@click.argument("paths", nargs=-1, type=click.Path(), required=True)
@option(
    "--git", "revisions", multiple=True, metavar="REV", help="Compare this git revision; give it twice to compare two."
)
@format_option
@color_option
def diff(paths: tuple[str, ...], revisions: tuple[str, ...], form: str) -> None:
    """Describe changes of meaning, worst first. Compare two configurations; ignore changes of layout."""
    if len(paths) + len(revisions) not in (2, 3) or len(revisions) > 2 or bool(revisions) == (len(paths) == 2):
        output.cannot_run("diff takes two paths, or one path and --git REV once or twice")
    pairs = [(path, "") for path in paths] if not revisions else [(paths[0], rev) for rev in revisions]
    old, new = (output.read(*pair) for pair in (pairs if len(pairs) == 2 else [*pairs, (paths[0], "")]))
    for loaded in (old, new):
        if not loaded.usable:
            output.print_errors(loaded)
            output.cannot_run("a configuration with errors has no meaning to compare")
    changes = differ.compare(old.site, new.site)
    click.echo(differ.as_json(changes) if form == "json" else differ.as_text(changes, paint), nl=False)
    dangerous = any(change.level == differ.DANGEROUS for change in changes)
    sys.exit(output.DANGEROUS if dangerous else output.DIFFERS if changes else output.OK)


@click.command(
    epilog="""\b
Example:
  scalefall explain 7 --config site.scale"""
)
@click.argument("route")
@option(
    "--config",
    "path",
    type=click.Path(),
    default=files.ROOT_FILE,
    show_default=True,
    help="Read this configuration: a file, or a folder with a site.scale.",
)
@format_option
@color_option
def explain(route: str, path: str, form: str) -> None:
    """Print each value in force on a route. Name the file and line that it comes from."""
    site = output.read_usable(path).site
    if route not in site.definitions("route"):
        found = closest_match(route, site.definitions("route"))
        output.cannot_run(
            f"{site.file} has no route {route}"
            + (
                f"; did you mean {found}?"
                if found
                else f"; it has {', '.join(sorted(site.definitions('route'), key=int)) or 'none'}"
            )
        )
    rows = explainer.explain(site, route)
    click.echo(explainer.as_json(route, rows) if form == "json" else explainer.as_text(route, rows), nl=False)


@click.command(
    "compile",
    epilog="""\b
Example:
  scalefall compile site.scale -o config.json""",
)
@config_argument
@option("-o", "--output", "target", type=click.Path(), help="Write to this file instead of standard output.")
def compile_(path: str, target: str | None) -> None:
    """Write the platform's JSON. List on standard error what it cannot represent."""
    from scalefall.lang import wire

    table, lost = wire.to_platform_json(output.read_usable(path).site)
    for row in lost:
        click.echo(f"not in the JSON: {row}", err=True)
    output.write_output(json.dumps(table, indent=2) + "\n", target)


@click.command(
    "import",
    epilog="""\b
Example:
  scalefall import config.json -o site.scale""",
)
@click.argument("path", type=click.Path())
@option("-o", "--output", "target", type=click.Path(), help="Write to this file instead of standard output.")
def import_(path: str, target: str | None) -> None:
    """Convert the platform's JSON to the language. List on standard error what it cannot represent."""
    from scalefall.lang import wire
    from scalefall.net.config import ConfigError

    try:
        text, dropped = wire.from_platform_json(json.loads(files.read(path)))
    except json.JSONDecodeError as error:
        output.cannot_run(f"{path}:{error.lineno}:{error.colno}: {error.msg}")
    except OSError as error:
        output.cannot_run(f"{path} cannot be read: {error.strerror or error}")
    except (ValueError, ConfigError, RecursionError) as error:
        output.cannot_run(f"{path}: {error}")
    for row in dropped:
        click.echo(f"not in the language: {row}", err=True)
    output.write_output(text, target)


COMMANDS = (check, fmt, diff, explain, compile_, import_)
