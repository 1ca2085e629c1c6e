"""One model's queue: by priority, then fair shares, then slack."""

from __future__ import annotations

import heapq

from attrs import define, field

from endivegw.decisions.shares import Shares
from endivegw.decisions.work import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = ["Entry", "FairQueue"]


#: Entries of one account that are compared to find its longest; it bounds the
#: cost of a refusal while an account has hundreds queued.
_LOOKED_AT = 64


@define(eq=False)
class Entry:
    """Hold one queued piece of work.

    :param held_s: how long it is expected to hold a slot.
    :param latest_s: when it must start to end in time rather surely.
    :param last_s: when it must start to have a chance to end in time.
    :param hopeful: whether the first has passed and the second has not.
    """

    item: WorkItem
    held_s: float
    latest_s: float
    last_s: float
    number: int
    gone: bool = False
    hopeful: bool = False


_Heap = list[tuple[float, int, Entry]]


def _prune(heap: _Heap) -> Entry | None:
    """Return the first entry that is still queued for its share."""
    while heap and (heap[0][2].gone or heap[0][2].hopeful):
        heapq.heappop(heap)
    return heap[0][2] if heap else None


@define(eq=False)
class _Class:
    """Hold the queued work of one priority.

    :param lines: each account's work, the least slack first.
    :param ready: accounts by the slack of their first work, or of work that
        was first before.
    :param parked: accounts ahead of their share, by a tag that is theirs or an
        older, lower one.
    """

    lines: dict[ClientAccountName, _Heap] = field(factory=dict)
    ready: list[tuple[float, ClientAccountName]] = field(factory=list)
    parked: list[tuple[float, ClientAccountName]] = field(factory=list)


@define(eq=False)
class FairQueue:
    """Queue the work of one model.

    Priorities are strict: urgent work waits for no other. Within a priority,
    client accounts are served in proportion to their weight, measured in time
    that their work holds a slot, so that an account that asks for ten times as
    much, or for ten times as long answers, leaves the others their share.
    Within an account the work with the least slack goes first.

    Work whose latest start has passed is served only after all other work,
    with slots that would else stay free: lengths of answers are only known
    roughly, and what may still end in time is not refused while nobody else
    needs the slot.

    Shares are kept within a tolerance: of all accounts that are not further
    ahead of their share than that, the work with the least slack goes first.
    In strict turns, short work with little slack is given up before its
    account's turn comes, and the turn then goes to long work that could have
    waited.

    :param tolerance_s: slot-seconds per weight.
    """

    shares: Shares
    tolerance_s: float
    _classes: dict[Priority, _Class] = field(
        factory=lambda: {priority: _Class() for priority in Priority}
    )
    _entries: dict[str, Entry] = field(factory=dict)
    _expiry: _Heap = field(factory=list)
    _hopeful: _Heap = field(factory=list)
    _numbers: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[Entry]:
        """Return all queued work, the oldest first."""
        return list(self._entries.values())

    def push(
        self, item: WorkItem, held_s: float, latest_s: float, last_s: float
    ) -> Entry:
        """Add work."""
        self._numbers += 1
        entry = Entry(item, held_s, latest_s, max(latest_s, last_s), self._numbers)
        self._entries[item.request_id] = entry
        self.shares.add(item, held_s, latest_s)
        cls = self._classes[item.priority]
        line = cls.lines.get(item.client_account)
        if line is None:
            line = cls.lines[item.client_account] = []
        heapq.heappush(line, (latest_s, entry.number, entry))
        if line[0][2] is entry:
            heapq.heappush(cls.ready, (latest_s, item.client_account))
        heapq.heappush(self._expiry, (latest_s, entry.number, entry))
        return entry

    def head(self) -> Entry | None:
        """Return what is to be served next."""
        for priority, cls in self._classes.items():
            entry = self._head(priority, cls)
            if entry is not None:
                return entry
        while self._hopeful and self._hopeful[0][2].gone:
            heapq.heappop(self._hopeful)
        return self._hopeful[0][2] if self._hopeful else None

    def _head(self, priority: Priority, cls: _Class) -> Entry | None:
        while cls.ready or cls.parked:
            self._unpark(priority, cls)
            latest_s, account = cls.ready[0]
            entry = _prune(cls.lines.get(account, []))
            if entry is None:
                heapq.heappop(cls.ready)
                cls.lines.pop(account, None)
            elif entry.latest_s > latest_s:
                heapq.heapreplace(cls.ready, (entry.latest_s, account))
            elif self.shares.ahead_of_share_s(priority, account) > self.tolerance_s:
                heapq.heappop(cls.ready)
                tag = self.shares.tag(priority, account)
                heapq.heappush(cls.parked, (tag, account))
            else:
                return entry
        return None

    def _unpark(self, priority: Priority, cls: _Class) -> None:
        """Make accounts ready again whose share has caught up."""
        while cls.parked:
            tag, account = cls.parked[0]
            entry = _prune(cls.lines.get(account, []))
            if entry is None:
                heapq.heappop(cls.parked)
                cls.lines.pop(account, None)
                continue
            present = self.shares.tag(priority, account)
            if present > tag:
                heapq.heapreplace(cls.parked, (present, account))
                continue
            if self.shares.ahead_of_share_s(priority, account) > self.tolerance_s:
                if cls.ready:
                    return
                self.shares.catch_up(priority, account)
            heapq.heappop(cls.parked)
            heapq.heappush(cls.ready, (entry.latest_s, account))

    def rank(self, entry: Entry) -> tuple[int, bool, float]:
        """Return the order of an entry beside those of other models."""
        item = entry.item
        if entry.hopeful:
            return (len(Priority), True, -entry.last_s)
        ahead_s = self.shares.ahead_of_share_s(item.priority, item.client_account)
        return (item.priority, ahead_s > self.tolerance_s, entry.latest_s)

    def take(self, entry: Entry) -> None:
        """Remove work that was placed, and charge its account's share."""
        if not entry.hopeful:
            self.shares.charge(entry.item, entry.held_s)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Remove work that is not served here."""
        if entry.gone:
            return
        entry.gone = True
        del self._entries[entry.item.request_id]
        if not entry.hopeful:
            self.shares.remove(entry.item, entry.held_s, entry.latest_s)

    def find(self, request_id: str) -> Entry | None:
        """Return queued work by its request."""
        return self._entries.get(request_id)

    def next_expiry_s(self) -> float | None:
        """Return when the next work changes its standing or is given up."""
        self._prune_expiry()
        return self._expiry[0][0] if self._expiry else None

    def _prune_expiry(self) -> None:
        while self._expiry and self._expiry[0][2].gone:
            heapq.heappop(self._expiry)

    def expired(self, now_s: float) -> Entry | None:
        """Return work that can no longer end in time, None where there is none.

        Work that may still end in time, but not surely, stays queued behind
        all other.
        """
        while True:
            self._prune_expiry()
            if not self._expiry or self._expiry[0][0] > now_s:
                return None
            entry = self._expiry[0][2]
            if entry.last_s <= now_s:
                return entry
            heapq.heappop(self._expiry)
            self.shares.remove(entry.item, entry.held_s, entry.latest_s)
            entry.hopeful = True
            heapq.heappush(self._hopeful, (-entry.last_s, entry.number, entry))
            heapq.heappush(self._expiry, (entry.last_s, entry.number, entry))

    def victim(self, item: WorkItem) -> Entry | None:
        """Return work to give up for ``item`` when the queue is full.

        The lowest priority gives way first, and there the account with the
        longest backlog for its weight; None where that is the new work's own.
        """
        for _, _, entry in self._hopeful:
            if not entry.gone:
                return entry
        for priority in sorted(self._classes, reverse=True):
            if priority < item.priority:
                return None
            lines = self._classes[priority].lines
            queued = [name for name, line in lines.items() if _prune(line)]
            if not queued:
                continue
            name = max(queued, key=lambda n: self.shares.backlog_s(priority, n))
            if priority == item.priority and name == item.client_account:
                return None
            queued_here = [e for e in lines[name] if not e[2].gone and not e[2].hopeful]
            return max(queued_here, key=lambda e: e[:2])[2]
        return None

    def longest_before(
        self, item: WorkItem, held_s: float, latest_s: float
    ) -> Entry | None:
        """Return the account's longest work that stands in the way of shorter.

        :param held_s: only work that holds a slot longer than this is returned.
        :param latest_s: only work with less slack than this is in the way.
        """
        line = self._classes[item.priority].lines.get(item.client_account, [])
        found: Entry | None = None
        for _, _, entry in line[:_LOOKED_AT]:
            if (
                entry.gone
                or entry.hopeful
                or entry.latest_s >= latest_s
                or entry.held_s <= held_s
            ):
                continue
            found = entry
            held_s = entry.held_s
        return found
