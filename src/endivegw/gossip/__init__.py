"""What routers tell each other by datagrams: load, spare tokens, loans."""

from endivegw.gossip.link import PeerLink
from endivegw.gossip.messages import Ask, Offer, PeerState, decode, encode
from endivegw.gossip.peers import PeerEntry, PeerTable

__all__ = [
    "Ask",
    "Offer",
    "PeerEntry",
    "PeerLink",
    "PeerState",
    "PeerTable",
    "decode",
    "encode",
]
