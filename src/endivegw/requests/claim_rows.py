"""Rows and transactions of the slot map and of claims."""

from __future__ import annotations

import json
from typing import Iterable

from endivegw.requests.claims import Claim, Commit
from endivegw.requests.slots import Beat, Slot, SlotMap, Take
from endivegw.services import Check, Put, Row, RowKey, RowValue, Transaction
from endivegw.types import AttemptId, InstanceId, TargetName

__all__ = [
    "SLOT_PARTITION",
    "beat_transaction",
    "claims_of_rows",
    "commit_transaction",
    "next_sequence_of_rows",
    "release_transaction",
    "ring_partition",
    "slot_key",
    "slot_map_of_rows",
    "take_transaction",
]

#: The map's partition; beats lie beside the slots, so that one listing of some
#: 64 rows shows both.
SLOT_PARTITION = "claim-slots"

_SLOT = "slot/"
_BEAT = "beat/"


def slot_key(slot: int) -> RowKey:
    """Return the key of a slot's row."""
    return RowKey(SLOT_PARTITION, f"{_SLOT}{slot:04d}")


def _beat_key(slot: int) -> RowKey:
    return RowKey(SLOT_PARTITION, f"{_BEAT}{slot:04d}")


def ring_partition(slot: int) -> str:
    """Return the partition of a slot's claims."""
    return f"claims/{slot:04d}"


def slot_map_of_rows(rows: Iterable[Row], read_started_s: float) -> SlotMap:
    """Return the map from a listing of its partition."""
    slots: dict[int, Slot] = {}
    beats: dict[int, Beat] = {}
    for row in rows:
        kind, number = row.key.sort[: len(_SLOT)], int(row.key.sort[len(_SLOT) :])
        if kind == _BEAT:
            beats[number] = _beat_of_row(row)
        elif kind == _SLOT:
            slots[number] = _slot_of_row(number, row)
    return SlotMap(slots, beats, read_started_s)


def take_transaction(
    take: Take, target: TargetName, instance_id: InstanceId, vm: str, address: str
) -> Transaction:
    """Return the write with which a sidecar becomes the owner of a slot.

    Its own instance id lets it see after a lost answer whether it did.
    """
    fields: dict[str, RowValue] = {
        "target": target,
        "instance": instance_id,
        "vm": vm,
        "address": address,
        "epoch": take.epoch,
        "tainted": int(take.tainted),
    }
    return Transaction((Put(slot_key(take.slot), fields, take.expected_version),))


def release_transaction(slot: Slot, *, tainted: bool) -> Transaction:
    """Return the write with which an owner lets go of a flushed slot."""
    fields: dict[str, RowValue] = {
        "target": "",
        "instance": slot.instance_id,
        "vm": "",
        "address": "",
        "epoch": slot.epoch,
        "tainted": int(tainted),
    }
    return Transaction((Put(slot_key(slot.number), fields, slot.version),))


def beat_transaction(slot: Slot, beat: Beat) -> Transaction:
    """Return an owner's sign of life; refused where the slot has another owner."""
    fenced = Check(slot_key(slot.number), slot.version)
    fields: dict[str, RowValue] = {
        "count": beat.count,
        "confirmed": beat.confirmed,
        "confirmed_wall_ms": beat.confirmed_wall_ms,
    }
    return Transaction((fenced, Put(_beat_key(slot.number), fields, None)))


def commit_transaction(slot: Slot, commit: Commit, ring_rows: int) -> Transaction:
    """Return the write of claims; refused where the slot has another owner.

    Without the check a paused owner that wakes up would write claims which the
    new owner, having read the rows already, does not know.
    """
    fenced = Check(slot_key(slot.number), slot.version)
    sort = f"{commit.sequence % ring_rows:06d}"
    fields: dict[str, RowValue] = {
        "sequence": commit.sequence,
        "claims": json.dumps([_encode(claim) for claim in commit.claims]),
    }
    key = RowKey(ring_partition(slot.number), sort)
    return Transaction((fenced, Put(key, fields, None)))


def claims_of_rows(rows: Iterable[Row]) -> tuple[Claim, ...]:
    """Return the claims of a ring, oldest first."""
    ordered = sorted(rows, key=lambda row: int(row.fields["sequence"]))
    return tuple(
        _decode(parts)
        for row in ordered
        for parts in json.loads(str(row.fields["claims"]))
    )


def next_sequence_of_rows(rows: Iterable[Row]) -> int:
    """Return the sequence of the first row that a new owner writes."""
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


def _beat_of_row(row: Row) -> Beat:
    return Beat(
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


def _decode(parts: list[str]) -> Claim:
    key, attempt_id, target, incarnation, digest = parts
    return Claim(
        bytes.fromhex(key),
        AttemptId(attempt_id),
        TargetName(target),
        incarnation,
        bytes.fromhex(digest),
    )
