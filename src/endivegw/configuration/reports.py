"""Which daemon has which revision, as operators see it.

A thousand daemons that each wrote a row for each change would take 200 writes
a second from budgets for five seconds. Routers hear the revision of sidecars
with each heartbeat anyway; so each router writes one row, of its own revision
and those it heard, and a sidecar writes nothing.
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
    "LIVE_S",
    "daemon_revisions",
    "load_reports",
    "write_report",
]

_PARTITION = "config-report"

#: A daemon counts as live when a router wrote of it within this: two of the
#: minute-long intervals of unchanged reports and their spread.
LIVE_S = 150.0


@frozen
class AdoptionReport:
    """Hold what one router says.

    :param daemon: the router's name, which its replacement takes over.
    :param at_s: when it was written, in seconds since 1970.
    :param heard: revision by name of each daemon it heard of late.
    """

    daemon: str
    revision: ConfigRevision
    at_s: float
    heard: Mapping[str, ConfigRevision]


@frozen
class DaemonRevision:
    """Hold the last word on one daemon."""

    daemon: str
    revision: ConfigRevision
    at_s: float


async def write_report(
    table: TablePort, report: AdoptionReport, *, timeout_s: float
) -> Result[None]:
    """Write a router's report over its last one.

    A lost answer does no harm: the next report says more.
    """
    fields: dict[str, str | int] = {
        "revision": report.revision,
        "at_ms": int(report.at_s * 1000),
        "heard": json.dumps(dict(report.heard), separators=(",", ":")),
    }
    put = Put(RowKey(_PARTITION, report.daemon), fields, None)
    return await table.transact(Transaction((put,)), timeout_s=timeout_s)


async def load_reports(
    table: TablePort, *, timeout_s: float
) -> Result[tuple[AdoptionReport, ...]]:
    """Return all routers' reports, old ones too."""
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
    """Return the latest word on each live daemon, by name."""
    latest: dict[str, DaemonRevision] = {}
    for report in sorted(reports, key=lambda report: report.at_s):
        if now_s - report.at_s > LIVE_S:
            continue
        for daemon, revision in report.heard.items():
            latest[daemon] = DaemonRevision(daemon, revision, report.at_s)
    # A router's word on itself goes before what others heard of it.
    for report in reports:
        if now_s - report.at_s <= LIVE_S:
            latest[report.daemon] = DaemonRevision(
                report.daemon, report.revision, report.at_s
            )
    return tuple(sorted(latest.values(), key=lambda entry: entry.daemon))


def _parse(row: Row) -> AdoptionReport:
    heard = json.loads(str(row.fields["heard"]))
    return AdoptionReport(
        row.key.sort,
        ConfigRevision(int(row.fields["revision"])),
        int(row.fields["at_ms"]) / 1000,
        {str(name): ConfigRevision(int(value)) for name, value in heard.items()},
    )
