"""Number the starts of the engine beside a sidecar.

The sidecar sees that an engine restarted when it no longer knows a generation.
"""

from __future__ import annotations

from attrs import define

from endivegw.types import InstanceId

__all__ = ["EngineStarts"]


@define
class EngineStarts:
    """Name the engine's start that a generation belongs to.

    All generations that were broken by one termination of the engine report the
    same start, whichever of them detects the termination first.

    :param sidecar: instance id of this sidecar process.
    :ivar number: number of the engine's latest known start.
    """

    sidecar: InstanceId
    number: int = 1

    def record_termination(self, number: int) -> str:
        """Record that a start has terminated; return the name of that start."""
        if number == self.number:
            self.number += 1
        return f"{self.sidecar}.{number}"
