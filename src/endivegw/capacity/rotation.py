"""Decide whether a router asks the load balancer for new connections.

The balancer sends a caller to the same router again and again, so that one busy caller
can fill a small router while others are idle. Once the full router has left the
rotation, its callers' new connections go to other routers.
"""

from __future__ import annotations

from attrs import define, frozen

from endivegw.capacity.model import Headroom

__all__ = ["Rotation", "ZoneRouter"]

#: Share of the scarcest resource that callers ask for, from which on a router is full.
_FULL = 1.1

#: How long it must be full before it leaves: a burst ends sooner than the balancer
#: reacts.
_FULL_FOR_S = 0.3

#: How long it stays out. The callers that filled it come back with their next
#: connections, and wait for seconds until they have moved again. The time doubles if it
#: is full again soon after its return.
_OUT_S = 60.0
_MAX_OUT_S = 480.0
_RELAPSE_S = 6.0


@frozen
class ZoneRouter:
    """Hold what is known of another router of the same availability zone.

    :param headroom: None if the router states none.
    :param responsive: whether it reported recently.
    """

    vm: str
    headroom: Headroom | None
    responsive: bool = True

    @property
    def is_out(self) -> bool:
        """Return whether the load balancer sends no callers there."""
        stated_out = self.headroom is not None and not self.headroom.in_rotation
        return stated_out or not self.responsive


@define
class Rotation:
    """Track whether this router is in the rotation of its load balancer.

    Each router decides for itself from what the others last reported. A load balancer
    that finds fewer than half of a zone's routers ready uses all of them, so that more
    than half must stay. A busy caller may meet several small routers on its way to one
    that carries it.

    :ivar out_since_s: when the router left; None while it is in.
    """

    own_vm: str
    out_since_s: float | None = None
    _full_since_s: float | None = None
    _returned_s: float | None = None
    _out_s: float = _OUT_S

    @property
    def in_rotation(self) -> bool:
        """Return the current decision."""
        return self.out_since_s is None

    def update(
        self,
        offered: float,
        carried: Headroom,
        zone: list[ZoneRouter],
        now_s: float,
    ) -> bool:
        """Return whether the router is in the rotation from now on.

        :param offered: share of the scarcest resource that callers ask for.
        :param carried: what this router's admitted requests use. One other router must
            have room for it, since a caller moves as a whole.
        :param zone: the other routers of the zone.
        """
        if self.in_rotation:
            self._update_full(offered, now_s)
            if self._may_leave(carried, zone, now_s):
                self._leave(now_s)
        elif self._must_return(zone, now_s):
            self._return(now_s)
        return self.in_rotation

    def _update_full(self, offered: float, now_s: float) -> None:
        if offered < _FULL:
            self._full_since_s = None
        elif self._full_since_s is None:
            self._full_since_s = now_s

    def _may_leave(
        self, carried: Headroom, zone: list[ZoneRouter], now_s: float
    ) -> bool:
        if self._full_since_s is None or now_s - self._full_since_s < _FULL_FOR_S:
            return False
        out = sum(router.is_out for router in zone)
        return out < _max_out(len(zone) + 1) and _one_has_room(zone, carried)

    def _must_return(self, zone: list[ZoneRouter], now_s: float) -> bool:
        """Return whether the time is over, or too many routers are out.

        Routers that left at the same time do not know of each other; the last ones in
        the order of names return. A router whose link is full hears little of the
        others, and must not conclude from their silence that it is needed.
        """
        assert self.out_since_s is not None
        if now_s - self.out_since_s >= self._out_s:
            return True
        heard = [router for router in zone if router.responsive]
        if 2 * len(heard) < len(zone):
            return False
        if not has_room(heard, Headroom(0.0, 0.0)):
            return True
        before = sum(router.is_out and router.vm < self.own_vm for router in heard)
        return before >= _max_out(len(zone) + 1)

    def _leave(self, now_s: float) -> None:
        relapsed = (
            self._returned_s is not None and now_s - self._returned_s < _RELAPSE_S
        )
        self._out_s = min(_MAX_OUT_S, 2.0 * self._out_s) if relapsed else _OUT_S
        self.out_since_s = now_s
        self._full_since_s = None

    def _return(self, now_s: float) -> None:
        self.out_since_s = None
        self._returned_s = now_s


def has_room(zone: list[ZoneRouter], demand: Headroom) -> bool:
    """Return whether the routers in the rotation can carry a demand together."""
    rooms = [r.headroom for r in zone if r.headroom is not None and not r.is_out]
    link_bytes = sum(room.link_bytes for room in rooms)
    processor_s = sum(room.processor_s for room in rooms)
    return link_bytes > demand.link_bytes and processor_s > demand.processor_s


def _one_has_room(zone: list[ZoneRouter], demand: Headroom) -> bool:
    """Return whether one of the routers in the rotation can carry a demand."""
    return any(has_room([router], demand) for router in zone)


def _max_out(routers: int) -> int:
    """Return how many of a zone's routers may be out of the rotation."""
    return (routers - 1) // 2
