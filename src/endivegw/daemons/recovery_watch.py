"""Detect routers that ended without settling, and recover their grants."""

from __future__ import annotations

import hashlib
import random
from typing import Callable

import anyio
from attrs import frozen

from endivegw.budgets.recovery import ROUND_S, Recovery
from endivegw.budgets.rows import HOLDER_PARTITION, HolderRow
from endivegw.daemons.peer_directory import ROUTER_ROLE, ConnectRouter
from endivegw.daemons.seal_calls import SealClient, vm_of_instance
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done
from endivegw.services import TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import router as events
from endivegw.types import InstanceId

__all__ = ["RecoveryOptions", "RecoveryWatch", "is_recovery_leader"]


#: Number of heartbeats sent over ``silence_s``; a single reply ends the probing.
_PROBE_COUNT = 6


@frozen
class RecoveryOptions:
    """Hold the intervals and timeouts of recovery.

    :param turn_s: seconds for which one router is the leader. While nothing fails,
        the only cost for the whole fleet is one scan of 370 holder rows per turn.
    :param silence_s: seconds without a heartbeat reply after which a listed router
        counts as ended. Half a minute covers a paused vm and a lost link. Recovering
        a router that is still alive is safe, since the sidecars refuse its work as
        not run, but costs it a new draw.
    :param probe_timeout_s: timeout in seconds of one heartbeat or table scan.
    :param sweep_every: number of turns between two deletions of expired rows.
    """

    turn_s: float = 15.0
    silence_s: float = 30.0
    probe_timeout_s: float = 1.0
    sweep_every: int = 100


def is_recovery_leader(routers: tuple[str, ...], local_vm: str, turn: int) -> bool:
    """Return whether this router is responsible for recovery in a turn.

    Every router computes the leader from the platform's vm list by rendezvous
    hashing. If the lists differ, there may be two leaders, or none: conditional
    writes resolve conflicts between two, and the next turn has another leader.
    """

    def weight(vm: str) -> bytes:
        return hashlib.blake2b(f"{turn}|{vm}".encode(), digest_size=8).digest()

    return bool(routers) and min(routers, key=weight) == local_vm


class RecoveryWatch:
    """Recover the grants of ended routers, in turns with the other routers."""

    def __init__(
        self,
        local_vm: str,
        local_instance: InstanceId,
        table: TablePort,
        vms: ObservedVmList,
        recovery: Recovery,
        seal_client: SealClient,
        connect: ConnectRouter,
        router_port: int,
        header: Callable[[], pb.Header],
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        options: RecoveryOptions = RecoveryOptions(),
    ) -> None:
        self._local_vm = local_vm
        self._local_instance = local_instance
        self._table = table
        self._vms = vms
        self._recovery = recovery
        self._seal_client = seal_client
        self._connect = connect
        self._router_port = router_port
        self._header = header
        self._clock = clock
        self._rng = rng
        self._log = log
        self._options = options

    async def run(self) -> None:
        """Recover the grants of predecessors, then take turns until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._recover_predecessors)
            await self._run_turns()

    async def _recover_predecessors(self) -> None:
        """Recover the grants of earlier router processes on this vm immediately.

        This process has replaced them, which proves that they have ended. Their
        grants are collected as soon as possible: if a sidecar is lost before, its
        record of their consumption is lost as well, and the account is charged for
        tokens that were not consumed.
        """
        while True:
            holders = await self._holders(f"{self._local_vm}-")
            if holders is not None and self._vms.current:
                if await self._recover(holders):
                    return
            await anyio.sleep(ROUND_S)

    async def _run_turns(self) -> None:
        last_turn = -1
        while True:
            await anyio.sleep(self._options.turn_s / 4 * self._rng.uniform(0.8, 1.2))
            turn = int(self._clock() // self._options.turn_s)
            routers = tuple(vm.vm for vm in self._vms.current if vm.role == ROUTER_ROLE)
            if turn == last_turn or not is_recovery_leader(
                routers, self._local_vm, turn
            ):
                continue
            last_turn = turn
            await self._recover_ended_holders()
            if turn % self._options.sweep_every == 0:
                await self._recovery.delete_expired_rows()

    async def _recover_ended_holders(self) -> None:
        """Recover the grants of each holder whose process has ended."""
        holders = await self._holders("")
        ended = [
            instance_id
            for instance_id in holders or ()
            if await self._has_ended(instance_id)
        ]
        await self._recover(ended)

    async def _recover(self, ended: list[InstanceId]) -> bool:
        """Do one recovery round for each instance; return whether all are done."""
        if not ended:
            return True
        await self._seal_client.discover_targets()
        done = True
        for instance_id in ended:
            state = await self._recovery.recover(instance_id)
            self._log.emit(
                events.ROUTER_RECOVERED,
                recovered_instance=instance_id,
                done=state.done,
                grants_left=state.grants_left,
            )
            done = done and state.done
        return done

    async def _holders(self, prefix: str) -> list[InstanceId] | None:
        """Return the other instances that hold grants.

        :param prefix: prefix of the holders' names, "" for all.
        :returns: None if the table did not answer.
        """
        found: set[InstanceId] = set()
        after: str | None = None
        while True:
            page = await self._table.scan(
                HOLDER_PARTITION,
                prefix=prefix,
                after=after,
                timeout_s=self._options.probe_timeout_s,
            )
            if not isinstance(page, Done):
                return None
            for row in page.value.rows:
                holder = HolderRow.of(row)
                if not holder.recovered and holder.instance_id != self._local_instance:
                    found.add(holder.instance_id)
            after = page.value.next_sort
            if after is None:
                return sorted(found)

    async def _has_ended(self, instance_id: InstanceId) -> bool:
        """Return whether a router's process has ended or is presumed to have ended.

        Another process at its address is proof. An unresponsive router is only
        presumed to have ended after all probes, which take ``silence_s``.
        """
        vm = vm_of_instance(instance_id)
        if vm == self._local_vm:
            return True
        address = next((v.address for v in self._vms.current if v.vm == vm), None)
        if address is None:
            # The vm is not on the list, which may lag or have skipped it. Without an
            # address it cannot be probed, but sealing makes recovery safe in any case.
            return bool(self._vms.current)
        for _ in range(_PROBE_COUNT):
            present = await self._instance_at(address)
            if present is not None:
                return present != instance_id
            await anyio.sleep(self._options.silence_s / _PROBE_COUNT)
        return True

    async def _instance_at(self, address: str) -> InstanceId | None:
        client = self._connect(address, self._router_port)
        try:
            request = pb.HeartbeatRequest(header=self._header())
            reply = await client.heartbeat(request, self._options.probe_timeout_s)
        except PeerError:
            return None
        finally:
            client.close()
        return InstanceId(reply.header.instance_id)
