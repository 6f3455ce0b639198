"""The `scalefall` command. `python -m scalefall` without arguments is the platform's sender and never loads it."""

from __future__ import annotations

import click

from scalefall import __version__
from scalefall.cli import config, control, run
from scalefall.cli.output import CONTEXT_SETTINGS

EPILOG = """\b
Examples:
  scalefall check site.scale
  scalefall run --config site.scale --state /var/lib/scalefall
  python -m scalefall                 the platform's sender, configured by RELAY_CONFIG
\b
An environment variable can set each option: SCALEFALL_LOG_FORMAT sets --log-format.
"""


@click.group(context_settings=CONTEXT_SETTINGS, epilog=EPILOG)
@click.version_option(__version__, prog_name="scalefall")
def main() -> None:
    """Deliver messages to other firms' endpoints, according to configuration files."""


COMPLETION = """\b
Example:
  scalefall completion bash > ~/.local/share/bash-completion/completions/scalefall
"""


@main.command(epilog=COMPLETION)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script of a shell. It completes commands, options and paths."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    click.echo(completion_class(main, {}, "scalefall", "_SCALEFALL_COMPLETE").source())


for command in (*config.COMMANDS, run.run, control.control):
    main.add_command(command)
