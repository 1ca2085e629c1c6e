"""Make the job for an attempt out of its start message."""

from __future__ import annotations

from attrs import frozen

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.sidecar_body import BodyChannel, single_body
from endivegw.daemons.sidecar_engine import EngineJob
from endivegw.daemons.sidecar_frames import fields_of
from endivegw.daemons.sidecar_ports import Clock, GrantGate, SidecarSettings
from endivegw.daemons.sidecar_run import Run
from endivegw.daemons.sidecar_service import ServiceJob
from endivegw.daemons.sidecar_work import Job
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.targets.ports import (
    EnginePort,
    EngineRequest,
    ServicePort,
    ServiceRequest,
)
from endivegw.types import AttemptId, Priority

__all__ = ["EngineTarget", "Jobs", "ServiceTarget", "Target", "engine_of"]


@frozen
class EngineTarget:
    """Say that a model engine stands beside the sidecar."""

    engine: EnginePort


@frozen
class ServiceTarget:
    """Say that a plain service stands beside the sidecar."""

    service: ServicePort


Target = EngineTarget | ServiceTarget


def engine_of(target: Target) -> EnginePort | None:
    """Return the engine, None where there is none."""
    return target.engine if isinstance(target, EngineTarget) else None


@frozen
class Jobs:
    """Make jobs for one target."""

    target: Target
    grants: GrantGate
    settings: SidecarSettings
    clock: Clock
    starts: EngineStarts

    def job(
        self, run: Run, start: pb.ExecuteStart, body: BodyChannel | None
    ) -> Job | None:
        """Return the job, None where another kind of target stands here."""
        match start.WhichOneof("work"), self.target:
            case "engine", EngineTarget(engine=engine):
                return EngineJob(
                    engine,
                    self.grants,
                    self.settings,
                    self.clock,
                    run,
                    _engine_request(start),
                    start.engine.prompt_bound_tokens,
                    self.starts,
                )
            case "service", ServiceTarget(service=service):
                chunks = body.chunks() if body else single_body(start.service.body)
                return ServiceJob(service, run, _service_request(start), chunks)
        return None


def _engine_request(start: pb.ExecuteStart) -> EngineRequest:
    work = start.engine
    room = start.reservation_tokens - work.prompt_bound_tokens
    return EngineRequest(
        AttemptId(start.attempt_id),
        work.body,
        work.chat,
        work.model,
        work.adapter,
        min(work.max_completion_tokens, room),
        Priority(min(start.priority, Priority.BATCH)),
        start.remaining_s,
    )


def _service_request(start: pb.ExecuteStart) -> ServiceRequest:
    work = start.service
    return ServiceRequest(
        AttemptId(start.attempt_id), work.method, work.path, fields_of(work.fields)
    )
