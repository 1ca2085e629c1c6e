"""Authenticated channels and servers for calls between the fleet's processes.

A sidecar starts work, seals grants and controls its engine, so that any process that
can call it can spend any budget. It therefore accepts only calls from the fleet's own
processes, authenticated by mutual TLS or by messages that carry a keyed tag.
Unauthenticated calls are accepted only if the settings allow them.
"""

from __future__ import annotations

import contextvars
import pathlib
import secrets
import ssl
import time
from typing import Any, Callable

from attrs import frozen
from grpclib.client import Channel, Stream
from grpclib.const import Cardinality, Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, ProtocolError
from grpclib.server import Server

from endivegw.exceptions import SettingsError
from endivegw.peers.call_auth import (
    AUTH_HEADER,
    MIN_KEY_BYTES,
    CallTags,
    NonceCache,
    derive_call_key,
    make_credentials,
    parse_credentials,
    verify_credentials,
)
from endivegw.peers.limits import BoundedCodec, peer_configuration
from endivegw.results import Refused

__all__ = [
    "KeyedPeers",
    "PeerSecurity",
    "PlainPeers",
    "TlsPeers",
    "keyed_peers",
    "install_authentication",
    "open_channel",
    "server_codec",
    "server_tls",
    "tls_peers",
]

Clock = Callable[[], float]

_NONCE_BYTES = 12


@frozen
class PlainPeers:
    """Accept any call without authentication; used only if the settings allow it."""


@frozen
class KeyedPeers:
    """Authenticate each message by a tag under a key that the fleet's processes share.

    :param keys: messages are signed with the first key; each key is accepted.
    """

    keys: tuple[bytes, ...]


@frozen(eq=False)
class TlsPeers:
    """Accept calls from processes with a certificate of the fleet's own CA."""

    client: ssl.SSLContext
    server: ssl.SSLContext


PeerSecurity = PlainPeers | KeyedPeers | TlsPeers


def keyed_peers(key_file: pathlib.Path) -> KeyedPeers:
    """Read a key file with one key per line, the signing key first.

    :raises SettingsError: if the file is unreadable or empty, or a key is too short.
    """
    try:
        lines = key_file.read_bytes().split()
    except OSError as error:
        raise SettingsError(f"[peers] key_file: {error}") from error
    if not lines:
        raise SettingsError(f"[peers] key_file: {key_file} contains no key")
    if any(len(line) < MIN_KEY_BYTES for line in lines):
        raise SettingsError(
            f"[peers] key_file: each key must have at least {MIN_KEY_BYTES} characters"
        )
    return KeyedPeers(tuple(lines))


def tls_peers(
    ca: pathlib.Path, certificate: pathlib.Path, key: pathlib.Path
) -> TlsPeers:
    """Load the CA certificate and the certificate and key of this process.

    :raises SettingsError: if a file cannot be read or is invalid.
    """
    try:
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Machines are replaced throughout the day, and their addresses change. The
        # CA signs for this fleet only, so that its signature authenticates a peer
        # and the name in the certificate need not be checked.
        client.check_hostname = False
        server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        for context in (client, server):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(ca)
            context.load_cert_chain(certificate, key)
            context.set_alpn_protocols(["h2"])
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"[peers] tls: {error}") from error
    return TlsPeers(client, server)


def server_tls(security: PeerSecurity) -> ssl.SSLContext | None:
    """Return the ``ssl`` argument for the server's ``start`` method."""
    return security.server if isinstance(security, TlsPeers) else None


def open_channel(
    host: str,
    port: int,
    security: PeerSecurity,
    *,
    sender: str = "",
    clock: Clock = time.time,
) -> Channel:
    """Return a channel to a peer, which connects on the first call.

    :param sender: the instance id of this process; used with keyed messages only.
    :param clock: returns seconds since the epoch.
    """
    config = peer_configuration()
    match security:
        case PlainPeers():
            return Channel(host, port, codec=BoundedCodec(), config=config)
        case KeyedPeers(keys):
            return _KeyedChannel(host, port, keys[0], sender, clock)
        case TlsPeers(client):
            return Channel(host, port, codec=BoundedCodec(), config=config, ssl=client)


def server_codec(security: PeerSecurity) -> ProtoCodec:
    """Return the server's codec for the kind of authentication."""
    return _ServerCodec() if isinstance(security, KeyedPeers) else BoundedCodec()


def install_authentication(
    server: Server, security: PeerSecurity, *, clock: Clock = time.time
) -> None:
    """Make a server refuse unauthenticated calls if messages are keyed.

    With TLS, the handshake already refuses them.
    """
    if isinstance(security, KeyedPeers):
        listen(server, RecvRequest, _Authenticator(security.keys, clock).check)


class _CallCodec(BoundedCodec):
    """Tag the messages sent in one call, and verify those received."""

    def __init__(self, sent: CallTags, received: CallTags) -> None:
        self._sent = sent
        self._received = received

    def encode(self, message: Any, message_type: Any) -> bytes:
        return self._sent.add(super().encode(message, message_type))

    def decode(self, data: bytes, message_type: Any) -> Any:
        payload = self._received.remove(data)
        if payload is None:
            raise ProtocolError("authentication tag of a message is invalid")
        return super().decode(payload, message_type)


#: The codec of the call that the current task serves. Each call has its own task, and
#: the tasks started by that task inherit the value.
_served_call: contextvars.ContextVar[_CallCodec] = contextvars.ContextVar("served_call")


class _ServerCodec(ProtoCodec):
    """Delegate to the codec of the call that the current task serves."""

    def encode(self, message: Any, message_type: Any) -> bytes:
        return _served_call.get().encode(message, message_type)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return _served_call.get().decode(data, message_type)


class _Authenticator:
    """Refuse calls without valid credentials before their body is read."""

    def __init__(self, keys: tuple[bytes, ...], clock: Clock) -> None:
        self._keys = keys
        self._clock = clock
        self._nonces = NonceCache()

    async def check(self, event: RecvRequest) -> None:
        value = event.metadata.get(AUTH_HEADER)
        credentials = parse_credentials(value) if isinstance(value, str) else None
        if credentials is None:
            raise GRPCError(
                Status.UNAUTHENTICATED, "call has no credentials or malformed ones"
            )
        result = verify_credentials(
            self._keys, event.method_name, credentials, self._nonces, self._clock()
        )
        if isinstance(result, Refused):
            raise GRPCError(Status.UNAUTHENTICATED, result.detail)
        key = result.value
        _served_call.set(_CallCodec(CallTags(key, b"s"), CallTags(key, b"c")))


class _KeyedChannel(Channel):
    """Channel that gives each call its own credentials and codec."""

    def __init__(
        self, host: str, port: int, key: bytes, sender: str, clock: Clock
    ) -> None:
        super().__init__(host, port, config=peer_configuration())
        self._shared_key = key
        self._sender = sender
        self._clock = clock

    def request(
        self,
        name: str,
        cardinality: Cardinality,
        request_type: Any,
        reply_type: Any,
        *,
        timeout: Any = None,
        deadline: Any = None,
        metadata: Any = None,
    ) -> Stream[Any, Any]:
        """Open a call with its own key."""
        nonce = secrets.token_hex(_NONCE_BYTES)
        time_ms = int(self._clock() * 1000)
        key = derive_call_key(self._shared_key, name, self._sender, time_ms, nonce)
        credentials = make_credentials(key, self._sender, time_ms, nonce)
        stream = super().request(
            name,
            cardinality,
            request_type,
            reply_type,
            timeout=timeout,
            deadline=deadline,
            metadata={**dict(metadata or ()), AUTH_HEADER: credentials.to_header()},
        )
        # grpclib has one codec per channel, but tags are numbered per call, so that
        # each call needs its own codec.
        stream._codec = _CallCodec(CallTags(key, b"c"), CallTags(key, b"s"))
        return stream
