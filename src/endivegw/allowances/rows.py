"""Rows of prepaid budgets in the platform's store, and their encoding."""

from __future__ import annotations

import json
import math
from typing import Mapping

from attrs import Factory, field, frozen

from endivegw.allowances.funds import Terms
from endivegw.allowances.witnesses import majority
from endivegw.documents import (
    DocumentError,
    decoding,
    parse_document,
    read_count,
    read_integer,
    read_name,
    read_text,
)
from endivegw.types import ClientAccountName, InstanceId

__all__ = [
    "BUDGETS_TABLE",
    "HOLDERS_TABLE",
    "BudgetTotal",
    "HolderRow",
    "PlannedWrite",
    "RowError",
    "decode_budget",
    "decode_holder",
    "encode_budget",
    "encode_holder",
]

#: One row per router: the drawn tokens and the limit on their use.
HOLDERS_TABLE = "token-holders"

#: One row per client account: what all routers drew in total.
BUDGETS_TABLE = "token-budgets"


class RowError(DocumentError):
    """Raised if a row's value cannot be decoded."""


@frozen
class HolderRow:
    """One router's row.

    :param instance_id: the process that wrote it.
    :param sequence: increases with each of its writes, so that a write without an
        answer is recognised when it is read back.
    :param witnesses: routers that know what this one may have used.
    :param outright: whether the router may use its recorded limits without the
        acknowledgement of its witnesses. Set while too few acknowledge.
    :param validity_s: how long after the time of its terms the row may still be used.
    :param needed: how many of the witnesses must acknowledge each use; a majority in
        rows that do not state it.
    """

    instance_id: InstanceId
    sequence: int
    terms: Mapping[ClientAccountName, Terms] = field(factory=dict)
    witnesses: tuple[InstanceId, ...] = ()
    outright: bool = False
    validity_s: float = math.inf
    needed: int = Factory(lambda self: majority(len(self.witnesses)), takes_self=True)

    @property
    def as_of_ms(self) -> int:
        """Return the time of its terms, which is the same for all accounts."""
        return max((terms.as_of_ms for terms in self.terms.values()), default=0)


@frozen
class BudgetTotal:
    """Tokens that all routers drew of one budget, at a revision of its row."""

    drawn_tokens: int = 0
    revision: int = 0


@frozen
class PlannedWrite:
    """One transaction: the router's row and the budgets that it draws on.

    :param budgets: the new total by account.
    :param expected: the revisions that the budgets' rows must have.
    :param is_complete: whether it draws and returns all that it should; a transaction
        holds a limited number of budgets.
    :param is_last: whether the router stops, and its row would have nothing unused.
        Only such a write deletes the row.
    """

    row: HolderRow
    budgets: dict[ClientAccountName, int]
    expected: dict[ClientAccountName, int]
    is_complete: bool = True
    is_last: bool = False


def encode_holder(row: HolderRow) -> bytes:
    """Return the row's value."""
    accounts = {
        account: [terms.drawn_tokens, terms.limit_tokens, terms.growth_tokens_per_s]
        for account, terms in row.terms.items()
    }
    document = {
        "instance": row.instance_id,
        "sequence": row.sequence,
        "as_of_ms": row.as_of_ms,
        "witnesses": row.witnesses,
        "needed": row.needed,
        "outright": row.outright,
        "lasts_ms": (
            int(row.validity_s * 1000) if math.isfinite(row.validity_s) else None
        ),
        "accounts": accounts,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_holder(value: bytes) -> HolderRow:
    """Decode a router's row; raises :exc:`RowError` if the value is malformed."""
    with decoding("row of a token holder", RowError):
        document = parse_document(value)
        as_of_ms = read_count(document["as_of_ms"])
        terms = {
            ClientAccountName(account): Terms(
                read_integer(drawn), read_integer(limit), read_integer(growth), as_of_ms
            )
            for account, (drawn, limit, growth) in document["accounts"].items()
        }
        witnesses = tuple(InstanceId(read_name(name)) for name in document["witnesses"])
        lasts_ms = document.get("lasts_ms")
        return HolderRow(
            InstanceId(read_text(document["instance"])),
            read_count(document["sequence"]),
            terms,
            witnesses,
            bool(document["outright"]),
            math.inf if lasts_ms is None else read_count(lasts_ms) / 1000.0,
            read_count(document.get("needed", majority(len(witnesses)))),
        )


def encode_budget(drawn_tokens: int) -> bytes:
    """Return the value of a budget's row."""
    return json.dumps({"drawn": drawn_tokens}).encode()


def decode_budget(value: bytes, revision: int) -> BudgetTotal:
    """Decode a budget's row; raises :exc:`RowError` if the value is malformed."""
    with decoding("row of a budget", RowError):
        return BudgetTotal(read_count(parse_document(value)["drawn"]), revision)
