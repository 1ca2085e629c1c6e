"""Checks of responses that the HTTP client library leaves to its users."""

from __future__ import annotations

import httpcore

__all__ = ["STATUSES", "require_valid_head"]

#: The statuses that HTTP defines (RFC 9110, section 15).
STATUSES = range(100, 600)

#: The versions whose messages the library can read.
_VERSIONS = (b"HTTP/1.0", b"HTTP/1.1")


def require_valid_head(response: httpcore.Response) -> None:
    """Check the version and the status of a response, of which only digits are checked.

    :raises httpcore.RemoteProtocolError: if they are not valid.
    """
    version = response.extensions["http_version"]
    if version not in _VERSIONS:
        raise httpcore.RemoteProtocolError(f"the response has the version {version!r}")
    if response.status not in STATUSES:
        raise httpcore.RemoteProtocolError(
            f"the status {response.status} is outside of 100 to 599"
        )
