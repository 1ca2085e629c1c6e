"""Simulate requests that share parts of their prompts, in virtual time.

The quarantine, its gossip and its rows are production code.
"""

from __future__ import annotations

import random
from collections import Counter

import anyio
from attrs import define, field

from endivegw.quarantine import Fingerprint, TargetStart, part_fingerprints
from endivegw_standins.quarantine_world import (
    QuarantineRouter,
    QuarantineWorld,
    SimulatedTarget,
)

__all__ = ["PartPlay"]

_SERVICE = "engine"

#: Time until a target begins to write an answer, and until the answer is complete.
_FIRST_S = 0.15
_REST_S = 0.5

#: Seconds until a router that lost a send knows that the target terminated.
_DETECTION_S = 0.003

#: Time after the fifth termination from which on sends of deadly requests count.
_CONTACT_S = 3.0


@define(eq=False)
class PartPlay:
    """Callers whose prompts share parts, some of which terminate targets.

    :ivar deadly: ids of the parts on which targets terminate now.
    :ivar sends_s: times at which requests with each deadly part reached a target.
    :ivar ends_s: times at which each part terminated a target.
    :ivar outcomes: number of sound requests by outcome.
    :ivar ended: times and outcomes of sound requests.
    """

    world: QuarantineWorld
    rng: random.Random
    documents: int = 200
    deadly: set[str] = field(factory=set)
    sends_s: dict[str, list[float]] = field(factory=dict)
    ends_s: dict[str, list[float]] = field(factory=dict)
    outcomes: Counter[str] = field(factory=Counter)
    ended: list[tuple[float, str]] = field(factory=list)
    _requests: int = 0

    async def send_sound(self, per_s: float, span_s: float) -> None:
        """Send requests with a common first part and one of the documents."""
        until_s = anyio.current_time() + span_s
        while anyio.current_time() < until_s:
            self.world.tasks.start_soon(self._send, [self._document()])
            await anyio.sleep(self.rng.expovariate(per_s))

    async def send_with(self, part: str, per_s: float, span_s: float) -> None:
        """Send requests that have a part beside others."""
        until_s = anyio.current_time() + span_s
        while anyio.current_time() < until_s:
            self.world.tasks.start_soon(self._send, [part, self._document()])
            await anyio.sleep(self.rng.expovariate(per_s))

    def late_sends(self, part: str) -> int:
        """Return how many requests with a part reached a target too late."""
        ends_s = self.ends_s.get(part, [])
        if len(ends_s) < 5:
            return 0
        return sum(at_s > ends_s[4] + _CONTACT_S for at_s in self.sends_s[part])

    def served_share(self, from_s: float, until_s: float) -> float:
        """Return the share of sound requests in a span whose answer began."""
        found = [outcome for at_s, outcome in self.ended if from_s <= at_s < until_s]
        return sum(outcome == "begun" for outcome in found) / max(1, len(found))

    def terminate(self, count: int) -> None:
        """Terminate targets for a reason of their own, all at the same moment."""
        for target in self.rng.sample(self.world.targets, count):
            self.world.terminate_target(target)

    def _document(self) -> str:
        return f"doc-{self.rng.randrange(self.documents)}"

    async def _send(self, parts: list[str]) -> None:
        self._requests += 1
        ids = ["first", *parts, f"own-{self._requests}"]
        arrived_s = anyio.current_time()
        router = self.world.routers[self.rng.choice(list(self.world.routers))]
        deadly = [part for part in parts if part in self.deadly]
        outcome = await self._run(router, ids, deadly)
        if not deadly:
            self.outcomes[outcome] += 1
            self.ended.append((arrived_s, outcome))

    async def _run(
        self, router: QuarantineRouter, ids: list[str], deadly: list[str]
    ) -> str:
        manager = router.manager
        body = Fingerprint(f"body-{self._requests}")
        keys = part_fingerprints(_SERVICE, [part_id.encode() for part_id in ids])
        found = manager.find_quarantined(body, *keys)
        if found is not None and not manager.start_trial(body, *keys):
            return "refused"
        up = [target for target in self.world.targets if target.up]
        if not up:
            return "overloaded"
        target = self.rng.choice(up)
        start = target.start
        for part in deadly:
            self.sends_s.setdefault(part, []).append(anyio.current_time())
        if await target.run(_FIRST_S):
            if not deadly:
                for key in keys:
                    manager.answered(key)
                if not await target.run(_REST_S):
                    await anyio.sleep(_DETECTION_S)
                    manager.record_termination(start, [body])
                return "begun"
            self._terminate(target, start, deadly)
        await anyio.sleep(_DETECTION_S)
        manager.record_termination(start, [body, *keys])
        return "lost"

    def _terminate(
        self, target: SimulatedTarget, start: TargetStart, deadly: list[str]
    ) -> None:
        if target.up and target.start == start:
            for part in deadly:
                self.ends_s.setdefault(part, []).append(anyio.current_time())
            self.world.terminate_target(target)
