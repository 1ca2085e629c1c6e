"""Monitor targets through the VM list and heartbeats, for the dispatcher."""

from __future__ import annotations

import random
from typing import Callable, Iterable

from attrs import frozen

from endivegw.daemons.peer_directory import TARGET_ROLE
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.sidecar_heartbeats import SidecarHeartbeats
from endivegw.daemons.sidecar_links import SidecarLink
from endivegw.decisions import LoadFigures, TargetView
from endivegw.membership import (
    Change,
    Eligibility,
    Heartbeat,
    MembershipPolicy,
    MembershipView,
    Peer,
    PeerAddress,
    PeerState,
)
from endivegw.membership.agent import MembershipAgent
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.services import VmListPort
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, InstanceId, TargetName

__all__ = ["ChooseTargets", "TargetWatch", "all_targets"]

#: How long a router that just started waits for listed targets; long enough for
#: three heartbeats of a target that is slow to start.
_MAX_SETTLE_S = 5.0

#: Unanswered heartbeats after which a new router no longer waits for a target.
_MAX_SETTLE_FAILURES = 2

#: Selects which of the known targets this router monitors.
ChooseTargets = Callable[[tuple[Peer, ...]], Iterable[PeerAddress]]


@frozen
class _TargetState:
    """Hold the part of a heartbeat that the dispatcher's view is built from."""

    target: TargetName
    instance_id: InstanceId
    models: tuple[str, ...]
    slots: int
    draining: bool
    leaving: bool


def all_targets(peers: tuple[Peer, ...]) -> Iterable[PeerAddress]:
    """Select every target, as small fleets do."""
    return (peer.address for peer in peers)


class TargetWatch:
    """Monitor targets through the VM list and heartbeats; update the dispatcher.

    :param vms: reads the VM list.
    :param connect: opens the connection to the sidecar at an address.
    :param header: returns the header of this process for each message.
    :param on_header: receives the header of each sidecar's answer.
    :param queue: the queue whose dispatcher is updated.
    :param choose: selects the targets that this router monitors.
    """

    def __init__(
        self,
        vms: VmListPort,
        connect: Callable[[str], SidecarClient],
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        queue: PlacementQueue,
        clock: Callable[[], float],
        log: EventLog,
        rng: random.Random,
        *,
        policy: MembershipPolicy = MembershipPolicy(),
        choose: ChooseTargets = all_targets,
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._choose = choose
        self._view = MembershipView(policy)
        self._heartbeats = SidecarHeartbeats(
            connect, header, on_header, self._is_listed_leaving
        )
        self._agent = MembershipAgent(
            self._view,
            policy,
            vms,
            self._heartbeats,
            self._monitored,
            self._on_heartbeat,
            self._on_change,
            log,
            rng,
            clock,
        )
        self._published: list[TargetView] = []
        self._states: dict[PeerAddress, _TargetState] = {}
        self._listed_at_s: float | None = None
        self._settled = False

    @property
    def settled(self) -> bool:
        """Return whether the listed targets have responded, or had time to.

        A new router that accepted requests earlier would refuse them although
        there are targets. The time limit is for a listed target that never
        responds.
        """
        if not self._settled and self._listed_at_s is not None:
            waited_s = self._clock() - self._listed_at_s
            responded = all(map(_is_known, self._chosen_peers()))
            self._settled = responded or waited_s > _MAX_SETTLE_S
        return self._settled

    @property
    def seems_isolated(self) -> bool:
        """Return whether so many targets are unresponsive that the fault is local."""
        return self._view.seems_isolated(TARGET_ROLE, self._clock())

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return the link to a target's sidecar, None if there is none any more."""
        for peer in self._view.peers(TARGET_ROLE):
            heartbeat = peer.heartbeat
            if heartbeat is None or peer.superseded:
                continue
            if heartbeat.target == target:
                client = self._heartbeats.client(peer.address)
                return SidecarLink(client, heartbeat.start_incarnation)
        return None

    async def run(self) -> None:
        """Monitor targets until cancelled."""
        try:
            await self._agent.run()
        finally:
            self._heartbeats.close()

    def _is_listed_leaving(self, peer: PeerAddress) -> bool:
        listed = self._view.peer(peer.vm)
        return listed is not None and listed.list_leaving

    def _monitored(self, view: MembershipView) -> frozenset[PeerAddress]:
        if self._listed_at_s is None and view.list_read:
            self._listed_at_s = self._clock()
        return frozenset(peer.address for peer in self._chosen_peers())

    def _chosen_peers(self) -> tuple[Peer, ...]:
        peers = tuple(
            peer for peer in self._view.peers(TARGET_ROLE) if not peer.superseded
        )
        chosen = frozenset(self._choose(peers))
        return tuple(peer for peer in peers if peer.address in chosen)

    def _on_heartbeat(
        self, peer: PeerAddress, heartbeat: Heartbeat, now_s: float
    ) -> None:
        # A target's state changes rarely, and rebuilding the views of all targets
        # costs about as much as the heartbeat itself.
        if self._states.get(peer) != (state := _target_state(heartbeat)):
            self._states[peer] = state
            self._publish(now_s)
        if heartbeat.load is not None:
            figures = _figures(heartbeat)
            self._queue.dispatcher.report(heartbeat.target, figures, now_s)
            self._queue.wake()

    def _on_change(self, change: Change) -> None:
        if change.after is PeerState.REMOVED:
            self._heartbeats.forget(change.peer)
            self._states.pop(change.peer, None)
        self._publish(self._clock())

    def _publish(self, now_s: float) -> None:
        """Update the dispatcher if the targets' views have changed."""
        views = self._target_views(now_s)
        if views != self._published:
            self._published = views
            self._queue.dispatcher.set_targets(views, now_s)
            self._queue.wake()

    def _target_views(self, now_s: float) -> list[TargetView]:
        """Return the views of all targets that have sent a heartbeat.

        Targets that are not eligible for new work appear as draining. An
        unresponsive target is offered only for models that no preferred target
        serves: trying it may cost a caller time, refusing costs it the answer.
        """
        known = [peer for peer in self._chosen_peers() if peer.heartbeat is not None]
        eligibility = {
            peer.address: self._view.permitted_actions(
                peer.address.vm, now_s
            ).eligibility
            for peer in known
        }
        served: set[str] = set()
        for peer in known:
            if eligibility[peer.address] is Eligibility.PREFERRED:
                served.update(_models(peer))
        views: list[TargetView] = []
        for peer in known:
            match eligibility[peer.address]:
                case Eligibility.PREFERRED:
                    views.append(_view(peer, _models(peer), draining=False))
                case Eligibility.LAST_RESORT if unserved := _models(peer) - served:
                    views.append(_view(peer, unserved, draining=False))
                case _:
                    views.append(_view(peer, _models(peer), draining=True))
        return views


def _target_state(heartbeat: Heartbeat) -> _TargetState:
    load = heartbeat.load
    return _TargetState(
        heartbeat.target,
        heartbeat.instance_id,
        load.models if load else (),
        load.slots if load else 0,
        heartbeat.draining,
        heartbeat.leaving,
    )


def _is_known(peer: Peer) -> bool:
    """Return whether a target accepts work, or seems to be unresponsive.

    A target that was started together with this router reports at first that it
    accepts no work, and accepts it one heartbeat later.
    """
    heartbeat = peer.heartbeat
    accepts_work = heartbeat is not None and not heartbeat.draining
    return accepts_work and bool(_models(peer)) or peer.failures >= _MAX_SETTLE_FAILURES


def _models(peer: Peer) -> frozenset[str]:
    load = peer.heartbeat.load if peer.heartbeat else None
    return frozenset(load.models) if load else frozenset()


def _view(peer: Peer, models: frozenset[str], *, draining: bool) -> TargetView:
    assert peer.heartbeat is not None
    load = peer.heartbeat.load
    return TargetView(
        target=peer.heartbeat.target,
        instance_id=InstanceId(peer.heartbeat.instance_id),
        address=peer.address.address,
        availability_zone=AvailabilityZone(peer.availability_zone),
        models=models,
        slots=load.slots if load else 0,
        draining=draining,
    )


def _figures(heartbeat: Heartbeat) -> LoadFigures:
    load = heartbeat.load
    assert load is not None
    return LoadFigures(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        tokens_per_s=load.tokens_per_s,
        age_s=load.age_s,
        models=load.models,
        sequence=heartbeat.cache_sequence,
        cache_changes=load.cache_changes,
        draining=heartbeat.draining,
    )
