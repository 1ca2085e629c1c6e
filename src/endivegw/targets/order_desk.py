"""Give orders: write them behind the others of their target."""

from __future__ import annotations

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import TablePort
from endivegw.targets.order_rows import (
    desk_from_row,
    desk_key,
    issue_transaction,
    order_from_row,
    order_key,
)
from endivegw.targets.orders import Order
from endivegw.types import TargetName

__all__ = ["issue_order", "list_orders"]

#: Operators that order the same target at the same moment take turns; more
#: than a few at once do not happen, and a script that loops must be stopped.
_MOST_TRIES = 8


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
    """Write an order; done with its place in the sequence.

    :param operation: chosen before the first try. A lost answer is resolved
        by looking for it among the newest orders, so that a repeated command
        orders once.
    """
    for _ in range(_MOST_TRIES):
        read = await table.read((desk_key(target),), timeout_s=timeout_s)
        if not isinstance(read, Done):
            return read
        desk = desk_from_row(read.value[0])
        found = await _find(table, target, desk.last_sequence, operation, timeout_s)
        if not isinstance(found, Refused):
            return found
        order = Order(desk.last_sequence + 1, kind, name, version, operation)
        result = await table.transact(
            issue_transaction(target, desk, order), timeout_s=timeout_s
        )
        if isinstance(result, Done):
            return Done(order)
        if isinstance(result, Refused) and result.reason is not Reason.CONFLICT:
            return result
    return Unknown(Reason.CONFLICT, "the target's orders kept changing")


async def list_orders(
    table: TablePort, target: TargetName, *, timeout_s: float
) -> Result[tuple[Order, ...]]:
    """Return the orders of a target, the oldest first."""
    orders: list[Order] = []
    after: str | None = None
    while True:
        page = await table.scan(
            desk_key(target).partition,
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


async def _find(
    table: TablePort,
    target: TargetName,
    last_sequence: int,
    operation: str,
    timeout_s: float,
) -> Result[Order]:
    """Return the order of an operation among the newest ones."""
    newest = range(max(1, last_sequence - _MOST_TRIES), last_sequence + 1)
    keys = tuple(order_key(target, sequence) for sequence in newest)
    if not keys:
        return Refused(Reason.NOT_FOUND)
    read = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(read, Done):
        # Not known whether it was written: the caller must not write again.
        return Unknown(Reason.UNREACHABLE, "the orders could not be read back")
    for row in read.value:
        if row is not None and row.fields["operation"] == operation:
            return Done(order_from_row(row))
    return Refused(Reason.NOT_FOUND)
