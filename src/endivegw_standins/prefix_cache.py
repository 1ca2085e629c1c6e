"""The stand-in engine's prefix cache, with events that come late and get lost."""

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
    """Keep the blocks that were used last.

    :param blocks: how many it holds.
    :param event_delay_s: how late its events are published.
    :param event_loss: the share of events that never are.
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

    def remember(self, digest: bytes, now_s: float) -> None:
        """Keep a block; evict the one that was unused for longest."""
        if digest in self._entries:
            self._entries.move_to_end(digest)
            return
        self._entries[digest] = None
        self._publish(digest, now_s, evicted=False)
        if len(self._entries) > self.blocks:
            oldest, _ = self._entries.popitem(last=False)
            self._publish(oldest, now_s, evicted=True)

    def due_events(self, after: int, now_s: float) -> list[dict[str, object]]:
        """Return the events behind a number that are out by now."""
        edge_s = now_s - self.event_delay_s
        return [
            {
                "sequence": event.sequence,
                "prefix": event.prefix.hex(),
                "evicted": event.evicted,
            }
            for event in self._events
            if event.sequence > after and event.at_s <= edge_s
        ]

    def _publish(self, digest: bytes, now_s: float, *, evicted: bool) -> None:
        self._sequence += 1
        chance = random.Random(f"{self.seed}/{self._sequence}").random()
        if chance >= self.event_loss:
            event = _CacheEvent(self._sequence, digest, evicted, now_s)
            self._events.append(event)
