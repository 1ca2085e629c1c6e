"""Wire what every daemon has: identity, clock, configuration, peers, metrics."""

from __future__ import annotations

import random
import time
import uuid
from typing import Callable

from attrs import frozen

from endivegw.composition.platform import Platform, open_platform
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.daemons.headers import ProcessIdentity, header_factory
from endivegw.daemons.peer_directory import PeerDirectory
from endivegw.daemons.vm_listings import others_by_zone
from endivegw.peers import (
    PeerSecurity,
    PlainPeers,
    RouterClient,
    SidecarClient,
    keyed_peers,
    tls_peers,
)
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.services import ListedVm
from endivegw.settings import (
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
)
from endivegw.telemetry import EventLog, Metrics, NoMetrics, statsd_metrics
from endivegw.types import InstanceId

__all__ = ["Process", "create_metrics", "open_process", "peer_security"]


@frozen
class Process:
    """Objects that the parts of one daemon share.

    :param header: returns the header of each message that this process sends.
    :param on_header: processes the header of each message that it receives.
    """

    identity: ProcessIdentity
    platform: Platform
    security: PeerSecurity
    configuration: ConfigurationAgent
    peer_directory: PeerDirectory
    header: Callable[[], pb.Header]
    on_header: Callable[[pb.Header], None]
    connect_router: Callable[[str, int], RouterClient]
    connect_sidecar: Callable[[str, int], SidecarClient]
    connect_owner: Callable[[str], SidecarClient]
    clock: Callable[[], float]
    rng: random.Random
    log: EventLog


def open_process(
    role: str,
    process: ProcessSettings,
    peers: PeerSettings,
    platform_settings: PlatformSettings,
    log: Callable[[InstanceId], EventLog],
    *,
    reports: bool,
    grant_holder: Callable[[], str] = str,
) -> Process:
    """Create the objects that every daemon has.

    :param reports: whether the daemon stores which configuration revisions it and its
        peers have applied.
    :param grant_holder: returns the holder name under which the daemon draws grants.
    """
    clock = _steady_unix_clock()
    rng = random.Random()
    identity = ProcessIdentity(
        _new_instance_id(process),
        process.vm,
        role,
        process.availability_zone,
        peers.address,
    )
    name = identity.instance_id
    platform = open_platform(platform_settings, name, clock, rng)
    security = peer_security(peers)

    def connect_router(host: str, port: int) -> RouterClient:
        return RouterClient(host, port, security, sender=name)

    def connect_sidecar(host: str, port: int) -> SidecarClient:
        return SidecarClient(host, port, security, sender=name)

    def connect_owner(address: str) -> SidecarClient:
        host, _, port = address.rpartition(":")
        return connect_sidecar(host.strip("[]"), int(port))

    # Circular dependency: the directory calls peers with this process's header, which
    # carries the configuration revision, and configuration is fetched from peers
    # through the directory. The lambda defers the lookup of header.
    peer_directory = PeerDirectory(
        connect_router, connect_sidecar, lambda: header(), clock
    )
    process_log = log(name)
    configuration = ConfigurationAgent(
        daemon=process.vm,
        local_zone=process.availability_zone,
        table=platform.table,
        objects=platform.objects,
        peers=peer_directory,
        random_source=rng,
        daemons=platform_settings.fleet_daemons,
        reports=reports,
        log=process_log,
    )
    header = header_factory(identity, configuration, grant_holder)

    def on_header(received: pb.Header) -> None:
        sender = peer_directory.receive_header(received)
        configuration.on_peer_revision(
            sender.instance_id,
            sender.availability_zone,
            sender.config_revision,
            name=sender.vm,
        )

    def on_vm_list(vms: tuple[ListedVm, ...], now_s: float) -> None:
        configuration.view.update_fleet_size(others_by_zone(vms, process.vm))

    platform.vms.on_vms_listed(on_vm_list)
    return Process(
        identity=identity,
        platform=platform,
        security=security,
        configuration=configuration,
        peer_directory=peer_directory,
        header=header,
        on_header=on_header,
        connect_router=connect_router,
        connect_sidecar=connect_sidecar,
        connect_owner=connect_owner,
        clock=clock,
        rng=rng,
        log=process_log,
    )


def peer_security(settings: PeerSettings) -> PeerSecurity:
    """Return the authentication scheme of calls between processes."""
    if settings.tls_ca and settings.tls_certificate and settings.tls_key:
        return tls_peers(settings.tls_ca, settings.tls_certificate, settings.tls_key)
    if settings.shared_key_file:
        return keyed_peers(settings.shared_key_file)
    return PlainPeers()


def create_metrics(logs: LogSettings, prefix: str) -> Metrics:
    """Return the configured metrics client, or a no-op client without one."""
    if logs.statsd is None:
        return NoMetrics()
    return statsd_metrics(logs.statsd.ip, logs.statsd.port, prefix)


def _steady_unix_clock() -> Callable[[], float]:
    """Return a monotonic clock that starts at Unix time.

    The system clock may be set back while the process runs, and a deadline or lease
    measured on it would then last too long.
    """
    offset_s = time.time() - time.monotonic()
    return lambda: offset_s + time.monotonic()


def _new_instance_id(process: ProcessSettings) -> InstanceId:
    """Return a name for this start of the process that is never reused."""
    return InstanceId(f"{process.vm}-{uuid.uuid4().hex[:12]}")
