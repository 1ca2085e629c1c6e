"""Name a request by its content, so that its repeats are known by any id."""

from __future__ import annotations

import base64
import hashlib
from typing import NewType

from endivegw.types import ClientAccountName

__all__ = ["Fingerprint", "fingerprint_of"]

#: 16 characters of URL-safe base64.
Fingerprint = NewType("Fingerprint", str)

#: 96 bits: two requests of one fleet never meet by chance, and dozens of fingerprints
#: fit one datagram.
_DIGEST_BYTES = 12

_LENGTH_BYTES = 8


def fingerprint_of(
    method: bytes,
    host: str,
    target: bytes,
    account: ClientAccountName | None,
    body: bytes,
) -> Fingerprint:
    """Return the name of a request's content.

    :param target: path and query as sent.
    :param account: None where the request needs none.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.encode(), target, (account or "").encode(), body):
        # With lengths, no two lists of parts give the same bytes.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return Fingerprint(base64.urlsafe_b64encode(digest.digest()).decode())
