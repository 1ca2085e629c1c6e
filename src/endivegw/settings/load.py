"""Read and check a daemon's settings file."""

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

#: Long, because a planned stop must not cut off a request in progress.
DEFAULT_DRAIN_BOUND_S = 600.0

DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 32 * 1024
DEFAULT_DEADLINE_S = 60.0
DEFAULT_MAX_DEADLINE_S = 600.0
DEFAULT_PLATFORM_TIMEOUT_S = 2.0
DEFAULT_MAX_RUNNING = 64

#: Today's fleets: a few entry VMs and two dozen targets.
DEFAULT_FLEET_DAEMONS = 30

_LEVELS = ("debug", "info", "warning", "error")


def load_router_settings(path: pathlib.Path) -> RouterSettings:
    """Read a router's settings; :exc:`SettingsError` names what is wrong."""
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
    reader.end()
    return settings


def load_sidecar_settings(path: pathlib.Path) -> SidecarSettings:
    """Read a sidecar's settings; :exc:`SettingsError` names what is wrong."""
    reader = SettingsReader(path)
    settings = SidecarSettings(
        process=_process(reader),
        target=_target(reader),
        peers=_peers(reader, DEFAULT_SIDECAR_PORT),
        platform=_platform(reader),
        logs=_logs(reader),
    )
    reader.end()
    return settings


def load_platform_settings(path: pathlib.Path) -> PlatformSettings:
    """Read the section [platform] alone, from an operator's or a daemon's file."""
    return _platform(SettingsReader(path))


def _process(reader: SettingsReader) -> ProcessSettings:
    return ProcessSettings(
        vm=reader.text("process", "vm"),
        availability_zone=AvailabilityZone(reader.text("process", "availability_zone")),
        drain_bound_s=reader.number("process", "drain_bound_s", DEFAULT_DRAIN_BOUND_S),
    )


def _http(reader: SettingsReader) -> HttpLimits:
    return HttpLimits(
        max_body_bytes=reader.whole(
            "http", "max_body_bytes", DEFAULT_MAX_BODY_BYTES, least=1
        ),
        max_header_bytes=reader.whole(
            "http", "max_header_bytes", DEFAULT_MAX_HEADER_BYTES, least=1024
        ),
        default_deadline_s=reader.number(
            "http", "default_deadline_s", DEFAULT_DEADLINE_S, least=0.1
        ),
        max_deadline_s=reader.number(
            "http", "max_deadline_s", DEFAULT_MAX_DEADLINE_S, least=0.1
        ),
    )


def _peers(reader: SettingsReader, own_port: int) -> PeerSettings:
    listen = reader.address("peers", "listen", Address("127.0.0.1", own_port))
    settings = PeerSettings(
        listen=listen,
        address=reader.address("peers", "address", listen),
        router_port=reader.whole("peers", "router_port", DEFAULT_ROUTER_PORT),
        sidecar_port=reader.whole("peers", "sidecar_port", DEFAULT_SIDECAR_PORT),
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
        "name the machine's own address here"
    )


def _check_authentication(reader: SettingsReader, settings: PeerSettings) -> None:
    tls = (settings.tls_ca, settings.tls_certificate, settings.tls_key)
    if any(tls) and not all(tls):
        raise SettingsError(
            f"{reader.path}: [peers] tls_ca: "
            "tls_ca, tls_certificate and tls_key go together"
        )
    if settings.plain or all(tls) or settings.shared_key_file:
        return
    raise SettingsError(
        f"{reader.path}: [peers] plain: name TLS files or a shared_key_file, "
        "or say plain = yes on a network that only the fleet can reach"
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
            "platform", "timeout_s", DEFAULT_PLATFORM_TIMEOUT_S, least=0.05, most=60.0
        ),
        fleet_daemons=reader.whole(
            "platform", "fleet_daemons", DEFAULT_FLEET_DAEMONS, least=1
        ),
        weight_bytes_per_s=reader.number(
            "platform", "weight_bytes_per_s", DEFAULT_WEIGHT_BYTES_PER_S, least=1.0
        ),
        weight_loads_at_once=reader.whole(
            "platform", "weight_loads_at_once", DEFAULT_WEIGHT_LOADS_AT_ONCE, least=1
        ),
    )


def _recovery(reader: SettingsReader) -> RecoverySettings:
    default = RecoverySettings()
    return RecoverySettings(
        silence_s=reader.number("recovery", "silence_s", default.silence_s, least=1.0),
        turn_s=reader.number("recovery", "turn_s", default.turn_s, least=0.5),
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
        max_running=reader.whole("target", "max_running", DEFAULT_MAX_RUNNING, least=1),
    )
