"""Interface between membership and the transport between processes."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Result
from endivegw.targets.ports import EngineLoad
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId, TargetName

__all__ = ["Heartbeat", "HeartbeatPort", "PeerAddress"]


@frozen(order=True)
class PeerAddress:
    """Identify a peer by its machine, network address and role.

    :param vm: the platform's id of the peer's machine.
    :param role: ``router`` or ``target``.
    """

    vm: str
    address: str
    role: str


@frozen
class Heartbeat:
    """Hold a peer's response to a heartbeat.

    :param draining: whether the peer accepts no new work for now; it may resume.
    :param leaving: whether this instance terminates; it never accepts new work again.
    :param load: load of the target; None from routers.
    :param target: the target behind a sidecar; "" from routers.
    :param start_incarnation: incarnation that a start at this sidecar must name.
    :param cache_sequence: sequence number of the last cache event that the sidecar
        received.
    """

    instance_id: InstanceId
    availability_zone: AvailabilityZone
    config_revision: ConfigRevision
    draining: bool = False
    leaving: bool = False
    load: EngineLoad | None = None
    target: TargetName = TargetName("")
    start_incarnation: str = ""
    cache_sequence: int = 0


class HeartbeatPort(Protocol):
    """Send heartbeats to peers."""

    async def heartbeat(
        self, peer: PeerAddress, *, timeout_s: float
    ) -> Result[Heartbeat]:
        """Return the peer's response; never raises for an unreachable peer."""
