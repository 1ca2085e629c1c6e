"""Who a caller is and what it asks for beside its body; pure."""

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
    """Hold what the header fields of one request say.

    :param deadline_s: on the router's clock.
    :param says_repeatable: the caller's own word, None where it gave none.
    """

    account: AccountParameters
    budget: BudgetKey
    idempotency_key: str | None
    deadline_s: float
    arrived_s: float
    says_repeatable: bool | None
    request_id: str

    @property
    def keyed(self) -> bool:
        """Return whether the caller named the request."""
        return self.idempotency_key is not None

    @property
    def fields(self) -> tuple[tuple[str, str], ...]:
        """Return the header fields of every answer to this request."""
        return ((_REQUEST_ID, self.request_id),)


def identify(
    headers: Mapping[str, str], snapshot: Snapshot, limits: HttpLimits, now_s: float
) -> Caller | Refused:
    """Return the caller, or why its request is not taken.

    :param headers: names in lower case.
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return Refused(Reason.BAD_KEY, "send your key as a bearer token")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    account = snapshot.find_account_by_key_hash(digest)
    if account is None:
        return Refused(Reason.BAD_KEY, "this key is not valid")
    allowed_s = _allowed_s(headers.get(DEADLINE_HEADER), limits)
    if isinstance(allowed_s, Refused):
        return allowed_s
    budget = headers.get(BUDGET_HEADER, account.default_budget().budget)
    if budget not in account.budgets:
        return Refused(Reason.BUDGET_UNKNOWN, f"there is no budget {budget!r}")
    idempotency_key = headers.get(IDEMPOTENCY_HEADER)
    if idempotency_key is not None and len(idempotency_key) > _MAX_KEY_LENGTH:
        return Refused(
            Reason.BAD_REQUEST,
            f"{IDEMPOTENCY_HEADER} is over {_MAX_KEY_LENGTH} characters",
        )
    word = headers.get(REPEATABLE_HEADER)
    if word not in (None, "yes", "no"):
        return Refused(Reason.BAD_REQUEST, f"{REPEATABLE_HEADER} takes yes or no")
    return Caller(
        account=account,
        budget=BudgetKey(account.client_account, budget),
        idempotency_key=idempotency_key or None,
        deadline_s=now_s + allowed_s,
        arrived_s=now_s,
        says_repeatable=None if word is None else word == "yes",
        request_id=uuid.uuid4().hex,
    )


def is_plain_path(path: str) -> bool:
    """Return whether a decoded path means at the service what it says here.

    A service takes ``status/../notices`` for ``notices``. Passed on, it would
    run a call that may not be repeated under the rules of one that may.
    """
    return not {".", ".."} & set(path.replace("\\", "/").split("/"))


def is_repeatable(account: AccountParameters, named: str) -> bool:
    """Return whether a service's path lies below a repeatable prefix.

    :param named: the service's name and the path, as in ``lobby-app/status/7``.
    """
    prefixes = (prefix.strip("/") for prefix in account.repeatable_paths)
    return any(named == prefix or named.startswith(f"{prefix}/") for prefix in prefixes)


def _allowed_s(text: str | None, limits: HttpLimits) -> float | Refused:
    if text is None:
        return limits.default_deadline_s
    try:
        allowed_s = float(text)
    except ValueError:
        allowed_s = -1.0
    if not 0.0 < allowed_s <= limits.max_deadline_s:
        return Refused(
            Reason.BAD_REQUEST,
            f"{DEADLINE_HEADER} takes seconds, above 0 "
            f"and up to {limits.max_deadline_s:g}",
        )
    return allowed_s
