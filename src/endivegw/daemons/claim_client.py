"""A router's calls to the owners of key slots."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.claim_messages import answer_of, request_of
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.claims import ClaimAnswer, ClaimProposal
from endivegw.requests.slots import DEFAULT_SLOTS, Slot, slot_of
from endivegw.results import Reason, Refused
from endivegw.types import RequestIdentity

__all__ = ["ClaimClient"]

#: Longer than an owner lets a claim wait for its row, so that a slow table ends
#: in the owner's word and not in a broken call.
_TIMEOUT_S = 3.0

#: The same for a repeatable request, which does not need the owner's word: a
#: slow owner must not make the answer late.
_HINT_TIMEOUT_S = 0.1


class ClaimClient:
    """Ask the owner of a request's slot, wherever it is.

    :param connect: opens a connection to the sidecar at ``host:port``.
    """

    def __init__(
        self,
        maps: SlotMapReader,
        connect: Callable[[str], SidecarClient],
        header: Callable[[], pb.Header],
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        self._maps = maps
        self._connect = connect
        self._header = header
        self._slots = slots
        self._clients: dict[str, SidecarClient] = {}

    async def claim(
        self, identity: RequestIdentity, proposal: ClaimProposal
    ) -> ClaimAnswer | None:
        """Return the owner's word, None where there is none for now."""
        owner = self._maps.current.owner(slot_of(identity, self._slots))
        if owner is None:
            self._maps.want()
            return None
        client = self._client(owner)
        timeout_s = _HINT_TIMEOUT_S if proposal.repeatable else _TIMEOUT_S
        try:
            request = request_of(identity, proposal, self._header())
            reply = await client.claim(request, timeout_s)
        except PeerError:
            self._maps.want()
            return None
        answer = answer_of(proposal, reply)
        if isinstance(answer, Refused) and answer.reason is Reason.CLAIM_UNAVAILABLE:
            # Another owner, or one that cannot write for now.
            self._maps.want()
        return answer

    def close(self) -> None:
        """Close the connections to owners."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _client(self, owner: Slot) -> SidecarClient:
        owners = {slot.address for slot in self._maps.current.slots.values()}
        for address in self._clients.keys() - owners:
            self._clients.pop(address).close()
        client = self._clients.get(owner.address)
        if client is None:
            client = self._connect(owner.address)
            self._clients[owner.address] = client
        return client
