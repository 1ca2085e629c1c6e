"""Header names of the HTTP interface, and the error answers sent to callers."""

from __future__ import annotations

import json
import math
from typing import Mapping

from attrs import frozen

from endivegw.daemons.routed import NotAnswered, RefusedTry
from endivegw.http_protocol import HeaderLimit
from endivegw.results import Reason, Refused, Unknown
from endivegw.types import Outcome

__all__ = [
    "BUDGET_HEADER",
    "DEADLINE_HEADER",
    "HttpError",
    "IDEMPOTENCY_HEADER",
    "OUTCOME_HEADER",
    "REPEATABLE_HEADER",
    "error_body",
    "header_limit",
    "http_error",
]

DEADLINE_HEADER = "endivegw-deadline-s"
BUDGET_HEADER = "endivegw-budget"
IDEMPOTENCY_HEADER = "idempotency-key"
REPEATABLE_HEADER = "endivegw-repeatable"
OUTCOME_HEADER = "endivegw-outcome"

_BAD_REQUEST = 400
_UNAVAILABLE = 503
_TIMEOUT = 504
_BAD_GATEWAY = 502

#: Delay before a retry under the same key: within seconds, a lost answer is found
#: again or a dead process is replaced.
_UNKNOWN_RETRY_S = 1

#: Status of a request that did not run, by reason; 503 for all other reasons.
_STATUS: Mapping[Reason, int] = {
    Reason.BAD_REQUEST: _BAD_REQUEST,
    Reason.KEY_REQUIRED: _BAD_REQUEST,
    Reason.BAD_KEY: 401,
    Reason.BUDGET_UNKNOWN: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_FOUND: 404,
    Reason.KEY_CONFLICT: 409,
    Reason.ALREADY_RUN: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BUDGET_EXHAUSTED: 429,
    Reason.DEADLINE: _TIMEOUT,
}

#: Reasons for which a retry of the same request cannot succeed.
_FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.KEY_REQUIRED,
        Reason.BAD_KEY,
        Reason.BUDGET_UNKNOWN,
        Reason.UNKNOWN_MODEL,
        Reason.UNKNOWN_SERVICE,
        Reason.NOT_FOUND,
        Reason.KEY_CONFLICT,
        Reason.ALREADY_RUN,
        Reason.BODY_TOO_LARGE,
        Reason.HEADERS_TOO_LARGE,
        Reason.BUDGET_EXHAUSTED,
    }
)


@frozen
class HttpError:
    """Hold a complete error answer."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


def http_error(problem: NotAnswered, *, keyed: bool = False) -> HttpError:
    """Return the error answer for a request that did not run or may have run.

    The outcome is sent in a separate header field, so that a client can distinguish
    "did not run" from "may have run" without knowing the codes.

    :param keyed: whether the request has an idempotency key.
    """
    fields = [
        ("content-type", "application/json"),
        (OUTCOME_HEADER, _outcome(problem).value),
    ]
    match problem:
        case (Refused() as refused) | RefusedTry(refused=refused):
            status = _STATUS.get(refused.reason, _UNAVAILABLE)
            final = refused.reason in _FINAL_REASONS
            fields.append(("x-should-retry", "false" if final else "true"))
            if refused.retry_after_s is not None and not final:
                seconds = max(1, math.ceil(refused.retry_after_s))
                fields.append(("retry-after", str(seconds)))
        case Unknown():
            timed_out = problem.reason in (Reason.DEADLINE, Reason.TIMEOUT)
            status = _TIMEOUT if timed_out else _BAD_GATEWAY
            # A retry under the same key joins the attempt or replays its answer.
            # Without a key, a retry would be a new request and might run twice, so
            # the header does not recommend one and the client must decide.
            fields.append(("x-should-retry", "true" if keyed else "false"))
            if keyed:
                fields.append(("retry-after", str(_UNKNOWN_RETRY_S)))
    return HttpError(status, tuple(fields), error_body(problem))


def error_body(problem: NotAnswered) -> bytes:
    """Return the error object in the format that completion clients expect."""
    refusal = problem.refused if isinstance(problem, RefusedTry) else problem
    status = _STATUS.get(refusal.reason, _UNAVAILABLE)
    kind = "invalid_request_error" if status < 500 else "server_error"
    if refusal.reason is Reason.BUDGET_EXHAUSTED:
        kind = Reason.BUDGET_EXHAUSTED.value
    error = {
        "message": refusal.detail or refusal.reason.value.replace("_", " "),
        "type": kind,
        "param": None,
        "code": refusal.reason.value,
        "outcome": _outcome(problem).value,
    }
    return json.dumps({"error": error}).encode()


def _outcome(problem: NotAnswered) -> Outcome:
    # A caller that receives "not run" may send the request again under another key.
    # If an earlier try had run, the request would then run twice.
    return Outcome.NOT_RUN if isinstance(problem, Refused) else Outcome.UNKNOWN


def header_limit(max_bytes: int) -> HeaderLimit:
    """Return the size limit of a request's head, with the answer if exceeded."""
    detail = f"the request line and header fields exceed the limit of {max_bytes} bytes"
    error = http_error(Refused(Reason.HEADERS_TOO_LARGE, detail))
    return HeaderLimit(max_bytes, error.fields, error.body)
