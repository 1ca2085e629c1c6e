"""Count the target terminations during each request and beside each prompt part.

The module does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from endivegw.quarantine.evidence import RequestRecord
from endivegw.quarantine.fingerprint import Fingerprint, is_part
from endivegw.quarantine.lost_sends import TargetStart

__all__ = ["Ledger", "QuarantinePolicy"]


@frozen
class QuarantinePolicy:
    """Thresholds and durations of the quarantine of requests.

    :param suspect_terminations: number of target terminations from which one attempt of
        the request is not sent to a second target.
    :param quarantine_terminations: number of terminations from which the request is
        sent to no target, unless other requests explain the terminations or some target
        has completed the request before.
    :param certain_terminations: number of terminations from which the request is sent
        to no target regardless of other requests in progress. One attempt of a caller
        and its retry reach fewer targets than this.
    :param cooldown_s: seconds after its last termination during which a request stays
        in quarantine although some target has completed it before.
    :param retention_s: seconds for which a request is remembered after it last arrived.
    :param trial_terminations: number of terminations from which a prompt part is not
        tried again if they are spread over time.
    :param trial_after_s: seconds without a termination after which a quarantined part
        is tried once.
    :param spread_s: seconds between the first and the last termination from which on a
        common cause, such as the loss of a zone, is unlikely. When many targets
        terminate at once, all parts in use are beside many terminations.
    :param max_requests: number of requests and parts remembered.
    :param max_terminations: number of terminations remembered for one request.
    """

    suspect_terminations: int = 2
    quarantine_terminations: int = 3
    certain_terminations: int = 6
    cooldown_s: float = 60.0
    retention_s: float = 600.0
    trial_terminations: int = 4
    trial_after_s: float = 10.0
    spread_s: float = 2.0
    max_requests: int = 4096
    max_terminations: int = 16


@define
class _Record:
    last_seen_s: float
    terminations: set[TargetStart] = field(factory=set)
    invalidated: set[TargetStart] = field(factory=set)
    was_answered: bool = False
    first_termination_s: float = 0.0
    last_termination_s: float = 0.0

    @property
    def counted(self) -> set[TargetStart]:
        """Return the terminations that count against the request."""
        return self.terminations - self.invalidated

    @property
    def spread_s(self) -> float:
        """Return the time between the first and the last of these."""
        return self.last_termination_s - self.first_termination_s


@define
class Ledger:
    """Distinguish requests that terminate targets from requests that ran beside them.

    A terminating target loses all requests that it runs. The requests beside the cause
    are sent again and may run beside it again. The cause is present each time, so no
    other request has more terminations than the cause. If two requests have the same
    terminations, both continue until one of them terminates a target alone. A request
    that a target has completed is unlikely to be the cause: its terminations are
    invalidated, and a higher threshold applies from then on.

    The same holds for the parts of prompts, which a target has answered as soon as it
    has begun to write on them. Parts are judged as parts of one request: those that the
    request itself has do not explain each other.
    """

    policy: QuarantinePolicy = field(factory=QuarantinePolicy)
    _records: OrderedDict[Fingerprint, _Record] = field(factory=OrderedDict)
    _in_progress: dict[TargetStart, set[Fingerprint]] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._records)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is remembered."""
        return fingerprint in self._records

    def merge(self, record: RequestRecord, now_s: float) -> bool:
        """Merge a record of a request; return whether any of it is new."""
        known = self._records.get(record.fingerprint)
        if known is None:
            known = self._records[record.fingerprint] = _Record(now_s)
        known.last_seen_s = now_s
        self._records.move_to_end(record.fingerprint)
        new = record.terminations - known.terminations
        if len(known.terminations) + len(new) > self.policy.max_terminations:
            self._drop_invalidated(record.fingerprint, known)
        new = frozenset(
            list(new)[: self.policy.max_terminations - len(known.terminations)]
        )
        newly_invalidated = record.invalidated - known.invalidated
        was_clear = not known.counted
        known.terminations.update(new)
        known.invalidated.update(newly_invalidated)
        newly_answered = record.was_answered and not known.was_answered
        known.was_answered |= record.was_answered
        if new:
            known.last_termination_s = now_s
        if was_clear:
            known.first_termination_s = now_s
        if len(new) >= self.policy.trial_terminations:
            # A row or a peer's record, whose terminations were collected over time.
            known.first_termination_s = now_s - self.policy.spread_s
        for start in new:
            self._in_progress.setdefault(start, set()).add(record.fingerprint)
        if len(self._records) > self.policy.max_requests:
            self._drop(next(iter(self._records)))
        return bool(new or newly_invalidated or newly_answered)

    def touch(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Record the arrival of a known request."""
        self._records[fingerprint].last_seen_s = now_s
        self._records.move_to_end(fingerprint)

    def age_s(self, fingerprint: Fingerprint, now_s: float) -> float:
        """Return the seconds since the last arrival or update of a known request."""
        return now_s - self._records[fingerprint].last_seen_s

    def invalidate(
        self, fingerprint: Fingerprint, now_s: float, *, answered: bool = False
    ) -> None:
        """Invalidate all terminations that are recorded for a request."""
        terminations = self.record(fingerprint).terminations
        self.merge(
            RequestRecord(fingerprint, terminations, terminations, answered), now_s
        )

    def expire(self, now_s: float) -> list[Fingerprint]:
        """Remove requests that have not arrived within the retention; return them."""
        expired = []
        for fingerprint, record in self._records.items():
            if now_s - record.last_seen_s < self.policy.retention_s:
                break
            expired.append(fingerprint)
        for fingerprint in expired:
            self._drop(fingerprint)
        return expired

    def record(self, fingerprint: Fingerprint) -> RequestRecord:
        """Return the record of a request."""
        known = self._records.get(fingerprint)
        if known is None:
            return RequestRecord(fingerprint, frozenset())
        return RequestRecord(
            fingerprint,
            frozenset(known.terminations),
            frozenset(known.invalidated),
            known.was_answered,
        )

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether an attempt of a request must not try a second target."""
        record = self._records.get(fingerprint)
        if record is None or record.was_answered:
            return False
        return len(record.counted) >= self.policy.suspect_terminations

    def is_quarantined(
        self,
        fingerprint: Fingerprint,
        now_s: float,
        beside: frozenset[Fingerprint] = frozenset(),
    ) -> bool:
        """Return whether a request must be sent to no target.

        :param beside: fingerprints of the same request, any of which suffices.
        """
        policy = self.policy
        counted = self._counted(fingerprint)
        if len(counted) < policy.quarantine_terminations:
            return False
        record = self._records[fingerprint]
        if not record.was_answered:
            return self._is_cause(fingerprint, beside)
        if now_s - record.last_termination_s >= policy.cooldown_s:
            return False
        if is_part(fingerprint) and record.spread_s < policy.spread_s:
            return False
        for name in self._concurrent(fingerprint, counted) - beside:
            if not self._records[name].was_answered and self._is_cause(name):
                counted = counted - self._counted(name)
        return len(counted) >= policy.certain_terminations

    def quarantined(self, now_s: float) -> list[Fingerprint]:
        """Return all quarantined requests."""
        return [name for name in self._records if self.is_quarantined(name, now_s)]

    def trial_due_s(self, fingerprint: Fingerprint) -> float | None:
        """Return the time from which a quarantined part may be tried, None if never."""
        record = self._records.get(fingerprint)
        if record is None or not is_part(fingerprint) or record.was_answered:
            return None
        is_certain = len(record.counted) >= self.policy.trial_terminations
        if is_certain and record.spread_s >= self.policy.spread_s:
            return None
        return record.last_termination_s + self.policy.trial_after_s

    def _is_cause(
        self, fingerprint: Fingerprint, beside: frozenset[Fingerprint] = frozenset()
    ) -> bool:
        """Return whether a request that no target completed causes terminations."""
        counted = self._counted(fingerprint)
        if len(counted) >= self.policy.certain_terminations:
            return True
        if len(counted) < self.policy.quarantine_terminations:
            return False
        unexplained = set(counted)
        for name in self._concurrent(fingerprint, counted) - beside:
            if self._records[name].was_answered:
                continue
            other_counted = self._counted(name)
            if len(other_counted) > len(counted) or other_counted >= counted:
                unexplained -= other_counted
        return len(unexplained) >= self.policy.quarantine_terminations

    def _concurrent(
        self, fingerprint: Fingerprint, starts: set[TargetStart]
    ) -> set[Fingerprint]:
        """Return the other requests in progress at any of these terminations."""
        found = {name for start in starts for name in self._in_progress.get(start, ())}
        return found - {fingerprint}

    def _counted(self, fingerprint: Fingerprint) -> set[TargetStart]:
        record = self._records.get(fingerprint)
        return record.counted if record is not None else set()

    def _drop_invalidated(self, fingerprint: Fingerprint, record: _Record) -> None:
        """Drop invalidated terminations, of which frequent requests have many."""
        self._remove_in_progress(fingerprint, record.invalidated)
        record.terminations -= record.invalidated
        record.invalidated.clear()

    def _drop(self, fingerprint: Fingerprint) -> None:
        self._remove_in_progress(
            fingerprint, self._records.pop(fingerprint).terminations
        )

    def _remove_in_progress(
        self, fingerprint: Fingerprint, starts: Iterable[TargetStart]
    ) -> None:
        for start in starts:
            fingerprints = self._in_progress.get(start, set())
            fingerprints.discard(fingerprint)
            if not fingerprints:
                self._in_progress.pop(start, None)
