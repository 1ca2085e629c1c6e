"""Exchange heartbeats with a few other routers."""

from __future__ import annotations

import hashlib
import random
from typing import Callable

import anyio

from endivegw.daemons.peer_directory import ROUTER_ROLE, ConnectRouter
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.membership import MembershipPolicy
from endivegw.peers import RouterClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.services import ListedVm
from endivegw.types import AvailabilityZone

__all__ = ["RouterHeartbeats", "heartbeat_partners"]

_TIMEOUT_S = 1.0


def heartbeat_partners(
    vms: tuple[ListedVm, ...], local_vm: str, local_zone: AvailabilityZone, count: int
) -> tuple[ListedVm, ...]:
    """Return the routers that this one exchanges heartbeats with.

    Half of them are in other availability zones, if there are any, so that
    configuration changes and tokens cross zones while the table is unavailable. The
    partners are chosen by rendezvous hashing: adding or removing a router changes the
    partners of only a few others.
    """

    def weight(vm: ListedVm) -> bytes:
        pair = "|".join(sorted((local_vm, vm.vm)))
        return hashlib.blake2b(pair.encode(), digest_size=8).digest()

    others = sorted(
        (vm for vm in vms if vm.role == ROUTER_ROLE and vm.vm != local_vm), key=weight
    )
    same_zone = [vm for vm in others if vm.availability_zone == local_zone]
    other_zones = [vm for vm in others if vm.availability_zone != local_zone]
    half = count // 2
    chosen = other_zones[:half] + same_zone[: count - half]
    remaining = [vm for vm in others if vm not in chosen]
    return tuple(chosen + remaining)[:count]


class RouterHeartbeats:
    """Send heartbeats to partners, and pass the headers of their replies on.

    :param on_header: called with the header of each reply.
    """

    def __init__(
        self,
        local_vm: str,
        local_zone: AvailabilityZone,
        vms: ObservedVmList,
        connect: ConnectRouter,
        router_port: int,
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        rng: random.Random,
        policy: MembershipPolicy = MembershipPolicy(),
    ) -> None:
        self._local_vm = local_vm
        self._local_zone = local_zone
        self._vms = vms
        self._connect = connect
        self._router_port = router_port
        self._header = header
        self._on_header = on_header
        self._rng = rng
        self._policy = policy
        self._clients: dict[str, RouterClient] = {}

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        try:
            while True:
                await self._exchange_heartbeats()
                # Jitter desynchronizes routers that started at the same time.
                wait_s = self._policy.router_interval_s * self._rng.uniform(0.8, 1.0)
                await anyio.sleep(wait_s if self._vms.current else 0.2)
        finally:
            for client in self._clients.values():
                client.close()

    async def _exchange_heartbeats(self) -> None:
        chosen = heartbeat_partners(
            self._vms.current,
            self._local_vm,
            self._local_zone,
            self._policy.routers_per_router,
        )
        addresses = {vm.address for vm in chosen}
        for address in set(self._clients) - addresses:
            self._clients.pop(address).close()
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(self._send_heartbeat, address)

    async def _send_heartbeat(self, address: str) -> None:
        client = self._clients.get(address)
        if client is None:
            client = self._connect(address, self._router_port)
            self._clients[address] = client
        try:
            request = pb.HeartbeatRequest(header=self._header())
            reply = await client.heartbeat(request, _TIMEOUT_S)
        except PeerError:
            # An unresponsive partner has no effect here: recovery sends its own probes.
            return
        self._on_header(reply.header)
