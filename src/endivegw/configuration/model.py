"""Resolved configuration of daemons: one immutable snapshot per revision."""

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
    """Kind of the target behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen
class AccountParameters:
    """Hold the parameters of one client account.

    :param key_hashes: hexadecimal SHA-256 digests of the account's bearer keys.
    :param budgets: names of the account's budgets; the first is the default.
    :param models: models that the account may use; ``model+adapter`` for a model
        with an adapter.
    :param services: plain services that the account may call.
    :param repeatable_paths: path prefixes of plain services whose calls may be
        repeated. Calls to other paths may not.
    :param repeatable_generations: whether the account's engine requests may be
        repeated unless the caller specifies otherwise.
    :param weight: weight of the account in fair sharing with other accounts.
    :param max_output_tokens: limit of output tokens per request.
    :param reserve_s: seconds of demand for which routers hold tokens. A larger
        reserve lasts longer without the table and leaves more tokens unused.
    :param template: name of the account's template; "" if there is none.
    :param enabled: whether the account's keys are accepted.
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
        """Return the budget charged for requests that do not name one."""
        return BudgetKey(self.client_account, self.budgets[0])


@frozen
class TargetParameters:
    """Hold the configuration of one target.

    :param serves: names of the models or services that the target should serve.
    :param checks_fence: whether the target itself refuses outdated orders.
    :param drained: whether the target should get no new work.
    :param stopped: whether its sidecar should also stop after finishing its work.
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
    """Hold the complete configuration of one revision.

    :param revision: 0 if the process has not received a configuration yet.
    """

    revision: ConfigRevision
    accounts: Mapping[ClientAccountName, AccountParameters] = field(factory=dict)
    targets: Mapping[TargetName, TargetParameters] = field(factory=dict)

    def find_account_by_key_hash(self, key_hash: str) -> AccountParameters | None:
        """Return the enabled account with a key, or None if there is none."""
        for account in self.accounts.values():
            if account.enabled and key_hash in account.key_hashes:
                return account
        return None


#: Configuration of a new process; no requests are served with it.
EMPTY_SNAPSHOT = Snapshot(ConfigRevision(0))
