"""Orders to engines: desired state, right to send, and confirmation.

This module does no I/O; the current time is an argument. The orders of one target form
a sequence in the table and are executed one at a time. A sidecar must claim the
target's order queue before it sends, and each claim gets its own fencing number.
"""

from __future__ import annotations

import enum

from attrs import define, evolve, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.targets.ports import EngineOrder, OrderKind
from endivegw.types import InstanceId

__all__ = [
    "Claim",
    "ClaimTracker",
    "OrderQueue",
    "DesiredState",
    "FenceLedger",
    "Order",
    "OrderState",
    "Permit",
    "REPAIR_SEQUENCE",
    "repair_orders",
    "took_effect",
    "state_entry",
]

#: Sequence number of claims that repair the engine's state and execute no new order.
REPAIR_SEQUENCE = 0

#: Maximum number of unloaded entries that are remembered. A late order of a paused
#: sidecar can only bring back an entry that was unloaded during the pause.
_MAX_UNLOADED_ENTRIES = 32

#: Maximum share by which a claim holder's clock may run slower than the local clock.
_MAX_CLOCK_DRIFT = 0.01

_ROLE_PREFIX = "role:"
_LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
_UNLOADS = (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)


class OrderState(enum.Enum):
    """State of an order."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"


@frozen
class Order:
    """Hold one order as issued by an operator.

    :param sequence: position among the target's orders, from 1.
    :param operation: the operator's id of the command, so that a repeated command
        issues only one order.
    :param attempts: number of times that the order was sent.
    """

    sequence: int
    kind: str
    name: str
    version: str
    operation: str
    state: OrderState = OrderState.PENDING
    attempts: int = 0
    detail: str = ""

    @property
    def loads(self) -> bool:
        """Return whether the order reads from the weight store."""
        return self.kind in _LOADS

    def to_engine(self, fence: int) -> EngineOrder:
        """Return the order as it is sent to the engine with a fencing number."""
        return EngineOrder(self.kind, self.name, self.version, fence)


@frozen
class DesiredState:
    """Hold the engine state that results from all executed orders.

    :param unloaded: entries that must not be loaded, the newest last.
    :param role: empty if no order has set a role.
    """

    loaded: frozenset[str] = frozenset()
    unloaded: tuple[str, ...] = ()
    role: str = ""

    def after(self, order: Order) -> DesiredState:
        """Return the state after one more executed order."""
        item = state_entry(order)
        if order.kind == OrderKind.CHANGE_ROLE:
            return evolve(self, role=order.name)
        others = tuple(other for other in self.unloaded if other != item)
        if order.kind in _LOADS:
            return evolve(self, loaded=self.loaded | {item}, unloaded=others)
        latest = (*others, item)[-_MAX_UNLOADED_ENTRIES:]
        return evolve(self, loaded=self.loaded - {item}, unloaded=latest)


@frozen
class Claim:
    """Hold the right to send one order, as stored in the table.

    :param window_s: seconds from the claim during which the holder may start to send.
    """

    holder: InstanceId
    fence: int
    sequence: int
    window_s: float


@frozen
class OrderQueue:
    """Hold the row that serializes all orders of one target.

    :param row_version: version of the row that was read, 0 if there is none.
    :param last_sequence: sequence number of the newest order.
    :param done_sequence: all orders up to this one were executed or have failed.
    :param last_fence: highest fencing number that was ever assigned.
    :param claim: None if no sidecar may send.
    :param desired: engine state that results from the executed orders.
    """

    row_version: int = 0
    last_sequence: int = 0
    done_sequence: int = 0
    last_fence: int = 0
    claim: Claim | None = None
    desired: DesiredState = field(factory=DesiredState)

    def claimed(self, holder: InstanceId, sequence: int, window_s: float) -> OrderQueue:
        """Return the queue with a claim of ``holder`` under a new fencing number."""
        fence = self.last_fence + 1
        claim = Claim(holder, fence, sequence, window_s)
        return evolve(self, last_fence=fence, claim=claim)

    def settled(self, order: Order) -> OrderQueue:
        """Return the queue after an order has ended, without a claim."""
        if order.sequence != self.done_sequence + 1:
            raise InvariantError(
                f"order {order.sequence} ended out of sequence after "
                f"{self.done_sequence}"
            )
        desired = self.desired
        if order.state is OrderState.DONE:
            desired = desired.after(order)
        return evolve(self, done_sequence=order.sequence, claim=None, desired=desired)


@frozen
class Permit:
    """Hold the right to send, as measured by its holder.

    :param since_s: time at which the write of the claim **started**. The claim cannot
        be older, so the window expires early rather than late.
    """

    fence: int
    sequence: int
    since_s: float
    window_s: float

    def allows(self, now_s: float) -> bool:
        """Return whether a send may still be started."""
        return now_s < self.since_s + self.window_s


@define
class ClaimTracker:
    """Wait until another sidecar's claim expires, measured on the local clock.

    A paused sidecar may resume and send an order that it claimed long ago. An engine
    that ignores fencing numbers accepts it, and a model that was unloaded meanwhile is
    loaded again. The holder starts no send after its window, so a sidecar that has
    seen the same claim for longer than the window may proceed. The clocks are not
    compared; each side measures a duration of its own.
    """

    _fence: int = -1
    _seen_s: float = 0.0

    def wait_s(self, queue: OrderQueue, me: InstanceId, now_s: float) -> float:
        """Return the seconds until the claim may be replaced."""
        claim = queue.claim
        if claim is None or claim.holder == me:
            return 0.0
        if claim.fence != self._fence:
            self._fence = claim.fence
            self._seen_s = now_s
        expires_s = self._seen_s + claim.window_s * (1 + _MAX_CLOCK_DRIFT)
        return max(0.0, expires_s - now_s)


@define
class FenceLedger:
    """Enforce that no fencing number is used for two orders."""

    _orders: dict[int, EngineOrder] = field(factory=dict)
    _highest: int = 0

    def bind(self, order: EngineOrder) -> None:
        """Record an order that is about to be sent.

        :raises InvariantError: if its fencing number was used for another order, or is
            lower than one that was sent.
        """
        known = self._orders.get(order.fence)
        if known is not None and known != order:
            raise InvariantError(f"fence {order.fence} was used for another order")
        if order.fence < self._highest:
            raise InvariantError(f"fence {order.fence} is lower than {self._highest}")
        # Lower numbers are rejected by the check above and need no entry.
        self._orders = {order.fence: order}
        self._highest = order.fence


def state_entry(order: Order) -> str:
    """Return the entry of an engine's state that an order changes."""
    if order.kind == OrderKind.CHANGE_ROLE:
        return f"{_ROLE_PREFIX}{order.name}"
    return f"{order.name}@{order.version}" if order.version else order.name


def took_effect(order: Order, state: tuple[str, ...]) -> bool:
    """Return whether an order has taken effect in an engine's state."""
    present = state_entry(order) in state
    return not present if order.kind in _UNLOADS else present


def repair_orders(desired: DesiredState, state: tuple[str, ...]) -> tuple[Order, ...]:
    """Return the orders that bring an engine back to the desired state.

    Unloads come first, because a load fails on an engine without free memory.
    """
    unloads = [
        _repair_order(_UNLOADS, item) for item in desired.unloaded if item in state
    ]
    loads = [
        _repair_order(_LOADS, item)
        for item in sorted(desired.loaded)
        if item not in state
    ]
    roles: list[Order] = []
    if desired.role and f"{_ROLE_PREFIX}{desired.role}" not in state:
        roles = [_new_order(OrderKind.CHANGE_ROLE, desired.role, "")]
    return (*unloads, *loads, *roles)


def _repair_order(kinds: tuple[str, str], item: str) -> Order:
    name, _, version = item.partition("@")
    model_kind, adapter_kind = kinds
    return _new_order(adapter_kind if "+" in name else model_kind, name, version)


def _new_order(kind: str, name: str, version: str) -> Order:
    return Order(REPAIR_SEQUENCE, kind, name, version, "repair")
