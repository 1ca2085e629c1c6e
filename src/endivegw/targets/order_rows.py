"""Table rows of a target's order queue and of its orders."""

from __future__ import annotations

import json

from endivegw.services import Put, Row, RowKey, RowValue, Transaction
from endivegw.targets.orders import Claim, DesiredState, Order, OrderQueue, OrderState
from endivegw.types import InstanceId, TargetName

__all__ = [
    "claim_transaction",
    "order_queue_from_row",
    "order_queue_key",
    "issue_transaction",
    "order_from_row",
    "order_key",
    "settle_transaction",
]


def order_queue_key(target: TargetName) -> RowKey:
    """Return the key of the row with a target's order queue."""
    return RowKey(f"orders/{target}", "desk")


def order_key(target: TargetName, sequence: int) -> RowKey:
    """Return the key of the row with one order."""
    return RowKey(f"orders/{target}", f"order/{sequence:010d}")


def order_queue_from_row(row: Row | None) -> OrderQueue:
    """Decode an order queue; it is empty if no order was ever issued."""
    if row is None:
        return OrderQueue()
    fields = row.fields
    claim = None
    if fields["holder"]:
        claim = Claim(
            InstanceId(str(fields["holder"])),
            int(fields["last_fence"]),
            int(fields["claimed_sequence"]),
            int(fields["window_ms"]) / 1000,
        )
    return OrderQueue(
        row.version,
        int(fields["last_sequence"]),
        int(fields["done_sequence"]),
        int(fields["last_fence"]),
        claim,
        _decode_desired(str(fields["desired"])),
    )


def order_from_row(row: Row) -> Order:
    """Decode one order."""
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


def issue_transaction(
    target: TargetName, queue: OrderQueue, order: Order
) -> Transaction:
    """Return the transaction that appends an order.

    :param order: its sequence number follows the last one of the queue.
    """
    fields = _queue_fields(queue)
    fields["last_sequence"] = order.sequence
    return Transaction(
        (
            Put(order_queue_key(target), fields, queue.row_version),
            Put(order_key(target, order.sequence), _order_fields(order), 0),
        )
    )


def claim_transaction(
    target: TargetName, before: OrderQueue, after: OrderQueue
) -> Transaction:
    """Return the transaction of a claim; it fails if the queue has changed."""
    return Transaction(
        (Put(order_queue_key(target), _queue_fields(after), before.row_version),)
    )


def settle_transaction(
    target: TargetName, before: OrderQueue, after: OrderQueue, order: Order | None
) -> Transaction:
    """Return the transaction that ends a claim and updates its order.

    :param order: None after a repair.
    """
    queue = Put(order_queue_key(target), _queue_fields(after), before.row_version)
    if order is None:
        return Transaction((queue,))
    key = order_key(target, order.sequence)
    return Transaction((queue, Put(key, _order_fields(order), None)))


def _queue_fields(queue: OrderQueue) -> dict[str, RowValue]:
    claim = queue.claim
    return {
        "last_sequence": queue.last_sequence,
        "done_sequence": queue.done_sequence,
        "last_fence": queue.last_fence,
        "holder": claim.holder if claim else "",
        "claimed_sequence": claim.sequence if claim else 0,
        "window_ms": round(claim.window_s * 1000) if claim else 0,
        "desired": _encode_desired(queue.desired),
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


def _encode_desired(desired: DesiredState) -> str:
    value = {
        "loaded": sorted(desired.loaded),
        "unloaded": list(desired.unloaded),
        "role": desired.role,
    }
    return json.dumps(value, separators=(",", ":"))


def _decode_desired(text: str) -> DesiredState:
    value = json.loads(text)
    return DesiredState(
        frozenset(value["loaded"]), tuple(value["unloaded"]), value["role"]
    )
