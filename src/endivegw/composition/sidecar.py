"""Wire a sidecar."""

from __future__ import annotations

import random
import time

from endivegw.budgets.gate import GrantGate
from endivegw.composition.process import Process, create_metrics, open_process
from endivegw.configuration import TargetKind
from endivegw.daemons.peer_directory import TARGET_ROLE
from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.sidecar_configuration import SidecarConfiguration
from endivegw.daemons.sidecar_jobs import EngineTarget, ServiceTarget, Target
from endivegw.daemons.sidecar_ports import SidecarSettings as SidecarOptions
from endivegw.daemons.sidecar_process import SidecarProcess, SidecarProcessParts
from endivegw.daemons.slot_claim_service import SlotClaimService, SlotClaimSettings
from endivegw.requests.starts import StartRegistry
from endivegw.settings import SidecarSettings, TargetSettings
from endivegw.targets.http_service import HttpService
from endivegw.targets.openai_engine import OpenAiEngine
from endivegw.targets.order_manager import OrderManager, OrderPolicy
from endivegw.targets.weight_slots import WeightShare
from endivegw.telemetry import EventLog

__all__ = ["build_sidecar"]

Adapter = OpenAiEngine | HttpService


def build_sidecar(settings: SidecarSettings) -> SidecarProcess:
    """Wire a sidecar."""
    process = open_process(
        TARGET_ROLE,
        settings.process,
        settings.peers,
        settings.platform,
        lambda name: EventLog("sidecar", instance=name),
        reports=False,
    )
    instance_id = process.identity.instance_id
    adapter = _create_adapter(settings.target)
    grants = GrantGate(
        instance_id,
        settings.target.target,
        process.platform.table,
        process.clock,
        process.rng,
        process.log,
    )
    claim_service = _create_claim_service(settings, process)
    options = _sidecar_options(settings, process)
    sidecar = Sidecar(
        _wrap_adapter(adapter),
        grants.ledger,
        StartRegistry(instance_id, options.starts, process.clock()),
        SidecarConfiguration(process.configuration, process.on_header),
        process.clock,
        process.log,
        create_metrics(settings.logs, "endivegw.sidecar"),
        options,
        claims=claim_service,
        holders=grants,
    )
    parts = SidecarProcessParts(
        settings=settings,
        instance_id=instance_id,
        configuration=process.configuration,
        sidecar=sidecar,
        grants=grants,
        claim_service=claim_service,
        target=adapter,
        security=process.security,
        orders=_create_order_manager(settings, process, adapter),
        peer_directory=process.peer_directory,
        log=process.log,
    )
    return SidecarProcess(parts)


def _sidecar_options(settings: SidecarSettings, process: Process) -> SidecarOptions:
    return SidecarOptions(
        target=settings.target.target,
        instance_id=process.identity.instance_id,
        availability_zone=settings.process.availability_zone,
        vm=settings.process.vm,
        address=str(settings.peers.address),
        serves=settings.target.serves,
        slots=settings.target.max_running,
        drain_bound_s=settings.process.drain_bound_s,
    )


def _create_claim_service(
    settings: SidecarSettings, process: Process
) -> SlotClaimService:
    service_settings = SlotClaimSettings(
        vm=settings.process.vm,
        target=settings.target.target,
        instance_id=process.identity.instance_id,
        address=str(settings.peers.address),
    )
    platform = process.platform
    return SlotClaimService(
        service_settings,
        platform.table,
        platform.vms,
        process.clock,
        time.time,
        process.log,
    )


def _create_adapter(settings: TargetSettings) -> Adapter:
    match settings.kind:
        case TargetKind.ENGINE:
            return OpenAiEngine(settings.url)
        case TargetKind.SERVICE:
            return HttpService(settings.url)


def _wrap_adapter(adapter: Adapter) -> Target:
    match adapter:
        case OpenAiEngine():
            return EngineTarget(adapter)
        case HttpService():
            return ServiceTarget(adapter)


def _create_order_manager(
    settings: SidecarSettings, process: Process, adapter: Adapter
) -> OrderManager | None:
    """Return the executor of model orders, or None for a plain service."""
    if not isinstance(adapter, OpenAiEngine):
        return None
    return OrderManager(
        settings.target.target,
        process.identity.instance_id,
        adapter,
        process.platform.table,
        process.platform.weights,
        process.log,
        checks_fence=settings.target.checks_fence,
        policy=OrderPolicy(
            table_timeout_s=settings.platform.timeout_s,
            share=WeightShare(
                settings.platform.weight_bytes_per_s,
                settings.platform.weight_loads_at_once,
            ),
        ),
        clock=time.monotonic,
        rng=random.Random(),
    )
