"""Sample configuration with two client accounts, a template and targets."""

from __future__ import annotations

import time
import uuid
from typing import TypeVar

from attrs import frozen

from endivegw.budgets import top_up
from endivegw.commands.account import CreatedKey, create_account
from endivegw.commands.changes import Operation
from endivegw.commands.target import set_target
from endivegw.commands.template import create_template
from endivegw.configuration import TargetParameters
from endivegw.configuration.parameters import Parameters
from endivegw.dev.layout import MODEL, SERVICE, TARGETS
from endivegw.exceptions import PlatformError
from endivegw.results import Done, Result
from endivegw.services import TablePort
from endivegw.types import BudgetKey, ClientAccountName, Priority

__all__ = ["SAMPLE_BUDGET_TOKENS", "SampleAccount", "load_sample"]

T = TypeVar("T")

SAMPLE_BUDGET_TOKENS = 2_000_000
_TEMPLATE = "lobby"
_TIMEOUT_S = 5.0


@frozen
class SampleAccount:
    """A sample account with its API key, which is returned only on creation."""

    client_account: ClientAccountName
    key: str
    budget: BudgetKey


async def load_sample(
    table: TablePort, budget_tokens: tuple[int, int]
) -> tuple[SampleAccount, ...]:
    """Write the sample configuration and return its accounts."""
    template_parameters = Parameters(
        models=(MODEL,),
        services=(SERVICE,),
        repeatable_paths=(f"{SERVICE}/status",),
        max_output_tokens=256,
    )
    _unwrap(await create_template(table, _operation(), _TEMPLATE, template_parameters))
    for target in TARGETS:
        parameters = TargetParameters(
            target=target.name,
            kind=target.kind,
            availability_zone=target.availability_zone,
            serves=target.serves,
        )
        _unwrap(await set_target(table, _operation(), parameters))
    return (
        await _create_account(table, "kiosks", Priority.URGENT, budget_tokens[0]),
        await _create_account(table, "planning", Priority.NORMAL, budget_tokens[1]),
    )


async def _create_account(
    table: TablePort, name: str, priority: Priority, budget_tokens: int
) -> SampleAccount:
    created: CreatedKey = _unwrap(
        await create_account(
            table,
            _operation(),
            name,
            template=_TEMPLATE,
            parameters=Parameters(priority=priority),
        )
    )
    account = ClientAccountName(name)
    budget = BudgetKey(account, "main")
    _unwrap(
        await top_up(
            table,
            budget,
            uuid.uuid4().hex,
            budget_tokens,
            timeout_s=_TIMEOUT_S,
            now_s=time.time(),
        )
    )
    return SampleAccount(account, created.key, budget)


def _operation() -> Operation:
    return Operation(uuid.uuid4().hex, "dev", time.time(), timeout_s=_TIMEOUT_S)


def _unwrap(result: Result[T]) -> T:
    if isinstance(result, Done):
        return result.value
    raise PlatformError(f"cannot write the sample configuration: {result}")
