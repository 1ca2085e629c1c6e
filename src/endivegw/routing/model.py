"""What a configuration says of routes, services and client accounts."""

from __future__ import annotations

import enum

from attrs import field, frozen

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
    """What may be done with a request again."""

    #: May run any number of times.
    REPEATABLE = "repeatable"
    #: May run at most once.
    AT_MOST_ONCE = "at-most-once"
    #: A stream of events that may run at most once.
    STREAM = "stream"
    #: A stream that another target may go on with after the last whole event.
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Return whether a second target may be asked after a lost answer."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM)


class ServiceKind(enum.Enum):
    """What the targets of a service are."""

    ENGINE = "engine"
    PLAIN = "plain"


@frozen
class WeightedService:
    """Hold one service's share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Hold one route.

    :param prefix: begins and ends with a slash.
    :param services: where the requests go, by weight; never empty.
    :param timeout_s: the longest that a request may take in all.
    :param objective_s: until when an answer is on time.
    :param pause_objective_s: the longest pause within a stream that is on time.
    :param most_targets: to how many targets one request may be sent.
    :param public: whether no key is needed.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    most_targets: int = 1
    public: bool = False
    pause_objective_s: float | None = None


@frozen
class ClientAccount:
    """Hold one client account.

    :param priority: goes before the route's; None where the account has none.
    :param prepaid_tokens: None where it has no budget.
    """

    name: ClientAccountName
    keys: frozenset[str]
    priority: int | None
    prepaid_tokens: int | None


@frozen
class CallerLimits:
    """Hold what a caller may send, and how long it may take."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class FleetConfiguration:
    """Hold one version of the configuration in full.

    :param copy_s_per_token: by service, how long targets take to copy one cached
        token from each other; those that cannot are not named.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceKind]
    accounts: tuple[ClientAccount, ...]
    limits: CallerLimits = field(factory=CallerLimits)
    tokens_per_event: int = 1
    copy_s_per_token: dict[str, float] = field(factory=dict)


@frozen
class DirectTarget:
    """Hold one target as it registered itself.

    :param instance_id: the name it is registered under; a restart may keep it.
    :param address: ``IP:PORT``.
    :param leaving: whether it must get no new work.
    :param started_ms: Unix milliseconds of its start, which tell two incarnations of
        one ``instance_id`` apart; None where it does not say. They are compared for
        equality only: its clock may have gone back between two starts.
    """

    instance_id: InstanceId
    service: str
    address: str
    availability_zone: AvailabilityZone
    slots: int
    leaving: bool = False
    started_ms: int | None = None

    def is_incarnation_of(self, other: DirectTarget) -> bool:
        """Return whether both are the same start of the same target."""
        same_start = self.started_ms == other.started_ms
        return self.instance_id == other.instance_id and same_start
