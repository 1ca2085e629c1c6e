"""Software versions that serve side by side, from the log lines of routers."""

from __future__ import annotations

from typing import Iterable

from attrs import frozen

from endivegw.telemetry.request_trace import LogLine

__all__ = ["ServedVersion", "side_by_side"]

_TARGET_CHANGED = 9112
_PROCESS_STARTED = 9120

#: Changes after which a target is no longer registered.
_GONE = frozenset({"removed", "replaced"})


@frozen
class ServedVersion:
    """Hold a version of a service of which targets are registered.

    :param since: time of the first line that names it.
    :param targets: number of its targets that are not leaving.
    """

    service: str
    software_version: str
    since: str
    targets: int


def side_by_side(lines: Iterable[LogLine]) -> list[ServedVersion]:
    """Return the versions of services that have several at the last line.

    :param lines: lines of any number of routers, those of each router in order.
    """
    since: dict[tuple[str, str], str] = {}
    by_router: dict[str, dict[str, tuple[str, str, bool]]] = {}
    for line in lines:
        targets = by_router.setdefault(line.vm, {})
        if line.event == _PROCESS_STARTED:
            targets.clear()
        if line.event != _TARGET_CHANGED or not line.fields.get("software_version"):
            continue
        target, change = str(line.fields["target"]), line.fields["change"]
        service = str(line.fields["service"])
        version = str(line.fields["software_version"])
        since[service, version] = min(line.at, since.get((service, version), line.at))
        if change in _GONE:
            targets.pop(target, None)
        else:
            targets[target] = service, version, change != "leaving"
    return _several(by_router.values(), since)


def _several(
    views: Iterable[dict[str, tuple[str, str, bool]]],
    since: dict[tuple[str, str], str],
) -> list[ServedVersion]:
    registered: dict[tuple[str, str], set[str]] = {}
    for view in views:
        for target, (service, version, serves) in view.items():
            found = registered.setdefault((service, version), set())
            if serves:
                found.add(target)
    services = [service for service, _ in registered]
    return [
        ServedVersion(service, version, since[service, version], len(targets))
        for (service, version), targets in sorted(registered.items())
        if services.count(service) > 1
    ]
