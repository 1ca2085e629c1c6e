"""``endivegw config``: state, history, export and import of the configuration."""

from __future__ import annotations

import time
from datetime import datetime, timezone
from typing import BinaryIO

import anyio
import click

from endivegw.cli.operating import (
    CommandInputError,
    CommandRefusedError,
    OperatorContext,
    print_outcome,
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_json, print_table
from endivegw.commands.transfer import import_documents
from endivegw.configuration.codec import (
    DocumentsMessage,
    encode_message,
    parse_message,
)
from endivegw.configuration.store import load_changes, load_documents, load_revision
from endivegw.queries.fleet import FleetRevisions, fleet_revisions
from endivegw.results import Done, Result
from endivegw.types import ConfigRevision

__all__ = ["config", "print_lagging"]

#: Daemons report within five seconds of an adoption, so that polling more often
#: than every half second would not show more.
_POLL_INTERVAL_S = 0.5


@click.group()
def config() -> None:
    """Show which daemons have which revision; export and import the configuration."""


@config.command()
@output_option
@with_platform
async def status(context: OperatorContext, output: str) -> None:
    """Show the accepted revision and the daemons that lack it."""
    fleet = unwrap_result(await _poll_revisions(context))
    lagging = fleet.lagging(fleet.revision)
    if output == "json":
        print_json(_as_json(fleet, fleet.revision))
        return
    click.echo(
        f"revision {fleet.revision}: held by "
        f"{len(fleet.daemons) - len(lagging)} of {len(fleet.daemons)} "
        "responsive daemons"
    )
    print_lagging(fleet, fleet.revision)


@config.command()
@click.option("--revision", type=int, default=None, help="[default: the newest]")
@click.option(
    "--for-s",
    type=click.FloatRange(min=0.0, max=3600.0),
    default=30.0,
    show_default=True,
    help="Longest wait.",
)
@with_platform
async def wait(context: OperatorContext, revision: int | None, for_s: float) -> None:
    """Wait until every live daemon has a revision; name those that lack it.

    Exits with 0 once all have it, and with 1 if the wait ends first. A daemon is
    live if a recent report of a router names it, or if the platform lists its VM.
    """
    end_s = anyio.current_time() + for_s
    while True:
        fleet = unwrap_result(await _poll_revisions(context))
        wanted = fleet.revision if revision is None else revision
        revision = wanted
        if not fleet.lagging(wanted) and not fleet.unreported_vms and fleet.daemons:
            click.echo(f"revision {wanted} is held by all {len(fleet.daemons)} daemons")
            return
        if anyio.current_time() + _POLL_INTERVAL_S > end_s:
            break
        await anyio.sleep(_POLL_INTERVAL_S)
    print_lagging(fleet, wanted)
    missing = len(fleet.lagging(wanted)) + len(fleet.unreported_vms)
    raise CommandRefusedError(
        f"after {for_s:g} s, {missing} daemons are not known to have revision {wanted}"
    )


@config.command()
@click.option("--limit", type=click.IntRange(min=1), default=20, show_default=True)
@output_option
@with_platform
async def history(context: OperatorContext, limit: int, output: str) -> None:
    """List the latest changes, newest first."""
    table, timeout_s = context.platform.table, context.operation.timeout_s
    newest = unwrap_result(await load_revision(table, timeout_s=timeout_s))
    after = ConfigRevision(max(0, newest - limit))
    changes = unwrap_result(await load_changes(table, after, timeout_s=timeout_s))
    rows = [
        (
            change.revision,
            datetime.fromtimestamp(change.at_s, timezone.utc).isoformat("T", "seconds"),
            change.operator,
            change.summary,
        )
        for change in reversed(changes[-limit:])
    ]
    print_table(("revision", "at", "operator", "change"), rows, output)


@config.command(name="export")
@click.argument("file", type=click.File("wb", atomic=True))
@with_platform
async def export_all(context: OperatorContext, file: BinaryIO) -> None:
    """Write all templates, accounts and targets to FILE (keys as digests)."""
    documents = unwrap_result(
        await load_documents(
            context.platform.table, timeout_s=context.operation.timeout_s
        )
    )
    file.write(encode_message(DocumentsMessage(documents)))
    click.echo(
        f"revision {documents.revision}: {len(documents.by_name)} documents", err=True
    )


@config.command(name="import")
@click.argument("file", type=click.File("rb"))
@click.option("--prune", is_flag=True, help="Remove documents that the file lacks.")
@write_options
@with_platform
async def import_all(context: OperatorContext, file: BinaryIO, prune: bool) -> None:
    """Make the configuration equal to an exported FILE, in new revisions."""
    match parse_message(file.read()):
        case Done(DocumentsMessage(documents)):
            pass
        case _:
            raise CommandInputError(f"{file.name} is not an exported configuration")
    outcomes = unwrap_result(
        await import_documents(
            context.platform.table, context.operation, documents, prune=prune
        )
    )
    if not outcomes:
        click.echo("nothing to change")
    for outcome in outcomes:
        print_outcome(outcome, context)


def print_lagging(fleet: FleetRevisions, revision: int) -> None:
    """Print the daemons that lack a revision and the VMs without a report."""
    for entry in fleet.lagging(revision):
        has = f"has revision {entry.revision}" if entry.revision else "is not ready"
        click.echo(f"{entry.daemon} {has}")
    for vm in fleet.unreported_vms:
        click.echo(f"{vm} is listed as live and was not heard")
    if not fleet.vms_known:
        click.echo(
            "the VM list did not answer; unresponsive VMs are not shown", err=True
        )


async def _poll_revisions(context: OperatorContext) -> Result[FleetRevisions]:
    return await fleet_revisions(
        context.platform.table,
        context.platform.vms,
        now_s=time.time(),
        timeout_s=context.operation.timeout_s,
    )


def _as_json(fleet: FleetRevisions, revision: int) -> dict[str, object]:
    return {
        "revision": revision,
        "daemons": {entry.daemon: entry.revision for entry in fleet.daemons},
        "lagging": [entry.daemon for entry in fleet.lagging(revision)],
        "unheard": list(fleet.unreported_vms),
        "vm_list_answered": fleet.vms_known,
    }
