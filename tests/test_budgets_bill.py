"""Bill commands of the operator: charged tokens and their reconciliation."""

import json
import pathlib
import random
import tempfile
import time
import unittest

import anyio
from anyio.from_thread import start_blocking_portal
from click.testing import CliRunner

from endivegw.budgets import BillLine, BudgetManager, top_up
from endivegw.budgets.bills import BillKind, BillRecord
from endivegw.budgets.reconcile import reconcile
from endivegw.budgets.rows import BudgetRow
from endivegw.cli import main
from endivegw.types import (
    BudgetKey,
    ClientAccountName,
    InstanceId,
    Outcome,
    RequestIdentity,
    Usage,
)
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

BUDGET = BudgetKey(ClientAccountName("lobby"), "main")


async def spend(table):
    """Answer two requests through one router, one of them at the second attempt."""
    await top_up(table, BUDGET, "op", 10_000, timeout_s=1, now_s=time.time())
    budget_manager = BudgetManager(InstanceId("r1"), table, time.time, random.Random(1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(budget_manager.run)
        for key, usages in (("a", [(40, 60)]), ("b", [(40, 7), (40, 80)])):
            for prompt, completion in usages:
                now_s = time.time()
                reservation = await budget_manager.reserve(
                    BUDGET, 300, deadline_s=now_s + 5, reserve_s=60.0, now_s=now_s
                )
                budget_manager.finish(
                    reservation, Usage(prompt, completion), time.time()
                )
            lost_tokens = sum(sum(usage) for usage in usages[:-1])
            budget_manager.bill(
                BillLine(
                    RequestIdentity(BUDGET.client_account, key),
                    BUDGET,
                    *usages[-1],
                    lost_tokens,
                    Outcome.ANSWERED,
                    time.time(),
                )
            )
        await budget_manager.close(time.time())
        tasks.cancel_scope.cancel()


class BillCommandTests(unittest.TestCase):
    def setUp(self):
        self.platform = StandinPlatform()
        portal = self.enterContext(start_blocking_portal())
        url = self.enterContext(
            portal.wrap_async_context_manager(served(self.platform, lifespan=False))
        )
        portal.call(spend, self.platform.table)
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.settings = directory / "operator.ini"
        self.settings.write_text(
            f"[platform]\ntable_url = {url}/table\n"
            f"object_store_url = {url}/objects\nvm_list_url = {url}/vms\n"
        )

    def run_command(self, *arguments):
        environment = {"ENDIVEGW_SETTINGS": str(self.settings)}
        result = CliRunner().invoke(main, arguments, env=environment)
        self.assertEqual(result.exit_code, 0, result.output)
        return result

    def test_bill_lists_each_request_once_and_agrees(self):
        """Two requests with three attempts give two lines that charge all tokens."""
        result = self.run_command("budget", "bill", "lobby", "main", "--output", "json")
        lines = json.loads(result.stdout)
        self.assertEqual(
            [(line["name"], line["charged"], line["lost"]) for line in lines],
            [("a", 100, 0), ("b", 167, 47)],
        )
        self.assertIn("settled and billed agree at 267 tokens", result.output)

    def test_show_reports_reconciliation(self):
        """Settled tokens are compared with the bill unless this is disabled."""
        shown = self.run_command("budget", "show", "lobby", "main").output
        self.assertIn("settled and billed agree at 267 tokens", shown)
        short = self.run_command("budget", "show", "lobby", "main", "--no-reconcile")
        self.assertNotIn("agree", short.output)

    def test_period_limits_the_listed_lines(self):
        """A bill of a future period has no lines, and the sums still agree."""
        arguments = ("budget", "bill", "lobby", "main", "--since", "2999-01-01")
        result = self.run_command(*arguments, "--output", "json")
        self.assertEqual(json.loads(result.stdout), [])
        self.assertIn("agree at 267", result.output)


class ReconciliationTests(unittest.TestCase):
    def row(self, settled):
        return BudgetRow(BUDGET, 1000, 1000 - settled, 0, settled, 0)

    def record(self, name, tokens):
        return BillRecord(BillKind.REQUEST, BUDGET, name, tokens, 0.0)

    def test_missing_and_duplicate_lines_are_reported(self):
        """A difference is reported exactly; a duplicate line takes precedence."""
        short = reconcile(self.row(30), [self.record("a", 10)])
        self.assertEqual(short.sentence(), "20 tokens are settled and not billed yet")
        over = reconcile(self.row(5), [self.record("a", 10)])
        self.assertEqual(over.sentence(), "5 tokens are billed, not settled")
        twice = reconcile(self.row(20), [self.record("a", 10), self.record("a", 10)])
        self.assertEqual(twice.sentence(), "1 requests were billed twice")


if __name__ == "__main__":
    unittest.main()
