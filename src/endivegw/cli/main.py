"""The root command group, to which every command is added."""

from __future__ import annotations

import click

from endivegw.cli import (
    account,
    budget,
    completion,
    config,
    daemons,
    dev,
    logs,
    order,
    status,
    target,
    template,
)
from endivegw.platform.command import platform_router

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="endivegw", prog_name="endivegw")
def main() -> None:
    """Run and operate a router fleet for prepaid token budgets."""


# Operators' commands.
main.add_command(template.template)
main.add_command(account.account)
main.add_command(budget.budget)
main.add_command(target.target)
main.add_command(order.order)
main.add_command(config.config)
main.add_command(status.status)
main.add_command(logs.explain)
main.add_command(logs.logs)
main.add_command(completion.completion)

# Daemons.
main.add_command(daemons.router)
main.add_command(daemons.sidecar)
main.add_command(platform_router)
main.add_command(dev.dev)
