"""Randomized runs with combined faults; no budget may be overspent."""

import asyncio
import os
import random
import unittest

import anyio
from benchmarks.budget_fleet import Fleet, RequestSpec
from hypothesis import HealthCheck, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from endivegw.budgets import read_budgets, top_up
from endivegw.budgets.reconcile import read_bill, reconcile
from endivegw.budgets.rows import GRANT_PARTITION, check_budget
from endivegw.results import Done, Reason, Refused
from endivegw.types import BudgetKey, ClientAccountName, Outcome
from endivegw_standins.faulty_table import TableFaults
from endivegw_standins.virtual_time import VirtualLoop

BUDGETS = (
    BudgetKey(ClientAccountName("lobby"), "main"),
    BudgetKey(ClientAccountName("ramp"), "small"),
)
FIRST_TOKENS = {BUDGETS[0]: 30_000, BUDGETS[1]: 2_000}

ROUTERS = st.integers(0, 2)
SIDECARS = st.integers(0, 2)

#: Number of examples and steps of one run; the soak test sets higher values.
EXAMPLES = int(os.environ.get("ENDIVEGW_SOAK_EXAMPLES", "25"))
STEPS = int(os.environ.get("ENDIVEGW_SOAK_STEPS", "25"))
SEED = int(os.environ.get("ENDIVEGW_SOAK_SEED", "20"))


class BudgetMachine(RuleBasedStateMachine):
    """Drive a fleet in virtual time and compare it with the engines' token counts."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.errors = []
        self.loop.set_exception_handler(lambda _, context: self.errors.append(context))
        self.wanted_topups = dict.fromkeys(BUDGETS, 0)
        self.sent = 0
        self.outcomes = {}
        self.lost_sidecars = False

    @initialize(number=st.integers(0, 2**32), transfers=st.booleans())
    def start(self, number, transfers):
        """Start three routers, three sidecars and topped-up budgets."""
        self.commands = asyncio.Queue()
        self.main = self.loop.create_task(self._main(number, transfers))
        self._do(self._top_up_first)

    async def _main(self, number, transfers):
        async with anyio.create_task_group() as tasks:
            self.fleet = Fleet(
                tasks,
                random.Random(number),
                routers=3,
                sidecars=3,
                transfers=transfers,
                engine_tokens_per_s=100.0,
            )
            while True:
                command, done = await self.commands.get()
                if command is None:
                    break
                try:
                    done.set_result(await command())
                except Exception as error:
                    done.set_exception(error)
            tasks.cancel_scope.cancel()

    def _do(self, command):
        done = self.loop.create_future()
        self.commands.put_nowait((command, done))
        waiting = asyncio.wait({done, self.main}, return_when=asyncio.FIRST_COMPLETED)
        self.loop.run_until_complete(waiting)
        if not done.done():
            self.main.result()
        result = done.result()
        self._check()
        return result

    async def _top_up_first(self):
        for budget, tokens in FIRST_TOKENS.items():
            await self._top_up(budget, "first", tokens)
        await anyio.sleep(1)

    async def _top_up(self, budget, operation, tokens):
        table = self.fleet.view(self.fleet.operator_faults)
        result = await top_up(
            table, budget, operation, tokens, timeout_s=1, now_s=self.fleet.clock()
        )
        return result

    def _check(self):
        """Compare consumption and rows with the prepaid tokens after each step."""
        self.assert_no_errors()
        for budget in BUDGETS:
            page = self.fleet.table.page("budget", str(budget), None, 1)
            if not page.rows:
                continue
            fields = page.rows[0].fields
            topped_up = fields["topped_up"]
            parts = fields["available"] + fields["granted"] + fields["settled"]
            assert parts == topped_up, fields
            assert min(fields["available"], fields["granted"]) >= 0, fields
            consumed = self.fleet.consumed_tokens.get(budget, 0)
            assert consumed <= topped_up, f"{budget}: {consumed} of {topped_up}"

    def assert_no_errors(self):
        """Fail if a task of the fleet ended with an error."""
        assert not self.errors, self.errors

    def _router(self, index):
        live = self.fleet.live_routers()
        return live[index % len(live)]

    def _sidecar(self, index):
        live = [one for one in self.fleet.all_sidecars if one.alive]
        return live[index % len(live)]

    @rule(
        router=ROUTERS,
        budget=st.sampled_from(BUDGETS),
        count=st.integers(1, 12),
        tokens=st.integers(50, 400),
        excess_tokens=st.integers(0, 300),
        wait_s=st.sampled_from([0.05, 1.0, 8.0]),
    )
    def send(self, router, budget, count, tokens, excess_tokens, wait_s):
        """Send a burst of requests through one router."""

        async def command():
            target = self._router(router)
            for _ in range(count):
                self.sent += 1
                work = RequestSpec(
                    f"k{self.sent}", budget, tokens + excess_tokens, 20, tokens - 20
                )
                self.fleet.tasks.start_soon(self._one, target, work)
            await anyio.sleep(wait_s)

        self._do(command)

    async def _one(self, router, work):
        self.outcomes[work.key] = await router.handle(work)

    @rule(duration_s=st.sampled_from([0.5, 5.0, 40.0, 300.0]))
    def let_time_pass(self, duration_s):
        """Advance the virtual time while running work continues."""

        async def command():
            await anyio.sleep(duration_s)

        self._do(command)

    @rule(
        router=ROUTERS,
        kind=st.sampled_from(
            ["unavailable", "lost_answer_share", "delayed_share", "double", "heal"]
        ),
    )
    def table_fault(self, router, kind):
        """Set or clear a fault between one router and the table."""

        async def command():
            _set_fault(self._router(router).faults, kind)

        self._do(command)

    @rule(
        sidecar=SIDECARS,
        kind=st.sampled_from(
            ["unavailable", "lost_answer_share", "delayed_share", "double", "heal"]
        ),
    )
    def sidecar_table_fault(self, sidecar, kind):
        """Set or clear a fault between one sidecar and the table."""

        async def command():
            _set_fault(self._sidecar(sidecar).faults, kind)

        self._do(command)

    @rule(unavailable=st.booleans(), duration_s=st.sampled_from([1.0, 60.0, 600.0]))
    def table_outage(self, unavailable, duration_s):
        """Start or end an outage of the table for all routers and sidecars."""

        async def command():
            for one in self.fleet.live_routers() + self.fleet.all_sidecars:
                one.faults.unavailable = unavailable
            await anyio.sleep(duration_s)

        self._do(command)

    @rule(
        kind=st.sampled_from(
            ["unavailable", "lost_answer_share", "delayed_share", "double", "heal"]
        )
    )
    def operator_fault(self, kind):
        """Set or clear a fault between the table and both operators and recovery."""

        async def command():
            _set_fault(self.fleet.operator_faults, kind)

        self._do(command)

    @rule(
        budget=st.sampled_from(BUDGETS),
        operation=st.integers(0, 3),
        times=st.integers(1, 3),
    )
    def racing_top_ups(self, budget, operation, times):
        """Run the same top-up command concurrently."""

        async def command():
            async with anyio.create_task_group() as tasks:
                for _ in range(times):
                    name = f"op{operation}"
                    tasks.start_soon(self._top_up, budget, name, 500)

        self._do(command)

    @rule(router=ROUTERS, sidecar=SIDECARS)
    def disconnect_link(self, router, sidecar):
        """Disconnect a router from a sidecar, or reconnect them."""

        async def command():
            unreachable_targets = self._router(router).unreachable_targets
            unreachable_targets.symmetric_difference_update(
                {self._sidecar(sidecar).target}
            )

        self._do(command)

    @rule(one=ROUTERS, other=ROUTERS)
    def disconnect_peers(self, one, other):
        """Partition two routers from each other, or reconnect them."""

        async def command():
            pair = {self._router(one).instance_id, self._router(other).instance_id}
            self.fleet.partitions.symmetric_difference_update({frozenset(pair)})

        self._do(command)

    @rule(router=ROUTERS, lose=st.booleans(), double=st.booleans())
    def peer_faults(self, router, lose, double):
        """Lose or duplicate the transfer requests of a router."""

        async def command():
            link = self._router(router).peers
            if link is not None:
                link.lose = 0.4 if lose else 0.0
                link.double = 0.4 if double else 0.0

        self._do(command)

    @rule(sidecar=SIDECARS)
    def disconnect_seals(self, sidecar):
        """Disconnect recovery from a sidecar, or reconnect them."""

        async def command():
            target = self._sidecar(sidecar).target
            self.fleet.unsealable.symmetric_difference_update({target})

        self._do(command)

    @rule(router=ROUTERS, recover=st.booleans())
    def kill_router(self, router, recover):
        """Kill a router and start another, with or without immediate recovery."""

        async def command():
            stopped = self._router(router)
            self.fleet.kill(stopped)
            self.fleet.add_router()
            if recover:
                await self.fleet.recover(stopped.instance_id, within_s=20)

        self._do(command)

    @rule(router=ROUTERS, racers=st.integers(1, 2))
    def pause_beyond_the_lease(self, router, racers):
        """Pause a router, recover it by one or two other routers, then resume it."""

        async def command():
            paused = self._router(router)
            paused.pause()
            async with anyio.create_task_group() as tasks:
                for _ in range(racers):
                    tasks.start_soon(self._recover, paused.instance_id)
            paused.resume()

        self._do(command)

    async def _recover(self, instance_id):
        await self.fleet.recover(instance_id, within_s=30)

    @rule(sidecar=SIDECARS, planned=st.booleans(), known=st.booleans())
    def restart_sidecar(self, sidecar, planned, known):
        """Restart a sidecar after a planned shutdown or a crash."""

        async def command():
            stopped = self._sidecar(sidecar)
            if planned and not stopped.running:
                with anyio.move_on_after(20) as scope:
                    await stopped.gate.close()
                planned_done = not scope.cancelled_caught and not stopped.running
            else:
                planned_done = False
            stopped.die()
            if not planned_done:
                self.lost_sidecars = True
            if known or planned_done:
                stopped.terminated_at_s = self.fleet.clock()
            self.fleet.add_sidecar(stopped.target)

        self._do(command)

    def teardown(self):
        """Clear all faults, close and recover the routers and check the totals."""
        if not hasattr(self, "main"):
            self.loop.close()
            return
        try:
            if not self.main.done():
                self._do(self._heal_faults)
                self._do(self._stop_all)
                self._do(self._check_totals)
        finally:
            self.main.cancel()
            asyncio.set_event_loop(None)
            self.loop.run_until_complete(
                asyncio.wait({self.main}, return_when=asyncio.ALL_COMPLETED)
            )
            self.loop.close()

    async def _heal_faults(self):
        fleet = self.fleet
        fleet.unsealable.clear()
        fleet.partitions.clear()
        _set_fault(fleet.operator_faults, "heal")
        for router in fleet.routers:
            _set_fault(router.faults, "heal")
            router.unreachable_targets.clear()
            router.resume()
        for sidecar in fleet.all_sidecars:
            _set_fault(sidecar.faults, "heal")
            if not sidecar.alive and sidecar.terminated_at_s is None:
                sidecar.terminated_at_s = fleet.clock()
        await anyio.sleep(120)

    async def _stop_all(self):
        fleet = self.fleet
        for router in fleet.live_routers():
            with anyio.fail_after(300):
                await router.budget_manager.close(fleet.clock())
        for router in fleet.routers:
            took_s = await fleet.recover(router.instance_id)
            assert took_s is not None, f"{router.instance_id} is not recovered"

    async def _check_totals(self):
        fleet = self.fleet
        assert not fleet.table.page(GRANT_PARTITION, "", None, 10).rows
        result = await read_budgets(fleet.table, BUDGETS, timeout_s=1)
        for row in result.value:
            check_budget(row)
            consumed = fleet.consumed_tokens.get(row.budget, 0)
            assert row.granted_tokens == 0, row
            assert row.settled_tokens >= consumed, f"{row} and {consumed} consumed"
            if not self.lost_sidecars:
                assert row.settled_tokens == consumed, f"{row}, {consumed} consumed"
            records = [one async for one in read_bill(fleet.table, row.budget)]
            found = reconcile(row, records)
            assert not found.doubled, found.doubled
            assert found.difference_tokens == 0, found
        self._check_bill_lines([one async for one in read_bill(fleet.table)])

    def _check_bill_lines(self, records):
        live = {router.instance_id for router in self.fleet.live_routers()}
        billed = {one.name for one in records if one.kind.value == "request"}
        assert len(live) == 3
        for key, outcome in self.outcomes.items():
            if isinstance(outcome, Refused):
                assert key not in billed, f"{key} was refused and billed"
                assert outcome.reason is not Reason.BUDGET_UNKNOWN
            elif outcome is Outcome.ANSWERED and not self._line_may_be_lost(key):
                assert key in billed, f"{key} was answered and not billed"

    def _line_may_be_lost(self, key):
        """Return whether the bill line of a request may be lost with its router."""
        return any(not router.alive for router in self.fleet.routers)


def _set_fault(faults: TableFaults, kind):
    faults.unavailable = kind == "unavailable"
    faults.lost_answer_share = 0.3 if kind == "lost_answer_share" else 0.0
    faults.delayed_share = 0.3 if kind == "delayed_share" else 0.0
    faults.double = 0.4 if kind == "double" else 0.0


class BudgetMachineTests(unittest.TestCase):
    def test_random_runs_never_overspend_and_reconcile(self):
        """Routers crash or pause, links and the table fail, answers are lost, delayed
        or duplicated, and operators race. In each run the engines never consume more
        than was prepaid, and in the end rows and bill agree exactly.
        """
        run_state_machine_as_test(
            seed(SEED)(BudgetMachine),
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                database=None,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


class TopUpRaceTests(unittest.TestCase):
    def test_concurrent_top_ups_of_a_new_budget_add_once(self):
        """Two operators top up a new budget at the same time, both repeating their
        command after a lost answer. If a repetition were counted, the budget would hold
        tokens that nobody paid for.
        """

        async def main():
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks, random.Random(3), routers=0, sidecars=0)
                fleet.operator_faults.lost_answer_share = 0.5
                fleet.operator_faults.double = 0.3
                results = []

                async def add(operation):
                    results.append(
                        await top_up(
                            fleet.view(fleet.operator_faults),
                            BUDGETS[0],
                            operation,
                            700,
                            timeout_s=1,
                            now_s=fleet.clock(),
                        )
                    )

                async with anyio.create_task_group() as operators:
                    for operation in ("a", "a", "b", "b"):
                        operators.start_soon(add, operation)
                await anyio.sleep(60)
                result = await read_budgets(fleet.table, BUDGETS[:1], timeout_s=1)
                self.assertEqual(result.value[0].topped_up_tokens, 1400)
                self.assertIs(all(isinstance(one, Done) for one in results), True)
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={"loop_factory": VirtualLoop})


if __name__ == "__main__":
    unittest.main()
