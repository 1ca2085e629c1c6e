"""Heartbeat calls from a router to sidecars."""

from __future__ import annotations

from typing import Callable

from endivegw.exceptions import PeerError
from endivegw.membership import Heartbeat, PeerAddress
from endivegw.peers import NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.targets import CacheChange, EngineLoad
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId, TargetName

__all__ = ["SidecarHeartbeats"]


class SidecarHeartbeats:
    """Send heartbeats to sidecars, and own the connections to them.

    :param connect: opens the connection to the sidecar at an address.
    :param header: returns the header of this process for each message.
    :param on_header: receives the sidecar's header, for the configuration.
    :param is_leaving: returns whether the VM list shows a peer's machine as
        leaving. The sidecar is notified by each router that reads the list, and
        then refuses work from routers that cannot read it.
    """

    def __init__(
        self,
        connect: Callable[[str], SidecarClient],
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
        is_leaving: Callable[[PeerAddress], bool] = lambda peer: False,
    ) -> None:
        self._connect = connect
        self._header = header
        self._on_header = on_header
        self._is_leaving = is_leaving
        self._clients: dict[PeerAddress, SidecarClient] = {}

    async def heartbeat(
        self, peer: PeerAddress, *, timeout_s: float
    ) -> Result[Heartbeat]:
        """Send a heartbeat and return the sidecar's answer."""
        request = pb.HeartbeatRequest(header=self._header())
        if self._is_leaving(peer):
            request.leaving_vm = peer.vm
        try:
            reply = await self.client(peer).heartbeat(request, timeout_s)
        except NotDelivered as error:
            return Refused(Reason.UNREACHABLE, error.message)
        except PeerError as error:
            return Unknown(Reason.TIMEOUT, error.message)
        self._on_header(reply.header)
        return Done(_heartbeat(reply))

    def client(self, peer: PeerAddress) -> SidecarClient:
        """Return the connection to a sidecar, opened on first use."""
        client = self._clients.get(peer)
        if client is None:
            client = self._connect(peer.address)
            self._clients[peer] = client
        return client

    def forget(self, peer: PeerAddress) -> None:
        """Close the connection to a sidecar that is removed for good.

        All other connections stay open, because answers may still arrive over
        them even if the sidecar is unresponsive or missing from the list.
        """
        client = self._clients.pop(peer, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all connections."""
        for peer in tuple(self._clients):
            self.forget(peer)


def _heartbeat(reply: pb.HeartbeatReply) -> Heartbeat:
    load = reply.load
    changes = tuple(
        CacheChange(event.sequence, event.prefix_digest, event.evicted)
        for event in load.cache_events
    )
    figures = EngineLoad(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        tokens_per_s=load.tokens_per_s,
        models=tuple(load.models),
        age_s=load.age_s,
        cache_changes=changes,
    )
    return Heartbeat(
        instance_id=InstanceId(reply.header.instance_id),
        availability_zone=AvailabilityZone(reply.header.availability_zone),
        config_revision=ConfigRevision(reply.header.config_revision),
        draining=load.draining,
        leaving=reply.leaving,
        load=figures,
        target=TargetName(load.target),
        start_incarnation=reply.start_incarnation,
        cache_sequence=load.cache_event_sequence,
    )
