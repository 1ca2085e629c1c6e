"""Which software versions of a service have served lately. The module does no I/O."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["VersionHistory", "VersionSeen"]

#: Maximum number of versions of one service that are remembered after they are gone.
_MAX_PAST_VERSIONS = 64


@frozen
class VersionSeen:
    """Report that targets of a service run a software version."""

    service: str
    software_version: str


@define
class _Service:
    registered: frozenset[str] = frozenset()
    #: Versions that are no longer registered, with the last time at which they were.
    past_s: dict[str, float] = field(factory=dict)


@define
class VersionHistory:
    """Hold the versions of each service that may have begun a stream.

    :param retention_s: seconds after a version is gone during which callers may resume
        its streams.
    """

    retention_s: float
    _services: dict[str, _Service] = field(factory=dict)

    def register(
        self, name: str, versions: frozenset[str], now_s: float
    ) -> frozenset[str] | None:
        """Apply the versions of a service's registered targets.

        :returns: the versions that are new here; None if nothing changed.
        """
        service = self._services.setdefault(name, _Service())
        if versions == service.registered:
            return None
        new = versions - service.registered - service.past_s.keys()
        for version in service.registered - versions:
            self._add_past(service, version, now_s)
        for version in versions:
            service.past_s.pop(version, None)
        service.registered = versions
        return new

    def record(self, seen: VersionSeen, last_s: float) -> bool:
        """Record a version that others know; return whether it is new here.

        :param last_s: last time at which the version is known to have been registered.
        """
        service = self._services.setdefault(seen.service, _Service())
        version = seen.software_version
        if version in service.registered:
            return False
        is_new = version not in service.past_s
        self._add_past(service, version, max(last_s, service.past_s.get(version, 0.0)))
        return is_new

    def versions(self, service: str, now_s: float) -> dict[str, float | None]:
        """Return the versions of a service that may have begun streams.

        :returns: by version the last time at which it was registered, None for those
            that are.
        """
        known = self._services.get(service)
        if known is None:
            return {}
        found: dict[str, float | None] = {}
        for version, last_s in list(known.past_s.items()):
            if now_s - last_s < self.retention_s:
                found[version] = last_s
            else:
                del known.past_s[version]
        return found | dict.fromkeys(known.registered)

    def sole_version(self, service: str, now_s: float) -> str | None:
        """Return the only version of a service, None if there may be another one."""
        match list(self.versions(service, now_s).items()):
            case [(version, None)]:
                return version
        return None

    def services(self) -> list[str]:
        """Return the known services."""
        return list(self._services)

    def _add_past(self, service: _Service, version: str, last_s: float) -> None:
        service.past_s[version] = last_s
        if len(service.past_s) > _MAX_PAST_VERSIONS:
            del service.past_s[min(service.past_s, key=service.past_s.__getitem__)]
