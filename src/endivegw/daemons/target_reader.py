"""Feed reader for the registered targets."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.direct_readers import RowDecoder
from endivegw.decisions import (
    NO_SENDS,
    SERVICE_PREFIX,
    SendLimit,
    SendQuota,
    TargetView,
    WarmUp,
    WarmUpLimits,
)
from endivegw.quarantine import TargetStart
from endivegw.relay.context import RelayContext
from endivegw.routing import (
    DirectTarget,
    FleetView,
    LimitReport,
    ServiceKind,
    TargetLimits,
    WarmUpTimes,
    ZoneChange,
    ZoneEvacuations,
)
from endivegw.services.row_store import StoredRow
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.supervision import contain
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import AvailabilityZone, InstanceId, TargetName

__all__ = ["TargetReader"]

#: Maximum time for which a limit is applied after its end. Without a delay that differs
#: between routers, they would all choose the target at once.
_MAX_LIMIT_END_DELAY_S = 1.0

#: Longest time between two answers of a registry that is available. A longer one may
#: also be a pause of this process.
_MAX_RESPONSE_INTERVAL_S = 1.5


class TargetReader:
    """Keep the dispatcher's targets up to date with the registry.

    :param evacuations: the zones whose targets get no new requests.
    :param send_quota: returns this router's quota for a target that is warming up,
        given the requests per second that all routers together may send there.
    :param router_count: returns the number of registered routers.
    :param on_versions: called with the software versions of the targets, by service.
    """

    def __init__(
        self,
        context: RelayContext,
        decoder: RowDecoder,
        clock: Callable[[], float],
        log: EventLog,
        evacuations: ZoneEvacuations | None = None,
        send_quota: Callable[
            [TargetName, float], SendQuota
        ] = lambda target, rate: NO_SENDS,
        router_count: Callable[[], int] = lambda: 1,
        on_versions: Callable[[dict[str, set[str]]], None] = lambda versions: None,
    ) -> None:
        self._on_versions = on_versions
        self._evacuations = evacuations or ZoneEvacuations()
        self._send_quota = send_quota
        self._router_count = router_count
        self._warm_ups = WarmUpTimes()
        self._limits = TargetLimits(
            lambda: _MAX_LIMIT_END_DELAY_S * context.rng.random()
        )
        self._context = context
        self._decoder = decoder
        self._clock = clock
        self._log = log
        self.view = FleetView()
        self._last_response_s = clock()
        self._revisions: dict[str, int] = {}
        #: Starts that have been replaced for good, whatever the registry still
        #: lists. A later start under the same id is not among them.
        self._replaced: set[tuple[InstanceId, int | None]] = set()
        #: Starts that announced that they leave, with the time at which this router
        #: learned of it. A row that still shows a start as ready does not revoke
        #: the announcement, because the row was written earlier.
        self._leaving: dict[TargetStart, float] = {}
        self._unreadable = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)

    def on_listing(self, rows: tuple[StoredRow, ...], revision: int) -> None:
        """Apply all rows of the table; targets without a row are removed."""
        missing = set(self.view.targets)
        for row in rows:
            missing.discard(InstanceId(row.key))
            contain(self._log, "targets", self._apply_row, row, row.key)
        now_s = self._clock()
        for instance_id in missing:
            self.view.remove(instance_id, now_s)
        self.apply()

    def on_row(self, row: StoredRow) -> None:
        """Apply one row."""
        self._apply_row(row)
        self.apply()

    def on_unavailable(self) -> None:
        """Record that entries may expire unnoticed, as the registry is unavailable."""
        self.view.on_registry_unavailable()

    def on_response(self) -> None:
        """Record that the registry answers."""
        self._last_response_s = self._clock()
        self.view.on_registry_response(self._last_response_s)

    def unavailable_s(self) -> float:
        """Return for how long the registry has not answered; 0 if it does."""
        silent_s = self._clock() - self._last_response_s
        return silent_s if silent_s > _MAX_RESPONSE_INTERVAL_S else 0.0

    def on_replaced(self, instance_id: InstanceId, started_ms: int | None) -> bool:
        """Drop a start of a target at whose address another instance answered.

        Its entry stays in the registry for a while, and every request sent there
        in the meantime is refused. If the target has restarted under the same id
        since the request was placed, the new start is unaffected.

        :returns: whether it was not known before.
        """
        if (instance_id, started_ms) in self._replaced:
            return False
        self._context.terminations.record_termination(
            TargetStart(instance_id, started_ms), "replaced"
        )
        self._replaced.add((instance_id, started_ms))
        target = self.view.targets.get(instance_id)
        if target is not None and target.started_ms == started_ms:
            self.view.drop(instance_id)
            self._log_change(target, "replaced", 0, "answer")
            self.apply()
        return True

    def on_leaving(self, start: TargetStart, source: str) -> bool:
        """Place no more work at a start of a target.

        :param source: how this router learned of it, ``answer`` or ``peer``.
        :returns: whether it was not known before.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = self._clock()
        target = self.view.targets.get(start.instance_id)
        if target is not None and _start_of(target) == start and not target.leaving:
            self._log_change(target, "leaving", 0, source)
            self.apply()
        return True

    def on_zone_change(self, change: ZoneChange) -> None:
        """Apply that a zone was evacuated, or is back in use.

        Targets that got no requests may have become cold, and their entries show it
        only after their next heartbeat.
        """
        if not change.evacuated:
            for target in self.targets_in(change.zone):
                limits = self._warm_up_limits(target)
                if limits is not None:
                    self._extend_warm_up(target, limits.duration_s, "zone")
        self.apply()

    def on_warm_up(self, start: TargetStart, left_s: float) -> None:
        """Apply that a target's answer states that it warms up."""
        target = self.view.targets.get(start.instance_id)
        if target is not None and _start_of(target) == start:
            self._extend_warm_up(target, left_s, "answer")
            self.apply()

    def on_limit(
        self, start: TargetStart, limit_per_s: float | None, sent_s: float
    ) -> LimitReport | None:
        """Apply the limit that an answer states, or that it states none.

        :param sent_s: time at which the request of the answer was sent.
        :returns: the report for the other routers; None if nothing changed.
        """
        report = self._limits.on_answer(start, limit_per_s, sent_s, self._clock())
        if report is not None:
            self._apply_limit(report, "answer")
        return report

    def on_limit_report(self, report: LimitReport) -> bool:
        """Apply another router's report of a limit; return whether it is new."""
        is_new = self._limits.on_report(report, self._clock())
        if is_new:
            self._apply_limit(report, "peer")
        return is_new

    def limited_count(self) -> int:
        """Return the number of targets that limit their requests."""
        return sum(self._limit(target) is not None for target in self.view.usable())

    def targets_in(self, zone: AvailabilityZone) -> list[DirectTarget]:
        """Return the registered targets of a zone."""
        targets = self.view.targets.values()
        return [target for target in targets if target.availability_zone == zone]

    def warming_up_count(self) -> int:
        """Return the number of targets that are warming up."""
        return sum(self._warm_up(target) is not None for target in self.view.usable())

    def expire_missing(self) -> None:
        """Drop targets that are still missing after the registry became available."""
        if self.view.expire_missing(self._clock()):
            self.apply()

    def apply(self) -> None:
        """Pass the usable targets to the dispatcher."""
        self._warm_ups.retain(self.view.targets)
        self._limits.retain({_start_of(t) for t in self.view.targets.values()})
        versions: dict[str, set[str]] = {}
        for target in self.view.targets.values():
            versions.setdefault(target.service, set()).add(target.software_version)
        self._on_versions(versions)
        views = [self._view(target) for target in self.view.usable()]
        self._context.queue.dispatcher.set_targets(views, self._clock())
        self._context.queue.wake()

    def _apply_row(self, row: StoredRow) -> None:
        known_revision = self._revisions.get(row.key, 0)
        if row.revision < known_revision:
            # A listing may be older than a row that the feed delivered before it.
            return
        self._revisions[row.key] = row.revision
        instance_id = InstanceId(row.key)
        before = self.view.targets.get(instance_id)
        if row.deleted:
            self._unreadable.clear(row)
            self.view.remove(instance_id, self._clock())
            if before is not None:
                self._log_change(before, "removed", row.revision)
            return
        try:
            target = self._decoder.target(row.key, row.value)
            _check_start_present(target, before)
        except ValueError as error:
            # Another writer has corrupted the row.
            self.view.drop(instance_id)
            self._unreadable.record(row, error)
            return
        self._unreadable.clear(row)
        if (target.instance_id, target.started_ms) in self._replaced:
            return
        self.view.put(target)
        if row.revision > known_revision:
            self._register_warm_up(target)
        self._on_entry(before, target, row.revision)

    def _on_entry(
        self, before: DirectTarget | None, target: DirectTarget, revision: int
    ) -> None:
        """Log and propagate how an entry differs from the one before it."""
        if before is None:
            self._log_change(target, "added", revision)
            self._context.terminations.record_address(_start_of(target), target.address)
        elif not before.is_incarnation_of(target):
            # The sockets of the earlier start are dead, some of them without a
            # reset. A request sent on one would be lost with an unknown outcome.
            self._context.pool.expire(before.address)
            self._log_change(target, "restarted", revision)
            self._context.terminations.record_termination(
                _start_of(before), "restarted"
            )
            self._context.terminations.record_address(_start_of(target), target.address)
        elif before.leaving != target.leaving:
            self._log_change(target, "leaving", revision)

    def _register_warm_up(self, target: DirectTarget) -> None:
        """Apply the time that an entry states; the same entry may be listed again."""
        now_s = self._clock()
        before_s = self._warm_ups.ends_s(target.instance_id)
        self._warm_ups.register(target.instance_id, now_s + target.warm_up_s)
        self._log_warm_up(target, before_s, "row")

    def _extend_warm_up(self, target: DirectTarget, left_s: float, source: str) -> None:
        before_s = self._warm_ups.ends_s(target.instance_id)
        self._warm_ups.extend(target.instance_id, self._clock() + left_s)
        self._log_warm_up(target, before_s, source)

    def _log_warm_up(self, target: DirectTarget, before_s: float, source: str) -> None:
        """Log that a target which was warm until now warms up."""
        now_s = self._clock()
        warm_up = self._warm_up(target)
        if warm_up is None or before_s > now_s:
            return
        self._log.emit(
            events.TARGET_WARMING_UP,
            target=target.instance_id,
            availability_zone=target.availability_zone,
            left_s=round(warm_up.ends_s - now_s, 3),
            sends=warm_up.quota.sends,
            window_s=round(warm_up.quota.window_s, 3),
            source=source,
        )

    def _warm_up_limits(self, target: DirectTarget) -> WarmUpLimits | None:
        table = self._context.table
        return None if table is None else table.warm_up_limits(target.service)

    def _warm_up(self, target: DirectTarget) -> WarmUp | None:
        """Return a target's warm-up, or None if it is warm or need not warm up."""
        limits = self._warm_up_limits(target)
        ends_s = self._warm_ups.ends_s(target.instance_id)
        if limits is None or ends_s <= self._clock():
            return None
        quota = self._send_quota(TargetName(target.instance_id), limits.rate_per_s)
        return WarmUp(ends_s, quota)

    def _apply_limit(self, report: LimitReport, source: str) -> None:
        limit_per_s = report.rate_per_s
        part_per_s = None
        if limit_per_s is not None:
            part_per_s = round(limit_per_s / self._router_count(), 4)
        self._log.emit(
            events.TARGET_LIMIT_CHANGED,
            target=report.start.instance_id,
            started_ms=report.start.started_ms,
            limit_per_s=limit_per_s,
            part_per_s=part_per_s,
            version=report.version,
            source=source,
        )
        self.apply()

    def _limit(self, target: DirectTarget) -> SendLimit | None:
        applied = self._limits.applied(_start_of(target), self._clock())
        if applied is None:
            return None
        part_per_s = applied.rate_per_s / self._router_count()
        return SendLimit(applied.rate_per_s, part_per_s, applied.ends_s)

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
            evacuated=self._evacuations.is_evacuated(target.availability_zone),
            warm_up=self._warm_up(target),
            limit=self._limit(target),
            software_version=target.software_version,
        )

    def _log_change(
        self, target: DirectTarget, change: str, revision: int, source: str = "row"
    ) -> None:
        leaving_since_s = self._leaving.get(_start_of(target))
        self._log.emit(
            events.TARGET_CHANGED,
            target=target.instance_id,
            service=target.service,
            address=target.address,
            software_version=target.software_version,
            change=change,
            revision=revision,
            source=source,
            age_s=(
                None
                if leaving_since_s is None
                else round(self._clock() - leaving_since_s, 3)
            ),
        )


def _start_of(target: DirectTarget) -> TargetStart:
    return TargetStart(target.instance_id, target.started_ms)


def _check_start_present(target: DirectTarget, before: DirectTarget | None) -> None:
    """Raise :exc:`ValueError` if an entry was not written by the target itself.

    A target that writes its start time writes it in all of its entries.
    """
    if before is None or before.started_ms is None:
        return
    if target.started_ms is None:
        raise ValueError(
            "the entry has no start time, but earlier entries of the target had"
            f" {before.started_ms}"
        )
