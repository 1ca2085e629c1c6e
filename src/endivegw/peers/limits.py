"""Bounds on the messages between processes, checked on both sides."""

from __future__ import annotations

from typing import Any

from grpclib.config import Configuration
from grpclib.encoding.proto import ProtoCodec

from endivegw.exceptions import PeerError

__all__ = [
    "BODY_CHUNK_BYTES",
    "BoundedCodec",
    "CONNECTION_WINDOW_BYTES",
    "MAX_MESSAGE_BYTES",
    "STREAM_WINDOW_BYTES",
    "peer_configuration",
]

#: The largest message. A configuration snapshot of 280 accounts and 650 targets
#: is below 1 MiB; a request's JSON body is bounded to 4 MiB by the HTTP front.
MAX_MESSAGE_BYTES = 8 * 2**20

#: The size that longer bodies are cut into, so that one upload does not hold up
#: the answers that share its connection for more than some milliseconds.
BODY_CHUNK_BYTES = 64 * 2**10

#: Unread bytes of one stream; a slow reader holds back its own stream only.
STREAM_WINDOW_BYTES = 256 * 2**10

#: Unread bytes of one connection, for a few dozen answers at once.
CONNECTION_WINDOW_BYTES = 4 * 2**20

#: A silent peer is noticed after interval plus timeout, well within a request.
_KEEPALIVE_INTERVAL_S = 10.0
_KEEPALIVE_TIMEOUT_S = 5.0


class BoundedCodec(ProtoCodec):
    """Refuse to write or read a message above :data:`MAX_MESSAGE_BYTES`.

    One oversized message would hold up every stream of its connection and grow
    the process past its 64 MB. The sender learns it before anything leaves.
    """

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message's bytes.

        :raises PeerError: where they are too many.
        """
        data: bytes = super().encode(message, message_type)
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(f"a message of {len(data)} bytes is too large to send")
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message.

        :raises PeerError: where it is too large.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(f"a message of {len(data)} bytes is too large to read")
        return super().decode(data, message_type)


def peer_configuration() -> Configuration:
    """Return the HTTP/2 settings that both sides of a connection use."""
    return Configuration(
        _keepalive_time=_KEEPALIVE_INTERVAL_S,
        _keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )
