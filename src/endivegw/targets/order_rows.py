"""Rows of the table that hold a target's desk and its orders."""

from __future__ import annotations

import json

from endivegw.services import Put, Row, RowKey, RowValue, Transaction
from endivegw.targets.orders import Claim, DesiredState, Desk, Order, OrderState
from endivegw.types import InstanceId, TargetName

__all__ = [
    "claim_transaction",
    "desk_from_row",
    "desk_key",
    "issue_transaction",
    "order_from_row",
    "order_key",
    "settle_transaction",
]


def desk_key(target: TargetName) -> RowKey:
    """Return where a target's desk is kept."""
    return RowKey(f"orders/{target}", "desk")


def order_key(target: TargetName, sequence: int) -> RowKey:
    """Return where one order is kept."""
    return RowKey(f"orders/{target}", f"order/{sequence:010d}")


def desk_from_row(row: Row | None) -> Desk:
    """Return the desk, an empty one where no order was ever given."""
    if row is None:
        return Desk()
    fields = row.fields
    claim = None
    if fields["holder"]:
        claim = Claim(
            InstanceId(str(fields["holder"])),
            int(fields["last_fence"]),
            int(fields["claimed_sequence"]),
            int(fields["window_ms"]) / 1000,
        )
    return Desk(
        row.version,
        int(fields["last_sequence"]),
        int(fields["done_sequence"]),
        int(fields["last_fence"]),
        claim,
        _desired_from(str(fields["desired"])),
    )


def order_from_row(row: Row) -> Order:
    """Return one order."""
    fields = row.fields
    return Order(
        int(row.key.sort.removeprefix("order/")),
        str(fields["kind"]),
        str(fields["name"]),
        str(fields["version"]),
        str(fields["operation"]),
        OrderState(str(fields["state"])),
        int(fields["attempts"]),
        str(fields["detail"]),
    )


def issue_transaction(target: TargetName, desk: Desk, order: Order) -> Transaction:
    """Return the write that adds an order behind the others.

    :param order: its sequence is the desk's last one and one more.
    """
    fields = _desk_fields(desk)
    fields["last_sequence"] = order.sequence
    return Transaction(
        (
            Put(desk_key(target), fields, desk.row_version),
            Put(order_key(target, order.sequence), _order_fields(order), 0),
        )
    )


def claim_transaction(target: TargetName, before: Desk, after: Desk) -> Transaction:
    """Return the write that takes a claim; it fails where the desk has moved."""
    return Transaction(
        (Put(desk_key(target), _desk_fields(after), before.row_version),)
    )


def settle_transaction(
    target: TargetName, before: Desk, after: Desk, order: Order | None
) -> Transaction:
    """Return the write that ends a claim, with the order it was for.

    :param order: None after a repair.
    """
    desk = Put(desk_key(target), _desk_fields(after), before.row_version)
    if order is None:
        return Transaction((desk,))
    key = order_key(target, order.sequence)
    return Transaction((desk, Put(key, _order_fields(order), None)))


def _desk_fields(desk: Desk) -> dict[str, RowValue]:
    claim = desk.claim
    return {
        "last_sequence": desk.last_sequence,
        "done_sequence": desk.done_sequence,
        "last_fence": desk.last_fence,
        "holder": claim.holder if claim else "",
        "claimed_sequence": claim.sequence if claim else 0,
        "window_ms": round(claim.window_s * 1000) if claim else 0,
        "desired": _desired_text(desk.desired),
    }


def _order_fields(order: Order) -> dict[str, RowValue]:
    return {
        "kind": order.kind,
        "name": order.name,
        "version": order.version,
        "operation": order.operation,
        "state": order.state.value,
        "attempts": order.attempts,
        "detail": order.detail,
    }


def _desired_text(desired: DesiredState) -> str:
    value = {
        "loaded": sorted(desired.loaded),
        "unloaded": list(desired.unloaded),
        "role": desired.role,
    }
    return json.dumps(value, separators=(",", ":"))


def _desired_from(text: str) -> DesiredState:
    value = json.loads(text)
    return DesiredState(
        frozenset(value["loaded"]), tuple(value["unloaded"]), value["role"]
    )
