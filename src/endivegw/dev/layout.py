"""Addresses and settings of the fleet that runs in one process."""

from __future__ import annotations

import socket

from attrs import frozen

from endivegw.configuration import TargetKind
from endivegw.exceptions import EndivegwError
from endivegw.settings import (
    Address,
    HttpLimits,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    RouterSettings,
    SidecarSettings,
    TargetSettings,
)
from endivegw.types import AvailabilityZone, TargetName

__all__ = [
    "DevTarget",
    "LOOPBACK",
    "MODEL",
    "SERVICE",
    "TARGETS",
    "ZONES",
    "check_addresses",
    "router_address",
    "router_settings",
    "sidecar_settings",
    "target_address",
]

LOOPBACK = "127.0.0.1"
MODEL = "badge-1"
SERVICE = "lobby-app"
ZONES = tuple(AvailabilityZone(z) for z in ("Cumbaya", "Inaquito", "Quitumbe"))

#: A fleet that is stopped by hand must not block the terminal for ten minutes.
_DRAIN_BOUND_S = 20.0


@frozen
class DevTarget:
    """Name, kind and location of one target of the fleet."""

    name: TargetName
    kind: TargetKind
    availability_zone: AvailabilityZone
    serves: tuple[str, ...]


TARGETS = tuple(
    DevTarget(TargetName(f"engine-{n}"), TargetKind.ENGINE, zone, (MODEL,))
    for n, zone in enumerate(ZONES, 1)
) + (
    DevTarget(TargetName("lobby-1"), TargetKind.SERVICE, ZONES[0], (SERVICE,)),
)


def router_address(number: int) -> str:
    """Return the loopback address of the numbered router's vm."""
    return f"127.0.2.{number}"


def target_address(number: int) -> str:
    """Return the loopback address of the numbered target's vm."""
    return f"127.0.1.{number}"


def check_addresses(port: int) -> None:
    """Check that daemons can listen on loopback addresses other than 127.0.0.1.

    :raises EndivegwError: if the system does not provide them.
    """
    with socket.socket() as probe:
        try:
            probe.bind((target_address(1), port))
        except OSError as error:
            raise EndivegwError(
                "the development fleet requires the complete 127.0.0.0/8 network, "
                f"but cannot bind to {target_address(1)}:{port}: {error}"
            ) from error


def router_settings(
    number: int, http_port: int, peer_port: int, platform_url: str, log_level: str
) -> RouterSettings:
    """Return the settings of the numbered router."""
    return RouterSettings(
        process=ProcessSettings(
            vm=f"entry-{number}",
            availability_zone=ZONES[(number - 1) % len(ZONES)],
            drain_bound_s=_DRAIN_BOUND_S,
        ),
        listen=Address(LOOPBACK, http_port),
        http=HttpLimits(
            max_body_bytes=2 * 1024 * 1024,
            max_header_bytes=32 * 1024,
            default_deadline_s=30.0,
            max_deadline_s=600.0,
        ),
        peers=_peer_settings(router_address(number), peer_port),
        platform=_platform_settings(platform_url),
        logs=LogSettings(log_level, None),
    )


def sidecar_settings(
    number: int, target: DevTarget, url: str, peer_port: int, platform_url: str
) -> SidecarSettings:
    """Return the settings of the numbered target's sidecar."""
    return SidecarSettings(
        process=ProcessSettings(
            vm=f"target-{number}",
            availability_zone=target.availability_zone,
            drain_bound_s=_DRAIN_BOUND_S,
        ),
        target=TargetSettings(
            target=target.name,
            kind=target.kind,
            url=url,
            serves=target.serves,
            checks_fence=False,
            max_running=64,
        ),
        peers=_peer_settings(target_address(number), peer_port),
        platform=_platform_settings(platform_url),
        logs=LogSettings("info", None),
    )


def _peer_settings(ip: str, peer_port: int) -> PeerSettings:
    return PeerSettings(
        listen=Address(ip, peer_port),
        address=Address(ip, peer_port),
        router_port=peer_port,
        sidecar_port=peer_port,
        plain=True,
    )


def _platform_settings(url: str) -> PlatformSettings:
    return PlatformSettings(
        table_url=f"{url}/table",
        object_store_url=f"{url}/objects",
        vm_list_url=f"{url}/vms",
        weight_store_url=f"{url}/weights",
        access_key_id="",
        secret_key_file=None,
        timeout_s=2.0,
    )
