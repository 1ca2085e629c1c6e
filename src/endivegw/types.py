"""Identifiers and small value types shared by all packages."""

from __future__ import annotations

import enum
from typing import NewType

from attrs import field, frozen, validators

__all__ = [
    "AttemptId",
    "AvailabilityZone",
    "BudgetKey",
    "ClientAccountName",
    "ConfigRevision",
    "GrantId",
    "InstanceId",
    "Outcome",
    "Priority",
    "RequestIdentity",
    "TargetName",
    "TargetStart",
    "TransferId",
    "Usage",
]

ClientAccountName = NewType("ClientAccountName", str)
TargetName = NewType("TargetName", str)
AvailabilityZone = NewType("AvailabilityZone", str)

#: Identifies one run of one process; a restarted process has a new instance id.
InstanceId = NewType("InstanceId", str)

#: Identifies one attempt of a request at one target; chosen before the request is
#: handed over.
AttemptId = NewType("AttemptId", str)

#: Identifies one escrowed share of a budget; chosen before the write that creates it.
GrantId = NewType("GrantId", str)

#: Identifies one transfer of tokens between two routers; chosen by the donor.
TransferId = NewType("TransferId", str)

#: Revision of the configuration; never decreases.
ConfigRevision = NewType("ConfigRevision", int)


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """Priority of a request; lower numbers are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@frozen(order=True)
class BudgetKey:
    """Identify one prepaid budget of one client account."""

    client_account: ClientAccountName
    budget: str

    def __str__(self) -> str:
        return f"{self.client_account}/{self.budget}"


@frozen(order=True)
class RequestIdentity:
    """Identify one request across all its attempts.

    :param client_account: the account that sent the request.
    :param idempotency_key: the caller's key; the router generates one for a
        repeatable request without a key.
    """

    client_account: ClientAccountName
    idempotency_key: str

    def __str__(self) -> str:
        return f"{self.client_account}/{self.idempotency_key}"


@frozen
class Usage:
    """Count the tokens that one attempt consumed at its target."""

    prompt_tokens: int = field(default=0, validator=validators.ge(0))
    completion_tokens: int = field(default=0, validator=validators.ge(0))

    @property
    def total_tokens(self) -> int:
        """Return the number of tokens charged to the budget."""
        return self.prompt_tokens + self.completion_tokens


@frozen
class TargetStart:
    """Identifier of one start of a target.

    :param started_ms: distinguishes two starts with the same ``instance_id``; None if
        ``instance_id`` is unique for each start.
    """

    instance_id: InstanceId
    started_ms: int | None
