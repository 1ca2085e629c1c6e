"""Authenticate calls between processes with a shared secret key.

The functions have no side effects: keys, times and nonces are arguments. Each call
has its own key, derived from the shared key, the method, the sender, the time and a
nonce. Every message of the call carries an HMAC tag under that key, which includes
the direction and a sequence number, so that messages cannot be forged, reordered,
dropped from the middle or replayed in another call. Nothing is encrypted: use TLS
if third parties can read the network.
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
    "NonceCache",
    "TAG_BYTES",
    "derive_call_key",
    "make_credentials",
    "parse_credentials",
    "verify_credentials",
]

#: Metadata key of a call's credentials.
AUTH_HEADER = "x-endivegw-auth"

#: Maximum difference between the clocks of two machines. The platform keeps clocks
#: within one second; the margin is for a machine whose time service has stopped.
MAX_CLOCK_SKEW_S = 30.0

#: Minimum length of a shared key; a shorter key could be guessed.
MIN_KEY_BYTES = 32

#: Length of a message's tag.
TAG_BYTES = 16

#: Maximum number of nonces stored to detect replayed calls of the last minute. A
#: sidecar receives some tens of calls per second; beyond the limit calls are refused.
_MAX_NONCES = 200_000

_PROOF = b"endivegw call proof"


@frozen
class Credentials:
    """Hold the caller's identification of one call and the proof of the shared key."""

    sender: str
    time_ms: int
    nonce: str
    proof: str

    def to_header(self) -> str:
        """Encode the credentials as the value of :data:`AUTH_HEADER`."""
        return f"{self.sender} {self.time_ms} {self.nonce} {self.proof}"


@define
class CallTags:
    """Tag and verify the messages of one direction of one call.

    :param key: the key of the call.
    :param direction: ``b"c"`` from the caller, ``b"s"`` from the server.
    """

    key: bytes
    direction: bytes
    _sequence: int = field(default=0, init=False)

    def add(self, payload: bytes) -> bytes:
        """Return the payload with the next tag appended."""
        return payload + self._next_tag(payload)

    def remove(self, data: bytes) -> bytes | None:
        """Return the payload without its tag, or None if the tag is invalid."""
        payload, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._next_tag(payload)):
            return None
        return payload

    def _next_tag(self, payload: bytes) -> bytes:
        tagged = self.direction + struct.pack(">Q", self._sequence) + payload
        self._sequence += 1
        return hmac.digest(self.key, tagged, "sha256")[:TAG_BYTES]


@define
class NonceCache:
    """Store the nonces of the last minute to detect replayed calls."""

    _seen: OrderedDict[str, float] = field(factory=OrderedDict)

    def accept(self, nonce: str, now_s: float) -> bool:
        """Store a nonce and return True, or False if it is known or the cache is full.

        :param now_s: seconds since the epoch.
        """
        self._evict_before(now_s - 2 * MAX_CLOCK_SKEW_S)
        if nonce in self._seen or len(self._seen) >= _MAX_NONCES:
            return False
        self._seen[nonce] = now_s
        return True

    def _evict_before(self, cutoff_s: float) -> None:
        while self._seen:
            nonce, at_s = next(iter(self._seen.items()))
            if at_s > cutoff_s:
                return
            del self._seen[nonce]


def derive_call_key(
    shared_key: bytes, method: str, sender: str, time_ms: int, nonce: str
) -> bytes:
    """Derive the key of one call from the shared key."""
    text = "\n".join(("endivegw call key", method, sender, str(time_ms), nonce))
    return hmac.digest(shared_key, text.encode(), "sha256")


def make_credentials(
    call_key: bytes, sender: str, time_ms: int, nonce: str
) -> Credentials:
    """Return the credentials that prove knowledge of the call's key."""
    proof = hmac.digest(call_key, _PROOF, "sha256")[:TAG_BYTES].hex()
    return Credentials(sender, time_ms, nonce, proof)


def parse_credentials(value: str) -> Credentials | None:
    """Decode the value of :data:`AUTH_HEADER`; return None if it is malformed."""
    parts = value.split(" ")
    if len(parts) != 4 or not parts[1].isdigit():
        return None
    sender, time_ms, nonce, proof = parts
    return Credentials(sender, int(time_ms), nonce, proof)


def verify_credentials(
    shared_keys: tuple[bytes, ...],
    method: str,
    credentials: Credentials,
    nonces: NonceCache,
    now_s: float,
) -> Done[bytes] | Refused:
    """Return the call's key, or a refusal if the call is not authentic.

    :param shared_keys: all accepted keys, so that a key can be replaced process by
        process.
    :param method: name of the called method.
    :param now_s: seconds since the epoch.
    """
    if abs(now_s - credentials.time_ms / 1000) > MAX_CLOCK_SKEW_S:
        return Refused(
            Reason.BAD_KEY,
            "time of the call differs from the local time by more than"
            f" {MAX_CLOCK_SKEW_S:g} s",
        )
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
            # The nonce is stored only after the proof was verified, so that an
            # unauthenticated caller cannot fill the cache.
            if not nonces.accept(credentials.nonce, now_s):
                return Refused(
                    Reason.BAD_KEY, "nonce of the call was used before or cache is full"
                )
            return Done(call_key)
    return Refused(Reason.BAD_KEY, "proof in the credentials is invalid")
