"""Choose a target: what the work costs there, to itself and to the others."""

from __future__ import annotations

import random

from attrs import define

from endivegw.decisions.affinity import PrefixIndex
from endivegw.decisions.estimates import Estimates, ModelSpeed
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import SERVICE_PREFIX, WorkItem
from endivegw.types import AvailabilityZone, Priority, TargetName

__all__ = ["Choice", "Placer"]

#: Work that is given to a probe must have this much more time than it needs,
#: so that a target that is still sick makes no caller late.
_PROBE_SLACK = 4.0


@define
class Choice:
    """Hold a target that was chosen.

    :param cost_s: seconds the work takes there, plus what it costs the others.
    :param finish_s: seconds until it is expected to end there.
    """

    state: TargetState
    cost_s: float
    finish_s: float
    cached_tokens: int
    why: str
    candidates: int = 1


@define
class Placer:
    """Compare a few targets for one piece of work.

    The load it is made for is many routers that place at the same time on
    reports a second old. Comparing all targets would send them all to the same
    one and would cost more the larger the fleet; so each compares a handful:
    some drawn, some that should hold the prompt's prefix, some that were just
    seen to have room.
    """

    policy: Policy
    zone: AvailabilityZone
    rng: random.Random
    estimates: Estimates
    prefixes: PrefixIndex
    targets: dict[TargetName, TargetState]

    def choose(self, pool: Pool, item: WorkItem, now_s: float) -> Choice | None:
        """Return the best target with room, None where none was found."""
        probe = self._probe(pool, item, now_s)
        if probe is not None:
            return probe
        speed = self.estimates.speed(item.model)
        share = self.policy.slots_share(item.priority)
        best: Choice | None = None
        compared = 0
        for state in self._candidates(pool, item):
            if not self._has_room(state, item, share):
                continue
            compared += 1
            choice = self._weigh(state, item, speed, now_s)
            if best is None or choice.cost_s < best.cost_s:
                best = choice
        if best is None:
            best = self._search(pool, item, speed, share, now_s)
        if best is not None:
            best.candidates = max(1, compared)
        return best

    def _candidates(self, pool: Pool, item: WorkItem) -> list[TargetState]:
        policy = self.policy
        found: list[TargetState] = []
        if item.prefix_digests:
            held = self.prefixes.holders(item.prefix_digests, policy.affinity_choices)
            for target, _ in held:
                state = self.targets.get(target)
                if state is not None and item.model in state.view.models:
                    found.append(state)
        for target in list(pool.room)[: policy.choices] if pool.room else ():
            state = pool.room[target]
            if state.occupied() < state.limit(1.0):
                found.append(state)
            else:
                del pool.room[target]
        for state in pool.draw(policy.choices, self.rng):
            if state not in found:
                found.append(state)
        return found

    def _search(
        self, pool: Pool, item: WorkItem, speed: ModelSpeed, share: float, now_s: float
    ) -> Choice | None:
        """Draw on until a target has room, a bounded number of times."""
        for state in pool.draw(self.policy.probes, self.rng):
            if self._has_room(state, item, share):
                return self._weigh(state, item, speed, now_s)
        return None

    def _has_room(self, state: TargetState, item: WorkItem, share: float) -> bool:
        if state.draining or state.view.draining:
            return False
        if item.excluded and state.view.target in item.excluded:
            return False
        if state.weight < 1.0 and self.rng.random() > state.weight:
            # A limit on slots alone would not hold work back from a target
            # that fails within milliseconds: its slots are always free.
            return False
        return state.occupied() < state.limit(share)

    def _weigh(
        self, state: TargetState, item: WorkItem, speed: ModelSpeed, now_s: float
    ) -> Choice:
        """Return what the work costs on a target.

        The cost is the work's own time plus the time that it takes from the
        work already there: each token that it generates makes each other
        stream's next token later. Own time alone would fill the emptiest
        target of a fast kind until it is as slow as the rest.
        """
        policy = self.policy
        occupied = state.occupied()
        far_s = (
            0.0 if state.view.availability_zone == self.zone else policy.zone_penalty_s
        )
        if item.model.startswith(SERVICE_PREFIX):
            held_s = speed.held_s.mean * state.slowness
            cost_s = held_s * (1.0 + occupied / state.slots) + far_s
            return Choice(state, cost_s, held_s, 0, "least-loaded")
        cached = 0
        if item.prefix_digests:
            cached = int(
                self.prefixes.cached_tokens(
                    state.view.target, item.prefix_digests, now_s
                )
            )
            cached = min(cached, item.prompt_tokens)
        reading = state.pending_tokens + item.prompt_tokens - cached
        output = self.estimates.output_tokens(item)
        load = min(1.0, (occupied + 1.0) / state.slots)
        first_s = speed.first.at(reading)
        finish_s = first_s + output * speed.step.at(load)
        if occupied >= state.slots:
            over = occupied + 1.0 - state.slots
            finish_s += over * speed.held_s.mean / state.slots
        finish_s *= state.slowness
        others_s = output * speed.step.slope / state.slots * occupied
        others_s += speed.first.slope * (item.prompt_tokens - cached)
        cost_s = finish_s + others_s * state.slowness + far_s
        why = "prefix-cache" if cached else "least-loaded"
        return Choice(state, cost_s, finish_s, cached, why)

    def _probe(self, pool: Pool, item: WorkItem, now_s: float) -> Choice | None:
        """Return a shed target whose turn it is to show whether it is well.

        Urgent work is not used for it, nor work without time to spare.
        """
        if not pool.probe_due or item.priority is Priority.URGENT:
            return None
        speed = self.estimates.speed(item.model)
        share = self.policy.slots_share(item.priority)
        for state in pool.probe_due:
            if state.draining or state.view.target in item.excluded:
                continue
            if state.occupied() >= state.limit(share):
                continue
            choice = self._weigh(state, item, speed, now_s)
            needed_s = max(
                choice.finish_s, choice.finish_s / state.slowness * _PROBE_SLACK
            )
            if now_s + needed_s > item.deadline_s:
                continue
            pool.probe_due.remove(state)
            state.next_probe_s = now_s + self.policy.probe_interval_s
            choice.why = "probe"
            return choice
        return None
