"""Know the targets: one task for each sidecar, which asks for its load."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.daemons.attempt_stream import SidecarLink
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.decisions import LoadFigures, TargetView
from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.platform import ListedVm, VmListPort, VmState
from endivegw.results import Done
from endivegw.targets import CacheChange
from endivegw.types import AvailabilityZone, InstanceId, TargetName

__all__ = ["TargetWatch"]

_TARGET_ROLE = "target"

#: Long enough for three heartbeats of a target that is slow to start.
_SETTLE_BOUND_S = 5.0


@define
class _Peer:
    vm: ListedVm
    client: SidecarClient
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    view: TargetView | None = None
    start_incarnation: str = ""
    missed: int = 0


class TargetWatch:
    """Follow the platform's list and ask each listed target's sidecar.

    :param connect: opens the connection to the sidecar at an address.
    :param list_interval_s: between two readings of the platform's list.
    :param heartbeat_interval_s: between two heartbeats of one sidecar.
    :param heartbeats_missed: how many unanswered heartbeats take a target out
        of placement. One lost packet must not, and a dead target must not
        stay for long: each request placed on it costs a connect timeout.
    """

    def __init__(
        self,
        vms: VmListPort,
        connect: Callable[[str], SidecarClient],
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        queue: PlacementQueue,
        clock: Callable[[], float],
        *,
        list_interval_s: float = 2.0,
        heartbeat_interval_s: float = 0.5,
        heartbeats_missed: int = 3,
    ) -> None:
        self._vms = vms
        self._connect = connect
        self._header = header
        self._on_header = on_header
        self._queue = queue
        self._clock = clock
        self._list_interval_s = list_interval_s
        self._heartbeat_interval_s = heartbeat_interval_s
        self._heartbeats_missed = heartbeats_missed
        self._peers: dict[str, _Peer] = {}
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
            heard = all(map(self._is_heard, self._peers.values()))
            self._settled = heard or waited_s > _SETTLE_BOUND_S
        return self._settled

    def _is_heard(self, peer: _Peer) -> bool:
        serving = peer.view is not None and bool(peer.view.models)
        return serving or peer.missed >= self._heartbeats_missed

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return how to reach a target's sidecar, None when it is gone."""
        for peer in self._peers.values():
            if peer.view is not None and peer.view.target == target:
                return SidecarLink(peer.client, peer.start_incarnation)
        return None

    def clients(self) -> dict[TargetName, SidecarClient]:
        """Return the connections to all targets that have answered once."""
        return {
            peer.view.target: peer.client
            for peer in self._peers.values()
            if peer.view is not None
        }

    async def run(self) -> None:
        """Follow the list for as long as the router lives."""
        async with anyio.create_task_group() as tasks:
            while True:
                listed = await self._vms.list_vms(timeout_s=self._list_interval_s)
                # A list that cannot be read changes nothing: the sidecars that
                # are known keep being asked, and answer for themselves.
                if isinstance(listed, Done):
                    self._follow(listed.value, tasks)
                await anyio.sleep(self._list_interval_s)

    def _follow(self, listed: tuple[ListedVm, ...], tasks: TaskGroup) -> None:
        targets = {vm.vm: vm for vm in listed if vm.role == _TARGET_ROLE}
        for vm_id in set(self._peers) - set(targets):
            peer = self._peers.pop(vm_id)
            peer.scope.cancel()
        for vm_id, vm in targets.items():
            known = self._peers.get(vm_id)
            if known is None:
                peer = _Peer(vm, self._connect(vm.address))
                self._peers[vm_id] = peer
                tasks.start_soon(self._watch, peer)
            else:
                known.vm = vm
        if self._listed_at_s is None:
            self._listed_at_s = self._clock()
        self._publish()

    async def _watch(self, peer: _Peer) -> None:
        with peer.scope:
            try:
                while True:
                    await self._ask(peer)
                    await anyio.sleep(self._heartbeat_interval_s)
            finally:
                peer.client.close()

    async def _ask(self, peer: _Peer) -> None:
        request = pb.HeartbeatRequest(header=self._header())
        timeout_s = self._heartbeat_interval_s * 2
        try:
            reply = await peer.client.heartbeat(request, timeout_s)
        except PeerError:
            peer.missed += 1
            if peer.missed == self._heartbeats_missed:
                self._publish()
            return
        peer.missed = 0
        self._on_header(reply.header)
        before = peer.view
        peer.view = _view(peer.vm, reply)
        peer.start_incarnation = reply.start_incarnation
        if before != peer.view:
            self._publish()
        self._queue.dispatcher.report(
            peer.view.target, _figures(reply.load), self._clock()
        )
        self._queue.kick()

    def _publish(self) -> None:
        views = [
            peer.view
            for peer in self._peers.values()
            if peer.view is not None and peer.missed < self._heartbeats_missed
        ]
        self._queue.dispatcher.set_targets(views, self._clock())
        self._queue.kick()


def _view(vm: ListedVm, reply: pb.HeartbeatReply) -> TargetView:
    leaving = reply.leaving or vm.state is VmState.LEAVING
    return TargetView(
        target=TargetName(reply.load.target),
        instance_id=InstanceId(reply.header.instance_id),
        address=vm.address,
        availability_zone=AvailabilityZone(vm.availability_zone),
        models=frozenset(reply.load.models),
        slots=reply.load.slots,
        draining=reply.load.draining or leaving,
    )


def _figures(load: pb.LoadReport) -> LoadFigures:
    changes = tuple(
        CacheChange(event.sequence, event.prefix_digest, event.evicted)
        for event in load.cache_events
    )
    return LoadFigures(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        tokens_per_s=load.tokens_per_s,
        age_s=load.age_s,
        models=tuple(load.models),
        sequence=load.cache_event_sequence,
        cache_changes=changes,
        draining=load.draining,
    )
