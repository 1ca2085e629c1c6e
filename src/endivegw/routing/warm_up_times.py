"""Until when targets warm up."""

from __future__ import annotations

from typing import Container

from attrs import define, field

from endivegw.types import InstanceId

__all__ = ["WarmUpTimes"]


@define
class WarmUpTimes:
    """Hold until when each target warms up.

    A target registers how long it warms up. Other sources, such as the end of an
    evacuation, may tell of a warm-up before the target's own entry does, so entries
    that follow can prolong it but not shorten it.
    """

    _registered_s: dict[InstanceId, float] = field(factory=dict)
    _minimum_s: dict[InstanceId, float] = field(factory=dict)

    def register(self, instance_id: InstanceId, ends_s: float) -> None:
        """Replace the end of a warm-up by that of a newer entry."""
        self._registered_s[instance_id] = ends_s

    def extend(self, instance_id: InstanceId, ends_s: float) -> None:
        """Set the earliest end of a warm-up."""
        known_s = self._minimum_s.get(instance_id, 0.0)
        self._minimum_s[instance_id] = max(known_s, ends_s)

    def retain(self, known: Container[InstanceId]) -> None:
        """Remove the targets that are no longer known."""
        for times_s in (self._registered_s, self._minimum_s):
            for instance_id in [name for name in times_s if name not in known]:
                del times_s[instance_id]

    def ends_s(self, instance_id: InstanceId) -> float:
        """Return when a target is warm; 0 if it never warmed up."""
        return max(
            self._registered_s.get(instance_id, 0.0),
            self._minimum_s.get(instance_id, 0.0),
        )
