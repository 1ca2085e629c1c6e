"""Create the job for an attempt from its start message."""

from __future__ import annotations

from attrs import frozen

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.sidecar_body import BodyChannel, single_body
from endivegw.daemons.sidecar_engine import EngineJob
from endivegw.daemons.sidecar_frames import header_fields
from endivegw.daemons.sidecar_ports import Clock, GrantGate, SidecarSettings
from endivegw.daemons.sidecar_run import AttemptRun
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

__all__ = ["EngineTarget", "JobFactory", "ServiceTarget", "Target", "get_engine"]


@frozen
class EngineTarget:
    """Hold the model engine beside a sidecar."""

    engine: EnginePort


@frozen
class ServiceTarget:
    """Hold the plain service beside a sidecar."""

    service: ServicePort


Target = EngineTarget | ServiceTarget


def get_engine(target: Target) -> EnginePort | None:
    """Return the engine, None for a plain service."""
    return target.engine if isinstance(target, EngineTarget) else None


@frozen
class JobFactory:
    """Create jobs for one target."""

    target: Target
    grants: GrantGate
    settings: SidecarSettings
    clock: Clock
    starts: EngineStarts

    def create(
        self, run: AttemptRun, start: pb.ExecuteStart, body: BodyChannel | None
    ) -> Job | None:
        """Return the job, None if the target is of another kind."""
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
                first = start.service.body
                chunks = body.chunks(first) if body else single_body(first)
                return ServiceJob(service, run, _service_request(start), chunks)
        return None


def _engine_request(start: pb.ExecuteStart) -> EngineRequest:
    work = start.engine
    available_tokens = start.reservation_tokens - work.prompt_bound_tokens
    return EngineRequest(
        AttemptId(start.attempt_id),
        work.body,
        work.chat,
        work.model,
        work.adapter,
        min(work.max_completion_tokens, available_tokens),
        Priority(min(start.priority, Priority.BATCH)),
        start.remaining_s,
    )


def _service_request(start: pb.ExecuteStart) -> ServiceRequest:
    work = start.service
    return ServiceRequest(
        AttemptId(start.attempt_id), work.method, work.path, header_fields(work.fields)
    )
