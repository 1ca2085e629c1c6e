"""HTTP messages that the relay forwards."""

from __future__ import annotations

from attrs import field, frozen

from endivegw.relay.wire import HeaderFields

__all__ = ["CallerRequest", "TargetHead", "end_to_end"]

#: Header fields that apply to a single connection and are not forwarded.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@frozen
class CallerRequest:
    """Hold one complete request.

    :param target: path and query as sent.
    :param fields: header fields in order, with names in lower case.
    :param close_after: whether the caller's connection is closed after the answer.
    :param arrived_s: time at which the kernel received the request's last byte.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytes = b""
    http_version: bytes = b"1.1"
    close_after: bool = False
    arrived_s: float = 0.0

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the host without the port, in lower case."""
        for name, value in self.fields:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].strip().lower()
        return ""


@frozen
class TargetHead:
    """Hold the head of a target's answer."""

    status: int
    fields: HeaderFields = field(factory=list)


def end_to_end(fields: HeaderFields) -> HeaderFields:
    """Return the header fields that are forwarded."""
    named: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = _HOP_BY_HOP | (named - {b"host"})
    return [(name, value) for name, value in fields if name not in dropped]
