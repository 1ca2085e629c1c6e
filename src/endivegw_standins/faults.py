"""Faults of the stand-in platform, adjustable while it runs."""

from __future__ import annotations

import random

from attrs import define, field

__all__ = ["Faults", "PlatformFaults"]


@define
class Faults:
    """Current faults of one service.

    :ivar outage: answer every call with 503 and without effect.
    :ivar unresponsive: drop every call, without effect or answer.
    :ivar latency_s: delay before each call takes effect.
    :ivar lost_answer_share: share of writes that take effect but are never answered.
    :ivar partitioned: client names and source addresses whose calls are dropped.
    """

    outage: bool = False
    unresponsive: bool = False
    latency_s: float = 0.0
    lost_answer_share: float = 0.0
    partitioned: set[str] = field(factory=set)
    _random: random.Random = field(factory=lambda: random.Random(1), repr=False)

    def loses_answer(self) -> bool:
        """Decide randomly whether the answer to a write is lost."""
        share = self.lost_answer_share
        return share > 0 and self._random.random() < share

    def drops_calls_of(self, client_name: str, address: str) -> bool:
        """Return whether a client's calls are dropped."""
        return (
            self.unresponsive
            or client_name in self.partitioned
            or address in self.partitioned
        )


@define
class PlatformFaults:
    """Faults of each platform service."""

    table: Faults = field(factory=Faults)
    objects: Faults = field(factory=Faults)
    vms: Faults = field(factory=Faults)
    weights: Faults = field(factory=Faults)
