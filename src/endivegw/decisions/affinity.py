"""Which targets are expected to hold which prompt prefixes in their cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import Iterable

from attrs import define, field

from endivegw.targets.ports import CacheChange
from endivegw.types import TargetName

__all__ = ["PrefixIndex"]

#: Targets remembered per prefix; more would only be compared for nothing.
_HOLDERS = 8

#: An entry younger than this is not renewed: blocks that all prompts share
#: would be renewed with each placement.
_FRESH_S = 5.0

#: What a prefix learnt before lost cache events is still worth.
_DOUBT = 0.5


@define
class PrefixIndex:
    """Learn from own placements and from cache events that come late and with gaps.

    The index is a hint: a wrong entry costs one prompt read without cache, so
    events in any order are taken as they come and nothing waits for them.

    :param entries: bound of the index, least recently used go first.
    :param ttl_s: how long an entry is believed without news.
    :param block_tokens: prompt tokens per digest.
    """

    entries: int
    ttl_s: float
    block_tokens: int
    _holders: OrderedDict[bytes, dict[TargetName, float]] = field(factory=OrderedDict)
    _sequence: dict[TargetName, int] = field(factory=dict)
    _doubt_before_s: dict[TargetName, float] = field(factory=dict)

    def learn(self, target: TargetName, digests: Iterable[bytes], now_s: float) -> None:
        """Note that a target has read, or is about to read, these prefixes."""
        fresh_s = now_s - _FRESH_S
        for digest in digests:
            holders = self._holders.get(digest)
            if holders is None or holders.get(target, 0.0) <= fresh_s:
                self._add(digest, target, now_s)

    def _add(self, digest: bytes, target: TargetName, now_s: float) -> None:
        holders = self._holders.get(digest)
        if holders is None:
            holders = self._holders[digest] = {}
            if len(self._holders) > self.entries:
                self._holders.popitem(last=False)
        else:
            self._holders.move_to_end(digest)
            holders.pop(target, None)
        holders[target] = now_s
        if len(holders) > _HOLDERS:
            del holders[next(iter(holders))]

    def events(
        self,
        target: TargetName,
        sequence: int,
        changes: tuple[CacheChange, ...],
        at_s: float,
        now_s: float,
    ) -> None:
        """Take in a report's cache events.

        Lost events may have been evictions. What was learnt before a gap is
        worth less from then on, until an event or a placement renews it.

        :param sequence: the target's last event, in the report or not.
        :param at_s: when the report was made.
        """
        last = self._sequence.get(target, 0)
        fresh = [change for change in changes if change.sequence > last]
        if max(sequence, last) - last > len(fresh):
            self._doubt_before_s[target] = at_s
        self._sequence[target] = max(sequence, last)
        for change in fresh:
            if not change.evicted:
                self._add(change.prefix_digest, target, now_s)
                continue
            holders = self._holders.get(change.prefix_digest)
            # An eviction from before a placement of our own says nothing about
            # the prefix that this placement brought back.
            if holders is not None and holders.get(target, now_s) <= at_s:
                holders.pop(target, None)

    def forget(self, target: TargetName) -> None:
        """Drop what was known of a target that restarted."""
        self._sequence.pop(target, None)
        self._doubt_before_s.pop(target, None)
        for holders in self._holders.values():
            holders.pop(target, None)

    def lookup(
        self, digests: tuple[bytes, ...], limit: int, now_s: float
    ) -> dict[TargetName, int]:
        """Return the targets that should have most of a prompt cached.

        :param limit: how many targets are looked for.
        :returns: expected cached prompt tokens by target, the most first and
            there the most recent.
        """
        found: dict[TargetName, int] = {}
        eldest_s = now_s - self.ttl_s
        doubts = self._doubt_before_s
        for blocks in range(len(digests), 0, -1):
            holders = self._holders.get(digests[blocks - 1])
            if holders is None:
                continue
            tokens = blocks * self.block_tokens
            for target in reversed(holders):
                if target in found or holders[target] < eldest_s:
                    continue
                doubtful = holders[target] < doubts.get(target, 0.0)
                found[target] = int(tokens * _DOUBT) if doubtful else tokens
                if len(found) >= limit:
                    return found
        return found
