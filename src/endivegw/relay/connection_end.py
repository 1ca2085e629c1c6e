"""How the connection of a caller ended, and what was left unanswered on it."""

from __future__ import annotations

import enum

from attrs import frozen

from endivegw.relay.messages import CallerRequest

__all__ = ["ConnectionEnd", "EndCause"]


class EndCause(enum.Enum):
    """The first event after which a connection could not go on."""

    #: The caller closed its side or reset the connection.
    CALLER_CLOSED = "caller-closed"
    #: A write to the caller failed.
    WRITE_FAILED = "write-failed"
    #: Nothing was received for as long as the configuration allows.
    IDLE_LIMIT = "idle-limit"
    #: The input was not a valid request, or was not complete in time.
    MALFORMED = "malformed"
    #: The answer stated that the connection closes after it.
    ANSWER_CLOSES = "answer-closes"
    #: The answer ended before it was complete.
    ANSWER_CUT = "answer-cut"
    #: The router stops, and the connection was idle.
    STOPPING = "stopping"
    #: The router stopped or closed the connection while it was in use.
    CANCELLED = "cancelled"
    #: Too much was held for peers that read slowly, of which this was one.
    READER_CLOSED = "reader-closed"
    #: It gave way to other connections, or what was held for it did.
    GAVE_WAY = "gave-way"
    #: The handler of a request raised an exception.
    HANDLER_FAILED = "handler-failed"

    @property
    def by_caller(self) -> bool:
        """Return whether the caller ended the connection."""
        return self is EndCause.CALLER_CLOSED


@frozen
class ConnectionEnd:
    """Hold the end of one connection.

    :param unanswered: whole requests that were read and got no whole answer, in their
        order; all but the first were never handled.
    :param answer_bytes: bytes of the body that were sent for the first of them.
    :param unparsed_bytes: bytes that were read and are no whole request.
    :param age_s: time since the connection was opened.
    :param idle_s: time since the last answer ended; None if no request was read.
    """

    cause: EndCause
    unanswered: tuple[CallerRequest, ...] = ()
    answer_bytes: int = 0
    unparsed_bytes: int = 0
    age_s: float = 0.0
    idle_s: float | None = None
