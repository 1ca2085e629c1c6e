"""Ask the owner of a request's key slot, found by the slot map."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.claim_messages import answer_of, request_of
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.claims import ClaimAnswer, ClaimAsk
from endivegw.requests.slots import DEFAULT_SLOTS, Slot, slot_of
from endivegw.results import Reason, Refused
from endivegw.types import RequestIdentity

__all__ = ["ClaimClient"]

#: A claim waits for its row, which the owner writes a few times a second.
_TIMEOUT_S = 3.0


class ClaimClient:
    """Send claims; the connections to owners are kept.

    :param connect: opens the connection to a sidecar at an address.
    """

    def __init__(
        self,
        slots: SlotMapReader,
        connect: Callable[[str, int], SidecarClient],
        header: Callable[[], pb.Header],
        on_header: Callable[[pb.Header], None],
    ) -> None:
        self._slots = slots
        self._connect = connect
        self._header = header
        self._on_header = on_header
        self._clients: dict[str, SidecarClient] = {}

    async def ask(self, identity: RequestIdentity, ask: ClaimAsk) -> ClaimAnswer | None:
        """Return the owner's word, None where none was heard."""
        owner = self._slots.current.owner(slot_of(identity, DEFAULT_SLOTS))
        if owner is None:
            self._slots.want()
            return None
        request = request_of(identity, ask, self._header())
        try:
            reply = await self._client(owner).claim(request, _TIMEOUT_S)
        except PeerError:
            # The map may name an owner that is gone.
            self._slots.want()
            return None
        self._on_header(reply.header)
        answer = answer_of(ask, reply)
        if isinstance(answer, Refused) and answer.reason is Reason.CLAIM_UNAVAILABLE:
            self._slots.want()
        return answer

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()

    def _client(self, owner: Slot) -> SidecarClient:
        client = self._clients.get(owner.address)
        if client is None:
            host, _, port = owner.address.rpartition(":")
            client = self._connect(host, int(port))
            self._clients[owner.address] = client
        return client
