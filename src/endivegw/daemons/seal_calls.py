"""Reach every sidecar of the fleet to seal grants."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.budgets import SealedGrant
from endivegw.budgets.recovery import SealAnswer
from endivegw.daemons.peer_book import TARGET_ROLE, ConnectSidecar
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.peers import NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import ListedVm
from endivegw.types import GrantId, InstanceId, TargetName

__all__ = ["SealCalls", "vm_of_instance"]

_TIMEOUT_S = 1.0
_ASKED_AT_ONCE = 32

#: How long a machine must be missing from the platform's list before its
#: sidecar counts as gone for good. The list lags and may skip a machine; what a
#: sidecar that lives after all had consumed would be written off in full.
_GONE_S = 120.0


def vm_of_instance(instance_id: InstanceId) -> str:
    """Return the machine of a process: instance ids are ``VM-RANDOM``."""
    return instance_id.rpartition("-")[0]


class SealCalls:
    """Implement recovery's way to the sidecars.

    A router watches only some targets, while a grant may have been used at any.
    So the sidecars are found by the list of machines, and asked which target
    they stand beside.
    """

    def __init__(
        self,
        vms: ObservedVmList,
        connect: ConnectSidecar,
        sidecar_port: int,
        header: Callable[[], pb.Header],
        clock: Callable[[], float],
    ) -> None:
        self._vms = vms
        self._connect = connect
        self._sidecar_port = sidecar_port
        self._header = header
        self._clock = clock
        self._addresses: dict[TargetName, str] = {}
        self._missing_since_s: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()
        vms.on_reading(self._follow_list)

    async def learn_targets(self) -> None:
        """Ask every listed sidecar which target it stands beside."""
        limiter = anyio.CapacityLimiter(_ASKED_AT_ONCE)

        async def ask(address: str) -> None:
            async with limiter:
                await self._learn(address)

        async with anyio.create_task_group() as tasks:
            for vm in self._vms.current:
                if vm.role == TARGET_ROLE:
                    tasks.start_soon(ask, vm.address)

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal grants at a target's sidecar and return what they consumed."""
        address = self._addresses.get(target)
        if address is None:
            return Refused(Reason.UNREACHABLE, f"target {target} was not found")
        request = pb.SealRequest(header=self._header(), grant_ids=list(grant_ids))
        client = self._connect(address, self._sidecar_port)
        try:
            reply = await client.seal(request, timeout_s)
        except NotDelivered as error:
            return Refused(Reason.UNREACHABLE, error.message)
        except PeerError as error:
            return Unknown(Reason.ANSWER_LOST, error.message)
        finally:
            client.close()
        return Done(_answer(reply))

    def terminated_at_s(self, target: TargetName, sidecar: InstanceId) -> float | None:
        """Return since when a sidecar's machine is off the list for good."""
        since_s = self._missing_since_s.get(vm_of_instance(sidecar))
        if since_s is None:
            # Never listed here: counted from the first time it was asked about.
            if vm_of_instance(sidecar) not in self._listed and self._listed:
                self._missing_since_s[vm_of_instance(sidecar)] = self._clock()
            return None
        return since_s if self._clock() - since_s > _GONE_S else None

    def _follow_list(self, vms: tuple[ListedVm, ...], now_s: float) -> None:
        listed = frozenset(vm.vm for vm in vms)
        for vm in self._listed - listed:
            self._missing_since_s.setdefault(vm, now_s)
        for vm in listed:
            self._missing_since_s.pop(vm, None)
        self._listed = listed

    async def _learn(self, address: str) -> None:
        client: SidecarClient = self._connect(address, self._sidecar_port)
        try:
            request = pb.HeartbeatRequest(header=self._header())
            reply = await client.heartbeat(request, _TIMEOUT_S)
        except PeerError:
            return
        finally:
            client.close()
        self._addresses[TargetName(reply.load.target)] = address


def _answer(reply: pb.SealReply) -> SealAnswer:
    grants = tuple(
        SealedGrant(
            GrantId(one.grant_id), one.consumed_tokens, one.running_tokens, one.running
        )
        for one in reply.grants
    )
    return SealAnswer(InstanceId(reply.header.instance_id), grants)
