"""Watch the peers: one task for the list and one for each watched peer."""

from __future__ import annotations

import random
from typing import Callable

import anyio
from anyio.abc import TaskGroup

from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, HeartbeatPort, PeerAddress
from endivegw.membership.view import Change, MembershipView
from endivegw.results import Done
from endivegw.services import VmListPort
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.membership import (
    INSTANCE_REPLACED,
    LIST_UNREAD,
    PEER_CHANGED,
)

__all__ = ["ChoosePeers", "HeardPeer", "MembershipAgent"]

#: Returns the peers to send heartbeats to, out of what the view knows.
ChoosePeers = Callable[[MembershipView], frozenset[PeerAddress]]

#: Called with each answer, for load reports and configuration revisions.
HeardPeer = Callable[[PeerAddress, Heartbeat, float], None]

_LIST_TIMEOUT_S = 5.0

#: Going through 650 peers takes a millisecond or two.
_CHOICE_INTERVAL_S = 2.0

#: Spread of the waits, so that processes that started together do not ask in step.
_JITTER = 0.1


class MembershipAgent:
    """Keep a view up to date for as long as it runs.

    :param choose: which peers this process watches.
    :param heard: called with each answer.
    :param changed: called with each change of the view.
    :param clock: seconds that never go back.
    """

    def __init__(
        self,
        view: MembershipView,
        policy: MembershipPolicy,
        vm_list: VmListPort,
        heartbeats: HeartbeatPort,
        choose: ChoosePeers,
        heard: HeardPeer,
        changed: Callable[[Change], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._policy = policy
        self._vm_list = vm_list
        self._heartbeats = heartbeats
        self._choose = choose
        self._heard = heard
        self._changed = changed
        self._log = log
        self._rng = rng
        self._clock = clock
        self._watched: dict[PeerAddress, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            list_due_s = self._clock()
            while True:
                if self._clock() >= list_due_s:
                    await self._read_list()
                    list_due_s = self._clock() + self._jittered(self._list_wait_s())
                # More often than the list is read: what the watched peers
                # answer changes who else is worth watching.
                self._watch(tasks)
                wait_s = list_due_s - self._clock()
                await anyio.sleep(min(max(wait_s, 0.0), _CHOICE_INTERVAL_S))

    def _list_wait_s(self) -> float:
        # A fresh process knows nobody and can serve nothing until it has read
        # the list once, so that it asks more often until then.
        if self._view.list_read:
            return self._policy.listing_interval_s(len(self._view))
        return min(1.0, self._policy.list_interval_s)

    async def _read_list(self) -> None:
        result = await self._vm_list.list_vms(timeout_s=_LIST_TIMEOUT_S)
        now_s = self._clock()
        match result:
            case Done(vms):
                self._report(self._view.on_vm_list(vms, now_s))
            case _:
                # The last reading stays: an outage of the list says nothing of
                # the machines.
                self._log.emit(LIST_UNREAD, reason=result.reason.value)
                self._report(self._view.refresh(now_s))

    def _watch(self, tasks: TaskGroup) -> None:
        """Start and end tasks until exactly the chosen peers are watched."""
        chosen = self._choose(self._view)
        for peer in set(self._watched) - chosen:
            self._watched.pop(peer).cancel()
        for peer in sorted(chosen - set(self._watched)):
            scope = anyio.CancelScope()
            self._watched[peer] = scope
            tasks.start_soon(self._watch_peer, peer, scope)

    async def _watch_peer(self, peer: PeerAddress, scope: anyio.CancelScope) -> None:
        with scope:
            # Spread, so that the answers of many do not come at one moment.
            await anyio.sleep(self._rng.uniform(0, self._policy.least_interval_s))
            while True:
                wait_s = self._jittered(self._interval_s(peer))
                due_s = anyio.current_time() + wait_s
                await self._beat(peer)
                await anyio.sleep_until(due_s)

    async def _beat(self, peer: PeerAddress) -> None:
        sent_s = self._clock()
        timeout_s = self._policy.heartbeat_timeout_s
        result = await self._heartbeats.heartbeat(peer, timeout_s=timeout_s)
        now_s = self._clock()
        match result:
            case Done(heartbeat):
                changes = self._view.on_heartbeat(
                    peer.vm, heartbeat, sent_s=sent_s, now_s=now_s
                )
                self._report(changes)
                self._heard(peer, heartbeat, now_s)
            case _:
                self._report(self._view.on_silence(peer.vm, sent_s=sent_s, now_s=now_s))

    def _interval_s(self, peer: PeerAddress) -> float:
        if peer.role == "router":
            return self._policy.router_interval_s
        targets = sum(1 for one in self._watched if one.role == peer.role)
        return self._policy.target_interval_s(targets)

    def _jittered(self, wait_s: float) -> float:
        # Only shorter: the bound on how late a drain is known must hold.
        return wait_s * (1 - self._rng.uniform(0, _JITTER))

    def _report(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            before = change.before.value if change.before else "unknown"
            self._log.emit(
                PEER_CHANGED,
                vm=change.peer.vm,
                role=change.peer.role,
                before=before,
                after=change.after.value,
            )
            if change.instance_before not in (None, change.instance_after):
                self._log.emit(
                    INSTANCE_REPLACED,
                    vm=change.peer.vm,
                    former=change.instance_before,
                    present=change.instance_after,
                )
            self._changed(change)
