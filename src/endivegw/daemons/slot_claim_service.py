"""Acquire key slots for a sidecar, maintain them, and answer claims on them."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from endivegw.daemons.claim_messages import (
    decode_identity,
    decode_proposal,
    encode_reply,
)
from endivegw.daemons.claim_slot import OwnedSlot
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

__all__ = ["SlotClaimSettings", "SlotClaimService"]


@frozen
class SlotClaimSettings:
    """Hold the identity of a slot owner and its intervals.

    :param vm: the platform's id of this machine, as the VM list names it.
    :param target: name of the target beside the sidecar.
    :param instance_id: id of this sidecar process.
    :param address: address of the sidecar, as ``host:port``.
    :param map_interval_s: interval in seconds between reads of the slot map. 650
        sidecars at 15 seconds cost the table 43 reads a second.
    :param near_map_interval_s: the same interval for the sidecars that are next
        in rank to acquire a slot; at most 96 of them cost 32 reads a second. They
        must detect within the grace time that an owner has terminated, or the
        slot's claims count as possibly incomplete.
    :param vm_list_interval_s: interval in seconds between reads of the VM list
        while every owner near in rank is responsive; 650 sidecars read it 6 times
        a second in all.
    :param wait_s: maximum time in seconds that a claim waits for its row within
        one call.
    :param rule: ranks the sidecars that may acquire a slot.
    :param limits: intervals and bounds of a slot's owner.
    """

    vm: str
    target: TargetName
    instance_id: InstanceId
    address: str
    map_interval_s: float = 15.0
    near_map_interval_s: float = 3.0
    vm_list_interval_s: float = 120.0
    wait_s: float = 2.0
    rule: AcquisitionRule = AcquisitionRule()
    limits: ClaimLimits = ClaimLimits()


class SlotClaimService:
    """Answer claims for the key slots that this process owns.

    :param wall: returns seconds since the epoch on this machine's clock.
    """

    def __init__(
        self,
        settings: SlotClaimSettings,
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
        self._owned: dict[int, OwnedSlot] = {}
        self._absent_before: frozenset[str] = frozenset()
        self._live_vms: frozenset[str] = frozenset()
        self._listed_at_s = float("-inf")
        self._leaving = False
        self._map_interval_s = settings.near_map_interval_s

    def owned_slots(self) -> tuple[int, ...]:
        """Return the numbers of the slots that this process owns."""
        return tuple(self._owned)

    async def run(self) -> None:
        """Read the slot map at an interval and maintain owned slots until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._leaving:
                    await self._poll(tasks)
                await anyio.sleep(self._map_interval_s)

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimReply:
        """Return the owner's answer to a claim on one request identity."""
        identity = decode_identity(request)
        slot = slot_of(identity, self._settings.rule.slots)
        owned = self._owned.get(slot)
        if owned is None:
            answer: ClaimAnswer = Refused(
                Reason.CLAIM_UNAVAILABLE, f"slot {slot} is not owned by this sidecar"
            )
        else:
            answer = await owned.ask(decode_proposal(request), self._settings.wait_s)
        self._log.emit(
            CLAIM_ANSWERED,
            slot=slot,
            attempt_id=request.attempt_id,
            answer=type(answer).__name__,
        )
        reply = encode_reply(answer)
        reply.slot_map_version = owned.slot.epoch if owned is not None else 0
        return reply

    async def release(self) -> None:
        """Flush and release every slot, for a planned stop."""
        self._leaving = True
        for number, owned in tuple(self._owned.items()):
            while not await owned.release():
                await anyio.sleep(1.0)
            self._log.emit(SLOT_RELEASED, slot=number, epoch=owned.slot.epoch)

    async def _poll(self, tasks: TaskGroup) -> None:
        """Read the slot map, and the VM list if due; acquire vacant slots."""
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
        # A list without this machine is incomplete, so its other absences are
        # no evidence either.
        if self._settings.vm not in named:
            return
        self._live_vms = frozenset(vm.vm for vm in targets if vm.state is VmState.LIVE)
        near = self._watch.is_near(self._live_vms)
        settings = self._settings
        self._map_interval_s = (
            settings.near_map_interval_s if near else settings.map_interval_s
        )
        listed = named | self._not_yet_absent(named)
        now_s, wall_s = self._clock(), self._wall()
        for acquisition in self._watch.acquisitions(
            listed, self._live_vms, now_s, wall_s
        ):
            await self._try_acquire(acquisition, tasks)

    def _list_is_due(self) -> bool:
        now_s = self._clock()
        if now_s - self._listed_at_s >= self._settings.vm_list_interval_s:
            return True
        return self._watch.needs_vm_list(self._live_vms, now_s)

    def _adopt(self, tasks: TaskGroup) -> None:
        """Adopt slots acquired by a write whose answer was lost."""
        for number, slot in self._watch.current.slots.items():
            is_local = slot.instance_id == self._settings.instance_id
            if is_local and not slot.released and number not in self._owned:
                self._start_owning(slot, tasks)

    def _not_yet_absent(self, named: frozenset[str]) -> frozenset[str]:
        """Return the VMs of owners that are absent from the list for the first time.

        A single read of the list may come from a replica that lags. An owner
        counts as terminated only if two reads in a row lack it.
        """
        owners = frozenset(slot.vm for slot in self._watch.current.slots.values())
        absent = owners - named
        newly_absent = absent - self._absent_before
        self._absent_before = absent
        return newly_absent

    async def _try_acquire(
        self, acquisition: SlotAcquisition, tasks: TaskGroup
    ) -> None:
        if acquisition.slot in self._owned:
            return
        settings = self._settings
        transaction = acquire_transaction(
            acquisition,
            settings.target,
            settings.instance_id,
            settings.vm,
            settings.address,
        )
        result = await self._table.transact(transaction, timeout_s=1.0)
        # If the answer was lost, the next read of the map shows whether the
        # write took effect.
        if not isinstance(result, Done):
            return
        slot = Slot(
            acquisition.slot,
            settings.target,
            settings.instance_id,
            settings.vm,
            settings.address,
            acquisition.epoch,
            acquisition.possibly_incomplete,
            acquisition.expected_version + 1,
        )
        self._start_owning(slot, tasks)

    def _start_owning(self, slot: Slot, tasks: TaskGroup) -> None:
        now_s = self._clock()
        limits = self._settings.limits
        owner = SlotOwner(slot.number, limits, last_heartbeat_s=now_s)
        if slot.possibly_incomplete:
            owner.incomplete_until_s = now_s + limits.retention_s
        known = self._watch.current.heartbeats.get(slot.number)
        count = 0 if known is None else known.count
        heartbeat = SlotHeartbeat(count, count, int(self._wall() * 1000))
        owned = OwnedSlot(slot, owner, heartbeat, self._table, self._clock, self._wall)
        self._owned[slot.number] = owned
        self._log.emit(
            SLOT_ACQUIRED,
            slot=slot.number,
            epoch=slot.epoch,
            tainted=slot.possibly_incomplete,
        )
        tasks.start_soon(self._maintain, owned)

    async def _maintain(self, owned: OwnedSlot) -> None:
        """Maintain a slot until it is lost, then stop answering for it."""
        await owned.maintain()
        del self._owned[owned.slot.number]
        self._log.emit(SLOT_LOST, slot=owned.slot.number, epoch=owned.slot.epoch)
