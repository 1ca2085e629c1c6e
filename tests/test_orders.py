"""Tests that orders reach engines once and in order despite pauses and crashes."""

import random
import unittest

import anyio
from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import Row, RowKey
from endivegw.targets import EngineOrder, OrderKind
from endivegw.targets.order_manager import OrderManager, OrderPolicy, StepResult
from endivegw.targets.order_rows import order_queue_from_row, order_queue_key
from endivegw.targets.order_service import issue_order, list_orders
from endivegw.targets.orders import (
    DesiredState,
    FenceLedger,
    OrderState,
    repair_orders,
)
from endivegw.targets.rolling import RollAction, RollPolicy, RollTarget, next_steps
from endivegw.targets.weight_slots import (
    SLOT_PARTITION,
    SlotTracker,
    WeightShare,
    acquire_slot,
)
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, InstanceId, TargetName
from endivegw_standins.engine_app import EngineOptions, FakeEngine
from endivegw_standins.engine_model import StaleFence
from endivegw_standins.memory_table import MemoryTable

TARGET = TargetName("engine-1")
POLICY = OrderPolicy(
    window_s=5.0, confirm_s=0.0, confirm_poll_s=0.001, share=WeightShare(1e9, 2)
)


class Weights:
    async def size_bytes(self, name, *, timeout_s):
        return Done(1_000_000)


class DirectEngine:
    """Call a stand-in engine without sockets; optionally delay orders."""

    def __init__(self, engine):
        self.engine = engine
        self.gate = None
        self.lose_answer = False

    async def order(self, order):
        if self.gate is not None:
            await self.gate.wait()
        try:
            await self.engine.apply(order.kind, order.name, order.version, order.fence)
        except StaleFence as error:
            return Refused(Reason.STALE_FENCE, str(error))
        if self.lose_answer:
            return Unknown(Reason.TIMEOUT)
        return Done(None)

    async def state(self):
        return Done(tuple(self.engine.state()))


class PausingTable:
    """Forward calls to a table, and optionally pause after reading the claim of s1."""

    def __init__(self, table):
        self.table = table
        self.pause_after_claim = None

    async def transact(self, transaction, *, timeout_s):
        return self.table.transact_now(transaction)

    async def read(self, keys, *, timeout_s):
        result = await self.table.read(keys, timeout_s=timeout_s)
        row = result.value[0]
        if self.pause_after_claim and row and row.fields.get("holder") == "s1":
            await self.pause_after_claim()
        return result

    async def scan(self, partition, **options):
        return await self.table.scan(partition, **options)


class Fixture:
    def __init__(self, *, checks_fence):
        self.now_s = 0.0
        self.checks_fence = checks_fence
        options = EngineOptions(checks_fence=checks_fence)
        self.engine = FakeEngine(models={"badge"}, options=options)
        self.table = MemoryTable()

    def manager(self, name, *, table=None):
        port = DirectEngine(self.engine)
        manager = OrderManager(
            TARGET,
            InstanceId(name),
            port,
            table or self.table,
            Weights(),
            EventLog("sidecar"),
            checks_fence=self.checks_fence,
            policy=POLICY,
            clock=lambda: self.now_s,
            rng=random.Random(1),
        )
        return manager, port

    async def issue(self, kind, name, version="", operation=None):
        operation = operation or f"{kind}/{name}/{version}/{self.now_s}"
        result = await issue_order(
            self.table,
            TARGET,
            kind=kind,
            name=name,
            version=version,
            operation=operation,
            timeout_s=1,
        )
        return result.value

    def queue(self):
        return order_queue_from_row(self.table.get(order_queue_key(TARGET)))

    async def orders(self):
        return (await list_orders(self.table, TARGET, timeout_s=1)).value


def run(scenario):
    async def main():
        with anyio.fail_after(30):
            await scenario()

    anyio.run(main)


class OrderManagerTests(unittest.TestCase):
    def test_orders_are_executed_in_sequence(self):
        """Each order is sent once with its own fencing number, and is confirmed."""

        async def scenario():
            fixture = Fixture(checks_fence=True)
            manager, _ = fixture.manager("s1")
            await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
            await fixture.issue(OrderKind.LOAD_ADAPTER, "badge+lobby", "1")
            await fixture.issue(OrderKind.CHANGE_ROLE, "prefill")
            steps = [await manager.step() for _ in range(4)]
            self.assertEqual(steps, [StepResult.WORKED] * 3 + [StepResult.IDLE])
            self.assertIn("badge@2", fixture.engine.models)
            self.assertIn("badge+lobby@1", fixture.engine.models)
            self.assertEqual(fixture.engine.role, "prefill")
            self.assertEqual(
                [entry.fence for entry in fixture.engine.orders], [1, 2, 3]
            )
            states = {order.state for order in await fixture.orders()}
            self.assertEqual(states, {OrderState.DONE})

        run(scenario)

    def test_repeated_command_issues_one_order(self):
        """An operator repeats a command after its answer was lost. A second order would
        restore a load that was undone in between.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            first = await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2", "op-1")
            again = await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2", "op-1")
            self.assertEqual(first, again)
            self.assertEqual(len(await fixture.orders()), 1)

        run(scenario)

    def test_successor_executes_the_order_of_a_dead_sidecar(self):
        """A sidecar claims an order and terminates before it sends. Without a successor
        the model would not be loaded and callers would be refused.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
            dying, port = fixture.manager("s1")
            port.gate = anyio.Event()
            with anyio.move_on_after(0.05):
                await dying.step()
            self.assertEqual(fixture.queue().claim.holder, "s1")
            successor, _ = fixture.manager("s2")
            self.assertIs(await successor.step(), StepResult.WAITING)
            self.assertEqual(fixture.engine.orders, [])
            fixture.now_s = 6.0
            self.assertIs(await successor.step(), StepResult.WORKED)
            self.assertIn("badge@2", fixture.engine.models)

        run(scenario)

    def test_order_sent_by_a_dead_sidecar_is_not_sent_again(self):
        """A sidecar terminates after its engine accepted an order but before that was
        recorded. A second load would take minutes and weight store bandwidth.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
            await fixture.engine.apply(OrderKind.LOAD_MODEL, "badge", "2", 1)
            successor, _ = fixture.manager("s2")
            self.assertIs(await successor.step(), StepResult.WORKED)
            self.assertEqual(len(fixture.engine.orders), 1)
            self.assertEqual(fixture.queue().done_sequence, 1)

        run(scenario)

    def test_paused_sidecar_does_not_send_after_its_window(self):
        """A sidecar is paused between its claim and its send, beyond its window. When
        it resumes, its successor has unloaded the model, and the engine does not check
        fencing numbers.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
            table = PausingTable(fixture.table)
            wake = anyio.Event()
            table.pause_after_claim = wake.wait
            paused, _ = fixture.manager("s1", table=table)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(paused.step)
                await anyio.sleep(0.02)
                table.pause_after_claim = None
                await self.supersede(fixture)
                wake.set()
            self.assertNotIn("badge@2", fixture.engine.models)
            kinds = [entry.kind for entry in fixture.engine.orders]
            self.assertEqual(kinds, [OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL])

        run(scenario)

    def test_late_order_is_repaired_if_the_engine_ignores_fencing_numbers(self):
        """A sidecar is paused within its send, after the last check of its window. The
        engine accepts the late order, and the model that was unloaded is loaded again
        until the next comparison with the desired state.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            successor = await self.pause_inside_send(fixture)
            self.assertIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), StepResult.WORKED)
            self.assertNotIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), StepResult.IDLE)

        run(scenario)

    def test_late_order_is_refused_if_the_engine_checks_fencing_numbers(self):
        """A sidecar is paused within its send to an engine that checks fencing numbers:
        the late order has no effect.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            successor = await self.pause_inside_send(fixture)
            self.assertNotIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), StepResult.IDLE)

        run(scenario)

    def test_restarted_engine_gets_its_models_back(self):
        """An engine restarts without models, and no new order is issued."""

        async def scenario():
            fixture = Fixture(checks_fence=False)
            manager, _ = fixture.manager("s1")
            await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
            await manager.step()
            fixture.engine.models.clear()
            self.assertIs(await manager.step(), StepResult.WORKED)
            self.assertIn("badge@2", fixture.engine.models)

        run(scenario)

    def test_order_without_effect_fails_and_the_next_one_is_executed(self):
        """An engine refuses an order each time. Later orders must not wait for it
        forever.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            manager, port = fixture.manager("s1")
            await fixture.issue(OrderKind.LOAD_MODEL, "broken", "1")
            await fixture.issue(OrderKind.CHANGE_ROLE, "decode")
            port.order = self.refuse_broken(port.order)
            for _ in range(5):
                await manager.step()
            states = [order.state for order in await fixture.orders()]
            self.assertEqual(states, [OrderState.FAILED, OrderState.DONE])
            self.assertEqual(fixture.queue().desired.loaded, frozenset())

        run(scenario)

    def test_restored_table_sends_no_orders(self):
        """The table is restored from a backup and assigns fencing numbers again that
        were already used. An engine could not distinguish new orders from late ones.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            manager, _ = fixture.manager("s1")
            for version in "23":
                await fixture.issue(OrderKind.LOAD_MODEL, "badge", version)
                await manager.step()
            fixture.table = MemoryTable()
            manager._table = fixture.table
            await fixture.issue(OrderKind.UNLOAD_MODEL, "badge", "3")
            with self.assertRaises(InvariantError):
                await manager.step()
            self.assertEqual(len(fixture.engine.orders), 2)

        run(scenario)

    async def supersede(self, fixture):
        """Let a successor execute the load and a subsequent unload."""
        successor, _ = fixture.manager("s2")
        await successor.step()
        fixture.now_s += 60.0
        await fixture.issue(OrderKind.UNLOAD_MODEL, "badge", "2")
        for _ in range(3):
            await successor.step()
        return successor

    async def pause_inside_send(self, fixture):
        await fixture.issue(OrderKind.LOAD_MODEL, "badge", "2")
        paused, port = fixture.manager("s1")
        port.gate = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(paused.step)
            await anyio.sleep(0.02)
            successor = await self.supersede(fixture)
            self.assertNotIn("badge@2", fixture.engine.models)
            port.gate.set()
        return successor

    def refuse_broken(self, order_engine):
        async def order(order):
            if order.name == "broken":
                return Refused(Reason.BAD_REQUEST)
            return await order_engine(order)

        return order


class FaultyTable(PausingTable):
    """Lose writes and answers, and delay writes, at random from a seed."""

    def __init__(self, table, rng):
        super().__init__(table)
        self.rng = rng
        self.fault = 0.3

    async def transact(self, transaction, *, timeout_s):
        await anyio.sleep(self.rng.uniform(0, 0.002))
        kind = self.rng.random()
        if kind < self.fault / 2:
            return Unknown(Reason.TIMEOUT)
        result = self.table.transact_now(transaction)
        if kind < self.fault:
            return Unknown(Reason.ANSWER_LOST)
        return result


class RandomisedOrderManagerTests(unittest.TestCase):
    @seed(11)
    @settings(max_examples=25, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 10_000), st.booleans())
    def test_engine_reaches_the_desired_state(self, number, checks_fence):
        """Two sidecars of one target, as after a replacement, race while writes and
        answers are lost and sends are late. No fencing number is used for two orders,
        and the engine finally has the state that results from the orders.
        """
        run(lambda: self.race(random.Random(number), checks_fence))

    async def race(self, rng, checks_fence):
        fixture = Fixture(checks_fence=checks_fence)
        table = FaultyTable(fixture.table, rng)
        managers = [fixture.manager(f"s{n}", table=table) for n in range(2)]
        async with anyio.create_task_group() as tasks:
            for manager, port in managers:
                tasks.start_soon(self.run_steps, fixture, manager, port, rng)
            for number in range(6):
                await anyio.sleep(rng.uniform(0, 0.01))
                kind = rng.choice((OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL))
                await fixture.issue(kind, "badge", rng.choice("23"), f"op-{number}")
            await anyio.sleep(0.03)
            tasks.cancel_scope.cancel()
        await self.settle(fixture, table)
        await self.check(fixture)

    async def run_steps(self, fixture, manager, port, rng):
        send = port.order

        async def late(order):
            await anyio.sleep(rng.choice((0, 0, 0.005, 0.02)))
            return await send(order)

        port.order = late
        while True:
            await manager.step()
            fixture.now_s += rng.uniform(0, 4)
            await anyio.sleep(0.001)

    async def settle(self, fixture, table):
        table.fault = 0.0
        last, _ = fixture.manager("s9", table=table)
        for _ in range(40):
            fixture.now_s += 31.0
            await last.step()

    async def check(self, fixture):
        sent = {}
        for entry in fixture.engine.orders:
            content = (entry.kind, entry.name, entry.version)
            self.assertEqual(sent.setdefault(entry.fence, content), content)
        desired = DesiredState()
        for order in await fixture.orders():
            self.assertIsNot(order.state, OrderState.PENDING)
            if order.state is OrderState.DONE:
                desired = desired.after(order)
        self.assertEqual(fixture.queue().desired, desired)
        self.assertEqual(repair_orders(desired, tuple(fixture.engine.state())), ())


class FenceLedgerTests(unittest.TestCase):
    def test_fencing_number_is_not_used_for_two_orders(self):
        """Sending stops before a fencing number is used for another order."""
        ledger = FenceLedger()
        first = EngineOrder(OrderKind.LOAD_MODEL, "badge", "2", 4)
        ledger.bind(first)
        ledger.bind(first)
        with self.assertRaises(InvariantError):
            ledger.bind(evolve(first, name="other"))
        with self.assertRaises(InvariantError):
            ledger.bind(evolve(first, fence=3))


class WeightSlotTests(unittest.TestCase):
    SHARE = WeightShare(1e9, 2)

    def acquire(self, rows, tracker, now_s, target="engine-1"):
        return acquire_slot(
            tuple(rows), self.SHARE, TargetName(target), "s1", 10**9, tracker, now_s
        )

    def test_concurrent_loads_are_limited_to_the_slots(self):
        """A version change reaches many engines at once. With all slots held, the next
        load waits instead of reducing the bandwidth of the others.
        """
        table = MemoryTable()
        tracker = SlotTracker()
        for _ in range(2):
            rows = table.page(SLOT_PARTITION, "", None, 100).rows
            table.transact_now(self.acquire(rows, tracker, 0.0).transaction)
        rows = table.page(SLOT_PARTITION, "", None, 100).rows
        self.assertIsNone(self.acquire(rows, tracker, 0.0))

    def test_slot_of_a_dead_sidecar_expires(self):
        """A sidecar terminates while it holds a slot; the slot must become free."""
        fields = {"holder": "dead", "target": "x", "hold_ms": 30_000}
        rows = [Row(RowKey(SLOT_PARTITION, f"000{n}"), 1, fields) for n in range(2)]
        tracker = SlotTracker()
        self.assertIsNone(self.acquire(rows, tracker, 0.0))
        self.assertIsNone(self.acquire(rows, tracker, 30.0))
        self.assertIsNotNone(self.acquire(rows, tracker, 31.0))

    def test_concurrent_claims_of_one_slot_conflict(self):
        """Two sidecars see the same free slot; the table accepts only one claim."""
        table = MemoryTable()
        first = self.acquire((), SlotTracker(), 0.0)
        second = self.acquire((), SlotTracker(), 0.0)
        self.assertEqual(table.transact_now(first.transaction), Done(None))
        refused = table.transact_now(second.transaction)
        self.assertEqual(refused.reason, Reason.CONFLICT)


ROLL_TARGETS = st.lists(
    st.tuples(
        st.integers(1, 64), st.floats(0, 1), st.booleans(), st.sampled_from("ABC")
    ),
    min_size=1,
    max_size=12,
)


class RollTests(unittest.TestCase):
    def targets(self, drawn):
        return [
            RollTarget(
                TargetName(f"t{number:02d}"),
                AvailabilityZone(zone),
                slots,
                int(slots * share),
                serving=True,
                reachable=reachable,
                has_new_version=False,
            )
            for number, (slots, share, reachable, zone) in enumerate(drawn)
        ]

    @seed(5)
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(ROLL_TARGETS, st.integers(0, 10_000))
    def test_roll_keeps_the_capacity_in_use(self, drawn, number):
        """Demand varies during a roll and some targets are unresponsive. After each
        drain the serving capacity covers the slots in use, and the roll completes once
        there is no more demand.
        """
        rng = random.Random(number)
        policy = RollPolicy()
        targets = {entry.target: entry for entry in self.targets(drawn)}
        for turn in range(80):
            steps = next_steps(targets.values(), policy)
            in_use = sum(entry.in_use for entry in targets.values())
            for step in steps:
                targets[step.target] = self.apply(targets[step.target], step.action)
            if any(step.action is RollAction.DRAIN for step in steps):
                left = sum(
                    entry.slots
                    for entry in targets.values()
                    if entry.serving and entry.reachable
                )
                self.assertGreaterEqual(left, in_use)
            out = sum(1 for entry in targets.values() if not entry.serving)
            self.assertLessEqual(out, policy.max_out_of_service)
            for name, entry in targets.items():
                share = rng.random() if entry.serving and turn < 30 else 0.0
                targets[name] = evolve(entry, in_use=int(entry.slots * share))
        for entry in targets.values():
            self.assertIs(entry.serving, True)
            self.assertIs(entry.has_new_version, entry.reachable)

    def apply(self, entry, action):
        match action:
            case RollAction.DRAIN:
                return evolve(entry, serving=False)
            case RollAction.EXCHANGE:
                return evolve(entry, has_new_version=True)
            case RollAction.RESUME:
                return evolve(entry, serving=True)

    def test_busy_target_is_not_exchanged(self):
        """A drained engine still has answers in progress that an exchange truncates."""
        busy = RollTarget(
            TargetName("t1"), AvailabilityZone("A"), 8, 3, False, True, False
        )
        self.assertEqual(next_steps([busy], RollPolicy()), ())
        (step,) = next_steps([evolve(busy, in_use=0)], RollPolicy())
        self.assertIs(step.action, RollAction.EXCHANGE)

    def test_roll_of_a_saturated_model_waits(self):
        """With nearly every slot in use no target is drained."""
        drawn = [(10, 0.95, True, "A")] * 5
        self.assertEqual(next_steps(self.targets(drawn), RollPolicy()), ())
