"""gRPC calls between the fleet's own processes, implemented with grpclib."""

from endivegw.peers.client import SidecarClient
from endivegw.peers.errors import NotDelivered, OutcomeUnknown
from endivegw.peers.limits import BODY_CHUNK_BYTES, MAX_MESSAGE_BYTES
from endivegw.peers.router_client import RouterClient
from endivegw.peers.security import (
    KeyedPeers,
    PeerSecurity,
    PlainPeers,
    TlsPeers,
    keyed_peers,
    open_channel,
    tls_peers,
)
from endivegw.peers.server import serve_peers

__all__ = [
    "BODY_CHUNK_BYTES",
    "OutcomeUnknown",
    "KeyedPeers",
    "MAX_MESSAGE_BYTES",
    "NotDelivered",
    "PeerSecurity",
    "PlainPeers",
    "RouterClient",
    "SidecarClient",
    "TlsPeers",
    "keyed_peers",
    "open_channel",
    "serve_peers",
    "tls_peers",
]
