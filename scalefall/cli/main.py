"""The `scalefall` command. Called bare, `python -m scalefall` is the platform's sender and none of this is loaded."""

from __future__ import annotations

import click

from scalefall import __version__
from scalefall.cli import config, control, run
from scalefall.cli.output import CONTEXT_SETTINGS

EPILOG = """\b
Examples:
  scalefall check site.scale
  scalefall run --config site.scale --state /var/lib/scalefall
  python -m scalefall                 the platform's sender, told by RELAY_CONFIG
\b
Every option can be given as a variable too: --log-format is SCALEFALL_LOG_FORMAT.
"""


@click.group(context_settings=CONTEXT_SETTINGS, epilog=EPILOG)
@click.version_option(__version__, prog_name="scalefall")
def main() -> None:
    """Deliver messages to other firms' endpoints, by rules kept in files that can be checked."""


COMPLETION = """\b
Example:
  scalefall completion bash > ~/.local/share/bash-completion/completions/scalefall
"""


@main.command(epilog=COMPLETION)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print what a shell needs to complete commands, options and paths."""
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    click.echo(kind(main, {}, "scalefall", "_SCALEFALL_COMPLETE").source())


for command in (*config.COMMANDS, run.run, control.control):
    main.add_command(command)
