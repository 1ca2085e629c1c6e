"""Share the weight store's rate among all sidecars of the fleet.

Pure. The store's rate is cut into a fixed number of slots, one row each, and a
load holds one slot while it runs. Without that, a version change that reaches
many engines at once would share the rate among all of them, and each would be
out of service for as long as the whole roll takes.
"""

from __future__ import annotations

import zlib

from attrs import define, field, frozen

from endivegw.services import Put, Row, RowKey, RowValue, Transaction
from endivegw.types import InstanceId, TargetName

__all__ = [
    "SLOT_PARTITION",
    "SlotClaim",
    "SlotWatch",
    "WeightShare",
    "release_slot",
    "take_slot",
]

SLOT_PARTITION = "weight-slots"

#: A load is given twice the time that its bytes should take: engines start up
#: while they load, and a slot taken away too early halves the others' rate.
_PATIENCE = 2.0

_LEAST_HOLD_S = 30.0


@frozen
class WeightShare:
    """Say how the weight store's rate is cut.

    :param bytes_per_s: what the store gives to the whole fleet.
    :param slots: how many loads run at once.
    """

    bytes_per_s: float
    slots: int

    def hold_s(self, size_bytes: int) -> float:
        """Return for how long a load of this size may keep its slot."""
        slot_rate = self.bytes_per_s / self.slots
        return max(_LEAST_HOLD_S, _PATIENCE * size_bytes / slot_rate)


@frozen
class SlotClaim:
    """Hold a slot that was asked for, and the write that takes it."""

    key: RowKey
    row_version: int
    transaction: Transaction


@define
class SlotWatch:
    """Remember since when each slot has been held by the same claim.

    A sidecar dies with its slot. Its row would block the slot for good, so a
    claim that was seen unchanged for longer than it asked for counts as free.
    """

    _seen: dict[str, tuple[int, float]] = field(factory=dict)

    def is_free(self, row: Row, now_s: float) -> bool:
        """Return whether a slot may be taken."""
        if not row.fields["holder"]:
            return True
        version, since_s = self._seen.get(row.key.sort, (0, now_s))
        if version != row.version:
            version, since_s = row.version, now_s
        self._seen[row.key.sort] = (version, since_s)
        return now_s - since_s > int(row.fields["hold_ms"]) / 1000


def take_slot(
    rows: tuple[Row, ...],
    share: WeightShare,
    target: TargetName,
    holder: InstanceId,
    size_bytes: int,
    watch: SlotWatch,
    now_s: float,
) -> SlotClaim | None:
    """Return the write that takes a free slot, None where all are taken.

    The search starts at a place that depends on the target, so that sidecars
    that start together do not all try for the same row.
    """
    known = {row.key.sort: row for row in rows}
    hold_ms = round(share.hold_s(size_bytes) * 1000)
    start = zlib.crc32(target.encode())
    for offset in range(share.slots):
        key = RowKey(SLOT_PARTITION, f"{(start + offset) % share.slots:04d}")
        row = known.get(key.sort)
        if row is not None and not watch.is_free(row, now_s):
            continue
        version = row.version if row else 0
        fields: dict[str, RowValue] = {
            "holder": holder,
            "target": target,
            "hold_ms": hold_ms,
        }
        transaction = Transaction((Put(key, fields, version),))
        return SlotClaim(key, version + 1, transaction)
    return None


def release_slot(claim: SlotClaim) -> Transaction:
    """Return the write that gives a slot back, if it is still this claim's."""
    fields: dict[str, RowValue] = {"holder": "", "target": "", "hold_ms": 0}
    return Transaction((Put(claim.key, fields, claim.row_version),))
