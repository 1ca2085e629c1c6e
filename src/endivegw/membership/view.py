"""The fleet as observed by one process through the VM list and heartbeats.

This module performs no I/O and reads no clock; the current time is an argument.
"""

from __future__ import annotations

from typing import Iterable

from attrs import frozen

from endivegw.exceptions import InvariantError
from endivegw.membership.peer import Peer
from endivegw.membership.peer_states import (
    Eligibility,
    PeerState,
    PermittedActions,
    permitted_actions_of,
)
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, PeerAddress
from endivegw.services import ListedVm, VmState
from endivegw.types import InstanceId

__all__ = ["Change", "MembershipView"]


@frozen
class Change:
    """Describe a change of a peer's state or instance.

    :param before: None for a peer that was not known.
    :param instance_before: differs from ``instance_after`` if the process behind the
        address was replaced. The state of the former instance is no longer available
        at this address, but work that it started may still run.
    """

    peer: PeerAddress
    before: PeerState | None
    after: PeerState
    instance_before: InstanceId | None
    instance_after: InstanceId | None


class MembershipView:
    """Track the peers of one process.

    :param policy: timing and limits.
    """

    def __init__(self, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._peers: dict[str, Peer] = {}
        self._states: dict[str, PeerState] = {}
        self._now_s = float("-inf")
        self._list_read = False

    @property
    def list_read(self) -> bool:
        """Return whether the list has been read at least once."""
        return self._list_read

    def on_vm_list(self, vms: Iterable[ListedVm], now_s: float) -> tuple[Change, ...]:
        """Apply a reading of the list; return the changes."""
        self._advance_time(now_s)
        self._list_read = True
        named = {vm.vm: vm for vm in vms}
        for name, peer in self._peers.items():
            peer.listed = name in named
        for vm in sorted(named.values(), key=_leaving_first):
            self._apply_listed_vm(vm, now_s)
        return self.refresh(now_s)

    def on_heartbeat(
        self, vm: str, heartbeat: Heartbeat, *, sent_s: float, now_s: float
    ) -> tuple[Change, ...]:
        """Apply a response to the heartbeat sent at ``sent_s``; return the changes."""
        self._advance_time(now_s)
        peer = self._peers.get(vm)
        if peer is None or peer.superseded:
            return ()
        before = peer.instance_id
        unresponsive_after_s = self._policy.unresponsive_after_s
        if not peer.apply_heartbeat(heartbeat, sent_s, now_s, unresponsive_after_s):
            return ()
        return self._refresh_peer(vm, before, now_s)

    def on_missed_heartbeat(
        self, vm: str, *, sent_s: float, now_s: float
    ) -> tuple[Change, ...]:
        """Record that the heartbeat sent at ``sent_s`` got no response."""
        self._advance_time(now_s)
        peer = self._peers.get(vm)
        if peer is None:
            return ()
        peer.record_missed_heartbeat(sent_s)
        return self._refresh_peer(vm, peer.instance_id, now_s)

    def refresh(self, now_s: float) -> tuple[Change, ...]:
        """Return the changes caused by elapsed time; drop removed peers."""
        self._advance_time(now_s)
        changes: list[Change] = []
        for vm in list(self._peers):
            instance = self._peers[vm].instance_id
            changes.extend(self._refresh_peer(vm, instance, now_s))
            if self._states[vm] is PeerState.REMOVED:
                del self._peers[vm]
                del self._states[vm]
        return tuple(changes)

    def __len__(self) -> int:
        return len(self._peers)

    def peers(self, role: str) -> tuple[Peer, ...]:
        """Return the peers of one role, ordered by the id of their machine."""
        return tuple(
            peer for _, peer in sorted(self._peers.items()) if peer.address.role == role
        )

    def peer(self, vm: str) -> Peer | None:
        """Return a peer, or None if it is unknown."""
        return self._peers.get(vm)

    def permitted_actions(self, vm: str, now_s: float) -> PermittedActions:
        """Return the actions that the peer's current state permits."""
        peer = self._peers.get(vm)
        if peer is None:
            return permitted_actions_of(PeerState.REMOVED)
        return permitted_actions_of(peer.state(now_s, self._policy))

    def usable(self, role: str, now_s: float) -> tuple[Peer, ...]:
        """Return the preferred peers for new work, or the last resort if none.

        If every peer is unresponsive, flapping or unlisted, the fault is most likely
        in this process or in the list. Refusing all requests would be a certain
        failure, while a peer that cannot accept the work refuses it without harm.
        """
        ranked: dict[Eligibility, list[Peer]] = {}
        for peer in self.peers(role):
            eligibility = permitted_actions_of(
                peer.state(now_s, self._policy)
            ).eligibility
            ranked.setdefault(eligibility, []).append(peer)
        preferred = ranked.get(Eligibility.PREFERRED, [])
        return tuple(preferred or ranked.get(Eligibility.LAST_RESORT, []))

    def seems_isolated(self, role: str, now_s: float) -> bool:
        """Return whether this process is probably partitioned from its peers.

        This is assumed if the share of unresponsive peers reaches the threshold. An
        isolated router should fail its health check, so that the load balancer sends
        requests to another router. A router that considered its peers dead instead
        would refuse every request.
        """
        responded = [
            peer for peer in self.peers(role) if peer.last_received_s is not None
        ]
        if len(responded) < 2:
            return False
        unresponsive_after_s = self._policy.unresponsive_after_s
        unresponsive = sum(
            1 for peer in responded if peer.is_unresponsive(now_s, unresponsive_after_s)
        )
        return unresponsive >= self._policy.isolation_threshold * len(responded)

    def _advance_time(self, now_s: float) -> None:
        if now_s < self._now_s:
            raise InvariantError(f"time moved back from {self._now_s} s to {now_s} s")
        self._now_s = now_s

    def _apply_listed_vm(self, vm: ListedVm, now_s: float) -> None:
        peer = self._peers.get(vm.vm)
        if peer is None:
            address = PeerAddress(vm.vm, vm.address, vm.role)
            peer = Peer(address, vm.availability_zone, now_s, now_s)
            self._supersede(vm, peer)
            self._peers[vm.vm] = peer
        peer.apply_listing(vm, now_s)

    def _supersede(self, vm: ListedVm, new_peer: Peer) -> None:
        """Mark the peers as superseded whose address a newly listed machine has.

        The process on the old machine may continue to respond at this address for a
        while. Its instance is retired for the new peer, as work would otherwise be
        placed on the reports of a process that is about to terminate.
        """
        for other in self._peers.values():
            same_address = other.address.address == vm.address
            if same_address and other.address.role == vm.role and not other.superseded:
                other.superseded = True
                new_peer.retired_instances.extend(other.retired_instances)
                if other.instance_id is not None:
                    new_peer.retired_instances.append(other.instance_id)

    def _refresh_peer(
        self, vm: str, instance_before: InstanceId | None, now_s: float
    ) -> tuple[Change, ...]:
        peer = self._peers[vm]
        before = self._states.get(vm)
        after = peer.state(now_s, self._policy)
        self._check_leaving_is_final(peer, before, after, instance_before)
        self._states[vm] = after
        instance_after = peer.instance_id
        if before is after and instance_before == instance_after:
            return ()
        return (Change(peer.address, before, after, instance_before, instance_after),)

    def _check_leaving_is_final(
        self,
        peer: Peer,
        before: PeerState | None,
        after: PeerState,
        instance_before: InstanceId | None,
    ) -> None:
        """Raise if a leaving instance became eligible for new work again."""
        if before is not PeerState.LEAVING or instance_before != peer.instance_id:
            return
        if permitted_actions_of(after).eligibility is not Eligibility.NEVER:
            raise InvariantError(
                f"{peer.address.vm} changed from leaving to {after.value}"
            )


def _leaving_first(vm: ListedVm) -> tuple[bool, str]:
    # If one reading names two machines with the same address, the leaving one is
    # the older one and must be added first.
    return (vm.state is not VmState.LEAVING, vm.vm)
