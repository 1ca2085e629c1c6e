"""``endivegw target``: what stands behind the sidecars."""

from __future__ import annotations

import click

from endivegw.cli.operating import (
    OperatorContext,
    say_outcome,
    value_of,
    with_platform,
    writes,
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
    snapshot = value_of(
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
@click.option("--availability-zone", default="", help="Where it stands.")
@click.option("--serves", multiple=True, metavar="NAME", help="A model or service.")
@click.option("--model-version", default="", help="Version of its models.")
@click.option(
    "--checks-fence/--no-checks-fence",
    default=False,
    help="Whether it refuses orders with an old fencing number itself.",
)
@writes
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
    """Describe a target; it keeps its state where it is there already."""
    parameters = TargetParameters(
        TargetName(name),
        TargetKind(kind),
        AvailabilityZone(availability_zone),
        serves,
        model_version,
        checks_fence,
    )
    result = await set_target(context.platform.table, context.operation, parameters)
    say_outcome(value_of(result), context)


@target.command()
@click.argument("name")
@writes
@with_platform
async def drain(context: OperatorContext, name: str) -> None:
    """Give a target no new work; what runs there ends by itself."""
    result = await drain_target(context.platform.table, context.operation, name)
    say_outcome(value_of(result), context)


@target.command()
@click.argument("name")
@writes
@with_platform
async def resume(context: OperatorContext, name: str) -> None:
    """Give a drained or stopped target work again."""
    result = await resume_target(context.platform.table, context.operation, name)
    say_outcome(value_of(result), context)


@target.command()
@click.argument("name")
@writes
@with_platform
async def stop(context: OperatorContext, name: str) -> None:
    """Drain a target, and let its sidecar end once its work is done."""
    result = await stop_target(context.platform.table, context.operation, name)
    say_outcome(value_of(result), context)


def _state(entry: TargetParameters) -> str:
    if entry.stopped:
        return "stopped"
    return "drained" if entry.drained else "in use"
