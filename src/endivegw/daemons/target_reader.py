"""The registered targets, kept up to date by a feed."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.direct_beliefs import RowDecoder, log_unreadable
from endivegw.decisions import SERVICE_PREFIX, TargetView
from endivegw.quarantine import TargetStart
from endivegw.relay.context import RelayContext
from endivegw.routing import DirectTarget, FleetView, ServiceKind
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import InstanceId, TargetName

__all__ = ["TargetReader"]


class TargetReader:
    """Keep the dispatcher's targets as the registry has them."""

    def __init__(
        self,
        context: RelayContext,
        decoder: RowDecoder,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._context = context
        self._decoder = decoder
        self._clock = clock
        self._log = log
        self.view = FleetView()
        self._revisions: dict[str, int] = {}
        #: Starts that are gone for good, whatever the registry still says. A later
        #: start under the same id is not among them.
        self._replaced: set[tuple[InstanceId, int | None]] = set()
        #: Starts that said that they leave, and when this router heard of it. No row
        #: that still says ready takes it back: it was written before.
        self._leaving: dict[TargetStart, float] = {}
        #: Rows that could not be used when they were read last.
        self._unusable: set[str] = set()

    def listed(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in the whole table."""
        known = set(self.view.targets)
        for row in rows:
            known.discard(InstanceId(row.key))
            self._take(row)
        now_s = self._clock()
        for instance_id in known:
            self.view.remove(instance_id, now_s)
        self.apply()

    def changed(self, row: StoredRow) -> None:
        """Take in one row."""
        self._take(row)
        self.apply()

    def lost(self) -> None:
        """Note that entries may lapse unseen."""
        self.view.on_registry_unavailable()

    def heard(self) -> None:
        """Note that the registry answers."""
        self.view.on_registry_response(self._clock())

    def replaced(self, instance_id: InstanceId, started_ms: int | None) -> None:
        """Drop a start of a target at whose address another instance answered.

        Its entry stays in the registry for a while, and every request sent there
        meanwhile is refused. Where the id has started anew since the request was
        placed, the new start is left alone.
        """
        self._context.terminations.record_termination(
            TargetStart(instance_id, started_ms), "replaced"
        )
        self._replaced.add((instance_id, started_ms))
        target = self.view.targets.get(instance_id)
        if target is not None and target.started_ms == started_ms:
            self.view.drop(instance_id)
            self._note(target, "replaced", 0, "answer")
            self.apply()

    def leaving(self, start: TargetStart, source: str) -> bool:
        """Send a start of a target nothing more; return whether that is news.

        :param source: ``answer`` or ``peer``.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = self._clock()
        target = self.view.targets.get(start.instance_id)
        if target is not None and _start_of(target) == start and not target.leaving:
            self._note(target, "leaving", 0, source)
            self.apply()
        return True

    def expire_missing(self) -> None:
        """Drop targets that stayed missing after the registry's return."""
        if self.view.expire_missing(self._clock()):
            self.apply()

    def apply(self) -> None:
        """Hand the targets to the dispatcher."""
        views = [self._view(target) for target in self.view.usable()]
        self._context.queue.dispatcher.set_targets(views, self._clock())
        self._context.queue.wake()

    def _take(self, row: StoredRow) -> None:
        if row.revision < self._revisions.get(row.key, 0):
            # A listing may be older than what the feed said before it.
            return
        self._revisions[row.key] = row.revision
        instance_id = InstanceId(row.key)
        before = self.view.targets.get(instance_id)
        if row.deleted:
            self._unusable.discard(row.key)
            self.view.remove(instance_id, self._clock())
            if before is not None:
                self._note(before, "removed", row.revision)
            return
        try:
            target = self._decoder.target(row.key, row.value)
            _check_author(target, before)
        except ValueError as error:
            self._give_up(row, instance_id, error)
            return
        self._unusable.discard(row.key)
        if (target.instance_id, target.started_ms) in self._replaced:
            return
        self.view.put(target)
        self._note_difference(before, target, row.revision)

    def _give_up(
        self, row: StoredRow, instance_id: InstanceId, error: ValueError
    ) -> None:
        """Use no target by a row that another writer spoilt; say so once."""
        self.view.drop(instance_id)
        if row.key in self._unusable:
            return
        self._unusable.add(row.key)
        log_unreadable(self._log, row, error)

    def _note_difference(
        self, before: DirectTarget | None, target: DirectTarget, revision: int
    ) -> None:
        if before is None:
            self._note(target, "added", revision)
            self._context.terminations.record_address(_start_of(target), target.address)
        elif not before.is_incarnation_of(target):
            # Its sockets died with the earlier start, some without a word: what is
            # sent there would be lost, and nobody could say whether it ran.
            self._context.pool.expire(before.address)
            self._note(target, "restarted", revision)
            self._context.terminations.record_termination(
                _start_of(before), "restarted"
            )
            self._context.terminations.record_address(_start_of(target), target.address)
        elif before.leaving != target.leaving:
            self._note(target, "leaving", revision)

    def _view(self, target: DirectTarget) -> TargetView:
        table = self._context.table
        kind = ServiceKind.PLAIN
        copy_s_per_token = None
        if table is not None:
            kind = table.service_kind(target.service)
            copy_s_per_token = table.copy_s_per_token(target.service)
        prefix = "" if kind is ServiceKind.ENGINE else SERVICE_PREFIX
        return TargetView(
            target=TargetName(target.instance_id),
            instance_id=target.instance_id,
            address=target.address,
            availability_zone=target.availability_zone,
            models=frozenset({prefix + target.service}),
            slots=target.slots,
            draining=target.leaving or _start_of(target) in self._leaving,
            started_ms=target.started_ms,
            copy_s_per_token=copy_s_per_token,
        )

    def _note(
        self, target: DirectTarget, change: str, revision: int, source: str = "row"
    ) -> None:
        heard_s = self._leaving.get(_start_of(target))
        self._log.emit(
            events.TARGET_CHANGED,
            target=target.instance_id,
            service=target.service,
            address=target.address,
            change=change,
            revision=revision,
            source=source,
            age_s=None if heard_s is None else round(self._clock() - heard_s, 3),
        )


def _start_of(target: DirectTarget) -> TargetStart:
    return TargetStart(target.instance_id, target.started_ms)


def _check_author(target: DirectTarget, before: DirectTarget | None) -> None:
    """Raise :exc:`ValueError` where an entry is not the target's own.

    A target that says when it started says so in all its entries.
    """
    if before is None or before.started_ms is None:
        return
    if target.started_ms is None:
        raise ValueError("the target's start is missing, which earlier entries named")
