"""Own key slots beside a target: take them, keep them, answer claims."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from endivegw.daemons.claim_messages import ask_of, identity_of, reply_of
from endivegw.daemons.claim_slot import KeptSlot
from endivegw.daemons.sidecar_ports import Clock
from endivegw.daemons.slot_map_reader import read_slot_map
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.claim_rows import acquire_transaction
from endivegw.requests.claims import ClaimAnswer, ClaimLimits, SlotOwner
from endivegw.requests.slots import (
    AcquisitionRule,
    Slot,
    SlotAcquisition,
    SlotHeartbeat,
    SlotWatch,
    slot_of,
)
from endivegw.results import Done, Reason, Refused
from endivegw.services import TablePort, VmListPort, VmState
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.sidecar import (
    CLAIM_ANSWERED,
    SLOT_ACQUIRED,
    SLOT_LOST,
    SLOT_RELEASED,
)
from endivegw.types import InstanceId, TargetName

__all__ = ["DeskSettings", "SlotDesk"]


@frozen
class DeskSettings:
    """Hold who owns slots here.

    :param vm: the platform's id of this machine, as the VM list names it.
    :param address: where the sidecar is reached, as ``host:port``.
    :param watch_s: how often the map is read. 650 sidecars at 15 seconds cost
        the table 43 reads a second.
    :param near_watch_s: the same for those that would take a slot next; at most
        96 of them cost 32 reads a second. They must learn of an owner's end
        within the grace time, or the slot is tainted.
    :param list_s: how often the VM list is read where no owner near in rank is
        silent; 650 sidecars ask for it 6 times a second.
    :param wait_s: how long a claim may wait for its row within one call.
    """

    vm: str
    target: TargetName
    instance_id: InstanceId
    address: str
    watch_s: float = 15.0
    near_watch_s: float = 3.0
    list_s: float = 120.0
    wait_s: float = 2.0
    rule: AcquisitionRule = AcquisitionRule()
    limits: ClaimLimits = ClaimLimits()


class SlotDesk:
    """Answer claims for the slots that this process owns.

    :param wall: seconds since the epoch on this machine's clock.
    """

    def __init__(
        self,
        settings: DeskSettings,
        table: TablePort,
        vm_list: VmListPort,
        clock: Clock,
        wall: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._table = table
        self._vm_list = vm_list
        self._clock = clock
        self._wall = wall
        self._log = log
        self._watch = SlotWatch(
            settings.vm,
            settings.target,
            settings.instance_id,
            settings.rule,
            settings.limits,
        )
        self._kept: dict[int, KeptSlot] = {}
        self._absent_before: frozenset[str] = frozenset()
        self._live: frozenset[str] = frozenset()
        self._listed_at_s = float("-inf")
        self._leaving = False
        self._watch_interval_s = settings.near_watch_s

    def owned_slots(self) -> tuple[int, ...]:
        """Return the slots that this process owns."""
        return tuple(self._kept)

    async def run(self) -> None:
        """Watch the map and keep what is owned until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._leaving:
                    await self._look(tasks)
                await anyio.sleep(self._watch_interval_s)

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimReply:
        """Return the owner's word on one request identity."""
        identity = identity_of(request)
        slot = slot_of(identity, self._settings.rule.slots)
        kept = self._kept.get(slot)
        if kept is None:
            answer: ClaimAnswer = Refused(
                Reason.CLAIM_UNAVAILABLE, f"slot {slot} is not owned here"
            )
        else:
            answer = await kept.ask(ask_of(request), self._settings.wait_s)
        self._log.emit(
            CLAIM_ANSWERED,
            slot=slot,
            attempt_id=request.attempt_id,
            answer=type(answer).__name__,
        )
        reply = reply_of(answer)
        reply.slot_map_version = kept.slot.epoch if kept is not None else 0
        return reply

    async def release(self) -> None:
        """Flush and hand back every slot, for a planned stop."""
        self._leaving = True
        for number, kept in tuple(self._kept.items()):
            while not await kept.release():
                await anyio.sleep(1.0)
            self._log.emit(SLOT_RELEASED, slot=number, epoch=kept.slot.epoch)

    async def _look(self, tasks: TaskGroup) -> None:
        current = await read_slot_map(self._table, self._clock)
        if current is None:
            return
        self._watch.read(current)
        self._adopt(tasks)
        if not self._list_is_due():
            return
        vms = await self._vm_list.list_vms(timeout_s=1.0)
        if not isinstance(vms, Done):
            return
        self._listed_at_s = self._clock()
        targets = [vm for vm in vms.value if vm.role == "target"]
        named = frozenset(vm.vm for vm in targets)
        # A list that lacks even this machine is wrong about others as well.
        if self._settings.vm not in named:
            return
        self._live = frozenset(vm.vm for vm in targets if vm.state is VmState.LIVE)
        near = self._watch.is_near(self._live)
        settings = self._settings
        self._watch_interval_s = settings.near_watch_s if near else settings.watch_s
        listed = named | self._not_yet_absent(named)
        now_s, wall_s = self._clock(), self._wall()
        for acquisition in self._watch.acquisitions(listed, self._live, now_s, wall_s):
            await self._try(acquisition, tasks)

    def _list_is_due(self) -> bool:
        now_s = self._clock()
        if now_s - self._listed_at_s >= self._settings.list_s:
            return True
        return self._watch.needs_vm_list(self._live, now_s)

    def _adopt(self, tasks: TaskGroup) -> None:
        """Own what was taken by a write whose answer was lost."""
        for number, slot in self._watch.current.slots.items():
            mine = slot.instance_id == self._settings.instance_id
            if mine and not slot.released and number not in self._kept:
                self._own(slot, tasks)

    def _not_yet_absent(self, named: frozenset[str]) -> frozenset[str]:
        """Return owners that the list lacks for the first time.

        One reading of the list may come from a copy that lags; an owner counts
        as ended only when two readings in a row lack it.
        """
        owners = frozenset(slot.vm for slot in self._watch.current.slots.values())
        absent = owners - named
        fresh = absent - self._absent_before
        self._absent_before = absent
        return fresh

    async def _try(self, acquisition: SlotAcquisition, tasks: TaskGroup) -> None:
        if acquisition.slot in self._kept:
            return
        own = self._settings
        transaction = acquire_transaction(
            acquisition, own.target, own.instance_id, own.vm, own.address
        )
        result = await self._table.transact(transaction, timeout_s=1.0)
        # Lost answer: the next reading of the map shows whether it took effect.
        if not isinstance(result, Done):
            return
        slot = Slot(
            acquisition.slot,
            own.target,
            own.instance_id,
            own.vm,
            own.address,
            acquisition.epoch,
            acquisition.tainted,
            acquisition.expected_version + 1,
        )
        self._own(slot, tasks)

    def _own(self, slot: Slot, tasks: TaskGroup) -> None:
        now_s = self._clock()
        limits = self._settings.limits
        owner = SlotOwner(slot.number, limits, last_heartbeat_s=now_s)
        if slot.tainted:
            owner.tainted_until_s = now_s + limits.retention_s
        known = self._watch.current.heartbeats.get(slot.number)
        count = 0 if known is None else known.count
        heartbeat = SlotHeartbeat(count, count, int(self._wall() * 1000))
        kept = KeptSlot(slot, owner, heartbeat, self._table, self._clock, self._wall)
        self._kept[slot.number] = kept
        self._log.emit(
            SLOT_ACQUIRED, slot=slot.number, epoch=slot.epoch, tainted=slot.tainted
        )
        tasks.start_soon(self._keep, kept)

    async def _keep(self, kept: KeptSlot) -> None:
        await kept.keep()
        del self._kept[kept.slot.number]
        self._log.emit(SLOT_LOST, slot=kept.slot.number, epoch=kept.slot.epoch)
