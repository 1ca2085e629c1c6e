"""Routes, services, client accounts and targets as configured or registered."""

from __future__ import annotations

import enum

from attrs import field, frozen

from endivegw.decisions.warm_up import WarmUpLimits
from endivegw.types import AvailabilityZone, ClientAccountName, InstanceId

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "DirectTarget",
    "FleetConfiguration",
    "Route",
    "RouteKind",
    "ServiceKind",
    "WeightedService",
]


class RouteKind(enum.Enum):
    """Whether and how the requests of a route may be repeated."""

    #: May run any number of times.
    REPEATABLE = "repeatable"
    #: May run at most once.
    AT_MOST_ONCE = "at-most-once"
    #: An event stream whose request may run at most once.
    STREAM = "stream"
    #: A stream that another target may resume after the last complete event.
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is an event stream."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Return whether another target may be tried after an answer was lost."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM)


class ServiceKind(enum.Enum):
    """Kind of a service's targets."""

    ENGINE = "engine"
    PLAIN = "plain"


@frozen
class WeightedService:
    """Hold a service with its share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Hold one route.

    :param prefix: path prefix, which starts and ends with a slash.
    :param services: services that get the requests, by weight; never empty.
    :param timeout_s: maximum total time of a request.
    :param objective_s: time within which an answer meets the objective.
    :param pause_objective_s: longest pause within a stream that meets the objective;
        None if there is no objective.
    :param max_targets: maximum number of targets to which one request is sent.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_targets: int = 1
    public: bool = False
    pause_objective_s: float | None = None


@frozen
class ClientAccount:
    """Hold one client account.

    :param priority: takes precedence over the route's priority; None if the account has
        none.
    :param prepaid_tokens: the account's budget; None if it has none.
    """

    name: ClientAccountName
    keys: frozenset[str]
    priority: int | None
    prepaid_tokens: int | None


@frozen
class CallerLimits:
    """Hold the limits on the size and duration of callers' requests.

    :param head_bytes: maximum size of a request's head.
    :param body_bytes: maximum size of a request's body.
    :param head_timeout_s: maximum time for receiving a request's head.
    :param idle_timeout_s: time without data after which a connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    def widened(self, other: CallerLimits) -> CallerLimits:
        """Return limits that allow what either of two allows."""
        return CallerLimits(
            max(self.head_bytes, other.head_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.head_timeout_s, other.head_timeout_s),
            max(self.idle_timeout_s, other.idle_timeout_s),
        )


@frozen
class FleetConfiguration:
    """Hold one complete version of the configuration.

    :param copy_s_per_token: time to copy one cached token between targets, by service;
        services whose targets cannot copy are left out.
    :param warm_ups: how targets warm up, by service; services whose targets bear their
        full load at once are left out.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceKind]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits = field(factory=CallerLimits)
    tokens_per_event: int = 1
    copy_s_per_token: dict[str, float] = field(factory=dict)
    warm_ups: dict[str, WarmUpLimits] = field(factory=dict)


@frozen
class DirectTarget:
    """Hold one target as it registered itself.

    :param instance_id: name under which the target is registered; a restart may keep
        it.
    :param address: ``IP:PORT``.
    :param leaving: whether the target must get no new requests.
    :param started_ms: start time in Unix milliseconds, which distinguishes two
        incarnations of one ``instance_id``; None if not registered. Compare it
        for equality only: the target's clock may have been set back between two starts.
    :param warm_up_s: time that the target needed to become warm when it registered.
    :param software_version: version of the software that this start runs. It is not
        the version of a model's weights.
    """

    instance_id: InstanceId
    service: str
    address: str
    availability_zone: AvailabilityZone
    slots: int
    leaving: bool = False
    started_ms: int | None = None
    warm_up_s: float = 0.0
    software_version: str = ""

    def is_incarnation_of(self, other: DirectTarget) -> bool:
        """Return whether both are the same incarnation of the same target."""
        same_start = self.started_ms == other.started_ms
        same_software = self.software_version == other.software_version
        return self.instance_id == other.instance_id and same_start and same_software
