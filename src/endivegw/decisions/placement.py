"""Choose a target: what the work costs there, to itself and to the others."""

from __future__ import annotations

import random
from itertools import islice

from attrs import define

from endivegw.decisions.affinity import CachedPrefixes, PrefixIndex
from endivegw.decisions.availability import is_held_off
from endivegw.decisions.estimates import Estimates, ModelSpeed
from endivegw.decisions.fetch import NO_COPY, Copy, CopySources
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import SERVICE_PREFIX, WorkItem
from endivegw.types import AvailabilityZone, Priority, TargetName

__all__ = ["Choice", "Placer"]

#: Holders of a prefix that are looked up; only the first few are compared.
_HOLDERS = 4

#: Work that is given to a probe must have this much more time than it needs,
#: so that a target that is still sick makes no caller late.
_PROBE_SLACK = 4.0


@define
class Choice:
    """Hold a target that was chosen.

    :param cost_s: seconds the work takes there, plus what it costs the others.
    :param finish_s: seconds until it is expected to end there.
    :param copy: what it gets from another target's cache first.
    """

    state: TargetState
    cost_s: float
    finish_s: float
    cached_tokens: int
    why: str
    candidates: int = 1
    copy: Copy = NO_COPY

    @property
    def known_tokens(self) -> int:
        """Return the prompt tokens that the target need not read."""
        return self.cached_tokens + self.copy.tokens


@define
class _Need:
    """Hold what all candidates for one piece of work are compared by.

    :param share: the share of a target's slots that its priority may fill.
    :param cached: expected cached prompt tokens by target, the most first.
    :param sources: targets that have read some of the prompt.
    :param plain: whether it is for a plain service.
    """

    now_s: float
    item: WorkItem
    speed: ModelSpeed
    share: float
    output_tokens: float
    cached: dict[TargetName, int]
    sources: CopySources
    plain: bool


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
        need = self._need(item, now_s)
        if pool.probe_due:
            probe = self._probe(pool, need, now_s)
            if probe is not None:
                return probe
        best: Choice | None = None
        compared = 0
        for state in self._candidates(pool, need):
            if not self._has_room(state, need):
                continue
            compared += 1
            choice = self._weigh(pool, state, need)
            if best is None or choice.cost_s < best.cost_s:
                best = choice
        if best is None:
            best = self._search(pool, need)
        if best is not None:
            best.candidates = max(1, compared)
        return best

    def _need(self, item: WorkItem, now_s: float) -> _Need:
        cached = CachedPrefixes()
        sources = CopySources()
        if item.prefix_digests:
            cached = self.prefixes.lookup(
                item.prefix_digests, _HOLDERS, now_s, item.prefix_tokens
            )
        if cached.read and self.policy.copies:
            sources = CopySources.among(self.targets, cached.read, item.model)
        plain = item.model.startswith(SERVICE_PREFIX)
        return _Need(
            now_s,
            item,
            self.estimates.speed(item.model),
            self.policy.slots_share(item.priority),
            0.0 if plain else self.estimates.output_tokens(item),
            cached.expected if self.policy.affinity else {},
            sources,
            plain,
        )

    def _candidates(self, pool: Pool, need: _Need) -> list[TargetState]:
        policy = self.policy
        found: list[TargetState] = []
        for target in islice(need.cached, policy.affinity_choices):
            state = self.targets.get(target)
            if state is not None and need.item.model in state.view.models:
                found.append(state)
        if pool.room:
            for target in list(islice(pool.room, policy.choices)):
                state = pool.room[target]
                if state.occupied() < state.limit(1.0):
                    found.append(state)
                else:
                    del pool.room[target]
        for state in pool.draw(policy.choices, self.rng):
            if state not in found:
                found.append(state)
        return found

    def _search(self, pool: Pool, need: _Need) -> Choice | None:
        """Draw on until a target has room, a bounded number of times."""
        for state in pool.draw(self.policy.probes, self.rng):
            if self._has_room(state, need):
                return self._weigh(pool, state, need)
        return None

    def _has_room(self, state: TargetState, need: _Need) -> bool:
        if not self._serves(state, need):
            return False
        if state.weight < 1.0 and self.rng.random() > state.weight:
            # A limit on slots alone would not hold work back from a target
            # that fails within milliseconds: its slots are always free.
            return False
        return state.occupied() < state.limit(need.share)

    def _serves(self, state: TargetState, need: _Need) -> bool:
        """Return whether a target may be given this work at all.

        Membership says what a target is meant to serve, its own report what is
        loaded by now. Work sent before the load would wait for it.
        """
        if state.draining or state.view.draining:
            return False
        if is_held_off(state, need.now_s):
            return False
        item = need.item
        if item.excluded and state.view.target in item.excluded:
            return False
        return need.plain or not state.loaded or item.model in state.loaded

    def _weigh(self, pool: Pool, state: TargetState, need: _Need) -> Choice:
        """Return what the work costs on a target.

        The cost is the work's own time plus the time that it takes from the
        work already there: each token that it generates makes each other
        stream's next token later. Own time alone would fill the emptiest
        target of a fast kind until it is as slow as the rest.
        """
        view = state.view
        speed = need.speed
        slots = state.slots
        occupied = state.occupied()
        far_s = 0.0
        if view.availability_zone != self.zone:
            far_s = self.policy.zone_penalty_s
        if need.plain:
            held_s = speed.held_s.mean * state.slowness
            cost_s = held_s * (1.0 + occupied / slots) + far_s
            return Choice(state, cost_s, held_s, 0, "least-loaded")
        cached = need.cached.get(view.target, 0)
        copy = need.sources.copy_to(state, cached, speed.first.slope)
        uncached = need.item.prompt_tokens - cached - copy.tokens
        step = speed.step
        load = (occupied + 1.0) / slots
        if load > 1.0:
            load = 1.0
        finish_s = speed.first.at(state.unread_tokens() + uncached) + copy.takes_s
        finish_s += need.output_tokens * (step.base + step.slope * load)
        if occupied >= slots:
            finish_s += (occupied + 1.0 - slots) * speed.held_s.mean / slots
        others_s = need.output_tokens * step.slope / slots * occupied
        others_s += speed.first.slope * uncached
        others_s += self._pause_cost_s(pool, state, uncached, occupied)
        cost_s = (finish_s + others_s) * state.slowness + far_s
        why = "prefix-cache" if cached else "least-loaded"
        if copy.tokens:
            why = "prefix-copy"
        return Choice(state, cost_s, finish_s * state.slowness, cached, why, copy=copy)

    def _pause_cost_s(
        self, pool: Pool, state: TargetState, uncached: int, occupied: float
    ) -> float:
        """Return what pauses beside long prompts cost, of others and of its own.

        Work that arrives while a long prompt is read pauses as well as the work
        that was there before it.
        """
        each_s = self.policy.pause_cost_s
        if not each_s:
            return 0.0
        cost_s = 0.0
        if pool.pauses.too_long(pool.members, state, uncached):
            cost_s += each_s * occupied
        if pool.pauses.too_long(pool.members, state, state.unread_tokens()):
            cost_s += each_s
        return cost_s

    def _probe(self, pool: Pool, need: _Need, now_s: float) -> Choice | None:
        """Return a shed target whose turn it is to show whether it is well.

        Urgent work is not used for it, nor work without time to spare.
        """
        item = need.item
        if item.priority is Priority.URGENT:
            return None
        for state in pool.probe_due:
            if not self._serves(state, need):
                continue
            if state.occupied() >= state.limit(need.share):
                continue
            choice = self._weigh(pool, state, need)
            usual_s = choice.finish_s / state.slowness
            needed_s = max(choice.finish_s, usual_s * _PROBE_SLACK)
            if now_s + needed_s > item.deadline_s:
                continue
            pool.probe_due.remove(state)
            state.next_probe_s = now_s + self.policy.probe_interval_s
            choice.why = "probe"
            return choice
        return None
