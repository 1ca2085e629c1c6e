"""The map of key slots: which sidecar owns each slot, and when ownership moves."""

from __future__ import annotations

import functools
from typing import Mapping

from attrs import define, field, frozen

from endivegw.rendezvous import rendezvous_order
from endivegw.requests.claims import ClaimLimits, claim_key
from endivegw.types import InstanceId, RequestIdentity, TargetName

__all__ = [
    "AcquisitionRule",
    "DEFAULT_SLOTS",
    "Slot",
    "SlotAcquisition",
    "SlotHeartbeat",
    "SlotMap",
    "SlotWatch",
    "ranked_vms",
    "slot_of",
]

#: Number of key slots. Each slot writes at most 4 rows/s, so 32 slots write at most
#: 128 rows/s. Fewer slots would concentrate more memory and keys on one owner.
DEFAULT_SLOTS = 32


def slot_of(identity: RequestIdentity, slots: int = DEFAULT_SLOTS) -> int:
    """Return the slot that a request's claim belongs to."""
    return int.from_bytes(claim_key(identity)[:4], "big") % slots


#: Number of heartbeats that are tracked until they are confirmed. More can be
#: unconfirmed only in an outage that is longer than any grace time.
_MAX_TRACKED_HEARTBEATS = 64


#: Number of machines that monitor a slot closely. The second in rank replaces the
#: first, and a third covers the loss of a whole rack.
_NEAR_RANKS = 3


@frozen
class Slot:
    """One row of the slot map.

    :param vm: the owner's machine, "" if the slot was released.
    :param address: address of the owner's sidecar, as ``host:port``.
    :param epoch: number that increases with each owner.
    :param possibly_incomplete: whether the slot's claims were possibly incomplete when
        the owner acquired it, so that keys that are not found may have been claimed.
    :param version: version of the row.
    """

    number: int
    target: TargetName
    instance_id: InstanceId
    vm: str
    address: str
    epoch: int
    possibly_incomplete: bool
    version: int

    @property
    def released(self) -> bool:
        """Return whether the last owner flushed its claims and released the slot."""
        return not self.vm


@frozen
class SlotHeartbeat:
    """The last heartbeat of a slot owner.

    :param count: number that increases with each heartbeat.
    :param confirmed: the last heartbeat whose write the owner knew to have
        succeeded. A later one may have been written although its answer was lost, so
        the owner counts its grace time from the confirmed one.
    :param confirmed_wall_ms: time of that confirmation on the clock of the owner's
        machine, which is comparable only on the same machine.
    """

    count: int
    confirmed: int
    confirmed_wall_ms: int


@frozen
class SlotMap:
    """A snapshot of the slot map.

    :param heartbeats: the last heartbeat of each slot's owner.
    :param read_started_s: time at which the read started, on the reader's clock.
    """

    slots: Mapping[int, Slot] = field(factory=dict)
    heartbeats: Mapping[int, SlotHeartbeat] = field(factory=dict)
    read_started_s: float = float("-inf")

    def owner(self, slot: int) -> Slot | None:
        """Return the row of a slot that has an owner, else None."""
        found = self.slots.get(slot)
        return None if found is None or found.released else found


@frozen
class SlotAcquisition:
    """A slot to acquire with a conditional write."""

    slot: int
    expected_version: int
    epoch: int
    possibly_incomplete: bool


@frozen
class AcquisitionRule:
    """Settings for the acquisition of slots.

    :param slots: number of slots.
    :param wait_s: seconds by which each further machine in rank waits longer, so that
        a slot gets an owner even if the first machine in rank is down.
    """

    slots: int = DEFAULT_SLOTS
    wait_s: float = 10.0


@functools.lru_cache(maxsize=2 * DEFAULT_SLOTS)
def ranked_vms(slot: int, vms: frozenset[str]) -> tuple[str, ...]:
    """Return machines in the order of preference for owning a slot.

    Orders are cached until the machines change: 32 orders of 650 machines take about
    20 ms to compute, too long for every read of the map.
    """
    return rendezvous_order(str(slot), vms)


@define
class SlotWatch:
    """Monitor the slot map for one sidecar and decide which slots it may acquire.

    :param vm: this sidecar's machine.
    :param target: the target that this sidecar serves.
    """

    vm: str
    target: TargetName
    instance_id: InstanceId
    rule: AcquisitionRule
    limits: ClaimLimits
    current: SlotMap = field(factory=SlotMap)
    # For each slot and each heartbeat that is not confirmed yet, the start time of the
    # last read that did not show the heartbeat.
    _read_before_s: dict[int, dict[int, float]] = field(factory=dict)
    _highest_count: dict[int, int] = field(factory=dict)
    _heartbeat_seen_s: dict[int, float] = field(factory=dict)
    _before_confirmed_s: dict[int, float] = field(factory=dict)
    _ownerless_since_s: dict[int, float] = field(factory=dict)

    def read(self, new: SlotMap) -> None:
        """Process a new snapshot of the map."""
        for number, heartbeat in new.heartbeats.items():
            if self.current.heartbeats.get(number) != heartbeat:
                self._heartbeat_seen_s[number] = new.read_started_s
            self._track_heartbeat(number, heartbeat)
        self.current = new

    def is_near(self, live_vms: frozenset[str]) -> bool:
        """Return whether this sidecar ranks among the first for some slot."""
        return any(
            self.vm in ranked_vms(number, live_vms)[:_NEAR_RANKS]
            for number in range(self.rule.slots)
        )

    def needs_vm_list(self, live_vms: frozenset[str], now_s: float) -> bool:
        """Return whether the VM list is needed to check for a terminated owner.

        While heartbeats continue, the VM list adds no information, and a list of a
        thousand machines is too expensive to read every few seconds.
        """
        for number in range(self.rule.slots):
            slot = self.current.slots.get(number)
            if slot is not None and self._is_predecessor(slot):
                return True
            if self.vm not in ranked_vms(number, live_vms)[:_NEAR_RANKS]:
                continue
            stalled_s = now_s - self._heartbeat_seen_s.get(number, float("-inf"))
            if slot is None or slot.released:
                return True
            if slot.vm != self.vm and stalled_s > 2 * self.limits.heartbeat_interval_s:
                return True
        return False

    def acquisitions(
        self,
        listed_vms: frozenset[str],
        live_vms: frozenset[str],
        now_s: float,
        wall_s: float,
    ) -> tuple[SlotAcquisition, ...]:
        """Return the slots that this sidecar should try to acquire.

        :param listed_vms: every target machine in the VM list, including those that
            are leaving, because a listed machine may still run its sidecar.
        :param live_vms: machines that may acquire slots.
        :param wall_s: seconds since the epoch on this machine's clock.
        """
        acquisitions: list[SlotAcquisition] = []
        for number in range(self.rule.slots):
            slot = self.current.slots.get(number)
            if slot is not None and not self._ownerless(slot, listed_vms):
                self._ownerless_since_s.pop(number, None)
                continue
            since_s = self._ownerless_since_s.setdefault(number, now_s)
            if self._is_my_turn(number, slot, live_vms, now_s - since_s):
                acquisitions.append(self._acquisition(number, slot, now_s, wall_s))
        return tuple(acquisitions)

    def _ownerless(self, slot: Slot, listed_vms: frozenset[str]) -> bool:
        """Return whether the owner has provably terminated or released the slot.

        An unresponsive owner may be paused or partitioned, grant claims from memory,
        and resume; two owners would let a request run twice. The only accepted proofs
        of termination are that its machine is no longer listed, or that this process
        replaced it at the same target.
        """
        if slot.released:
            return True
        if self._is_predecessor(slot):
            return True
        return slot.vm not in listed_vms

    def _is_predecessor(self, slot: Slot) -> bool:
        same_place = slot.vm == self.vm and slot.target == self.target
        return same_place and slot.instance_id != self.instance_id

    def _is_my_turn(
        self,
        number: int,
        slot: Slot | None,
        live_vms: frozenset[str],
        waited_s: float,
    ) -> bool:
        if slot is not None and slot.vm == self.vm:
            return True
        order = ranked_vms(number, live_vms)
        if self.vm not in order:
            return False
        return waited_s >= order.index(self.vm) * self.rule.wait_s

    def _acquisition(
        self, number: int, slot: Slot | None, now_s: float, wall_s: float
    ) -> SlotAcquisition:
        if slot is None:
            return SlotAcquisition(number, 0, 1, False)
        possibly_incomplete = slot.possibly_incomplete or not self._claims_complete(
            slot, now_s, wall_s
        )
        return SlotAcquisition(
            number, slot.version, slot.epoch + 1, possibly_incomplete
        )

    def _claims_complete(self, slot: Slot, now_s: float, wall_s: float) -> bool:
        """Return whether the terminated owner cannot have granted from memory.

        It grants from memory only after the grace time since its last confirmed
        heartbeat. That heartbeat was written after the last read that did not show
        it, and the owner has terminated by now. A restarted process has no such read;
        it uses its machine's clock, which its predecessor used too.
        """
        if slot.released:
            return True
        read_before_s = self._before_confirmed_s.get(slot.number, float("-inf"))
        if now_s - read_before_s < self.limits.grace_s:
            return True
        heartbeat = self.current.heartbeats.get(slot.number)
        if heartbeat is None or slot.vm != self.vm:
            return False
        # After the clock was set back, the confirmation lies in the future.
        age_s = wall_s - heartbeat.confirmed_wall_ms / 1000
        return 0.0 <= age_s < self.limits.grace_s

    def _track_heartbeat(self, number: int, heartbeat: SlotHeartbeat) -> None:
        read_before_s = self._read_before_s.setdefault(number, {})
        # A delayed write can replace a newer count with an older one.
        highest = self._highest_count.get(number, heartbeat.count)
        self._highest_count[number] = max(highest, heartbeat.count)
        # Every heartbeat since the last read was written after that read started.
        first = max(highest + 1, heartbeat.count - _MAX_TRACKED_HEARTBEATS)
        for count in range(first, heartbeat.count + 1):
            read_before_s[count] = self.current.read_started_s
        if heartbeat.confirmed in read_before_s:
            self._before_confirmed_s[number] = read_before_s[heartbeat.confirmed]
        for count in [count for count in read_before_s if count < heartbeat.confirmed]:
            del read_before_s[count]
