"""The faults of an exercise, one after the other and some together."""

from __future__ import annotations

import time
import uuid
from typing import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from endivegw.budgets import top_up
from endivegw.commands.changes import Operation
from endivegw.commands.target import drain_target, resume_target
from endivegw.dev.fleet import DevFleet
from endivegw.dev.oracle import Oracle, SeenTopUp
from endivegw.exceptions import PlatformError
from endivegw.results import Done

__all__ = ["FaultPlan", "FaultRunner"]

_DRAINED_TARGET = "engine-2"
_SLOW_TARGET = "engine-1"
_SLOW_FACTOR = 8.0
_KILLED = "engine-3"
_LOST_ANSWER_SHARE = 0.3
_TOP_UP_TOKENS = 20_000
_TIMEOUT_S = 5.0


@frozen
class FaultPlan:
    """Say when each fault begins and ends, as shares of the exercise's time.

    The router is killed while streams are open and is back later; the table is
    away while a killed router's callers are still retrying; the cut router's
    account is topped up meanwhile. A slow target, and a sidecar that is killed
    with work running, fall into the other faults' time.
    """

    router_killed: tuple[float, float] = (0.12, 0.25)
    table_away: tuple[float, float] = (0.30, 0.48)
    router_cut_off: tuple[float, float] = (0.52, 0.66)
    top_up_at: float = 0.58
    target_drained: tuple[float, float] = (0.70, 0.80)
    answers_lost: tuple[float, float] = (0.78, 0.95)
    target_slow: tuple[float, float] = (0.36, 0.62)
    sidecar_killed: tuple[float, float] = (0.84, 0.90)


@define
class FaultRunner:
    """Bring the faults about while the load runs.

    :ivar log: what was done and when, for the report.
    """

    fleet: DevFleet
    oracle: Oracle
    tasks: TaskGroup
    exercise_s: float
    plan: FaultPlan = FaultPlan()
    log: list[str] = field(factory=list)
    _began_s: float = field(factory=time.monotonic)

    async def run(self) -> None:
        """Run every fault of the plan; return when the last one has ended."""
        plan = self.plan
        async with anyio.create_task_group() as faults:
            faults.start_soon(self._between, plan.router_killed, self._kill_router)
            faults.start_soon(self._between, plan.table_away, self._table_away)
            faults.start_soon(self._between, plan.router_cut_off, self._cut_off)
            faults.start_soon(self._top_up)
            faults.start_soon(self._between, plan.target_drained, self._drain)
            faults.start_soon(self._between, plan.answers_lost, self._lose_answers)
            faults.start_soon(self._between, plan.target_slow, self._slow_target)
            faults.start_soon(self._between, plan.sidecar_killed, self._kill_sidecar)

    async def _between(
        self,
        span: tuple[float, float],
        fault: Callable[[bool], Awaitable[None]],
    ) -> None:
        await self._until(span[0])
        await fault(True)
        await self._until(span[1])
        await fault(False)

    async def _until(self, share: float) -> None:
        at_s = self._began_s + share * self.exercise_s
        await anyio.sleep(max(0.0, at_s - time.monotonic()))

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._began_s:.1f} s: {text}")

    async def _kill_router(self, begins: bool) -> None:
        if begins:
            router = self.fleet.routers[0]
            self._note(
                f"router 1 killed with {router.router.in_progress} open requests"
            )
            router.kill()
            self.fleet.routers.remove(router)
            return
        await self.fleet.start_router(self.tasks, 1, self.fleet.http_ports[0])
        self._note("router 1 started anew")

    async def _table_away(self, begins: bool) -> None:
        self.fleet.platform.faults.table.outage = begins
        self._note(f"table {'away' if begins else 'back'}")

    async def _cut_off(self, begins: bool) -> None:
        faults = self.fleet.platform.faults.table
        router = next(r for r in self.fleet.routers if r.number == 2)
        name = router.router.instance_id
        if begins:
            faults.cut_off.add(name)
        else:
            faults.cut_off.discard(name)
        self._note(f"router 2 {'cut off from' if begins else 'reaches'} the table")

    async def _top_up(self) -> None:
        await self._until(self.plan.top_up_at)
        account = self.fleet.accounts[1]
        result = await top_up(
            self.fleet.platform.table,
            account.budget,
            uuid.uuid4().hex,
            _TOP_UP_TOKENS,
            timeout_s=_TIMEOUT_S,
            now_s=time.time(),
        )
        if not isinstance(result, Done):
            raise PlatformError(f"the top-up failed: {result}")
        seen = SeenTopUp(account.client_account, _TOP_UP_TOKENS, time.monotonic())
        self.oracle.top_ups.append(seen)
        self._note(f"{account.client_account} topped up by {_TOP_UP_TOKENS}")

    async def _drain(self, begins: bool) -> None:
        operation = Operation(
            uuid.uuid4().hex, "exercise", time.time(), timeout_s=_TIMEOUT_S
        )
        change = drain_target if begins else resume_target
        result = await change(self.fleet.platform.table, operation, _DRAINED_TARGET)
        if not isinstance(result, Done):
            raise PlatformError(f"the target was not changed: {result}")
        self._note(f"{_DRAINED_TARGET} {'drained' if begins else 'resumed'}")

    async def _slow_target(self, begins: bool) -> None:
        factor = _SLOW_FACTOR if begins else 1.0
        self.fleet.engines[_SLOW_TARGET].knobs.slow_factor = factor
        self._note(f"{_SLOW_TARGET} {factor:g} times as slow")

    async def _kill_sidecar(self, begins: bool) -> None:
        sidecar = next(s for s in self.fleet.sidecars if s.target.name == _KILLED)
        if begins:
            sidecar.kill()
            self._note(f"the sidecar of {_KILLED} killed")
            return
        self.fleet.sidecars.remove(sidecar)
        await self.fleet.start_sidecar(
            self.tasks, sidecar.number, sidecar.target, sidecar.url
        )
        self._note(f"the sidecar of {_KILLED} started anew")

    async def _lose_answers(self, begins: bool) -> None:
        share = _LOST_ANSWER_SHARE if begins else 0.0
        self.fleet.platform.faults.table.lost_answer_share = share
        self._note(f"{share:.0%} of the table's answers to writes are lost")
