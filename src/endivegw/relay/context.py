"""What all requests of one router share."""

from __future__ import annotations

import random
from typing import Callable

from attrs import define, field

from endivegw.allowances import AllowanceManager
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.decisions import RetryBudget
from endivegw.quarantine import QuarantineManager, TargetStart
from endivegw.relay.attempt import AttemptLimits
from endivegw.relay.target_ends import TargetEnds
from endivegw.relay.target_pool import TargetPool
from endivegw.relay.wire import WirePort
from endivegw.routing import RoutingTable
from endivegw.telemetry import EventLog
from endivegw.telemetry.exposition import RouterMetrics
from endivegw.types import InstanceId

__all__ = ["RelayContext"]


@define
class RelayContext:
    """Hold what all requests of one router share.

    :ivar table: the configuration in force; None before the first.
    :ivar table_since_s: when it came into force.
    :ivar draining: whether the router is about to stop.
    :ivar on_replaced: takes the instance and the start of a target at whose address
        another instance answered.
    :ivar on_leaving: takes a start of a target that says in an answer that it leaves,
        and where that was heard.
    """

    wire: WirePort
    allowances: AllowanceManager
    queue: PlacementQueue
    pool: TargetPool
    ends: TargetEnds
    quarantine: QuarantineManager
    retries: RetryBudget
    rng: random.Random
    clock: Callable[[], float]
    log: EventLog
    limits: AttemptLimits = field(factory=AttemptLimits)
    metrics: RouterMetrics = field(factory=RouterMetrics)
    table: RoutingTable | None = None
    table_since_s: float = 0.0
    draining: bool = False
    on_replaced: Callable[[InstanceId, int | None], None] = lambda name, start: None
    on_leaving: Callable[[TargetStart, str], None] = lambda start, source: None
