"""Other routers that can say until when a router lived.

The limit of a router's use grows with time, so that it can go on without the store.
When it is killed, its successor reads the row seconds later and must count all that
the limit grew meanwhile, although the router was dead for most of it: in a kill with
a restart after 3.8 s that was a twentieth of a large account's budget. So the limit
grows only up to the last time that one of the row's witnesses acknowledged, and the
successor asks them for it. A router that reaches neither the store nor a witness
stops within the grace, and its callers are told to come back to another one.
"""

from __future__ import annotations

from attrs import define, field

from endivegw.types import InstanceId

__all__ = ["GRACE_MS", "Witnesses", "lived_until_ms"]

#: How far the limit grows beyond the last acknowledged time: two statements and
#: their answers may be lost before growth pauses.
GRACE_MS = 500.0


@define
class Witnesses:
    """Hold which routers are witnesses, and what they acknowledged.

    :ivar confirmed: those that the row in the store names.
    :ivar pending: those that a write without an answer names; None without one.
    """

    confirmed: tuple[InstanceId, ...] = ()
    pending: tuple[InstanceId, ...] | None = None
    _acknowledged_ms: dict[InstanceId, float] = field(factory=dict)

    def acknowledge(self, witness: InstanceId, clock_ms: float) -> None:
        """Take in that a router heard a statement made at a time."""
        if clock_ms > self._acknowledged_ms.get(witness, 0.0):
            self._acknowledged_ms[witness] = clock_ms

    def plan(self, witnesses: tuple[InstanceId, ...]) -> None:
        """Note whom the next write names."""
        self.pending = witnesses
        kept = {*self.confirmed, *witnesses}
        acknowledged = self._acknowledged_ms
        self._acknowledged_ms = {
            name: acknowledged[name] for name in kept if name in acknowledged
        }

    def commit(self) -> None:
        """Note that the write took effect."""
        if self.pending is not None:
            self.confirmed = self.pending
        self.pending = None

    def void(self) -> None:
        """Note that the write never takes effect."""
        self.pending = None

    def named(self) -> tuple[InstanceId, ...]:
        """Return all routers whose word may count."""
        return tuple(dict.fromkeys(self.confirmed + (self.pending or ())))

    def reach_ms(self, store_ms: float) -> float:
        """Return until when limits have grown, on the store's clock."""
        reach = self._reach_ms(self.confirmed, store_ms)
        if self.pending is not None:
            reach = min(reach, self._reach_ms(self.pending, store_ms))
        return reach

    def _reach_ms(self, witnesses: tuple[InstanceId, ...], store_ms: float) -> float:
        if not witnesses:
            return store_ms
        acknowledged = self._acknowledged_ms
        last = max(acknowledged.get(name, 0.0) for name in witnesses)
        return min(store_ms, last + GRACE_MS)


def lived_until_ms(
    witnesses: tuple[InstanceId, ...],
    heard_ms: dict[InstanceId, float],
    store_ms: float,
) -> float:
    """Return until when a dead router's limits may have grown.

    :param heard_ms: the last time that each witness heard from it, for those that
        answered; the word of all is needed, since any may have heard the last.
    :param store_ms: now.
    """
    if not witnesses or any(name not in heard_ms for name in witnesses):
        return store_ms
    return min(store_ms, max(heard_ms[name] for name in witnesses) + GRACE_MS)
