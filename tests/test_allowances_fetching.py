"""Requests of one account that obtain tokens together, in virtual time."""

from __future__ import annotations

import random
import unittest
from contextlib import asynccontextmanager
from typing import AsyncIterator

import anyio

from endivegw.allowances import AllowanceOptions, Reservation
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNT = ClientAccountName("hotel")
TOKENS = 20_000

#: Longest duration of a round: statement, write, loans.
ROUND_S = 0.2


@asynccontextmanager
async def without_store() -> AsyncIterator[AllowanceWorld]:
    """Run four routers that have just lost the store."""
    async with anyio.create_task_group() as tasks:
        world = AllowanceWorld(
            (Load(ACCOUNT, 1_000_000, 1.0, (0.25,) * 4),),
            AllowanceOptions(),
            random.Random(1),
            anyio.current_time,
            tasks,
        )
        for vm in world.vms:
            world.start(vm)
        await anyio.sleep(3.0)
        world.store.cut = set(world.vms)
        await anyio.sleep(0.2)
        yield world
        tasks.cancel_scope.cancel()


async def _disconnect() -> tuple[int, list[int]]:
    """Disconnect callers while their requests wait.

    :returns: the tokens left reserved, and those of the requests that were granted.
    """
    amounts: list[int] = []

    async def request(world: AllowanceWorld, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            result = await world.routers["a"].allowances.reserve(ACCOUNT, TOKENS)
            if isinstance(result, Reservation):
                amounts.append(result.tokens)

    async with without_store() as world:
        async with anyio.create_task_group() as calls:
            for number in range(40):
                timeout_s = 0.002 * number if number < 20 else 5.0
                calls.start_soon(request, world, timeout_s)
        reserved = world.routers["a"].allowances.ledger.of(ACCOUNT).reserved_tokens
    return reserved, amounts


async def _request_in_sequence() -> list[float]:
    """Send a request every hundredth of a second; return how long each waited."""
    waits_s: list[float] = []

    async def request(world: AllowanceWorld) -> None:
        requested_s = anyio.current_time()
        await world.routers["a"].allowances.reserve(ACCOUNT, TOKENS)
        waits_s.append(anyio.current_time() - requested_s)

    async with without_store() as world:
        async with anyio.create_task_group() as calls:
            for _ in range(100):
                calls.start_soon(request, world)
                await anyio.sleep(0.01)
    return waits_s


class FetchingTests(unittest.TestCase):
    """All routers have lost the store, and limits do not cover the requests."""

    # Guards against tokens that stay reserved for callers that disconnected while
    # waiting.
    def test_disconnected_callers_hold_no_tokens(self) -> None:
        """Twenty of forty disconnect, one after another; the others get a result."""
        virtual = {"loop_factory": VirtualLoop}
        reserved, amounts = anyio.run(_disconnect, backend_options=virtual)
        self.assertEqual(reserved, sum(amounts))

    # Guards against a wait that grows with the number of earlier requests.
    def test_a_request_waits_for_at_most_two_rounds(self) -> None:
        """The one in progress and its own, for a hundred consecutive requests."""
        waits_s = anyio.run(
            _request_in_sequence, backend_options={"loop_factory": VirtualLoop}
        )
        self.assertEqual(len(waits_s), 100)
        self.assertLessEqual(max(waits_s), 2 * ROUND_S)


if __name__ == "__main__":
    unittest.main()
