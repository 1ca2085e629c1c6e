"""``endivegw dev --platform``: routers that call targets directly, on loopback."""

from __future__ import annotations

import signal

import anyio
import click

from endivegw_standins.platform_fleet import (
    PlatformFleet,
    curl_command,
    run_platform_fleet,
)

__all__ = ["serve_platform"]

_ROUTERS = 2


async def serve_platform() -> None:
    """Run the fleet until interrupted, and print an example request."""
    fleet = PlatformFleet()
    async with run_platform_fleet(fleet, _ROUTERS):
        for number, port in enumerate(fleet.ports):
            metrics = f"http://127.0.0.1:{fleet.metrics_ports[number]}/metrics"
            click.echo(f"router {number}: http://127.0.0.1:{port}, metrics {metrics}")
        click.echo(f"try:\n{curl_command(fleet.ports[0])}")
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        click.echo("draining")
        async with anyio.create_task_group() as tasks:
            for router in fleet.routers:
                tasks.start_soon(router.drain)
    click.echo("stopped")
