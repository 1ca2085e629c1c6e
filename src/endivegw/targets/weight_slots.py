"""Share the weight store's bandwidth among all sidecars of the fleet.

This module does no I/O. The bandwidth is divided into a fixed number of slots, one row
each, and a load holds one slot while it runs. Otherwise a version change that reaches
many engines at once would divide the bandwidth among all of them, and each engine would
be out of service for the duration of the entire roll.
"""

from __future__ import annotations

import zlib

from attrs import define, field, frozen

from endivegw.services import Put, Row, RowKey, RowValue, Transaction
from endivegw.types import InstanceId, TargetName

__all__ = [
    "SLOT_PARTITION",
    "SlotClaim",
    "SlotTracker",
    "WeightShare",
    "release_slot",
    "acquire_slot",
]

SLOT_PARTITION = "weight-slots"

#: Factor between the transfer time of a load and the hold time of its slot. Engines
#: start up while they load, and a slot that is reassigned too early halves the
#: bandwidth of the other loads.
_HOLD_FACTOR = 2.0

_MIN_HOLD_S = 30.0


@frozen
class WeightShare:
    """Hold how the weight store's bandwidth is divided.

    :param bytes_per_s: bandwidth of the store for the entire fleet.
    :param slots: maximum number of concurrent loads.
    """

    bytes_per_s: float
    slots: int

    def hold_s(self, size_bytes: int) -> float:
        """Return the seconds for which a load of this size may hold its slot."""
        slot_rate = self.bytes_per_s / self.slots
        return max(_MIN_HOLD_S, _HOLD_FACTOR * size_bytes / slot_rate)


@frozen
class SlotClaim:
    """Hold a claim to a slot, and the transaction that acquires it.

    :param row_version: version of the slot's row after that transaction.
    """

    key: RowKey
    row_version: int
    transaction: Transaction


@define
class SlotTracker:
    """Track how long each slot has been held by the same claim.

    A sidecar that terminates while it holds a slot would block the slot forever.
    A slot is therefore free once its claim has been unchanged for longer than the
    claimed hold time.
    """

    _seen: dict[str, tuple[int, float]] = field(factory=dict)

    def is_free(self, row: Row, now_s: float) -> bool:
        """Return whether a slot may be acquired."""
        if not row.fields["holder"]:
            return True
        version, since_s = self._seen.get(row.key.sort, (0, now_s))
        if version != row.version:
            version, since_s = row.version, now_s
        self._seen[row.key.sort] = (version, since_s)
        return now_s - since_s > int(row.fields["hold_ms"]) / 1000


def acquire_slot(
    rows: tuple[Row, ...],
    share: WeightShare,
    target: TargetName,
    holder: InstanceId,
    size_bytes: int,
    tracker: SlotTracker,
    now_s: float,
) -> SlotClaim | None:
    """Return the claim to a free slot, None if all slots are held.

    The search starts at an offset that depends on the target, so that sidecars that
    start at the same time do not compete for the same row.
    """
    known = {row.key.sort: row for row in rows}
    hold_ms = round(share.hold_s(size_bytes) * 1000)
    start = zlib.crc32(target.encode())
    for offset in range(share.slots):
        key = RowKey(SLOT_PARTITION, f"{(start + offset) % share.slots:04d}")
        row = known.get(key.sort)
        if row is not None and not tracker.is_free(row, now_s):
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
    """Return the transaction that releases a slot if this claim still holds it."""
    fields: dict[str, RowValue] = {"holder": "", "target": "", "hold_ms": 0}
    return Transaction((Put(claim.key, fields, claim.row_version),))
