"""The rows in which a sidecar says that it exists and what its grants consumed.

Two rows, since recovery lists all sidecars and needs the use only of those that
have ended: one small row that says that the sidecar exists, one with the use.
"""

from __future__ import annotations

import json

from attrs import frozen

from endivegw.budgets.ledger import GrantUse
from endivegw.budgets.rows import budget_key_of
from endivegw.services import Check, Put, Row, RowKey, RowValue, Transaction, Write
from endivegw.types import GrantId, InstanceId, TargetName

__all__ = [
    "LEDGER_PARTITION",
    "LedgerRow",
    "checkpoint_transaction",
    "decode_uses",
    "ended_fields",
    "ledger_row_key",
    "uses_row_key",
]

LEDGER_PARTITION = "ledger"
USES_PARTITION = "ledger-uses"


def ledger_row_key(sidecar: InstanceId) -> RowKey:
    """Return the key of the row that says that a sidecar exists."""
    return RowKey(LEDGER_PARTITION, sidecar)


def uses_row_key(sidecar: InstanceId) -> RowKey:
    """Return the key of the row with a sidecar's last checkpoint."""
    return RowKey(USES_PARTITION, sidecar)


@frozen
class LedgerRow:
    """Hold one sidecar's row as it was read.

    :param ended_at_s: when it ended, None while it may run work.
    :param exact: whether its last checkpoint is final: it stopped as planned.
    """

    sidecar: InstanceId
    version: int
    target: TargetName
    ended_at_s: int | None
    exact: bool

    @classmethod
    def of(cls, row: Row) -> LedgerRow:
        """Return the typed row."""
        return cls(
            sidecar=InstanceId(row.key.sort),
            version=row.version,
            target=TargetName(str(row.fields["target"])),
            ended_at_s=int(row.fields["ended_at_s"]) or None,
            exact=int(row.fields["exact"]) == 1,
        )


def ended_fields(
    target: TargetName, ended_at_s: int, exact: bool
) -> dict[str, RowValue]:
    """Return the fields of the row of a sidecar; 0 while it has not ended."""
    return {"target": target, "ended_at_s": ended_at_s, "exact": int(exact)}


def checkpoint_transaction(
    sidecar: InstanceId,
    target: TargetName,
    version: int,
    uses_version: int,
    uses: tuple[GrantUse, ...],
    ended_at_s: int,
) -> Transaction:
    """Return the write of a checkpoint.

    It fails once recovery has taken the sidecar for gone, which tells a sidecar
    that is not gone to admit nothing further. A copy that comes late fails as
    well: it would put lower ceilings back than the sidecar uses.

    :param version: of the sidecar's row as last written by it, 0 before.
    :param uses_version: the same for the row of its uses.
    :param ended_at_s: 0, or when the sidecar stopped as planned.
    """
    key = ledger_row_key(sidecar)
    first: Write = Check(key, version)
    if version == 0 or ended_at_s:
        fields = ended_fields(target, ended_at_s, exact=ended_at_s > 0)
        first = Put(key, fields, version)
    return Transaction(
        (first, Put(uses_row_key(sidecar), {"uses": _encode(uses)}, uses_version))
    )


def _encode(uses: tuple[GrantUse, ...]) -> str:
    # About 60 bytes a grant: 6,000 grants fit the 400 KB that the common table
    # services allow for a row, and a sidecar meets a few hundred between closings.
    values = [
        [
            use.grant_id,
            str(use.budget),
            use.consumed_tokens,
            use.reserved_tokens,
            use.ceiling_tokens,
        ]
        for use in uses
    ]
    return json.dumps(values, separators=(",", ":"))


def decode_uses(row: Row | None) -> tuple[GrantUse, ...]:
    """Return the grants of a checkpoint."""
    if row is None:
        return ()
    return tuple(
        GrantUse(GrantId(name), budget_key_of(budget), consumed, reserved, ceiling)
        for name, budget, consumed, reserved, ceiling in json.loads(
            str(row.fields["uses"])
        )
    )
