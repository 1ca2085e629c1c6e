"""Orders to engines: what is wanted, who may send, and when it holds.

Pure: the present time is an argument. Orders of one target form a sequence in
the table and are carried out one at a time. Whoever wants to send must first
claim the target's desk, which gives each claim a fencing number of its own.
"""

from __future__ import annotations

import enum

from attrs import define, evolve, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.targets.ports import EngineOrder, OrderKind
from endivegw.types import InstanceId

__all__ = [
    "Claim",
    "ClaimWatch",
    "Desk",
    "DesiredState",
    "FenceLedger",
    "Order",
    "OrderState",
    "Permit",
    "REPAIR_SEQUENCE",
    "deviations",
    "holds",
    "item_of",
]

#: The sequence number of claims that repair and carry out no new order.
REPAIR_SEQUENCE = 0

#: How many unloaded items are remembered. A late order of a paused sidecar can
#: bring back only what was unloaded while it was paused.
_UNLOADED_KEPT = 32

#: How much slower the clock of a paused holder may run than ours.
_DRIFT = 0.01

_ROLE_PREFIX = "role:"
_LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
_UNLOADS = (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)


class OrderState(enum.Enum):
    """How far an order has come."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"


@frozen
class Order:
    """Hold one order as operators gave it.

    :param sequence: its place among the target's orders, from 1.
    :param operation: the operator's id of the command, so that a repeated
        command orders once.
    :param attempts: how often it was sent.
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
        """Return whether it draws on the weight store."""
        return self.kind in _LOADS

    def to_engine(self, fence: int) -> EngineOrder:
        """Return the order as it is sent under a fencing number."""
        return EngineOrder(self.kind, self.name, self.version, fence)


@frozen
class DesiredState:
    """Hold what the orders that were carried out add up to.

    :param unloaded: items that must not be there, the newest last.
    :param role: "" where no order ever set it.
    """

    loaded: frozenset[str] = frozenset()
    unloaded: tuple[str, ...] = ()
    role: str = ""

    def after(self, order: Order) -> DesiredState:
        """Return the state with one more order carried out."""
        item = item_of(order)
        if order.kind == OrderKind.CHANGE_ROLE:
            return evolve(self, role=order.name)
        others = tuple(one for one in self.unloaded if one != item)
        if order.kind in _LOADS:
            return evolve(self, loaded=self.loaded | {item}, unloaded=others)
        kept = (*others, item)[-_UNLOADED_KEPT:]
        return evolve(self, loaded=self.loaded - {item}, unloaded=kept)


@frozen
class Claim:
    """Hold the right to send one order, as the table has it.

    :param window_s: for how long from the claim the holder may begin to send.
    """

    holder: InstanceId
    fence: int
    sequence: int
    window_s: float


@frozen
class Desk:
    """Hold the row that all orders of one target go through.

    :param row_version: of the row that was read, 0 where there is none.
    :param last_sequence: of the newest order.
    :param done_sequence: up to which orders are carried out or have failed.
    :param last_fence: the highest number that was ever given out.
    :param claim: None where nobody may send.
    """

    row_version: int = 0
    last_sequence: int = 0
    done_sequence: int = 0
    last_fence: int = 0
    claim: Claim | None = None
    desired: DesiredState = field(factory=DesiredState)

    def claimed(self, holder: InstanceId, sequence: int, window_s: float) -> Desk:
        """Return the desk with a fresh number in the hands of ``holder``."""
        fence = self.last_fence + 1
        claim = Claim(holder, fence, sequence, window_s)
        return evolve(self, last_fence=fence, claim=claim)

    def settled(self, order: Order) -> Desk:
        """Return the desk after an order has ended, with nobody's claim."""
        if order.sequence != self.done_sequence + 1:
            raise InvariantError(
                f"order {order.sequence} would end behind {self.done_sequence}"
            )
        desired = self.desired
        if order.state is OrderState.DONE:
            desired = desired.after(order)
        return evolve(self, done_sequence=order.sequence, claim=None, desired=desired)


@frozen
class Permit:
    """Hold the right to send, as its holder measures it.

    :param since_s: when the write that made the claim **began**. The claim
        cannot be older than that, so that the window ends early, never late.
    """

    fence: int
    sequence: int
    since_s: float
    window_s: float

    def allows(self, now_s: float) -> bool:
        """Return whether a send may still begin."""
        return now_s < self.since_s + self.window_s


@define
class ClaimWatch:
    """Wait another's claim out, on one's own clock.

    A paused sidecar wakes and sends the order that it had claimed long ago. An
    engine that ignores fencing numbers takes it, and a model that was unloaded
    since is back. The holder begins no send after its window, so that whoever
    has seen the same claim for longer than the window may go on. No clocks are
    compared: each side measures a span of its own.
    """

    _fence: int = -1
    _seen_s: float = 0.0

    def wait_s(self, desk: Desk, me: InstanceId, now_s: float) -> float:
        """Return for how long the claim must still be left alone."""
        claim = desk.claim
        if claim is None or claim.holder == me:
            return 0.0
        if claim.fence != self._fence:
            self._fence = claim.fence
            self._seen_s = now_s
        over_s = self._seen_s + claim.window_s * (1 + _DRIFT)
        return max(0.0, over_s - now_s)


@define
class FenceLedger:
    """Assert that a fencing number never stands for two orders."""

    _orders: dict[int, EngineOrder] = field(factory=dict)
    _highest: int = 0

    def bind(self, order: EngineOrder) -> None:
        """Note an order that is about to be sent.

        :raises InvariantError: where its number was used for another order, or
            is below one that was sent.
        """
        known = self._orders.get(order.fence)
        if known is not None and known != order:
            raise InvariantError(f"fence {order.fence} stands for two orders")
        if order.fence < self._highest:
            raise InvariantError(f"fence {order.fence} is below {self._highest}")
        # Lower numbers are refused by the check above and need no entry.
        self._orders = {order.fence: order}
        self._highest = order.fence


def item_of(order: Order) -> str:
    """Return the entry of an engine's state that an order is about."""
    if order.kind == OrderKind.CHANGE_ROLE:
        return f"{_ROLE_PREFIX}{order.name}"
    return f"{order.name}@{order.version}" if order.version else order.name


def holds(order: Order, state: tuple[str, ...]) -> bool:
    """Return whether an engine's state shows that an order took effect."""
    present = item_of(order) in state
    return not present if order.kind in _UNLOADS else present


def deviations(desired: DesiredState, state: tuple[str, ...]) -> tuple[Order, ...]:
    """Return the orders that would bring an engine back to what is wanted.

    Unloads go first: on an engine whose memory is full a load would fail.
    """
    unloads = [_repair(_UNLOADS, item) for item in desired.unloaded if item in state]
    loads = [
        _repair(_LOADS, item) for item in sorted(desired.loaded) if item not in state
    ]
    roles: list[Order] = []
    if desired.role and f"{_ROLE_PREFIX}{desired.role}" not in state:
        roles = [_order(OrderKind.CHANGE_ROLE, desired.role, "")]
    return (*unloads, *loads, *roles)


def _repair(kinds: tuple[str, str], item: str) -> Order:
    name, _, version = item.partition("@")
    model_kind, adapter_kind = kinds
    return _order(adapter_kind if "+" in name else model_kind, name, version)


def _order(kind: str, name: str, version: str) -> Order:
    return Order(REPAIR_SEQUENCE, kind, name, version, "repair")
