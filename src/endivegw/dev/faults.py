"""Fault injection of the exercise, with sequential and overlapping faults."""

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
from endivegw.dev.oracle import Oracle, RecordedTopUp
from endivegw.exceptions import PlatformError
from endivegw.results import Done

__all__ = ["FaultPlan", "FaultRunner"]

_DRAINED_TARGET = "engine-2"
_SLOW_TARGET = "engine-1"
_SLOW_FACTOR = 8.0
_KILLED_TARGET = "engine-3"
_LOST_ANSWER_SHARE = 0.3
_TOP_UP_TOKENS = 20_000
_TIMEOUT_S = 5.0


@frozen
class FaultPlan:
    """Start and end of each fault, as shares of the exercise's duration.

    A router is killed while streams are open and restarts later. The table is
    unavailable while callers of the killed router still retry. An account is topped up
    while a router is partitioned from the table. The slow target, and the sidecar that
    is killed with work in progress, overlap with the other faults.
    """

    router_killed: tuple[float, float] = (0.12, 0.25)
    table_outage: tuple[float, float] = (0.30, 0.48)
    router_partitioned: tuple[float, float] = (0.52, 0.66)
    top_up_at: float = 0.58
    target_drained: tuple[float, float] = (0.70, 0.80)
    answers_lost: tuple[float, float] = (0.78, 0.95)
    target_slow: tuple[float, float] = (0.36, 0.62)
    sidecar_killed: tuple[float, float] = (0.84, 0.90)


@define
class FaultRunner:
    """Inject the faults while the load runs.

    :ivar log: each injected fault with its time, for the report.
    """

    fleet: DevFleet
    oracle: Oracle
    tasks: TaskGroup
    exercise_s: float
    plan: FaultPlan = FaultPlan()
    log: list[str] = field(factory=list)
    _started_s: float = field(factory=time.monotonic)

    async def run(self) -> None:
        """Inject every fault of the plan; return when the last one has ended."""
        plan = self.plan
        async with anyio.create_task_group() as faults:
            faults.start_soon(
                self._inject_between, plan.router_killed, self._kill_router
            )
            faults.start_soon(self._inject_between, plan.table_outage, self._fail_table)
            faults.start_soon(
                self._inject_between, plan.router_partitioned, self._partition_router
            )
            faults.start_soon(self._top_up)
            faults.start_soon(self._inject_between, plan.target_drained, self._drain)
            faults.start_soon(
                self._inject_between, plan.answers_lost, self._lose_answers
            )
            faults.start_soon(self._inject_between, plan.target_slow, self._slow_target)
            faults.start_soon(
                self._inject_between, plan.sidecar_killed, self._kill_sidecar
            )

    async def _inject_between(
        self,
        span: tuple[float, float],
        fault: Callable[[bool], Awaitable[None]],
    ) -> None:
        await self._sleep_until(span[0])
        await fault(True)
        await self._sleep_until(span[1])
        await fault(False)

    async def _sleep_until(self, share: float) -> None:
        at_s = self._started_s + share * self.exercise_s
        await anyio.sleep(max(0.0, at_s - time.monotonic()))

    def _record(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._started_s:.1f} s: {text}")

    async def _kill_router(self, active: bool) -> None:
        if active:
            router = self.fleet.routers[0]
            self._record(
                f"router 1 killed with {router.router.in_progress} open requests"
            )
            router.kill()
            self.fleet.routers.remove(router)
            return
        await self.fleet.start_router(self.tasks, 1, self.fleet.http_ports[0])
        self._record("router 1 restarted")

    async def _fail_table(self, active: bool) -> None:
        self.fleet.platform.faults.table.outage = active
        self._record(f"table {'away' if active else 'back'}")

    async def _partition_router(self, active: bool) -> None:
        faults = self.fleet.platform.faults.table
        router = next(r for r in self.fleet.routers if r.number == 2)
        name = router.router.instance_id
        if active:
            faults.partitioned.add(name)
        else:
            faults.partitioned.discard(name)
        self._record(f"router 2 {'cut off from' if active else 'reaches'} the table")

    async def _top_up(self) -> None:
        await self._sleep_until(self.plan.top_up_at)
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
            raise PlatformError(f"top-up of {account.client_account} failed: {result}")
        recorded = RecordedTopUp(
            account.client_account, _TOP_UP_TOKENS, time.monotonic()
        )
        self.oracle.top_ups.append(recorded)
        self._record(f"{account.client_account} topped up by {_TOP_UP_TOKENS}")

    async def _drain(self, active: bool) -> None:
        operation = Operation(
            uuid.uuid4().hex, "exercise", time.time(), timeout_s=_TIMEOUT_S
        )
        change = drain_target if active else resume_target
        result = await change(self.fleet.platform.table, operation, _DRAINED_TARGET)
        if not isinstance(result, Done):
            raise PlatformError(f"change of target {_DRAINED_TARGET} failed: {result}")
        self._record(f"{_DRAINED_TARGET} {'drained' if active else 'resumed'}")

    async def _slow_target(self, active: bool) -> None:
        factor = _SLOW_FACTOR if active else 1.0
        self.fleet.engines[_SLOW_TARGET].options.slow_factor = factor
        self._record(f"{_SLOW_TARGET} {factor:g} times as slow")

    async def _kill_sidecar(self, active: bool) -> None:
        sidecar = next(
            s for s in self.fleet.sidecars if s.target.name == _KILLED_TARGET
        )
        if active:
            sidecar.kill()
            self._record(f"the sidecar of {_KILLED_TARGET} killed")
            return
        self.fleet.sidecars.remove(sidecar)
        await self.fleet.start_sidecar(
            self.tasks, sidecar.number, sidecar.target, sidecar.url
        )
        self._record(f"the sidecar of {_KILLED_TARGET} restarted")

    async def _lose_answers(self, active: bool) -> None:
        share = _LOST_ANSWER_SHARE if active else 0.0
        self.fleet.platform.faults.table.lost_answer_share = share
        self._record(f"{share:.0%} of the table's answers to writes are lost")
