"""Client through which a router sends claims to the owners of key slots."""

from __future__ import annotations

from typing import Callable

from endivegw.daemons.claim_messages import decode_answer, encode_request
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.claims import ClaimAnswer, ClaimProposal
from endivegw.requests.slots import DEFAULT_SLOTS, Slot, slot_of
from endivegw.results import Reason, Refused
from endivegw.types import RequestIdentity

__all__ = ["ClaimClient"]

#: Longer than an owner lets a claim wait for its row, so that a slow table leads
#: to an answer from the owner and not to a call that timed out.
_TIMEOUT_S = 3.0

#: Timeout for repeatable requests. They do not depend on the owner's answer, so
#: a slow owner must not delay them.
_HINT_TIMEOUT_S = 0.1


class ClaimClient:
    """Send claims to the sidecar that owns a request's slot.

    :param maps: supplies the current slot map.
    :param connect: opens a connection to the sidecar at ``host:port``.
    :param header: returns the header of this process for each message.
    :param slots: number of key slots in the fleet.
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
        """Return the owner's answer, None if no owner is known or reachable."""
        owner = self._maps.current.owner(slot_of(identity, self._slots))
        if owner is None:
            self._maps.request_refresh()
            return None
        client = self._client(owner)
        timeout_s = _HINT_TIMEOUT_S if proposal.repeatable else _TIMEOUT_S
        try:
            request = encode_request(identity, proposal, self._header())
            reply = await client.claim(request, timeout_s)
        except PeerError:
            self._maps.request_refresh()
            return None
        answer = decode_answer(proposal, reply)
        if isinstance(answer, Refused) and answer.reason is Reason.CLAIM_UNAVAILABLE:
            # The slot has another owner by now, or the owner cannot write.
            self._maps.request_refresh()
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
