"""Datagrams between routers: load, surplus tokens, loans, and broadcasts."""

from endivegw.gossip.link import PeerLink
from endivegw.gossip.messages import (
    LoanRequest,
    LoanResponse,
    PeerState,
    decode,
    encode,
)
from endivegw.gossip.peers import PeerEntry, PeerTable

__all__ = [
    "LoanRequest",
    "LoanResponse",
    "PeerEntry",
    "PeerLink",
    "PeerState",
    "PeerTable",
    "decode",
    "encode",
]
