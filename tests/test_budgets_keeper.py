"""A router reserves, settles and bills through the stand-in table."""

import random
import time
import unittest

import anyio

from endivegw.budgets import BillLine, BudgetKeeper, read_budgets, top_up
from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason
from endivegw.types import (
    BudgetKey,
    ClientAccountName,
    InstanceId,
    Outcome,
    RequestIdentity,
    Usage,
)
from endivegw_standins.memory_table import MemoryTable

BUDGET = BudgetKey(ClientAccountName("lobby"), "main")


async def _reserve(keeper, tokens, wait_s=5.0):
    now_s = time.time()
    return await keeper.reserve(
        BUDGET, tokens, deadline_s=now_s + wait_s, reserve_s=60.0, now_s=now_s
    )


def _line(key, tokens):
    return BillLine(
        RequestIdentity(BUDGET.client_account, key),
        BUDGET,
        tokens,
        0,
        0,
        Outcome.ANSWERED,
        time.time(),
    )


class KeeperTests(unittest.TestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.keeper = BudgetKeeper(
            InstanceId("r1"), self.table, time.time, random.Random(1)
        )

    async def _top_up(self, tokens):
        return await top_up(
            self.table, BUDGET, "op", tokens, timeout_s=1, now_s=time.time()
        )

    async def _row(self):
        result = await read_budgets(self.table, (BUDGET,), timeout_s=1)
        return result.value[0]

    def test_used_tokens_are_settled_and_the_rest_returned(self):
        """After a planned stop the table holds exactly what was consumed."""

        async def main():
            await self._top_up(10_000)
            async with anyio.create_task_group() as group:
                group.start_soon(self.keeper.run)
                first = await _reserve(self.keeper, 500)
                second = await _reserve(self.keeper, 500)
                self.keeper.finish(first, Usage(100, 23), time.time())
                self.keeper.release(second, time.time())
                self.keeper.bill(_line("a", 123))
                await self.keeper.close(time.time())
                group.cancel_scope.cancel()
            row = await self._row()
            self.assertEqual((row.settled_tokens, row.available_tokens), (123, 9877))
            self.assertEqual((row.granted_tokens, row.drawers), (0, 0))

        anyio.run(main)

    def test_budget_without_tokens_refuses(self):
        """A bound beyond what was prepaid is refused as exhausted."""

        async def main():
            await self._top_up(100)
            async with anyio.create_task_group() as group:
                group.start_soon(self.keeper.run)
                refused = await _reserve(self.keeper, 101)
                group.cancel_scope.cancel()
            self.assertIs(refused.reason, Reason.BUDGET_EXHAUSTED)

        anyio.run(main)

    def test_unknown_budget_is_named(self):
        """A budget that nobody topped up is refused as not found."""

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(self.keeper.run)
                refused = await _reserve(self.keeper, 1)
                group.cancel_scope.cancel()
            self.assertIs(refused.reason, Reason.BUDGET_UNKNOWN)

        anyio.run(main)

    def test_request_is_billed_once(self):
        """A second line for one request is refused inside the program."""
        self.keeper.bill(_line("a", 0))
        with self.assertRaises(InvariantError):
            self.keeper.bill(_line("a", 0))

    def test_more_than_was_consumed_is_not_billed(self):
        """A line beyond what the request's attempts consumed is refused."""
        with self.assertRaises(InvariantError):
            self.keeper.bill(_line("a", 1))

    def test_repeated_top_up_adds_once(self):
        """The same command twice leaves one addition; another amount conflicts."""

        async def main():
            self.assertEqual(await self._top_up(100), Done(True))
            self.assertEqual(await self._top_up(100), Done(False))
            refused = await self._top_up(200)
            self.assertIs(refused.reason, Reason.KEY_CONFLICT)
            self.assertEqual((await self._row()).topped_up_tokens, 100)

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
