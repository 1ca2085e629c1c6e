"""Know the targets: what membership says of them, for the dispatcher."""

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

#: Long enough for three heartbeats of a target that is slow to start.
_SETTLE_BOUND_S = 5.0

#: Heartbeats without an answer after which a fresh router waits no longer.
_SETTLE_FAILURES = 2

#: Returns which of the known targets this router watches.
ChooseTargets = Callable[[tuple[Peer, ...]], Iterable[PeerAddress]]


@frozen
class _Offer:
    """Hold that part of a heartbeat which the dispatcher's view is made of."""

    target: TargetName
    instance_id: InstanceId
    models: tuple[str, ...]
    slots: int
    draining: bool
    leaving: bool


def all_targets(peers: tuple[Peer, ...]) -> Iterable[PeerAddress]:
    """Watch every target, as small fleets do."""
    return (peer.address for peer in peers)


class TargetWatch:
    """Watch targets through the list and heartbeats; feed the dispatcher.

    :param connect: opens the connection to the sidecar at an address.
    :param choose: which targets this router watches.
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
            connect, header, on_header, self._list_says_leaving
        )
        self._agent = MembershipAgent(
            self._view,
            policy,
            vms,
            self._heartbeats,
            self._watched,
            self._take_heartbeat,
            self._take_change,
            log,
            rng,
            clock,
        )
        self._published: list[TargetView] = []
        self._offers: dict[PeerAddress, _Offer] = {}
        self._listed_at_s: float | None = None
        self._settled = False

    @property
    def settled(self) -> bool:
        """Return whether what is listed was heard, or had time to be.

        A fresh router that took requests before would refuse them although
        targets are there. The bound is for a listed target that never answers.
        """
        if not self._settled and self._listed_at_s is not None:
            waited_s = self._clock() - self._listed_at_s
            heard = all(map(_is_heard, self._chosen_peers()))
            self._settled = heard or waited_s > _SETTLE_BOUND_S
        return self._settled

    @property
    def seems_isolated(self) -> bool:
        """Return whether so many targets are silent that the fault is here."""
        return self._view.seems_isolated(TARGET_ROLE, self._clock())

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return how to reach a target's sidecar, None when it is gone."""
        for peer in self._view.peers(TARGET_ROLE):
            heartbeat = peer.heartbeat
            if heartbeat is None or peer.superseded:
                continue
            if heartbeat.target == target:
                client = self._heartbeats.client(peer.address)
                return SidecarLink(client, heartbeat.start_incarnation)
        return None

    async def run(self) -> None:
        """Watch for as long as the router lives."""
        try:
            await self._agent.run()
        finally:
            self._heartbeats.close()

    def _list_says_leaving(self, peer: PeerAddress) -> bool:
        known = self._view.peer(peer.vm)
        return known is not None and known.list_leaving

    def _watched(self, view: MembershipView) -> frozenset[PeerAddress]:
        if self._listed_at_s is None and view.list_read:
            self._listed_at_s = self._clock()
        return frozenset(peer.address for peer in self._chosen_peers())

    def _chosen_peers(self) -> tuple[Peer, ...]:
        peers = tuple(
            peer for peer in self._view.peers(TARGET_ROLE) if not peer.superseded
        )
        chosen = frozenset(self._choose(peers))
        return tuple(peer for peer in peers if peer.address in chosen)

    def _take_heartbeat(
        self, peer: PeerAddress, heartbeat: Heartbeat, now_s: float
    ) -> None:
        # What a sidecar offers changes rarely, while going through all targets
        # costs about as much as the heartbeat itself.
        if self._offers.get(peer) != (offer := _offer(heartbeat)):
            self._offers[peer] = offer
            self._publish(now_s)
        if heartbeat.load is not None:
            figures = _figures(heartbeat)
            self._queue.dispatcher.report(heartbeat.target, figures, now_s)
            self._queue.wake()

    def _take_change(self, change: Change) -> None:
        if change.after is PeerState.REMOVED:
            self._heartbeats.forget(change.peer)
            self._offers.pop(change.peer, None)
        self._publish(self._clock())

    def _publish(self, now_s: float) -> None:
        """Hand the dispatcher what has changed, if anything has."""
        views = self._target_views(now_s)
        if views != self._published:
            self._published = views
            self._queue.dispatcher.set_targets(views, now_s)
            self._queue.wake()

    def _target_views(self, now_s: float) -> list[TargetView]:
        """Return all targets that were heard; those not for new work drain.

        A silent target is offered only for models that nobody else serves:
        trying it may cost a caller time, and refusing costs the answer.
        """
        heard = [peer for peer in self._chosen_peers() if peer.heartbeat is not None]
        uses = {
            peer.address: self._view.permitted_actions(
                peer.address.vm, now_s
            ).eligibility
            for peer in heard
        }
        served: set[str] = set()
        for peer in heard:
            if uses[peer.address] is Eligibility.PREFERRED:
                served.update(_models(peer))
        views: list[TargetView] = []
        for peer in heard:
            match uses[peer.address]:
                case Eligibility.PREFERRED:
                    views.append(_view(peer, _models(peer), draining=False))
                case Eligibility.LAST_RESORT if alone := _models(peer) - served:
                    views.append(_view(peer, alone, draining=False))
                case _:
                    views.append(_view(peer, _models(peer), draining=True))
        return views


def _offer(heartbeat: Heartbeat) -> _Offer:
    load = heartbeat.load
    return _Offer(
        heartbeat.target,
        heartbeat.instance_id,
        load.models if load else (),
        load.slots if load else 0,
        heartbeat.draining,
        heartbeat.leaving,
    )


def _is_heard(peer: Peer) -> bool:
    """Return whether a target takes work now, or seems not to answer.

    One that was started together with this router says at first that it takes
    none, and takes it a heartbeat later.
    """
    heartbeat = peer.heartbeat
    takes_work = heartbeat is not None and not heartbeat.draining
    return takes_work and bool(_models(peer)) or peer.failures >= _SETTLE_FAILURES


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
