"""What callers send and are sent: header names, refusals, error bodies."""

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

#: When to ask again under the same key: a lost answer is found again, or a dead
#: process replaced, within seconds.
_UNKNOWN_RETRY_S = 1

#: Status of a request that did not run, by reason; 503 where none is named.
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

#: Reasons that a new try of the same request cannot mend.
_FINAL = frozenset(
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
    """Hold an error answer, ready to be sent."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes


def http_error(problem: NotAnswered, *, keyed: bool = False) -> HttpError:
    """Return the answer for a request that did not run or may have run.

    :param keyed: whether the request carried an idempotency key.

    The outcome stands in a header of its own, so that a client can tell "did
    not run" from "may have run" without knowing the codes.
    """
    fields = [
        ("content-type", "application/json"),
        (OUTCOME_HEADER, _outcome(problem).value),
    ]
    match problem:
        case (Refused() as refused) | RefusedTry(refused=refused):
            status = _STATUS.get(refused.reason, _UNAVAILABLE)
            final = refused.reason in _FINAL
            fields.append(("x-should-retry", "false" if final else "true"))
            if refused.retry_after_s is not None and not final:
                seconds = max(1, math.ceil(refused.retry_after_s))
                fields.append(("retry-after", str(seconds)))
        case Unknown():
            timed_out = problem.reason in (Reason.DEADLINE, Reason.TIMEOUT)
            status = _TIMEOUT if timed_out else _BAD_GATEWAY
            # A retry under the same key joins the attempt or replays its
            # answer. Without a key it would be another request, so that the
            # client must decide, and the header does not invite one.
            fields.append(("x-should-retry", "true" if keyed else "false"))
            if keyed:
                fields.append(("retry-after", str(_UNKNOWN_RETRY_S)))
    return HttpError(status, tuple(fields), error_body(problem))


def error_body(problem: NotAnswered) -> bytes:
    """Return the error object in the shape that the ecosystem's clients read."""
    said = problem.refused if isinstance(problem, RefusedTry) else problem
    status = _STATUS.get(said.reason, _UNAVAILABLE)
    kind = "invalid_request_error" if status < 500 else "server_error"
    if said.reason is Reason.BUDGET_EXHAUSTED:
        kind = Reason.BUDGET_EXHAUSTED.value
    error = {
        "message": said.detail or said.reason.value.replace("_", " "),
        "type": kind,
        "param": None,
        "code": said.reason.value,
        "outcome": _outcome(problem).value,
    }
    return json.dumps({"error": error}).encode()


def _outcome(problem: NotAnswered) -> Outcome:
    # A caller that is told "not run" sends the request anew under another key.
    # Where an earlier try had run, a second badge would be printed.
    return Outcome.NOT_RUN if isinstance(problem, Refused) else Outcome.UNKNOWN


def header_limit(max_bytes: int) -> HeaderLimit:
    """Return the bound on a request's head, with the answer beyond it."""
    detail = f"the request line and header fields are over {max_bytes} bytes"
    error = http_error(Refused(Reason.HEADERS_TOO_LARGE, detail))
    return HeaderLimit(max_bytes, error.fields, error.body)
