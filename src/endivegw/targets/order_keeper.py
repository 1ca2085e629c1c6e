"""Carry a target's orders out, from the table to the engine, one at a time."""

from __future__ import annotations

import enum
import random
from typing import Callable

import anyio
from attrs import evolve, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Done, Refused, Unknown
from endivegw.services import TablePort, Transaction, WeightStorePort
from endivegw.targets.order_rows import (
    claim_transaction,
    desk_from_row,
    desk_key,
    order_from_row,
    order_key,
    settle_transaction,
)
from endivegw.targets.orders import (
    REPAIR_SEQUENCE,
    ClaimWatch,
    DesiredState,
    Desk,
    FenceLedger,
    Order,
    OrderState,
    Permit,
    deviations,
    holds,
)
from endivegw.targets.ports import EnginePort
from endivegw.targets.weight_desk import WeightDesk
from endivegw.targets.weight_slots import SlotClaim, WeightShare
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue.daemons import INVARIANT_BROKEN
from endivegw.telemetry.catalogue.membership import (
    ORDER_ENDED,
    ORDER_REPAIRED,
    ORDER_SENT,
    ORDER_WINDOW_MISSED,
)
from endivegw.types import InstanceId, TargetName

__all__ = ["KeeperPolicy", "KeeperStep", "OrderKeeper"]


class KeeperStep(enum.Enum):
    """How one round ended."""

    IDLE = "idle"
    WORKED = "worked"
    WAITING = "waiting"
    UNAVAILABLE = "unavailable"


@frozen
class KeeperPolicy:
    """Hold the times of carrying orders out.

    :param poll_s: how often the table is asked for new orders. 650 sidecars
        each 10 s make 65 reads a second, of 2,000 for the fleet; a load takes
        minutes, so that asking sooner would gain nothing.
    :param waiting_poll_s: how often one that waits for a claim or a weight slot
        asks again. Two reads each 5 s make 40 a second where 100 engines of a
        zone wait for their turn to load.
    :param engine_check_s: how often the engine's state is compared with what
        is wanted. It bounds how long a late order of a paused sidecar stands.
    :param window_s: for how long a claim allows a send to begin. Longer
        outlasts slower tables; a successor waits that long.
    :param confirm_s: how long an order may take to show in the read-back.
    :param most_attempts: how often an order is sent before it has failed.
    """

    poll_s: float = 10.0
    waiting_poll_s: float = 5.0
    engine_check_s: float = 2.0
    window_s: float = 5.0
    confirm_s: float = 600.0
    confirm_poll_s: float = 1.0
    table_timeout_s: float = 2.0
    most_attempts: int = 3
    share: WeightShare = field(factory=lambda: WeightShare(10e9, 8))


class OrderKeeper:
    """Carry out the orders of the target that this sidecar stands beside.

    :param checks_fence: whether the engine itself refuses old numbers. Where it
        does not, another's claim is waited out before the first send.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        target: TargetName,
        instance_id: InstanceId,
        engine: EnginePort,
        table: TablePort,
        weights: WeightStorePort,
        log: EventLog,
        *,
        checks_fence: bool,
        policy: KeeperPolicy,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._target = target
        self._instance_id = instance_id
        self._engine = engine
        self._table = table
        self._log = log
        self._checks_fence = checks_fence
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._claims = ClaimWatch()
        self._slots = WeightDesk(
            target,
            instance_id,
            table,
            weights,
            policy.share,
            timeout_s=policy.table_timeout_s,
            clock=clock,
        )
        self._fences = FenceLedger()
        self._desk: Desk | None = None

    async def run(self) -> None:
        """Carry orders out until cancelled."""
        due_s = self._clock()
        last = KeeperStep.IDLE
        while True:
            due = self._clock() >= due_s
            # Only an idle keeper looks by itself: one that waits, for a claim
            # or a slot, would ask the table again at every look.
            if due or (last is KeeperStep.IDLE and await self._deviates()):
                last = await self._step_or_report()
                wait_s = self._wait_behind(last)
                due_s = self._clock() + wait_s * self._rng.uniform(0.8, 1.0)
            await anyio.sleep(self._policy.engine_check_s)

    async def _step_or_report(self) -> KeeperStep:
        """Stop an order that would break a promise, and keep the sidecar up."""
        try:
            return await self.step()
        except InvariantError as error:
            self._log.emit(INVARIANT_BROKEN, detail=error.message)
            return KeeperStep.UNAVAILABLE

    def _wait_behind(self, step: KeeperStep) -> float:
        match step:
            case KeeperStep.WORKED:
                return 0.0
            case KeeperStep.WAITING:
                return self._policy.waiting_poll_s
            case _:
                return self._policy.poll_s

    async def step(self) -> KeeperStep:
        """Carry out the next order, or bring the engine back to what is wanted."""
        desk = await self._read_desk()
        if desk is None:
            return KeeperStep.UNAVAILABLE
        state = await self._engine.state()
        if not isinstance(state, Done):
            return KeeperStep.UNAVAILABLE
        if self._must_wait(desk):
            # Also before an order is merely written off as done: that ends the
            # claim, and the next order would no longer wait for its holder.
            return KeeperStep.WAITING
        if desk.done_sequence < desk.last_sequence:
            return await self._next_order(desk, state.value)
        wrong = deviations(desk.desired, state.value)
        if not wrong:
            return KeeperStep.IDLE
        return await self._repair(desk, wrong[0])

    async def _deviates(self) -> bool:
        # Engines that never got an order need no look: at 650 sidecars most of
        # them, most of the time, and each look is a call.
        if self._desk is None or self._desk.desired == DesiredState():
            return False
        state = await self._engine.state()
        if not isinstance(state, Done):
            return False
        return bool(deviations(self._desk.desired, state.value))

    async def _read_desk(self) -> Desk | None:
        key = desk_key(self._target)
        timeout_s = self._policy.table_timeout_s
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done):
            return None
        self._desk = desk_from_row(result.value[0])
        return self._desk

    async def _next_order(self, desk: Desk, state: tuple[str, ...]) -> KeeperStep:
        key = order_key(self._target, desk.done_sequence + 1)
        timeout_s = self._policy.table_timeout_s
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done) or result.value[0] is None:
            return KeeperStep.UNAVAILABLE
        order = order_from_row(result.value[0])
        if holds(order, state):
            # A sidecar that died half-way had sent it, or it held before.
            return await self._settle(desk, evolve(order, state=OrderState.DONE))
        if order.attempts >= self._policy.most_attempts:
            failed = evolve(order, state=OrderState.FAILED)
            return await self._settle(desk, failed)
        return await self._carry_out(desk, order)

    async def _carry_out(self, desk: Desk, order: Order) -> KeeperStep:
        """Send an order under a claim, and confirm it by a read-back."""
        slot: SlotClaim | None = None
        if order.loads:
            slot = await self._slots.take(order.name)
            if slot is None:
                return KeeperStep.WAITING
        try:
            return await self._send_claimed(desk, order)
        finally:
            if slot is not None:
                with anyio.CancelScope(shield=True):
                    await self._slots.release(slot)

    async def _send_claimed(self, desk: Desk, order: Order) -> KeeperStep:
        claimed = await self._claim(desk, order.sequence)
        if claimed is None:
            return KeeperStep.WAITING
        desk, permit = claimed
        sent = await self._send(order, permit)
        if sent is None:
            return KeeperStep.WAITING
        if not await self._confirmed(order, sent):
            order = evolve(order, attempts=order.attempts + 1, detail=str(sent))
            if order.attempts < self._policy.most_attempts:
                return await self._give_back(desk, order)
            return await self._settle(desk, evolve(order, state=OrderState.FAILED))
        done = evolve(order, state=OrderState.DONE, attempts=order.attempts + 1)
        return await self._settle(desk, done)

    async def _repair(self, desk: Desk, order: Order) -> KeeperStep:
        """Bring the engine one step closer to what the orders add up to."""
        step = await self._carry_out(desk, order)
        if step is KeeperStep.WORKED:
            self._log.emit(
                ORDER_REPAIRED,
                target=self._target,
                kind=order.kind,
                name=order.name,
                version=order.version,
            )
        return step

    def _must_wait(self, desk: Desk) -> bool:
        # An engine that checks numbers refuses the former holder by itself.
        if self._checks_fence:
            return False
        return self._claims.wait_s(desk, self._instance_id, self._clock()) > 0

    async def _claim(self, desk: Desk, sequence: int) -> tuple[Desk, Permit] | None:
        window_s = self._policy.window_s
        after = desk.claimed(self._instance_id, sequence, window_s)
        since_s = self._clock()
        result = await self._write(claim_transaction(self._target, desk, after))
        if isinstance(result, Refused):
            return None
        # Also where the answer was lost: the row itself says whose claim it is.
        seen = await self._read_desk()
        if seen is None or seen.claim != after.claim:
            return None
        return seen, Permit(after.last_fence, sequence, since_s, window_s)

    async def _send(
        self, order: Order, permit: Permit
    ) -> Done[None] | Refused | Unknown | None:
        """Send an order; None where the window was over before it began."""
        engine_order = order.to_engine(permit.fence)
        self._fences.bind(engine_order)
        self._log.emit(
            ORDER_SENT,
            target=self._target,
            kind=order.kind,
            name=order.name,
            version=order.version,
            fence=permit.fence,
        )
        # Last before the send, with no wait between: a process that was paused
        # until here finds its window over. One that is paused inside the call
        # still sends late; the comparison with what is wanted mends that.
        if not permit.allows(self._clock()):
            self._log.emit(ORDER_WINDOW_MISSED, target=self._target, fence=permit.fence)
            return None
        return await self._engine.order(engine_order)

    async def _confirmed(
        self, order: Order, sent: Done[None] | Refused | Unknown
    ) -> bool:
        """Return whether the engine's own state shows the order."""
        over_s = self._clock() + self._policy.confirm_s
        while True:
            state = await self._engine.state()
            if isinstance(state, Done) and holds(order, state.value):
                return True
            if isinstance(sent, Refused) or self._clock() >= over_s:
                return False
            await anyio.sleep(self._policy.confirm_poll_s)

    async def _settle(self, desk: Desk, order: Order) -> KeeperStep:
        """Write down how an order, or a repair, ended."""
        if order.sequence == REPAIR_SEQUENCE:
            after = evolve(desk, claim=None)
            row = None
        else:
            after = desk.settled(order)
            row = order
        written = settle_transaction(self._target, desk, after, row)
        result = await self._write(written)
        if not isinstance(result, Done):
            # The next round reads the desk again and finds out what holds.
            return KeeperStep.WAITING
        self._desk = after
        self._log.emit(
            ORDER_ENDED,
            target=self._target,
            sequence=order.sequence,
            state=order.state.value,
            attempts=order.attempts,
            detail=order.detail,
        )
        return KeeperStep.WORKED

    async def _give_back(self, desk: Desk, order: Order) -> KeeperStep:
        """End a claim whose order did not take effect, to try it again."""
        row = None if order.sequence == REPAIR_SEQUENCE else order
        after = evolve(desk, claim=None)
        await self._write(settle_transaction(self._target, desk, after, row))
        return KeeperStep.WAITING

    async def _write(self, transaction: Transaction) -> Done[None] | Refused | Unknown:
        return await self._table.transact(
            transaction, timeout_s=self._policy.table_timeout_s
        )
