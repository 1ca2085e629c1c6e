"""The identifiers and small values that all parts share."""

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
    "TransferId",
    "Usage",
]

ClientAccountName = NewType("ClientAccountName", str)
TargetName = NewType("TargetName", str)
AvailabilityZone = NewType("AvailabilityZone", str)

#: One start of one process: a restarted process has another instance id.
InstanceId = NewType("InstanceId", str)

#: One try of one request at one target, chosen before the hand-over.
AttemptId = NewType("AttemptId", str)

#: One escrowed share of a budget, chosen before the write that creates it.
GrantId = NewType("GrantId", str)

#: One move of tokens between two routers, chosen by the donor.
TransferId = NewType("TransferId", str)

#: The revision of the configuration; it only ever grows.
ConfigRevision = NewType("ConfigRevision", int)


class Outcome(enum.Enum):
    """What a caller may be told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """The order in which work is served; lower numbers go first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@frozen(order=True)
class BudgetKey:
    """Name one prepaid budget of one client account."""

    client_account: ClientAccountName
    budget: str

    def __str__(self) -> str:
        return f"{self.client_account}/{self.budget}"


@frozen(order=True)
class RequestIdentity:
    """Name one request for all its tries.

    :param client_account: the account that sent it.
    :param idempotency_key: the caller's key; the router makes one up for a
        repeatable request that carries none.
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
        """Return what the budget is charged."""
        return self.prompt_tokens + self.completion_tokens
