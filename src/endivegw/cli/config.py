"""``endivegw config``: the configuration as a whole."""

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
    say_outcome,
    value_of,
    with_platform,
    writes,
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

#: Reports are written within five seconds of an adoption; looking more often
#: than each half of a second would not show more.
_LOOK_S = 0.5


@click.group()
def config() -> None:
    """See which revision is in force where; export and import all of it."""


@config.command()
@output_option
@with_platform
async def status(context: OperatorContext, output: str) -> None:
    """Show the accepted revision and the daemons that lack it."""
    found = value_of(await _look(context))
    lagging = found.lagging(found.revision)
    if output == "json":
        print_json(_as_json(found, found.revision))
        return
    click.echo(
        f"revision {found.revision}: held by "
        f"{len(found.daemons) - len(lagging)} of {len(found.daemons)} daemons heard"
    )
    print_lagging(found, found.revision)


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

    Ends with 0 when all have it, else with 1 after the wait. A daemon counts
    as live when a router heard it of late, or the platform lists its VM.
    """
    end_s = anyio.current_time() + for_s
    while True:
        found = value_of(await _look(context))
        wanted = found.revision if revision is None else revision
        revision = wanted
        if not found.lagging(wanted) and not found.unheard and found.daemons:
            click.echo(f"revision {wanted} is held by all {len(found.daemons)} daemons")
            return
        if anyio.current_time() + _LOOK_S > end_s:
            break
        await anyio.sleep(_LOOK_S)
    print_lagging(found, wanted)
    missing = len(found.lagging(wanted)) + len(found.unheard)
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
    newest = value_of(await load_revision(table, timeout_s=timeout_s))
    after = ConfigRevision(max(0, newest - limit))
    changes = value_of(await load_changes(table, after, timeout_s=timeout_s))
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
    documents = value_of(
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
@click.option("--prune", is_flag=True, help="Remove what the file lacks.")
@writes
@with_platform
async def import_all(context: OperatorContext, file: BinaryIO, prune: bool) -> None:
    """Make the configuration equal to an exported FILE, as new revisions."""
    match parse_message(file.read()):
        case Done(DocumentsMessage(documents)):
            pass
        case _:
            raise CommandInputError(f"{file.name} is no exported configuration")
    outcomes = value_of(
        await import_documents(
            context.platform.table, context.operation, documents, prune=prune
        )
    )
    if not outcomes:
        click.echo("nothing to change")
    for outcome in outcomes:
        say_outcome(outcome, context)


def print_lagging(found: FleetRevisions, revision: int) -> None:
    """Name the daemons that lack a revision, and those that nobody hears."""
    for entry in found.lagging(revision):
        has = f"has revision {entry.revision}" if entry.revision else "is not ready"
        click.echo(f"{entry.daemon} {has}")
    for vm in found.unheard:
        click.echo(f"{vm} is listed as live and was not heard")
    if not found.vms_known:
        click.echo("the VM list did not answer; silent VMs are not shown", err=True)


async def _look(context: OperatorContext) -> Result[FleetRevisions]:
    return await fleet_revisions(
        context.platform.table,
        context.platform.vms,
        now_s=time.time(),
        timeout_s=context.operation.timeout_s,
    )


def _as_json(found: FleetRevisions, revision: int) -> dict[str, object]:
    return {
        "revision": revision,
        "daemons": {entry.daemon: entry.revision for entry in found.daemons},
        "lagging": [entry.daemon for entry in found.lagging(revision)],
        "unheard": list(found.unheard),
        "vm_list_answered": found.vms_known,
    }
