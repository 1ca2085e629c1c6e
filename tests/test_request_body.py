"""A streamed request body is sent to one target, once."""

import random
import unittest
from types import SimpleNamespace

import anyio

from endivegw.configuration import AccountParameters
from endivegw.daemons.background import Background
from endivegw.daemons.request_runner import RequestRunner, RunnerParts
from endivegw.daemons.routed import RoutedRequest, ServiceCall
from endivegw.daemons.sidecar_links import SidecarLink
from endivegw.decisions import Placement, PlacementFigures
from endivegw.peers import OutcomeUnknown
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Reason, Refused
from endivegw.telemetry import EventLog, NoMetrics
from endivegw.types import BudgetKey, Priority


class FakeSidecar:
    """Fail the first start message during its body, and find no attempt afterwards."""

    def __init__(self, first):
        self.first = first
        self.messages = []

    async def execute(self, start, body=None, before_send=None):
        await before_send()
        self.messages.append((start.join_only, body is not None))
        if len(self.messages) == 1:
            await anext(body)
            if self.first == "broken":
                raise OutcomeUnknown("the connection broke")
            yield pb.Frame(
                attempt_id=start.attempt_id, refused=pb.Refusal(reason=self.first)
            )
            return
        yield pb.Frame(
            attempt_id=start.attempt_id,
            refused=pb.Refusal(reason=Reason.NOT_FOUND.value),
        )

    async def cancel(self, request, timeout_s):
        return pb.CancelReply(never_started=True)


class FakeQueue:
    def __init__(self):
        self.dispatcher = SimpleNamespace(
            ended=lambda *end: None, first_token=lambda *seen: None
        )

    async def place(self, item):
        figures = PlacementFigures(0.0, 0, 0, 0.0, 0.0, 1.0, 1)
        return Placement(item, "t1", "i", "10.0.0.1", "only-target", figures)

    def wake(self):
        pass


async def run_request(sidecar):
    """Run a repeatable call with a streamed body and return how it ended."""

    async def rest():
        for _ in range(5):
            yield b"x" * 1000

    queue = FakeQueue()
    parts = RunnerParts(
        budget_manager=SimpleNamespace(),
        queue=queue,
        sidecars=SimpleNamespace(find=lambda target: SidecarLink(sidecar, "i.0")),
        claims=SimpleNamespace(),
        quarantine=SimpleNamespace(),
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
        account=AccountParameters("lobby"),
        call=ServiceCall("lobby-app", "POST", "/status", (), b"x" * 1000, rest()),
        budget=BudgetKey("lobby", "main"),
        idempotency_key=None,
        repeatable=True,
        priority=Priority.NORMAL,
        arrived_s=now_s,
        deadline_s=now_s + 20.0,
    )
    async with anyio.create_task_group() as tasks:
        runner = RequestRunner(parts, Background(tasks, parts.log))
        end = await runner.run(request, SimpleNamespace(reset=lambda: None))
        tasks.cancel_scope.cancel()
    return end


class StreamedBodyTests(unittest.TestCase):
    def test_resent_message_does_not_start_with_a_partial_body(self):
        """
        The connection to the sidecar breaks while a caller's body is streamed, or
        the sidecar refuses the start message in the meantime. A resent message would
        start the call with only the remaining bytes. The request must be refused as
        not run instead, so that the caller sends the complete body again.
        """
        for first in ("broken", Reason.DRAINING.value, Reason.NOT_READY.value):
            with self.subTest(first=first):
                sidecar = FakeSidecar(first)
                end = anyio.run(run_request, sidecar)
                self.assertIsInstance(end, Refused)
                self.assertEqual(sidecar.messages[0], (False, True))
                for join_only, has_body in sidecar.messages[1:]:
                    self.assertIs(join_only, True)
                    self.assertIs(has_body, False)


if __name__ == "__main__":
    unittest.main()
