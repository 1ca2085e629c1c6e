"""Poll the VM list and send heartbeats, with one task per watched peer."""

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
    PEER_CHANGED,
    VM_LIST_UNREADABLE,
)

__all__ = ["ChoosePeers", "HeartbeatListener", "MembershipAgent"]

#: Selects the peers that receive heartbeats from the peers in the view.
ChoosePeers = Callable[[MembershipView], frozenset[PeerAddress]]

#: Called with each heartbeat response and the time at which it was received. The
#: response carries the load report and the configuration revision.
HeartbeatListener = Callable[[PeerAddress, Heartbeat, float], None]

_LIST_TIMEOUT_S = 5.0

#: Interval between two selections of the watched peers. Selecting from 650 peers
#: takes one to two milliseconds.
_SELECTION_INTERVAL_S = 2.0

#: Fraction by which each wait is shortened at random, so that processes that started
#: together do not send their requests at the same time.
_JITTER = 0.1


class MembershipAgent:
    """Keep a membership view up to date while the agent runs.

    :param choose: selects the peers that this process watches.
    :param on_heartbeat: called with each heartbeat response.
    :param on_change: called with each change of the view.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        policy: MembershipPolicy,
        vm_list: VmListPort,
        heartbeats: HeartbeatPort,
        choose: ChoosePeers,
        on_heartbeat: HeartbeatListener,
        on_change: Callable[[Change], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._policy = policy
        self._vm_list = vm_list
        self._heartbeats = heartbeats
        self._choose = choose
        self._on_heartbeat = on_heartbeat
        self._on_change = on_change
        self._log = log
        self._rng = rng
        self._clock = clock
        self._watched: dict[PeerAddress, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Poll the list and watch peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            list_due_s = self._clock()
            while True:
                if self._clock() >= list_due_s:
                    await self._poll_list()
                    list_due_s = self._clock() + self._jittered(self._list_interval_s())
                # The watched peers are selected more often than the list is
                # read, because heartbeat responses change the selection.
                self._update_watched(tasks)
                wait_s = list_due_s - self._clock()
                await anyio.sleep(min(max(wait_s, 0.0), _SELECTION_INTERVAL_S))

    def _list_interval_s(self) -> float:
        # A new process knows no peers and cannot serve requests until it has read
        # the list once, so it polls more often until then.
        if self._view.list_read:
            return self._policy.listing_interval_s(len(self._view))
        return min(1.0, self._policy.list_interval_s)

    async def _poll_list(self) -> None:
        result = await self._vm_list.list_vms(timeout_s=_LIST_TIMEOUT_S)
        now_s = self._clock()
        match result:
            case Done(vms):
                self._report_changes(self._view.on_vm_list(vms, now_s))
            case _:
                # Keep the last list: an outage of the list service is no evidence
                # about the machines.
                self._log.emit(VM_LIST_UNREADABLE, reason=result.reason.value)
                self._report_changes(self._view.refresh(now_s))

    def _update_watched(self, tasks: TaskGroup) -> None:
        """Start and cancel tasks so that exactly the chosen peers are watched."""
        chosen = self._choose(self._view)
        for peer in set(self._watched) - chosen:
            self._watched.pop(peer).cancel()
        for peer in sorted(chosen - set(self._watched)):
            scope = anyio.CancelScope()
            self._watched[peer] = scope
            tasks.start_soon(self._watch_peer, peer, scope)

    async def _watch_peer(self, peer: PeerAddress, scope: anyio.CancelScope) -> None:
        with scope:
            # A random initial delay keeps the responses of many peers from arriving
            # at the same time.
            await anyio.sleep(self._rng.uniform(0, self._policy.min_interval_s))
            while True:
                wait_s = self._jittered(self._interval_s(peer))
                due_s = anyio.current_time() + wait_s
                await self._send_heartbeat(peer)
                await anyio.sleep_until(due_s)

    async def _send_heartbeat(self, peer: PeerAddress) -> None:
        sent_s = self._clock()
        timeout_s = self._policy.heartbeat_timeout_s
        result = await self._heartbeats.heartbeat(peer, timeout_s=timeout_s)
        now_s = self._clock()
        match result:
            case Done(heartbeat):
                changes = self._view.on_heartbeat(
                    peer.vm, heartbeat, sent_s=sent_s, now_s=now_s
                )
                self._report_changes(changes)
                self._on_heartbeat(peer, heartbeat, now_s)
            case _:
                self._report_changes(
                    self._view.on_missed_heartbeat(peer.vm, sent_s=sent_s, now_s=now_s)
                )

    def _interval_s(self, peer: PeerAddress) -> float:
        if peer.role == "router":
            return self._policy.router_interval_s
        targets = sum(1 for other in self._watched if other.role == peer.role)
        return self._policy.target_interval_s(targets)

    def _jittered(self, wait_s: float) -> float:
        # Waits are only shortened, so that the bound on how late a drain is detected
        # holds.
        return wait_s * (1 - self._rng.uniform(0, _JITTER))

    def _report_changes(self, changes: tuple[Change, ...]) -> None:
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
            self._on_change(change)
