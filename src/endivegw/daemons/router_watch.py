"""Exchange heartbeats with a few other routers."""

from __future__ import annotations

import hashlib
import random
from typing import Callable

import anyio

from endivegw.daemons.peer_book import ROUTER_ROLE, ConnectRouter
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.membership import MembershipPolicy
from endivegw.peers import RouterClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.services import ListedVm
from endivegw.types import AvailabilityZone

__all__ = ["RouterWatch", "partners"]

_TIMEOUT_S = 1.0


def partners(
    vms: tuple[ListedVm, ...], own_vm: str, own_zone: AvailabilityZone, count: int
) -> tuple[ListedVm, ...]:
    """Return the routers that this one exchanges heartbeats with.

    Half of them stand in other availability zones where there are such, so that
    a change of configuration and tokens cross zones while the table is away. A
    router that comes or goes changes the partners of a few others only.
    """

    def weight(vm: ListedVm) -> bytes:
        pair = "|".join(sorted((own_vm, vm.vm)))
        return hashlib.blake2b(pair.encode(), digest_size=8).digest()

    others = sorted(
        (vm for vm in vms if vm.role == ROUTER_ROLE and vm.vm != own_vm), key=weight
    )
    near = [vm for vm in others if vm.availability_zone == own_zone]
    far = [vm for vm in others if vm.availability_zone != own_zone]
    half = count // 2
    chosen = far[:half] + near[: count - half]
    rest = [vm for vm in others if vm not in chosen]
    return tuple(chosen + rest)[:count]


class RouterWatch:
    """Send heartbeats to partners; their headers go to whoever needs them."""

    def __init__(
        self,
        own_vm: str,
        own_zone: AvailabilityZone,
        vms: ObservedVmList,
        connect: ConnectRouter,
        router_port: int,
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        rng: random.Random,
        policy: MembershipPolicy = MembershipPolicy(),
    ) -> None:
        self._own_vm = own_vm
        self._own_zone = own_zone
        self._vms = vms
        self._connect = connect
        self._router_port = router_port
        self._header = header
        self._on_header = on_header
        self._rng = rng
        self._policy = policy
        self._clients: dict[str, RouterClient] = {}

    async def run(self) -> None:
        """Exchange heartbeats for as long as the router lives."""
        try:
            while True:
                await self._round()
                # Jitter keeps routers that started together apart.
                wait_s = self._policy.router_interval_s * self._rng.uniform(0.8, 1.0)
                await anyio.sleep(wait_s if self._vms.current else 0.2)
        finally:
            for client in self._clients.values():
                client.close()

    async def _round(self) -> None:
        chosen = partners(
            self._vms.current,
            self._own_vm,
            self._own_zone,
            self._policy.routers_per_router,
        )
        addresses = {vm.address for vm in chosen}
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(self._beat, address)

    async def _beat(self, address: str) -> None:
        client = self._clients.get(address)
        if client is None:
            client = self._connect(address, self._router_port)
            self._clients[address] = client
        try:
            request = pb.HeartbeatRequest(header=self._header())
            reply = await client.heartbeat(request, _TIMEOUT_S)
        except PeerError:
            # A silent partner is not judged here: recovery asks for itself.
            return
        self._on_header(reply.header)
