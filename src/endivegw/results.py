"""Result values of operations that may fail.

Each call to another process returns :class:`Done`, :class:`Refused` or
:class:`Unknown`. Callers distinguish them with ``match``, so that the type checker
reports a missing case before it reaches production.
"""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

from attrs import frozen

__all__ = ["Done", "Reason", "Refused", "Result", "Unknown"]

T = TypeVar("T")


class Reason(enum.Enum):
    """Reason of a refusal or an unknown outcome; the value is the stable code."""

    # Errors in a caller's request.
    BAD_REQUEST = "bad_request"
    BAD_KEY = "invalid_api_key"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_SERVICE = "service_not_found"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_CONFLICT = "idempotency_key_conflict"
    # Budgets.
    BUDGET_EXHAUSTED = "insufficient_quota"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    BUDGET_UNKNOWN = "budget_not_found"
    GRANT_SEALED = "grant_sealed"
    # Load and deadlines.
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_exceeded"
    NO_TARGET = "no_target"
    TARGET_LIMIT = "target_limit"
    ROUTER_FULL = "router_full"
    DRAINING = "draining"
    # Configuration, membership and identity of requests.
    STALE_CONFIGURATION = "stale_configuration"
    NOT_READY = "not_ready"
    WRONG_INSTANCE = "wrong_instance"
    ALREADY_RUN = "already_run"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    # The platform, peers and targets.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CIRCUIT_OPEN = "circuit_open"
    THROTTLED = "throttled"
    TARGET_FAILED = "target_failed"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    ANSWER_LOST = "answer_lost"
    UNKNOWN_STREAM = "unknown_stream"
    VERSION_UNAVAILABLE = "version_unavailable"
    STALE_FENCE = "stale_fence"


@frozen
class Done(Generic[T]):
    """Hold the value of a call that took effect and returned a response."""

    value: T


@frozen
class Refused:
    """Report that a call had no effect, and why.

    :param reason: stable code of the reason.
    :param detail: human-readable explanation; never parsed.
    :param retry_after_s: delay after which a retry may succeed, None if no retry
        would succeed or no delay is known.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


@frozen
class Unknown:
    """Report that a call may or may not have taken effect, and why.

    The caller resolves the outcome by reading back an id that it chose before the
    call.
    """

    reason: Reason
    detail: str = ""


Result = Done[T] | Refused | Unknown
