"""``endivegw budget``: prepaid tokens."""

from __future__ import annotations

from datetime import datetime, timezone

import click

from endivegw.budgets import read_budgets
from endivegw.budgets.bills import BillRecord
from endivegw.budgets.rows import BudgetRow
from endivegw.cli.operating import (
    OperatorContext,
    OutcomeUnknownError,
    value_of,
    with_platform,
    writes,
)
from endivegw.cli.output import output_option, print_table
from endivegw.commands.budget import top_up_budget
from endivegw.queries.bills import bill_of
from endivegw.queries.budgets import list_budgets
from endivegw.results import Unknown
from endivegw.types import BudgetKey, ClientAccountName

__all__ = ["budget"]

_BILL_COLUMNS = (
    "at",
    "kind",
    "name",
    "charged",
    "prompt",
    "completion",
    "lost",
    "outcome",
)

_COLUMNS = ("account", "budget", "topped_up", "available", "granted", "settled")


@click.group()
def budget() -> None:
    """Top up prepaid budgets and show what is left of them."""


@budget.command()
@click.argument("account")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(min=1))
@writes
@with_platform
async def topup(context: OperatorContext, account: str, name: str, tokens: int) -> None:
    """Add TOKENS to the budget NAME of ACCOUNT, once.

    Where the outcome is unknown, run the command again with the --operation-id
    that it prints: tokens are added once for an id, however often it is run.
    """
    key = BudgetKey(ClientAccountName(account), name)
    result = await top_up_budget(context.platform.table, context.operation, key, tokens)
    if isinstance(result, Unknown):
        raise OutcomeUnknownError(
            "it is not known whether the tokens were added; run it again with "
            f"--operation-id {context.operation.operation_id}"
        )
    outcome = value_of(result)
    if outcome.dry_run:
        click.echo(f"would add {tokens} tokens to {key}; nothing was written")
        return
    what = "added" if outcome.added else "had been added before:"
    total = outcome.topped_up_tokens
    so_far = f", {total} in all" if total is not None else ""
    click.echo(f"{what} {tokens} tokens to {key}{so_far}")


@budget.command()
@click.argument("account")
@click.argument("name")
@click.option(
    "--reconcile/--no-reconcile",
    default=True,
    help="Whether to read the whole bill and compare it.",
    show_default=True,
)
@output_option
@with_platform
async def show(
    context: OperatorContext, account: str, name: str, reconcile: bool, output: str
) -> None:
    """Show one budget, and whether what was settled and billed agree.

    "granted" is in the hands of routers, "settled" is spent and billed.
    """
    key = BudgetKey(ClientAccountName(account), name)
    (row,) = value_of(
        await read_budgets(
            context.platform.table, (key,), timeout_s=context.operation.timeout_s
        )
    )
    if row is None:
        raise click.UsageError(f"budget {key} was never topped up")
    print_table(_COLUMNS, [_cells(row)], output)
    if not reconcile:
        return
    found = value_of(
        await bill_of(
            context.platform.table, key, timeout_s=context.operation.timeout_s
        )
    )
    click.echo(found.sums.sentence(), err=output == "json")


@budget.command()
@click.argument("account")
@click.argument("name")
@click.option("--since", type=click.DateTime(), help="First moment, in UTC.")
@click.option("--until", type=click.DateTime(), help="Moment behind the last, in UTC.")
@output_option
@with_platform
async def bill(
    context: OperatorContext,
    account: str,
    name: str,
    since: datetime | None,
    until: datetime | None,
    output: str,
) -> None:
    """List what was charged to one budget, one line for each request.

    The last line says whether the whole bill and what was settled agree.
    """
    key = BudgetKey(ClientAccountName(account), name)
    found = value_of(
        await bill_of(
            context.platform.table,
            key,
            from_s=_unix_time(since),
            until_s=_unix_time(until),
            timeout_s=context.operation.timeout_s,
        )
    )
    print_table(_BILL_COLUMNS, [_bill_cells(one) for one in found.records], output)
    click.echo(found.sums.sentence(), err=output == "json")


@budget.command(name="list")
@click.option("--account", default="", help="Only the budgets of one account.")
@output_option
@with_platform
async def list_all(context: OperatorContext, account: str, output: str) -> None:
    """List budgets that were topped up."""
    rows = value_of(
        await list_budgets(
            context.platform.table,
            client_account=account,
            timeout_s=context.operation.timeout_s,
        )
    )
    print_table(_COLUMNS, [_cells(row) for row in rows], output)


def _unix_time(moment: datetime | None) -> float | None:
    return moment.replace(tzinfo=timezone.utc).timestamp() if moment else None


def _bill_cells(record: BillRecord) -> tuple[object, ...]:
    at = datetime.fromtimestamp(record.at_s, timezone.utc)
    return (
        at.isoformat(timespec="seconds"),
        record.kind.value,
        record.name,
        record.charged_tokens,
        record.prompt_tokens,
        record.completion_tokens,
        record.lost_tokens,
        record.outcome,
    )


def _cells(row: BudgetRow) -> tuple[object, ...]:
    return (
        row.budget.client_account,
        row.budget.budget,
        row.topped_up_tokens,
        row.available_tokens,
        row.granted_tokens,
        row.settled_tokens,
    )
