"""A budget manager reserves, settles and bills through an in-memory table."""

import random
import time
import unittest

import anyio

from endivegw.budgets import BillLine, BudgetManager, read_budgets, top_up
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


async def _reserve(budget_manager, tokens, wait_s=5.0):
    now_s = time.time()
    return await budget_manager.reserve(
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


class BudgetManagerTests(unittest.TestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.budget_manager = BudgetManager(
            InstanceId("r1"), self.table, time.time, random.Random(1)
        )

    async def _top_up(self, tokens):
        return await top_up(
            self.table, BUDGET, "op", tokens, timeout_s=1, now_s=time.time()
        )

    async def _row(self):
        result = await read_budgets(self.table, (BUDGET,), timeout_s=1)
        return result.value[0]

    def test_used_tokens_are_settled_and_others_returned(self):
        """A planned shutdown settles exactly the consumed tokens."""

        async def main():
            await self._top_up(10_000)
            async with anyio.create_task_group() as group:
                group.start_soon(self.budget_manager.run)
                first = await _reserve(self.budget_manager, 500)
                second = await _reserve(self.budget_manager, 500)
                self.budget_manager.finish(first, Usage(100, 23), time.time())
                self.budget_manager.release(second, time.time())
                self.budget_manager.bill(_line("a", 123))
                await self.budget_manager.close(time.time())
                group.cancel_scope.cancel()
            row = await self._row()
            self.assertEqual((row.settled_tokens, row.available_tokens), (123, 9877))
            self.assertEqual((row.granted_tokens, row.drawers), (0, 0))

        anyio.run(main)

    def test_budget_without_tokens_refuses(self):
        """A bound above the prepaid tokens is refused as exhausted."""

        async def main():
            await self._top_up(100)
            async with anyio.create_task_group() as group:
                group.start_soon(self.budget_manager.run)
                refused = await _reserve(self.budget_manager, 101)
                group.cancel_scope.cancel()
            self.assertIs(refused.reason, Reason.BUDGET_EXHAUSTED)

        anyio.run(main)

    def test_unknown_budget_is_refused(self):
        """A budget without any top-up is refused as not found."""

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(self.budget_manager.run)
                refused = await _reserve(self.budget_manager, 1)
                group.cancel_scope.cancel()
            self.assertIs(refused.reason, Reason.BUDGET_UNKNOWN)

        anyio.run(main)

    def test_request_is_billed_once(self):
        """A second line for one request raises an error."""
        self.budget_manager.bill(_line("a", 0))
        with self.assertRaises(InvariantError):
            self.budget_manager.bill(_line("a", 0))

    def test_line_above_consumption_is_refused(self):
        """A line above the consumption of the request's attempts raises an error."""
        with self.assertRaises(InvariantError):
            self.budget_manager.bill(_line("a", 1))

    def test_repeated_top_up_adds_once(self):
        """A repeated top-up adds its tokens once; a different amount is a conflict."""

        async def main():
            self.assertEqual(await self._top_up(100), Done(True))
            self.assertEqual(await self._top_up(100), Done(False))
            refused = await self._top_up(200)
            self.assertIs(refused.reason, Reason.KEY_CONFLICT)
            self.assertEqual((await self._row()).topped_up_tokens, 100)

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
