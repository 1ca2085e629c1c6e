"""Execute callers' requests as decided by each request's state machine."""

from __future__ import annotations

import random
import uuid
from typing import Callable

from attrs import frozen

from endivegw.budgets import BudgetManager
from endivegw.daemons.background import Background
from endivegw.daemons.claim_client import ClaimClient
from endivegw.daemons.held_attempts import AttemptResolver
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.request_plan import plan_request
from endivegw.daemons.request_run import RequestRun
from endivegw.daemons.routed import AnswerSink, RequestEnd, RoutedRequest
from endivegw.daemons.sidecar_links import SidecarDirectory
from endivegw.decisions import RetryBudget, RetryPolicy
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.quarantine import QuarantineManager
from endivegw.requests.attempt_limits import AttemptLimits
from endivegw.requests.attempts import RequestStateMachine
from endivegw.telemetry import EventLog, Metrics
from endivegw.types import AttemptId

__all__ = ["RequestRunner", "RunnerParts"]


@frozen
class RunnerParts:
    """Hold the components that all requests of a router share.

    :param header: returns the header of this process for each message.
    :param on_header: receives the headers of replies, whose configuration revision
        and sender are recorded.
    :param clock: returns seconds on a monotonic clock.
    """

    budget_manager: BudgetManager
    queue: PlacementQueue
    sidecars: SidecarDirectory
    claims: ClaimClient
    quarantine: QuarantineManager
    header: Callable[[], pb.Header]
    on_header: Callable[[pb.Header], None]
    clock: Callable[[], float]
    rng: random.Random
    log: EventLog
    metrics: Metrics
    limits: AttemptLimits = AttemptLimits()
    retry_policy: RetryPolicy = RetryPolicy()


class RequestRunner:
    """Execute the requests of one router.

    :param background: outlives each request, and runs its cleanup if the caller
        disconnects.
    """

    def __init__(self, parts: RunnerParts, background: Background) -> None:
        self._parts = parts
        self._background = background
        self._retries = RetryBudget(parts.retry_policy)
        self._runs: set[RequestRun] = set()
        self.attempt_resolver = AttemptResolver(
            parts.budget_manager,
            parts.sidecars,
            parts.header,
            background,
            parts.clock,
            parts.log,
        )

    async def run(self, request: RoutedRequest, sink: AnswerSink) -> RequestEnd:
        """Write the answer to the sink and return how the request ended."""
        run = self._new_run(request, sink)
        self._runs.add(run)
        try:
            return await run.run()
        finally:
            self._runs.remove(run)
            if not run.ended:
                # The caller disconnected, and this task is being cancelled. A
                # background task cancels the attempt, releases the placement and the
                # tokens, and writes the bill.
                self._background.start_soon(run.abandon)

    def interrupt(self) -> None:
        """End all requests in progress now, so that each is answered."""
        for run in self._runs:
            run.interrupt()

    def _new_run(self, request: RoutedRequest, sink: AnswerSink) -> RequestRun:
        parts = self._parts
        plan = plan_request(request)
        machine = RequestStateMachine(
            plan.facts,
            parts.limits,
            parts.retry_policy,
            self._retries,
            parts.rng,
            lambda: AttemptId(uuid.uuid4().hex),
        )
        return RequestRun(plan, machine, sink, parts, self.attempt_resolver)
