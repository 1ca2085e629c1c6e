"""The configuration as daemons hold it: one immutable snapshot per revision."""

from __future__ import annotations

import enum
from typing import Mapping

from attrs import field, frozen

from endivegw.types import (
    AvailabilityZone,
    BudgetKey,
    ClientAccountName,
    ConfigRevision,
    Priority,
    TargetName,
)

__all__ = [
    "AccountParameters",
    "EMPTY_SNAPSHOT",
    "Snapshot",
    "TargetKind",
    "TargetParameters",
]


class TargetKind(enum.Enum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class AccountParameters:
    """Hold the parameters of one client account.

    :param key_hashes: SHA-256 digests in hex of the account's bearer keys.
    :param budgets: names of the account's budgets; the first is the default.
    :param models: models that the account may use; ``model+adapter`` for a
        model with an adapter.
    :param services: plain services that the account may call.
    :param repeatable_paths: path prefixes of plain services whose calls may be
        repeated; calls outside of them may not.
    :param repeatable_generations: whether the account's engine requests may be
        repeated where the caller does not say otherwise.
    :param weight: fair share of the account beside the others.
    :param reserve_s: for how many seconds of demand routers hold tokens in
        hand; more serves longer without the table and strands more.
    """

    client_account: ClientAccountName
    key_hashes: tuple[str, ...] = ()
    budgets: tuple[str, ...] = ("main",)
    priority: Priority = Priority.NORMAL
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    repeatable_paths: tuple[str, ...] = ()
    repeatable_generations: bool = True
    weight: float = 1.0
    max_output_tokens: int = 1024
    reserve_s: float = 700.0
    template: str = ""
    enabled: bool = True

    def default_budget(self) -> BudgetKey:
        """Return the budget that is charged where the caller names none."""
        return BudgetKey(self.client_account, self.budgets[0])


@frozen
class TargetParameters:
    """Hold what operators say of one target.

    :param serves: model or service names that the target is meant to serve.
    :param checks_fence: whether the target itself refuses old orders.
    :param drained: whether operators want no new work on it.
    :param stopped: whether its sidecar shall also end once its work is done.
    """

    target: TargetName
    kind: TargetKind
    availability_zone: AvailabilityZone = AvailabilityZone("")
    serves: tuple[str, ...] = ()
    version: str = ""
    checks_fence: bool = False
    drained: bool = False
    stopped: bool = False


@frozen
class Snapshot:
    """Hold the whole configuration under one revision.

    :param revision: 0 for a process that has heard of none yet.
    """

    revision: ConfigRevision
    accounts: Mapping[ClientAccountName, AccountParameters] = field(factory=dict)
    targets: Mapping[TargetName, TargetParameters] = field(factory=dict)

    def account_of_key_hash(self, key_hash: str) -> AccountParameters | None:
        """Return the enabled account that holds a key, None where none does."""
        for account in self.accounts.values():
            if account.enabled and key_hash in account.key_hashes:
                return account
        return None


#: What a fresh process has: nothing, and so it serves nothing.
EMPTY_SNAPSHOT = Snapshot(ConfigRevision(0))
