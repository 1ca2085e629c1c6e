"""Which targets are expected to hold which prompt prefixes in their cache."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from endivegw.targets.ports import CacheChange
from endivegw.types import TargetName

__all__ = ["CachedPrefixes", "PrefixIndex"]

#: Targets remembered per prefix; more would only be compared for nothing.
_HOLDERS = 8

#: Targets that have read a prefix and are looked up as sources of a copy. Some of
#: them may be unwell or be the one that the prompt goes to.
_SOURCES = 3

#: An entry younger than this is not renewed: blocks that all prompts share
#: would be renewed with each placement.
_FRESH_S = 5.0

#: What a prefix learnt before lost cache events is still worth.
_DOUBT = 0.5


@frozen
class _Holding:
    """Hold since when a target is believed to have a prefix cached.

    :param read: whether it had read it by then; until then others cannot copy it.
    """

    known_s: float
    read: bool


@frozen
class CachedPrefixes:
    """Hold expected cached tokens of one prompt, the most first and most recent.

    :param expected: by target, also where the prefix is still being read.
    :param read: by target that has read them.
    """

    expected: dict[TargetName, int] = field(factory=dict)
    read: dict[TargetName, int] = field(factory=dict)


_NOBODY: dict[TargetName, _Holding] = {}

_UNKNOWN = _Holding(-math.inf, False)


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
    _holders: OrderedDict[bytes, dict[TargetName, _Holding]] = field(
        factory=OrderedDict
    )
    _sequence: dict[TargetName, int] = field(factory=dict)
    _doubt_before_s: dict[TargetName, float] = field(factory=dict)

    def learn(
        self,
        target: TargetName,
        digests: Iterable[bytes],
        now_s: float,
        *,
        read: bool = False,
    ) -> list[bytes]:
        """Note that a target has read, or is about to read, these prefixes.

        :param read: whether it has read them, so that others may copy them.
        :returns: those that are news.
        """
        news = []
        for digest in digests:
            known = self._holders.get(digest, _NOBODY).get(target, _UNKNOWN)
            fresh = known.known_s > now_s - _FRESH_S
            if fresh and known.read >= read:
                continue
            kept = known.read and known.known_s > now_s - self.ttl_s
            self._add(digest, target, now_s, read or kept)
            news.append(digest)
        return news

    def _add(self, digest: bytes, target: TargetName, now_s: float, read: bool) -> None:
        holders = self._holders.get(digest)
        if holders is None:
            holders = self._holders[digest] = {}
            if len(self._holders) > self.entries:
                self._holders.popitem(last=False)
        else:
            self._holders.move_to_end(digest)
            holders.pop(target, None)
        holders[target] = _Holding(now_s, read)
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
                self._add(change.prefix_digest, target, now_s, True)
                continue
            holders = self._holders.get(change.prefix_digest, _NOBODY)
            known = holders.get(target)
            # An eviction from before a placement of our own says nothing about
            # the prefix that this placement brought back.
            if known is not None and known.known_s <= at_s:
                holders.pop(target)

    def forget(self, target: TargetName) -> None:
        """Drop what was known of a target that restarted."""
        self._sequence.pop(target, None)
        self._doubt_before_s.pop(target, None)
        for holders in self._holders.values():
            holders.pop(target, None)

    def lookup(
        self,
        digests: tuple[bytes, ...],
        limit: int,
        now_s: float,
        covered_tokens: tuple[int, ...] = (),
    ) -> CachedPrefixes:
        """Return the targets that should have most of a prompt cached.

        :param limit: how many targets are looked for.
        :param covered_tokens: what each digest covers; empty where each covers a
            block more than the one before it.
        """
        found: dict[TargetName, int] = {}
        read: dict[TargetName, int] = {}
        eldest_s = now_s - self.ttl_s
        doubts = self._doubt_before_s
        for number in range(len(digests) - 1, -1, -1):
            holders = self._holders.get(digests[number])
            if holders is None:
                continue
            tokens = (number + 1) * self.block_tokens
            if covered_tokens:
                tokens = covered_tokens[number]
            for target in reversed(holders):
                holding = holders[target]
                if holding.known_s < eldest_s:
                    continue
                doubtful = holding.known_s < doubts.get(target, 0.0)
                expected = int(tokens * _DOUBT) if doubtful else tokens
                if target not in found and len(found) < limit:
                    found[target] = expected
                if holding.read and target not in read:
                    read[target] = expected
            if len(found) >= limit and len(read) >= _SOURCES:
                break
        return CachedPrefixes(found, read)
