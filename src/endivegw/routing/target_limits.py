"""Limits that targets state on the requests from all routers together."""

from __future__ import annotations

import math
from typing import Callable, Container

from attrs import define, field, frozen

from endivegw.types import TargetStart

__all__ = ["AppliedLimit", "LimitReport", "TargetLimits"]


@frozen
class LimitReport:
    """Report the limit of one start of a target, or its end.

    :param rate_per_s: requests per second from all routers; None if there is no limit.
    :param version: orders the reports about one start. Each router that observes a
        change reports it under the next version, so that a report which is delayed
        by the network does not revoke a later one.
    """

    start: TargetStart
    rate_per_s: float | None
    version: int

    def supersedes(self, other: LimitReport) -> bool:
        """Return whether this report replaces another.

        Of two reports with equal versions, the one with the lower limit holds.
        """
        if self.version != other.version:
            return self.version > other.version
        return _or_infinite(self.rate_per_s) < _or_infinite(other.rate_per_s)


@frozen
class AppliedLimit:
    """Hold the limit that a router applies to a target.

    :param ends_s: time from which no limit applies; None while the target states it.
    """

    rate_per_s: float
    ends_s: float | None = None


@define
class _Known:
    report: LimitReport
    #: Time at which an answer, or another router, last stated the limit.
    stated_s: float
    applied: AppliedLimit


@define
class TargetLimits:
    """Keep the newest limit of each target.

    Answers on different connections may overtake each other. An answer without a limit
    therefore ends the limit only if its request was sent after the last answer that
    stated one, and the same holds for an answer that raises the limit.

    :param end_delay_s: returns for how long to apply a limit after its end. It differs
        between routers, so that they do not all turn to the target at once.
    """

    end_delay_s: Callable[[], float]
    _known: dict[TargetStart, _Known] = field(factory=dict)

    def on_answer(
        self,
        start: TargetStart,
        rate_per_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> LimitReport | None:
        """Apply an answer of a target.

        :param rate_per_s: limit that the answer states; None if it states none.
        :param sent_s: time at which the request of this answer was sent.
        :returns: the report for the other routers; None if nothing changed.
        """
        known = self._known.get(start)
        before = known.report.rate_per_s if known is not None else None
        stated_s = known.stated_s if known is not None else 0.0
        if known is not None and rate_per_s is not None:
            known.stated_s = now_s
        if rate_per_s == before:
            return None
        if _or_infinite(rate_per_s) > _or_infinite(before) and sent_s <= stated_s:
            return None
        version = known.report.version + 1 if known is not None else 1
        report = LimitReport(start, rate_per_s, version)
        self._store(report, now_s)
        return report

    def on_report(self, report: LimitReport, now_s: float) -> bool:
        """Apply another router's report; return whether it is new."""
        known = self._known.get(report.start)
        if known is not None and not report.supersedes(known.report):
            return False
        self._store(report, now_s)
        return True

    def applied(self, start: TargetStart, now_s: float) -> AppliedLimit | None:
        """Return the limit of a start that applies now; None if there is none."""
        known = self._known.get(start)
        if known is None:
            return None
        ends_s = known.applied.ends_s
        return known.applied if ends_s is None or ends_s > now_s else None

    def retain(self, starts: Container[TargetStart]) -> None:
        """Remove the starts of targets that are no longer known."""
        for start in [start for start in self._known if start not in starts]:
            del self._known[start]

    def _store(self, report: LimitReport, now_s: float) -> None:
        before = self.applied(report.start, now_s)
        if report.rate_per_s is not None:
            limit = AppliedLimit(report.rate_per_s)
        elif before is not None:
            limit = AppliedLimit(before.rate_per_s, now_s + self.end_delay_s())
        else:
            limit = AppliedLimit(0.0, now_s)
        self._known[report.start] = _Known(report, now_s, limit)


def _or_infinite(rate_per_s: float | None) -> float:
    return math.inf if rate_per_s is None else rate_per_s
