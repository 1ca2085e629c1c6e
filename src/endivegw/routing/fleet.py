"""The targets as a router believes in them, through outages of their registry."""

from __future__ import annotations

from typing import Iterable

from attrs import define, field

from endivegw.routing.model import DirectTarget
from endivegw.types import InstanceId

__all__ = ["FleetView"]

#: Entries that lapsed while the registry was away are back this long after its
#: return, where the target lives; what is missing then is gone.
RETURN_S = 1.9


@define
class FleetView:
    """Hold the registered targets.

    A registry that was away forgets targets that live: they could not renew
    their entries. To believe it at once would leave a router without targets
    in the moment of its return; to go on without end would send work to
    targets that are gone.

    :ivar back_at_s: when the registry was heard again after it was away.
    """

    targets: dict[InstanceId, DirectTarget] = field(factory=dict)
    away: bool = False
    back_at_s: float | None = None
    _missing: dict[InstanceId, float] = field(factory=dict)

    def registry_lost(self) -> None:
        """Note that the registry does not answer."""
        self.away = True

    def registry_heard(self, now_s: float) -> None:
        """Note an answer of the registry."""
        if self.away:
            self.away = False
            self.back_at_s = now_s

    def put(self, target: DirectTarget) -> None:
        """Take in a target's entry."""
        self.targets[target.instance_id] = target
        self._missing.pop(target.instance_id, None)

    def remove(self, instance_id: InstanceId, now_s: float) -> None:
        """Take in that an entry is gone."""
        if instance_id not in self.targets:
            return
        if self._just_back(now_s):
            assert self.back_at_s is not None
            self._missing.setdefault(instance_id, self.back_at_s + RETURN_S)
            return
        del self.targets[instance_id]

    def drop(self, instance_id: InstanceId) -> None:
        """Forget a target at once: its entry is there and names none to use."""
        self.targets.pop(instance_id, None)
        self._missing.pop(instance_id, None)

    def usable(self) -> list[DirectTarget]:
        """Return the targets that may get requests.

        Where most targets say when they started, an entry that doesn't is another
        writer's: no target is known to stand behind its address, and each request
        sent there costs its caller an attempt.
        """
        found = list(self.targets.values())
        stating = [target for target in found if target.started_ms is not None]
        return stating if 2 * len(stating) > len(found) else found

    def replace(self, targets: Iterable[DirectTarget], now_s: float) -> None:
        """Take in a full listing."""
        listed = {target.instance_id: target for target in targets}
        for instance_id in list(self.targets):
            if instance_id not in listed:
                self.remove(instance_id, now_s)
        for target in listed.values():
            self.put(target)

    def settle(self, now_s: float) -> bool:
        """Drop what stayed missing; return whether anything was dropped."""
        due = [key for key, due_s in self._missing.items() if now_s >= due_s]
        for instance_id in due:
            del self._missing[instance_id]
            self.targets.pop(instance_id, None)
        return bool(due)

    def _just_back(self, now_s: float) -> bool:
        return self.back_at_s is not None and now_s < self.back_at_s + RETURN_S
