"""Call any sidecar of the fleet to seal grants."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.budgets import SealedGrant
from endivegw.budgets.recovery import SealAnswer
from endivegw.daemons.peer_directory import TARGET_ROLE, ConnectSidecar
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.peers import NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import ListedVm
from endivegw.types import GrantId, InstanceId, TargetName

__all__ = ["SealClient", "vm_of_instance"]

_TIMEOUT_S = 1.0
_MAX_CONCURRENT_CALLS = 32

#: How long a vm must be missing from the platform's list before its sidecar counts as
#: terminated. The list lags and may skip a vm; if the sidecar is still alive, the
#: grants that it used would be written off in full.
_TERMINATED_AFTER_S = 120.0


def vm_of_instance(instance_id: InstanceId) -> str:
    """Return the vm of a process; instance ids have the form ``VM-RANDOM``."""
    return instance_id.rpartition("-")[0]


class SealClient:
    """Call sidecars on behalf of recovery.

    A router watches only some targets, while a grant may have been used at any of
    them. The sidecars are therefore found through the platform's vm list, and each is
    queried for its target.
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
        vms.on_vms_listed(self._track_missing_vms)

    async def discover_targets(self) -> None:
        """Query every listed sidecar for the target that it serves."""
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

        async def discover(address: str) -> None:
            async with limiter:
                await self._discover_target(address)

        async with anyio.create_task_group() as tasks:
            for vm in self._vms.current:
                if vm.role == TARGET_ROLE:
                    tasks.start_soon(discover, vm.address)

    async def seal(
        self, target: TargetName, grant_ids: tuple[GrantId, ...], *, timeout_s: float
    ) -> Result[SealAnswer]:
        """Seal grants at a target's sidecar and return their consumption."""
        address = self._addresses.get(target)
        if address is None:
            return Refused(Reason.UNREACHABLE, f"no sidecar found for target {target}")
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
        return Done(_parse_reply(reply))

    def terminated_at_s(self, target: TargetName, sidecar: InstanceId) -> float | None:
        """Return since when a sidecar's vm has been missing, None if not terminated.

        The vm counts as terminated once it has been missing from the platform's list
        for long enough.
        """
        since_s = self._missing_since_s.get(vm_of_instance(sidecar))
        if since_s is None:
            # The vm was never on this router's list: the time is measured from the
            # first query.
            if vm_of_instance(sidecar) not in self._listed and self._listed:
                self._missing_since_s[vm_of_instance(sidecar)] = self._clock()
            return None
        return since_s if self._clock() - since_s > _TERMINATED_AFTER_S else None

    def _track_missing_vms(self, vms: tuple[ListedVm, ...], now_s: float) -> None:
        listed = frozenset(vm.vm for vm in vms)
        for vm in self._listed - listed:
            self._missing_since_s.setdefault(vm, now_s)
        for vm in listed:
            self._missing_since_s.pop(vm, None)
        self._listed = listed

    async def _discover_target(self, address: str) -> None:
        client: SidecarClient = self._connect(address, self._sidecar_port)
        try:
            request = pb.HeartbeatRequest(header=self._header())
            reply = await client.heartbeat(request, _TIMEOUT_S)
        except PeerError:
            return
        finally:
            client.close()
        self._addresses[TargetName(reply.load.target)] = address


def _parse_reply(reply: pb.SealReply) -> SealAnswer:
    grants = tuple(
        SealedGrant(
            GrantId(grant.grant_id),
            grant.consumed_tokens,
            grant.running_tokens,
            grant.running,
        )
        for grant in reply.grants
    )
    return SealAnswer(InstanceId(reply.header.instance_id), grants)
