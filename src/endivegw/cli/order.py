"""``endivegw order``: orders to the engines behind targets."""

from __future__ import annotations

import click

from endivegw.cli.operating import (
    OperatorContext,
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_table
from endivegw.targets import OrderKind
from endivegw.targets.order_service import issue_order, list_orders
from endivegw.types import TargetName

__all__ = ["order"]

_KINDS = (
    OrderKind.LOAD_MODEL,
    OrderKind.UNLOAD_MODEL,
    OrderKind.LOAD_ADAPTER,
    OrderKind.UNLOAD_ADAPTER,
    OrderKind.CHANGE_ROLE,
)


@click.group()
def order() -> None:
    """Load and unload models and adapters, and change roles."""


@order.command()
@click.argument("target")
@click.argument("kind", type=click.Choice(_KINDS))
@click.argument("name")
@click.option("--model-version", default="", help="Version of the model or adapter.")
@write_options
@with_platform
async def give(
    context: OperatorContext, target: str, kind: str, name: str, model_version: str
) -> None:
    """Queue an order of KIND with NAME for the engine of TARGET.

    NAME is a model, ``model+adapter`` or a role. The target's sidecar carries out
    orders one at a time, in order; ``order list`` shows their state.
    """
    item = f"{name}@{model_version}" if model_version else name
    if context.operation.dry_run:
        click.echo(f"would order {target} to {kind} {item}; nothing was written")
        return
    result = await issue_order(
        context.platform.table,
        TargetName(target),
        kind=kind,
        name=name,
        version=model_version,
        operation=context.operation.operation_id,
        timeout_s=context.operation.timeout_s,
    )
    issued = unwrap_result(result)
    click.echo(f"ordered {target} to {kind} {item}: order {issued.sequence}")


@order.command(name="list")
@click.argument("target")
@output_option
@with_platform
async def list_all(context: OperatorContext, target: str, output: str) -> None:
    """List the orders of TARGET, oldest first."""
    orders = unwrap_result(
        await list_orders(
            context.platform.table,
            TargetName(target),
            timeout_s=context.operation.timeout_s,
        )
    )
    columns = ("order", "kind", "name", "version", "state", "attempts", "detail")
    rows = [
        (
            entry.sequence,
            entry.kind,
            entry.name,
            entry.version,
            entry.state.value,
            entry.attempts,
            entry.detail,
        )
        for entry in orders
    ]
    print_table(columns, rows, output)
