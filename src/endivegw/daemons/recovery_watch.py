"""Find routers that ended without settling, and recover their grants."""

from __future__ import annotations

import hashlib
import random
from typing import Callable

import anyio
from attrs import frozen

from endivegw.budgets.recovery import ROUND_S, Recovery
from endivegw.budgets.rows import HOLDER_PARTITION, HolderRow
from endivegw.daemons.peer_book import ROUTER_ROLE, ConnectRouter
from endivegw.daemons.seal_calls import SealCalls, vm_of_instance
from endivegw.daemons.vm_listings import ObservedVmList
from endivegw.exceptions import PeerError
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done
from endivegw.services import TablePort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import router as events
from endivegw.types import InstanceId

__all__ = ["RecoveryOptions", "RecoveryWatch", "is_on_duty"]


#: Heartbeats over the silence; one that is answered ends the suspicion.
_PROBES = 6


@frozen
class RecoveryOptions:
    """Hold the pace of recovery.

    :param turn_s: how long one router is on duty. One scan of 370 holder rows
        each turn is the whole fleet's cost while nothing fails.
    :param silence_s: after how long without an answered heartbeat a listed
        router counts as ended. Half a minute covers a paused machine and a lost
        link; recovering a router that lives is safe, since the sidecars refuse
        its work as not run, but costs it a new draw.
    :param sweep_every: turns between two deletions of old rows.
    """

    turn_s: float = 15.0
    silence_s: float = 30.0
    probe_timeout_s: float = 1.0
    sweep_every: int = 100


def is_on_duty(routers: tuple[str, ...], own_vm: str, turn: int) -> bool:
    """Return whether this router looks after the others in a turn.

    Every router works it out alike from the platform's list. Where lists
    differ, two may be on duty, or none: conditional writes decide between two,
    and the next turn has another router.
    """

    def weight(vm: str) -> bytes:
        return hashlib.blake2b(f"{turn}|{vm}".encode(), digest_size=8).digest()

    return bool(routers) and min(routers, key=weight) == own_vm


class RecoveryWatch:
    """Take turns with the other routers in looking for holders that ended."""

    def __init__(
        self,
        own_vm: str,
        own_instance: InstanceId,
        table: TablePort,
        vms: ObservedVmList,
        recovery: Recovery,
        seals: SealCalls,
        connect: ConnectRouter,
        router_port: int,
        header: Callable[[], pb.Header],
        clock: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        options: RecoveryOptions = RecoveryOptions(),
    ) -> None:
        self._own_vm = own_vm
        self._own_instance = own_instance
        self._table = table
        self._vms = vms
        self._recovery = recovery
        self._seals = seals
        self._connect = connect
        self._router_port = router_port
        self._header = header
        self._clock = clock
        self._rng = rng
        self._log = log
        self._options = options

    async def run(self) -> None:
        """Look for as long as the router lives."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._recover_predecessors)
            await self._take_turns()

    async def _recover_predecessors(self) -> None:
        """Recover what earlier processes on this machine held, at once.

        This process stands in their place, which proves that they have ended.
        The sooner their grants are collected the better: a sidecar that is lost
        before takes with it what it knew of them, and the account is charged
        for tokens that nobody consumed.
        """
        while True:
            holders = await self._holders(f"{self._own_vm}-")
            if holders is not None and self._vms.current:
                if await self._recover(holders):
                    return
            await anyio.sleep(ROUND_S)

    async def _take_turns(self) -> None:
        last_turn = -1
        while True:
            await anyio.sleep(self._options.turn_s / 4 * self._rng.uniform(0.8, 1.2))
            turn = int(self._clock() // self._options.turn_s)
            routers = tuple(vm.vm for vm in self._vms.current if vm.role == ROUTER_ROLE)
            if turn == last_turn or not is_on_duty(routers, self._own_vm, turn):
                continue
            last_turn = turn
            await self._look()
            if turn % self._options.sweep_every == 0:
                await self._recovery.delete_expired_rows()

    async def _look(self) -> None:
        """Recover each holder whose router has ended."""
        holders = await self._holders("")
        ended = [one for one in holders or () if await self._has_ended(one)]
        await self._recover(ended)

    async def _recover(self, ended: list[InstanceId]) -> bool:
        """Go one round for each of these; return whether nothing is left."""
        if not ended:
            return True
        await self._seals.learn_targets()
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
        """Return the instances that hold grants and are not this one.

        :param prefix: of the holders' names, "" for all.
        :returns: None where the table gave no answer.
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
                if not holder.recovered and holder.instance_id != self._own_instance:
                    found.add(holder.instance_id)
            after = page.value.next_sort
            if after is None:
                return sorted(found)

    async def _has_ended(self, instance_id: InstanceId) -> bool:
        """Return whether a router's process has ended, or seems to for long.

        Another process in its place is proof; silence is not, and takes the
        whole half minute of probes.
        """
        vm = vm_of_instance(instance_id)
        if vm == self._own_vm:
            return True
        address = next((v.address for v in self._vms.current if v.vm == vm), None)
        if address is None:
            # Off the list, which may lag or have skipped it: probing cannot
            # tell, but sealing makes recovery safe in any case.
            return bool(self._vms.current)
        for _ in range(_PROBES):
            present = await self._instance_at(address)
            if present is not None:
                return present != instance_id
            await anyio.sleep(self._options.silence_s / _PROBES)
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
