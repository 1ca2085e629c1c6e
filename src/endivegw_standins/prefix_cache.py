"""Prefix cache of the stand-in engine, whose events are delayed or lost."""

from __future__ import annotations

import random
from collections import OrderedDict, deque

from attrs import define, field, frozen

__all__ = ["PrefixCache"]


@frozen
class _CacheEvent:
    sequence: int
    prefix: bytes
    evicted: bool
    at_s: float


@define
class PrefixCache:
    """LRU cache of prompt blocks.

    :param blocks: capacity in blocks.
    :param event_delay_s: delay with which events are published.
    :param event_loss: share of events that are never published.
    """

    blocks: int
    event_delay_s: float
    event_loss: float
    seed: int
    _entries: OrderedDict[bytes, None] = field(factory=OrderedDict, init=False)
    _events: deque[_CacheEvent] = field(factory=lambda: deque(maxlen=1000), init=False)
    _sequence: int = field(default=0, init=False)

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._entries

    def add(self, digest: bytes, now_s: float) -> None:
        """Add a block or mark it as used; evict the least recently used block."""
        if digest in self._entries:
            self._entries.move_to_end(digest)
            return
        self._entries[digest] = None
        self._publish(digest, now_s, evicted=False)
        if len(self._entries) > self.blocks:
            oldest, _ = self._entries.popitem(last=False)
            self._publish(oldest, now_s, evicted=True)

    def due_events(self, after: int, now_s: float) -> list[dict[str, object]]:
        """Return the published events with a sequence number above ``after``."""
        cutoff_s = now_s - self.event_delay_s
        return [
            {
                "sequence": event.sequence,
                "prefix": event.prefix.hex(),
                "evicted": event.evicted,
            }
            for event in self._events
            if event.sequence > after and event.at_s <= cutoff_s
        ]

    def _publish(self, digest: bytes, now_s: float, *, evicted: bool) -> None:
        self._sequence += 1
        chance = random.Random(f"{self.seed}/{self._sequence}").random()
        if chance >= self.event_loss:
            event = _CacheEvent(self._sequence, digest, evicted, now_s)
            self._events.append(event)
