"""One model's queue: by priority, then fair shares, then slack."""

from __future__ import annotations

import heapq

from attrs import define, field

from endivegw.decisions.work import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = ["Entry", "FairQueue"]


@define(eq=False)
class Entry:
    """Hold one queued piece of work.

    :param held_s: how long it is expected to hold a slot.
    :param latest_s: when it must start to end in time.
    """

    item: WorkItem
    held_s: float
    latest_s: float
    number: int
    gone: bool = False


@define(eq=False)
class _Line:
    """Hold the queued work of one client account in one priority.

    :param tag: its virtual time: slot-seconds served, divided by its weight.
    """

    weight: float
    tag: float = 0.0
    backlog_s: float = 0.0
    count: int = 0
    heap: list[tuple[float, int, Entry]] = field(factory=list)

    def head(self) -> Entry | None:
        """Return the entry with the least slack."""
        while self.heap and self.heap[0][2].gone:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@define(eq=False)
class _Class:
    """Hold the queued work of one priority, as start-time fair queueing."""

    virtual: float = 0.0
    backlog_s: float = 0.0
    active_weight: float = 0.0
    lines: dict[ClientAccountName, _Line] = field(factory=dict)
    order: list[tuple[float, ClientAccountName]] = field(factory=list)


@define(eq=False)
class FairQueue:
    """Queue the work of one model.

    Priorities are strict: urgent work waits for no other. Within a priority,
    client accounts are served in proportion to their weight, measured in time
    that their work holds a slot, so that an account that asks for ten times as
    much, or for ten times as long answers, leaves the others their share.
    Within an account the work with the least slack goes first.

    :param bound: most pieces of work held.
    """

    bound: int
    _classes: dict[Priority, _Class] = field(
        factory=lambda: {priority: _Class() for priority in Priority}
    )
    _entries: dict[str, Entry] = field(factory=dict)
    _expiry: list[tuple[float, int, Entry]] = field(factory=list)
    _numbers: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def backlog_s(self) -> float:
        """Return the slot-seconds that are queued."""
        return sum(cls.backlog_s for cls in self._classes.values())

    def ahead_s(self, item: WorkItem, held_s: float) -> float:
        """Return the slot-seconds that are served before new work."""
        before_s = 0.0
        for priority, cls in self._classes.items():
            if priority < item.priority:
                before_s += cls.backlog_s
        cls = self._classes[item.priority]
        line = cls.lines.get(item.client_account)
        own_s = line.backlog_s if line is not None else 0.0
        active = cls.active_weight
        if line is None or line.count == 0:
            active += item.weight
        shared_s = (own_s + held_s) * active / item.weight - held_s
        return before_s + min(cls.backlog_s, shared_s)

    def push(self, item: WorkItem, held_s: float, latest_s: float) -> Entry:
        """Add work."""
        self._numbers += 1
        entry = Entry(item, held_s, latest_s, self._numbers)
        self._entries[item.request_id] = entry
        cls = self._classes[item.priority]
        line = cls.lines.get(item.client_account)
        if line is None:
            line = cls.lines[item.client_account] = _Line(item.weight)
        if line.count == 0:
            line.weight = item.weight
            cls.active_weight += line.weight
            # An account that was away does not save up service for later.
            line.tag = max(line.tag, cls.virtual)
            heapq.heappush(cls.order, (line.tag, item.client_account))
        line.count += 1
        line.backlog_s += held_s
        cls.backlog_s += held_s
        heapq.heappush(line.heap, (latest_s, entry.number, entry))
        heapq.heappush(self._expiry, (latest_s, entry.number, entry))
        return entry

    def head(self) -> Entry | None:
        """Return what is to be served next."""
        for cls in self._classes.values():
            while cls.order:
                tag, account = cls.order[0]
                line = cls.lines.get(account)
                entry = line.head() if line is not None else None
                if line is not None and entry is not None and tag == line.tag:
                    return entry
                heapq.heappop(cls.order)
        return None

    def take(self, entry: Entry) -> None:
        """Remove work that was placed, and charge its account's share."""
        item = entry.item
        cls = self._classes[item.priority]
        line = cls.lines[item.client_account]
        cls.virtual = max(cls.virtual, line.tag)
        line.tag += entry.held_s / line.weight
        self.remove(entry)
        if line.count:
            heapq.heappush(cls.order, (line.tag, item.client_account))

    def remove(self, entry: Entry) -> None:
        """Remove work that is not served here."""
        if entry.gone:
            return
        entry.gone = True
        item = entry.item
        del self._entries[item.request_id]
        cls = self._classes[item.priority]
        line = cls.lines[item.client_account]
        line.count -= 1
        line.backlog_s -= entry.held_s
        cls.backlog_s -= entry.held_s
        if line.count == 0:
            line.backlog_s = 0.0
            line.heap.clear()
            cls.active_weight -= line.weight
            if line.tag <= cls.virtual:
                # Without work and without debt it is like an unknown account.
                del cls.lines[item.client_account]

    def find(self, request_id: str) -> Entry | None:
        """Return queued work by its request."""
        return self._entries.get(request_id)

    def expired(self, now_s: float) -> Entry | None:
        """Return work that can no longer end in time, None where there is none."""
        while self._expiry and self._expiry[0][2].gone:
            heapq.heappop(self._expiry)
        if self._expiry and self._expiry[0][0] <= now_s:
            return self._expiry[0][2]
        return None

    def next_expiry_s(self) -> float | None:
        """Return when the next work is to be given up."""
        self.expired(float("-inf"))
        return self._expiry[0][0] if self._expiry else None

    def victim(self, item: WorkItem) -> Entry | None:
        """Return work to give up for ``item`` when the queue is full.

        The lowest priority gives way first, and there the account with the
        longest backlog for its weight; None where that is the new work's own.
        """
        for priority in sorted(self._classes, reverse=True):
            if priority < item.priority:
                return None
            cls = self._classes[priority]
            lines = [
                (line.backlog_s / line.weight, name)
                for name, line in cls.lines.items()
                if line.count
            ]
            if not lines:
                continue
            _, name = max(lines)
            if priority == item.priority and name == item.client_account:
                return None
            heap = cls.lines[name].heap
            return max((e for e in heap if not e[2].gone), key=lambda e: e[:2])[2]
        return None
