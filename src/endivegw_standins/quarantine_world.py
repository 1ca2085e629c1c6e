"""Simulate routers that share evidence of target terminations, in virtual time.

Evidence, gossip and rows of the routers are production code. The targets and the sends
of requests are simulated.
"""

from __future__ import annotations

import random
from collections import Counter

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.gossip.gossip_queue import GossipQueue
from endivegw.gossip.messages import BroadcastMessage, decode, encode
from endivegw.gossip.peers import PeerEntry
from endivegw.quarantine import (
    Evidence,
    Fingerprint,
    QuarantineManager,
    RequestRecord,
    TargetStart,
    TargetTerminated,
)
from endivegw.rendezvous import rendezvous_order
from endivegw.telemetry import EventLog
from endivegw.types import InstanceId
from endivegw_standins.linked_world import SimulatedNetwork
from endivegw_standins.row_store import MemoryRows, RowStoreClient

__all__ = ["QuarantineRouter", "QuarantineWorld", "SimulatedTarget"]

#: Seconds for which a target runs a request that terminates it.
_TERMINATION_DELAY_S = 0.08

#: Seconds until a router that lost a send knows whether the target terminated.
_DETECTION_S = 0.003

#: Maximum number of targets that one attempt of a caller is sent to.
_MAX_TARGETS = 2


class SimulatedTarget:
    """A target that runs requests; a deadly request fails all others with it."""

    def __init__(self, name: str, restart_s: float) -> None:
        self._name = name
        self._restart_s = restart_s
        self._starts = 1
        self.up = True
        self._terminated = anyio.Event()

    @property
    def start(self) -> TargetStart:
        """Return the current start."""
        return TargetStart(InstanceId(f"{self._name}.{self._starts}"), None)

    async def run(self, took_s: float) -> bool:
        """Run a request; return whether it completed."""
        terminated = self._terminated
        with anyio.move_on_after(took_s):
            await terminated.wait()
        return not terminated.is_set()

    def terminate(self) -> None:
        """Terminate together with all running requests."""
        self.up = False
        self._terminated.set()

    async def restart(self) -> None:
        """Start again after the restart time."""
        await anyio.sleep(self._restart_s)
        self._starts += 1
        self._terminated = anyio.Event()
        self.up = True


class QuarantineRouter:
    """One router's quarantine manager and gossip."""

    def __init__(self, world: QuarantineWorld, number: int, start: int) -> None:
        self.world = world
        self.host = f"host-{number}"
        self.entry = PeerEntry(
            self.host, InstanceId(f"{self.host}.{start}"), self.host, 1
        )
        self.gossip_queue = GossipQueue(self._send, self._peers, world.rng)
        self.manager = QuarantineManager(
            RowStoreClient(self.host, world.store),
            self._broadcast,
            world.rng,
            anyio.current_time,
            EventLog("router", vm=self.host),
            is_trier=lambda key: rendezvous_order(key, world.hosts())[0] == self.host,
        )
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Run gossip and the quarantine manager until killed."""
        socket = self.world.network.open(self.host)
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.gossip_queue.run)
                tasks.start_soon(self.manager.run)
                async for data, _ in socket:
                    message = decode(data)
                    match message:
                        case BroadcastMessage(
                            _, TargetTerminated() | RequestRecord() as evidence
                        ):
                            self.manager.receive(evidence)

    def _broadcast(self, evidence: Evidence) -> None:
        self.gossip_queue.broadcast(
            encode(BroadcastMessage(self.entry.instance_id, evidence))
        )

    def _peers(self) -> list[PeerEntry]:
        routers = self.world.routers.values()
        return [router.entry for router in routers if router is not self]

    async def _send(self, data: bytes, peer: PeerEntry) -> None:
        self.world.network.carry(self.host, data, peer.host, peer.port)


@define
class QuarantineWorld:
    """A simulated fleet, its targets, and the results of the callers.

    :ivar arrivals: times at which each request reached a target.
    :ivar terminations: times at which each request terminated a target.
    :ivar refused: number of refusals by fingerprint.
    :ivar answered: number of answers by fingerprint.
    """

    rng: random.Random
    tasks: TaskGroup
    store: MemoryRows
    network: SimulatedNetwork
    routers: dict[int, QuarantineRouter] = field(factory=dict)
    targets: list[SimulatedTarget] = field(factory=list)
    arrivals: dict[Fingerprint, list[float]] = field(factory=dict)
    terminations: dict[Fingerprint, list[float]] = field(factory=dict)
    refused: Counter[Fingerprint] = field(factory=Counter)
    answered: Counter[Fingerprint] = field(factory=Counter)
    _starts: int = 0

    @classmethod
    def build(
        cls,
        seed: int,
        tasks: TaskGroup,
        routers: int,
        targets: int,
        restart_s: float = 3.4,
    ) -> QuarantineWorld:
        """Return a fleet that runs in a task group."""
        rng = random.Random(seed)
        store = MemoryRows(anyio.current_time)
        world = cls(rng, tasks, store, SimulatedNetwork(rng))
        for number in range(routers):
            world.start(number)
        names = [f"target-{number}" for number in range(targets)]
        world.targets = [SimulatedTarget(name, restart_s) for name in names]
        return world

    def hosts(self) -> list[str]:
        """Return the hosts of all routers."""
        return [router.host for router in self.routers.values()]

    def start(self, number: int) -> None:
        """Start a router, replacing the one with the same number."""
        if number in self.routers:
            self.routers[number].scope.cancel()
        self._starts += 1
        router = self.routers[number] = QuarantineRouter(self, number, self._starts)
        self.tasks.start_soon(router.run)

    async def send(
        self, fingerprint: Fingerprint, took_s: float, tries: int = 2
    ) -> str:
        """Send a request as a caller, trying another router after a failure."""
        outcome = ""
        for _ in range(tries):
            router = self.routers[self.rng.choice(list(self.routers))]
            outcome = await self._route(router, fingerprint, took_s, False)
            if outcome == "answered":
                break
        return outcome

    async def send_deadly(self, fingerprint: Fingerprint, router: int) -> str:
        """Send a request that terminates targets to one router."""
        return await self._route(
            self.routers[router], fingerprint, _TERMINATION_DELAY_S, deadly=True
        )

    def terminate_target(self, target: SimulatedTarget) -> None:
        """Terminate a target that is up, and restart it later."""
        if target.up:
            target.terminate()
            self.tasks.start_soon(target.restart)

    def late_arrivals(self, fingerprint: Fingerprint, slack_s: float) -> int:
        """Return the number of arrivals after the third termination plus a slack."""
        terminations = self.terminations.get(fingerprint, [])
        if len(terminations) < 3:
            return 0
        arrivals = self.arrivals[fingerprint]
        return sum(at_s > terminations[2] + slack_s for at_s in arrivals)

    async def _route(
        self,
        router: QuarantineRouter,
        fingerprint: Fingerprint,
        took_s: float,
        deadly: bool,
    ) -> str:
        manager = router.manager
        for _ in range(_MAX_TARGETS):
            if manager.refuse(fingerprint) is not None:
                self.refused[fingerprint] += 1
                return "refused"
            up = [target for target in self.targets if target.up]
            if not up:
                return "overloaded"
            target = self.rng.choice(up)
            start = target.start
            self.arrivals.setdefault(fingerprint, []).append(anyio.current_time())
            if await target.run(took_s) and not deadly:
                manager.answered(fingerprint)
                self.answered[fingerprint] += 1
                return "answered"
            if deadly and target.up and target.start == start:
                self.terminations.setdefault(fingerprint, []).append(
                    anyio.current_time()
                )
                self.terminate_target(target)
            await anyio.sleep(_DETECTION_S)
            manager.record_termination(start, [fingerprint])
            if manager.is_suspect(fingerprint):
                return "lost"
        return "lost"
