"""The one object through which a router admits, queues and places work."""

from __future__ import annotations

import random
from collections import deque
from typing import Iterable, Mapping

from endivegw.decisions import admission, health
from endivegw.decisions.affinity import PrefixIndex
from endivegw.decisions.availability import Availability, back_in_s
from endivegw.decisions.backlog import NOBODY_TAKES_WORK, Backlog
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.fair_queue import FairQueue
from endivegw.decisions.feedback import judge_load, learn
from endivegw.decisions.placement import Choice, Placer
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool, groups
from endivegw.decisions.scaling import DemandMeter
from endivegw.decisions.shares import Shares
from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import (
    AttemptEnd,
    AttemptKind,
    Expired,
    LoadFigures,
    OwnLoad,
    Placement,
    PlacementFigures,
    Queued,
    TargetView,
    WorkItem,
)
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["Dispatcher"]


#: When work may come back that no target serves: targets register within it.
_NO_TARGET_RETRY_S = 1.0

#: News of prompts read that wait to be told; some seconds of a busy router's.
_MOST_READ = 256


class Dispatcher:
    """Admit, queue, refuse and place the work of one router.

    The caller reports what happens and asks :meth:`poll` after each event what
    became decided about queued work. Nothing here waits or reads a clock.

    :param availability_zone: where the router runs.
    :param rng: the only source of chance.
    :ivar availability: which targets take work now.
    """

    def __init__(
        self, policy: Policy, availability_zone: AvailabilityZone, rng: random.Random
    ) -> None:
        self._policy = policy
        self._zone = availability_zone
        self._targets: dict[TargetName, TargetState] = {}
        self._pools: dict[str, Pool] = {}
        #: Where each request's running attempt is.
        self._placed: dict[str, TargetState] = {}
        self._groups: dict[str, int] = {}
        self._next_sweep_s = 0.0
        #: What targets read and no other router was told yet; the latest count.
        self._read: deque[tuple[TargetName, bytes]] = deque(maxlen=_MOST_READ)
        self._demand = DemandMeter(policy.demand_window_s)
        self._estimates = Estimates(policy)
        self._backlog = Backlog(policy, self._estimates, self._pools)
        self._prefixes = PrefixIndex(
            policy.prefix_entries, policy.prefix_ttl_s, policy.block_tokens
        )
        self.availability = Availability(self._targets, self._pools)
        self._placer = Placer(
            policy,
            availability_zone,
            rng,
            self._estimates,
            self._prefixes,
            self._targets,
        )

    # What membership and targets say.

    def set_targets(self, views: Iterable[TargetView], now_s: float) -> None:
        """Take over what membership says now.

        Draining targets get no new work from this call on. Work that is queued
        is bound to no target, so it moves to the others by itself.
        """
        known = dict(self._targets)
        self._targets.clear()
        members: dict[str, list[TargetState]] = {model: [] for model in self._pools}
        for view in views:
            state = known.get(view.target)
            if state is None or not state.view.is_incarnation_of(view):
                if state is not None:
                    self._prefixes.forget(view.target)
                state = TargetState(view, max(1, view.slots))
            state.set_view(view)
            self._targets[view.target] = state
            if view.draining:
                continue
            for model in state.models():
                members.setdefault(model, []).append(state)
        for model, states in members.items():
            self._pool(model).set_members(states, self._zone)
        self._regroup()

    def report(self, target: TargetName, figures: LoadFigures, now_s: float) -> None:
        """Take in a lagged load report of a target."""
        state = self._targets.get(target)
        if state is None:
            return
        if state.report(figures, now_s, self._policy.frozen_reports):
            judge_load(self._estimates, self._pools, state, figures)
            pools = (self._pools.get(model) for model in state.models())
            mean = max((pool.mean_others for pool in pools if pool), default=0.0)
            state.age(mean, self._estimates.held_s_of_all.mean, now_s)
        self._prefixes.events(
            target,
            figures.sequence,
            figures.cache_changes,
            now_s - figures.age_s,
            now_s,
        )
        self._offer(state)

    # Work.

    def submit(self, item: WorkItem, now_s: float) -> Placement | Queued | Refused:
        """Decide on new work: place it, queue it or refuse it.

        :returns: :class:`Refused` with ``DEADLINE``, ``NO_TARGET`` or
            ``OVERLOADED``; its ``retry_after_s`` is None where the same request
            would be refused again.
        """
        pool = self._pools.get(item.model)
        if pool is None or not pool.members:
            return Refused(
                Reason.NO_TARGET, f"no target serves {item.model}", _NO_TARGET_RETRY_S
            )
        if item.deadline_s <= now_s:
            return Refused(Reason.DEADLINE, "the deadline has passed")
        back_s = back_in_s(pool.members, now_s)
        if back_s > self._policy.holdoff_wait_s:
            return Refused(Reason.OVERLOADED, NOBODY_TAKES_WORK, back_s)
        self._sweep(now_s)
        self._demand.add(item.model, self._estimates.held_s(item, 1.0), now_s)
        head = pool.queue.head()
        # New work must not overtake queued work of its own or a higher
        # priority: in a long overload the queue would starve.
        if head is None or head.hopeful or head.item.priority > item.priority:
            choice = self._placer.choose(pool, item, now_s)
            if choice is not None:
                return self._admit(pool, item, choice, now_s)
        return self._backlog.enqueue(pool, item, now_s)

    def poll(self, now_s: float) -> list[Placement | Expired]:
        """Return what became decided about queued work."""
        self._sweep(now_s)
        decided: list[Placement | Expired] = list(self._backlog.given_up)
        self._backlog.given_up.clear()
        waiting = [pool for pool in self._pools.values() if len(pool.queue)]
        for pool in waiting:
            self._backlog.give_up(pool, now_s, decided)
            back_s = back_in_s(pool.members, now_s)
            if back_s > self._policy.holdoff_wait_s:
                retry_s = back_s if pool.members else _NO_TARGET_RETRY_S
                self._backlog.give_up_all(pool, retry_s, decided)
        self._serve(waiting, now_s, decided)
        return decided

    def next_poll_s(self, now_s: float) -> float | None:
        """Return when :meth:`poll` must be called at the latest."""
        if self._backlog.given_up:
            return now_s
        latest_s: float | None = None
        for pool in self._pools.values():
            expiry_s = pool.queue.next_expiry_s()
            if expiry_s is None:
                continue
            due_s = min(expiry_s, now_s + self._policy.recheck_s)
            latest_s = due_s if latest_s is None else min(latest_s, due_s)
        return latest_s

    def demand(self, now_s: float) -> dict[str, float]:
        """Return the slots that callers of this router ask for, by model."""
        meter = self._demand
        return {model: meter.slots(model, now_s) for model in meter.models()}

    def own_load(self) -> dict[TargetName, OwnLoad]:
        """Return what this router has at each target."""
        return {
            target: OwnLoad(len(state.own), state.pending_tokens)
            for target, state in self._targets.items()
        }

    def started(self, request_id: str, now_s: float) -> None:
        """Note that the target took the work."""

    def first_token(self, request_id: str, now_s: float) -> None:
        """Note that the answer has begun."""
        state = self._placed.get(request_id)
        attempt = state.read(request_id) if state is not None else None
        if state is None or attempt is None:
            return
        attempt.first_s = now_s
        self._note_read(state, attempt.item, now_s)
        taken_s = now_s - attempt.placed_s
        # Times of a sick or overfull target would teach wrong speeds.
        if state.weight >= 0.5 and attempt.load <= 1.0:
            model = attempt.item.model
            self._estimates.learn_first(model, attempt.uncached_tokens, taken_s)

    def read_elsewhere(
        self, prefixes: Mapping[TargetName, Iterable[bytes]], now_s: float
    ) -> None:
        """Take in which prompt prefixes targets read for other routers' callers."""
        for target, digests in prefixes.items():
            if target in self._targets:
                self._prefixes.learn(target, digests, now_s, read=True)

    def take_read(self) -> list[tuple[TargetName, bytes]]:
        """Return what targets read since the last call, for the other routers."""
        news = list(self._read)
        self._read.clear()
        return news

    def ended(
        self, request_id: str, target: TargetName, result: AttemptEnd, now_s: float
    ) -> None:
        """Note that an attempt ended; its slot is free."""
        state = self._placed.pop(request_id, None)
        if state is None:
            return
        attempt = state.end(request_id, now_s)
        if attempt is None:
            return
        pool = self._pools[attempt.item.model]
        pool.queue.shares.running -= 1
        health.judge_end(state, result.kind)
        pool.pauses.learn(pool.members, state, attempt, result)
        if result.kind is AttemptKind.FAILED:
            # Judged at once: at this target's pace the next sweep is hundreds
            # of failed attempts away.
            self._next_sweep_s = now_s
        if result.kind is AttemptKind.OK:
            learn(self._estimates, state, attempt, result, now_s)
        self._offer(state)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Drop queued work whose caller went away."""
        for pool in self._pools.values():
            entry = pool.queue.find(request_id)
            if entry is not None:
                pool.queue.remove(entry)

    # Inside.

    def _note_read(self, state: TargetState, item: WorkItem, now_s: float) -> None:
        """Note that a prompt was read: others may copy it from there.

        The whole prompt is this request's own, and hardly another router's caller
        sends it again; what is shared comes before it.
        """
        target = state.view.target
        news = self._prefixes.learn(target, item.prefix_digests, now_s, read=True)
        shared = set(item.prefix_digests[:-1])
        self._read.extend((target, digest) for digest in news if digest in shared)

    def _pool(self, model: str) -> Pool:
        pool = self._pools.get(model)
        if pool is None:
            pool = Pool(model, FairQueue(Shares(), self._policy.share_tolerance_s))
            self._pools[model] = pool
        return pool

    def _regroup(self) -> None:
        """Let models that share targets share their accounts' shares."""
        views = (state.view for state in self._targets.values())
        numbers = groups(view.models for view in views)
        if numbers == self._groups:
            return
        self._groups = numbers
        shares = {number: Shares() for number in numbers.values()}
        for model, pool in self._pools.items():
            pool.regroup(shares[numbers[model]] if model in numbers else Shares())
        for request_id, state in self._placed.items():
            attempt = state.own.get(request_id)
            if attempt is not None:
                self._pools[attempt.item.model].queue.shares.running += 1

    def _offer(self, state: TargetState) -> None:
        """Show queued work a target that may have room now."""
        if state.view.draining or state.occupied() >= state.limit(1.0):
            return
        for model in state.models():
            pool = self._pools.get(model)
            if pool is not None and len(pool.queue):
                pool.room[state.view.target] = state

    def _sweep(self, now_s: float) -> None:
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + self._policy.sweep_s
        for state in self._targets.values():
            self._drop_lost(state, now_s)
        for pool in self._pools.values():
            health.sweep(pool, self._estimates, self._policy, now_s)

    def _drop_lost(self, state: TargetState, now_s: float) -> None:
        """Free the slot of an attempt whose end was never reported.

        A caller that goes away in the moment of its placement can leave one
        behind. Counted for ever, each would take a slot of this target away
        from this router until it is restarted.
        """
        oldest = next(iter(state.own.items()), None)
        if oldest is None:
            return
        request_id, attempt = oldest
        if now_s > attempt.item.deadline_s + self._policy.lost_after_s:
            end = AttemptEnd(AttemptKind.CANCELLED)
            self.ended(request_id, state.view.target, end, now_s)

    def _admit(
        self, pool: Pool, item: WorkItem, choice: Choice, now_s: float
    ) -> Placement | Refused:
        """Place work that found a target, unless it cannot end in time there."""
        if now_s + choice.finish_s * self._policy.idle_margin > item.deadline_s:
            return admission.too_short(item, choice.finish_s, now_s)
        return self._place(pool, item, choice, now_s)

    def _serve(
        self, waiting: list[Pool], now_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Place queued work, the first of all models first, while there is room."""
        heads = [(pool, pool.queue.head()) for pool in waiting]
        ready = {pool.model: (pool, entry) for pool, entry in heads if entry}
        while ready:
            model = min(ready, key=lambda m: ready[m][0].queue.rank(ready[m][1]))
            pool, entry = ready[model]
            choice = self._placer.choose(pool, entry.item, now_s)
            if choice is None:
                del ready[model]
                continue
            pool.queue.take(entry)
            decided.append(self._place(pool, entry.item, choice, now_s))
            head = pool.queue.head()
            if head is None:
                del ready[model]
            else:
                ready[model] = (pool, head)

    def _place(
        self, pool: Pool, item: WorkItem, choice: Choice, now_s: float
    ) -> Placement:
        state = choice.state
        view = state.view
        if view.draining or state.draining or view.target in item.excluded:
            raise InvariantError(
                f"{item.request_id} was about to go to {view.target}, which is "
                "leaving or was ruled out for it"
            )
        load = state.load()
        figures = PlacementFigures(
            load=load,
            own_outstanding=len(state.own),
            cached_tokens=choice.cached_tokens,
            queued_s=now_s - item.arrived_s,
            finish_s=choice.finish_s,
            slack_s=item.deadline_s - now_s - choice.finish_s,
            candidates=choice.candidates,
            copied_tokens=choice.copy.tokens,
        )
        uncached = item.prompt_tokens - choice.known_tokens
        speed = self._estimates.speed(item.model)
        expected_s = speed.first.at(state.unread_tokens() + uncached)
        attempt = Outstanding(item, now_s, load, uncached, expected_s, choice.finish_s)
        state.place(item.request_id, attempt)
        pool.queue.shares.running += 1
        self._placed[item.request_id] = state
        if item.prefix_digests:
            self._prefixes.learn(view.target, item.prefix_digests, now_s)
        return Placement(
            item,
            view.target,
            view.instance_id,
            view.address,
            choice.why,
            figures,
            view.started_ms,
            choice.copy.address,
        )
