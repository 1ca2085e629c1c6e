"""Obtain tokens for requests that the available tokens do not cover."""

from __future__ import annotations

from typing import Callable

import anyio
from attrs import define, field

from endivegw.allowances.ledger import AllowanceLedger, Shortage
from endivegw.allowances.lending import LendingPort
from endivegw.allowances.limit_extender import LimitExtender
from endivegw.allowances.reservation import Reservation
from endivegw.types import ClientAccountName

__all__ = ["TokenFetcher"]

#: Maximum number of steps in a round; each one yields tokens or rules out a source.
_MAX_STEPS = 6

#: Time in which the event loop reads what arrived while this process was paused.
_READ_INPUT_S = 0.005


@define(eq=False)
class _Waiter:
    """A request that waits for tokens.

    :ivar result: the outcome; None while the request waits.
    """

    tokens: int
    result: Reservation | Shortage | None = None
    wakeup: anyio.Event = field(factory=anyio.Event)

    def wake(self) -> None:
        """Wake the request to check its result."""
        self.wakeup.set()
        self.wakeup = anyio.Event()


@define(eq=False)
class _Round:
    """The sources tried for the requests that were waiting when the round started."""

    members: list[_Waiter]
    is_input_read: bool = False
    is_statement_sent: bool = False
    is_write_tried: bool = False
    is_loan_tried: bool = False
    is_final_write_tried: bool = False
    steps: int = 0


@define(eq=False)
class _Queue:
    """The waiting requests of one account.

    :ivar is_served: whether one of the requests carries out the round for all of them.
        It stops as soon as it has its own tokens, and another one continues.
    """

    waiters: dict[_Waiter, None] = field(factory=dict)
    current_round: _Round | None = None
    is_served: bool = False

    def waiting(self) -> list[_Waiter]:
        """Return the requests of the current round that still wait."""
        members = self.current_round.members if self.current_round is not None else []
        return [waiter for waiter in members if waiter in self.waiters]

    def finish(self, waiter: _Waiter, result: Reservation | Shortage) -> None:
        """Deliver the result of one request."""
        waiter.result = result
        del self.waiters[waiter]
        waiter.wake()


class TokenFetcher:
    """Obtain tokens for all waiting requests of an account together.

    If requests were served one after another, each could spend its whole time on tokens
    that none of them gets, and the last would wait for the sum. Here a request waits
    for at most the rest of the current round and one round of its own.

    :param try_reserve: reserves available tokens, or returns the kind of shortage.
    """

    def __init__(
        self,
        ledger: AllowanceLedger,
        extender: LimitExtender,
        lending: LendingPort,
        try_reserve: Callable[[ClientAccountName, int], Reservation | Shortage],
        clock: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._extender = extender
        self._lending = lending
        self._try_reserve = try_reserve
        self._clock = clock
        self._queues: dict[ClientAccountName, _Queue] = {}

    async def fetch(
        self, account: ClientAccountName, tokens: int
    ) -> Reservation | Shortage:
        """Return a reservation for a request, or the kind of shortage."""
        queue = self._queues.setdefault(account, _Queue())
        waiter = _Waiter(tokens)
        queue.waiters[waiter] = None
        try:
            while waiter.result is None:
                if queue.is_served:
                    await waiter.wakeup.wait()
                else:
                    await self._serve(account, queue, waiter)
        except BaseException:
            # The caller has disconnected.
            if isinstance(waiter.result, Reservation):
                self._ledger.settle(waiter.result, 0)
            raise
        finally:
            queue.waiters.pop(waiter, None)
            if not queue.waiters:
                self._queues.pop(account, None)
        return waiter.result

    async def _serve(
        self, account: ClientAccountName, queue: _Queue, own_waiter: _Waiter
    ) -> None:
        """Carry out the steps of a round until this waiter has its result."""
        queue.is_served = True
        if queue.current_round is None:
            queue.current_round = _Round(list(queue.waiters))
        try:
            while own_waiter.result is None and (
                waiting := self._reserve_waiting(account, queue)
            ):
                if not await self._step(account, queue.current_round, waiting):
                    for waiter in queue.waiting():
                        queue.finish(waiter, self._try_reserve(account, waiter.tokens))
        finally:
            queue.is_served = False
            if not queue.waiting():
                queue.current_round = None
            for waiter in queue.waiters:
                waiter.wake()

    async def _step(
        self, account: ClientAccountName, current: _Round, waiting: list[_Waiter]
    ) -> bool:
        """Try the next source: statements, the store, then the peers.

        :returns: False if all sources have been tried.
        """
        current.steps += 1
        if current.steps > _MAX_STEPS:
            return False
        if self._extender.is_store_unavailable() and not current.is_input_read:
            # The store's answer may be unread because this process was paused.
            current.is_input_read = True
            await anyio.sleep(_READ_INPUT_S)
            return True
        covered_tokens = _fitting(waiting, self._extender.row_available_tokens(account))
        if covered_tokens and not current.is_statement_sent:
            await self._extender.send_statement(account, covered_tokens)
            current.is_statement_sent = True
            return True
        is_unavailable = self._extender.is_store_unavailable()
        if is_unavailable and self._extender.is_expired(account):
            return False
        hand_tokens = self._ledger.of(account).hand_tokens
        # Routers that are not holders draw only if the holders lend nothing.
        draws = self._lending.is_holder(account) or current.is_loan_tried
        left_tokens = max(0, self._ledger.left_tokens(account)) if draws else 0
        min_tokens = min(waiter.tokens for waiter in waiting)
        if not (current.is_write_tried or is_unavailable) and (
            hand_tokens >= min_tokens or left_tokens > 0
        ):
            wanted_tokens = _fitting(waiting, hand_tokens + left_tokens)
            await self._extender.write(account, wanted_tokens or min_tokens)
            current.is_write_tried = True
            return True
        held_tokens = _fitting(waiting, hand_tokens)
        if not current.is_loan_tried:
            with self._extender.wanting(account, held_tokens):
                await self._borrow(account, sum(waiter.tokens for waiter in waiting))
            current.is_loan_tried = True
            return True
        covered_tokens = _fitting(waiting, hand_tokens + left_tokens)
        if not covered_tokens or is_unavailable or current.is_final_write_tried:
            return False
        # A refused caller would have to wait as long before it may retry.
        wait_s = self._extender.min_retry_s()
        await self._extender.write(account, covered_tokens, wait_s)
        current.is_final_write_tried = True
        return True

    def _reserve_waiting(
        self, account: ClientAccountName, queue: _Queue
    ) -> list[_Waiter]:
        """Reserve tokens for the waiters that they cover and return the others."""
        for waiter in queue.waiting():
            reservation = self._try_reserve(account, waiter.tokens)
            if isinstance(reservation, Reservation):
                queue.finish(waiter, reservation)
        return queue.waiting()

    async def _borrow(self, account: ClientAccountName, tokens: int) -> None:
        options = self._ledger.options
        wanted_tokens = min_tokens = tokens - self._extender.available_tokens(account)
        funds = self._ledger.of(account)
        demand = funds.demand_tokens_per_s(self._clock(), options.demand_s)
        if self._lending.is_holder(account):
            ahead_tokens = int(demand * options.hold_s)
            if not self._extender.is_store_unavailable():
                # The rest is borrowed ahead once the row records this loan.
                max_tokens = self._ledger.max_loan_ahead_tokens(account)
                ahead_tokens = min(ahead_tokens, max_tokens)
            wanted_tokens += ahead_tokens
        else:
            wanted_tokens = max(min_tokens, int(demand * options.borrow_ahead_s))
        await self._lending.request_loan(
            account, min_tokens, wanted_tokens, timeout_s=options.borrow_timeout_s
        )


def _fitting(waiting: list[_Waiter], tokens: int) -> int:
    """Return the total of the requests, in order, that the tokens cover."""
    total_tokens = 0
    for waiter in waiting:
        if total_tokens + waiter.tokens <= tokens:
            total_tokens += waiter.tokens
    return total_tokens
