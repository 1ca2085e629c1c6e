"""Read and validate the settings file of a daemon."""

from __future__ import annotations

import ipaddress
import pathlib

from endivegw.configuration import TargetKind
from endivegw.exceptions import SettingsError
from endivegw.settings.model import (
    DEFAULT_WEIGHT_BYTES_PER_S,
    DEFAULT_WEIGHT_LOADS_AT_ONCE,
    HttpLimits,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    RecoverySettings,
    RouterSettings,
    SidecarSettings,
    TargetSettings,
)
from endivegw.settings.reader import Address, SettingsReader
from endivegw.types import AvailabilityZone, TargetName

__all__ = [
    "load_platform_settings",
    "load_router_settings",
    "load_sidecar_settings",
]

DEFAULT_ROUTER_PORT = 7401
DEFAULT_SIDECAR_PORT = 7402

#: Long, because a planned stop must not interrupt a request in progress.
DEFAULT_DRAIN_BOUND_S = 600.0

DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 32 * 1024
DEFAULT_DEADLINE_S = 60.0
DEFAULT_MAX_DEADLINE_S = 600.0
DEFAULT_HELD_MB = 96.0
DEFAULT_HEAD_TIMEOUT_S = 10.0
DEFAULT_PLATFORM_TIMEOUT_S = 2.0
DEFAULT_MAX_RUNNING = 64

#: Sized for a fleet of a few entry VMs and two dozen targets.
DEFAULT_FLEET_DAEMONS = 30

_LEVELS = ("debug", "info", "warning", "error")


def load_router_settings(path: pathlib.Path) -> RouterSettings:
    """Read and validate the settings of a router.

    :raises SettingsError: for the first invalid value, naming its section and key.
    """
    reader = SettingsReader(path)
    settings = RouterSettings(
        process=_process(reader),
        listen=reader.address("http", "listen"),
        http=_http(reader),
        peers=_peers(reader, DEFAULT_ROUTER_PORT),
        platform=_platform(reader),
        logs=_logs(reader),
        recovery=_recovery(reader),
    )
    reader.reject_unknown_keys()
    return settings


def load_sidecar_settings(path: pathlib.Path) -> SidecarSettings:
    """Read and validate the settings of a sidecar.

    :raises SettingsError: for the first invalid value, naming its section and key.
    """
    reader = SettingsReader(path)
    settings = SidecarSettings(
        process=_process(reader),
        target=_target(reader),
        peers=_peers(reader, DEFAULT_SIDECAR_PORT),
        platform=_platform(reader),
        logs=_logs(reader),
    )
    reader.reject_unknown_keys()
    return settings


def load_platform_settings(path: pathlib.Path) -> PlatformSettings:
    """Read only the section [platform] of an operator's or a daemon's file."""
    return _platform(SettingsReader(path))


def _process(reader: SettingsReader) -> ProcessSettings:
    return ProcessSettings(
        vm=reader.text("process", "vm"),
        availability_zone=AvailabilityZone(reader.text("process", "availability_zone")),
        drain_bound_s=reader.number("process", "drain_bound_s", DEFAULT_DRAIN_BOUND_S),
    )


def _http(reader: SettingsReader) -> HttpLimits:
    max_connections = reader.optional_positive("http", "max_connections")
    return HttpLimits(
        max_body_bytes=reader.integer(
            "http", "max_body_bytes", DEFAULT_MAX_BODY_BYTES, minimum=1
        ),
        max_header_bytes=reader.integer(
            "http", "max_header_bytes", DEFAULT_MAX_HEADER_BYTES, minimum=1024
        ),
        default_deadline_s=reader.number(
            "http", "default_deadline_s", DEFAULT_DEADLINE_S, minimum=0.1
        ),
        max_deadline_s=reader.number(
            "http", "max_deadline_s", DEFAULT_MAX_DEADLINE_S, minimum=0.1
        ),
        held_mb=reader.number("http", "held_mb", DEFAULT_HELD_MB, minimum=1.0),
        max_connections=None if max_connections is None else int(max_connections),
        head_timeout_s=reader.number(
            "http", "head_timeout_s", DEFAULT_HEAD_TIMEOUT_S, minimum=0.1
        ),
    )


def _peers(reader: SettingsReader, default_port: int) -> PeerSettings:
    listen = reader.address("peers", "listen", Address("127.0.0.1", default_port))
    settings = PeerSettings(
        listen=listen,
        address=reader.address("peers", "address", listen),
        router_port=reader.integer("peers", "router_port", DEFAULT_ROUTER_PORT),
        sidecar_port=reader.integer("peers", "sidecar_port", DEFAULT_SIDECAR_PORT),
        plain=reader.flag("peers", "plain", False),
        tls_ca=reader.file("peers", "tls_ca"),
        tls_certificate=reader.file("peers", "tls_certificate"),
        tls_key=reader.file("peers", "tls_key"),
        shared_key_file=reader.file("peers", "shared_key_file"),
    )
    _check_authentication(reader, settings)
    _check_address(reader, settings)
    return settings


def _check_address(reader: SettingsReader, settings: PeerSettings) -> None:
    if not ipaddress.ip_address(settings.address.ip).is_unspecified:
        return
    raise SettingsError(
        f"{reader.path}: [peers] address: peers cannot reach {settings.address}; "
        "set the address of this machine"
    )


def _check_authentication(reader: SettingsReader, settings: PeerSettings) -> None:
    tls = (settings.tls_ca, settings.tls_certificate, settings.tls_key)
    if any(tls) and not all(tls):
        raise SettingsError(
            f"{reader.path}: [peers] tls_ca: "
            "tls_ca, tls_certificate and tls_key must be set together"
        )
    if settings.plain or all(tls) or settings.shared_key_file:
        return
    raise SettingsError(
        f"{reader.path}: [peers] plain: set the TLS files or shared_key_file, "
        "or plain = yes on a network that only the fleet can reach"
    )


def _platform(reader: SettingsReader) -> PlatformSettings:
    return PlatformSettings(
        table_url=reader.url("platform", "table_url"),
        object_store_url=reader.url("platform", "object_store_url"),
        vm_list_url=reader.url("platform", "vm_list_url"),
        weight_store_url=reader.url("platform", "weight_store_url", ""),
        access_key_id=reader.text("platform", "access_key_id", ""),
        secret_key_file=reader.file("platform", "secret_key_file"),
        timeout_s=reader.number(
            "platform",
            "timeout_s",
            DEFAULT_PLATFORM_TIMEOUT_S,
            minimum=0.05,
            maximum=60.0,
        ),
        fleet_daemons=reader.integer(
            "platform", "fleet_daemons", DEFAULT_FLEET_DAEMONS, minimum=1
        ),
        weight_bytes_per_s=reader.number(
            "platform", "weight_bytes_per_s", DEFAULT_WEIGHT_BYTES_PER_S, minimum=1.0
        ),
        weight_loads_at_once=reader.integer(
            "platform", "weight_loads_at_once", DEFAULT_WEIGHT_LOADS_AT_ONCE, minimum=1
        ),
    )


def _recovery(reader: SettingsReader) -> RecoverySettings:
    defaults = RecoverySettings()
    return RecoverySettings(
        silence_s=reader.number(
            "recovery", "silence_s", defaults.silence_s, minimum=1.0
        ),
        turn_s=reader.number("recovery", "turn_s", defaults.turn_s, minimum=0.5),
    )


def _logs(reader: SettingsReader) -> LogSettings:
    return LogSettings(
        level=reader.choice("logs", "level", _LEVELS, "info"),
        statsd=reader.optional_address("logs", "statsd"),
    )


def _target(reader: SettingsReader) -> TargetSettings:
    kinds = tuple(kind.value for kind in TargetKind)
    kind = TargetKind(reader.choice("target", "kind", kinds, TargetKind.ENGINE.value))
    serves = reader.text("target", "serves", "" if kind is TargetKind.ENGINE else None)
    return TargetSettings(
        target=TargetName(reader.text("target", "name")),
        kind=kind,
        url=reader.url("target", "url"),
        serves=tuple(serves.split()),
        checks_fence=reader.flag("target", "checks_fence", False),
        max_running=reader.integer(
            "target", "max_running", DEFAULT_MAX_RUNNING, minimum=1
        ),
    )
