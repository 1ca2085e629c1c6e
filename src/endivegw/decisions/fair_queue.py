"""Queue of one model, ordered by priority, fair share and slack."""

from __future__ import annotations

import heapq

from attrs import define, field

from endivegw.decisions.shares import Shares
from endivegw.decisions.work import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = ["Entry", "FairQueue"]


#: Maximum number of an account's entries compared to find the longest. It bounds the
#: cost of a refusal while an account has hundreds of requests queued.
_MAX_COMPARED = 64


@define(eq=False)
class Entry:
    """Hold one queued request.

    :param service_time_s: how long the request is expected to hold a slot.
    :param latest_start_s: latest start with which the request is likely to meet its
        deadline.
    :param last_chance_s: latest start with which the request can still meet its
        deadline.
    :param number: increasing number that breaks ties in the heaps.
    :param removed: whether the request has left the queue; heaps drop such entries
        later.
    :param best_effort: whether ``latest_start_s`` has passed; the request is then
        served only when no other request needs the slot.
    """

    item: WorkItem
    service_time_s: float
    latest_start_s: float
    last_chance_s: float
    number: int
    removed: bool = False
    best_effort: bool = False


_Heap = list[tuple[float, int, Entry]]


def _first_queued(heap: _Heap) -> Entry | None:
    """Return the first entry that is still queued within its account's share."""
    while heap and (heap[0][2].removed or heap[0][2].best_effort):
        heapq.heappop(heap)
    return heap[0][2] if heap else None


@define(eq=False)
class _PriorityClass:
    """Hold the queued requests of one priority.

    :param queues: requests by account, the least slack first.
    :param eligible: accounts by the slack of their first request; the slack may be that
        of an earlier first request.
    :param over_share: accounts ahead of their share by virtual time; the virtual time
        may be an earlier, lower one.
    """

    queues: dict[ClientAccountName, _Heap] = field(factory=dict)
    eligible: list[tuple[float, ClientAccountName]] = field(factory=list)
    over_share: list[tuple[float, ClientAccountName]] = field(factory=list)


@define(eq=False)
class FairQueue:
    """Queue the requests of one model.

    Priorities are strict: an urgent request waits for no request of another priority.
    Within a priority, client accounts are served in proportion to their weight,
    measured in the time for which their requests hold a slot. An account that sends ten
    times as many requests, or requests with ten times as long answers, thus leaves the
    others their share. Within an account, the request with the least slack is served
    first.

    A request whose latest start has passed is served after all others, with slots that
    would otherwise stay free. The lengths of answers are known only roughly, so a
    request that may still finish in time is not refused while nobody else needs the
    slot.

    Shares are enforced with a tolerance: among the accounts that are ahead of their
    share by no more than the tolerance, the request with the least slack is served
    first. With strict turns, a short request with little slack would expire before its
    account's turn, and the turn would then go to a long request that could have waited.

    :param tolerance_s: slot-seconds per unit of weight.
    """

    shares: Shares
    tolerance_s: float
    _classes: dict[Priority, _PriorityClass] = field(
        factory=lambda: {priority: _PriorityClass() for priority in Priority}
    )
    _entries: dict[str, Entry] = field(factory=dict)
    _expiry: _Heap = field(factory=list)
    _best_effort: _Heap = field(factory=list)
    _numbers: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[Entry]:
        """Return all queued entries, the oldest first."""
        return list(self._entries.values())

    def push(
        self,
        item: WorkItem,
        service_time_s: float,
        latest_start_s: float,
        last_chance_s: float,
    ) -> Entry:
        """Add a request."""
        self._numbers += 1
        entry = Entry(
            item,
            service_time_s,
            latest_start_s,
            max(latest_start_s, last_chance_s),
            self._numbers,
        )
        self._entries[item.request_id] = entry
        self.shares.add(item, service_time_s, latest_start_s)
        priority_class = self._classes[item.priority]
        queue = priority_class.queues.get(item.client_account)
        if queue is None:
            queue = priority_class.queues[item.client_account] = []
        heapq.heappush(queue, (latest_start_s, entry.number, entry))
        if queue[0][2] is entry:
            heapq.heappush(
                priority_class.eligible, (latest_start_s, item.client_account)
            )
        heapq.heappush(self._expiry, (latest_start_s, entry.number, entry))
        return entry

    def head(self) -> Entry | None:
        """Return the entry to serve next."""
        for priority, priority_class in self._classes.items():
            entry = self._head(priority, priority_class)
            if entry is not None:
                return entry
        while self._best_effort and self._best_effort[0][2].removed:
            heapq.heappop(self._best_effort)
        return self._best_effort[0][2] if self._best_effort else None

    def _head(self, priority: Priority, priority_class: _PriorityClass) -> Entry | None:
        while priority_class.eligible or priority_class.over_share:
            self._restore_accounts(priority, priority_class)
            latest_start_s, account = priority_class.eligible[0]
            entry = _first_queued(priority_class.queues.get(account, []))
            if entry is None:
                heapq.heappop(priority_class.eligible)
                priority_class.queues.pop(account, None)
            elif entry.latest_start_s > latest_start_s:
                heapq.heapreplace(
                    priority_class.eligible, (entry.latest_start_s, account)
                )
            elif self.shares.ahead_of_share_s(priority, account) > self.tolerance_s:
                heapq.heappop(priority_class.eligible)
                virtual_time = self.shares.virtual_time(priority, account)
                heapq.heappush(priority_class.over_share, (virtual_time, account))
            else:
                return entry
        return None

    def _restore_accounts(
        self, priority: Priority, priority_class: _PriorityClass
    ) -> None:
        """Make accounts eligible again that are no longer too far ahead."""
        while priority_class.over_share:
            virtual_time, account = priority_class.over_share[0]
            entry = _first_queued(priority_class.queues.get(account, []))
            if entry is None:
                heapq.heappop(priority_class.over_share)
                priority_class.queues.pop(account, None)
                continue
            present = self.shares.virtual_time(priority, account)
            if present > virtual_time:
                heapq.heapreplace(priority_class.over_share, (present, account))
                continue
            if self.shares.ahead_of_share_s(priority, account) > self.tolerance_s:
                if priority_class.eligible:
                    return
                self.shares.catch_up(priority, account)
            heapq.heappop(priority_class.over_share)
            heapq.heappush(priority_class.eligible, (entry.latest_start_s, account))

    def rank(self, entry: Entry) -> tuple[int, bool, float]:
        """Return a sort key for an entry among those of other models."""
        item = entry.item
        if entry.best_effort:
            return (len(Priority), True, -entry.last_chance_s)
        excess_s = self.shares.ahead_of_share_s(item.priority, item.client_account)
        return (item.priority, excess_s > self.tolerance_s, entry.latest_start_s)

    def pop(self, entry: Entry) -> None:
        """Remove a request that was placed and charge its account's share."""
        if not entry.best_effort:
            self.shares.charge(entry.item, entry.service_time_s)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Remove a request without charging its account's share."""
        if entry.removed:
            return
        entry.removed = True
        del self._entries[entry.item.request_id]
        if not entry.best_effort:
            self.shares.remove(entry.item, entry.service_time_s, entry.latest_start_s)

    def find(self, request_id: str) -> Entry | None:
        """Return the entry of a queued request."""
        return self._entries.get(request_id)

    def next_expiry_s(self) -> float | None:
        """Return when the next entry becomes best-effort or expires."""
        self._prune_expiry()
        return self._expiry[0][0] if self._expiry else None

    def _prune_expiry(self) -> None:
        while self._expiry and self._expiry[0][2].removed:
            heapq.heappop(self._expiry)

    def expired(self, now_s: float) -> Entry | None:
        """Return an entry that can no longer meet its deadline, or None.

        Entries that may still meet it, though not likely, become best-effort and stay
        queued.
        """
        while True:
            self._prune_expiry()
            if not self._expiry or self._expiry[0][0] > now_s:
                return None
            entry = self._expiry[0][2]
            if entry.last_chance_s <= now_s:
                return entry
            heapq.heappop(self._expiry)
            self.shares.remove(entry.item, entry.service_time_s, entry.latest_start_s)
            entry.best_effort = True
            heapq.heappush(
                self._best_effort, (-entry.last_chance_s, entry.number, entry)
            )
            heapq.heappush(self._expiry, (entry.last_chance_s, entry.number, entry))

    def eviction_candidate(self, item: WorkItem) -> Entry | None:
        """Return the entry to evict for ``item`` when the queue is full.

        Best-effort entries are evicted first, then those of the lowest priority, and
        there those of the account with the longest backlog for its weight.

        :returns: None if ``item`` itself would be the one to evict.
        """
        for _, _, entry in self._best_effort:
            if not entry.removed:
                return entry
        for priority in sorted(self._classes, reverse=True):
            if priority < item.priority:
                return None
            queues = self._classes[priority].queues
            queued = [name for name, queue in queues.items() if _first_queued(queue)]
            if not queued:
                continue
            name = max(queued, key=lambda n: self.shares.backlog_s(priority, n))
            if priority == item.priority and name == item.client_account:
                return None
            queued_here = [
                e for e in queues[name] if not e[2].removed and not e[2].best_effort
            ]
            return max(queued_here, key=lambda e: e[:2])[2]
        return None

    def longest_before(
        self, item: WorkItem, service_time_s: float, latest_start_s: float
    ) -> Entry | None:
        """Return the account's longest request that delays a shorter one.

        :param service_time_s: only requests that hold a slot for longer than this are
            returned.
        :param latest_start_s: only requests with less slack than this cause a delay.
        """
        queue = self._classes[item.priority].queues.get(item.client_account, [])
        found: Entry | None = None
        for _, _, entry in queue[:_MAX_COMPARED]:
            if (
                entry.removed
                or entry.best_effort
                or entry.latest_start_s >= latest_start_s
                or entry.service_time_s <= service_time_s
            ):
                continue
            found = entry
            service_time_s = entry.service_time_s
        return found
