"""Table rows and transactions of the slot map and the claims."""

from __future__ import annotations

import json
from typing import Iterable

from endivegw.requests.claims import Claim, Commit
from endivegw.requests.slots import Slot, SlotAcquisition, SlotHeartbeat, SlotMap
from endivegw.services import Check, Put, Row, RowKey, RowValue, Transaction
from endivegw.types import AttemptId, InstanceId, TargetName

__all__ = [
    "SLOT_PARTITION",
    "acquire_transaction",
    "claims_of_rows",
    "commit_transaction",
    "heartbeat_transaction",
    "next_sequence_of_rows",
    "release_transaction",
    "ring_partition",
    "slot_key",
    "slot_map_of_rows",
]

#: Partition of the slot map. Heartbeats are stored beside the slots, so that one
#: listing of about 64 rows returns both.
SLOT_PARTITION = "claim-slots"

_SLOT = "slot/"
_HEARTBEAT = "beat/"


def slot_key(slot: int) -> RowKey:
    """Return the key of a slot's row."""
    return RowKey(SLOT_PARTITION, f"{_SLOT}{slot:04d}")


def _heartbeat_key(slot: int) -> RowKey:
    return RowKey(SLOT_PARTITION, f"{_HEARTBEAT}{slot:04d}")


def ring_partition(slot: int) -> str:
    """Return the partition of a slot's claims, which form a ring of rows."""
    return f"claims/{slot:04d}"


def slot_map_of_rows(rows: Iterable[Row], read_started_s: float) -> SlotMap:
    """Return the slot map from a listing of its partition."""
    slots: dict[int, Slot] = {}
    heartbeats: dict[int, SlotHeartbeat] = {}
    for row in rows:
        kind, number = row.key.sort[: len(_SLOT)], int(row.key.sort[len(_SLOT) :])
        if kind == _HEARTBEAT:
            heartbeats[number] = _heartbeat_of_row(row)
        elif kind == _SLOT:
            slots[number] = _slot_of_row(number, row)
    return SlotMap(slots, heartbeats, read_started_s)


def acquire_transaction(
    acquisition: SlotAcquisition,
    target: TargetName,
    instance_id: InstanceId,
    vm: str,
    address: str,
) -> Transaction:
    """Return the transaction with which a sidecar becomes the owner of a slot.

    The row holds the sidecar's instance id, so that after a lost answer the sidecar
    can check whether the write succeeded.
    """
    fields: dict[str, RowValue] = {
        "target": target,
        "instance": instance_id,
        "vm": vm,
        "address": address,
        "epoch": acquisition.epoch,
        "tainted": int(acquisition.possibly_incomplete),
    }
    return Transaction(
        (Put(slot_key(acquisition.slot), fields, acquisition.expected_version),)
    )


def release_transaction(slot: Slot, *, possibly_incomplete: bool) -> Transaction:
    """Return the transaction with which an owner releases a flushed slot."""
    fields: dict[str, RowValue] = {
        "target": "",
        "instance": slot.instance_id,
        "vm": "",
        "address": "",
        "epoch": slot.epoch,
        "tainted": int(possibly_incomplete),
    }
    return Transaction((Put(slot_key(slot.number), fields, slot.version),))


def heartbeat_transaction(slot: Slot, heartbeat: SlotHeartbeat) -> Transaction:
    """Return an owner's heartbeat write; refused if the slot has another owner."""
    fence = Check(slot_key(slot.number), slot.version)
    fields: dict[str, RowValue] = {
        "count": heartbeat.count,
        "confirmed": heartbeat.confirmed,
        "confirmed_wall_ms": heartbeat.confirmed_wall_ms,
    }
    return Transaction((fence, Put(_heartbeat_key(slot.number), fields, None)))


def commit_transaction(slot: Slot, commit: Commit, ring_rows: int) -> Transaction:
    """Return the write of a commit; refused if the slot has another owner.

    Without the check, a paused owner that resumes would write claims unknown to the
    new owner, which has already read the rows.
    """
    fence = Check(slot_key(slot.number), slot.version)
    sort = f"{commit.sequence % ring_rows:06d}"
    fields: dict[str, RowValue] = {
        "sequence": commit.sequence,
        "claims": json.dumps([_encode(claim) for claim in commit.claims]),
    }
    key = RowKey(ring_partition(slot.number), sort)
    return Transaction((fence, Put(key, fields, None)))


def claims_of_rows(rows: Iterable[Row]) -> tuple[Claim, ...]:
    """Return the claims of a ring, oldest first."""
    ordered = sorted(rows, key=lambda row: int(row.fields["sequence"]))
    return tuple(
        _decode(fields)
        for row in ordered
        for fields in json.loads(str(row.fields["claims"]))
    )


def next_sequence_of_rows(rows: Iterable[Row]) -> int:
    """Return the sequence number of the first row that a new owner writes."""
    return max((int(row.fields["sequence"]) for row in rows), default=-1) + 1


def _slot_of_row(number: int, row: Row) -> Slot:
    return Slot(
        number,
        TargetName(str(row.fields["target"])),
        InstanceId(str(row.fields["instance"])),
        str(row.fields["vm"]),
        str(row.fields["address"]),
        int(row.fields["epoch"]),
        bool(row.fields["tainted"]),
        row.version,
    )


def _heartbeat_of_row(row: Row) -> SlotHeartbeat:
    return SlotHeartbeat(
        int(row.fields["count"]),
        int(row.fields["confirmed"]),
        int(row.fields["confirmed_wall_ms"]),
    )


def _encode(claim: Claim) -> list[str]:
    return [
        claim.key.hex(),
        claim.attempt_id,
        claim.target,
        claim.incarnation,
        claim.body_digest.hex(),
    ]


def _decode(fields: list[str]) -> Claim:
    key, attempt_id, target, incarnation, digest = fields
    return Claim(
        bytes.fromhex(key),
        AttemptId(attempt_id),
        TargetName(target),
        incarnation,
        bytes.fromhex(digest),
    )
