"""The sidecar as a process: its configuration, its listener, its planned stop."""

from __future__ import annotations

from typing import Protocol

import anyio
from anyio.abc import TaskStatus
from attrs import frozen

from endivegw.budgets.gate import GrantGate
from endivegw.configuration import Snapshot
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.daemons.claim_desk import SlotDesk
from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.daemons.sidecar import Sidecar
from endivegw.peers import PeerSecurity
from endivegw.settings import SidecarSettings
from endivegw.targets.order_manager import OrderManager
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import daemons as events
from endivegw.types import InstanceId

__all__ = ["SidecarProcess", "SidecarProcessParts"]

#: Routers must hear that the target leaves before its listener closes; they ask
#: each sidecar about twice a second.
_LEAVE_NOTICE_S = 2.0


#: What handing back key slots and writing the last checkpoint may take. Where
#: the table is away for longer, recovery finds out what is left.
_CLOSE_BOUND_S = 10.0


class _Closable(Protocol):
    async def aclose(self) -> None:
        """Close the connections to the target."""


@frozen
class SidecarProcessParts:
    """Hold what the composition root wired for one sidecar.

    :param orders: None beside a plain service, which takes no orders.
    """

    settings: SidecarSettings
    instance_id: InstanceId
    configuration: ConfigurationAgent
    sidecar: Sidecar
    grants: GrantGate
    desk: SlotDesk
    target: _Closable
    security: PeerSecurity
    orders: OrderManager | None
    peer_directory: PeerDirectory
    log: EventLog


class SidecarProcess:
    """Run one sidecar until it is drained or cancelled."""

    def __init__(self, parts: SidecarProcessParts) -> None:
        self._parts = parts
        self._stopped = anyio.Event()
        self._stop_wanted = anyio.Event()
        self._draining = False
        parts.configuration.on_change(self._follow_configuration)

    @property
    def stopped(self) -> bool:
        """Return whether a planned stop has ended."""
        return self._stopped.is_set()

    async def run(
        self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`drain` has ended or the task is cancelled."""
        parts = self._parts
        listen = parts.settings.peers.listen
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(parts.configuration.run)
                tasks.start_soon(self._keep_grants)
                tasks.start_soon(self._stop_when_wanted)
                tasks.start_soon(parts.desk.run)
                if parts.orders is not None:
                    tasks.start_soon(parts.orders.run)
                port = await tasks.start(
                    parts.sidecar.serve, listen.ip, listen.port, parts.security
                )
                parts.log.emit(
                    events.DAEMON_STARTED,
                    role="sidecar",
                    instance_id=parts.instance_id,
                    address=f"{listen.ip}:{port}",
                )
                task_status.started(port)
                await self._stopped.wait()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                parts.peer_directory.close()
                await parts.target.aclose()

    async def _keep_grants(self) -> None:
        await self._parts.grants.start()
        await self._parts.grants.run()

    async def _stop_when_wanted(self) -> None:
        await self._stop_wanted.wait()
        await self.drain()

    async def drain(self) -> None:
        """Refuse new work, let what runs end, and stop."""
        if self._draining:
            # Operators stop the target and its VM is told to end as well.
            await self._stopped.wait()
            return
        self._draining = True
        bound_s = self._parts.settings.process.drain_bound_s
        whole = await self._parts.sidecar.drain(bound_s)
        with anyio.move_on_after(_CLOSE_BOUND_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._parts.desk.release)
                if whole:
                    tasks.start_soon(self._parts.grants.close)
                await anyio.sleep(_LEAVE_NOTICE_S)
        self._parts.log.emit(
            events.DAEMON_STOPPED,
            role="sidecar",
            instance_id=self._parts.instance_id,
            cut_off=0 if whole else "unknown",
        )
        self._stopped.set()

    def _follow_configuration(self, snapshot: Snapshot) -> None:
        """Take no new work while operators want the target drained, or stop."""
        if self._draining:
            return
        parameters = snapshot.targets.get(self._parts.settings.target.target)
        drained = parameters is not None and parameters.drained
        self._parts.sidecar.leave("drained by operators" if drained else "")
        if parameters is not None and parameters.stopped:
            self._stop_wanted.set()
