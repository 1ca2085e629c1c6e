"""Runs the attempts of one sidecar and retains their answers."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from endivegw.daemons.sidecar_ports import Clock, GrantGate, SidecarSettings
from endivegw.daemons.sidecar_run import AttemptRun
from endivegw.exceptions import InvariantError
from endivegw.requests.buffer import AnswerBuffer, BufferEnd
from endivegw.requests.starts import StartOrder, StartRegistry
from endivegw.results import Reason, Refused
from endivegw.telemetry import EventLog, Metrics
from endivegw.telemetry.catalogue.sidecar import (
    ATTEMPT_CRASHED,
    ATTEMPT_ENDED,
    ATTEMPT_STARTED,
)
from endivegw.types import AttemptId, Usage

__all__ = ["Job", "AttemptRunner"]


class Job(Protocol):
    """The work of a target for one attempt."""

    async def run(self) -> Usage:
        """Work until the buffer has its outcome; return the usage to charge."""

    async def stop(self, reason: Reason) -> Usage:
        """Free the target and set the buffer's outcome; return the usage to charge."""


class AttemptRunner:
    """Run each job in a task of its own, and bound the answers that are retained.

    :ivar registry: records which attempts were started.
    """

    def __init__(
        self,
        registry: StartRegistry,
        grants: GrantGate,
        settings: SidecarSettings,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self._grants = grants
        self._settings = settings
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._runs: dict[AttemptId, AttemptRun] = {}
        self._ended: OrderedDict[AttemptId, AttemptRun] = OrderedDict()
        self._retained_bytes = 0
        self._tasks: TaskGroup | None = None

    def attach(self, tasks: TaskGroup) -> None:
        """Set the task group in which jobs run from now on."""
        self._tasks = tasks

    @property
    def running(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self._runs) - len(self._ended)

    def find(self, attempt_id: AttemptId) -> AttemptRun | None:
        """Return an attempt whose answer is retained, None for any other."""
        return self._runs.get(attempt_id)

    def new_run(self, order: StartOrder, remaining_s: float) -> AttemptRun:
        """Return a run that has not been started."""
        deadline_s = self._clock() + remaining_s
        buffer = AnswerBuffer(self._settings.max_answer_bytes)
        run = AttemptRun(order, buffer, deadline_s)
        run.scope.deadline = anyio.current_time() + remaining_s
        return run

    def start(self, run: AttemptRun, job: Job) -> None:
        """Record the start and run the job in a task.

        :raises InvariantError: if the attempt was started before.
        """
        if self._tasks is None:
            raise InvariantError("no task group is attached to the sidecar's runner")
        self.registry.start(run.order, self._clock())
        self._runs[run.order.attempt_id] = run
        self._log.emit(
            ATTEMPT_STARTED,
            attempt_id=run.attempt_id,
            client_account=run.order.identity.client_account,
            repeatable=run.order.repeatable,
            running=self.running,
        )
        self._metrics.incr("attempts.started")
        self._tasks.start_soon(self._drive, run, job)

    def expire(self) -> None:
        """Discard ended answers that are too old or exceed the memory limits."""
        now_s = self._clock()
        settings = self._settings
        while self._ended:
            attempt_id, run = next(iter(self._ended.items()))
            in_bounds = (
                self._retained_bytes <= settings.max_retained_bytes
                and len(self._ended) <= settings.max_retained_answers
            )
            age_s = now_s - (run.ended_s or now_s)
            if in_bounds and age_s < settings.answer_retention_s:
                return
            self._discard(attempt_id)

    async def wait_idle(self) -> None:
        """Wait until every attempt has ended and its readers have the answer."""
        while True:
            busy = [r for r in self._runs.values() if r.ended_s is None or r.readers]
            if not busy:
                return
            await busy[0].wait_changed()

    async def _drive(self, run: AttemptRun, job: Job) -> None:
        started_s = self._clock()
        usage = Usage()
        reason = Reason.CANCELLED
        try:
            with run.scope:
                usage = await job.run()
        except Exception as error:
            # An error in one attempt must not abort the others in this process.
            # It is logged, and only the answer of its own attempt fails.
            reason = Reason.TARGET_FAILED
            self._log.emit(
                ATTEMPT_CRASHED, attempt_id=run.attempt_id, detail=repr(error)
            )
        if run.buffer.outcome is None:
            if self._clock() >= run.deadline_s:
                reason = Reason.DEADLINE
            # The engine must be freed even while the daemon stops.
            with anyio.CancelScope(shield=True):
                usage = await job.stop(reason)
        self._finish(run, usage, started_s)

    def _finish(self, run: AttemptRun, usage: Usage, started_s: float) -> None:
        now_s = self._clock()
        attempt_id = run.order.attempt_id
        outcome = run.buffer.outcome
        if run.reserved:
            self._charge(attempt_id, usage, now_s)
        if isinstance(outcome, Refused):
            self.registry.record_never_started(attempt_id)
            del self._runs[attempt_id]
        else:
            self.registry.ended(attempt_id, complete=isinstance(outcome, BufferEnd))
            self._ended[attempt_id] = run
            self._retained_bytes += run.buffer.held_bytes
        run.ended_s = now_s
        run.usage = usage
        run.ended.set()
        run.notify_changed()
        self._log.emit(
            ATTEMPT_ENDED,
            attempt_id=attempt_id,
            client_account=run.order.identity.client_account,
            outcome=type(outcome).__name__,
            total_tokens=usage.total_tokens,
            elapsed_s=round(now_s - started_s, 6),
        )
        self._metrics.timing("attempts.time", (now_s - started_s) * 1000)
        self.expire()

    def _charge(self, attempt_id: AttemptId, usage: Usage, now_s: float) -> None:
        try:
            self._grants.end(attempt_id, usage, now_s)
        except InvariantError as error:
            # The target consumed more than was reserved. The ledger has recorded
            # it; neither this answer nor other attempts may fail because of it.
            self._log.emit(ATTEMPT_CRASHED, attempt_id=attempt_id, detail=error.message)

    def _discard(self, attempt_id: AttemptId) -> None:
        run = self._ended.pop(attempt_id)
        self._retained_bytes -= run.buffer.held_bytes
        del self._runs[attempt_id]
        self.registry.forget_answer(attempt_id)
        if run.readers == 0:
            run.buffer.discard()
