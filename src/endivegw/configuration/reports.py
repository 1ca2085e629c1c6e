"""Adoption reports: which configuration revision each daemon has.

If a thousand daemons each wrote a row per change, they would take 200 writes per
second from budgets for five seconds. Routers receive the revisions of sidecars with
each heartbeat, so each router writes a single row with its own revision and those it
received, and sidecars write none.
"""

from __future__ import annotations

import json
from typing import Mapping

from attrs import frozen

from endivegw.results import Done, Result
from endivegw.services import Put, Row, RowKey, TablePort, Transaction
from endivegw.types import ConfigRevision

__all__ = [
    "AdoptionReport",
    "DaemonRevision",
    "LIVENESS_WINDOW_S",
    "daemon_revisions",
    "load_reports",
    "write_report",
]

_PARTITION = "config-report"

#: A daemon is live if it was reported within this time, in seconds. This covers two of
#: the one-minute intervals of unchanged reports with their jitter.
LIVENESS_WINDOW_S = 150.0


@frozen
class AdoptionReport:
    """Hold the adoption report of one router.

    :param daemon: the router's name, which its replacement inherits.
    :param at_s: when the report was written, in seconds since 1970.
    :param peer_revisions: revision of each daemon that the router received a message
        from recently, by name.
    """

    daemon: str
    revision: ConfigRevision
    at_s: float
    peer_revisions: Mapping[str, ConfigRevision]


@frozen
class DaemonRevision:
    """Hold the last reported revision of one daemon."""

    daemon: str
    revision: ConfigRevision
    at_s: float


async def write_report(
    table: TablePort, report: AdoptionReport, *, timeout_s: float
) -> Result[None]:
    """Write a router's report, replacing its previous one.

    A lost response is harmless, because the next report replaces this one.
    """
    fields: dict[str, str | int] = {
        "revision": report.revision,
        "at_ms": int(report.at_s * 1000),
        "heard": json.dumps(dict(report.peer_revisions), separators=(",", ":")),
    }
    put = Put(RowKey(_PARTITION, report.daemon), fields, None)
    return await table.transact(Transaction((put,)), timeout_s=timeout_s)


async def load_reports(
    table: TablePort, *, timeout_s: float
) -> Result[tuple[AdoptionReport, ...]]:
    """Return the reports of all routers, including outdated ones."""
    reports: list[AdoptionReport] = []
    after: str | None = None
    while True:
        page = await table.scan(_PARTITION, after=after, timeout_s=timeout_s)
        if not isinstance(page, Done):
            return page
        reports += [_parse(row) for row in page.value.rows]
        after = page.value.next_sort
        if after is None:
            return Done(tuple(reports))


def daemon_revisions(
    reports: tuple[AdoptionReport, ...], now_s: float
) -> tuple[DaemonRevision, ...]:
    """Return the last reported revision of each live daemon, ordered by name."""
    latest: dict[str, DaemonRevision] = {}
    for report in sorted(reports, key=lambda report: report.at_s):
        if now_s - report.at_s > LIVENESS_WINDOW_S:
            continue
        for daemon, revision in report.peer_revisions.items():
            latest[daemon] = DaemonRevision(daemon, revision, report.at_s)
    # A router's report on itself takes precedence over reports by other routers.
    for report in reports:
        if now_s - report.at_s <= LIVENESS_WINDOW_S:
            latest[report.daemon] = DaemonRevision(
                report.daemon, report.revision, report.at_s
            )
    return tuple(sorted(latest.values(), key=lambda entry: entry.daemon))


def _parse(row: Row) -> AdoptionReport:
    peer_revisions = json.loads(str(row.fields["heard"]))
    return AdoptionReport(
        row.key.sort,
        ConfigRevision(int(row.fields["revision"])),
        int(row.fields["at_ms"]) / 1000,
        {
            str(name): ConfigRevision(int(value))
            for name, value in peer_revisions.items()
        },
    )
