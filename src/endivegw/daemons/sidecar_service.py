"""Run one call of a plain service and write its answer into a buffer."""

from __future__ import annotations

from typing import AsyncIterator

from endivegw.daemons.sidecar_run import AttemptRun
from endivegw.exceptions import PeerError, TargetError
from endivegw.requests.buffer import BufferFailure, BufferHead
from endivegw.results import Reason, Refused
from endivegw.targets.ports import (
    EngineFailed,
    ServiceAnswerHead,
    ServicePort,
    ServiceRequest,
)
from endivegw.types import Usage

__all__ = ["ServiceJob"]


class ServiceJob:
    """Drive one call of a plain service; set its buffer's outcome exactly once."""

    def __init__(
        self,
        service: ServicePort,
        run: AttemptRun,
        request: ServiceRequest,
        body: AsyncIterator[bytes],
    ) -> None:
        self._service = service
        self._run = run
        self._request = request
        self._body = body

    async def run(self) -> Usage:
        """Call until the answer is complete or has failed; consumes no tokens."""
        try:
            async for event in self._service.call(self._request, self._body):
                if isinstance(event, EngineFailed):
                    return self._fail(event)
                await self._apply(event)
        except (OSError, PeerError, TargetError) as error:
            # At least a part of the call was written, so it may have run.
            return self._fail_unknown(str(error) or type(error).__name__)
        if self._run.buffer.head is None:
            return self._fail_unknown("the service ended the call without an answer")
        self._run.buffer.finish(Usage(), "")
        return Usage()

    async def stop(self, reason: Reason) -> Usage:
        """Abandon a call; the service may still carry it out."""
        failure = BufferFailure(reason, "stopped by the sidecar", Usage(), True)
        self._run.buffer.fail(failure)
        return Usage()

    async def _apply(self, event: ServiceAnswerHead | bytes) -> None:
        match event:
            case ServiceAnswerHead():
                self._run.buffer.head = BufferHead(event.status, event.fields)
                self._run.notify_changed()
            case bytes():
                await self._run.append(event)

    def _fail(self, failed: EngineFailed) -> Usage:
        if not failed.started and self._run.buffer.head is None:
            self._run.buffer.fail(Refused(failed.reason, failed.detail))
            return Usage()
        failure = BufferFailure(failed.reason, failed.detail, Usage(), True)
        self._run.buffer.fail(failure)
        return Usage()

    def _fail_unknown(self, detail: str) -> Usage:
        failure = BufferFailure(Reason.TARGET_FAILED, detail, Usage(), True)
        self._run.buffer.fail(failure)
        return Usage()
