"""Routers that share what ended their targets, in virtual time.

The routers' part is the product's: evidence, rumours, rows. Targets and the sends of
requests are played.
"""

from __future__ import annotations

import random
from collections import Counter

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.gossip.messages import News, decode, encode
from endivegw.gossip.peers import PeerEntry
from endivegw.gossip.rumours import Rumours
from endivegw.quarantine import (
    Evidence,
    Fingerprint,
    QuarantineKeeper,
    RequestRecord,
    TargetEnded,
    TargetStart,
)
from endivegw.telemetry import EventLog
from endivegw.types import InstanceId
from endivegw_standins.linked_world import PlayedNetwork
from endivegw_standins.row_store import MemoryRows, RowStoreClient

__all__ = ["PlayedTarget", "QuarantineRouter", "QuarantineWorld"]

#: How long a target runs a request that ends it.
_END_AFTER_S = 0.08

#: Until a router that lost a send knows whether its target ended.
_ASK_S = 0.003

#: How many targets one attempt of a caller may be sent to.
_MOST_TARGETS = 2


class PlayedTarget:
    """Run requests; a deadly one takes all others with it."""

    def __init__(self, name: str, back_s: float) -> None:
        self._name = name
        self._back_s = back_s
        self._starts = 1
        self.up = True
        self._ended = anyio.Event()

    @property
    def start(self) -> TargetStart:
        """Return the start that runs now."""
        return TargetStart(InstanceId(f"{self._name}.{self._starts}"), None)

    async def run(self, took_s: float) -> bool:
        """Run a request; return whether it came to its end."""
        ended = self._ended
        with anyio.move_on_after(took_s):
            await ended.wait()
        return not ended.is_set()

    def end(self) -> None:
        """End with all that runs here."""
        self.up = False
        self._ended.set()

    async def come_back(self) -> None:
        """Start again after a while."""
        await anyio.sleep(self._back_s)
        self._starts += 1
        self._ended = anyio.Event()
        self.up = True


class QuarantineRouter:
    """Hold one router's memory of requests, and its part in the rumours."""

    def __init__(self, world: QuarantineWorld, number: int, start: int) -> None:
        self.world = world
        self.host = f"host-{number}"
        self.entry = PeerEntry(
            self.host, InstanceId(f"{self.host}.{start}"), self.host, 1
        )
        self.rumours = Rumours(self._send, self._peers, world.rng)
        self.keeper = QuarantineKeeper(
            RowStoreClient(self.host, world.store),
            self._tell,
            world.rng,
            anyio.current_time,
            EventLog("router", vm=self.host),
        )
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Hear, tell and keep rows until killed."""
        socket = self.world.network.open(self.host)
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.rumours.run)
                tasks.start_soon(self.keeper.run)
                async for data, _ in socket:
                    message = decode(data)
                    match message:
                        case News(_, TargetEnded() | RequestRecord() as evidence):
                            self.keeper.hear(evidence)

    def _tell(self, evidence: Evidence) -> None:
        self.rumours.tell(encode(News(self.entry.instance_id, evidence)))

    def _peers(self) -> list[PeerEntry]:
        routers = self.world.routers.values()
        return [router.entry for router in routers if router is not self]

    async def _send(self, data: bytes, peer: PeerEntry) -> None:
        self.world.network.carry(self.host, data, peer.host, peer.port)


@define
class QuarantineWorld:
    """Hold a fleet, its targets, and what callers got.

    :ivar arrivals: when each request reached a target.
    :ivar ends: when each request ended a target.
    :ivar refused: requests that were refused, by fingerprint.
    """

    rng: random.Random
    tasks: TaskGroup
    store: MemoryRows
    network: PlayedNetwork
    routers: dict[int, QuarantineRouter] = field(factory=dict)
    targets: list[PlayedTarget] = field(factory=list)
    arrivals: dict[Fingerprint, list[float]] = field(factory=dict)
    ends: dict[Fingerprint, list[float]] = field(factory=dict)
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
        back_s: float = 3.4,
    ) -> QuarantineWorld:
        """Return a fleet that runs in a task group."""
        rng = random.Random(seed)
        store = MemoryRows(anyio.current_time)
        world = cls(rng, tasks, store, PlayedNetwork(rng))
        for number in range(routers):
            world.start(number)
        names = [f"target-{number}" for number in range(targets)]
        world.targets = [PlayedTarget(name, back_s) for name in names]
        return world

    def start(self, number: int) -> None:
        """Start a router, in the place of one that was there."""
        if number in self.routers:
            self.routers[number].scope.cancel()
        self._starts += 1
        router = self.routers[number] = QuarantineRouter(self, number, self._starts)
        self.tasks.start_soon(router.run)

    async def ask(self, fingerprint: Fingerprint, took_s: float, tries: int = 2) -> str:
        """Ask as a caller does: another router where the first one failed."""
        outcome = ""
        for _ in range(tries):
            router = self.routers[self.rng.choice(list(self.routers))]
            outcome = await self._carry(router, fingerprint, took_s, False)
            if outcome == "answered":
                break
        return outcome

    async def ask_deadly(self, fingerprint: Fingerprint, router: int) -> str:
        """Ask one router for what ends targets."""
        return await self._carry(
            self.routers[router], fingerprint, _END_AFTER_S, deadly=True
        )

    def end_target(self, target: PlayedTarget) -> None:
        """End a target that is up, and let it come back."""
        if target.up:
            target.end()
            self.tasks.start_soon(target.come_back)

    def late_arrivals(self, fingerprint: Fingerprint, slack_s: float) -> int:
        """Return the arrivals later than a slack after the third end."""
        ends = self.ends.get(fingerprint, [])
        if len(ends) < 3:
            return 0
        arrivals = self.arrivals[fingerprint]
        return sum(at_s > ends[2] + slack_s for at_s in arrivals)

    async def _carry(
        self,
        router: QuarantineRouter,
        fingerprint: Fingerprint,
        took_s: float,
        deadly: bool,
    ) -> str:
        keeper = router.keeper
        for _ in range(_MOST_TARGETS):
            if keeper.refuse(fingerprint) is not None:
                self.refused[fingerprint] += 1
                return "refused"
            up = [target for target in self.targets if target.up]
            if not up:
                return "overloaded"
            target = self.rng.choice(up)
            start = target.start
            self.arrivals.setdefault(fingerprint, []).append(anyio.current_time())
            if await target.run(took_s) and not deadly:
                keeper.answered(fingerprint)
                self.answered[fingerprint] += 1
                return "answered"
            if deadly and target.up and target.start == start:
                self.ends.setdefault(fingerprint, []).append(anyio.current_time())
                self.end_target(target)
            await anyio.sleep(_ASK_S)
            keeper.ended(start, [fingerprint])
            if keeper.is_suspect(fingerprint):
                return "lost"
        return "lost"
