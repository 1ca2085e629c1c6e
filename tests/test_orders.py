"""Orders reach engines once each, in order, through pauses and replacements."""

import random
import unittest

import anyio
from attrs import evolve
from hypothesis import given, seed, settings, strategies as st

from endivegw.exceptions import InvariantError
from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import Row, RowKey
from endivegw.targets import EngineOrder, OrderKind
from endivegw.targets.order_desk import issue_order, list_orders
from endivegw.targets.order_keeper import KeeperPolicy, KeeperStep, OrderKeeper
from endivegw.targets.order_rows import desk_from_row, desk_key
from endivegw.targets.orders import (
    DesiredState,
    FenceLedger,
    OrderState,
    deviations,
)
from endivegw.targets.rolling import RollAction, RollPolicy, RollTarget, next_steps
from endivegw.targets.weight_slots import (
    SLOT_PARTITION,
    SlotWatch,
    WeightShare,
    take_slot,
)
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, InstanceId, TargetName
from endivegw_standins.engine_app import EngineKnobs, FakeEngine
from endivegw_standins.engine_model import StaleFence
from endivegw_standins.memory_table import MemoryTable

TARGET = TargetName("engine-1")
POLICY = KeeperPolicy(
    window_s=5.0, confirm_s=0.0, confirm_poll_s=0.001, share=WeightShare(1e9, 2)
)


class Weights:
    async def size_bytes(self, name, *, timeout_s):
        return Done(1_000_000)


class DirectEngine:
    """Reach a stand-in engine without sockets; it can hold orders back."""

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
    """Pass everything on to a table, and pause once the claim of s1 was read back."""

    def __init__(self, table):
        self.table = table
        self.pause_behind_claim = None

    async def transact(self, transaction, *, timeout_s):
        return self.table.transact_now(transaction)

    async def read(self, keys, *, timeout_s):
        result = await self.table.read(keys, timeout_s=timeout_s)
        row = result.value[0]
        if self.pause_behind_claim and row and row.fields.get("holder") == "s1":
            await self.pause_behind_claim()
        return result

    async def scan(self, partition, **options):
        return await self.table.scan(partition, **options)


class Fixture:
    def __init__(self, *, checks_fence):
        self.now_s = 0.0
        self.checks_fence = checks_fence
        knobs = EngineKnobs(checks_fence=checks_fence)
        self.engine = FakeEngine(models={"badge"}, knobs=knobs)
        self.table = MemoryTable()

    def keeper(self, name, *, table=None):
        port = DirectEngine(self.engine)
        keeper = OrderKeeper(
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
        return keeper, port

    async def give(self, kind, name, version="", operation=None):
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

    def desk(self):
        return desk_from_row(self.table.get(desk_key(TARGET)))

    async def orders(self):
        return (await list_orders(self.table, TARGET, timeout_s=1)).value


def run(scenario):
    async def main():
        with anyio.fail_after(30):
            await scenario()

    anyio.run(main)


class KeeperTests(unittest.TestCase):
    def test_orders_are_carried_out_in_turn(self):
        """Each order is sent once, under a number of its own, and confirmed."""

        async def scenario():
            fixture = Fixture(checks_fence=True)
            keeper, _ = fixture.keeper("s1")
            await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
            await fixture.give(OrderKind.LOAD_ADAPTER, "badge+lobby", "1")
            await fixture.give(OrderKind.CHANGE_ROLE, "prefill")
            steps = [await keeper.step() for _ in range(4)]
            self.assertEqual(steps, [KeeperStep.WORKED] * 3 + [KeeperStep.IDLE])
            self.assertIn("badge@2", fixture.engine.models)
            self.assertIn("badge+lobby@1", fixture.engine.models)
            self.assertEqual(fixture.engine.role, "prefill")
            self.assertEqual([one.fence for one in fixture.engine.orders], [1, 2, 3])
            states = {order.state for order in await fixture.orders()}
            self.assertEqual(states, {OrderState.DONE})

        run(scenario)

    def test_repeated_command_orders_once(self):
        """An operator's command loses its answer and is given again. Ordered
        twice, a load that was undone in between would come back.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            first = await fixture.give(OrderKind.LOAD_MODEL, "badge", "2", "op-1")
            again = await fixture.give(OrderKind.LOAD_MODEL, "badge", "2", "op-1")
            self.assertEqual(first, again)
            self.assertEqual(len(await fixture.orders()), 1)

        run(scenario)

    def test_order_survives_the_death_of_the_sidecar(self):
        """A sidecar claims an order and dies before it sends. Nobody would load
        the model, and callers would be refused until somebody notices.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
            dying, port = fixture.keeper("s1")
            port.gate = anyio.Event()
            with anyio.move_on_after(0.05):
                await dying.step()
            self.assertEqual(fixture.desk().claim.holder, "s1")
            successor, _ = fixture.keeper("s2")
            self.assertIs(await successor.step(), KeeperStep.WAITING)
            self.assertEqual(fixture.engine.orders, [])
            fixture.now_s = 6.0
            self.assertIs(await successor.step(), KeeperStep.WORKED)
            self.assertIn("badge@2", fixture.engine.models)

        run(scenario)

    def test_order_that_was_sent_before_the_death_is_not_sent_again(self):
        """A sidecar dies after its engine took an order and before that was
        written down. Loading a second time would take minutes and the weight
        store's rate.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
            await fixture.engine.apply(OrderKind.LOAD_MODEL, "badge", "2", 1)
            successor, _ = fixture.keeper("s2")
            self.assertIs(await successor.step(), KeeperStep.WORKED)
            self.assertEqual(len(fixture.engine.orders), 1)
            self.assertEqual(fixture.desk().done_sequence, 1)

        run(scenario)

    def test_paused_sidecar_wakes_to_a_closed_window(self):
        """A sidecar is paused between its claim and its send, for longer than
        its window. By the time it wakes the model has been unloaded by its
        successor, and the engine checks no numbers.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
            table = PausingTable(fixture.table)
            wake = anyio.Event()
            table.pause_behind_claim = wake.wait
            paused, _ = fixture.keeper("s1", table=table)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(paused.step)
                await anyio.sleep(0.02)
                table.pause_behind_claim = None
                await self.supersede(fixture)
                wake.set()
            self.assertNotIn("badge@2", fixture.engine.models)
            kinds = [one.kind for one in fixture.engine.orders]
            self.assertEqual(kinds, [OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL])

        run(scenario)

    def test_late_order_is_mended_where_the_engine_ignores_numbers(self):
        """A sidecar is paused inside its send: its last check lies behind it, and
        no window can stop it any more. The engine takes the late order, and
        the model that was unloaded is back until the next comparison.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            successor = await self.pause_inside_send(fixture)
            self.assertIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), KeeperStep.WORKED)
            self.assertNotIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), KeeperStep.IDLE)

        run(scenario)

    def test_late_order_is_refused_where_the_engine_checks_numbers(self):
        """The same pause inside a send, before an engine that checks numbers:
        the late order has no effect at all.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            successor = await self.pause_inside_send(fixture)
            self.assertNotIn("badge@2", fixture.engine.models)
            self.assertIs(await successor.step(), KeeperStep.IDLE)

        run(scenario)

    def test_restarted_engine_gets_its_models_back(self):
        """An engine restarts and is empty; nobody gives it any new order."""

        async def scenario():
            fixture = Fixture(checks_fence=False)
            keeper, _ = fixture.keeper("s1")
            await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
            await keeper.step()
            fixture.engine.models.clear()
            self.assertIs(await keeper.step(), KeeperStep.WORKED)
            self.assertIn("badge@2", fixture.engine.models)

        run(scenario)

    def test_order_that_never_holds_fails_and_lets_the_next_one_through(self):
        """An engine refuses an order each time. The orders behind it must not
        wait for ever.
        """

        async def scenario():
            fixture = Fixture(checks_fence=True)
            keeper, port = fixture.keeper("s1")
            await fixture.give(OrderKind.LOAD_MODEL, "broken", "1")
            await fixture.give(OrderKind.CHANGE_ROLE, "decode")
            port.order = self.refuse_broken(port.order)
            for _ in range(5):
                await keeper.step()
            states = [order.state for order in await fixture.orders()]
            self.assertEqual(states, [OrderState.FAILED, OrderState.DONE])
            self.assertEqual(fixture.desk().desired.loaded, frozenset())

        run(scenario)

    def test_table_that_went_back_orders_nothing(self):
        """The table is restored from a backup and gives numbers out again that
        were used. An engine could not tell the new orders from late old ones.
        """

        async def scenario():
            fixture = Fixture(checks_fence=False)
            keeper, _ = fixture.keeper("s1")
            for version in "23":
                await fixture.give(OrderKind.LOAD_MODEL, "badge", version)
                await keeper.step()
            fixture.table = MemoryTable()
            keeper._table = fixture.table
            await fixture.give(OrderKind.UNLOAD_MODEL, "badge", "3")
            with self.assertRaises(InvariantError):
                await keeper.step()
            self.assertEqual(len(fixture.engine.orders), 2)

        run(scenario)

    async def supersede(self, fixture):
        """Let a successor carry out the load, and an unload behind it."""
        successor, _ = fixture.keeper("s2")
        await successor.step()
        fixture.now_s += 60.0
        await fixture.give(OrderKind.UNLOAD_MODEL, "badge", "2")
        for _ in range(3):
            await successor.step()
        return successor

    async def pause_inside_send(self, fixture):
        await fixture.give(OrderKind.LOAD_MODEL, "badge", "2")
        paused, port = fixture.keeper("s1")
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
    """Lose writes and answers, and be slow, by a seeded chance."""

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


class RandomisedKeeperTests(unittest.TestCase):
    @seed(11)
    @settings(max_examples=25, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 10_000), st.booleans())
    def test_engine_ends_where_the_orders_add_up_to(self, number, checks_fence):
        """Two sidecars of one target, as after a replacement, race while writes
        are lost, answers are lost and sends are late. No number stands for two
        orders, and in the end the engine has what the orders say.
        """
        run(lambda: self.race(random.Random(number), checks_fence))

    async def race(self, rng, checks_fence):
        fixture = Fixture(checks_fence=checks_fence)
        table = FaultyTable(fixture.table, rng)
        keepers = [fixture.keeper(f"s{n}", table=table) for n in range(2)]
        async with anyio.create_task_group() as tasks:
            for keeper, port in keepers:
                tasks.start_soon(self.keep, fixture, keeper, port, rng)
            for number in range(6):
                await anyio.sleep(rng.uniform(0, 0.01))
                kind = rng.choice((OrderKind.LOAD_MODEL, OrderKind.UNLOAD_MODEL))
                await fixture.give(kind, "badge", rng.choice("23"), f"op-{number}")
            await anyio.sleep(0.03)
            tasks.cancel_scope.cancel()
        await self.settle(fixture, table)
        await self.check(fixture)

    async def keep(self, fixture, keeper, port, rng):
        send = port.order

        async def late(order):
            await anyio.sleep(rng.choice((0, 0, 0.005, 0.02)))
            return await send(order)

        port.order = late
        while True:
            await keeper.step()
            fixture.now_s += rng.uniform(0, 4)
            await anyio.sleep(0.001)

    async def settle(self, fixture, table):
        table.fault = 0.0
        last, _ = fixture.keeper("s9", table=table)
        for _ in range(40):
            fixture.now_s += 31.0
            await last.step()

    async def check(self, fixture):
        sent = {}
        for one in fixture.engine.orders:
            content = (one.kind, one.name, one.version)
            self.assertEqual(sent.setdefault(one.fence, content), content)
        desired = DesiredState()
        for order in await fixture.orders():
            self.assertIsNot(order.state, OrderState.PENDING)
            if order.state is OrderState.DONE:
                desired = desired.after(order)
        self.assertEqual(fixture.desk().desired, desired)
        self.assertEqual(deviations(desired, tuple(fixture.engine.state())), ())


class FenceTests(unittest.TestCase):
    def test_one_number_never_stands_for_two_orders(self):
        """The program itself stops before a number is used again."""
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

    def take(self, rows, watch, now_s, target="engine-1"):
        return take_slot(
            tuple(rows), self.SHARE, TargetName(target), "s1", 10**9, watch, now_s
        )

    def test_no_more_loads_than_slots(self):
        """A version change reaches many engines at once. With all slots taken
        the next load waits instead of slowing the others down.
        """
        table = MemoryTable()
        watch = SlotWatch()
        for _ in range(2):
            rows = table.page(SLOT_PARTITION, "", None, 100).rows
            table.transact_now(self.take(rows, watch, 0.0).transaction)
        rows = table.page(SLOT_PARTITION, "", None, 100).rows
        self.assertIsNone(self.take(rows, watch, 0.0))

    def test_slot_of_a_dead_sidecar_is_free_after_its_time(self):
        """A sidecar dies while it holds a slot, and would hold it for good."""
        fields = {"holder": "dead", "target": "x", "hold_ms": 30_000}
        rows = [Row(RowKey(SLOT_PARTITION, f"000{n}"), 1, fields) for n in range(2)]
        watch = SlotWatch()
        self.assertIsNone(self.take(rows, watch, 0.0))
        self.assertIsNone(self.take(rows, watch, 30.0))
        self.assertIsNotNone(self.take(rows, watch, 31.0))

    def test_two_takers_of_one_slot_exclude_each_other(self):
        """Two sidecars see the same free slot; the table lets one have it."""
        table = MemoryTable()
        first = self.take((), SlotWatch(), 0.0)
        second = self.take((), SlotWatch(), 0.0)
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
                has_new=False,
            )
            for number, (slots, share, reachable, zone) in enumerate(drawn)
        ]

    @seed(5)
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(ROLL_TARGETS, st.integers(0, 10_000))
    def test_roll_never_takes_out_what_is_in_use(self, drawn, number):
        """Demand moves while a roll goes on and some targets are silent. What
        serves stays above what is in use after each drain, and once demand is
        gone the roll comes to its end.
        """
        rng = random.Random(number)
        policy = RollPolicy()
        targets = {one.target: one for one in self.targets(drawn)}
        for turn in range(80):
            steps = next_steps(targets.values(), policy)
            in_use = sum(one.in_use for one in targets.values())
            for step in steps:
                targets[step.target] = self.take(targets[step.target], step.action)
            if any(step.action is RollAction.DRAIN for step in steps):
                left = sum(
                    one.slots
                    for one in targets.values()
                    if one.serving and one.reachable
                )
                self.assertGreaterEqual(left, in_use)
            out = sum(1 for one in targets.values() if not one.serving)
            self.assertLessEqual(out, policy.at_once)
            for name, one in targets.items():
                share = rng.random() if one.serving and turn < 30 else 0.0
                targets[name] = evolve(one, in_use=int(one.slots * share))
        for one in targets.values():
            self.assertIs(one.serving, True)
            self.assertIs(one.has_new, one.reachable)

    def take(self, one, action):
        match action:
            case RollAction.DRAIN:
                return evolve(one, serving=False)
            case RollAction.EXCHANGE:
                return evolve(one, has_new=True)
            case RollAction.RESUME:
                return evolve(one, serving=True)

    def test_busy_target_is_not_exchanged_under_its_answers(self):
        """A drained engine still writes answers; an exchange would cut them off."""
        busy = RollTarget(
            TargetName("t1"), AvailabilityZone("A"), 8, 3, False, True, False
        )
        self.assertEqual(next_steps([busy], RollPolicy()), ())
        (step,) = next_steps([evolve(busy, in_use=0)], RollPolicy())
        self.assertIs(step.action, RollAction.EXCHANGE)

    def test_saturated_model_waits(self):
        """With nearly every slot in use nothing is taken out."""
        drawn = [(10, 0.95, True, "A")] * 5
        self.assertEqual(next_steps(self.targets(drawn), RollPolicy()), ())
