"""Authenticate calls between processes by a key that all of them share.

Pure: keys, times and nonces are arguments. Each call gets a key of its own,
derived from the shared one, the method, the sender, the time and a nonce.
Every message of the call carries a tag under that key, numbered by direction,
so that messages cannot be forged, reordered, dropped from the middle or
replayed in another call. Nothing is encrypted: where the network can be read
by strangers, use TLS.
"""

from __future__ import annotations

import hmac
import struct
from collections import OrderedDict

from attrs import define, field, frozen

from endivegw.results import Done, Reason, Refused

__all__ = [
    "AUTH_HEADER",
    "CallTags",
    "Credentials",
    "MAX_CLOCK_SKEW_S",
    "MIN_KEY_BYTES",
    "NonceMemory",
    "TAG_BYTES",
    "derive_call_key",
    "make_credentials",
    "parse_credentials",
    "verify_credentials",
]

#: Metadata of a call that carries the credentials.
AUTH_HEADER = "x-endivegw-auth"

#: How far the clocks of two machines may be apart. Clocks kept by the platform
#: stay within a second; the rest is for one whose time service has stopped.
MAX_CLOCK_SKEW_S = 30.0

#: The least length of a shared key; shorter ones could be guessed.
MIN_KEY_BYTES = 32

#: Length of the tag that each message carries.
TAG_BYTES = 16

#: Calls of the last minute that are remembered, so that none is taken twice. A
#: sidecar gets some tens of calls a second; beyond the limit calls are refused.
_MAX_NONCES = 200_000

_PROOF = b"endivegw call proof"


@frozen
class Credentials:
    """Hold what a caller says of one call, and the proof that it has the key."""

    sender: str
    time_ms: int
    nonce: str
    proof: str

    def to_header(self) -> str:
        """Return the value of :data:`AUTH_HEADER`."""
        return f"{self.sender} {self.time_ms} {self.nonce} {self.proof}"


@define
class CallTags:
    """Tag and check the messages that go one way in one call.

    :param key: the call's own key.
    :param direction: ``b"c"`` from the caller, ``b"s"`` from the server.
    """

    key: bytes
    direction: bytes
    _number: int = field(default=0, init=False)

    def add(self, payload: bytes) -> bytes:
        """Return the payload with its tag."""
        return payload + self._next_tag(payload)

    def remove(self, data: bytes) -> bytes | None:
        """Return the payload, None where its tag is wrong."""
        payload, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(payload)):
            return None
        return payload

    def _next_tag(self, payload: bytes) -> bytes:
        numbered = self.direction + struct.pack(">Q", self._number) + payload
        self._number += 1
        return hmac.digest(self.key, numbered, "sha256")[:TAG_BYTES]


@define
class NonceMemory:
    """Remember the calls of the last minute, so that each is taken once."""

    _seen: OrderedDict[str, float] = field(factory=OrderedDict)

    def take(self, nonce: str, now_s: float) -> bool:
        """Return whether a nonce is new; remember it."""
        self._forget_before(now_s - 2 * MAX_CLOCK_SKEW_S)
        if nonce in self._seen or len(self._seen) >= _MAX_NONCES:
            return False
        self._seen[nonce] = now_s
        return True

    def _forget_before(self, edge_s: float) -> None:
        while self._seen:
            nonce, at_s = next(iter(self._seen.items()))
            if at_s > edge_s:
                return
            del self._seen[nonce]


def derive_call_key(
    shared_key: bytes, method: str, sender: str, time_ms: int, nonce: str
) -> bytes:
    """Return the key of one call."""
    text = "\n".join(("endivegw call key", method, sender, str(time_ms), nonce))
    return hmac.digest(shared_key, text.encode(), "sha256")


def make_credentials(
    call_key: bytes, sender: str, time_ms: int, nonce: str
) -> Credentials:
    """Return the credentials that prove the knowledge of the call's key."""
    proof = hmac.digest(call_key, _PROOF, "sha256")[:TAG_BYTES].hex()
    return Credentials(sender, time_ms, nonce, proof)


def parse_credentials(value: str) -> Credentials | None:
    """Return the credentials of a header's value, None for a malformed one."""
    parts = value.split(" ")
    if len(parts) != 4 or not parts[1].isdigit():
        return None
    sender, time_ms, nonce, proof = parts
    return Credentials(sender, int(time_ms), nonce, proof)


def verify_credentials(
    shared_keys: tuple[bytes, ...],
    method: str,
    credentials: Credentials,
    nonces: NonceMemory,
    now_s: float,
) -> Done[bytes] | Refused:
    """Return the call's key, or why the call is not one of our own.

    :param shared_keys: each of them counts, so that a key can be replaced
        process by process.
    """
    if abs(now_s - credentials.time_ms / 1000) > MAX_CLOCK_SKEW_S:
        return Refused(Reason.BAD_KEY, "the call's time is too far from ours")
    for shared_key in shared_keys:
        call_key = derive_call_key(
            shared_key,
            method,
            credentials.sender,
            credentials.time_ms,
            credentials.nonce,
        )
        expected = make_credentials(
            call_key, credentials.sender, credentials.time_ms, credentials.nonce
        )
        if hmac.compare_digest(expected.proof.encode(), credentials.proof.encode()):
            # Remembered only after the proof held: a stranger must not be able
            # to fill the memory.
            if not nonces.take(credentials.nonce, now_s):
                return Refused(Reason.BAD_KEY, "the call was made before")
            return Done(call_key)
    return Refused(Reason.BAD_KEY, "the call's proof does not hold")
