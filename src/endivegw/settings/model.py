"""The settings of each daemon as data."""

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


#: 10 GB a second, which loads a model of 100 GB in 80 s where 8 load at once.
DEFAULT_WEIGHT_BYTES_PER_S = 10e9
DEFAULT_WEIGHT_LOADS_AT_ONCE = 8


@frozen
class ProcessSettings:
    """Say where a process runs; it learns this from nowhere else.

    :param vm: the platform's id of the machine.
    :param drain_bound_s: how long a planned stop waits for work in progress.
    """

    vm: str
    availability_zone: AvailabilityZone
    drain_bound_s: float


@frozen
class PeerSettings:
    """Say how the fleet's processes reach and know each other.

    :param listen: the address on which this process takes its peers' calls.
    :param address: where peers reach it, which is told to them; the same
        address, unless the process listens on all of its machine's.
    :param router_port: port of every router's peer address.
    :param sidecar_port: port of every sidecar's peer address.
    :param plain: whether calls go without authentication.
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
    """Name the platform's services.

    :param fleet_daemons: about how many daemons share the services' rates.
    :param weight_bytes_per_s: what the weight store gives to the whole fleet.
    :param weight_loads_at_once: how many engines load at the same time.
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
    """Say what is logged and where metrics go."""

    level: str
    statsd: Address | None


@frozen
class HttpLimits:
    """Bound what one caller may send.

    The bounds keep a router within 64 MB: a body is held in memory until the
    request has an answer, so that a repeatable request can be sent again.
    """

    max_body_bytes: int
    max_header_bytes: int
    default_deadline_s: float
    max_deadline_s: float


@frozen
class RecoverySettings:
    """Say when a router's grants are taken from it.

    :param silence_s: how long a listed router may leave heartbeats unanswered.
        Shorter returns a dead router's tokens sooner; a router that was merely
        paused for longer draws anew, and its work is refused meanwhile.
    :param turn_s: how often one of the routers looks for dead ones.
    """

    silence_s: float = 30.0
    turn_s: float = 15.0


@frozen
class RouterSettings:
    """Hold all settings of a router."""

    process: ProcessSettings
    listen: Address
    http: HttpLimits
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings
    recovery: RecoverySettings = RecoverySettings()


@frozen
class TargetSettings:
    """Say what stands beside a sidecar.

    :param serves: names of the plain services that stand there; an engine
        tells itself which models it serves.
    """

    target: TargetName
    kind: TargetKind
    url: str
    serves: tuple[str, ...]
    checks_fence: bool
    max_running: int


@frozen
class SidecarSettings:
    """Hold all settings of a sidecar."""

    process: ProcessSettings
    target: TargetSettings
    peers: PeerSettings
    platform: PlatformSettings
    logs: LogSettings
