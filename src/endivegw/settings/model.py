"""Data classes for the settings of each daemon."""

from __future__ import annotations

import pathlib

from attrs import frozen

from endivegw.configuration import TargetKind
from endivegw.settings.reader import Address
from endivegw.types import AvailabilityZone, TargetName

__all__ = [
    "HttpLimits",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "RecoverySettings",
    "RouterSettings",
    "SidecarSettings",
    "TargetSettings",
]


#: 10 GB/s, at which a model of 100 GB loads in 80 s while 8 engines load at once.
DEFAULT_WEIGHT_BYTES_PER_S = 10e9
DEFAULT_WEIGHT_LOADS_AT_ONCE = 8


@frozen
class ProcessSettings:
    """Where a process runs; the settings are its only source of this.

    :param vm: the platform's id of the machine.
    :param availability_zone: zone of the machine.
    :param drain_bound_s: maximum time that a planned stop waits for work in progress.
    """

    vm: str
    availability_zone: AvailabilityZone
    drain_bound_s: float


@frozen
class PeerSettings:
    """How the processes of the fleet reach and authenticate each other.

    :param listen: address on which this process accepts calls of its peers.
    :param address: address that is announced to peers; differs from ``listen`` if
        the process listens on all addresses of its machine.
    :param router_port: port of every router's peer address.
    :param sidecar_port: port of every sidecar's peer address.
    :param plain: whether calls are allowed without authentication.
    :param tls_ca: certificates of the authorities that sign peers' certificates.
    :param tls_certificate: certificate of this process.
    :param tls_key: private key of this process.
    :param shared_key_file: file with the key that authenticates calls of peers.
    """

    listen: Address
    address: Address
    router_port: int
    sidecar_port: int
    plain: bool
    tls_ca: pathlib.Path | None = None
    tls_certificate: pathlib.Path | None = None
    tls_key: pathlib.Path | None = None
    shared_key_file: pathlib.Path | None = None


@frozen
class PlatformSettings:
    """Services of the platform.

    :param table_url: URL of the table service.
    :param object_store_url: URL of the object store.
    :param vm_list_url: URL of the list of VMs.
    :param weight_store_url: URL of the store of model weights; empty if unused.
    :param access_key_id: id of the key that signs calls; empty if unused.
    :param secret_key_file: file with the secret of that key.
    :param timeout_s: time limit of one call.
    :param fleet_daemons: approximate number of daemons that share the services'
        rate limits.
    :param weight_bytes_per_s: throughput of the weight store for the whole fleet.
    :param weight_loads_at_once: maximum number of engines that load concurrently.
    """

    table_url: str
    object_store_url: str
    vm_list_url: str
    weight_store_url: str
    access_key_id: str
    secret_key_file: pathlib.Path | None
    timeout_s: float
    fleet_daemons: int = 30
    weight_bytes_per_s: float = DEFAULT_WEIGHT_BYTES_PER_S
    weight_loads_at_once: int = DEFAULT_WEIGHT_LOADS_AT_ONCE


@frozen
class LogSettings:
    """Log level, and address of the statsd server; None disables metrics."""

    level: str
    statsd: Address | None


@frozen
class HttpLimits:
    """Limits for a caller's request.

    The size limits keep a router within 64 MB: a body is held in memory until the
    request is answered, so that a repeatable request can be retried.

    :param max_body_bytes: maximum size of a request body.
    :param max_header_bytes: maximum size of the request headers.
    :param default_deadline_s: deadline of requests that do not set one.
    :param max_deadline_s: maximum deadline that a request may set.
    :param held_mb: memory that all requests together may take while they are received
        and answered.
    :param max_connections: connections of callers that may be open at once; None for
        a share of the process's limit on descriptors.
    :param head_timeout_s: maximum time for receiving a request's head.
    """

    max_body_bytes: int
    max_header_bytes: int
    default_deadline_s: float
    max_deadline_s: float
    held_mb: float = 96.0
    max_connections: int | None = None
    head_timeout_s: float = 10.0


@frozen
class RecoverySettings:
    """When the grants of an unresponsive router are recovered.

    :param silence_s: how long a listed router may leave heartbeats unanswered.
        A shorter time returns a dead router's tokens sooner; a router that was only
        paused for longer has to draw again, and its requests are refused meanwhile.
    :param turn_s: interval at which one of the routers checks for dead routers.
    """

    silence_s: float = 30.0
    turn_s: float = 15.0


@frozen
class RouterSettings:
    """All settings of a router."""

    process: ProcessSettings
    listen: Address
    http: HttpLimits
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings
    recovery: RecoverySettings = RecoverySettings()


@frozen
class TargetSettings:
    """The target beside a sidecar.

    :param target: name of the target.
    :param kind: whether the target is an engine or a plain service.
    :param url: URL of the target.
    :param serves: names of the plain services that the target provides; an engine
        reports its models itself.
    :param checks_fence: whether the target itself refuses orders with an old fence.
    :param max_running: maximum number of requests that run concurrently.
    """

    target: TargetName
    kind: TargetKind
    url: str
    serves: tuple[str, ...]
    checks_fence: bool
    max_running: int


@frozen
class SidecarSettings:
    """All settings of a sidecar."""

    process: ProcessSettings
    target: TargetSettings
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings
