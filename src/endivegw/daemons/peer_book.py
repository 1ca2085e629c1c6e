"""Remember which processes were heard lately, and where they take calls."""

from __future__ import annotations

from typing import Callable

from attrs import define

from endivegw.daemons.headers import Sender, sender_of
from endivegw.exceptions import PeerError
from endivegw.peers import RouterClient, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused, Result
from endivegw.types import ConfigRevision, InstanceId

__all__ = ["ConnectRouter", "ConnectSidecar", "PeerBook", "ROUTER_ROLE", "TARGET_ROLE"]

ConnectRouter = Callable[[str, int], RouterClient]
ConnectSidecar = Callable[[str, int], SidecarClient]

ROUTER_ROLE = "router"
TARGET_ROLE = "target"

#: Peers remembered; more than a process exchanges messages with in a minute.
_MAX_PEERS = 256


@define
class _Entry:
    sender: Sender
    heard_at_s: float
    client: RouterClient | SidecarClient | None = None


class PeerBook:
    """Learn of peers from the headers of their messages, and call them back.

    :param header: returns the header of this process for each message.
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
        self._entries: dict[InstanceId, _Entry] = {}

    def heard(self, header: pb.Header) -> Sender:
        """Take in a header and return its sender."""
        sender = sender_of(header)
        if not sender.address:
            return sender
        entry = self._entries.pop(sender.instance_id, None)
        client = entry.client if entry is not None else None
        self._entries[sender.instance_id] = _Entry(sender, self._clock(), client)
        if len(self._entries) > _MAX_PEERS:
            oldest = next(iter(self._entries))
            self._drop(oldest)
        return sender

    def routers(self, within_s: float) -> tuple[InstanceId, ...]:
        """Return the routers heard within so many seconds."""
        since_s = self._clock() - within_s
        return tuple(
            instance_id
            for instance_id, entry in self._entries.items()
            if entry.sender.role == ROUTER_ROLE and entry.heard_at_s >= since_s
        )

    def router(self, instance_id: InstanceId) -> RouterClient | None:
        """Return the connection to a router, None where it is not known."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.sender.role != ROUTER_ROLE:
            return None
        client = self._client(entry)
        return client if isinstance(client, RouterClient) else None

    async def fetch(
        self, peer: InstanceId, have_revision: ConfigRevision, *, timeout_s: float
    ) -> Result[bytes]:
        """Return what a peer has of the configuration beyond a revision."""
        entry = self._entries.get(peer)
        if entry is None:
            return Refused(Reason.UNREACHABLE, f"{peer} was not heard lately")
        header = self._header()
        # The peer hands out what is missing here, which may be more than the
        # revision that this process announces before it may serve.
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

    def _client(self, entry: _Entry) -> RouterClient | SidecarClient:
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
