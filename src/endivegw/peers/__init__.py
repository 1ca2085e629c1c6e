"""Calls between the fleet's own processes, over HTTP/2 by grpclib."""

from endivegw.peers.client import SidecarClient, open_channel
from endivegw.peers.errors import Broken, NotDelivered
from endivegw.peers.limits import BODY_CHUNK_BYTES, MAX_MESSAGE_BYTES
from endivegw.peers.server import serve_peers

__all__ = [
    "BODY_CHUNK_BYTES",
    "Broken",
    "MAX_MESSAGE_BYTES",
    "NotDelivered",
    "SidecarClient",
    "open_channel",
    "serve_peers",
]
