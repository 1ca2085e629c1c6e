"""``endivegw status``: overview of the fleet."""

from __future__ import annotations

import time
from collections import Counter

import click

from endivegw.cli.config import print_lagging
from endivegw.cli.operating import OperatorContext, unwrap_result, with_platform
from endivegw.cli.output import output_option, print_json
from endivegw.configuration.store import load_snapshot
from endivegw.queries.fleet import fleet_revisions

__all__ = ["status"]


@click.command()
@output_option
@with_platform
async def status(context: OperatorContext, output: str) -> None:
    """Show VMs, daemons, targets and the revision of the configuration."""
    platform, timeout_s = context.platform, context.operation.timeout_s
    fleet = unwrap_result(
        await fleet_revisions(
            platform.table, platform.vms, now_s=time.time(), timeout_s=timeout_s
        )
    )
    snapshot = unwrap_result(await load_snapshot(platform.table, timeout_s=timeout_s))
    vms = Counter(f"{vm.role} {vm.state.value}" for vm in fleet.vms)
    drained = sorted(t.target for t in snapshot.targets.values() if t.drained)
    lagging = fleet.lagging(fleet.revision)
    if output == "json":
        print_json(
            {
                "revision": fleet.revision,
                "accounts": len(snapshot.accounts),
                "targets": len(snapshot.targets),
                "drained": drained,
                "daemons": len(fleet.daemons),
                "lagging": [entry.daemon for entry in lagging],
                "unheard": list(fleet.unreported_vms),
                "vms": dict(vms),
            }
        )
        return
    click.echo(f"configuration: revision {fleet.revision}")
    click.echo(f"accounts: {len(snapshot.accounts)}")
    click.echo(f"targets: {len(snapshot.targets)}, drained: {len(drained)}")
    for name in drained:
        click.echo(f"  {name}")
    listed = ", ".join(f"{count} {label}" for label, count in sorted(vms.items()))
    click.echo(f"VMs: {listed or 'none listed'}")
    click.echo(f"responsive daemons: {len(fleet.daemons)}, lagging: {len(lagging)}")
    print_lagging(fleet, fleet.revision)
