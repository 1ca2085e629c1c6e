"""Index of the prompt prefixes that each target is expected to have cached."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from endivegw.targets.ports import CacheChange
from endivegw.types import TargetName

__all__ = ["CachedPrefixes", "PrefixIndex"]

#: Maximum number of targets per prefix. A placement compares only a few, so more would
#: not be used.
_MAX_HOLDERS = 8

#: Number of targets looked up as sources of a copy. Some of them may be unhealthy, or
#: be the target that the prompt is placed on.
_MAX_SOURCES = 3

#: Entries younger than this are not renewed: blocks that all prompts share would
#: otherwise be renewed by each placement.
_RENEWAL_INTERVAL_S = 5.0

#: Factor on the expected tokens of entries from before a gap in the cache events.
_GAP_DISCOUNT = 0.5


@frozen
class _Holding:
    """Hold when a target was last known to have a prefix cached.

    :param known_s: time of the placement or cache event that showed it.
    :param read: whether the target has finished reading the prefix; other targets can
        copy it only after that.
    """

    known_s: float
    read: bool


@frozen
class CachedPrefixes:
    """Hold the expected cached tokens of one prompt by target.

    Targets with more cached tokens come first, and among equals the most recently seen.

    :param expected: includes targets that are still reading the prefix.
    :param read: only targets that have finished reading the prefix.
    """

    expected: dict[TargetName, int] = field(factory=dict)
    read: dict[TargetName, int] = field(factory=dict)


_NO_HOLDERS: dict[TargetName, _Holding] = {}

_NEVER_SEEN = _Holding(-math.inf, False)


@define
class PrefixIndex:
    """Track cached prefixes from local placements and from the targets' cache events.

    The index is a hint: a wrong entry costs one prompt read without the cache. Events
    may therefore be late or lost, are applied in any order, and nothing waits for them.

    :param entries: maximum number of prefixes; the least recently used are evicted.
    :param ttl_s: time after which an entry that was not confirmed is ignored.
    :param block_tokens: prompt tokens per digest.
    """

    entries: int
    ttl_s: float
    block_tokens: int
    _holders: OrderedDict[bytes, dict[TargetName, _Holding]] = field(
        factory=OrderedDict
    )
    _sequence: dict[TargetName, int] = field(factory=dict)
    _last_gap_s: dict[TargetName, float] = field(factory=dict)

    def record(
        self,
        target: TargetName,
        digests: Iterable[bytes],
        now_s: float,
        *,
        read: bool = False,
    ) -> list[bytes]:
        """Record that a target has read, or is about to read, these prefixes.

        :param read: whether the target has finished reading them, so that other targets
            can copy them.
        :returns: the digests whose entries changed.
        """
        updated = []
        for digest in digests:
            known = self._holders.get(digest, _NO_HOLDERS).get(target, _NEVER_SEEN)
            recent = known.known_s > now_s - _RENEWAL_INTERVAL_S
            if recent and known.read >= read:
                continue
            still_read = known.read and known.known_s > now_s - self.ttl_s
            self._add(digest, target, now_s, read or still_read)
            updated.append(digest)
        return updated

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
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]

    def apply_events(
        self,
        target: TargetName,
        sequence: int,
        changes: tuple[CacheChange, ...],
        at_s: float,
        now_s: float,
    ) -> None:
        """Apply the cache events of a load report.

        Lost events may have been evictions, so entries from before a gap count for less
        until an event or a placement renews them.

        :param sequence: number of the target's last event, whether or not the report
            contains it.
        :param at_s: time at which the report was made.
        """
        last = self._sequence.get(target, 0)
        recent = [change for change in changes if change.sequence > last]
        if max(sequence, last) - last > len(recent):
            self._last_gap_s[target] = at_s
        self._sequence[target] = max(sequence, last)
        for change in recent:
            if not change.evicted:
                self._add(change.prefix_digest, target, now_s, True)
                continue
            holders = self._holders.get(change.prefix_digest, _NO_HOLDERS)
            known = holders.get(target)
            # An eviction older than a local placement does not apply to the prefix that
            # this placement loaded again.
            if known is not None and known.known_s <= at_s:
                holders.pop(target)

    def remove_target(self, target: TargetName) -> None:
        """Remove a target that restarted with an empty cache."""
        self._sequence.pop(target, None)
        self._last_gap_s.pop(target, None)
        for holders in self._holders.values():
            holders.pop(target, None)

    def lookup(
        self,
        digests: tuple[bytes, ...],
        limit: int,
        now_s: float,
        covered_tokens: tuple[int, ...] = (),
    ) -> CachedPrefixes:
        """Return the targets that are expected to have the most of a prompt cached.

        :param limit: maximum number of expected targets.
        :param covered_tokens: tokens that each digest covers; empty if each digest
            covers one block more than the one before it.
        """
        found: dict[TargetName, int] = {}
        read: dict[TargetName, int] = {}
        oldest_s = now_s - self.ttl_s
        gaps = self._last_gap_s
        for index in range(len(digests) - 1, -1, -1):
            holders = self._holders.get(digests[index])
            if holders is None:
                continue
            tokens = (index + 1) * self.block_tokens
            if covered_tokens:
                tokens = covered_tokens[index]
            for target in reversed(holders):
                holding = holders[target]
                if holding.known_s < oldest_s:
                    continue
                before_gap = holding.known_s < gaps.get(target, 0.0)
                expected = int(tokens * _GAP_DISCOUNT) if before_gap else tokens
                if target not in found and len(found) < limit:
                    found[target] = expected
                if holding.read and target not in read:
                    read[target] = expected
            if len(found) >= limit and len(read) >= _MAX_SOURCES:
                break
        return CachedPrefixes(found, read)
