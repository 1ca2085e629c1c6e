"""Count the starts of the engine beside a sidecar, by what it forgot."""

from __future__ import annotations

from attrs import define

from endivegw.types import InstanceId

__all__ = ["EngineStarts"]


@define
class EngineStarts:
    """Name the engine's start that a generation belongs to.

    Generations that one end of the engine broke name the same start, whichever of
    them is the first to find out.

    :param sidecar: this start of the sidecar.
    :ivar number: of the engine's start that runs now, as far as it is known.
    """

    sidecar: InstanceId
    number: int = 1

    def ended(self, number: int) -> str:
        """Note that a start has ended; return its name."""
        if number == self.number:
            self.number += 1
        return f"{self.sidecar}.{number}"
