"""The router's own answers: what a caller is told where no target's answer goes out."""

from __future__ import annotations

from http import HTTPStatus

from attrs import frozen

from endivegw.relay.wire import HeaderFields
from endivegw.results import Reason, Refused, Unknown

__all__ = ["OwnAnswer", "own_answer"]

#: What each refusal is for a caller. 429 and 503 promise that the request did
#: not run and will not; nothing else of ours does.
_STATUS = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    Reason.BUDGET_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
}

#: When to come back where nothing better is known, in seconds.
_USUAL_RETRY_S = 0.5

#: The smallest time that is told; less than a round trip says nothing.
_LEAST_RETRY_S = 0.05


@frozen
class OwnAnswer:
    """Hold an answer that no target gave."""

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None = None

    def fields(self) -> HeaderFields:
        """Return its header fields."""
        fields = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.retry_after_s is not None:
            fields.append((b"retry-after", f"{self.retry_after_s:.2f}".encode()))
        return fields

    def body(self) -> bytes:
        """Return its body."""
        return f"{self.reason.value}: {self.detail}\n".encode()


def own_answer(end: Refused | Unknown) -> OwnAnswer:
    """Return what a caller is told: a refusal has not run, an unknown end may have."""
    match end:
        case Unknown(reason=Reason.TIMEOUT):
            status = HTTPStatus.GATEWAY_TIMEOUT
            return OwnAnswer(status, end.reason, end.detail)
        case Unknown():
            return OwnAnswer(HTTPStatus.BAD_GATEWAY, end.reason, end.detail)
    status = _STATUS.get(end.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if status is not HTTPStatus.SERVICE_UNAVAILABLE:
        return OwnAnswer(status, end.reason, end.detail)
    retry_s = _USUAL_RETRY_S if end.retry_after_s is None else end.retry_after_s
    return OwnAnswer(status, end.reason, end.detail, max(_LEAST_RETRY_S, retry_s))
