"""Fingerprint requests by content, and parts of prompts by their ids.

Repeats of a request are recognized under any id, and requests that share a part of
their prompts although nothing else is the same.
"""

from __future__ import annotations

import base64
import hashlib
from typing import Iterable, NewType, Sequence

from endivegw.types import ClientAccountName

__all__ = ["Fingerprint", "fingerprint_of", "is_part", "part_fingerprints"]

#: 16 characters of URL-safe base64, after a mark if it is that of a part.
Fingerprint = NewType("Fingerprint", str)

#: 96 bits make accidental collisions within one fleet negligible, and let dozens of
#: fingerprints fit into one datagram.
_DIGEST_BYTES = 12

_LENGTH_BYTES = 8

#: First character of a part's fingerprint, which base64 does not use.
_PART_MARK = "~"

#: Maximum number of parts of one prompt that are fingerprinted. Prompts have a few, and
#: a caller that invents thousands must not displace the evidence about others.
_MAX_PARTS = 48


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
    parts = (method, host.encode(), target, (account or "").encode(), body)
    return Fingerprint(_digest(parts))


def part_fingerprints(
    service: str, part_ids: Sequence[bytes]
) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the parts that a prompt may share with others.

    :param part_ids: ids of all parts in order. The last part belongs to the request.
    """
    shared = dict.fromkeys(part_ids[:-1][:_MAX_PARTS])
    name = service.encode()
    return tuple(
        Fingerprint(_PART_MARK + _digest((name, part_id))) for part_id in shared
    )


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a part."""
    return fingerprint.startswith(_PART_MARK)


def _digest(texts: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        # The length prefixes make the encoding of the list unambiguous.
        digest.update(len(text).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(text)
    return base64.urlsafe_b64encode(digest.digest()).decode()
