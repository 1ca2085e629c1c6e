"""Issue and list the orders of a target."""

from __future__ import annotations

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import TablePort
from endivegw.targets.order_rows import (
    issue_transaction,
    order_from_row,
    order_key,
    order_queue_from_row,
    order_queue_key,
)
from endivegw.targets.orders import Order
from endivegw.types import TargetName

__all__ = ["issue_order", "list_orders"]

#: Maximum number of tries to append an order. Concurrent operators of one target
#: conflict and retry; few are active at the same time, and a script that issues orders
#: in a loop must be stopped.
_MAX_TRIES = 8


async def issue_order(
    table: TablePort,
    target: TargetName,
    *,
    kind: str,
    name: str,
    version: str,
    operation: str,
    timeout_s: float,
) -> Result[Order]:
    """Append an order and return it with its sequence number.

    :param operation: id of the command, chosen before the first try. After a lost
        answer it is looked up among the newest orders, so that a repeated command
        issues only one order.
    """
    for _ in range(_MAX_TRIES):
        read = await table.read((order_queue_key(target),), timeout_s=timeout_s)
        if not isinstance(read, Done):
            return read
        queue = order_queue_from_row(read.value[0])
        found = await _find_order(
            table, target, queue.last_sequence, operation, timeout_s
        )
        if not isinstance(found, Refused):
            return found
        order = Order(queue.last_sequence + 1, kind, name, version, operation)
        result = await table.transact(
            issue_transaction(target, queue, order), timeout_s=timeout_s
        )
        if isinstance(result, Done):
            return Done(order)
        if isinstance(result, Refused) and result.reason is not Reason.CONFLICT:
            return result
    return Unknown(Reason.CONFLICT, "the target's order queue kept changing")


async def list_orders(
    table: TablePort, target: TargetName, *, timeout_s: float
) -> Result[tuple[Order, ...]]:
    """Return the orders of a target, oldest first."""
    orders: list[Order] = []
    after: str | None = None
    while True:
        page = await table.scan(
            order_queue_key(target).partition,
            prefix="order/",
            after=after,
            timeout_s=timeout_s,
        )
        if not isinstance(page, Done):
            return page
        orders.extend(order_from_row(row) for row in page.value.rows)
        after = page.value.next_sort
        if after is None:
            return Done(tuple(orders))


async def _find_order(
    table: TablePort,
    target: TargetName,
    last_sequence: int,
    operation: str,
    timeout_s: float,
) -> Result[Order]:
    """Return the order with an operation id among the newest orders."""
    newest = range(max(1, last_sequence - _MAX_TRIES), last_sequence + 1)
    keys = tuple(order_key(target, sequence) for sequence in newest)
    if not keys:
        return Refused(Reason.NOT_FOUND)
    read = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(read, Done):
        # It is unknown whether the order was written, so the caller must not write
        # it again.
        return Unknown(Reason.UNREACHABLE, "the newest orders could not be read")
    for row in read.value:
        if row is not None and row.fields["operation"] == operation:
            return Done(order_from_row(row))
    return Refused(Reason.NOT_FOUND)
