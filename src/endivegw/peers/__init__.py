"""Calls between the fleet's own processes, over HTTP/2 by grpclib."""

from endivegw.peers.client import SidecarClient
from endivegw.peers.errors import Broken, NotDelivered
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
    "Broken",
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
