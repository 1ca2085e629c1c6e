"""What membership needs of the transport between processes."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Result
from endivegw.targets.ports import EngineLoad
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId, TargetName

__all__ = ["Heartbeat", "HeartbeatPort", "PeerAddress"]


@frozen(order=True)
class PeerAddress:
    """Name where a peer is reached, and as what.

    :param vm: the platform's id of its machine.
    :param role: ``router`` or ``target``.
    """

    vm: str
    address: str
    role: str


@frozen
class Heartbeat:
    """Hold what a peer said of itself.

    :param draining: it takes no new work for now; it may take some again.
    :param leaving: this instance ends and never takes new work again.
    :param load: None from routers.
    :param target: the target behind a sidecar, "" from routers.
    :param start_incarnation: what a start at this sidecar must name.
    :param cache_sequence: the last cache event that the sidecar has seen.
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
    """One heartbeat to one peer."""

    async def heartbeat(
        self, peer: PeerAddress, *, timeout_s: float
    ) -> Result[Heartbeat]:
        """Return what the peer answers; it never raises for an absent peer."""
