"""Answers that the router generates where no target's answer can be relayed."""

from __future__ import annotations

from http import HTTPStatus

from attrs import frozen

from endivegw.relay.wire import HeaderFields
from endivegw.results import Reason, Refused, Unknown

__all__ = ["RouterAnswer", "router_answer"]

#: HTTP status for each reason of a refusal. Among the router's answers only 429 and
#: 503 guarantee that the request did not run and will not run.
_STATUS = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.BAD_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    Reason.BUDGET_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.TARGET_LIMIT: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.ROUTER_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.UNKNOWN_STREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.VERSION_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}

#: Retry-after in seconds where the refusal states none.
_DEFAULT_RETRY_S = 0.5

#: Minimum retry-after; anything shorter than a round trip has no effect.
_MIN_RETRY_S = 0.05


@frozen
class RouterAnswer:
    """Hold an answer that the router generates itself."""

    status: int
    reason: Reason
    detail: str
    retry_after_s: float | None = None

    def fields(self) -> HeaderFields:
        """Return the header fields of the answer."""
        fields = [(b"content-type", b"text/plain; charset=utf-8")]
        if self.retry_after_s is not None:
            fields.append((b"retry-after", f"{self.retry_after_s:.2f}".encode()))
        return fields

    def body(self) -> bytes:
        """Return the body of the answer: the reason and its detail."""
        return f"{self.reason.value}: {self.detail}\n".encode()


def router_answer(end: Refused | Unknown) -> RouterAnswer:
    """Return the answer for a request without a target's answer.

    A refused request has not run; one with an unknown outcome may have.
    """
    match end:
        case Unknown(reason=Reason.TIMEOUT):
            status = HTTPStatus.GATEWAY_TIMEOUT
            return RouterAnswer(status, end.reason, end.detail)
        case Unknown():
            return RouterAnswer(HTTPStatus.BAD_GATEWAY, end.reason, end.detail)
    status = _STATUS.get(end.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if status is not HTTPStatus.SERVICE_UNAVAILABLE:
        return RouterAnswer(status, end.reason, end.detail)
    retry_s = _DEFAULT_RETRY_S if end.retry_after_s is None else end.retry_after_s
    return RouterAnswer(status, end.reason, end.detail, max(_MIN_RETRY_S, retry_s))
