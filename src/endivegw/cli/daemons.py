"""Commands that run a daemon until a signal stops it."""

from __future__ import annotations

import pathlib
import signal
from typing import Any, Callable, Coroutine, Protocol

import anyio
import click

from endivegw.cli.errors import handle_errors
from endivegw.composition import build_router, build_sidecar
from endivegw.settings import load_router_settings, load_sidecar_settings
from endivegw.telemetry import Level, json_line_handler

__all__ = ["router", "run_until_signalled", "sidecar"]

_settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    required=True,
    help="INI file with the daemon's settings.",
)
_check_option = click.option(
    "--check-settings",
    is_flag=True,
    help="Validate the settings and exit.",
)


class Daemon(Protocol):
    """Interface of a long-running process that can be drained."""

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until drained."""

    async def drain(self) -> None:
        """Refuse new work, let running work end, then make :meth:`run` return."""


@click.command()
@_settings_option
@_check_option
@handle_errors
def router(settings_path: pathlib.Path, check_settings: bool) -> None:
    """Run a router on an entry VM.

    A router accepts callers' requests and routes them to targets. The first SIGTERM
    or SIGINT drains it: it accepts no new requests, completes answers in progress,
    returns its unused tokens and exits.
    """
    settings = load_router_settings(settings_path)
    if check_settings:
        click.echo(f"{settings_path}: settings are valid")
        return
    with json_line_handler(Level(settings.logs.level)).applicationbound():
        anyio.run(run_until_signalled, lambda: build_router(settings))


@click.command()
@_settings_option
@_check_option
@handle_errors
def sidecar(settings_path: pathlib.Path, check_settings: bool) -> None:
    """Run a sidecar beside a target.

    A sidecar decides whether work may run at its target. The first SIGTERM or
    SIGINT drains it: it refuses new work as not run and exits once running work
    has ended.
    """
    settings = load_sidecar_settings(settings_path)
    if check_settings:
        click.echo(f"{settings_path}: settings are valid")
        return
    with json_line_handler(Level(settings.logs.level)).applicationbound():
        anyio.run(run_until_signalled, lambda: build_sidecar(settings))


async def run_until_signalled(build: Callable[[], Daemon]) -> None:
    """Run a daemon; the first signal drains it, the second terminates it at once."""
    daemon = build()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drain_on_signal, daemon.drain, tasks.cancel_scope)
        await daemon.run()
        tasks.cancel_scope.cancel()


async def drain_on_signal(
    drain: Callable[[], Coroutine[Any, Any, None]], scope: anyio.CancelScope
) -> None:
    """Drain on the first SIGTERM or SIGINT, cancel the scope on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            first = True
            async for _ in signals:
                if not first:
                    scope.cancel()
                    return
                first = False
                tasks.start_soon(drain)
