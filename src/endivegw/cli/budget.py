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
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_table
from endivegw.commands.budget import top_up_budget
from endivegw.queries.bills import load_bill
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

_BUDGET_COLUMNS = ("account", "budget", "topped_up", "available", "granted", "settled")


@click.group()
def budget() -> None:
    """Top up prepaid budgets and show their balances."""


@budget.command()
@click.argument("account")
@click.argument("name")
@click.argument("tokens", type=click.IntRange(min=1))
@write_options
@with_platform
async def topup(context: OperatorContext, account: str, name: str, tokens: int) -> None:
    """Add TOKENS to the budget NAME of ACCOUNT.

    If the outcome is unknown, run the command again with the --operation-id that it
    prints: however often it is run with the same id, tokens are added once.
    """
    key = BudgetKey(ClientAccountName(account), name)
    result = await top_up_budget(context.platform.table, context.operation, key, tokens)
    if isinstance(result, Unknown):
        raise OutcomeUnknownError(
            "it is not known whether the tokens were added; run the command again with "
            f"--operation-id {context.operation.operation_id}"
        )
    outcome = unwrap_result(result)
    if outcome.dry_run:
        click.echo(f"would add {tokens} tokens to {key}; nothing was written")
        return
    verb = "added" if outcome.added else "had been added before:"
    total = outcome.topped_up_tokens
    in_total = f", {total} in all" if total is not None else ""
    click.echo(f"{verb} {tokens} tokens to {key}{in_total}")


@budget.command()
@click.argument("account")
@click.argument("name")
@click.option(
    "--reconcile/--no-reconcile",
    default=True,
    help="Whether to compare the settled tokens with the complete bill.",
    show_default=True,
)
@output_option
@with_platform
async def show(
    context: OperatorContext, account: str, name: str, reconcile: bool, output: str
) -> None:
    """Show one budget, and whether settled and billed tokens agree.

    Granted tokens are held by routers; settled tokens are spent and billed.
    """
    key = BudgetKey(ClientAccountName(account), name)
    (row,) = unwrap_result(
        await read_budgets(
            context.platform.table, (key,), timeout_s=context.operation.timeout_s
        )
    )
    if row is None:
        raise click.UsageError(f"budget {key} was never topped up")
    print_table(_BUDGET_COLUMNS, [_budget_cells(row)], output)
    if not reconcile:
        return
    loaded_bill = unwrap_result(
        await load_bill(
            context.platform.table, key, timeout_s=context.operation.timeout_s
        )
    )
    click.echo(loaded_bill.sums.sentence(), err=output == "json")


@budget.command()
@click.argument("account")
@click.argument("name")
@click.option("--since", type=click.DateTime(), help="Start of the period, in UTC.")
@click.option(
    "--until", type=click.DateTime(), help="End of the period (exclusive), in UTC."
)
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

    The last line shows whether the complete bill and the settled tokens agree.
    """
    key = BudgetKey(ClientAccountName(account), name)
    loaded_bill = unwrap_result(
        await load_bill(
            context.platform.table,
            key,
            from_s=_unix_time(since),
            until_s=_unix_time(until),
            timeout_s=context.operation.timeout_s,
        )
    )
    print_table(
        _BILL_COLUMNS, [_bill_cells(record) for record in loaded_bill.records], output
    )
    click.echo(loaded_bill.sums.sentence(), err=output == "json")


@budget.command(name="list")
@click.option("--account", default="", help="Only the budgets of one account.")
@output_option
@with_platform
async def list_all(context: OperatorContext, account: str, output: str) -> None:
    """List budgets that were topped up."""
    rows = unwrap_result(
        await list_budgets(
            context.platform.table,
            client_account=account,
            timeout_s=context.operation.timeout_s,
        )
    )
    print_table(_BUDGET_COLUMNS, [_budget_cells(row) for row in rows], output)


def _unix_time(time: datetime | None) -> float | None:
    return time.replace(tzinfo=timezone.utc).timestamp() if time else None


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


def _budget_cells(row: BudgetRow) -> tuple[object, ...]:
    return (
        row.budget.client_account,
        row.budget.budget,
        row.topped_up_tokens,
        row.available_tokens,
        row.granted_tokens,
        row.settled_tokens,
    )
