"""Ask other routers for permits to send requests to targets, and grant permits.

Each target has one router that grants the permits for it, the coordinator. See
:mod:`endivegw.decisions.send_permits`.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Awaitable, Callable

import anyio
from attrs import define, field

from endivegw.decisions import PermitRequest, Permits, SendSchedule
from endivegw.gossip.messages import Message, PermitQuery, PermitResponse
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.types import InstanceId, TargetName, TargetStart

__all__ = ["PermitExchange"]

#: Number of times that a query is sent, and the time until it is sent again: a round
#: trip between two regions.
_TRIES = 3
_RESEND_S = 0.05

#: Time for which a coordinator that did not answer is not queried.
_SILENT_S = 1.0

#: Share of its part of a limit that a router uses while it reaches no coordinator. The
#: coordinator may not know this yet and grant permits for the whole limit.
_OWN_SHARE = 0.5

#: Maximum number of queries that wait to be sent.
_MAX_QUEUED = 256

#: Maximum number of responses that are kept for queries sent again.
_MAX_RESPONSES = 1024

#: Maximum number of schedules; the ones that were not used for longest are dropped.
_MAX_SCHEDULES = 1024


@define
class _Query:
    request: PermitRequest
    number: int
    answered: anyio.Event = field(factory=anyio.Event)


class PermitExchange:
    """Query coordinators for permits, and grant permits as a coordinator.

    :param send: sends one message to a peer.
    :param on_permits: called with the answer to each request.
    """

    def __init__(
        self,
        own_id: InstanceId,
        peers: PeerTable,
        send: Callable[[PeerEntry, Message], Awaitable[None]],
        on_permits: Callable[[TargetName, int | None, Permits], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._own_id = own_id
        self._peers = peers
        self._send = send
        self._on_permits = on_permits
        self._clock = clock
        self._rng = rng
        self._numbers = 0
        self._queries: dict[int, _Query] = {}
        #: Sends that this router grants as the coordinator.
        self._schedules: dict[TargetStart, SendSchedule] = {}
        #: This router's own parts, for targets whose coordinator does not answer.
        self._parts: dict[TargetStart, SendSchedule] = {}
        #: The last response to each router's queries about a target.
        self._responses: OrderedDict[tuple[InstanceId, TargetStart], PermitResponse] = (
            OrderedDict()
        )
        self._silent_until_s: dict[str, float] = {}
        self._sender, self._receiver = anyio.create_memory_object_stream[_Query](
            _MAX_QUEUED
        )

    def request(self, request: PermitRequest) -> None:
        """Ask for permits; the answer may be passed on before this returns."""
        now_s = self._clock()
        coordinator = self._peers.coordinator(request.target, now_s)
        if coordinator is None:
            start = _start_of(request)
            self._answer(
                request, self._grant(start, request.limit.rate_per_s, request.sends)
            )
            return
        if self._silent_until_s.get(coordinator.vm, 0.0) > now_s:
            self._use_own_part(request)
            return
        self._numbers += 1
        query = _Query(request, self._numbers)
        try:
            self._sender.send_nowait(query)
        except anyio.WouldBlock:
            self._use_own_part(request)
            return
        self._queries[query.number] = query

    async def run(self) -> None:
        """Send queries until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for query in self._receiver:
                tasks.start_soon(self._query, query)

    def receive(self, response: PermitResponse) -> None:
        """Apply a response, unless its query was given up."""
        query = self._queries.pop(response.number, None)
        if query is not None:
            query.answered.set()
            self._answer(query.request, response.permits)

    def respond(self, query: PermitQuery) -> PermitResponse | None:
        """Return the response to another router's query.

        :returns: None if another router is the coordinator as far as this one knows.
        """
        target = TargetName(query.start.instance_id)
        if self._peers.coordinator(target, self._clock()) is not None:
            return None
        key = query.sender, query.start
        response = self._responses.get(key)
        if response is None or response.number != query.number:
            permits = self._grant(query.start, query.rate_per_s, query.sends)
            response = PermitResponse(self._own_id, query.number, permits)
            self._responses[key] = response
            self._responses.move_to_end(key)
        if len(self._responses) > _MAX_RESPONSES:
            self._responses.popitem(last=False)
        return response

    async def _query(self, query: _Query) -> None:
        request = query.request
        coordinator = self._peers.coordinator(request.target, self._clock())
        if coordinator is not None:
            message = PermitQuery(
                self._own_id,
                _start_of(request),
                query.number,
                request.limit.rate_per_s,
                request.sends,
            )
            for _ in range(_TRIES):
                await self._send(coordinator, message)
                with anyio.move_on_after(_RESEND_S):
                    await query.answered.wait()
                    return
            self._silent_until_s[coordinator.vm] = self._clock() + _SILENT_S
        if self._queries.pop(query.number, None) is not None:
            self._use_own_part(request)

    def _grant(self, start: TargetStart, rate_per_s: float, sends: int) -> Permits:
        """Assign sends to one of the routers that this one reaches, or to itself.

        Routers out of reach use their own parts, or another one grants permits to them.
        """
        now_s = self._clock()
        schedule = self._schedules.get(start)
        if schedule is None:
            schedule = SendSchedule(now_s + 1.0 / rate_per_s)
            _add_schedule(self._schedules, start, schedule)
        rate_per_s = schedule.lower_rate(rate_per_s, now_s)
        share = self._peers.reachable_share(now_s)
        if share <= 0.0:
            return Permits(0, 0.0, 0.0, _SILENT_S)
        return schedule.assign(rate_per_s * share, sends, now_s)

    def _use_own_part(self, request: PermitRequest) -> None:
        now_s = self._clock()
        start = _start_of(request)
        schedule = self._parts.get(start)
        part_per_s = request.limit.part_per_s * _OWN_SHARE
        if schedule is None:
            # The parts of many routers must not begin at the same time.
            first_s = now_s + self._rng.random() / part_per_s
            schedule = SendSchedule(first_s)
            _add_schedule(self._parts, start, schedule)
        self._answer(request, schedule.assign(part_per_s, request.sends, now_s))

    def _answer(self, request: PermitRequest, permits: Permits) -> None:
        self._on_permits(request.target, request.started_ms, permits)


def _start_of(request: PermitRequest) -> TargetStart:
    return TargetStart(InstanceId(request.target), request.started_ms)


def _add_schedule(
    schedules: dict[TargetStart, SendSchedule],
    start: TargetStart,
    schedule: SendSchedule,
) -> None:
    if len(schedules) >= _MAX_SCHEDULES:
        del schedules[min(schedules, key=lambda known: schedules[known].used_s)]
    schedules[start] = schedule
