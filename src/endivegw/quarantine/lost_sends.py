"""Join sends that were lost with the end of the target that had them. Pure state."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.types import InstanceId

__all__ = ["LostSends", "TargetStart"]

#: How far apart a lost send and the proof that its target ended may be: a target that
#: starts again at its address within it shows by its new name.
_JOIN_S = 10.0

#: Starts that are remembered; a fleet of 650 targets loses fewer at a time.
_MOST_STARTS = 1024


@frozen
class TargetStart:
    """Name one start of a target.

    :param started_ms: tells two starts under one ``instance_id`` apart; None where
        ``instance_id`` alone does.
    """

    instance_id: InstanceId
    started_ms: int | None


@define
class _Losses:
    address: str = ""
    ended_s: float | None = None
    lost: dict[Fingerprint, float] = field(factory=dict)


@define
class LostSends:
    """Remember for some seconds which requests were lost at which target.

    A connection that breaks proves nothing: the network resets some, and targets with
    too many connections do. Only those that are lost within seconds of their target's
    end were in progress there as it ended.
    """

    _starts: OrderedDict[TargetStart, _Losses] = field(factory=OrderedDict)

    def has_ended(self, start: TargetStart) -> bool:
        """Return whether a start is known to have ended."""
        losses = self._starts.get(start)
        return losses is not None and losses.ended_s is not None

    def lose(
        self, start: TargetStart, address: str, fingerprint: Fingerprint, now_s: float
    ) -> bool:
        """Note a lost send; return whether its target is known to have just ended."""
        losses = self._losses(start)
        losses.address = address
        if losses.ended_s is not None:
            return now_s - losses.ended_s <= _JOIN_S
        losses.lost[fingerprint] = now_s
        return False

    def end(self, start: TargetStart, now_s: float) -> list[Fingerprint]:
        """Note that a target ended; return the requests that were in progress there."""
        losses = self._losses(start)
        if losses.ended_s is not None:
            return []
        losses.ended_s = now_s
        found = [name for name, at_s in losses.lost.items() if now_s - at_s <= _JOIN_S]
        losses.lost.clear()
        return found

    def others_at(self, address: str, start: TargetStart) -> list[TargetStart]:
        """Return the starts that lost sends at an address where another one is now."""
        return [
            known
            for known, losses in self._starts.items()
            if losses.address == address and known != start and losses.ended_s is None
        ]

    def _losses(self, start: TargetStart) -> _Losses:
        losses = self._starts.setdefault(start, _Losses())
        self._starts.move_to_end(start)
        if len(self._starts) > _MOST_STARTS:
            self._starts.popitem(last=False)
        return losses
