"""Keep what is known of requests that end targets: here, at peers, in the store."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from typing import Callable, Iterable

import anyio
from attrs import define, evolve, frozen

from endivegw.quarantine.evidence import Evidence, RequestRecord, TargetEnded
from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.quarantine.ledger import Ledger, QuarantinePolicy
from endivegw.quarantine.lost_sends import TargetStart
from endivegw.quarantine.rows import (
    QUARANTINE_TABLE,
    decode_record,
    encode_record,
)
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    NewRow,
    RowsPort,
    StoredRow,
    StoreMoment,
)
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import quarantine as events

__all__ = ["QuarantineKeeper", "QuarantineOptions"]

#: Fingerprints in one datagram, which is not cut into packets then.
_MOST_TOLD = 48

#: Writes of one row that lose to other routers in a row before it waits.
_MOST_CONFLICTS = 5

#: Requests that are remembered as answered: those that come often are among the latest.
_MOST_ANSWERED = 1024


@frozen
class QuarantineOptions:
    """Hold intervals.

    :param list_every_s: how often the rows are read. Peers tell what is new; the rows
        are for those that start, and for operators that release a request.
    :param again_s: the same where the store did not answer.
    :param refresh_every_s: how often the row of a request that still comes is written
        again, and peers are told, so that nobody forgets it.
    :param expire_spread_s: rows of forgotten requests are deleted at a moment drawn
        from this span, so that not all routers try at once.
    :param timeout_s: for one call to the store.
    """

    list_every_s: float = 5.0
    again_s: float = 0.5
    refresh_every_s: float = 60.0
    expire_spread_s: float = 60.0
    timeout_s: float = 1.0


@define
class _Row:
    """Hold a row as it was read or written last.

    :ivar written_s: when its revision was seen first.
    """

    revision: int
    record: RequestRecord
    written_s: float


class QuarantineKeeper:
    """Decide which requests are kept from targets, and share what that rests on.

    :param tell: passes evidence on to the peers.
    """

    def __init__(
        self,
        store: RowsPort,
        tell: Callable[[Evidence], None],
        rng: random.Random,
        clock: Callable[[], float],
        log: EventLog,
        policy: QuarantinePolicy = QuarantinePolicy(),
        options: QuarantineOptions = QuarantineOptions(),
    ) -> None:
        self.ledger = Ledger(policy)
        self._store = store
        self._tell = tell
        self._rng = rng
        self._clock = clock
        self._log = log
        self._policy = policy
        self._options = options
        self._rows: dict[Fingerprint, _Row] = {}
        #: Requests whose row lacks something, in the order in which it came up.
        self._unwritten: dict[Fingerprint, None] = {}
        #: Requests that targets ran to their end, the latest last.
        self._answered: OrderedDict[Fingerprint, None] = OrderedDict()
        self._deletions: dict[Fingerprint, float] = {}
        #: When this router last kept the others from forgetting a request.
        self._refreshed: dict[Fingerprint, float] = {}
        self._quarantined: set[Fingerprint] = set()
        self._wake = anyio.Event()
        #: Whether the rows were asked for, so that a start that finds the store away
        #: goes on without them.
        self.asked = False

    # What requests ask.

    def refuse(self, fingerprint: Fingerprint) -> Refused | None:
        """Return why a request goes to no target, None where it may."""
        if fingerprint not in self.ledger:
            return None
        now_s = self._clock()
        if not self.ledger.is_quarantined(fingerprint, now_s):
            if fingerprint in self._quarantined:
                self._note_changes([fingerprint], "explained")
            return None
        self.ledger.see(fingerprint, now_s)
        self._refresh(fingerprint, now_s)
        ends = len(self.ledger.record(fingerprint).ends)
        detail = f"{ends} targets ended while they ran it ({fingerprint})"
        return Refused(Reason.QUARANTINED, detail, self._policy.keep_s)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether one attempt of a request is not worth a second target."""
        return self.ledger.is_suspect(fingerprint)

    # What requests report.

    def ended(self, start: TargetStart, fingerprints: Iterable[Fingerprint]) -> None:
        """Take in which requests of this router were at a target as it ended."""
        found = tuple(fingerprints)
        if not found:
            return
        for first in range(0, len(found), _MOST_TOLD):
            evidence = TargetEnded(start, found[first : first + _MOST_TOLD])
            self._join(evidence, "own")
            self._tell(evidence)
        for fingerprint in found:
            if self.ledger.is_suspect(fingerprint):
                self._write_soon(fingerprint)

    def answered(self, fingerprint: Fingerprint) -> None:
        """Take in that a target ran a request to its end."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > _MOST_ANSWERED:
            self._answered.popitem(last=False)
        record = self.ledger.record(fingerprint)
        if record.ends == record.void:
            return
        self.ledger.void(fingerprint, self._clock(), answered=True)
        self._tell(self.ledger.record(fingerprint))
        if fingerprint in self._rows:
            self._write_soon(fingerprint)
        self._note_changes([fingerprint], "answered")

    def hear(self, evidence: Evidence) -> None:
        """Take in what a peer says; pass on what is new."""
        now_s = self._clock()
        stale = (
            isinstance(evidence, RequestRecord)
            and evidence.fingerprint in self.ledger
            and self.ledger.age_s(evidence.fingerprint, now_s)
            >= self._options.refresh_every_s / 2
        )
        if self._join(evidence, "peer") or stale:
            self._tell(evidence)

    def _refresh(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Let nobody forget a request that still comes."""
        row = self._rows.get(fingerprint)
        last_s = self._refreshed.get(fingerprint, -math.inf)
        if row is not None:
            last_s = max(last_s, row.written_s)
        if now_s - last_s < self._options.refresh_every_s:
            return
        self._refreshed[fingerprint] = now_s
        self._tell(self.ledger.record(fingerprint))
        self._write_soon(fingerprint)

    # The store's rows.

    async def run(self) -> None:
        """Keep the rows and this router's memory alike, until cancelled."""
        while True:
            pause_s = self._options.list_every_s
            if not await self._list():
                pause_s = self._options.again_s
            self.asked = True
            self._forget()
            with anyio.move_on_after(pause_s):
                while True:
                    await self._write_all()
                    await self._wake.wait()
                    self._wake = anyio.Event()

    async def _list(self) -> bool:
        result = await self._store.list_rows(
            QUARANTINE_TABLE, timeout_s=self._options.timeout_s
        )
        if isinstance(result, Done):
            self._take(result.value)
        return isinstance(result, Done)

    def _take(self, changes: Changes) -> None:
        listed = set()
        for row in changes.rows:
            listed.add(Fingerprint(row.key))
            self._take_row(row)
        for fingerprint, known in list(self._rows.items()):
            # A listing may be older than a row that was written since.
            if fingerprint in listed or known.revision > changes.moment.revision:
                continue
            del self._rows[fingerprint]
            if fingerprint in self.ledger:
                self.ledger.void(fingerprint, self._clock())
                self._note_changes([fingerprint], "released")

    def _take_row(self, row: StoredRow) -> None:
        fingerprint = Fingerprint(row.key)
        known = self._rows.get(fingerprint)
        if known is not None and known.revision >= row.revision:
            return
        try:
            record = decode_record(row.key, row.value)
        except ValueError as error:
            self._log.emit(events.ROW_UNREADABLE, key=row.key, detail=str(error))
            return
        self._rows[fingerprint] = _Row(row.revision, record, self._clock())
        self._join(record, "store")

    def _forget(self) -> None:
        """Forget requests that stopped coming, and delete their rows."""
        now_s = self._clock()
        expired = self.ledger.expire(now_s)
        self._note_changes(expired, "expired")
        for fingerprint in expired:
            self._refreshed.pop(fingerprint, None)
            spread_s = self._rng.random() * self._options.expire_spread_s
            self._deletions.setdefault(fingerprint, now_s + spread_s)
        for fingerprint, due_s in list(self._deletions.items()):
            if now_s >= due_s or fingerprint in self.ledger:
                del self._deletions[fingerprint]
                self._write_soon(fingerprint)

    def _write_soon(self, fingerprint: Fingerprint) -> None:
        self._unwritten[fingerprint] = None
        self._wake.set()

    async def _write_all(self) -> None:
        """Write what rows lack; what fails waits for the next listing."""
        for fingerprint in list(self._unwritten):
            if await self._write(fingerprint):
                self._unwritten.pop(fingerprint, None)

    async def _write(self, fingerprint: Fingerprint) -> bool:
        """Write or delete a request's row; return whether the store has it now."""
        for _ in range(_MOST_CONFLICTS):
            record = self.ledger.record(fingerprint)
            result = await self._transact(record)
            match result:
                case None:
                    return True
                case Done(moment):
                    if fingerprint in self.ledger:
                        row = _Row(moment.revision, record, self._clock())
                        self._rows[fingerprint] = row
                    else:
                        self._rows.pop(fingerprint, None)
                    return True
                case Conflict(rows):
                    if self._resolve(fingerprint, rows):
                        return True
                case _:
                    return False
        return False

    async def _transact(
        self, record: RequestRecord
    ) -> Done[StoreMoment] | Conflict | Refused | Unknown | None:
        """Try a write; None where there is nothing to write."""
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

    def _resolve(self, fingerprint: Fingerprint, rows: tuple[StoredRow, ...]) -> bool:
        """Take in the row that another router wrote; return whether it says all."""
        self._rows.pop(fingerprint, None)
        for row in rows:
            if row.key == fingerprint and not row.deleted:
                self._take_row(row)
        known = self._rows.get(fingerprint)
        if known is None:
            return fingerprint not in self.ledger
        return known.record == self.ledger.record(fingerprint)

    # Inside.

    def _join(self, evidence: Evidence, source: str) -> bool:
        """Take evidence in; return whether any of it is new."""
        now_s = self._clock()
        match evidence:
            case TargetEnded(start, fingerprints):
                records = [
                    RequestRecord(name, frozenset({start})) for name in fingerprints
                ]
            case RequestRecord():
                records = [evidence]
        new = [record for record in records if self.ledger.join(record, now_s)]
        for record in new:
            self._vouch(record.fingerprint, now_s)
        self._note_changes([record.fingerprint for record in new], source)
        return bool(new)

    def _vouch(self, fingerprint: Fingerprint, now_s: float) -> None:
        """Tell the others of a request that a target ran to its end for this router."""
        known = self.ledger.record(fingerprint)
        if fingerprint not in self._answered or known.was_answered:
            return
        self.ledger.join(evolve(known, was_answered=True), now_s)
        self._tell(self.ledger.record(fingerprint))

    def _note_changes(self, fingerprints: Iterable[Fingerprint], source: str) -> None:
        """Log what is believed of requests where that has changed."""
        now_s = self._clock()
        for fingerprint in fingerprints:
            record = self.ledger.record(fingerprint)
            counted = record.ends - record.void
            if self.ledger.is_quarantined(fingerprint, now_s):
                if fingerprint in self._quarantined:
                    continue
                self._quarantined.add(fingerprint)
                # Whoever found it out tells all and writes its row.
                self._refreshed.setdefault(fingerprint, now_s)
                event = events.REQUEST_QUARANTINED
            elif fingerprint in self._quarantined:
                self._quarantined.discard(fingerprint)
                event = events.QUARANTINE_ENDED
            elif len(counted) == self._policy.suspect_ends:
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
