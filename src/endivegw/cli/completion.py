"""``endivegw completion``: the script that lets a shell complete commands."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

__all__ = ["completion"]


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script of a SHELL, for its startup file."""
    root = context.find_root()
    found = get_completion_class(shell)
    if found is None:
        raise click.UsageError(f"no completion for {shell}")
    name = "endivegw"
    script = found(root.command, {}, name, "_ENDIVEGW_COMPLETE")
    click.echo(script.source())
