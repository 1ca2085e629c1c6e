"""Fakes for the parts around a sidecar, and a sidecar served on a free port."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import Any, AsyncIterator

import anyio

from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.sidecar_jobs import EngineTarget, ServiceTarget
from endivegw.daemons.sidecar_ports import SidecarSettings
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.starts import StartRegistry
from endivegw.results import Done, Reason, Refused
from endivegw.targets.ports import (
    EngineEnded,
    EngineFailed,
    EngineLoad,
    EngineText,
    ServiceAnswerHead,
)
from endivegw.telemetry import EventLog, NoMetrics
from endivegw.types import AvailabilityZone, InstanceId, TargetName, Usage


class FakeEngine:
    """Generate ``pieces`` texts per request, with a pause before each.

    :ivar break_after: number of pieces after which the stream breaks, once.
    :ivar refuse: whether to refuse every request.
    :ivar draining: whether to report that no new work is accepted.
    """

    def __init__(self, pieces=5, pause_s=0.0, break_after=None):
        self.pieces = pieces
        self.pause_s = pause_s
        self.break_after = break_after
        self.refuse = False
        self.draining = False
        self.starts = []
        self.resumes = []
        self.cancelled = []

    async def generate(self, request):
        self.starts.append(request.attempt_id)
        if self.refuse:
            detail = "no slot"
            yield EngineFailed(Reason.OVERLOADED, detail, False, Usage(), True)
            return
        async for event in self._from(0):
            yield event

    async def resume(self, request, pieces):
        self.resumes.append(pieces)
        async for event in self._from(pieces):
            yield event

    async def _from(self, first):
        for number in range(first, self.pieces):
            if number == self.break_after:
                self.break_after = None
                raise ConnectionResetError("stream broke")
            await anyio.sleep(self.pause_s)
            yield EngineText(b'{"n":%d}' % number, 1)
        yield EngineEnded(Usage(3, self.pieces), "stop")

    async def cancel(self, attempt_id):
        if attempt_id not in self.starts:
            return Refused(Reason.NOT_FOUND)
        self.cancelled.append(attempt_id)
        return Done(Usage(3, 1))

    async def load(self):
        if self.draining:
            return Refused(Reason.DRAINING)
        return Done(EngineLoad(len(self.starts), 0, 8, 100.0, ("m",), 0.0))


class FakeService:
    """Answer each call with the body of the call, after a pause."""

    def __init__(self, pause_s=0.0):
        self.pause_s = pause_s
        self.bodies = []

    async def call(self, request, body):
        received = b"".join([chunk async for chunk in body])
        self.bodies.append(received)
        await anyio.sleep(self.pause_s)
        yield ServiceAnswerHead(200, (("content-type", "text/plain"),))
        yield received


class FakeGrants:
    """Admit every grant that is not sealed."""

    def __init__(self):
        self.sealed = set()
        self.running = {}
        self.charged = {}

    def admit(self, grant_id, budget, attempt_id, reservation_tokens, now_s):
        if grant_id in self.sealed:
            return Refused(Reason.GRANT_SEALED)
        self.running[attempt_id] = reservation_tokens
        return None

    def consume(self, attempt_id, tokens, now_s):
        pass

    def end(self, attempt_id, usage, now_s):
        del self.running[attempt_id]
        self.charged[attempt_id] = usage.total_tokens

    def seal(self, grant_ids, now_s):
        self.sealed.update(grant_ids)
        return ()


class FakeConfiguration:
    """Hold a configuration revision."""

    def __init__(self, revision=1):
        self.revision = revision

    def receive_header(self, header):
        pass

    def newer_than(self, revision):
        return b"snapshot" if self.revision > revision else b""


class Rig:
    """Hold a served sidecar together with the fakes around it."""

    def __init__(self, target, instance="s1", **settings):
        self.grants = FakeGrants()
        self.configuration = FakeConfiguration()
        self.settings = SidecarSettings(
            TargetName("t1"), InstanceId(instance), AvailabilityZone("z"), **settings
        )
        self.registry = StartRegistry(
            InstanceId(instance), self.settings.starts, time.monotonic()
        )
        kind = ServiceTarget if hasattr(target, "call") else EngineTarget
        self.sidecar = Sidecar(
            kind(target),
            self.grants,
            self.registry,
            self.configuration,
            time.monotonic,
            EventLog("sidecar"),
            NoMetrics(),
            self.settings,
        )
        self.port = 0
        self.client: Any = None
        self.stop: Any = None

    def start_message(self, attempt="a1", key="k1", **changes) -> pb.ExecuteStart:
        start = pb.ExecuteStart(
            header=self.header(),
            client_account="lobby",
            idempotency_key=key,
            attempt_id=attempt,
            body_digest=b"d",
            repeatable=True,
            grant_id="g1",
            budget="main",
            reservation_tokens=100,
            remaining_s=20.0,
            target_instance_id=self.registry.incarnation,
            engine=pb.EngineWork(
                model="m", body=b"{}", prompt_bound_tokens=3, max_completion_tokens=50
            ),
        )
        start.MergeFrom(pb.ExecuteStart(**changes))
        return start

    def service_start(self, attempt="a1", key="k1", body=b"order", **changes):
        start = self.start_message(attempt, key, **changes)
        start.grant_id = ""
        start.service.CopyFrom(
            pb.ServiceWork(service="s", method="POST", path="/", body=body)
        )
        start.repeatable = False
        return start

    def header(self, revision=1):
        return pb.Header(protocol_version=1, instance_id="r1", config_revision=revision)

    async def frames(self, start, body=None):
        return [frame async for frame in self.client.execute(start, body)]


def text_of(frames) -> bytes:
    return b"".join(frame.data for frame in frames)


def kind_of(frame) -> str:
    return frame.WhichOneof("kind")


@asynccontextmanager
async def served(target, **settings) -> AsyncIterator[Rig]:
    """Serve a sidecar on a free port and connect a client to it."""
    rig = Rig(target, **settings)
    async with anyio.create_task_group() as tasks:
        rig.stop = tasks.cancel_scope.cancel
        rig.port = await tasks.start(rig.sidecar.serve, "127.0.0.1", 0)
        rig.client = SidecarClient("127.0.0.1", rig.port)
        with anyio.CancelScope(shield=True):
            yield rig
        rig.client.close()
        tasks.cancel_scope.cancel()
