"""Which daemons are there, and which revision each one has."""

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
    """Hold the accepted revision and what is known of each daemon.

    :param daemons: those of which a report was written of late.
    :param unheard: VMs that the platform lists as live and no report names.
        The list lags, so that a dead VM may be among them for a while.
    :param vms: the platform's list; empty where it did not answer.
    :param vms_known: whether it answered.
    """

    revision: ConfigRevision
    daemons: tuple[DaemonRevision, ...]
    unheard: tuple[str, ...]
    vms: tuple[ListedVm, ...]
    vms_known: bool

    def lagging(self, revision: int) -> tuple[DaemonRevision, ...]:
        """Return the daemons that lack a revision; 0 is one not yet ready."""
        return tuple(entry for entry in self.daemons if entry.revision < revision)


async def fleet_revisions(
    table: TablePort, vms: VmListPort, *, now_s: float, timeout_s: float
) -> Result[FleetRevisions]:
    """Return what the table and the VM list say; the list may be away."""
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
    heard = {entry.daemon for entry in daemons}
    unheard = sorted(
        vm.vm for vm in known if vm.state is VmState.LIVE and vm.vm not in heard
    )
    staying = tuple(entry for entry in daemons if entry.daemon not in leaving)
    return Done(
        FleetRevisions(
            revision.value, staying, tuple(unheard), known, isinstance(listed, Done)
        )
    )
