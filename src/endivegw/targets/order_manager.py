"""Execute a target's orders from the table on its engine, one at a time."""

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
    order_from_row,
    order_key,
    order_queue_from_row,
    order_queue_key,
    settle_transaction,
)
from endivegw.targets.orders import (
    REPAIR_SEQUENCE,
    ClaimTracker,
    DesiredState,
    FenceLedger,
    Order,
    OrderQueue,
    OrderState,
    Permit,
    repair_orders,
    took_effect,
)
from endivegw.targets.ports import EnginePort
from endivegw.targets.weight_service import WeightService
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

__all__ = ["OrderPolicy", "StepResult", "OrderManager"]


class StepResult(enum.Enum):
    """Result of one step."""

    IDLE = "idle"
    WORKED = "worked"
    WAITING = "waiting"
    UNAVAILABLE = "unavailable"


@frozen
class OrderPolicy:
    """Hold the limits and intervals of executing orders.

    :param poll_s: seconds between reads of the table for new orders. 650 sidecars that
        read every 10 s cause 65 reads/s, of 2,000 reads/s for the fleet. A load takes
        minutes, so a shorter interval has no benefit.
    :param waiting_poll_s: seconds between polls while waiting for a claim or a weight
        slot. Two reads every 5 s cause 40 reads/s when 100 engines of an availability
        zone wait to load.
    :param engine_check_s: seconds between comparisons of the engine's state with the
        desired state. It limits how long a late order of a paused sidecar is in effect.
    :param window_s: seconds from a claim during which a send may start. A longer window
        tolerates slower tables, but a successor must wait that long.
    :param confirm_s: seconds within which an order must appear in the engine's state.
    :param confirm_poll_s: seconds between reads of the engine's state until then.
    :param table_timeout_s: time-out in seconds of each call to the table.
    :param max_attempts: number of sends after which an order has failed.
    :param share: the weight store's bandwidth and number of concurrent loads.
    """

    poll_s: float = 10.0
    waiting_poll_s: float = 5.0
    engine_check_s: float = 2.0
    window_s: float = 5.0
    confirm_s: float = 600.0
    confirm_poll_s: float = 1.0
    table_timeout_s: float = 2.0
    max_attempts: int = 3
    share: WeightShare = field(factory=lambda: WeightShare(10e9, 8))


class OrderManager:
    """Execute the orders of this sidecar's target.

    :param checks_fence: whether the engine refuses outdated fencing numbers itself. If
        not, the claim of another sidecar must expire before anything is sent.
    :param clock: returns monotonic seconds.
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
        policy: OrderPolicy,
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
        self._claims = ClaimTracker()
        self._slots = WeightService(
            target,
            instance_id,
            table,
            weights,
            policy.share,
            timeout_s=policy.table_timeout_s,
            clock=clock,
        )
        self._fences = FenceLedger()
        self._queue: OrderQueue | None = None

    async def run(self) -> None:
        """Execute orders until cancelled."""
        due_s = self._clock()
        last = StepResult.IDLE
        while True:
            due = self._clock() >= due_s
            # Only an idle manager compares the engine's state ahead of time. One that
            # waits for a claim or a slot would query the table at each comparison.
            if due or (last is StepResult.IDLE and await self._needs_repair()):
                last = await self._run_step()
                wait_s = self._wait_after(last)
                due_s = self._clock() + wait_s * self._rng.uniform(0.8, 1.0)
            await anyio.sleep(self._policy.engine_check_s)

    async def _run_step(self) -> StepResult:
        """Run a step; a violated invariant stops the order, not the sidecar."""
        try:
            return await self.step()
        except InvariantError as error:
            self._log.emit(INVARIANT_BROKEN, detail=error.message)
            return StepResult.UNAVAILABLE

    def _wait_after(self, step: StepResult) -> float:
        match step:
            case StepResult.WORKED:
                return 0.0
            case StepResult.WAITING:
                return self._policy.waiting_poll_s
            case _:
                return self._policy.poll_s

    async def step(self) -> StepResult:
        """Execute the next order, or repair the engine's state."""
        queue = await self._read_queue()
        if queue is None:
            return StepResult.UNAVAILABLE
        state = await self._engine.state()
        if not isinstance(state, Done):
            return StepResult.UNAVAILABLE
        if self._must_wait(queue):
            # This also precedes recording an order as already done: that ends the
            # claim, and the next order would no longer wait for the claim's holder.
            return StepResult.WAITING
        if queue.done_sequence < queue.last_sequence:
            return await self._execute_next_order(queue, state.value)
        repairs = repair_orders(queue.desired, state.value)
        if not repairs:
            return StepResult.IDLE
        return await self._repair(queue, repairs[0])

    async def _needs_repair(self) -> bool:
        # Engines that never received an order are not checked, because each check is a
        # call. With 650 sidecars this applies to most engines most of the time.
        if self._queue is None or self._queue.desired == DesiredState():
            return False
        state = await self._engine.state()
        if not isinstance(state, Done):
            return False
        return bool(repair_orders(self._queue.desired, state.value))

    async def _read_queue(self) -> OrderQueue | None:
        key = order_queue_key(self._target)
        timeout_s = self._policy.table_timeout_s
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done):
            return None
        self._queue = order_queue_from_row(result.value[0])
        return self._queue

    async def _execute_next_order(
        self, queue: OrderQueue, state: tuple[str, ...]
    ) -> StepResult:
        key = order_key(self._target, queue.done_sequence + 1)
        timeout_s = self._policy.table_timeout_s
        result = await self._table.read((key,), timeout_s=timeout_s)
        if not isinstance(result, Done) or result.value[0] is None:
            return StepResult.UNAVAILABLE
        order = order_from_row(result.value[0])
        if took_effect(order, state):
            # A sidecar that terminated midway has sent the order, or it was already in
            # effect before.
            return await self._settle(queue, evolve(order, state=OrderState.DONE))
        if order.attempts >= self._policy.max_attempts:
            failed = evolve(order, state=OrderState.FAILED)
            return await self._settle(queue, failed)
        return await self._execute(queue, order)

    async def _execute(self, queue: OrderQueue, order: Order) -> StepResult:
        """Send an order under a claim, and confirm it by reading the engine's state."""
        slot: SlotClaim | None = None
        if order.loads:
            slot = await self._slots.acquire(order.name)
            if slot is None:
                return StepResult.WAITING
        try:
            return await self._send_claimed(queue, order)
        finally:
            if slot is not None:
                with anyio.CancelScope(shield=True):
                    await self._slots.release(slot)

    async def _send_claimed(self, queue: OrderQueue, order: Order) -> StepResult:
        claimed = await self._claim(queue, order.sequence)
        if claimed is None:
            return StepResult.WAITING
        queue, permit = claimed
        send_result = await self._send(order, permit)
        if send_result is None:
            return StepResult.WAITING
        if not await self._is_confirmed(order, send_result):
            order = evolve(order, attempts=order.attempts + 1, detail=str(send_result))
            if order.attempts < self._policy.max_attempts:
                return await self._release_claim(queue, order)
            return await self._settle(queue, evolve(order, state=OrderState.FAILED))
        done = evolve(order, state=OrderState.DONE, attempts=order.attempts + 1)
        return await self._settle(queue, done)

    async def _repair(self, queue: OrderQueue, order: Order) -> StepResult:
        """Send one order that brings the engine closer to the desired state."""
        step = await self._execute(queue, order)
        if step is StepResult.WORKED:
            self._log.emit(
                ORDER_REPAIRED,
                target=self._target,
                kind=order.kind,
                name=order.name,
                version=order.version,
            )
        return step

    def _must_wait(self, queue: OrderQueue) -> bool:
        # An engine that checks fencing numbers refuses the former holder itself.
        if self._checks_fence:
            return False
        return self._claims.wait_s(queue, self._instance_id, self._clock()) > 0

    async def _claim(
        self, queue: OrderQueue, sequence: int
    ) -> tuple[OrderQueue, Permit] | None:
        window_s = self._policy.window_s
        after = queue.claimed(self._instance_id, sequence, window_s)
        since_s = self._clock()
        result = await self._write(claim_transaction(self._target, queue, after))
        if isinstance(result, Refused):
            return None
        # If the answer was lost, the row still shows who holds the claim.
        stored = await self._read_queue()
        if stored is None or stored.claim != after.claim:
            return None
        return stored, Permit(after.last_fence, sequence, since_s, window_s)

    async def _send(
        self, order: Order, permit: Permit
    ) -> Done[None] | Refused | Unknown | None:
        """Send an order; None if the claim's window expired before the send."""
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
        # This is the last check before the send, with no wait in between: a process
        # that was paused until here finds its window expired. One that is paused within
        # the call sends late, which the comparison with the desired state repairs.
        if not permit.allows(self._clock()):
            self._log.emit(ORDER_WINDOW_MISSED, target=self._target, fence=permit.fence)
            return None
        return await self._engine.order(engine_order)

    async def _is_confirmed(
        self, order: Order, send_result: Done[None] | Refused | Unknown
    ) -> bool:
        """Return whether the order has taken effect in the engine's state."""
        deadline_s = self._clock() + self._policy.confirm_s
        while True:
            state = await self._engine.state()
            if isinstance(state, Done) and took_effect(order, state.value):
                return True
            if isinstance(send_result, Refused) or self._clock() >= deadline_s:
                return False
            await anyio.sleep(self._policy.confirm_poll_s)

    async def _settle(self, queue: OrderQueue, order: Order) -> StepResult:
        """Record the end of an order or a repair in the table."""
        if order.sequence == REPAIR_SEQUENCE:
            after = evolve(queue, claim=None)
            row = None
        else:
            after = queue.settled(order)
            row = order
        written = settle_transaction(self._target, queue, after, row)
        result = await self._write(written)
        if not isinstance(result, Done):
            # The next step reads the queue again to see whether the write took effect.
            return StepResult.WAITING
        self._queue = after
        self._log.emit(
            ORDER_ENDED,
            target=self._target,
            sequence=order.sequence,
            state=order.state.value,
            attempts=order.attempts,
            detail=order.detail,
        )
        return StepResult.WORKED

    async def _release_claim(self, queue: OrderQueue, order: Order) -> StepResult:
        """End the claim of an order that did not take effect, so that it is retried."""
        row = None if order.sequence == REPAIR_SEQUENCE else order
        after = evolve(queue, claim=None)
        await self._write(settle_transaction(self._target, queue, after, row))
        return StepResult.WAITING

    async def _write(self, transaction: Transaction) -> Done[None] | Refused | Unknown:
        return await self._table.transact(
            transaction, timeout_s=self._policy.table_timeout_s
        )
