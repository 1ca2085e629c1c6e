"""Sentinel values with a reason, returned where a decision can go wrong.

Each call that leaves the process ends in :class:`Done`, :class:`Refused` or
:class:`Unknown`. Callers take them apart with ``match``, so that forgetting a
case shows in the type checker and not in production.
"""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

from attrs import frozen

__all__ = ["Done", "Reason", "Refused", "Result", "Unknown"]

T = TypeVar("T")


class Reason(enum.Enum):
    """Why something was refused or is unknown; the value is the stable code."""

    # What a caller sent.
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
    # Load and time.
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_exceeded"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    # Configuration, membership, identity of requests.
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
    STALE_FENCE = "stale_fence"


@frozen
class Done(Generic[T]):
    """Hold the value of a call that took effect and was answered."""

    value: T


@frozen
class Refused:
    """Say that nothing took effect, and why.

    :param reason: the stable reason.
    :param detail: a sentence for people; never parsed.
    :param retry_after_s: when a new try may succeed, None where none would.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


@frozen
class Unknown:
    """Say that the call may or may not have taken effect, and why.

    The caller resolves it by reading back an id which it chose before the
    call.
    """

    reason: Reason
    detail: str = ""


Result = Done[T] | Refused | Unknown
