"""Cancels of running attempts that a sidecar does not answer, without sockets."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from typing import Any, AsyncIterator

import anyio

from endivegw.configuration import AccountParameters
from endivegw.daemons.background import Background
from endivegw.daemons.request_runner import RequestRunner, RunnerParts
from endivegw.daemons.routed import RoutedRequest, ServiceCall
from endivegw.daemons.sidecar_links import SidecarLink
from endivegw.peers import OutcomeUnknown
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.telemetry import EventLog, NoMetrics
from endivegw.types import BudgetKey, ClientAccountName, Priority
from tests.test_request_body import FakeQueue

_TIMEOUT_S = 10.0


class PausedSidecar:
    """Run an attempt without an end, and answer only the last of the cancels.

    :ivar cancels: ``bar_only`` of each cancel.
    """

    def __init__(self, unanswered: int) -> None:
        self.unanswered = unanswered
        self.cancels: list[bool] = []
        self.started = anyio.Event()
        self.answered = anyio.Event()
        self.running = True

    async def execute(
        self, start: pb.ExecuteStart, body: object, before_send: Any = None
    ) -> AsyncIterator[pb.Frame]:
        """Start the attempt."""
        if before_send is not None:
            await before_send()
        self.started.set()
        await anyio.sleep_forever()
        yield pb.Frame()

    async def cancel(self, request: pb.CancelRequest, timeout_s: float) -> Any:
        """Stop the attempt if the sidecar answers and the cancel asks for it."""
        self.cancels.append(request.bar_only)
        if len(self.cancels) <= self.unanswered:
            raise OutcomeUnknown("no reply")
        if not request.bar_only:
            self.running = False
        self.answered.set()
        return pb.CancelReply(running=self.running, ended=not self.running)


async def disconnect(sidecar: PausedSidecar) -> None:
    """Run a repeatable call whose caller disconnects while its target works."""
    parts: Any = RunnerParts(
        budget_manager=SimpleNamespace(bill=lambda line: None),
        queue=FakeQueue(),
        sidecars=SimpleNamespace(find=lambda target: SidecarLink(sidecar, "i.0")),
        claims=SimpleNamespace(),
        quarantine=SimpleNamespace(refuse=lambda fingerprint: None),
        header=pb.Header,
        on_header=lambda header: None,
        clock=anyio.current_time,
        rng=random.Random(1),
        log=EventLog("router"),
        metrics=NoMetrics(),
    )
    now_s = anyio.current_time()
    request = RoutedRequest(
        request_id="q1",
        account=AccountParameters(ClientAccountName("lobby")),
        call=ServiceCall("lobby-app", "POST", "/status", (), b"x"),
        budget=BudgetKey(ClientAccountName("lobby"), "main"),
        idempotency_key=None,
        repeatable=True,
        priority=Priority.NORMAL,
        arrived_s=now_s,
        deadline_s=now_s + 20.0,
    )
    async with anyio.create_task_group() as tasks:
        runner = RequestRunner(parts, Background(tasks, parts.log))
        sink: Any = SimpleNamespace(reset=lambda: None)
        async with anyio.create_task_group() as caller:
            caller.start_soon(runner.run, request, sink)
            await sidecar.started.wait()
            caller.cancel_scope.cancel()
        with anyio.move_on_after(_TIMEOUT_S):
            await sidecar.answered.wait()
        tasks.cancel_scope.cancel()


class LostCancelTests(unittest.TestCase):
    """
    A caller disconnects while the sidecar does not answer. Only the first cancel asked
    the sidecar to stop the attempt, and the target worked on until its answer ended.
    """

    def test_attempt_is_stopped_by_the_first_cancel_that_is_answered(self) -> None:
        """With seven lost cancels, pauses that double would exceed the time-out."""
        for unanswered in (0, 1, 2, 7):
            with self.subTest(unanswered=unanswered):
                sidecar = PausedSidecar(unanswered)
                anyio.run(disconnect, sidecar)
                self.assertEqual(len(sidecar.cancels), unanswered + 1)
                self.assertFalse(sidecar.running)


if __name__ == "__main__":
    unittest.main()
