"""State and collaborators that all requests of one router share."""

from __future__ import annotations

import random
from typing import Callable, Protocol

from attrs import define, field

from endivegw.allowances import AllowanceManager
from endivegw.daemons.capacity_watch import CapacityWatch
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.decisions import RetryBudget
from endivegw.quarantine import QuarantineManager, TargetStart
from endivegw.relay.attempt import AttemptLimits
from endivegw.relay.held_answers import HeldAnswers
from endivegw.relay.target_pool import TargetPool
from endivegw.relay.termination_detector import TerminationDetector
from endivegw.relay.wire import WirePort
from endivegw.routing import RoutingTable
from endivegw.streams import StreamVersions
from endivegw.telemetry import EventLog
from endivegw.telemetry.exposition import RouterMetrics
from endivegw.types import InstanceId

__all__ = ["RelayContext", "StoppableRequest"]


class StoppableRequest(Protocol):
    """A request in progress."""

    def stop(self) -> None:
        """End the request now with an answer that states whether it may have run."""


@define
class RelayContext:
    """Hold state and collaborators that all requests of one router share.

    :ivar table: the active configuration; None until the first one is loaded.
    :ivar table_active_since_s: time at which that configuration became active.
    :ivar held_answers: bounds the answers that are read whole.
    :ivar unknown_answer_fields: names of fields that targets sent and the adapter does
        not read, as far as they were logged.
    :ivar draining: whether the router accepts no new requests because it stops.
    :ivar capacity: admits requests while the machine can carry them; None if its
        capacity is not known.
    :ivar running: the requests in progress that were admitted.
    :ivar stopped: whether no request may begin any more.
    :ivar on_new_limits: called after a configuration with other limits for callers has
        come into force.
    :ivar on_replaced: called with the instance id and start time of a target when
        another instance answered at its address.
    :ivar on_leaving: called with a target that announces its shutdown, and with the
        source of the announcement.
    :ivar on_warm_up: called with a target whose answer states that it warms up, and
        with the seconds that it still needs.
    :ivar on_limit: called for each answer with its target, the limit that it states on
        requests per second, and the time at which its request was sent.
    """

    wire: WirePort
    allowances: AllowanceManager
    queue: PlacementQueue
    pool: TargetPool
    terminations: TerminationDetector
    quarantine: QuarantineManager
    streams: StreamVersions
    retries: RetryBudget
    rng: random.Random
    clock: Callable[[], float]
    log: EventLog
    limits: AttemptLimits = field(factory=AttemptLimits)
    held_answers: HeldAnswers = field(factory=HeldAnswers)
    metrics: RouterMetrics = field(factory=RouterMetrics)
    table: RoutingTable | None = None
    table_active_since_s: float = 0.0
    unknown_answer_fields: set[bytes] = field(factory=set)
    draining: bool = False
    capacity: CapacityWatch | None = None
    running: set[StoppableRequest] = field(factory=set)
    stopped: bool = False
    on_new_limits: Callable[[], None] = lambda: None
    on_replaced: Callable[[InstanceId, int | None], None] = lambda name, start: None
    on_leaving: Callable[[TargetStart, str], None] = lambda start, source: None
    on_warm_up: Callable[[TargetStart, float], None] = lambda start, warm_up_s: None
    on_limit: Callable[[TargetStart, float | None, float], None] = (
        lambda start, limit_per_s, sent_s: None
    )
