"""The registered targets, with protection against registry outages."""

from __future__ import annotations

from typing import Iterable

from attrs import define, field

from endivegw.routing.model import DirectTarget
from endivegw.types import InstanceId

__all__ = ["FleetView"]

#: Time after the registry's return within which running targets have renewed entries
#: that expired during the outage. Targets still missing then have terminated.
RENEWAL_GRACE_S = 1.9


@define
class FleetView:
    """Hold the registered targets.

    After an outage of the registry, entries of running targets are missing because the
    targets could not renew them. Removing these targets at once would leave the router
    without any when the registry returns; keeping them forever would send requests to
    terminated targets. Entries that are missing after an outage are therefore retained
    for :data:`RENEWAL_GRACE_S`.

    :ivar registry_unavailable: whether the registry does not respond.
    :ivar registry_recovered_s: time of the first response after an outage; None before
        any outage.
    """

    targets: dict[InstanceId, DirectTarget] = field(factory=dict)
    registry_unavailable: bool = False
    registry_recovered_s: float | None = None
    _missing: dict[InstanceId, float] = field(factory=dict)

    def on_registry_unavailable(self) -> None:
        """Record that the registry does not respond."""
        self.registry_unavailable = True

    def on_registry_response(self, now_s: float) -> None:
        """Record a response of the registry."""
        if self.registry_unavailable:
            self.registry_unavailable = False
            self.registry_recovered_s = now_s

    def put(self, target: DirectTarget) -> None:
        """Add or replace a target's entry."""
        self.targets[target.instance_id] = target
        self._missing.pop(target.instance_id, None)

    def remove(self, instance_id: InstanceId, now_s: float) -> None:
        """Remove a target whose entry was removed.

        After an outage of the registry, it is retained until the grace period ends.
        """
        if instance_id not in self.targets:
            return
        if self._within_renewal_grace(now_s):
            assert self.registry_recovered_s is not None
            self._missing.setdefault(
                instance_id, self.registry_recovered_s + RENEWAL_GRACE_S
            )
            return
        del self.targets[instance_id]

    def drop(self, instance_id: InstanceId) -> None:
        """Remove a target at once, whose entry exists but must not be used."""
        self.targets.pop(instance_id, None)
        self._missing.pop(instance_id, None)

    def usable(self) -> list[DirectTarget]:
        """Return the targets that may get requests.

        If most targets state when they started, an entry that does not is from another
        writer. No target is known to run at its address, and each request sent there
        costs its caller an attempt.
        """
        found = list(self.targets.values())
        stating = [target for target in found if target.started_ms is not None]
        return stating if 2 * len(stating) > len(found) else found

    def replace(self, targets: Iterable[DirectTarget], now_s: float) -> None:
        """Apply a full listing of the registry."""
        listed = {target.instance_id: target for target in targets}
        for instance_id in list(self.targets):
            if instance_id not in listed:
                self.remove(instance_id, now_s)
        for target in listed.values():
            self.put(target)

    def expire_missing(self, now_s: float) -> bool:
        """Remove targets whose grace period ended; return whether there were any."""
        due = [key for key, due_s in self._missing.items() if now_s >= due_s]
        for instance_id in due:
            del self._missing[instance_id]
            self.targets.pop(instance_id, None)
        return bool(due)

    def _within_renewal_grace(self, now_s: float) -> bool:
        return (
            self.registry_recovered_s is not None
            and now_s < self.registry_recovered_s + RENEWAL_GRACE_S
        )
