"""The group that all commands hang below, one ``add_command`` a line."""

from __future__ import annotations

import click

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="endivegw", prog_name="endivegw")
def main() -> None:
    """Run and operate a router fleet for prepaid token budgets."""


# Operators' commands.

# Daemons.
