"""The router's queue: admission to it, eviction from it and expiry."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions import admission
from endivegw.decisions.availability import available_in_s
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.permit_demand import (
    held_permits,
    queue_capacity,
    schedule_retry_s,
)
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.work import Expired, Placement, Queued, WorkItem
from endivegw.results import Reason, Refused

__all__ = ["NO_TARGET_ACCEPTS_WORK", "Backlog"]

NO_TARGET_ACCEPTS_WORK = "no target accepts requests at present"

TARGETS_LIMITED = "all targets limit their requests, and none accepts another one yet"


@define(eq=False)
class Backlog:
    """Queue requests of all models, and evict or expire them.

    :param pools: the dispatcher's pools by model, shared with the dispatcher.
    :param abandoned: requests evicted since the last poll.
    """

    policy: Policy
    estimates: Estimates
    pools: dict[str, Pool]
    abandoned: list[Expired] = field(factory=list)

    def enqueue(self, pool: Pool, item: WorkItem, now_s: float) -> Queued | Refused:
        """Queue a request, or refuse it if it would finish too late."""
        policy = self.policy
        service_time_s = self.estimates.service_time_s(item, 1.0)
        long_service_time_s = self.estimates.service_time_s(
            item, 1.0, policy.queue_deviations
        )
        latest_start_s = item.deadline_s - long_service_time_s * policy.queue_margin
        wait_s = self._wait_s(pool, item, service_time_s, latest_start_s)
        lateness_s = admission.lateness_s(
            item, wait_s, long_service_time_s, policy, now_s
        )
        if lateness_s is None:
            return admission.refuse_short_deadline(item, long_service_time_s, now_s)
        if lateness_s > 0.0 and not self._evict_longer(
            pool, item, service_time_s, latest_start_s, now_s
        ):
            retry_s = self._retry_s(pool, service_time_s, lateness_s, now_s)
            return admission.refuse_overloaded(wait_s, service_time_s, retry_s)
        refused = self._make_room(pool, item, now_s)
        if refused is not None:
            return refused
        if len(pool.queue) >= policy.queue_items:
            evicted = pool.queue.eviction_candidate(item)
            retry_s = self._retry_s(pool, service_time_s, wait_s, now_s)
            if evicted is None:
                return Refused(
                    Reason.OVERLOADED,
                    f"the queue holds its limit of {policy.queue_items} requests",
                    retry_s,
                )
            pool.queue.remove(evicted)
            detail = (
                "evicted from the full queue in favour of an account below its share"
            )
            self.abandoned.append(Expired(evicted.item, detail, retry_s))
        position = len(pool.queue)
        last_chance_s = item.deadline_s - service_time_s * policy.best_effort_margin
        pool.queue.push(item, service_time_s, latest_start_s, last_chance_s)
        return Queued(wait_s, position)

    def _make_room(self, pool: Pool, item: WorkItem, now_s: float) -> Refused | None:
        """Limit the queue to the permits that can be expected.

        :returns: a refusal unless another request was evicted instead.
        """
        capacity = queue_capacity(pool, self.policy, now_s)
        if capacity is None or len(pool.queue) < capacity:
            return None
        refused = _refuse_limited(pool, available_in_s(pool.members, now_s), now_s)
        evicted = pool.queue.eviction_candidate(item)
        if evicted is None:
            return refused
        pool.queue.remove(evicted)
        self.abandoned.append(Expired.from_refusal(evicted.item, refused))
        return None

    def refuse_unavailable(self, pool: Pool, wait_s: float, now_s: float) -> Refused:
        """Return the refusal of a request that no target accepts for a time."""
        if queue_capacity(pool, self.policy, now_s) is None:
            return Refused(Reason.OVERLOADED, NO_TARGET_ACCEPTS_WORK, wait_s)
        return _refuse_limited(pool, wait_s, now_s)

    def _retry_s(
        self, pool: Pool, service_time_s: float, wait_s: float, now_s: float
    ) -> float:
        """Return the time after which a refused caller should retry."""
        return pool.queue.shares.schedule_retry_s(
            service_time_s, wait_s, self.policy, now_s
        )

    def _evict_longer(
        self,
        pool: Pool,
        item: WorkItem,
        service_time_s: float,
        latest_start_s: float,
        now_s: float,
    ) -> bool:
        """Evict the account's longest queued request in favour of shorter ones.

        In an overload not all of an account's requests can finish in time. Evicting the
        longest one whenever the next would be late serves the largest number of callers
        (the Moore-Hodgson rule, which minimises the number of late jobs).

        :returns: whether a request was evicted.
        """
        min_service_time_s = service_time_s * self.policy.eviction_factor
        shares = pool.queue.shares
        found = None
        for other in self.pools.values():
            if other.queue.shares is shares:
                entry = other.queue.longest_before(
                    item, min_service_time_s, latest_start_s
                )
                if entry is not None:
                    found, min_service_time_s = (other, entry), entry.service_time_s
        if found is None:
            return False
        other, entry = found
        other.queue.remove(entry)
        wait_s = self._wait_s(
            pool, entry.item, entry.service_time_s, entry.latest_start_s
        )
        detail = "evicted in favour of shorter requests of the same account"
        retry_s = self._retry_s(pool, entry.service_time_s, wait_s, now_s)
        self.abandoned.append(Expired(entry.item, detail, retry_s))
        return True

    def _wait_s(
        self, pool: Pool, item: WorkItem, service_time_s: float, latest_start_s: float
    ) -> float:
        """Return how long a request would wait in the queue.

        While the queue is not empty, each slot that this router's requests hold serves
        one slot-second of the queue per second. A measured service rate is not used,
        because it lags behind the changes in load that the estimate has to follow.
        """
        shares = pool.queue.shares
        return shares.work_ahead_s(item, service_time_s, latest_start_s) / max(
            1, shares.running
        )

    def abandon_all(
        self,
        pool: Pool,
        wait_s: float,
        now_s: float,
        decided: list[Placement | Expired],
    ) -> None:
        """Expire all queued requests of a model that no target accepts."""
        for entry in list(pool.queue.entries()):
            pool.queue.remove(entry)
            refused = self.refuse_unavailable(pool, wait_s, now_s)
            decided.append(Expired.from_refusal(entry.item, refused))

    def abandon_without_permits(
        self, pool: Pool, now_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Expire queued requests that waited too long for permits of targets."""
        if queue_capacity(pool, self.policy, now_s) is None:
            return
        oldest_s = now_s - self.policy.max_backoff_wait_s
        entries = list(pool.queue.entries())
        overdue = [entry for entry in entries if entry.item.arrived_s <= oldest_s]
        excess = len(entries) - held_permits(pool, now_s)
        wait_s = available_in_s(pool.members, now_s)
        for entry in overdue[: max(0, excess)]:
            pool.queue.remove(entry)
            refused = _refuse_limited(pool, wait_s, now_s)
            decided.append(Expired.from_refusal(entry.item, refused))

    def abandon_expired(
        self, pool: Pool, now_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Expire queued requests that can no longer finish before their deadline."""
        while True:
            entry = pool.queue.expired(now_s)
            if entry is None:
                return
            pool.queue.remove(entry)
            wait_s = self._wait_s(
                pool, entry.item, entry.service_time_s, entry.latest_start_s
            )
            retry_s = self._retry_s(pool, entry.service_time_s, wait_s, now_s)
            detail = "queued request can no longer finish before its deadline"
            decided.append(Expired(entry.item, detail, retry_s))


def _refuse_limited(pool: Pool, wait_s: float, now_s: float) -> Refused:
    """Return the refusal of a request for which no target grants a permit in time."""
    retry_s = schedule_retry_s(pool, wait_s, now_s)
    return Refused(Reason.TARGET_LIMIT, TARGETS_LIMITED, retry_s)
