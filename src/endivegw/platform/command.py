"""The command that runs a router on the platform."""

from __future__ import annotations

import functools
import os
import pathlib
import signal
import sys
from typing import Callable

import anyio
import click
import logbook

from endivegw.composition.direct_router import build_direct_router
from endivegw.daemons.direct_router import DirectRouter
from endivegw.exceptions import EndivegwError
from endivegw.hangups import ignore_hangups, record_hangups, take_hangup
from endivegw.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
    decode_configuration,
    decode_evacuation,
    decode_target,
)
from endivegw.platform.store import PlatformStore
from endivegw.platform.wire import PlatformWire
from endivegw.process_start import STARTED_S
from endivegw.routing import DirectTarget, FleetConfiguration
from endivegw.settings.direct import (
    DirectRouterSettings,
    load_direct_router_settings,
)
from endivegw.telemetry import EventLog
from endivegw.telemetry.bounded import BoundedLineBuffer, bounded_handler
from endivegw.telemetry.catalogue.relay import SETTINGS_READ
from endivegw.types import AvailabilityZone

__all__ = ["PlatformDecoder", "platform_router"]

#: Environment variable in which the platform passes the path of the settings file.
_SETTINGS_VARIABLE = "ENDIVEGW_SETTINGS"

#: Interval at which SIGHUP is looked for. An event loop's own handler would leave the
#: default action, which ends the process, before the loop runs and after it.
_HANGUP_INTERVAL_S = 0.5


class PlatformDecoder:
    """Decode the platform's rows."""

    configuration_table = CONFIGURATION_TABLE
    configuration_key = CONFIGURATION_KEY
    targets_table = TARGETS_TABLE

    def configuration(self, value: bytes) -> FleetConfiguration:
        """Decode the operator's configuration."""
        return decode_configuration(value)

    def evacuation(self, key: str) -> AvailabilityZone | None:
        """Return the zone that a row of the operator's table evacuates."""
        return decode_evacuation(key)

    def target(self, key: str, value: bytes) -> DirectTarget:
        """Decode a target's entry."""
        return decode_target(key, value)


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    default=lambda: os.environ.get(_SETTINGS_VARIABLE),
    help=f"INI file with the router's settings; by default ${_SETTINGS_VARIABLE}.",
)
@click.option("--check-settings", is_flag=True, help="Check the settings and exit.")
def platform_router(settings_path: pathlib.Path | None, check_settings: bool) -> None:
    """Run a router on the platform's entry VMs.

    SIGTERM drains the router: it finishes its requests, returns its tokens and
    exits.
    """
    record_hangups()
    if settings_path is None:
        raise click.UsageError(f"neither --settings nor ${_SETTINGS_VARIABLE} is given")
    try:
        settings = load_direct_router_settings(pathlib.Path(settings_path))
    except EndivegwError as error:
        click.echo(error.message, err=True)
        sys.exit(error.exit_code)
    if check_settings:
        click.echo(f"{settings_path}: settings are valid")
        return
    level = logbook.lookup_level(settings.log_level.upper())
    handler, lines = bounded_handler(sys.stdout.fileno(), level)
    # The event loop would otherwise probe for io_uring, which hosts may forbid.
    os.environ["UV_USE_IO_URING"] = "0"
    with handler.applicationbound():
        store = PlatformStore(str(settings.store))
        router = build_direct_router(
            settings, store, PlatformWire(), PlatformDecoder(), STARTED_S
        )
        check_changed_settings = functools.partial(
            _check_changed_settings, pathlib.Path(settings_path), settings
        )
        anyio.run(
            _run,
            router,
            lines,
            check_changed_settings,
            backend_options={"use_uvloop": True},
        )
    ignore_hangups()
    lines.flush()


def _check_changed_settings(path: pathlib.Path, active: DirectRouterSettings) -> None:
    """Log whether the settings file is valid and differs from the active settings.

    The settings are not applied, because addresses cannot change while running.
    """
    log = EventLog("router", vm=active.vm)
    try:
        changed_settings = load_direct_router_settings(path)
    except EndivegwError as error:
        log.emit(SETTINGS_READ, valid=False, changed=None, detail=error.message)
        return
    log.emit(SETTINGS_READ, valid=True, changed=changed_settings != active, detail="")


async def _run(
    router: DirectRouter,
    lines: BoundedLineBuffer,
    check_changed_settings: Callable[[], None],
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lines.run)
        tasks.start_soon(_watch_signals, router)
        tasks.start_soon(_watch_hangups, check_changed_settings)
        await router.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(router: DirectRouter) -> None:
    """Drain on SIGTERM or SIGINT.

    A signal that comes after that does not end the process in another way.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await router.drain()
            await anyio.sleep_forever()


async def _watch_hangups(check_changed_settings: Callable[[], None]) -> None:
    """Validate the settings file after SIGHUP.

    Changed settings take effect with the next restart.
    """
    while True:
        if take_hangup():
            check_changed_settings()
        await anyio.sleep(_HANGUP_INTERVAL_S)
