"""Match lost sends with the termination of their target. The module does no I/O."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field

from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.types import TargetStart

__all__ = ["LostSends", "TargetStart"]

#: Maximum seconds between a lost send and the proof that its target terminated. A
#: target that restarts at its address within this time is recognized by its new
#: instance id.
_MATCH_WINDOW_S = 10.0

#: Number of starts that are remembered; a fleet of 650 targets loses fewer at a time.
_MAX_STARTS = 1024


@define
class _Losses:
    address: str = ""
    terminated_s: float | None = None
    lost: dict[Fingerprint, float] = field(factory=dict)


@define
class LostSends:
    """Remember for some seconds which requests lost their connection to which target.

    A broken connection alone proves nothing, because the network and targets with too
    many connections reset some. Only requests lost within seconds of the termination of
    their target were in progress there when it terminated.
    """

    _starts: OrderedDict[TargetStart, _Losses] = field(factory=OrderedDict)

    def has_terminated(self, start: TargetStart) -> bool:
        """Return whether the target is known to have terminated."""
        losses = self._starts.get(start)
        return losses is not None and losses.terminated_s is not None

    def record_loss(
        self, start: TargetStart, address: str, fingerprint: Fingerprint, now_s: float
    ) -> bool:
        """Record a lost send; return whether its target has just terminated."""
        losses = self._losses(start)
        losses.address = address
        if losses.terminated_s is not None:
            return now_s - losses.terminated_s <= _MATCH_WINDOW_S
        losses.lost[fingerprint] = now_s
        return False

    def record_termination(self, start: TargetStart, now_s: float) -> list[Fingerprint]:
        """Record a termination; return the requests that were in progress there."""
        losses = self._losses(start)
        if losses.terminated_s is not None:
            return []
        losses.terminated_s = now_s
        found = [
            name
            for name, at_s in losses.lost.items()
            if now_s - at_s <= _MATCH_WINDOW_S
        ]
        losses.lost.clear()
        return found

    def other_starts_at(self, address: str, start: TargetStart) -> list[TargetStart]:
        """Return starts with lost sends at an address that another start now uses."""
        return [
            known
            for known, losses in self._starts.items()
            if losses.address == address
            and known != start
            and losses.terminated_s is None
        ]

    def _losses(self, start: TargetStart) -> _Losses:
        losses = self._starts.setdefault(start, _Losses())
        self._starts.move_to_end(start)
        if len(self._starts) > _MAX_STARTS:
            self._starts.popitem(last=False)
        return losses
