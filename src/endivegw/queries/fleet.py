"""Daemons of the fleet and the revision of the configuration that each has."""

from __future__ import annotations

from attrs import frozen

from endivegw.configuration.reports import (
    DaemonRevision,
    daemon_revisions,
    load_reports,
)
from endivegw.configuration.store import load_revision
from endivegw.results import Done, Result
from endivegw.services import ListedVm, TablePort, VmListPort, VmState
from endivegw.types import ConfigRevision

__all__ = ["FleetRevisions", "fleet_revisions"]


@frozen
class FleetRevisions:
    """The accepted revision and the revisions of the daemons.

    :param revision: the newest accepted revision.
    :param daemons: daemons that a recent report names and that are not leaving.
    :param unreported_vms: VMs that the platform lists as live and no report names.
        The list lags behind, so that it may include a dead VM for a while.
    :param vms: the platform's list of VMs; empty if it did not answer.
    :param vms_known: whether the list answered.
    """

    revision: ConfigRevision
    daemons: tuple[DaemonRevision, ...]
    unreported_vms: tuple[str, ...]
    vms: tuple[ListedVm, ...]
    vms_known: bool

    def lagging(self, revision: int) -> tuple[DaemonRevision, ...]:
        """Return the daemons that lack a revision; a daemon at 0 is not ready yet."""
        return tuple(entry for entry in self.daemons if entry.revision < revision)


async def fleet_revisions(
    table: TablePort, vms: VmListPort, *, now_s: float, timeout_s: float
) -> Result[FleetRevisions]:
    """Return the revisions from the table, and the VMs if the VM list answers."""
    revision = await load_revision(table, timeout_s=timeout_s)
    if not isinstance(revision, Done):
        return revision
    reports = await load_reports(table, timeout_s=timeout_s)
    if not isinstance(reports, Done):
        return reports
    daemons = daemon_revisions(reports.value, now_s)
    listed = await vms.list_vms(timeout_s=timeout_s)
    known = listed.value if isinstance(listed, Done) else ()
    leaving = {vm.vm for vm in known if vm.state is VmState.LEAVING}
    reporting = {entry.daemon for entry in daemons}
    unreported = sorted(
        vm.vm for vm in known if vm.state is VmState.LIVE and vm.vm not in reporting
    )
    staying = tuple(entry for entry in daemons if entry.daemon not in leaving)
    return Done(
        FleetRevisions(
            revision.value, staying, tuple(unreported), known, isinstance(listed, Done)
        )
    )
