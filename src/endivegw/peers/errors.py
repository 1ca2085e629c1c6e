"""What a call to another process of the fleet can fail with."""

from __future__ import annotations

from endivegw.exceptions import PeerError

__all__ = ["Broken", "NotDelivered"]


class NotDelivered(PeerError):
    """Report that the other process cannot have seen the call.

    Raised only where the connection was not made or the first message was not
    yet written. Work that was to start for this call has not started.
    """


class Broken(PeerError):
    """Report that the call was written and its outcome was lost.

    The other process may have seen it, acted on it, and still be at it.
    """
