"""The group that all commands hang below, one ``add_command`` a line."""

from __future__ import annotations

import click

from endivegw.cli import daemons, dev

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="endivegw", prog_name="endivegw")
def main() -> None:
    """Run and operate a router fleet for prepaid token budgets."""


# Operators' commands.

# Daemons.
main.add_command(daemons.router)
main.add_command(daemons.sidecar)
main.add_command(dev.dev)
