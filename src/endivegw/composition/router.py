"""Wire a router."""

from __future__ import annotations

from endivegw.budgets import BudgetManager
from endivegw.budgets.recovery import Recovery
from endivegw.composition.process import Process, create_metrics, open_process
from endivegw.configuration import Snapshot
from endivegw.daemons.claim_client import ClaimClient
from endivegw.daemons.evidence_broadcaster import (
    RESPONSIVE_WITHIN_S,
    EvidenceBroadcaster,
)
from endivegw.daemons.lent_grants import StrandedGrantRecovery
from endivegw.daemons.peer_directory import ROUTER_ROLE
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.recovery_watch import RecoveryOptions, RecoveryWatch
from endivegw.daemons.request_plan import PREFIX_SCHEME
from endivegw.daemons.request_runner import RunnerParts
from endivegw.daemons.router import Router, RouterParts
from endivegw.daemons.router_watch import RouterHeartbeats
from endivegw.daemons.seal_calls import SealClient
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.daemons.target_watch import TargetWatch
from endivegw.daemons.token_transfers import TokenTransfers
from endivegw.decisions import SERVICE_PREFIX, Dispatcher, Policy
from endivegw.membership import MembershipPolicy, Peer, PeerAddress, TargetSubset
from endivegw.peers import SidecarClient
from endivegw.quarantine import QuarantineManager
from endivegw.rendezvous import rendezvous_order
from endivegw.services.table_rows import TableRows
from endivegw.settings import RouterSettings
from endivegw.telemetry import EventLog

__all__ = ["build_router"]


def build_router(settings: RouterSettings) -> Router:
    """Wire a router."""
    process = open_process(
        ROUTER_ROLE,
        settings.process,
        settings.peers,
        settings.platform,
        lambda name: EventLog("router", instance=name),
        reports=True,
        # The budget manager is created below, from the result of this call.
        grant_holder=lambda: budget_manager.announced_holder,
    )
    dispatcher = Dispatcher(
        Policy(block_tokens=PREFIX_SCHEME.block_tokens),
        settings.process.availability_zone,
        process.rng,
    )
    queue = PlacementQueue(dispatcher, process.clock)
    budget_manager = BudgetManager(
        process.identity.instance_id,
        process.platform.table,
        process.clock,
        process.rng,
        TokenTransfers(process.peer_directory, process.header),
        process.log,
    )
    watch = _create_target_watch(settings, process, queue)
    broadcaster = EvidenceBroadcaster(
        process.identity.instance_id,
        process.peer_directory,
        process.header,
        lambda evidence: quarantine.receive(evidence),
        process.rng,
    )
    quarantine = QuarantineManager(
        TableRows(process.platform.table),
        broadcaster.broadcast,
        process.rng,
        process.clock,
        process.log,
        is_trier=lambda key: _is_first_router(process, key),
    )
    slots = SlotMapReader(process.platform.table, process.clock)
    runner = RunnerParts(
        budget_manager=budget_manager,
        queue=queue,
        sidecars=watch,
        claims=ClaimClient(slots, process.connect_owner, process.header),
        quarantine=quarantine,
        header=process.header,
        on_header=process.on_header,
        clock=process.clock,
        rng=process.rng,
        log=process.log,
        metrics=create_metrics(settings.logs, "endivegw.router"),
    )
    seals = SealClient(
        process.platform.vms,
        process.connect_sidecar,
        settings.peers.sidecar_port,
        process.header,
        process.clock,
    )
    recovery = Recovery(process.platform.table, seals, process.clock, process.log)
    parts = RouterParts(
        settings=settings,
        instance_id=process.identity.instance_id,
        configuration=process.configuration,
        budget_manager=budget_manager,
        queue=queue,
        watch=watch,
        routers=_create_router_watch(settings, process),
        recovery=_create_recovery_watch(settings, process, recovery, seals),
        stranded_grants=StrandedGrantRecovery(
            budget_manager, recovery, seals, process.clock
        ),
        slots=slots,
        runner=runner,
        peer_directory=process.peer_directory,
        broadcaster=broadcaster,
        header=process.header,
        on_header=process.on_header,
        security=process.security,
        clock=process.clock,
        log=process.log,
    )
    return Router(parts)


def _create_target_watch(
    settings: RouterSettings, process: Process, queue: PlacementQueue
) -> TargetWatch:
    def connect(address: str) -> SidecarClient:
        return process.connect_sidecar(address, settings.peers.sidecar_port)

    policy = MembershipPolicy()
    subset = TargetSubset(
        settings.process.vm,
        settings.process.availability_zone,
        policy.targets_per_router,
        policy.watch_all,
    )

    def choose(peers: tuple[Peer, ...]) -> tuple[PeerAddress, ...]:
        return subset.choose(peers, wanted_models(process.configuration.snapshot))

    return TargetWatch(
        process.platform.vms,
        connect,
        process.header,
        process.on_header,
        queue,
        process.clock,
        process.log,
        process.rng,
        policy=policy,
        choose=choose,
    )


def wanted_models(snapshot: Snapshot) -> set[str]:
    """Return the models and services that callers may use, as targets report them."""
    wanted: set[str] = set()
    for account in snapshot.accounts.values():
        wanted.update(account.models)
        wanted.update(SERVICE_PREFIX + name for name in account.services)
    return wanted


def _create_router_watch(
    settings: RouterSettings, process: Process
) -> RouterHeartbeats:
    return RouterHeartbeats(
        settings.process.vm,
        settings.process.availability_zone,
        process.platform.vms,
        process.connect_router,
        settings.peers.router_port,
        process.header,
        process.on_header,
        process.rng,
    )


def _create_recovery_watch(
    settings: RouterSettings, process: Process, recovery: Recovery, seals: SealClient
) -> RecoveryWatch:
    return RecoveryWatch(
        settings.process.vm,
        process.identity.instance_id,
        process.platform.table,
        process.platform.vms,
        recovery,
        seals,
        process.connect_router,
        settings.peers.router_port,
        process.header,
        process.clock,
        process.rng,
        process.log,
        RecoveryOptions(
            turn_s=settings.recovery.turn_s, silence_s=settings.recovery.silence_s
        ),
    )


def _is_first_router(process: Process, key: str) -> bool:
    """Return whether this router comes first for a key among those that respond."""
    local = process.identity.instance_id
    peers = process.peer_directory.routers(RESPONSIVE_WITHIN_S)
    return rendezvous_order(key, {local, *peers})[0] == local
