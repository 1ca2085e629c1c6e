"""Exceptions of calls to other processes of the fleet."""

from __future__ import annotations

from endivegw.exceptions import PeerError

__all__ = ["OutcomeUnknown", "NotDelivered"]


class NotDelivered(PeerError):
    """Report that the other process cannot have received the call.

    Raised only if the connection was not established, the first message was not
    written or the call was refused as unauthenticated. The call had no effect.
    """


class OutcomeUnknown(PeerError):
    """Report that the call was written and its outcome is not known.

    The other process may have received and executed it, or may still be executing it.
    """
