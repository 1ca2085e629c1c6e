"""``endivegw account``: client accounts, their parameters and keys."""

from __future__ import annotations

import click

from endivegw.cli.operating import (
    OperatorContext,
    print_outcome,
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_json, print_table
from endivegw.cli.parameters import check_parameter_names, parse_pairs
from endivegw.commands.account import (
    CreatedKey,
    create_account,
    rotate_key,
    set_account,
)
from endivegw.configuration.documents import AccountDocument, resolve
from endivegw.configuration.ini import format_value
from endivegw.configuration.parameters import PARAMETER_NAMES
from endivegw.configuration.store import load_documents
from endivegw.types import ClientAccountName

__all__ = ["account"]


@click.group()
def account() -> None:
    """Create client accounts, set their parameters, rotate their keys."""


@account.command()
@click.argument("name")
@click.option(
    "--template", default="", help="Template for parameters that are not set."
)
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@write_options
@with_platform
async def create(
    context: OperatorContext, name: str, template: str, pairs: tuple[str, ...]
) -> None:
    """Create an account and print its key.

    Only the digest of the key is stored, so that the key cannot be shown again. If
    the outcome is unknown, run "account key rotate" to get another key.
    """
    result = await create_account(
        context.platform.table,
        context.operation,
        name,
        template=template,
        parameters=parse_pairs(pairs),
    )
    _print_key(unwrap_result(result), context)


@account.command(name="set")
@click.argument("name")
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@click.option("--unset", multiple=True, metavar="KEY", help="Use the template's value.")
@click.option("--template", default=None, help='Another template; "" for none.')
@click.option(
    "--enable/--disable", "enabled", default=None, help="Whether to serve the account."
)
@write_options
@with_platform
async def set_parameters(
    context: OperatorContext,
    name: str,
    pairs: tuple[str, ...],
    unset: tuple[str, ...],
    template: str | None,
    enabled: bool | None,
) -> None:
    """Set parameters of an account, which override those of its template."""
    check_parameter_names(unset)
    result = await set_account(
        context.platform.table,
        context.operation,
        name,
        parameters=parse_pairs(pairs),
        unset=unset,
        template=template,
        enabled=enabled,
    )
    print_outcome(unwrap_result(result), context)


@account.command()
@click.argument("name")
@output_option
@with_platform
async def show(context: OperatorContext, name: str, output: str) -> None:
    """Show an account's parameters and the source of each."""
    documents = unwrap_result(
        await load_documents(
            context.platform.table, timeout_s=context.operation.timeout_s
        )
    )
    document = documents.account(name)
    if document is None:
        raise click.UsageError(f"no account named {name}")
    effective = resolve(documents).accounts[ClientAccountName(name)]
    template_document = documents.template(document.template)
    rows = []
    for key in PARAMETER_NAMES:
        source = "default"
        if (
            template_document is not None
            and getattr(template_document.parameters, key) is not None
        ):
            source = f"template {document.template}"
        if getattr(document.parameters, key) is not None:
            source = "account"
        rows.append((key, format_value(getattr(effective, key)), source))
    if output == "json":
        print_json(
            {
                "account": name,
                "template": document.template,
                "enabled": document.enabled,
                "keys": len(document.key_hashes),
                "revision": documents.revision,
                "parameters": {
                    key: {"value": value, "source": source}
                    for key, value, source in rows
                },
            }
        )
        return
    state = "enabled" if document.enabled else "disabled"
    click.echo(f"account {name}: {state}, {len(document.key_hashes)} keys")
    print_table(("parameter", "value", "from"), rows, output)


@account.command(name="list")
@output_option
@with_platform
async def list_accounts(context: OperatorContext, output: str) -> None:
    """List accounts."""
    documents = unwrap_result(
        await load_documents(
            context.platform.table, timeout_s=context.operation.timeout_s
        )
    )
    snapshot = resolve(documents)
    rows = []
    for _, document in sorted(documents.by_name.items()):
        if isinstance(document, AccountDocument):
            effective = snapshot.accounts[document.client_account]
            rows.append(
                (
                    document.client_account,
                    document.template,
                    document.enabled,
                    effective.priority.name.lower(),
                    len(effective.budgets),
                    list(effective.models),
                )
            )
    columns = ("account", "template", "enabled", "priority", "budgets", "models")
    print_table(columns, rows, output)


@account.group()
def key() -> None:
    """Manage the keys of an account."""


@key.command()
@click.argument("name")
@click.option("--replace", is_flag=True, help="Revoke all older keys at once.")
@write_options
@with_platform
async def rotate(context: OperatorContext, name: str, replace: bool) -> None:
    """Add a new key and print it; the previous key stays valid."""
    result = await rotate_key(
        context.platform.table, context.operation, name, keep_old=not replace
    )
    _print_key(unwrap_result(result), context)


def _print_key(created: CreatedKey, context: OperatorContext) -> None:
    if not created.outcome.dry_run:
        # Only the key goes to standard output, so that a script can capture it.
        click.echo(created.key)
    change = created.outcome.change
    prefix = "would" if created.outcome.dry_run else f"revision {change.revision}:"
    click.echo(f"{prefix} {change.summary}", err=True)
