"""Evacuated zones and targets that get few requests, from the log lines of routers."""

from __future__ import annotations

from typing import Iterable, Mapping

from attrs import define, frozen

from endivegw.telemetry.request_trace import LogLine

__all__ = ["TargetLimit", "current_limits"]

_EVACUATED_ZONE = "evacuated zone"
_WARMING_UP = "warming up"
_LIMITED = "limited"

_TARGET_WARMING_UP = 9117
_ZONE_CHANGED = 9118
_LIMIT_CHANGED = 9125
_PROCESS_STARTED = 9120


@frozen
class TargetLimit:
    """Hold why targets get no requests, or few of them.

    :param kind: ``evacuated zone``, ``warming up`` or ``limited``.
    :param name: the zone or the target.
    :param since: time of the first line that says so.
    :param routers: number of routers that apply the limit.
    """

    kind: str
    name: str
    since: str
    routers: int


@define
class _Limit:
    """When a router began to apply a limit, and when the limit ends by itself."""

    since: str
    ends_s: float | None = None


def current_limits(lines: Iterable[LogLine]) -> list[TargetLimit]:
    """Return the limits in force at the last line, by kind and name.

    :param lines: lines of any number of routers, those of each router in order.
    """
    by_router: dict[str, dict[tuple[str, str], _Limit]] = {}
    last_s = 0.0
    for line in lines:
        last_s = max(last_s, line.at_s)
        limits = by_router.setdefault(line.vm, {})
        if line.event == _PROCESS_STARTED:
            limits.clear()
        elif line.event == _ZONE_CHANGED:
            _apply_zone(limits, line)
        elif line.event == _TARGET_WARMING_UP:
            ends_s = line.at_s + float(line.fields["left_s"])
            key = _WARMING_UP, str(line.fields["target"])
            limits[key] = _Limit(line.at, ends_s)
        elif line.event == _LIMIT_CHANGED:
            key = _LIMITED, str(line.fields["target"])
            if line.fields["limit_per_s"] is None:
                limits.pop(key, None)
            else:
                limits.setdefault(key, _Limit(line.at))
    return _merge(by_router, last_s)


def _apply_zone(limits: dict[tuple[str, str], _Limit], line: LogLine) -> None:
    key = _EVACUATED_ZONE, str(line.fields["availability_zone"])
    if line.fields["evacuated"]:
        limits[key] = _Limit(line.at)
    else:
        limits.pop(key, None)


def _merge(
    by_router: Mapping[str, Mapping[tuple[str, str], _Limit]], last_s: float
) -> list[TargetLimit]:
    """Return each limit once, with the number of routers that apply it."""
    since: dict[tuple[str, str], list[str]] = {}
    for limits in by_router.values():
        for key, limit in limits.items():
            if limit.ends_s is None or limit.ends_s > last_s:
                since.setdefault(key, []).append(limit.since)
    return [
        TargetLimit(kind, name, min(times), len(times))
        for (kind, name), times in sorted(since.items())
    ]
