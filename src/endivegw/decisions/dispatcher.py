"""Admission, queueing and placement of one router's requests."""

from __future__ import annotations

import random
from typing import Iterable, Mapping

from endivegw.decisions import admission, health
from endivegw.decisions.affinity import PrefixIndex
from endivegw.decisions.availability import Availability, available_in_s
from endivegw.decisions.backlog import Backlog
from endivegw.decisions.bound_requests import BoundRequests
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.fair_queue import FairQueue
from endivegw.decisions.feedback import learn_from_answer, record_report_speed
from endivegw.decisions.permit_demand import permit_requests
from endivegw.decisions.placement import Choice, Placer
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool, model_groups
from endivegw.decisions.prefix_reports import PrefixReports
from endivegw.decisions.scaling import DemandMeter
from endivegw.decisions.send_permits import PermitRequest, Permits
from endivegw.decisions.shares import Shares
from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import (
    AttemptEnd,
    AttemptKind,
    Expired,
    LoadFigures,
    LocalLoad,
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


class Dispatcher:
    """Admit, queue, refuse and place the requests of one router.

    The caller reports events and calls :meth:`poll` after each of them to collect
    decisions on queued requests. No method waits or reads a clock.

    :param availability_zone: zone in which the router runs.
    :param rng: the only source of randomness.
    :ivar availability: which targets accept requests now.
    """

    def __init__(
        self, policy: Policy, availability_zone: AvailabilityZone, rng: random.Random
    ) -> None:
        self._policy = policy
        self._zone = availability_zone
        self._targets: dict[TargetName, TargetState] = {}
        self._pools: dict[str, Pool] = {}
        #: Target of each request's running attempt, by request id.
        self._placed: dict[str, TargetState] = {}
        self._groups: dict[str, int] = {}
        self._rng = rng
        #: Pools with targets that limit their requests.
        self._limited_pools: list[Pool] = []
        self._next_sweep_s = 0.0
        self._demand = DemandMeter(policy.demand_window_s)
        self._estimates = Estimates(policy)
        self._backlog = Backlog(policy, self._estimates, self._pools)
        self._bound = BoundRequests(policy)
        self._prefixes = PrefixIndex(
            policy.prefix_entries, policy.prefix_ttl_s, policy.block_tokens
        )
        self._prefix_reports = PrefixReports(self._prefixes)
        self.availability = Availability(self._targets, self._pools)
        self._placer = Placer(
            policy,
            availability_zone,
            rng,
            self._estimates,
            self._prefixes,
            self._targets,
        )

    # Updates from membership and from targets.

    def set_targets(self, views: Iterable[TargetView], now_s: float) -> None:
        """Replace the targets with the current membership.

        Draining targets get no new requests from this call on. Queued requests are not
        bound to a target, so they are placed on the remaining ones.
        """
        known = dict(self._targets)
        self._targets.clear()
        members: dict[str, list[TargetState]] = {model: [] for model in self._pools}
        for view in views:
            state = known.get(view.target)
            if state is None or not state.view.is_incarnation_of(view):
                if state is not None:
                    self._prefixes.remove_target(view.target)
                state = TargetState(view, max(1, view.slots))
            state.set_view(view)
            self._targets[view.target] = state
            if not view.accepts_work:
                continue
            for model in state.models():
                members.setdefault(model, []).append(state)
        for model, states in members.items():
            self._pool(model).set_members(states, self._zone)
        self._limited_pools = [pool for pool in self._pools.values() if pool.limited]
        self._regroup()

    def report(self, target: TargetName, figures: LoadFigures, now_s: float) -> None:
        """Apply a load report of a target, which is older than ``now_s``."""
        state = self._targets.get(target)
        if state is None:
            return
        if state.report(figures, now_s, self._policy.frozen_reports):
            record_report_speed(self._estimates, self._pools, state, figures)
            pools = (self._pools.get(model) for model in state.models())
            mean = max((pool.mean_remote_work for pool in pools if pool), default=0.0)
            state.decay_report(mean, self._estimates.overall_service_time_s.mean, now_s)
        self._prefixes.apply_events(
            target,
            figures.sequence,
            figures.cache_changes,
            now_s - figures.age_s,
            now_s,
        )
        self._offer_capacity(state)

    # Requests and their attempts.

    def submit(self, item: WorkItem, now_s: float) -> Placement | Queued | Refused:
        """Place, queue or refuse a new request.

        :returns: a :class:`Refused` has the reason ``DEADLINE``, ``NO_TARGET`` or
            ``OVERLOADED``; its ``retry_after_s`` is None if the same request would be
            refused again.
        """
        pool = self._pools.get(item.model)
        if pool is None or not pool.members:
            views = (state.view for state in self._targets.values())
            return admission.refuse_without_target(item.model, views)
        if item.deadline_s <= now_s:
            return Refused(Reason.DEADLINE, "the deadline has already passed")
        if self._bound.is_bound(pool, item):
            return self._submit_bound(pool, item, now_s)
        available_s = available_in_s(pool.members, now_s)
        if available_s > self._policy.max_backoff_wait_s:
            return self._backlog.refuse_unavailable(pool, available_s, now_s)
        pool.permits_wanted = True
        self._sweep(now_s)
        if self._policy.separate_prompts and item.prompt_tokens:
            pool.separation.add(item, self._s_per_token(item.model), now_s)
        self._demand.add(item.model, self._estimates.service_time_s(item, 1.0), now_s)
        if not self._must_queue(pool, item):
            choice = self._placer.choose(pool, item, now_s)
            if choice is not None:
                return self._admit(pool, item, choice, now_s)
        return self._backlog.enqueue(pool, item, now_s)

    def place_now(self, item: WorkItem, now_s: float) -> Placement | None:
        """Place a request on a target that has room for it, or return None.

        It overtakes no queued request.
        """
        pool = self._pools.get(item.model)
        if pool is None or not pool.members or item.deadline_s <= now_s:
            return None
        pool.permits_wanted = True
        self._sweep(now_s)
        if self._must_queue(pool, item):
            return None
        choice = self._placer.choose(pool, item, now_s)
        if choice is None:
            return None
        placement = self._admit(pool, item, choice, now_s)
        return placement if isinstance(placement, Placement) else None

    def _must_queue(self, pool: Pool, item: WorkItem) -> bool:
        """Return whether a new request would overtake queued ones that go first.

        These have the same or a higher priority; if it overtook them, the queue would
        starve in a long overload.
        """
        head = pool.queue.head()
        if head is None or head.best_effort:
            return False
        return head.item.priority <= item.priority

    def _submit_bound(
        self, pool: Pool, item: WorkItem, now_s: float
    ) -> Placement | Queued | Refused:
        """Place a request that must run at one software version, or let it wait."""
        refused = self._bound.refusal(pool, item, now_s)
        if refused is not None:
            return refused
        pool.permits_wanted = True
        self._sweep(now_s)
        choice = self._placer.choose(pool, item, now_s)
        if choice is not None:
            return self._admit(pool, item, choice, now_s)
        return Queued(self._bound.add(pool, item, now_s), len(self._bound) - 1)

    def poll(self, now_s: float) -> list[Placement | Expired]:
        """Return the decisions made on queued requests since the last call."""
        self._sweep(now_s)
        decided: list[Placement | Expired] = list(self._backlog.abandoned)
        self._backlog.abandoned.clear()
        self._serve_bound(now_s, decided)
        waiting = [pool for pool in self._pools.values() if len(pool.queue)]
        for pool in waiting:
            self._backlog.abandon_expired(pool, now_s, decided)
            available_s = available_in_s(pool.members, now_s)
            if available_s > self._policy.max_backoff_wait_s:
                retry_s = available_s if pool.members else admission.NO_TARGET_RETRY_S
                self._backlog.abandon_all(pool, retry_s, now_s, decided)
        self._serve(waiting, now_s, decided)
        for pool in waiting:
            self._backlog.abandon_without_permits(pool, now_s, decided)
        return decided

    def next_poll_s(self, now_s: float) -> float | None:
        """Return the latest time at which :meth:`poll` must be called again."""
        if self._backlog.abandoned:
            return now_s
        latest_s: float | None = None
        if len(self._bound):
            latest_s = now_s + self._policy.recheck_s
        for pool in self._pools.values():
            expiry_s = pool.queue.next_expiry_s()
            if expiry_s is None:
                continue
            due_s = min(expiry_s, now_s + self._policy.recheck_s)
            latest_s = due_s if latest_s is None else min(latest_s, due_s)
        return latest_s

    def demand(self, now_s: float) -> dict[str, float]:
        """Return the demand of this router's callers in slots, by model."""
        meter = self._demand
        return {model: meter.slots(model, now_s) for model in meter.models()}

    def permit_requests(self, now_s: float) -> list[PermitRequest]:
        """Return the permits to ask for; each answer goes to :meth:`add_permits`."""
        requests = []
        for pool in self._limited_pools:
            requests += permit_requests(pool, self._rng, now_s)
        return requests

    def add_permits(
        self,
        target: TargetName,
        started_ms: int | None,
        permits: Permits,
        now_s: float,
    ) -> None:
        """Apply the answer to a request for permits."""
        state = self._targets.get(target)
        if state is not None and state.view.started_ms == started_ms:
            state.permits.receive(permits, now_s)

    def local_load(self) -> dict[TargetName, LocalLoad]:
        """Return this router's own requests at each target."""
        return {
            target: LocalLoad(len(state.local_attempts), state.pending_tokens)
            for target, state in self._targets.items()
        }

    def started(self, request_id: str, now_s: float) -> None:
        """Record that the target accepted a request."""

    def first_token(self, request_id: str, now_s: float) -> None:
        """Record that the first token of an answer arrived."""
        state = self._placed.get(request_id)
        attempt = state.record_first_token(request_id) if state is not None else None
        if state is None or attempt is None:
            return
        attempt.first_s = now_s
        self._prefix_reports.record(state.view.target, attempt.item, now_s)
        elapsed_s = now_s - attempt.placed_s
        # Times of an unhealthy or overloaded target would distort the estimates.
        if state.weight >= 0.5 and attempt.load <= 1.0:
            model = attempt.item.model
            self._pools[model].separation.learn_read(
                attempt.item, self._s_per_token(model), elapsed_s
            )
            self._estimates.learn_first(model, attempt.uncached_tokens, elapsed_s)

    def record_remote_prefixes(
        self, prefixes: Mapping[TargetName, Iterable[bytes]], now_s: float
    ) -> None:
        """Record prompt prefixes that targets have read for other routers."""
        for target, digests in prefixes.items():
            if target in self._targets:
                self._prefixes.record(target, digests, now_s, read=True)

    def pop_prefixes(self) -> list[tuple[TargetName, bytes]]:
        """Return the prefixes read by targets since the last call.

        The caller sends them to the other routers.
        """
        return self._prefix_reports.pop()

    def ended(
        self, request_id: str, target: TargetName, result: AttemptEnd, now_s: float
    ) -> None:
        """Record that an attempt ended and release its slot."""
        state = self._placed.pop(request_id, None)
        if state is None:
            return
        attempt = state.end(request_id, now_s)
        if attempt is None:
            return
        pool = self._pools[attempt.item.model]
        pool.queue.shares.running -= 1
        health.record_attempt_end(state, result.kind)
        pool.pauses.learn(pool.members, state, attempt, result)
        if result.kind is AttemptKind.FAILED:
            # Health is updated immediately: at the rate at which this target fails,
            # hundreds of attempts would fail before the next sweep.
            self._next_sweep_s = now_s
        if result.kind is AttemptKind.OK:
            learn_from_answer(self._estimates, state, attempt, result, now_s)
        self._offer_capacity(state)

    def cancel(self, request_id: str, now_s: float) -> None:
        """Remove a queued request whose caller disconnected."""
        self._bound.remove(request_id)
        for pool in self._pools.values():
            entry = pool.queue.find(request_id)
            if entry is not None:
                pool.queue.remove(entry)

    def _pool(self, model: str) -> Pool:
        pool = self._pools.get(model)
        if pool is None:
            pool = Pool(model, FairQueue(Shares(), self._policy.share_tolerance_s))
            self._pools[model] = pool
        return pool

    def _regroup(self) -> None:
        """Let models whose targets overlap use the same fair shares."""
        views = (state.view for state in self._targets.values())
        numbers = model_groups(view.models for view in views)
        if numbers == self._groups:
            return
        self._groups = numbers
        shares = {number: Shares() for number in numbers.values()}
        for model, pool in self._pools.items():
            pool.regroup(shares[numbers[model]] if model in numbers else Shares())
        for request_id, state in self._placed.items():
            attempt = state.local_attempts.get(request_id)
            if attempt is not None:
                self._pools[attempt.item.model].queue.shares.running += 1

    def _offer_capacity(self, state: TargetState) -> None:
        """Offer queued requests a target that may have a free slot."""
        if not state.view.accepts_work or state.occupied() >= state.limit(1.0):
            return
        for model in state.models():
            pool = self._pools.get(model)
            if pool is not None and len(pool.queue):
                pool.free_targets[state.view.target] = state

    def _sweep(self, now_s: float) -> None:
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + self._policy.sweep_s
        for state in self._targets.values():
            self._drop_lost(state, now_s)
        for pool in self._pools.values():
            health.sweep(pool, self._estimates, self._policy, now_s)
            if self._policy.separate_prompts and pool.members:
                slope = self._s_per_token(pool.model)
                pool.separation.update(pool.model, pool.members, slope, now_s)

    def _s_per_token(self, model: str) -> float:
        """Return the time in which a target of a model reads a token of a prompt."""
        return self._estimates.speed(model).first.slope

    def _drop_lost(self, state: TargetState, now_s: float) -> None:
        """Release the slot of an attempt whose end was never reported.

        A caller that disconnects while its request is being placed can leave such an
        attempt behind. Without this cleanup each of them would occupy a slot of the
        target, as seen by this router, until the router is restarted.
        """
        oldest = next(iter(state.local_attempts.items()), None)
        if oldest is None:
            return
        request_id, attempt = oldest
        if now_s > attempt.item.deadline_s + self._policy.lost_after_s:
            end = AttemptEnd(AttemptKind.CANCELLED)
            self.ended(request_id, state.view.target, end, now_s)

    def _admit(
        self, pool: Pool, item: WorkItem, choice: Choice, now_s: float
    ) -> Placement | Refused:
        """Place a request on the chosen target unless it would finish too late."""
        if now_s + choice.finish_s * self._policy.idle_margin > item.deadline_s:
            return admission.refuse_short_deadline(item, choice.finish_s, now_s)
        return self._place(pool, item, choice, now_s)

    def _serve_bound(self, now_s: float, decided: list[Placement | Expired]) -> None:
        """Place requests that must run at one software version, the oldest first."""
        decided += self._bound.expire(now_s)
        for pool, item in self._bound.waiting():
            choice = self._placer.choose(pool, item, now_s)
            if choice is not None:
                self._bound.remove(item.request_id)
                decided.append(self._place(pool, item, choice, now_s))

    def _serve(
        self, waiting: list[Pool], now_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Place queued requests of all models in queue order while slots are free."""
        heads = [(pool, pool.queue.head()) for pool in waiting]
        ready = {pool.model: (pool, entry) for pool, entry in heads if entry}
        while ready:
            model = min(ready, key=lambda m: ready[m][0].queue.rank(ready[m][1]))
            pool, entry = ready[model]
            choice = self._placer.choose(pool, entry.item, now_s)
            if choice is None:
                del ready[model]
                continue
            pool.queue.pop(entry)
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
        if (
            not view.accepts_work
            or state.draining
            or view.target in item.excluded
            or not item.allows(view)
            or state.send_wait_s(now_s) > 0.0
        ):
            raise InvariantError(
                f"{item.request_id} was about to be placed on {view.target}, which is "
                "draining, evacuated, excluded for this request, of another software "
                "version, at the limit of its warm-up or without a permit"
            )
        load = state.load()
        figures = PlacementFigures(
            load=load,
            local_outstanding=len(state.local_attempts),
            cached_tokens=choice.cached_tokens,
            queued_s=now_s - item.arrived_s,
            finish_s=choice.finish_s,
            slack_s=item.deadline_s - now_s - choice.finish_s,
            candidates=choice.candidates,
            copied_tokens=choice.copy.tokens,
        )
        uncached = item.prompt_tokens - choice.available_tokens
        speed = self._estimates.speed(item.model)
        expected_first_s = speed.first.predict(state.unread_tokens() + uncached)
        attempt = Outstanding(
            item, now_s, load, uncached, expected_first_s, choice.finish_s
        )
        state.place(item.request_id, attempt)
        pool.queue.shares.running += 1
        self._placed[item.request_id] = state
        if item.prefix_digests:
            self._prefixes.record(view.target, item.prefix_digests, now_s)
        return Placement(
            item,
            view.target,
            view.instance_id,
            view.address,
            choice.why,
            figures,
            view.started_ms,
            choice.copy.address,
            view.software_version,
        )
