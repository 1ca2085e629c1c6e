"""Authenticate callers and parse the header fields of their requests, without I/O."""

from __future__ import annotations

import hashlib
import uuid
from typing import Mapping

from attrs import frozen

from endivegw.configuration import AccountParameters, Snapshot
from endivegw.daemons.http_messages import (
    BUDGET_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    REPEATABLE_HEADER,
)
from endivegw.results import Reason, Refused
from endivegw.settings import HttpLimits
from endivegw.types import BudgetKey

__all__ = ["Caller", "identify", "is_plain_path", "is_repeatable"]

_MAX_KEY_LENGTH = 255
_REQUEST_ID = "x-request-id"


@frozen
class Caller:
    """Hold the account of a caller and the parsed header fields of its request.

    :param deadline_s: time on the router's clock.
    :param arrived_s: time on the router's clock.
    :param declared_repeatable: the caller's ``endivegw-repeatable`` field, None if
        the field is absent.
    """

    account: AccountParameters
    budget: BudgetKey
    idempotency_key: str | None
    deadline_s: float
    arrived_s: float
    declared_repeatable: bool | None
    request_id: str

    @property
    def keyed(self) -> bool:
        """Return whether the request has an idempotency key."""
        return self.idempotency_key is not None

    @property
    def fields(self) -> tuple[tuple[str, str], ...]:
        """Return the header fields to add to every answer to this request."""
        return ((_REQUEST_ID, self.request_id),)


def identify(
    headers: Mapping[str, str], snapshot: Snapshot, limits: HttpLimits, now_s: float
) -> Caller | Refused:
    """Return the caller, or the reason why its request is refused.

    :param headers: header fields, with names in lower case.
    :param now_s: time on the router's clock.
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return Refused(Reason.BAD_KEY, "the API key must be sent as a bearer token")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    account = snapshot.find_account_by_key_hash(digest)
    if account is None:
        return Refused(Reason.BAD_KEY, "the API key is not valid")
    timeout_s = _parse_timeout_s(headers.get(DEADLINE_HEADER), limits)
    if isinstance(timeout_s, Refused):
        return timeout_s
    budget = headers.get(BUDGET_HEADER, account.default_budget().budget)
    if budget not in account.budgets:
        return Refused(Reason.BUDGET_UNKNOWN, f"budget {budget!r} not found")
    idempotency_key = headers.get(IDEMPOTENCY_HEADER)
    if idempotency_key is not None and len(idempotency_key) > _MAX_KEY_LENGTH:
        return Refused(
            Reason.BAD_REQUEST,
            f"{IDEMPOTENCY_HEADER} of {len(idempotency_key)} characters "
            f"exceeds the limit of {_MAX_KEY_LENGTH}",
        )
    repeatable = headers.get(REPEATABLE_HEADER)
    if repeatable not in (None, "yes", "no"):
        return Refused(Reason.BAD_REQUEST, f"{REPEATABLE_HEADER} must be 'yes' or 'no'")
    return Caller(
        account=account,
        budget=BudgetKey(account.client_account, budget),
        idempotency_key=idempotency_key or None,
        deadline_s=now_s + timeout_s,
        arrived_s=now_s,
        declared_repeatable=None if repeatable is None else repeatable == "yes",
        request_id=uuid.uuid4().hex,
    )


def is_plain_path(path: str) -> bool:
    """Return whether a decoded path has no ``.`` or ``..`` segments.

    A service resolves ``status/../notices`` to ``notices``. If such a path were
    forwarded, a call that may not be repeated would be matched against the prefix
    of one that may.
    """
    return not {".", ".."} & set(path.replace("\\", "/").split("/"))


def is_repeatable(account: AccountParameters, service_path: str) -> bool:
    """Return whether a service's path lies below a repeatable prefix.

    :param service_path: the service's name and the path, as in
        ``lobby-app/status/7``.
    """
    prefixes = (prefix.strip("/") for prefix in account.repeatable_paths)
    return any(
        service_path == prefix or service_path.startswith(f"{prefix}/")
        for prefix in prefixes
    )


def _parse_timeout_s(text: str | None, limits: HttpLimits) -> float | Refused:
    if text is None:
        return limits.default_deadline_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0.0 < timeout_s <= limits.max_deadline_s:
        return Refused(
            Reason.BAD_REQUEST,
            f"{DEADLINE_HEADER} must be a number of seconds above 0 "
            f"and at most {limits.max_deadline_s:g}",
        )
    return timeout_s
