"""The router's queue: what is let in, what gives way, what is given up."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions import admission
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.work import Expired, Placement, Queued, WorkItem
from endivegw.results import Reason, Refused

__all__ = ["NOBODY_TAKES_WORK", "Backlog"]

NOBODY_TAKES_WORK = "no target takes work now"


@define(eq=False)
class Backlog:
    """Queue and give up the work of all models.

    :param pools: the dispatcher's own, by model.
    :param given_up: work given up between two polls.
    """

    policy: Policy
    estimates: Estimates
    pools: dict[str, Pool]
    given_up: list[Expired] = field(factory=list)

    def enqueue(self, pool: Pool, item: WorkItem, now_s: float) -> Queued | Refused:
        """Queue work, or refuse it where it would end too late."""
        policy = self.policy
        held_s = self.estimates.held_s(item, 1.0)
        most_s = self.estimates.held_s(item, 1.0, policy.queue_deviations)
        latest_s = item.deadline_s - most_s * policy.queue_margin
        wait_s = self._wait_s(pool, item, held_s, latest_s)
        excess_s = admission.excess_s(item, wait_s, most_s, policy, now_s)
        if excess_s is None:
            return admission.too_short(item, most_s, now_s)
        if excess_s > 0.0 and not self._make_way(pool, item, held_s, latest_s, now_s):
            retry_s = self._retry_s(pool, held_s, excess_s, now_s)
            return admission.overloaded(wait_s, held_s, retry_s)
        if len(pool.queue) >= policy.queue_items:
            victim = pool.queue.victim(item)
            retry_s = self._retry_s(pool, held_s, wait_s, now_s)
            if victim is None:
                return Refused(Reason.OVERLOADED, "the queue is full", retry_s)
            pool.queue.remove(victim)
            detail = "gave way to an account below its share"
            self.given_up.append(Expired(victim.item, detail, retry_s))
        position = len(pool.queue)
        last_s = item.deadline_s - held_s * policy.hope_margin
        pool.queue.push(item, held_s, latest_s, last_s)
        return Queued(wait_s, position)

    def _retry_s(self, pool: Pool, held_s: float, wait_s: float, now_s: float) -> float:
        """Return after how long a refused caller should come back."""
        return pool.queue.shares.appoint(held_s, wait_s, self.policy, now_s)

    def _make_way(
        self,
        pool: Pool,
        item: WorkItem,
        held_s: float,
        latest_s: float,
        now_s: float,
    ) -> bool:
        """Give up an account's longest queued work for several shorter ones.

        In an overload not all of an account's work can end in time. Dropping
        the longest piece whenever the next would be late serves the most
        callers (Moore and Hodgson's rule for the number of late jobs).
        """
        most_s = held_s * self.policy.make_way_factor
        shares = pool.queue.shares
        found = None
        for other in self.pools.values():
            if other.queue.shares is shares:
                entry = other.queue.longest_before(item, most_s, latest_s)
                if entry is not None:
                    found, most_s = (other, entry), entry.held_s
        if found is None:
            return False
        other, entry = found
        other.queue.remove(entry)
        wait_s = self._wait_s(pool, entry.item, entry.held_s, entry.latest_s)
        detail = "gave way to several shorter requests of its account"
        retry_s = self._retry_s(pool, entry.held_s, wait_s, now_s)
        self.given_up.append(Expired(entry.item, detail, retry_s))
        return True

    def _wait_s(
        self, pool: Pool, item: WorkItem, held_s: float, latest_s: float
    ) -> float:
        """Return how long work would wait.

        While there is a queue, each slot that this router's work holds serves
        one slot-second of the queue per second. It needs no measured rate,
        which would lag behind the very changes that matter.
        """
        shares = pool.queue.shares
        return shares.ahead_s(item, held_s, latest_s) / max(1, shares.running)

    def give_up_all(
        self, pool: Pool, retry_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Answer all queued work of a model that no target takes."""
        for entry in list(pool.queue.entries()):
            pool.queue.remove(entry)
            decided.append(Expired(entry.item, NOBODY_TAKES_WORK, retry_s))

    def give_up(
        self, pool: Pool, now_s: float, decided: list[Placement | Expired]
    ) -> None:
        """Answer work that can no longer end in time, now and not later."""
        while True:
            entry = pool.queue.expired(now_s)
            if entry is None:
                return
            pool.queue.remove(entry)
            wait_s = self._wait_s(pool, entry.item, entry.held_s, entry.latest_s)
            retry_s = self._retry_s(pool, entry.held_s, wait_s, now_s)
            detail = "it could no longer end before its deadline"
            decided.append(Expired(entry.item, detail, retry_s))
