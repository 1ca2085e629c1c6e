"""Track the peers that sent messages recently, and connect to them."""

from __future__ import annotations

from typing import Callable

from attrs import define

from endivegw.daemons.headers import Sender, parse_sender
from endivegw.exceptions import PeerError
from endivegw.peers import RouterClient, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result
from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "ConnectRouter",
    "ConnectSidecar",
    "PeerDirectory",
    "ROUTER_ROLE",
    "TARGET_ROLE",
]

ConnectRouter = Callable[[str, int], RouterClient]
ConnectSidecar = Callable[[str, int], SidecarClient]

ROUTER_ROLE = "router"
TARGET_ROLE = "target"

#: Maximum number of entries; more peers than a process exchanges messages with in a
#: minute.
_MAX_PEERS = 256


@define
class _PeerEntry:
    sender: Sender
    received_at_s: float
    client: RouterClient | SidecarClient | None = None


class PeerDirectory:
    """Learn peers from the headers of their messages, and open connections to them.

    :param header: returns the header of this process for each message.
    :param clock: returns seconds on a monotonic clock.
    """

    def __init__(
        self,
        connect_router: ConnectRouter,
        connect_sidecar: ConnectSidecar,
        header: Callable[[], pb.Header],
        clock: Callable[[], float],
    ) -> None:
        self._connect_router = connect_router
        self._connect_sidecar = connect_sidecar
        self._header = header
        self._clock = clock
        self._entries: dict[InstanceId, _PeerEntry] = {}

    def receive_header(self, header: pb.Header) -> Sender:
        """Record the sender of a message and return it."""
        sender = parse_sender(header)
        if not sender.address:
            return sender
        entry = self._entries.pop(sender.instance_id, None)
        client = entry.client if entry is not None else None
        self._entries[sender.instance_id] = _PeerEntry(sender, self._clock(), client)
        if len(self._entries) > _MAX_PEERS:
            oldest = next(iter(self._entries))
            self._drop(oldest)
        return sender

    def routers(self, within_s: float) -> tuple[InstanceId, ...]:
        """Return the routers that sent a message within the last seconds."""
        since_s = self._clock() - within_s
        return tuple(
            instance_id
            for instance_id, entry in self._entries.items()
            if entry.sender.role == ROUTER_ROLE and entry.received_at_s >= since_s
        )

    def router(self, instance_id: InstanceId) -> RouterClient | None:
        """Return the connection to a router, None if the router is unknown."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.sender.role != ROUTER_ROLE:
            return None
        client = self._client(entry)
        return client if isinstance(client, RouterClient) else None

    async def fetch(
        self, peer: InstanceId, have_revision: ConfigRevision, *, timeout_s: float
    ) -> Result[bytes]:
        """Fetch the part of the configuration that is newer than a revision."""
        entry = self._entries.get(peer)
        if entry is None:
            return Refused(Reason.UNREACHABLE, f"no recent message from peer {peer}")
        header = self._header()
        # The peer replies with everything newer than the revision in the header. Until
        # this process may serve, the revision that it has may be newer than the one
        # that it announces.
        header.config_revision = have_revision
        try:
            client = self._client(entry)
            request = pb.ConfigRequest(header=header)
            reply = await client.configuration(request, timeout_s)
        except PeerError as error:
            return Refused(Reason.UNREACHABLE, error.message)
        return Done(bytes(reply.snapshot))

    def close(self) -> None:
        """Close all connections."""
        for instance_id in tuple(self._entries):
            self._drop(instance_id)

    def _client(self, entry: _PeerEntry) -> RouterClient | SidecarClient:
        if entry.client is None:
            host, _, port = entry.sender.address.rpartition(":")
            host = host.strip("[]")
            if entry.sender.role == ROUTER_ROLE:
                entry.client = self._connect_router(host, int(port))
            else:
                entry.client = self._connect_sidecar(host, int(port))
        return entry.client

    def _drop(self, instance_id: InstanceId) -> None:
        entry = self._entries.pop(instance_id)
        if entry.client is not None:
            entry.client.close()
