"""``endivegw target``: the targets behind the sidecars."""

from __future__ import annotations

import click

from endivegw.cli.operating import (
    OperatorContext,
    print_outcome,
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_table
from endivegw.commands.target import (
    drain_target,
    resume_target,
    set_target,
    stop_target,
)
from endivegw.configuration import TargetKind, TargetParameters
from endivegw.configuration.store import load_snapshot
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["target"]

_KINDS = tuple(kind.value for kind in TargetKind)


@click.group()
def target() -> None:
    """Describe, drain, resume and stop targets."""


@target.command(name="list")
@output_option
@with_platform
async def list_targets(context: OperatorContext, output: str) -> None:
    """List targets."""
    snapshot = unwrap_result(
        await load_snapshot(
            context.platform.table, timeout_s=context.operation.timeout_s
        )
    )
    rows = [
        (
            entry.target,
            entry.kind.value,
            entry.availability_zone,
            _state(entry),
            entry.version,
            entry.checks_fence,
            list(entry.serves),
        )
        for _, entry in sorted(snapshot.targets.items())
    ]
    columns = (
        "target",
        "kind",
        "availability_zone",
        "state",
        "version",
        "checks_fence",
        "serves",
    )
    print_table(columns, rows, output)


@target.command(name="set")
@click.argument("name")
@click.option("--kind", type=click.Choice(_KINDS), default=TargetKind.ENGINE.value)
@click.option(
    "--availability-zone", default="", help="Availability zone of the target."
)
@click.option(
    "--serves",
    multiple=True,
    metavar="NAME",
    help="A model or service; may be repeated.",
)
@click.option("--model-version", default="", help="Version of the target's models.")
@click.option(
    "--checks-fence/--no-checks-fence",
    default=False,
    help="Whether the target itself refuses orders with an old fencing number.",
)
@write_options
@with_platform
async def set_one(
    context: OperatorContext,
    name: str,
    kind: str,
    availability_zone: str,
    serves: tuple[str, ...],
    model_version: str,
    checks_fence: bool,
) -> None:
    """Create or update a target; an existing target stays drained or stopped."""
    parameters = TargetParameters(
        TargetName(name),
        TargetKind(kind),
        AvailabilityZone(availability_zone),
        serves,
        model_version,
        checks_fence,
    )
    result = await set_target(context.platform.table, context.operation, parameters)
    print_outcome(unwrap_result(result), context)


@target.command()
@click.argument("name")
@write_options
@with_platform
async def drain(context: OperatorContext, name: str) -> None:
    """Stop sending new work to a target; running work completes."""
    result = await drain_target(context.platform.table, context.operation, name)
    print_outcome(unwrap_result(result), context)


@target.command()
@click.argument("name")
@write_options
@with_platform
async def resume(context: OperatorContext, name: str) -> None:
    """Send work to a drained or stopped target again."""
    result = await resume_target(context.platform.table, context.operation, name)
    print_outcome(unwrap_result(result), context)


@target.command()
@click.argument("name")
@write_options
@with_platform
async def stop(context: OperatorContext, name: str) -> None:
    """Drain a target; its sidecar exits once running work has completed."""
    result = await stop_target(context.platform.table, context.operation, name)
    print_outcome(unwrap_result(result), context)


def _state(entry: TargetParameters) -> str:
    if entry.stopped:
        return "stopped"
    return "drained" if entry.drained else "in use"
