"""The sidecar as a process: configuration, listener and planned stop."""

from __future__ import annotations

from typing import Protocol

import anyio
from anyio.abc import TaskStatus
from attrs import frozen

from endivegw.budgets.gate import GrantGate
from endivegw.configuration import Snapshot
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.slot_claim_service import SlotClaimService
from endivegw.peers import PeerSecurity
from endivegw.settings import SidecarSettings
from endivegw.targets.order_manager import OrderManager
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import daemons as events
from endivegw.types import InstanceId

__all__ = ["SidecarProcess", "SidecarProcessParts"]

#: Time before the listener closes, in which routers must learn that the target
#: leaves; they send each sidecar about two heartbeats a second.
_LEAVE_NOTICE_S = 2.0


#: Timeout for releasing key slots and writing the last checkpoint. If the table
#: is unavailable for longer, recovery determines the consumption.
_CLOSE_TIMEOUT_S = 10.0


class _Closable(Protocol):
    async def aclose(self) -> None:
        """Close the connections to the target."""


@frozen
class SidecarProcessParts:
    """Hold the parts of one sidecar, as wired by the composition root.

    :param orders: runs the operators' orders; None beside a plain service, which
        accepts none.
    """

    settings: SidecarSettings
    instance_id: InstanceId
    configuration: ConfigurationAgent
    sidecar: Sidecar
    grants: GrantGate
    claim_service: SlotClaimService
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
        self._stop_requested = anyio.Event()
        self._draining = False
        parts.configuration.on_change(self._on_configuration)

    @property
    def stopped(self) -> bool:
        """Return whether a planned stop is complete."""
        return self._stopped.is_set()

    async def run(
        self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`drain` is complete or the task is cancelled."""
        parts = self._parts
        listen = parts.settings.peers.listen
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(parts.configuration.run)
                tasks.start_soon(self._run_grants)
                tasks.start_soon(self._stop_on_request)
                tasks.start_soon(parts.claim_service.run)
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

    async def _run_grants(self) -> None:
        await self._parts.grants.start()
        await self._parts.grants.run()

    async def _stop_on_request(self) -> None:
        await self._stop_requested.wait()
        await self.drain()

    async def drain(self) -> None:
        """Refuse new work, wait for running work to end, and stop."""
        if self._draining:
            # Both operators and the termination of the VM may request a stop.
            await self._stopped.wait()
            return
        self._draining = True
        bound_s = self._parts.settings.process.drain_bound_s
        complete = await self._parts.sidecar.drain(bound_s)
        with anyio.move_on_after(_CLOSE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._parts.claim_service.release)
                if complete:
                    tasks.start_soon(self._parts.grants.close)
                await anyio.sleep(_LEAVE_NOTICE_S)
        self._parts.log.emit(
            events.DAEMON_STOPPED,
            role="sidecar",
            instance_id=self._parts.instance_id,
            cut_off=0 if complete else "unknown",
        )
        self._stopped.set()

    def _on_configuration(self, snapshot: Snapshot) -> None:
        """Drain, resume or stop as the target's configuration requires."""
        if self._draining:
            return
        parameters = snapshot.targets.get(self._parts.settings.target.target)
        drained = parameters is not None and parameters.drained
        self._parts.sidecar.set_drain_reason("drained by operators" if drained else "")
        if parameters is not None and parameters.stopped:
            self._stop_requested.set()
