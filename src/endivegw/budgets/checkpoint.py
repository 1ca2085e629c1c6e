"""Rows that register a sidecar and store the use of its grants.

A sidecar has two rows, because recovery lists all sidecars but needs the use only of
those that have terminated: a small row registers the sidecar and another one holds the
use.
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
    """Return the key of the row that registers a sidecar."""
    return RowKey(LEDGER_PARTITION, sidecar)


def uses_row_key(sidecar: InstanceId) -> RowKey:
    """Return the key of the row with the last checkpoint of a sidecar."""
    return RowKey(USES_PARTITION, sidecar)


@frozen
class LedgerRow:
    """Represent the registration row of a sidecar as read from the table.

    :param ended_at_s: when the sidecar terminated, or None while it may run work.
    :param exact: whether its last checkpoint is final because it shut down as planned.
    """

    sidecar: InstanceId
    version: int
    target: TargetName
    ended_at_s: int | None
    exact: bool

    @classmethod
    def of(cls, row: Row) -> LedgerRow:
        """Return the typed form of a row."""
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
    """Return the fields of a sidecar's registration row.

    :param ended_at_s: 0 while the sidecar has not terminated.
    """
    return {"target": target, "ended_at_s": ended_at_s, "exact": int(exact)}


def checkpoint_transaction(
    sidecar: InstanceId,
    target: TargetName,
    version: int,
    uses_version: int,
    uses: tuple[GrantUse, ...],
    ended_at_s: int,
) -> Transaction:
    """Return the transaction that writes a checkpoint.

    It fails once recovery has marked the sidecar as terminated, upon which a sidecar
    that still runs stops admitting work. A delayed duplicate fails as well, since it
    would restore ceilings lower than those in use.

    :param version: version of the registration row as this sidecar last wrote it, or 0
        before the first write.
    :param uses_version: the same for the row of its uses.
    :param ended_at_s: 0, or the time of a planned shutdown.
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
    # At about 60 bytes a grant, 6,000 grants fit into the 400 KB row size that common
    # table services allow. A sidecar holds a few hundred open grants.
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
    """Return the uses of a checkpoint."""
    if row is None:
        return ()
    return tuple(
        GrantUse(GrantId(name), budget_key_of(budget), consumed, reserved, ceiling)
        for name, budget, consumed, reserved, ceiling in json.loads(
            str(row.fields["uses"])
        )
    )
