"""A router's record of a peer's surplus right after a loan from that peer."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from anyio.abc import ConnectedUDPSocket

from endivegw.allowances.witnesses import Statement
from endivegw.gossip import PeerLink
from endivegw.gossip.messages import (
    LoanRequest,
    LoanResponse,
    PeerState,
    decode,
    encode,
)
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, InstanceId
from endivegw_standins.ports import reserve_datagram_port

ACCOUNT = ClientAccountName("hotel")
OWN, PEER = InstanceId("own"), InstanceId("peer")

#: What the peer reports as its surplus, and what it lends: all that is actually left.
REPORTED_TOKENS, LENT_TOKENS = 28_291, 11_680


async def _lend_nothing(
    account: ClientAccountName, min_tokens: int, wanted_tokens: int
) -> int:
    return 0


def _link(entry: PeerEntry, peers: PeerTable, received: list[int]) -> PeerLink:
    """Return a link that lends nothing and records the loans received."""
    ignore: Any = lambda *args: None  # noqa: E731
    return PeerLink(
        entry,
        peers,
        lend=_lend_nothing,
        surplus=dict,
        load=dict,
        pop_prefixes=list,
        on_prefixes_read=ignore,
        on_loan=lambda account, tokens: received.append(tokens),
        on_acknowledgement=ignore,
        make_statement=lambda sequence: Statement(sequence, 0.0),
        named_witnesses=tuple,
        clock=anyio.current_time,
        log=EventLog("test"),
    )


async def _serve_loans(peer: ConnectedUDPSocket) -> None:
    """Answer each loan request with the last tokens."""
    async for data in peer:
        message = decode(data)
        if isinstance(message, LoanRequest):
            response = LoanResponse(PEER, message.transfer_id, LENT_TOKENS, 0)
            await peer.send(encode(response))


class SurplusTests(unittest.TestCase):
    """
    A peer lends its last tokens of an account, but its report of a tenth of a second
    ago still counts. The same tokens then count twice, as held by the borrower and as
    the peer's surplus. A request that the budget no longer covers is refused with 503
    and a retry delay, again and again, instead of with 402. Event 9004 shows this as
    spare_tokens 28,291 of a peer that had just lent its last 11,680, hand_tokens
    11,680, exhausted false. Near the end of budgets it affected up to one refusal in
    four.
    """

    def test_lent_tokens_no_longer_count_as_the_lenders_surplus(self) -> None:
        """The loan response states what the lender has left."""

        async def scenario() -> None:
            own_port, peer_port = (reserve_datagram_port() for _ in range(2))
            host = "127.0.0.1"
            peers = PeerTable("vm-0")
            peers.put(PeerEntry("vm-1", PEER, host, peer_port))
            received: list[int] = []
            link = _link(PeerEntry("vm-0", OWN, host, own_port), peers, received)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link.run)
                async with await anyio.create_connected_udp_socket(
                    host, own_port, local_host=host, local_port=peer_port
                ) as peer:
                    tasks.start_soon(_serve_loans, peer)
                    state = PeerState(PEER, 1, {ACCOUNT: REPORTED_TOKENS})
                    with anyio.fail_after(5.0):
                        while not peers.surplus_tokens(ACCOUNT, anyio.current_time()):
                            await peer.send(encode(state))
                            await anyio.sleep(0.01)
                    received_tokens = await link.request_loan(
                        ACCOUNT, 30_100, 30_100, timeout_s=0.5
                    )
                    self.assertEqual(
                        (received_tokens, received), (LENT_TOKENS, [LENT_TOKENS])
                    )
                    surplus = link.surplus(ACCOUNT, anyio.current_time())
                    self.assertEqual(surplus.surplus_tokens, 0)
                    tasks.cancel_scope.cancel()

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
