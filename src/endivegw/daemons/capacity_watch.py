"""Measure a router's load, and apply what its machine can carry."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.capacity import (
    AnswerSize,
    CapacityGate,
    Headroom,
    LoadSample,
    RequestSizes,
    Rotation,
    RouterCapacity,
    ZoneRouter,
    has_room,
)
from endivegw.results import Refused
from endivegw.tcp_stream import TrafficMeter
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import ClientAccountName, Priority

__all__ = ["CapacityWatch"]

#: Interval of the samples of the router's load.
_SAMPLE_S = 0.1

#: How long after it left the rotation a router closes callers' connections. The load
#: balancer checks once a second and reacts to the second failure; most callers that
#: come back before would be sent here again.
_CLOSE_AFTER_S = 1.0

#: Share of the limit on what is held from which on it is counted again in each sample,
#: so that the readers that make progress are known before any must be closed.
_UPDATED_SHARE = 0.5

_NO_DEMAND = Headroom(0.0, 0.0)


class CapacityWatch:
    """Admit requests and stay in the rotation as long as the machine carries its load.

    :param zone_routers: returns the other routers of the availability zone.
    :param meter: counts the router's connections and what is held for them.
    """

    def __init__(
        self,
        own_vm: str,
        capacity: RouterCapacity,
        zone_routers: Callable[[], list[ZoneRouter]],
        meter: TrafficMeter,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self.gate = CapacityGate(capacity)
        self._rotation = Rotation(own_vm)
        self._sizes = RequestSizes()
        self._zone_routers = zone_routers
        self._meter = meter
        self._max_held_bytes = capacity.max_held_bytes
        meter.memory.on_full = self._limit_held_bytes
        self.clock = clock
        self._log = log

    @property
    def in_rotation(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return self._rotation.in_rotation

    @property
    def moves_callers(self) -> bool:
        """Return whether callers should open new connections, at other routers."""
        out_since_s = self._rotation.out_since_s
        return out_since_s is not None and (
            self.clock() - out_since_s >= _CLOSE_AFTER_S
        )

    def admit(
        self,
        account: ClientAccountName,
        priority: Priority,
        route: str,
        is_stream: bool,
        request_bytes: int,
    ) -> Refused | None:
        """Take on a request, or return why it is refused."""
        need = self._sizes.need(route, is_stream, request_bytes)
        return self.gate.admit(account, priority, need, self.clock())

    def learn(self, route: str, events_sent: int, body_bytes: int) -> None:
        """Add the size of a complete answer."""
        self._sizes.learn(route, AnswerSize(events_sent, body_bytes))

    def headroom(self) -> Headroom:
        """Return what the router can carry beyond its present load."""
        return self.gate.headroom(self.clock(), self.in_rotation)

    async def run(self) -> None:
        """Sample the load, and decide on the rotation, until cancelled."""
        while True:
            due_s = self.clock() + _SAMPLE_S
            await anyio.sleep(_SAMPLE_S)
            now_s = self.clock()
            delay_s = max(0.0, now_s - due_s)
            self.gate.record(LoadSample(delay_s, self._meter.open_connections), now_s)
            self._limit_held_bytes()
            self._update_rotation(now_s)

    def _limit_held_bytes(self) -> None:
        """Close the slowest readers while too much is held for all of them.

        The target of a closed reader's stream stops generating.
        """
        meter = self._meter
        if meter.held_bytes > self._max_held_bytes * _UPDATED_SHARE:
            meter.update()
        while meter.blocked and (
            meter.held_bytes > self._max_held_bytes or meter.memory.is_exceeded
        ):
            slowest = next(iter(meter.blocked))
            self._log.emit(
                events.READER_CLOSED,
                held_bytes=meter.held_bytes,
                limit_bytes=int(self._max_held_bytes),
                blocked=len(meter.blocked),
            )
            slowest.abort()

    def _update_rotation(self, now_s: float) -> None:
        zone = self._zone_routers()
        self.gate.peers_have_room = has_room(zone, _NO_DEMAND)
        was_in_rotation = self.in_rotation
        offered = self.gate.offered(now_s)
        carried = self.gate.carried(now_s)
        if self._rotation.update(offered, carried, zone, now_s) != was_in_rotation:
            self._log.emit(
                events.ROTATION_CHANGED,
                in_rotation=self.in_rotation,
                offered=round(offered, 3),
                out=sum(router.is_out for router in zone),
                routers=len(zone) + 1,
            )
