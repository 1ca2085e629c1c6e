"""``endivegw completion``: shell completion scripts."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

__all__ = ["completion"]


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL, to be sourced in its startup file."""
    root = context.find_root()
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for {shell}")
    name = "endivegw"
    script = completion_class(root.command, {}, name, "_ENDIVEGW_COMPLETE")
    click.echo(script.source())
