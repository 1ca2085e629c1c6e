"""The fleet as one process sees it, from the VM list and from heartbeats.

Pure: the present time is an argument, and nothing here reads a clock.
"""

from __future__ import annotations

from typing import Iterable

from attrs import frozen

from endivegw.exceptions import InvariantError
from endivegw.membership.conclusions import Conclusion, PeerState, Use, conclude
from endivegw.membership.peer import Peer
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, PeerAddress
from endivegw.services import ListedVm, VmState
from endivegw.types import InstanceId

__all__ = ["Change", "MembershipView"]


@frozen
class Change:
    """Say that a peer looks different than before.

    :param before: None for a peer that was not known.
    :param instance_before: differs from ``instance_after`` where the process
        behind the address was replaced. What the former one kept is lost to
        this address; what it had started may still run.
    """

    peer: PeerAddress
    before: PeerState | None
    after: PeerState
    instance_before: InstanceId | None
    instance_after: InstanceId | None


class MembershipView:
    """Follow the peers of one process.

    :param policy: times and limits.
    """

    def __init__(self, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._peers: dict[str, Peer] = {}
        self._states: dict[str, PeerState] = {}
        self._now_s = float("-inf")
        self._list_read = False

    @property
    def list_read(self) -> bool:
        """Return whether the list was ever read."""
        return self._list_read

    def on_vm_list(self, vms: Iterable[ListedVm], now_s: float) -> tuple[Change, ...]:
        """Take a reading of the list; return what changed."""
        self._advance_time(now_s)
        self._list_read = True
        named = {vm.vm: vm for vm in vms}
        for name, peer in self._peers.items():
            peer.listed = name in named
        for vm in sorted(named.values(), key=_leaving_first):
            self._take_listed(vm, now_s)
        return self.refresh(now_s)

    def on_heartbeat(
        self, vm: str, heartbeat: Heartbeat, *, sent_s: float, now_s: float
    ) -> tuple[Change, ...]:
        """Take an answer to the heartbeat that was sent at ``sent_s``."""
        self._advance_time(now_s)
        peer = self._peers.get(vm)
        if peer is None or peer.superseded:
            return ()
        before = peer.instance_id
        silence_s = self._policy.silence_s
        if not peer.take_answer(heartbeat, sent_s, now_s, silence_s):
            return ()
        return self._refresh_peer(vm, before, now_s)

    def on_silence(self, vm: str, *, sent_s: float, now_s: float) -> tuple[Change, ...]:
        """Take it that the heartbeat sent at ``sent_s`` got no answer."""
        self._advance_time(now_s)
        peer = self._peers.get(vm)
        if peer is None:
            return ()
        peer.take_silence(sent_s)
        return self._refresh_peer(vm, peer.instance_id, now_s)

    def refresh(self, now_s: float) -> tuple[Change, ...]:
        """Return what changed through the passing of time; forget who is gone."""
        self._advance_time(now_s)
        changes: list[Change] = []
        for vm in list(self._peers):
            instance = self._peers[vm].instance_id
            changes.extend(self._refresh_peer(vm, instance, now_s))
            if self._states[vm] is PeerState.GONE:
                del self._peers[vm]
                del self._states[vm]
        return tuple(changes)

    def __len__(self) -> int:
        return len(self._peers)

    def peers(self, role: str) -> tuple[Peer, ...]:
        """Return the peers of one role, by id of their machine."""
        return tuple(
            peer for _, peer in sorted(self._peers.items()) if peer.address.role == role
        )

    def peer(self, vm: str) -> Peer | None:
        """Return one peer, None for an unknown one."""
        return self._peers.get(vm)

    def conclusion(self, vm: str, now_s: float) -> Conclusion:
        """Return what may be done on the strength of what was seen."""
        peer = self._peers.get(vm)
        if peer is None:
            return conclude(PeerState.GONE)
        return conclude(peer.state(now_s, self._policy))

    def usable(self, role: str, now_s: float) -> tuple[Peer, ...]:
        """Return the peers for new work: all preferred ones, else the last resort.

        Where every peer is silent, flapping or unlisted the fault is most
        likely here or in the list. Refusing all callers then would be sure to
        fail them; a peer that cannot take the work refuses it without harm.
        """
        ranked: dict[Use, list[Peer]] = {}
        for peer in self.peers(role):
            use = conclude(peer.state(now_s, self._policy)).use
            ranked.setdefault(use, []).append(peer)
        preferred = ranked.get(Use.PREFERRED, [])
        return tuple(preferred or ranked.get(Use.LAST_RESORT, []))

    def seems_cut_off(self, role: str, now_s: float) -> bool:
        """Return whether so many peers are silent that the fault is likely here.

        A router that is cut off should fail its health page, so that the
        balancer sends callers to another. One that called its peers dead
        instead would refuse everybody at the door.
        """
        heard = [peer for peer in self.peers(role) if peer.heard_s is not None]
        if len(heard) < 2:
            return False
        silence_s = self._policy.silence_s
        silent = sum(1 for peer in heard if peer.is_silent(now_s, silence_s))
        return silent >= self._policy.cut_off_share * len(heard)

    def _advance_time(self, now_s: float) -> None:
        if now_s < self._now_s:
            raise InvariantError(f"time went back from {self._now_s} to {now_s}")
        self._now_s = now_s

    def _take_listed(self, vm: ListedVm, now_s: float) -> None:
        peer = self._peers.get(vm.vm)
        if peer is None:
            address = PeerAddress(vm.vm, vm.address, vm.role)
            peer = Peer(address, vm.availability_zone, now_s, now_s)
            self._supersede(vm, peer)
            self._peers[vm.vm] = peer
        peer.take_listing(vm, now_s)

    def _supersede(self, vm: ListedVm, newcomer: Peer) -> None:
        """Let a newly listed machine take an address over.

        The old machine's process may go on answering there for a while. Its
        instance is barred for the newcomer: otherwise work would be placed by
        the word of a process that is about to end.
        """
        for other in self._peers.values():
            same = other.address.address == vm.address
            if same and other.address.role == vm.role and not other.superseded:
                other.superseded = True
                newcomer.retired.extend(other.retired)
                if other.instance_id is not None:
                    newcomer.retired.append(other.instance_id)

    def _refresh_peer(
        self, vm: str, instance_before: InstanceId | None, now_s: float
    ) -> tuple[Change, ...]:
        peer = self._peers[vm]
        before = self._states.get(vm)
        after = peer.state(now_s, self._policy)
        self._check_leaving_stays(peer, before, after, instance_before)
        self._states[vm] = after
        instance_after = peer.instance_id
        if before is after and instance_before == instance_after:
            return ()
        return (Change(peer.address, before, after, instance_before, instance_after),)

    def _check_leaving_stays(
        self,
        peer: Peer,
        before: PeerState | None,
        after: PeerState,
        instance_before: InstanceId | None,
    ) -> None:
        """Raise where an instance that leaves would get new work again."""
        if before is not PeerState.LEAVING or instance_before != peer.instance_id:
            return
        if conclude(after).use is not Use.NEVER:
            raise InvariantError(f"{peer.address.vm} was leaving and is {after.value}")


def _leaving_first(vm: ListedVm) -> tuple[bool, str]:
    # Where one reading names two machines with one address, the one that
    # leaves is the older one.
    return (vm.state is not VmState.LEAVING, vm.vm)
