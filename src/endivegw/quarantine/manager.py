"""Maintain evidence on requests that terminate targets, at peers and in the store."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from typing import Callable, Iterable

import anyio
from attrs import define, evolve, frozen

from endivegw.quarantine.evidence import Evidence, RequestRecord, TargetTerminated
from endivegw.quarantine.fingerprint import Fingerprint, is_part
from endivegw.quarantine.ledger import Ledger, QuarantinePolicy
from endivegw.quarantine.lost_sends import TargetStart
from endivegw.quarantine.rows import (
    QUARANTINE_TABLE,
    decode_record,
    encode_record,
)
from endivegw.quarantine.trials import Trials
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    NewRow,
    RowsPort,
    StoredRow,
    StoreTimestamp,
)
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.supervision import contain
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import quarantine as events

__all__ = ["QuarantineManager", "QuarantineOptions"]

#: Number of fingerprints in one datagram, which then fits into a single packet.
_MAX_FINGERPRINTS = 48

#: Number of consecutive write conflicts on one row before the write is postponed.
_MAX_CONFLICTS = 5

#: Minimum Retry-After of a request with a part that may be tried now, by another
#: router or by another request.
_MIN_RETRY_S = 1.0

#: Number of requests and parts remembered as answered. Frequent ones are among the
#: latest.
_MAX_ANSWERED = 8192


@frozen
class QuarantineOptions:
    """Intervals and timeouts of the quarantine manager.

    :param list_every_s: seconds between two reads of the rows. Peers send new records;
        the rows serve routers that start and operators that release a request.
    :param retry_s: seconds until the next read if the store did not answer.
    :param refresh_every_s: seconds between two refreshes of a request that still
        arrives, in which its row is written and its record is sent to peers so that no
        router forgets it.
    :param expire_spread_s: seconds over which the deletions of expired rows are
        randomly spread, so that routers do not all try at once.
    :param timeout_s: timeout of one call to the store.
    """

    list_every_s: float = 5.0
    retry_s: float = 0.5
    refresh_every_s: float = 60.0
    expire_spread_s: float = 60.0
    timeout_s: float = 1.0


@define
class _Row:
    """A row as it was last read or written.

    :ivar written_s: time at which its revision was first seen.
    """

    revision: int
    record: RequestRecord
    written_s: float


class QuarantineManager:
    """Decide which requests are quarantined, and share the evidence with peers.

    :param broadcast: sends evidence to the peers.
    :param is_trier: returns whether this router is the one that tries a prompt part.
    """

    def __init__(
        self,
        store: RowsPort,
        broadcast: Callable[[Evidence], None],
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
        policy: QuarantinePolicy = QuarantinePolicy(),
        options: QuarantineOptions = QuarantineOptions(),
        is_trier: Callable[[Fingerprint], bool] = lambda fingerprint: False,
    ) -> None:
        self._trials = Trials(policy.trial_after_s, is_trier)
        self.ledger = Ledger(policy)
        self._store = store
        self._broadcast = broadcast
        self._rng = rng
        self._clock = clock
        self._log = log
        self._unreadable = UnreadableRows(log, events.ROW_UNREADABLE)
        self._policy = policy
        self._options = options
        self._rows: dict[Fingerprint, _Row] = {}
        #: Requests whose row is out of date, in the order of the changes.
        self._unwritten: dict[Fingerprint, None] = {}
        #: Requests that targets completed, the latest last.
        self._answered: OrderedDict[Fingerprint, None] = OrderedDict()
        self._deletions: dict[Fingerprint, float] = {}
        #: Time at which this router last refreshed each request.
        self._refreshed: dict[Fingerprint, float] = {}
        self._quarantined: set[Fingerprint] = set()
        self._wake = anyio.Event()
        #: Whether the first read of the rows has been attempted. A router that starts
        #: while the store is unavailable continues without them.
        self.listing_attempted = False

    # Queries by requests.

    def refuse(self, *fingerprints: Fingerprint) -> Refused | None:
        """Return the refusal of a quarantined request, or None if it may be sent.

        :param fingerprints: those of the request and of the parts of its prompt.
        """
        found = self.find_quarantined(*fingerprints)
        return None if found is None else self.refusal(found)

    def find_quarantined(self, *fingerprints: Fingerprint) -> Fingerprint | None:
        """Return why a request is quarantined, None if it may be sent."""
        now_s = self._clock()
        beside = frozenset(fingerprints)
        for fingerprint in fingerprints:
            if fingerprint not in self.ledger:
                continue
            if self.ledger.is_quarantined(fingerprint, now_s, beside):
                self.ledger.touch(fingerprint, now_s)
                self._refresh(fingerprint, now_s)
                return fingerprint
            if fingerprint in self._quarantined:
                self._log_changes([fingerprint], "explained")
        return None

    def refusal(self, fingerprint: Fingerprint) -> Refused:
        """Return the refusal of a request with a quarantined fingerprint."""
        count = len(self.ledger.record(fingerprint).terminations)
        what = "a part of this prompt" if is_part(fingerprint) else "this request"
        detail = f"{count} targets terminated while running {what} ({fingerprint})"
        trial_due_s = self.ledger.trial_due_s(fingerprint)
        retry_s = self._policy.retention_s
        if trial_due_s is not None:
            retry_s = max(_MIN_RETRY_S, trial_due_s - self._clock())
        return Refused(Reason.QUARANTINED, detail, retry_s)

    def start_trial(self, *fingerprints: Fingerprint) -> bool:
        """Return whether a request may show if its quarantined part is the cause.

        One router tries a part. If the answer begins, the part is innocent.
        """
        fingerprint = self.find_quarantined(*fingerprints)
        if fingerprint is None:
            return False
        due_s = self.ledger.trial_due_s(fingerprint)
        if not self._trials.start(fingerprint, due_s, self._clock()):
            return False
        self._log.emit(events.PART_TRIED, fingerprint=fingerprint)
        return True

    def is_suspect(self, *fingerprints: Fingerprint) -> bool:
        """Return whether an attempt of a request must not try a second target."""
        return any(map(self.ledger.is_suspect, fingerprints))

    # Reports by requests.

    def record_termination(
        self, start: TargetStart, fingerprints: Iterable[Fingerprint]
    ) -> None:
        """Record the requests of this router at a target that terminated."""
        in_progress = tuple(fingerprints)
        if not in_progress:
            return
        for first in range(0, len(in_progress), _MAX_FINGERPRINTS):
            evidence = TargetTerminated(
                start, in_progress[first : first + _MAX_FINGERPRINTS]
            )
            self._merge(evidence, "own")
            self._share(evidence)
        for fingerprint in in_progress:
            if self.ledger.is_suspect(fingerprint):
                self._schedule_write(fingerprint)

    def answered(self, fingerprint: Fingerprint) -> None:
        """Record that a target completed a request, or began to write on a part."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)
        record = self.ledger.record(fingerprint)
        if record.terminations == record.invalidated:
            return
        self.ledger.invalidate(fingerprint, self._clock(), answered=True)
        if self._concerns_peers(record):
            self._broadcast(self.ledger.record(fingerprint))
        if fingerprint in self._rows:
            self._schedule_write(fingerprint)
        self._log_changes([fingerprint], "answered")

    def receive(self, evidence: Evidence) -> None:
        """Merge a peer's evidence; forward it if it is new or refreshes a record."""
        now_s = self._clock()
        stale = (
            isinstance(evidence, RequestRecord)
            and evidence.fingerprint in self.ledger
            and self.ledger.age_s(evidence.fingerprint, now_s)
            >= self._options.refresh_every_s / 2
        )
        if self._merge(evidence, "peer") or stale:
            self._share(evidence)

    def _share(self, evidence: Evidence) -> None:
        """Send evidence to peers, for suspects together with what is known before it.

        A peer that started meanwhile has missed the first termination, of which no row
        tells either.
        """
        match evidence:
            case RequestRecord(fingerprint):
                self._broadcast(self.ledger.record(fingerprint))
            case TargetTerminated(start, fingerprints):
                suspects = [name for name in fingerprints if self._is_unanswered(name)]
                others = tuple(name for name in fingerprints if name not in suspects)
                if others:
                    self._broadcast(TargetTerminated(start, others))
                for fingerprint in suspects:
                    self._broadcast(self.ledger.record(fingerprint))

    def _is_unanswered(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is a suspect that no target has completed."""
        record = self.ledger.record(fingerprint)
        return not record.was_answered and self.ledger.is_suspect(fingerprint)

    def _refresh(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Refresh a request that still arrives at all routers and in the store."""
        row = self._rows.get(fingerprint)
        last_s = self._refreshed.get(fingerprint, -math.inf)
        if row is not None:
            last_s = max(last_s, row.written_s)
        if now_s - last_s < self._options.refresh_every_s:
            return
        self._refreshed[fingerprint] = now_s
        self._broadcast(self.ledger.record(fingerprint))
        self._schedule_write(fingerprint)

    # Rows of the store.

    async def run(self) -> None:
        """Synchronize the rows with this router's ledger until cancelled."""
        while True:
            pause_s = self._options.list_every_s
            if not await self._read_rows():
                pause_s = self._options.retry_s
            self.listing_attempted = True
            self._expire()
            with anyio.move_on_after(pause_s):
                while True:
                    await self._write_pending()
                    await self._wake.wait()
                    self._wake = anyio.Event()

    async def _read_rows(self) -> bool:
        result = await self._store.list_rows(
            QUARANTINE_TABLE, timeout_s=self._options.timeout_s
        )
        if isinstance(result, Done):
            self._apply_listing(result.value)
        return isinstance(result, Done)

    def _apply_listing(self, changes: Changes) -> None:
        listed = set()
        for row in changes.rows:
            listed.add(Fingerprint(row.key))
            contain(self._log, "quarantine", self._apply_row, row, row.key)
        for fingerprint, known in list(self._rows.items()):
            # The row may have been written after the listing was read.
            if fingerprint in listed or known.revision > changes.timestamp.revision:
                continue
            del self._rows[fingerprint]
            if fingerprint in self.ledger:
                self.ledger.invalidate(fingerprint, self._clock())
                self._log_changes([fingerprint], "released")

    def _apply_row(self, row: StoredRow) -> None:
        fingerprint = Fingerprint(row.key)
        known = self._rows.get(fingerprint)
        if known is not None and known.revision >= row.revision:
            return
        try:
            record = decode_record(row.key, row.value)
        except ValueError as error:
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        self._rows[fingerprint] = _Row(row.revision, record, self._clock())
        self._merge(record, "store")

    def _expire(self) -> None:
        """Remove expired requests and delete their rows."""
        now_s = self._clock()
        expired = self.ledger.expire(now_s)
        self._log_changes(expired, "expired")
        for fingerprint in expired:
            self._refreshed.pop(fingerprint, None)
            spread_s = self._rng.random() * self._options.expire_spread_s
            self._deletions.setdefault(fingerprint, now_s + spread_s)
        for fingerprint, due_s in list(self._deletions.items()):
            if now_s >= due_s or fingerprint in self.ledger:
                del self._deletions[fingerprint]
                self._schedule_write(fingerprint)

    def _schedule_write(self, fingerprint: Fingerprint) -> None:
        self._unwritten[fingerprint] = None
        self._wake.set()

    async def _write_pending(self) -> None:
        """Write all outdated rows; failed writes are retried after the next listing."""
        for fingerprint in list(self._unwritten):
            if await self._write(fingerprint):
                self._unwritten.pop(fingerprint, None)

    async def _write(self, fingerprint: Fingerprint) -> bool:
        """Write or delete a request's row; return whether the store is up to date."""
        for _ in range(_MAX_CONFLICTS):
            record = self.ledger.record(fingerprint)
            result = await self._transact(record)
            match result:
                case None:
                    return True
                case Done(timestamp):
                    if fingerprint in self.ledger:
                        row = _Row(timestamp.revision, record, self._clock())
                        self._rows[fingerprint] = row
                    else:
                        self._rows.pop(fingerprint, None)
                    return True
                case Conflict(rows):
                    if self._resolve_conflict(fingerprint, rows):
                        return True
                case _:
                    return False
        return False

    async def _transact(
        self, record: RequestRecord
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown | None:
        """Try to write or delete a row; None if there is nothing to do."""
        fingerprint = record.fingerprint
        row = self._rows.get(fingerprint)
        revision = row.revision if row is not None else 0
        expected = ExpectedRow(QUARANTINE_TABLE, fingerprint, revision)
        timeout_s = self._options.timeout_s
        if fingerprint in self.ledger:
            new = NewRow(QUARANTINE_TABLE, fingerprint, encode_record(record))
            return await self._store.transact((expected,), (new,), timeout_s=timeout_s)
        if row is None:
            return None
        return await self._store.transact(
            (), (), deletes=(expected,), timeout_s=timeout_s
        )

    def _resolve_conflict(
        self, fingerprint: Fingerprint, rows: tuple[StoredRow, ...]
    ) -> bool:
        """Apply the row that another router wrote; return whether it is up to date."""
        self._rows.pop(fingerprint, None)
        for row in rows:
            if row.key == fingerprint and not row.deleted:
                self._apply_row(row)
        known = self._rows.get(fingerprint)
        if known is None:
            return fingerprint not in self.ledger
        return known.record == self.ledger.record(fingerprint)

    # Merging and logging.

    def _merge(self, evidence: Evidence, source: str) -> bool:
        """Merge evidence; return whether any of it is new."""
        now_s = self._clock()
        match evidence:
            case TargetTerminated(start, fingerprints):
                records = [
                    RequestRecord(name, frozenset({start})) for name in fingerprints
                ]
            case RequestRecord():
                records = [evidence]
        new = [record for record in records if self.ledger.merge(record, now_s)]
        for record in new:
            self._report_answered(record.fingerprint, now_s)
        self._log_changes([record.fingerprint for record in new], source)
        return bool(new)

    def _report_answered(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Report a request as answered if a target completed it for this router."""
        known = self.ledger.record(fingerprint)
        if fingerprint not in self._answered or known.was_answered:
            return
        if not self._concerns_peers(known):
            return
        self.ledger.merge(evolve(known, was_answered=True), now_s)
        self._broadcast(self.ledger.record(fingerprint))

    def _concerns_peers(self, record: RequestRecord) -> bool:
        """Return whether peers need to know that a request was answered.

        Each terminating target loses requests with many parts; almost none of them is
        ever beside a second termination.
        """
        if not is_part(record.fingerprint):
            return True
        return len(record.terminations) >= self._policy.suspect_terminations

    def _log_changes(self, fingerprints: Iterable[Fingerprint], source: str) -> None:
        """Log the requests whose state has changed."""
        now_s = self._clock()
        for fingerprint in fingerprints:
            record = self.ledger.record(fingerprint)
            counted = record.terminations - record.invalidated
            if self.ledger.is_quarantined(fingerprint, now_s):
                if fingerprint in self._quarantined:
                    continue
                self._quarantined.add(fingerprint)
                # The router that found it has sent it to all and writes its row.
                self._refreshed.setdefault(fingerprint, now_s)
                event = events.REQUEST_QUARANTINED
            elif fingerprint in self._quarantined:
                self._quarantined.discard(fingerprint)
                event = events.QUARANTINE_ENDED
            elif len(counted) == self._policy.suspect_terminations:
                event = events.REQUEST_SUSPECTED
            else:
                continue
            self._log.emit(
                event,
                fingerprint=fingerprint,
                source=source,
                targets=sorted(start.instance_id for start in counted),
                starts_ms=[start.started_ms for start in counted],
            )
