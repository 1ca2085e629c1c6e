"""What a router believes of its peers' tokens right after one lent it some."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from anyio.abc import ConnectedUDPSocket

from endivegw.allowances.witnesses import Statement
from endivegw.gossip import PeerLink
from endivegw.gossip.messages import Ask, Offer, PeerState, decode, encode
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.telemetry import EventLog
from endivegw.types import ClientAccountName, InstanceId
from endivegw_standins.ports import reserve_datagram_port

ACCOUNT = ClientAccountName("hotel")
OWN, PEER = InstanceId("own"), InstanceId("peer")

#: What the peer says that it has, and what it lends of it: all that is left.
STATED_TOKENS, LENT_TOKENS = 28_291, 11_680


async def _nothing(account: ClientAccountName, least: int, wanted: int) -> int:
    return 0


def _link(entry: PeerEntry, peers: PeerTable, received: list[int]) -> PeerLink:
    """Return a link that lends nothing and notes what it is lent."""
    ignore: Any = lambda *given: None  # noqa: E731
    return PeerLink(
        entry,
        peers,
        lend=_nothing,
        spare=dict,
        load=dict,
        pop_prefixes=list,
        on_read=ignore,
        on_offer=lambda account, tokens: received.append(tokens),
        on_acknowledgement=ignore,
        state_limits=lambda sequence: Statement(sequence, 0.0),
        named_witnesses=tuple,
        clock=anyio.current_time,
        log=EventLog("test"),
    )


async def _lend(peer: ConnectedUDPSocket) -> None:
    """Answer each ask with the last tokens."""
    async for data in peer:
        message = decode(data)
        if isinstance(message, Ask):
            offer = Offer(PEER, message.transfer_id, LENT_TOKENS, 0)
            await peer.send(encode(offer))


class SpareTests(unittest.TestCase):
    """
    A peer lends the last tokens of an account. What it stated a tenth of a second ago
    still counts: the same tokens stand in the borrower's hand and as its peer's. A
    request that the budget does not cover any more is told 503 and to come back, and
    is refused again and again, in place of 402. Event 9004 showed it: spare_tokens
    28,291 of a peer that had just lent its last 11,680, hand_tokens 11,680, exhausted
    false. Near the end of budgets up to one refusal in four was such a one.
    """

    def test_what_a_peer_lent_no_longer_counts_as_its_own(self) -> None:
        """Its offer says what it has left."""

        async def play() -> None:
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
                    tasks.start_soon(_lend, peer)
                    state = PeerState(PEER, 1, {ACCOUNT: STATED_TOKENS})
                    with anyio.fail_after(5.0):
                        while not peers.spare_tokens(ACCOUNT, anyio.current_time()):
                            await peer.send(encode(state))
                            await anyio.sleep(0.01)
                    got = await link.ask(ACCOUNT, 30_100, 30_100, timeout_s=0.5)
                    self.assertEqual((got, received), (LENT_TOKENS, [LENT_TOKENS]))
                    spare = link.spare(ACCOUNT, anyio.current_time())
                    self.assertEqual(spare.spare_tokens, 0)
                    tasks.cancel_scope.cancel()

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
