"""Faults of the stand-in platform, settable while it runs."""

from __future__ import annotations

import random

from attrs import define, field

__all__ = ["Faults", "PlatformFaults"]


@define
class Faults:
    """Say how one service misbehaves now.

    :ivar outage: every call is answered with 503 and has no effect.
    :ivar silent: every call is swallowed: no effect and never an answer.
    :ivar latency_s: added before each call takes effect.
    :ivar lost_answer_share: share of writes that take effect and are never
        answered.
    :ivar cut_off: client names and source addresses whose calls are swallowed.
    """

    outage: bool = False
    silent: bool = False
    latency_s: float = 0.0
    lost_answer_share: float = 0.0
    cut_off: set[str] = field(factory=set)
    _random: random.Random = field(factory=lambda: random.Random(1), repr=False)

    def loses_answer(self) -> bool:
        """Draw whether the answer to a write gets lost."""
        share = self.lost_answer_share
        return share > 0 and self._random.random() < share

    def swallows(self, client_name: str, address: str) -> bool:
        """Return whether a caller hears nothing from the service."""
        return self.silent or client_name in self.cut_off or address in self.cut_off


@define
class PlatformFaults:
    """Hold the faults of each service."""

    table: Faults = field(factory=Faults)
    objects: Faults = field(factory=Faults)
    vms: Faults = field(factory=Faults)
    weights: Faults = field(factory=Faults)
