"""Count at how many ends of targets each request was in progress. Pure state."""

from __future__ import annotations

from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from endivegw.quarantine.evidence import RequestRecord
from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.quarantine.lost_sends import TargetStart

__all__ = ["Ledger", "QuarantinePolicy"]


@frozen
class QuarantinePolicy:
    """Hold from when on a request is kept from targets, and for how long.

    :param suspect_ends: ends of targets from which on one attempt of the request is
        not sent to a second target.
    :param ends: ends from which on it is sent to none, unless other requests explain
        them or some target ran it to its end before.
    :param certain_ends: ends from which on it is sent to none however many others were
        there. One attempt of a caller and its retry reach fewer targets than this.
    :param cool_s: how long after its last end a request is kept back that some target
        ran to its end before.
    :param keep_s: how long a request is remembered after it came last.
    :param most_requests: requests that are remembered.
    :param most_ends: ends that are remembered of one request.
    """

    suspect_ends: int = 2
    ends: int = 3
    certain_ends: int = 6
    cool_s: float = 60.0
    keep_s: float = 600.0
    most_requests: int = 4096
    most_ends: int = 16


@define
class _Record:
    seen_s: float
    ends: set[TargetStart] = field(factory=set)
    void: set[TargetStart] = field(factory=set)
    was_answered: bool = False
    ended_s: float = 0.0

    @property
    def counted(self) -> set[TargetStart]:
        """Return the ends that speak against the request."""
        return self.ends - self.void


@define
class Ledger:
    """Tell a request that ends targets from those that were beside it.

    A target takes all with it that it runs. What was beside the cause is sent again,
    and may be beside it once more. The cause is there each time, so that no other
    request has more ends than it has: where two have the same ones, both go on until
    one of them ends a target alone. What a target runs to its end is hardly the cause:
    what was held against it is void, and more is needed from then on.
    """

    policy: QuarantinePolicy = field(factory=QuarantinePolicy)
    _records: OrderedDict[Fingerprint, _Record] = field(factory=OrderedDict)
    _present: dict[TargetStart, set[Fingerprint]] = field(factory=dict)

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._records)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is remembered."""
        return fingerprint in self._records

    def join(self, record: RequestRecord, now_s: float) -> bool:
        """Take in what is known of a request; return whether any of it is new."""
        known = self._records.get(record.fingerprint)
        if known is None:
            known = self._records[record.fingerprint] = _Record(now_s)
        known.seen_s = now_s
        self._records.move_to_end(record.fingerprint)
        new = record.ends - known.ends
        if len(known.ends) + len(new) > self.policy.most_ends:
            self._drop_void(record.fingerprint, known)
        new = frozenset(list(new)[: self.policy.most_ends - len(known.ends)])
        newly_void = record.void - known.void
        known.ends.update(new)
        known.void.update(newly_void)
        newly_answered = record.was_answered and not known.was_answered
        known.was_answered |= record.was_answered
        if new:
            known.ended_s = now_s
        for start in new:
            self._present.setdefault(start, set()).add(record.fingerprint)
        if len(self._records) > self.policy.most_requests:
            self._drop(next(iter(self._records)))
        return bool(new or newly_void or newly_answered)

    def see(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Note that a known request came."""
        self._records[fingerprint].seen_s = now_s
        self._records.move_to_end(fingerprint)

    def age_s(self, fingerprint: Fingerprint, now_s: float) -> float:
        """Return how long ago a known request was noted last."""
        return now_s - self._records[fingerprint].seen_s

    def void(
        self, fingerprint: Fingerprint, now_s: float, *, answered: bool = False
    ) -> None:
        """Let nothing that is known so far count against a request."""
        ends = self.record(fingerprint).ends
        self.join(RequestRecord(fingerprint, ends, ends, answered), now_s)

    def expire(self, now_s: float) -> list[Fingerprint]:
        """Forget requests that came last long ago; return them."""
        found = []
        for fingerprint, record in self._records.items():
            if now_s - record.seen_s < self.policy.keep_s:
                break
            found.append(fingerprint)
        for fingerprint in found:
            self._drop(fingerprint)
        return found

    def record(self, fingerprint: Fingerprint) -> RequestRecord:
        """Return all that is known of a request."""
        known = self._records.get(fingerprint)
        if known is None:
            return RequestRecord(fingerprint, frozenset())
        return RequestRecord(
            fingerprint,
            frozenset(known.ends),
            frozenset(known.void),
            known.was_answered,
        )

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether one attempt of a request is not worth a second target."""
        record = self._records.get(fingerprint)
        if record is None or record.was_answered:
            return False
        return len(record.counted) >= self.policy.suspect_ends

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a request is kept from all targets."""
        policy = self.policy
        counted = self._counted(fingerprint)
        if len(counted) < policy.ends:
            return False
        record = self._records[fingerprint]
        if not record.was_answered:
            return self._ends_targets(fingerprint)
        if now_s - record.ended_s >= policy.cool_s:
            return False
        for name in self._beside(fingerprint, counted):
            if not self._records[name].was_answered and self._ends_targets(name):
                counted = counted - self._counted(name)
        return len(counted) >= policy.certain_ends

    def quarantined(self, now_s: float) -> list[Fingerprint]:
        """Return all requests that are kept from targets."""
        return [name for name in self._records if self.is_quarantined(name, now_s)]

    def _ends_targets(self, fingerprint: Fingerprint) -> bool:
        """Return whether ends suffice against a request that no target answered."""
        counted = self._counted(fingerprint)
        if len(counted) >= self.policy.certain_ends:
            return True
        if len(counted) < self.policy.ends:
            return False
        left = set(counted)
        for name in self._beside(fingerprint, counted):
            if self._records[name].was_answered:
                continue
            others = self._counted(name)
            if len(others) > len(counted) or others >= counted:
                left -= others
        return len(left) >= self.policy.ends

    def _beside(
        self, fingerprint: Fingerprint, starts: set[TargetStart]
    ) -> set[Fingerprint]:
        """Return the other requests that were at any of these ends."""
        found = {name for start in starts for name in self._present.get(start, ())}
        return found - {fingerprint}

    def _counted(self, fingerprint: Fingerprint) -> set[TargetStart]:
        record = self._records.get(fingerprint)
        return record.counted if record is not None else set()

    def _drop_void(self, fingerprint: Fingerprint, record: _Record) -> None:
        """Make room: a popular request that targets answer has many void ends."""
        self._leave(fingerprint, record.void)
        record.ends -= record.void
        record.void.clear()

    def _drop(self, fingerprint: Fingerprint) -> None:
        self._leave(fingerprint, self._records.pop(fingerprint).ends)

    def _leave(self, fingerprint: Fingerprint, starts: Iterable[TargetStart]) -> None:
        for start in starts:
            present = self._present.get(start, set())
            present.discard(fingerprint)
            if not present:
                self._present.pop(start, None)
