"""The composition root: the one place where the parts are wired together."""

from __future__ import annotations

import random
import time
import uuid
from typing import Callable

from attrs import frozen

from endivegw.budgets import BudgetKeeper
from endivegw.budgets.gate import GrantGate
from endivegw.configuration import TargetKind
from endivegw.daemons.claim_client import ClaimClient
from endivegw.daemons.claim_desk import DeskSettings, SlotDesk
from endivegw.daemons.held_configuration import HeldConfiguration
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.request_runner import RunnerParts
from endivegw.daemons.router import Router, RouterParts
from endivegw.daemons.sidecar import Sidecar
from endivegw.daemons.sidecar_jobs import EngineTarget, ServiceTarget, Target
from endivegw.daemons.sidecar_ports import SidecarSettings as SidecarOptions
from endivegw.daemons.sidecar_process import SidecarProcess, SidecarProcessParts
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.daemons.target_watch import TargetWatch
from endivegw.decisions import Dispatcher, Policy
from endivegw.peers import (
    PeerSecurity,
    PlainPeers,
    SidecarClient,
    keyed_peers,
    tls_peers,
)
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.platform import TablePort, VmListPort, WeightStorePort
from endivegw.platform.dynamo_table import DynamoTable
from endivegw.platform.http_vm_list import HttpVmList
from endivegw.platform.signing import Credentials
from endivegw.platform.weight_store import HttpWeightStore
from endivegw.requests.starts import StartRegistry
from endivegw.settings import (
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    RouterSettings,
    SidecarSettings,
    TargetSettings,
)
from endivegw.targets.http_service import HttpService
from endivegw.targets.openai_engine import OpenAiEngine
from endivegw.targets.order_keeper import KeeperPolicy, OrderKeeper
from endivegw.targets.weight_slots import WeightShare
from endivegw.telemetry import EventLog, Metrics, NoMetrics, statsd_metrics
from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "PROTOCOL_VERSION",
    "Platform",
    "build_router",
    "build_sidecar",
    "open_platform",
]

#: Version of the messages between the fleet's processes.
PROTOCOL_VERSION = 1


@frozen
class Platform:
    """Hold the platform's services that a daemon uses."""

    table: TablePort
    vms: VmListPort
    weights: WeightStorePort


def open_platform(settings: PlatformSettings, client_name: str) -> Platform:
    """Return the adapters that the settings name."""
    credentials = None
    if settings.secret_key_file is not None:
        secret = settings.secret_key_file.read_text(encoding="utf-8").strip()
        credentials = Credentials(settings.access_key_id, secret)
    return Platform(
        table=DynamoTable(
            settings.table_url, credentials=credentials, client_name=client_name
        ),
        vms=HttpVmList(settings.vm_list_url, client_name=client_name),
        weights=HttpWeightStore(settings.weight_store_url, client_name=client_name),
    )


def build_router(settings: RouterSettings) -> Router:
    """Wire a router."""
    instance_id = new_instance_id(settings.process)
    rng = random.Random()
    clock = steady_unix_clock()
    platform = open_platform(settings.platform, instance_id)
    log = EventLog("router", instance=instance_id)
    configuration = HeldConfiguration(
        platform.table, rng, timeout_s=settings.platform.timeout_s
    )
    header = header_of(settings.process, instance_id, configuration)
    dispatcher = Dispatcher(Policy(), settings.process.availability_zone, rng)
    queue = PlacementQueue(dispatcher, clock)

    def on_header(received: pb.Header) -> None:
        configuration.heard(ConfigRevision(received.config_revision))

    security = peer_security(settings.peers)

    def connect_to(address: str, port: int) -> SidecarClient:
        return SidecarClient(address, port, security, sender=instance_id)

    def connect(address: str) -> SidecarClient:
        return connect_to(address, settings.peers.sidecar_port)

    keeper = BudgetKeeper(instance_id, platform.table, clock, rng, None, log)
    watch = TargetWatch(
        platform.vms, connect, header, on_header, queue, clock, log, rng
    )
    slots = SlotMapReader(platform.table, clock)
    runner = RunnerParts(
        keeper=keeper,
        queue=queue,
        sidecars=watch,
        claims=ClaimClient(slots, connect_to, header, on_header),
        header=header,
        on_header=on_header,
        clock=clock,
        rng=rng,
        log=log,
        metrics=metrics_of(settings.logs, "endivegw.router"),
    )
    parts = RouterParts(
        settings=settings,
        instance_id=instance_id,
        configuration=configuration,
        keeper=keeper,
        queue=queue,
        watch=watch,
        slots=slots,
        runner=runner,
        clock=clock,
        log=log,
    )
    return Router(parts)


def build_sidecar(settings: SidecarSettings) -> SidecarProcess:
    """Wire a sidecar."""
    instance_id = new_instance_id(settings.process)
    clock = steady_unix_clock()
    platform = open_platform(settings.platform, instance_id)
    log = EventLog("sidecar", instance=instance_id)
    configuration = HeldConfiguration(
        platform.table, random.Random(), timeout_s=settings.platform.timeout_s
    )
    options = SidecarOptions(
        target=settings.target.target,
        instance_id=instance_id,
        availability_zone=settings.process.availability_zone,
        serves=settings.target.serves,
        slots=settings.target.max_running,
        drain_bound_s=settings.process.drain_bound_s,
    )
    adapter = open_adapter(settings.target)
    rng = random.Random()
    grants = GrantGate(
        instance_id, settings.target.target, platform.table, clock, rng, log
    )
    desk = SlotDesk(
        desk_settings(settings, instance_id),
        platform.table,
        platform.vms,
        clock,
        time.time,
        log,
    )
    sidecar = Sidecar(
        target_of(adapter),
        grants.ledger,
        StartRegistry(instance_id, options.starts, clock()),
        configuration,
        clock,
        log,
        metrics_of(settings.logs, "endivegw.sidecar"),
        options,
        claims=desk,
        holders=grants,
    )
    parts = SidecarProcessParts(
        settings=settings,
        instance_id=instance_id,
        configuration=configuration,
        sidecar=sidecar,
        grants=grants,
        desk=desk,
        target=adapter,
        security=peer_security(settings.peers),
        orders=open_orders(settings, instance_id, adapter, platform, log),
        log=log,
    )
    return SidecarProcess(parts)


def desk_settings(settings: SidecarSettings, instance_id: InstanceId) -> DeskSettings:
    """Return how the sidecar owns key slots."""
    return DeskSettings(
        vm=settings.process.vm,
        target=settings.target.target,
        instance_id=instance_id,
        address=str(settings.peers.listen),
    )


def open_orders(
    settings: SidecarSettings,
    instance_id: InstanceId,
    adapter: OpenAiEngine | HttpService,
    platform: Platform,
    log: EventLog,
) -> OrderKeeper | None:
    """Return what carries out orders; None for a plain service, which has none."""
    if not isinstance(adapter, OpenAiEngine):
        return None
    return OrderKeeper(
        settings.target.target,
        instance_id,
        adapter,
        platform.table,
        platform.weights,
        log,
        checks_fence=settings.target.checks_fence,
        policy=KeeperPolicy(
            table_timeout_s=settings.platform.timeout_s,
            share=WeightShare(
                settings.platform.weight_bytes_per_s,
                settings.platform.weight_loads_at_once,
            ),
        ),
        clock=time.monotonic,
        rng=random.Random(),
    )


def peer_security(settings: PeerSettings) -> PeerSecurity:
    """Return how calls between processes are authenticated."""
    if settings.tls_ca and settings.tls_certificate and settings.tls_key:
        return tls_peers(settings.tls_ca, settings.tls_certificate, settings.tls_key)
    if settings.shared_key_file:
        return keyed_peers(settings.shared_key_file)
    return PlainPeers()


def open_adapter(settings: TargetSettings) -> OpenAiEngine | HttpService:
    """Return the adapter for what stands beside a sidecar."""
    match settings.kind:
        case TargetKind.ENGINE:
            return OpenAiEngine(settings.url)
        case TargetKind.SERVICE:
            return HttpService(settings.url)


def target_of(adapter: OpenAiEngine | HttpService) -> Target:
    """Return the target as the sidecar's jobs take it."""
    match adapter:
        case OpenAiEngine():
            return EngineTarget(adapter)
        case HttpService():
            return ServiceTarget(adapter)


def steady_unix_clock() -> Callable[[], float]:
    """Return a clock near Unix time that never goes back.

    The system's own clock may be set back while the process runs; a deadline
    or a lease measured on it would then last too long.
    """
    offset_s = time.time() - time.monotonic()
    return lambda: offset_s + time.monotonic()


def new_instance_id(process: ProcessSettings) -> InstanceId:
    """Return a name for this start of this process, never used again."""
    return InstanceId(f"{process.vm}-{uuid.uuid4().hex[:12]}")


def header_of(
    process: ProcessSettings, instance_id: InstanceId, configuration: HeldConfiguration
) -> Callable[[], pb.Header]:
    """Return what makes the header of each message to another process."""

    def header() -> pb.Header:
        return pb.Header(
            protocol_version=PROTOCOL_VERSION,
            instance_id=instance_id,
            availability_zone=process.availability_zone,
            config_revision=configuration.revision,
        )

    return header


def metrics_of(logs: LogSettings, prefix: str) -> Metrics:
    """Return the metrics client that the settings name, or none."""
    if logs.statsd is None:
        return NoMetrics()
    return statsd_metrics(logs.statsd.ip, logs.statsd.port, prefix)
