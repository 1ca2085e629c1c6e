"""Choice of a target by the cost of a request to itself and to other requests."""

from __future__ import annotations

import random
from itertools import islice

from attrs import define

from endivegw.decisions.affinity import CachedPrefixes, PrefixIndex
from endivegw.decisions.availability import is_backing_off
from endivegw.decisions.copy_sources import NO_COPY, Copy, CopySources
from endivegw.decisions.estimates import Estimates, ModelSpeed
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import SERVICE_PREFIX, WorkItem
from endivegw.types import AvailabilityZone, Priority, TargetName

__all__ = ["Choice", "Placer"]

#: Maximum number of targets looked up for a prefix; only the first few are compared.
_MAX_HOLDERS = 4

#: Factor on the normal time of a request below which it is not used as a probe, so that
#: a target that is still unhealthy makes no caller late.
_PROBE_TIME_FACTOR = 4.0


@define
class Choice:
    """Hold the target chosen for a request.

    :param cost_s: seconds that the request takes there, plus the delay that it causes
        for the other requests.
    :param finish_s: seconds until the request is expected to finish there.
    :param first_s: seconds until its first token is expected.
    :param copy: what the target first copies from another target's cache.
    """

    state: TargetState
    cost_s: float
    finish_s: float
    cached_tokens: int
    why: str
    candidates: int = 1
    copy: Copy = NO_COPY
    first_s: float = 0.0

    @property
    def available_tokens(self) -> int:
        """Return the prompt tokens that the target need not read."""
        return self.cached_tokens + self.copy.tokens


@define
class _Criteria:
    """Hold what the candidates for one request are compared by.

    :param share: share of a target's slots that the request's priority may fill.
    :param cached: expected cached prompt tokens by target, the most first.
    :param sources: targets that have read a beginning of the prompt.
    :param is_service: whether the request is for a plain service.
    """

    now_s: float
    item: WorkItem
    speed: ModelSpeed
    share: float
    output_tokens: float
    cached: dict[TargetName, int]
    sources: CopySources
    is_service: bool


@define
class Placer:
    """Choose among a few candidate targets for each request.

    Many routers place requests at the same time on reports that are a second old. If
    each compared all targets, all would choose the same one, at a cost that grows with
    the fleet. Each therefore compares a handful: some drawn at random, some that are
    expected to have the prompt's prefix cached, and some that recently had a free slot.
    """

    policy: Policy
    zone: AvailabilityZone
    rng: random.Random
    estimates: Estimates
    prefixes: PrefixIndex
    targets: dict[TargetName, TargetState]

    def choose(self, pool: Pool, item: WorkItem, now_s: float) -> Choice | None:
        """Return the best candidate with a free slot, or None if there is none."""
        criteria = self._criteria(item, now_s)
        if pool.probe_due:
            probe = self._probe(pool, criteria, now_s)
            if probe is not None:
                return probe
        candidates = [
            state
            for state in self._candidates(pool, criteria)
            if self._has_capacity(state, criteria)
        ]
        compared = len(candidates)
        best = self._best(pool, candidates, criteria)
        if best is None:
            best = self._sample_until_free(pool, criteria)
        if pool.limited:
            best = self._limit_probe(pool, criteria) or best
        if best is not None:
            best.candidates = max(1, compared)
        return best

    def _best(
        self, pool: Pool, candidates: list[TargetState], criteria: _Criteria
    ) -> Choice | None:
        """Return the cheapest candidate, if possible among the preferred targets.

        A long prompt also goes to another target if no preferred one is expected to
        meet its objective. Other requests wait for less time behind each other than
        behind a long prompt that this router does not know of yet.
        """
        best: Choice | None = None
        item = criteria.item
        preferred: list[TargetState] = candidates
        others: list[TargetState] = []
        is_long = False
        if pool.separation.long_targets and not criteria.is_service:
            slope = criteria.speed.first.slope
            is_long = pool.separation.is_long(item, slope)
            long_targets = pool.separation.long_targets
            preferred, others = [], []
            for state in candidates:
                prefers = is_long == (state.view.target in long_targets)
                (preferred if prefers else others).append(state)
        for states in (preferred, others):
            for state in states:
                choice = self._evaluate(pool, state, criteria)
                if best is None or choice.cost_s < best.cost_s:
                    best = choice
            if best is not None and (not is_long or _meets_objective(best, criteria)):
                break
        return best

    def _criteria(self, item: WorkItem, now_s: float) -> _Criteria:
        cached = CachedPrefixes()
        sources = CopySources()
        if item.prefix_digests:
            cached = self.prefixes.lookup(
                item.prefix_digests, _MAX_HOLDERS, now_s, item.prefix_tokens
            )
        if cached.read and self.policy.copies:
            sources = CopySources.among(self.targets, cached.read, item.model)
        is_service = item.model.startswith(SERVICE_PREFIX)
        return _Criteria(
            now_s,
            item,
            self.estimates.speed(item.model),
            self.policy.slots_share(item.priority),
            0.0 if is_service else self.estimates.output_tokens(item),
            cached.expected if self.policy.affinity else {},
            sources,
            is_service,
        )

    def _candidates(self, pool: Pool, criteria: _Criteria) -> list[TargetState]:
        policy = self.policy
        found: list[TargetState] = []
        for target in islice(criteria.cached, policy.affinity_choices):
            state = self.targets.get(target)
            if state is not None and criteria.item.model in state.view.models:
                found.append(state)
        if pool.free_targets:
            for target in list(islice(pool.free_targets, policy.choices)):
                state = pool.free_targets[target]
                if state.occupied() < state.limit(1.0):
                    found.append(state)
                else:
                    del pool.free_targets[target]
        for state in pool.draw(policy.choices, self.rng):
            if state not in found:
                found.append(state)
        return found

    def _sample_until_free(self, pool: Pool, criteria: _Criteria) -> Choice | None:
        """Draw a bounded number of targets until one has a free slot."""
        for state in pool.draw(self.policy.probes, self.rng):
            if self._has_capacity(state, criteria):
                return self._evaluate(pool, state, criteria)
        return None

    def _has_capacity(self, state: TargetState, criteria: _Criteria) -> bool:
        if not self._serves(state, criteria):
            return False
        if state.weight < 1.0 and self.rng.random() > state.weight:
            # A limit on slots alone would not protect callers from a target that fails
            # within milliseconds, because its slots are always free.
            return False
        return state.occupied() < state.limit(criteria.share)

    def _serves(self, state: TargetState, criteria: _Criteria) -> bool:
        """Return whether a target may be given the request at all.

        Membership lists the models that a target is meant to serve, its own report
        those that are loaded. A request sent before its model is loaded would wait for
        the load.
        """
        if state.draining or not state.view.accepts_work:
            return False
        if is_backing_off(state, criteria.now_s):
            return False
        if state.send_wait_s(criteria.now_s) > 0.0:
            return False
        item = criteria.item
        if not item.allows(state.view):
            return False
        if item.excluded and state.view.target in item.excluded:
            return False
        return criteria.is_service or not state.loaded or item.model in state.loaded

    def _evaluate(self, pool: Pool, state: TargetState, criteria: _Criteria) -> Choice:
        """Evaluate a target for the request.

        The cost is the request's own time plus the time that it takes from the requests
        already there: each token that it generates delays the next token of every other
        stream. Its own time alone would fill the least loaded target of a fast kind
        until that target is as slow as the rest.
        """
        view = state.view
        speed = criteria.speed
        slots = state.slots
        occupied = state.occupied()
        zone_cost_s = 0.0
        if view.availability_zone != self.zone:
            zone_cost_s = self.policy.zone_penalty_s
        if criteria.is_service:
            service_time_s = speed.service_time_s.mean * state.slowness
            cost_s = service_time_s * (1.0 + occupied / slots) + zone_cost_s
            return Choice(state, cost_s, service_time_s, 0, "least-loaded")
        cached = criteria.cached.get(view.target, 0)
        copy = criteria.sources.copy_to(state, cached, speed.first.slope)
        uncached = criteria.item.prompt_tokens - cached - copy.tokens
        step = speed.step
        load = (occupied + 1.0) / slots
        if load > 1.0:
            load = 1.0
        finish_s = (
            speed.first.predict(state.unread_tokens() + uncached) + copy.duration_s
        )
        first_s = finish_s
        finish_s += criteria.output_tokens * (step.base + step.slope * load)
        if occupied >= slots:
            finish_s += (occupied + 1.0 - slots) * speed.service_time_s.mean / slots
        delay_cost_s = criteria.output_tokens * step.slope / slots * occupied
        delay_cost_s += speed.first.slope * uncached
        delay_cost_s += self._pause_cost_s(pool, state, uncached, occupied)
        cost_s = (finish_s + delay_cost_s) * state.slowness + zone_cost_s
        why = "prefix-cache" if cached else "least-loaded"
        if copy.tokens:
            why = "prefix-copy"
        return Choice(
            state,
            cost_s,
            finish_s * state.slowness,
            cached,
            why,
            copy=copy,
            first_s=first_s * state.slowness,
        )

    def _pause_cost_s(
        self, pool: Pool, state: TargetState, uncached: int, occupied: float
    ) -> float:
        """Return the cost of pauses beside long prompts, to others and to itself.

        A request that arrives while a long prompt is read pauses as well as the
        requests that were there before the prompt.
        """
        pause_cost_s = self.policy.pause_cost_s
        if not pause_cost_s:
            return 0.0
        cost_s = 0.0
        if pool.pauses.exceeds_objective(pool.members, state, uncached):
            cost_s += pause_cost_s * occupied
        if pool.pauses.exceeds_objective(pool.members, state, state.unread_tokens()):
            cost_s += pause_cost_s
        return cost_s

    def _limit_probe(self, pool: Pool, criteria: _Criteria) -> Choice | None:
        """Return a limited target that got no request for a time, or None.

        Other targets may be cheaper as long as the limit applies, but its end is only
        noticed by an answer.
        """
        item = criteria.item
        for state in pool.limited:
            if not state.is_limit_probe_due(criteria.now_s):
                continue
            if not self._has_capacity(state, criteria):
                continue
            choice = self._evaluate(pool, state, criteria)
            if criteria.now_s + choice.finish_s * _PROBE_TIME_FACTOR > item.deadline_s:
                continue
            choice.why = "limit-probe"
            return choice
        return None

    def _probe(self, pool: Pool, criteria: _Criteria, now_s: float) -> Choice | None:
        """Return a shed target that is due for a probe, or None.

        Urgent requests are not used as probes, nor are requests without slack.
        """
        item = criteria.item
        if item.priority is Priority.URGENT:
            return None
        for state in pool.probe_due:
            if not self._serves(state, criteria):
                continue
            if state.occupied() >= state.limit(criteria.share):
                continue
            choice = self._evaluate(pool, state, criteria)
            normal_s = choice.finish_s / state.slowness
            needed_s = max(choice.finish_s, normal_s * _PROBE_TIME_FACTOR)
            if now_s + needed_s > item.deadline_s:
                continue
            pool.probe_due.remove(state)
            state.next_probe_s = now_s + self.policy.probe_interval_s
            choice.why = "probe"
            return choice
        return None


def _meets_objective(choice: Choice, criteria: _Criteria) -> bool:
    objective_s = criteria.item.first_objective_s
    return objective_s is None or criteria.now_s + choice.first_s <= objective_s
