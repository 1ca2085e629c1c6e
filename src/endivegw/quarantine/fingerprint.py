"""Fingerprint requests by content, so that repeats are recognized under any id."""

from __future__ import annotations

import base64
import hashlib
from typing import NewType

from endivegw.types import ClientAccountName

__all__ = ["Fingerprint", "fingerprint_of"]

#: 16 characters of URL-safe base64.
Fingerprint = NewType("Fingerprint", str)

#: 96 bits make accidental collisions within one fleet negligible, and let dozens of
#: fingerprints fit into one datagram.
_DIGEST_BYTES = 12

_LENGTH_BYTES = 8


def fingerprint_of(
    method: bytes,
    host: str,
    target: bytes,
    account: ClientAccountName | None,
    body: bytes,
) -> Fingerprint:
    """Return the fingerprint of a request's content.

    :param target: path and query as sent.
    :param account: None if the request needs no account.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.encode(), target, (account or "").encode(), body):
        # The length prefixes make the encoding of the list of parts unambiguous.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(base64.urlsafe_b64encode(digest.digest()).decode())
