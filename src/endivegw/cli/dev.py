"""``endivegw dev``: a complete fleet on loopback."""

from __future__ import annotations

import json
import sys

import anyio
import click

from endivegw.cli.daemons import drain_on_signal
from endivegw.cli.errors import handle_errors
from endivegw.telemetry import Level, json_line_handler

__all__ = ["dev"]

_DEFAULT_HTTP_PORT = 8080


@click.command()
@click.option(
    "--http-port",
    default=_DEFAULT_HTTP_PORT,
    show_default=True,
    help="Port of the first router; the second uses the next port. 0 for free ports.",
)
@click.option(
    "--log-level",
    type=click.Choice([level.value for level in Level]),
    default=Level.WARNING.value,
    show_default=True,
    help="Minimum level of the log lines on standard error.",
)
@click.option(
    "--exercise-s",
    type=click.FloatRange(min=1.0, max=600.0),
    default=None,
    help="Run a load with injected faults for this many seconds, report, and exit.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the exercise.")
@click.option(
    "--report",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Format of the exercise's report.",
)
@click.option(
    "--platform",
    is_flag=True,
    help="Run direct routers, which call targets themselves.",
)
@handle_errors
def dev(
    http_port: int,
    log_level: str,
    exercise_s: float | None,
    seed: int,
    report: str,
    platform: bool,
) -> None:
    """Run a small fleet on loopback, with stand-ins for external systems.

    Two routers, sidecars with fake engines in three availability zones, one
    plain service, and a stand-in for the platform run in one process. Ctrl-C
    drains the fleet.
    """
    with json_line_handler(Level(log_level)).applicationbound():
        if platform:
            from endivegw.dev.platform import serve_platform

            anyio.run(serve_platform)
            return
        if exercise_s is None:
            anyio.run(_serve, http_port)
            return
        from endivegw.dev.exercise import run_exercise

        figures = anyio.run(run_exercise, exercise_s, seed)
    if report == "json":
        click.echo(json.dumps(figures.as_document()))
    else:
        for name, value in figures.as_document().items():
            click.echo(f"{name}: {value}")
    if figures.violations:
        sys.exit(1)


async def _serve(http_port: int) -> None:
    # Imported here because the daemons' commands must not depend on the stand-ins.
    from endivegw.dev.fleet import DevFleet

    ports = (http_port, http_port + 1) if http_port else (0, 0)
    fleet = DevFleet(http_ports=ports)
    stopped = anyio.Event()

    async def drain() -> None:
        click.echo("draining")
        await fleet.drain()
        stopped.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drain_on_signal, drain, tasks.cancel_scope)
        await fleet.start(tasks)
        _print_example(fleet.routers[0].url, fleet.accounts[0].key, fleet)
        await stopped.wait()
        tasks.cancel_scope.cancel()
    click.echo("stopped")


def _print_example(url: str, key: str, fleet: object) -> None:
    from endivegw.dev.fleet import DevFleet
    from endivegw.dev.layout import MODEL

    assert isinstance(fleet, DevFleet)
    for router in fleet.routers:
        click.echo(f"router {router.number}: {router.url}")
    for account in fleet.accounts:
        click.echo(f"client account {account.client_account}: key {account.key}")
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": "A badge for Ana, please."}],
            "stream": True,
        }
    )
    click.echo("try:")
    click.echo(
        f"curl -N {url}/v1/chat/completions -H 'authorization: Bearer {key}' "
        f"-H 'content-type: application/json' -d '{body}'"
    )
