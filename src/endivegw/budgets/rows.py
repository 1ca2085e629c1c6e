"""Rows that budgets store in the platform's table, and their typed forms.

In the row of a budget, ``available + granted + settled == topped_up`` always holds.
Tokens move between these three fields, and only a top-up adds any.
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
    "holder_of_all_grants",
    "holder_of",
    "holder_row_key",
    "topup_row_key",
]

BUDGET_PARTITION = "budget"
GRANT_PARTITION = "grant"
HOLDER_PARTITION = "holder"
TOPUP_PARTITION = "topup"

#: Drawer of grants: a router's instance id, with a new suffix each time it was fenced.
HolderId = str

#: Separates the holder from the grant's number in a grant id.
_GRANT_SEPARATOR = "#"

#: Replaces the number in an id that represents all grants of the holder, including
#: those unknown to the recipient.
_ALL_GRANTS = "*"


def budget_row_key(budget: BudgetKey) -> RowKey:
    """Return the key of a budget's row."""
    return RowKey(BUDGET_PARTITION, str(budget))


def grant_row_key(grant_id: GrantId) -> RowKey:
    """Return the key of a grant's row; the grants of a holder are adjacent."""
    return RowKey(GRANT_PARTITION, grant_id)


def holder_row_key(holder: HolderId) -> RowKey:
    """Return the key of the row that orders and fences a holder's writes."""
    return RowKey(HOLDER_PARTITION, holder)


def topup_row_key(budget: BudgetKey, operation_id: str) -> RowKey:
    """Return the key of the row that makes a top-up idempotent."""
    return RowKey(TOPUP_PARTITION, f"{budget}/{operation_id}")


def grant_id_of(holder: HolderId, number: int) -> GrantId:
    """Return the id of a holder's grant, chosen before it is drawn."""
    return GrantId(f"{holder}{_GRANT_SEPARATOR}{number}")


def grant_prefix_of(holder: HolderId) -> str:
    """Return the prefix of the sort keys of a holder's grant rows."""
    return f"{holder}{_GRANT_SEPARATOR}"


def holder_of(grant_id: GrantId) -> HolderId:
    """Return the holder that drew a grant."""
    return grant_id.rpartition(_GRANT_SEPARATOR)[0]


def grant_number_of(grant_id: GrantId) -> int:
    """Return the number of a grant among those of its holder."""
    return int(grant_id.rpartition(_GRANT_SEPARATOR)[2])


def all_grants_of(holder: HolderId) -> GrantId:
    """Return the id that represents every grant of a holder in a seal request."""
    return GrantId(f"{holder}{_GRANT_SEPARATOR}{_ALL_GRANTS}")


def holder_of_all_grants(grant_id: GrantId) -> HolderId | None:
    """Return the holder if the id represents all of its grants, else None."""
    holder, _, number = grant_id.rpartition(_GRANT_SEPARATOR)
    return holder if number == _ALL_GRANTS else None


def budget_key_of(text: str) -> BudgetKey:
    """Return the budget named by a row's sort key or field."""
    account, _, name = text.partition("/")
    return BudgetKey(ClientAccountName(account), name)


def _int_field(row: Row, name: str) -> int:
    return int(row.fields.get(name, 0))


@frozen
class BudgetRow:
    """Represent one budget as read from the table.

    :param drawers: number of holders with a grant of the budget; used only to determine
        draw sizes.
    """

    budget: BudgetKey
    topped_up_tokens: int
    available_tokens: int
    granted_tokens: int
    settled_tokens: int
    drawers: int

    @classmethod
    def of(cls, row: Row) -> BudgetRow:
        """Return the typed form of a row, after checking that its tokens add up."""
        budget = cls(
            budget=budget_key_of(row.key.sort),
            topped_up_tokens=_int_field(row, "topped_up"),
            available_tokens=_int_field(row, "available"),
            granted_tokens=_int_field(row, "granted"),
            settled_tokens=_int_field(row, "settled"),
            drawers=_int_field(row, "drawers"),
        )
        check_budget(budget)
        return budget


def check_budget(row: BudgetRow) -> None:
    """Raise unless the tokens of a budget add up and none of the sums is negative.

    An inconsistent budget would let an account spend tokens that nobody paid for, so a
    reader of such a row stops at once.
    """
    parts = (row.available_tokens, row.granted_tokens, row.settled_tokens)
    if min(parts) < 0 or sum(parts) != row.topped_up_tokens:
        raise InvariantError(
            f"budget {row.budget}: {parts} do not add up to {row.topped_up_tokens}"
        )


@frozen
class GrantRow:
    """Represent one grant as read from the table.

    :param tokens: escrowed tokens that are not yet settled or returned.
    :param settled_tokens: tokens settled under the grant so far.
    :param open: False once recovery has started; only recovery writes the row then.
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
        """Return the typed form of a row."""
        return cls(
            grant_id=GrantId(row.key.sort),
            version=row.version,
            budget=budget_key_of(str(row.fields["budget"])),
            tokens=_int_field(row, "tokens"),
            settled_tokens=_int_field(row, "settled"),
            opened_at_s=_int_field(row, "opened_at_s"),
            open=_int_field(row, "open") == 1,
        )


@frozen
class HolderRow:
    """Represent the row that all writes of a holder update.

    :param operation_id: id of the last write that took effect.
    :param sealed: True once recovery has fenced the holder off.
    :param written_at_s: when the holder last wrote, or when it was sealed.
    :param closed_below: all grants with lower numbers are closed and settled.
    :param recovered: True once none of a sealed holder's grants is open.
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
        """Return the typed form of a row."""
        return cls(
            holder=row.key.sort,
            version=row.version,
            instance_id=InstanceId(str(row.fields["instance_id"])),
            operation_id=str(row.fields["operation"]),
            sealed=_int_field(row, "sealed") == 1,
            written_at_s=_int_field(row, "written_at_s"),
            closed_below=_int_field(row, "closed_below"),
            recovered=_int_field(row, "recovered") == 1,
        )
