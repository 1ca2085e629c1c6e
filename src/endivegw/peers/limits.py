"""Limits of messages and connections between processes, enforced on both sides."""

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

#: Maximum size of a message. A configuration snapshot of 280 accounts and 650 targets
#: is smaller than 1 MiB; the HTTP front end limits a request's JSON body to 4 MiB.
MAX_MESSAGE_BYTES = 8 * 2**20

#: Maximum size of a chunk of a request body, so that one upload delays the responses
#: on its connection by a few milliseconds at most.
BODY_CHUNK_BYTES = 64 * 2**10

#: Flow-control window of one stream; a slow reader blocks only its own stream.
STREAM_WINDOW_BYTES = 256 * 2**10

#: Flow-control window of one connection, sufficient for a few dozen concurrent
#: responses.
CONNECTION_WINDOW_BYTES = 4 * 2**20

#: An unresponsive peer is detected after the interval plus the timeout, well within
#: the duration of a request.
_KEEPALIVE_INTERVAL_S = 10.0
_KEEPALIVE_TIMEOUT_S = 5.0


class BoundedCodec(ProtoCodec):
    """Refuse to send or receive a message above :data:`MAX_MESSAGE_BYTES`.

    One oversized message would block every stream of its connection and grow the
    process past its limit of 64 MB. The sender detects it before any byte is sent.
    """

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message.

        :raises PeerError: if the encoded message exceeds the limit.
        """
        data: bytes = super().encode(message, message_type)
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(
                f"outgoing message of {len(data)} bytes exceeds the limit of"
                f" {MAX_MESSAGE_BYTES}"
            )
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message.

        :raises PeerError: if the encoded message exceeds the limit.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise PeerError(
                f"received message of {len(data)} bytes exceeds the limit of"
                f" {MAX_MESSAGE_BYTES}"
            )
        return super().decode(data, message_type)


def peer_configuration() -> Configuration:
    """Return the HTTP/2 settings used by both sides of a connection."""
    return Configuration(
        _keepalive_time=_KEEPALIVE_INTERVAL_S,
        _keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )
