"""The rows that budgets keep in the platform's table, and how they are read.

A budget's row holds ``available + granted + settled == topped_up``. Tokens move
between the three fields and never appear from nowhere; only a top-up adds.
"""

from __future__ import annotations

from attrs import frozen

from endivegw.exceptions import InvariantError
from endivegw.services import Row, RowKey
from endivegw.types import BudgetKey, ClientAccountName, GrantId, InstanceId

__all__ = [
    "BUDGET_PARTITION",
    "BudgetRow",
    "GRANT_PARTITION",
    "GrantRow",
    "HOLDER_PARTITION",
    "HolderId",
    "HolderRow",
    "TOPUP_PARTITION",
    "all_grants_of",
    "budget_key_of",
    "budget_row_key",
    "check_budget",
    "grant_id_of",
    "grant_number_of",
    "grant_prefix_of",
    "grant_row_key",
    "holder_named",
    "holder_of",
    "holder_row_key",
    "topup_row_key",
]

BUDGET_PARTITION = "budget"
GRANT_PARTITION = "grant"
HOLDER_PARTITION = "holder"
TOPUP_PARTITION = "topup"

#: Who draws grants: a router's instance id, and a new one after it was sealed.
HolderId = str

#: Separates the holder from the number of the grant in a grant's id.
_GRANT_SEPARATOR = "#"

#: In place of the number: all grants of the holder, also those never heard of.
_ALL_GRANTS = "*"


def budget_row_key(budget: BudgetKey) -> RowKey:
    """Return the key of a budget's row."""
    return RowKey(BUDGET_PARTITION, str(budget))


def grant_row_key(grant_id: GrantId) -> RowKey:
    """Return the key of a grant's row; those of one holder lie together."""
    return RowKey(GRANT_PARTITION, grant_id)


def holder_row_key(holder: HolderId) -> RowKey:
    """Return the key of the row that orders and fences a holder's writes."""
    return RowKey(HOLDER_PARTITION, holder)


def topup_row_key(budget: BudgetKey, operation_id: str) -> RowKey:
    """Return the key of the row that makes a repeated top-up add once."""
    return RowKey(TOPUP_PARTITION, f"{budget}/{operation_id}")


def grant_id_of(holder: HolderId, number: int) -> GrantId:
    """Return the id of a holder's grant, chosen before it is drawn."""
    return GrantId(f"{holder}{_GRANT_SEPARATOR}{number}")


def grant_prefix_of(holder: HolderId) -> str:
    """Return what the sort keys of a holder's grant rows begin with."""
    return f"{holder}{_GRANT_SEPARATOR}"


def holder_of(grant_id: GrantId) -> HolderId:
    """Return who drew a grant."""
    return grant_id.rpartition(_GRANT_SEPARATOR)[0]


def grant_number_of(grant_id: GrantId) -> int:
    """Return the number of a grant among its holder's."""
    return int(grant_id.rpartition(_GRANT_SEPARATOR)[2])


def all_grants_of(holder: HolderId) -> GrantId:
    """Return the id that stands for every grant of a holder in a seal."""
    return GrantId(f"{holder}{_GRANT_SEPARATOR}{_ALL_GRANTS}")


def holder_named(grant_id: GrantId) -> HolderId | None:
    """Return the holder where the id stands for all of its grants, else None."""
    holder, _, number = grant_id.rpartition(_GRANT_SEPARATOR)
    return holder if number == _ALL_GRANTS else None


def budget_key_of(text: str) -> BudgetKey:
    """Return the budget that a row's sort key or field names."""
    account, _, name = text.partition("/")
    return BudgetKey(ClientAccountName(account), name)


def _number(row: Row, name: str) -> int:
    return int(row.fields.get(name, 0))


@frozen
class BudgetRow:
    """Hold one budget as it was read.

    :param drawers: how many holders have a grant of it; advice for sizes only.
    """

    budget: BudgetKey
    topped_up_tokens: int
    available_tokens: int
    granted_tokens: int
    settled_tokens: int
    drawers: int

    @classmethod
    def of(cls, row: Row) -> BudgetRow:
        """Return the typed row, checked against the product's promise."""
        budget = cls(
            budget=budget_key_of(row.key.sort),
            topped_up_tokens=_number(row, "topped_up"),
            available_tokens=_number(row, "available"),
            granted_tokens=_number(row, "granted"),
            settled_tokens=_number(row, "settled"),
            drawers=_number(row, "drawers"),
        )
        check_budget(budget)
        return budget


def check_budget(row: BudgetRow) -> None:
    """Raise unless the budget's tokens add up and none is negative.

    A budget whose tokens do not add up would let an account spend what nobody
    paid for; whoever reads such a row stops at once.
    """
    parts = (row.available_tokens, row.granted_tokens, row.settled_tokens)
    if min(parts) < 0 or sum(parts) != row.topped_up_tokens:
        raise InvariantError(
            f"budget {row.budget}: {parts} do not add up to {row.topped_up_tokens}"
        )


@frozen
class GrantRow:
    """Hold one grant as it was read.

    :param tokens: what is escrowed and not yet settled or given back.
    :param settled_tokens: what was settled under it so far.
    :param open: False once recovery has begun; only recovery writes it then.
    """

    grant_id: GrantId
    version: int
    budget: BudgetKey
    tokens: int
    settled_tokens: int
    opened_at_s: int
    open: bool

    @classmethod
    def of(cls, row: Row) -> GrantRow:
        """Return the typed row."""
        return cls(
            grant_id=GrantId(row.key.sort),
            version=row.version,
            budget=budget_key_of(str(row.fields["budget"])),
            tokens=_number(row, "tokens"),
            settled_tokens=_number(row, "settled"),
            opened_at_s=_number(row, "opened_at_s"),
            open=_number(row, "open") == 1,
        )


@frozen
class HolderRow:
    """Hold the row through which all of a holder's writes pass.

    :param operation_id: the last write that took effect.
    :param sealed: True once recovery has fenced the holder off.
    :param written_at_s: when the holder wrote last, or when it was sealed.
    :param closed_below: all grants with lower numbers are closed and settled.
    :param recovered: True once nothing of a sealed holder is left open.
    """

    holder: HolderId
    version: int
    instance_id: InstanceId
    operation_id: str
    sealed: bool
    written_at_s: int
    closed_below: int
    recovered: bool

    @classmethod
    def of(cls, row: Row) -> HolderRow:
        """Return the typed row."""
        return cls(
            holder=row.key.sort,
            version=row.version,
            instance_id=InstanceId(str(row.fields["instance_id"])),
            operation_id=str(row.fields["operation"]),
            sealed=_number(row, "sealed") == 1,
            written_at_s=_number(row, "written_at_s"),
            closed_below=_number(row, "closed_below"),
            recovered=_number(row, "recovered") == 1,
        )
