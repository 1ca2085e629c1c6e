"""Checks of responses that the HTTP client library leaves to its users."""

from __future__ import annotations

import httpcore

__all__ = ["STATUSES", "require_valid_status"]

#: The statuses that HTTP defines (RFC 9110, section 15).
STATUSES = range(100, 600)


def require_valid_status(response: httpcore.Response) -> None:
    """Check the status of a response, of which the library checks the digits.

    :raises httpcore.RemoteProtocolError: if HTTP defines no such status.
    """
    if response.status not in STATUSES:
        raise httpcore.RemoteProtocolError(
            f"the status {response.status} is outside of 100 to 599"
        )
