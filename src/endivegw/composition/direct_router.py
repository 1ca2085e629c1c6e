"""Wire a router that calls targets directly, without sidecars."""

from __future__ import annotations

import random
import resource
import time
import uuid
from typing import Callable

from attrs import evolve

from endivegw.allowances import AllowanceManager, AllowanceOptions
from endivegw.capacity import ConnectionLimit, HeldMemory, RouterCapacity
from endivegw.composition.router_gauges import (
    add_caller_gauges,
    add_capacity_gauges,
    add_router_gauges,
)
from endivegw.daemons.capacity_watch import CapacityWatch
from endivegw.daemons.direct_readers import (
    ConfigurationReader,
    PeerReader,
    RowDecoder,
)
from endivegw.daemons.direct_router import (
    DirectRouter,
    DirectRouterOptions,
    DirectRouterParts,
)
from endivegw.daemons.evacuation_reader import EvacuationReader
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.row_feed import FeedReader, ReaderGroup, RowFeed
from endivegw.daemons.target_reader import TargetReader
from endivegw.daemons.unknown_rows import UnknownRows
from endivegw.decisions import Dispatcher, Policy, RetryBudget, RetryPolicy
from endivegw.gossip import PeerEntry, PeerLink, PeerTable
from endivegw.gossip.link import MAX_WITNESSES
from endivegw.gossip.messages import TargetLeaving, Update
from endivegw.gossip.peers import PEERS_TABLE
from endivegw.quarantine import QuarantineManager, TargetStart
from endivegw.relay.caller_connection import CallerConnection
from endivegw.relay.context import RelayContext
from endivegw.relay.handler import RequestHandler
from endivegw.relay.held_answers import MEGABYTE, HeldAnswers
from endivegw.relay.target_pool import TargetPool
from endivegw.relay.termination_detector import TerminationDetector
from endivegw.relay.wire import WirePort
from endivegw.routing import LimitReport, ZoneChange, ZoneEvacuations
from endivegw.services.measured_rows import TimedRowStore
from endivegw.services.relayed_rows import (
    ObservedRowStore,
    RelayedRowStore,
    RouterCaller,
)
from endivegw.services.row_store import RowStorePort
from endivegw.settings.direct import DirectRouterSettings
from endivegw.settings.mechanisms import Mechanisms
from endivegw.streams import StreamVersions, VersionSeen
from endivegw.tcp_stream import TrafficMeter
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.relay import BODY_LIMIT_LARGE
from endivegw.telemetry.exposition import RouterMetrics
from endivegw.types import InstanceId, TargetName

__all__ = ["build_direct_router"]

#: How many of the largest answers are held at once where the memory is not stated.
_MAX_ANSWERS = 4

#: Part of the grace period that remains unused when the router exits by itself.
_STOP_MARGIN_S = 0.6

#: Timeout of the write that removes the address of a terminated router.
_REMOVE_TIMEOUT_S = 1.0

#: Maximum number of targets that are compared for each placement. All targets of a
#: fleet up to this size can be compared, because the load that other routers cause
#: is known from their own heartbeats rather than from delayed target reports.
_MAX_COMPARED_TARGETS = 32

#: Number of equal reports in a row after which reports would be ignored as frozen.
#: Loads come from the heartbeats of live routers here, which are never frozen.
_FROZEN_REPORTS_NEVER = 1_000_000_000


def build_direct_router(
    settings: DirectRouterSettings,
    store: RowStorePort,
    wire: WirePort,
    decoder: RowDecoder,
    started_s: float | None = None,
) -> DirectRouter:
    """Build a router around the adapter of the deployment.

    :param store: client of the deployment's row store.
    :param wire: codec of the deployment's header fields.
    :param decoder: decoder of the deployment's configuration and target rows.
    :param started_s: when the process started, on :func:`steady_clock`; None for now.
    """
    clock = steady_clock
    metrics = RouterMetrics()
    rng = random.Random()
    instance_id = InstanceId(f"{settings.vm}-{uuid.uuid4().hex[:8]}")
    log = EventLog("router", vm=settings.vm)
    zone = settings.availability_zone
    ip, port = settings.peers.ip, settings.peers.port
    entry = PeerEntry(settings.vm, instance_id, ip, port, zone)
    peers = PeerTable(settings.vm, zone)
    mechanisms = settings.mechanisms
    direct_store = TimedRowStore(store, metrics, clock)
    relayed_store = RelayedRowStore(
        direct_store,
        lambda: peers.store_relays(clock()) if mechanisms.store_relays else [],
        RouterCaller(),
        rng,
        log,
    )
    store = ObservedRowStore(direct_store, lambda: relayed_store.set_reachable(True))
    policy = _placement_policy(mechanisms)
    dispatcher = Dispatcher(policy, zone, rng)
    link = PeerLink(
        entry,
        peers,
        lend=lambda account, min_tokens, wanted_tokens: (
            allowances.lend(
                account, min_tokens, wanted_tokens if mechanisms.loans else 0
            )
        ),
        surplus=lambda: allowances.surplus_tokens(),
        load=dispatcher.local_load,
        pop_prefixes=lambda: (
            dispatcher.pop_prefixes() if mechanisms.tell_prefixes else []
        ),
        on_prefixes_read=lambda prefixes: dispatcher.record_remote_prefixes(
            prefixes, clock()
        ),
        on_loan=lambda account, tokens: allowances.credit(account, tokens),
        on_lent=lambda account, tokens: allowances.record_lent(account, tokens),
        on_acknowledgement=lambda peer, number: (
            allowances.ledger.witnesses.acknowledge(peer, number)
        ),
        waives=lambda: not relayed_store.reachable or allowances.waives(),
        on_waiver=lambda witness, number: (
            allowances.ledger.witnesses.record_waiver(witness, number)
        ),
        on_replacement=lambda witness, number: (
            allowances.ledger.witnesses.record_replacement(witness, number)
        ),
        make_statement=lambda sequence: allowances.next_statement(sequence),
        named_witnesses=lambda: allowances.ledger.witnesses.named(),
        clock=clock,
        log=log,
        on_broadcast=lambda message: on_broadcast(message),
        rng=rng,
        on_permits=lambda *answer: queue.add_permits(*answer),
        on_streams=lambda records: streams.keep(records),
        find_stream=lambda key: streams.find(key),
        sole_version=lambda service: streams.sole_version(service),
        max_witnesses=MAX_WITNESSES if mechanisms.witnesses else 0,
        reaches_store=lambda: relayed_store.reachable,
        headroom=lambda: capacity.headroom() if capacity else None,
    )
    meter = _traffic_meter(settings)
    capacity = _capacity_watch(settings, peers, meter, clock, log)
    streams = StreamVersions(
        store,
        settings.vm,
        link.streams,
        lambda timeout_s: target_feed.refresh(timeout_s),
        lambda: targets.unavailable_s(),
        clock,
        log,
    )
    allowances = AllowanceManager(
        relayed_store,
        settings.vm,
        instance_id,
        link,
        clock,
        log,
        _allowance_options(settings),
        started_s=started_s,
        on_removed=lambda vm: peer_reader.remove(
            store, vm, timeout_s=_REMOVE_TIMEOUT_S
        ),
    )
    quarantine = QuarantineManager(
        store,
        link.broadcast,
        rng,
        clock,
        log,
        is_trier=lambda key: peers.coordinator(TargetName(key), clock()) is None,
    )
    pool = TargetPool(clock, meter=meter)
    queue = PlacementQueue(dispatcher, clock, link.request_permits)
    context = RelayContext(
        wire=wire,
        allowances=allowances,
        queue=queue,
        pool=pool,
        terminations=TerminationDetector(
            pool, quarantine.record_termination, clock, log
        ),
        quarantine=quarantine,
        streams=streams,
        retries=RetryBudget(RetryPolicy(settings.retry_share, settings.retry_burst)),
        rng=rng,
        clock=clock,
        log=log,
        metrics=metrics,
        capacity=capacity,
        held_answers=_held_answers(settings, meter.memory),
    )
    evacuations = ZoneEvacuations()
    targets = TargetReader(
        context,
        decoder,
        clock,
        log,
        evacuations,
        peers.send_quota,
        peers.routers,
        streams.register,
    )
    evacuation_reader = EvacuationReader(
        evacuations,
        decoder,
        targets.on_zone_change,
        link.broadcast,
        lambda zone: len(targets.targets_in(zone)),
        log,
    )
    connection_limit = ConnectionLimit[CallerConnection](_max_connections(settings))
    add_router_gauges(metrics, context)
    add_caller_gauges(metrics, meter.memory, connection_limit)
    if capacity is not None:
        add_capacity_gauges(metrics, capacity)
    metrics.gauge(
        "evacuated_zones",
        "Availability zones whose targets get no new requests.",
        lambda: len(evacuations.evacuated()),
    )
    metrics.gauge(
        "targets_warming_up",
        "Targets that get a limited rate of requests after their start.",
        targets.warming_up_count,
    )
    metrics.gauge(
        "targets_limited",
        "Targets that limit the requests from all routers together.",
        targets.limited_count,
    )

    def on_replaced(instance_id: InstanceId, started_ms: int | None) -> None:
        if targets.on_replaced(instance_id, started_ms):
            link.broadcast(TargetLeaving(TargetStart(instance_id, started_ms)))

    context.on_replaced = on_replaced
    context.on_warm_up = targets.on_warm_up

    def on_leaving(start: TargetStart, source: str) -> None:
        if targets.on_leaving(start, source):
            link.broadcast(TargetLeaving(start))

    context.on_leaving = on_leaving

    def on_limit(start: TargetStart, limit_per_s: float | None, sent_s: float) -> None:
        report = targets.on_limit(start, limit_per_s, sent_s)
        if report is not None:
            link.broadcast(report)

    context.on_limit = on_limit

    def on_broadcast(message: Update) -> None:
        match message:
            case LimitReport():
                if targets.on_limit_report(message):
                    link.broadcast(message)
            case TargetLeaving(start):
                on_leaving(start, "peer")
            case VersionSeen():
                streams.receive(message)
            case ZoneChange():
                evacuation_reader.apply(message, "peer")
            case _:
                quarantine.receive(message)

    def on_configuration() -> None:
        if context.table is not None:
            _apply_largest_body(meter.memory, context.table.limits.body_bytes, log)
            allowances.set_prepaid(context.table.prepaid_tokens())
            targets.apply()

    configuration = ConfigurationReader(context, decoder, on_configuration, log)
    peer_reader = PeerReader(peers, entry, log)
    readers: dict[str, FeedReader] = {
        decoder.configuration_table: ReaderGroup(
            configuration, evacuation_reader, UnknownRows(decoder, log)
        ),
        PEERS_TABLE: peer_reader,
    }
    target_feed = RowFeed(store, decoder.targets_table, targets, clock, log)
    feeds = (
        target_feed,
        *(
            RowFeed(store, table, reader, clock, log)
            for table, reader in readers.items()
        ),
    )
    handler = RequestHandler(context, settings.max_body_s)
    parts = DirectRouterParts(
        context=context,
        handler=handler.handle,
        intake=handler,
        allowances=allowances,
        link=link,
        store=store,
        targets=targets,
        peer_reader=peer_reader,
        feeds=feeds,
        callers_address=settings.callers,
        ready_address=settings.ready,
        metrics_address=settings.metrics,
        peers_address=settings.peers,
        relayed_store=relayed_store,
        meter=meter,
        connection_limit=connection_limit,
        clock=clock,
        log=log,
    )
    stop_timeout_s = max(1.0, settings.stop_within_s - _STOP_MARGIN_S)
    return DirectRouter(parts, DirectRouterOptions(stop_within_s=stop_timeout_s))


def _capacity_watch(
    settings: DirectRouterSettings,
    peers: PeerTable,
    meter: TrafficMeter,
    clock: Callable[[], float],
    log: EventLog,
) -> CapacityWatch | None:
    """Return the watch of the machine's capacity; None if the settings state none."""
    if settings.capacity is None:
        return None
    return CapacityWatch(
        settings.vm,
        settings.capacity,
        lambda: peers.zone_routers(clock()),
        meter,
        clock,
        log,
    )


def steady_clock() -> float:
    """Return seconds on a monotonic clock that includes time in suspend.

    On a clock that stops during suspend, a resumed process would consider its
    deadlines and budget balances as fresh as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _allowance_options(settings: DirectRouterSettings) -> AllowanceOptions:
    options = AllowanceOptions(
        spread_rows=settings.spread_rows, validity_s=settings.row_lasts_s
    )
    if not settings.mechanisms.loans_ahead:
        return evolve(options, hold_s=0.0)
    return options


def _traffic_meter(settings: DirectRouterSettings) -> TrafficMeter:
    """Return the meter of all connections, with the limit on what is held for them."""
    capacity = settings.capacity or RouterCapacity()
    max_bytes = capacity.max_total_bytes(settings.held_share)
    return TrafficMeter(memory=HeldMemory(max_bytes))


def _max_connections(settings: DirectRouterSettings) -> float:
    """Return how many connections of callers may be open."""
    if settings.max_connections is not None:
        return settings.max_connections
    capacity = settings.capacity or RouterCapacity()
    if capacity.descriptors is None:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        capacity = evolve(capacity, descriptors=soft_limit)
    return capacity.max_connections


def _apply_largest_body(memory: HeldMemory, body_bytes: int, log: EventLog) -> None:
    """Make room for the largest body that the configuration allows."""
    if memory.largest_bytes == body_bytes:
        return
    memory.largest_bytes = body_bytes
    if memory.limit_bytes > memory.max_bytes:
        log.emit(
            BODY_LIMIT_LARGE,
            body_bytes=body_bytes,
            held_bytes=int(memory.max_bytes),
            needed_bytes=int(memory.limit_bytes),
        )


def _held_answers(settings: DirectRouterSettings, memory: HeldMemory) -> HeldAnswers:
    """Return the bounds of answers that are read whole."""
    max_bytes = int(settings.max_answer_mb * MEGABYTE)
    max_total_bytes = _MAX_ANSWERS * max_bytes
    if settings.capacity is not None and settings.capacity.memory_mb is not None:
        max_total_bytes = int(settings.capacity.max_held_bytes)
    return HeldAnswers(min(max_bytes, max_total_bytes), max_total_bytes, memory=memory)


def _placement_policy(mechanisms: Mechanisms) -> Policy:
    """Return the placement policy for targets that are called directly.

    The priors match the engines that are usual on this platform; measured speeds
    replace them within the first dozens of answers.
    """
    defaults = Policy()
    return Policy(
        choices=_MAX_COMPARED_TARGETS,
        affinity=mechanisms.affinity,
        copies=mechanisms.copies,
        max_shed_share=defaults.max_shed_share if mechanisms.ejection else 0.0,
        frozen_reports=_FROZEN_REPORTS_NEVER,
        zone_penalty_s=0.004,
        pause_cost_s=0.6 if mechanisms.pauses else 0.0,
        separate_prompts=mechanisms.separate_prompts,
        prefix_ttl_s=30.0,
        prior_prefill_tokens_per_s=30_000.0,
        prior_step_s=0.01,
        prior_service_s=0.05,
    )
