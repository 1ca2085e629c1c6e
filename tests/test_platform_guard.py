"""Guarded calls end in time, and a service in trouble is not made worse."""

import random
import unittest

import anyio

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import Put, RowKey, Transaction
from endivegw.services.circuit import Admitted, Circuit, CircuitSettings, Held
from endivegw.services.guarded import GuardedTable, GuardedWeightStore
from endivegw.services.rate_cap import RateCap, TableShares
from endivegw_standins.memory_table import MemoryTable

KEY = RowKey("config", "revision")
WRITE = Transaction((Put(KEY, {"revision": 1}, 0),))


class ScriptedTable(MemoryTable):
    """Answer calls from a list; the memory's own answer where it has ended."""

    def __init__(self, answers=(), delay_s=0.0):
        super().__init__()
        self.answers = list(answers)
        self.delay_s = delay_s
        self.calls = 0

    async def _scripted(self, call):
        self.calls += 1
        await anyio.sleep(self.delay_s)
        if self.answers:
            answer = self.answers.pop(0)
            if answer is not None:
                return answer
        return await call()

    async def transact(self, transaction, *, timeout_s):
        return await self._scripted(
            lambda: MemoryTable.transact(self, transaction, timeout_s=timeout_s)
        )

    async def read(self, keys, *, timeout_s):
        return await self._scripted(
            lambda: MemoryTable.read(self, keys, timeout_s=timeout_s)
        )


def guarded(table):
    return GuardedTable(table, daemons=1, random_source=random.Random(3))


class CircuitTests(unittest.TestCase):
    def setUp(self):
        self.settings = CircuitSettings()
        self.circuit = Circuit(self.settings, random=random.Random(5))

    def open(self, now_s):
        for _ in range(self.settings.failures_to_open):
            self.circuit.failed(now_s)

    def test_few_failures_do_not_open(self):
        """One answer between failures starts the count again."""
        for _ in range(20):
            for _ in range(self.settings.failures_to_open - 1):
                self.assertIs(self.circuit.failed(0), False)
            self.circuit.succeeded(0)
        self.assertEqual(self.circuit.admit(0), Admitted())

    def test_one_probe_at_a_time_goes_through(self):
        """
        The table is away and a thousand requests wait for it. Callers hear so
        at once, and the table meets one call when it comes back.
        """
        self.open(100)
        self.assertIsInstance(self.circuit.admit(100.01), Held)
        admitted = [self.circuit.admit(101) for _ in range(1000)]
        self.assertEqual(admitted.count(Admitted(probe=True)), 1)
        self.assertIs(self.circuit.succeeded(101.2), True)
        self.assertEqual(self.circuit.admit(101.2), Admitted())

    def test_probes_thin_out_to_their_longest_wait(self):
        """In a long outage one daemon probes each 2 to 4 s, and not less often."""
        self.open(0)
        probes, now_s = [], 0.0
        while now_s < 600:
            if self.circuit.admit(now_s) == Admitted(probe=True):
                probes.append(now_s)
                self.circuit.failed(now_s)
            now_s += 0.05
        gaps = [b - a for a, b in zip(probes[5:], probes[6:])]
        self.assertGreaterEqual(min(gaps), 1.95)
        self.assertLessEqual(max(gaps), 4.1)

    def test_probe_whose_caller_vanished_does_not_block_for_good(self):
        """
        The request that carried the probe is cancelled by its caller. Without
        a limit nobody would ever probe again and the daemon stayed cut off.
        """
        self.open(0)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))
        self.assertIsInstance(self.circuit.admit(15), Held)
        self.assertEqual(self.circuit.admit(20.1), Admitted(probe=True))

    def test_withdrawn_probe_lets_the_next_call_probe(self):
        """A probe that never left must not hold up the next one."""
        self.open(0)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))
        self.circuit.withdrawn(10)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))


class RateCapTests(unittest.TestCase):
    def test_loop_is_slowed_to_the_share(self):
        """
        A fault makes a daemon read in a loop. At the size of 1,020 daemons
        all of them together stay within four times what the table bears, in
        any ten seconds beyond the first burst.
        """
        share = TableShares.of_fleet(1020)
        cap = RateCap(share.reads_per_s)
        now_s, calls = 0.0, 0
        while now_s < 100:
            wait_s = cap.wait_s(now_s, 5.0)
            if wait_s is None:
                now_s += 0.5
                continue
            calls += 1
            now_s += wait_s
        self.assertLessEqual(calls, share.reads_per_s * 111 + 1)
        self.assertGreaterEqual(calls, share.reads_per_s * 90)


class GuardTests(unittest.TestCase):
    def test_unknown_write_is_not_repeated(self):
        """
        The answer to a write is lost. A second try might do it twice, and so
        the caller gets "unknown" after one.
        """
        table = ScriptedTable([Unknown(Reason.ANSWER_LOST)])

        async def run():
            return await guarded(table).transact(WRITE, timeout_s=1)

        self.assertIsInstance(anyio.run(run), Unknown)
        self.assertEqual(table.calls, 1)

    def test_write_that_never_left_is_tried_again(self):
        """A connection refused once by a restarting machine is not an error."""
        table = ScriptedTable([Refused(Reason.UNREACHABLE)])

        async def run():
            return await guarded(table).transact(WRITE, timeout_s=1)

        self.assertEqual(anyio.run(run), Done(None))
        self.assertEqual(table.calls, 2)

    def test_conflict_is_an_answer(self):
        """A conflict goes back at once and never opens the circuit."""
        table = ScriptedTable([Refused(Reason.CONFLICT)] * 30)

        async def run():
            guard = guarded(table)
            for _ in range(30):
                result = await guard.transact(WRITE, timeout_s=1)
                self.assertEqual(result.reason, Reason.CONFLICT)

        anyio.run(run)
        self.assertEqual(table.calls, 30)

    def test_hanging_service_ends_in_time_and_then_at_once(self):
        """
        The service takes calls and never answers. The first callers wait for
        their timeout, later ones are refused without a wait.
        """
        table = ScriptedTable(delay_s=3600)

        async def run():
            guard = guarded(table)
            for _ in range(5):
                with anyio.fail_after(1):
                    result = await guard.transact(WRITE, timeout_s=0.02)
                self.assertEqual(result.reason, Reason.TIMEOUT)
                self.assertIsInstance(result, Unknown)
            start_s = anyio.current_time()
            result = await guard.read((KEY,), timeout_s=5)
            self.assertEqual(result.reason, Reason.CIRCUIT_OPEN)
            self.assertLess(anyio.current_time() - start_s, 0.5)
            self.assertGreater(result.retry_after_s, 0)

        anyio.run(run)
        self.assertEqual(table.calls, 5)

    def test_equal_reads_at_the_same_time_share_one_call(self):
        """A hundred requests that miss one row cost one read."""
        table = ScriptedTable(delay_s=0.05)

        async def run():
            guard = guarded(table)
            results = []

            async def one():
                results.append(await guard.read((KEY,), timeout_s=1))

            async with anyio.create_task_group() as tasks:
                for _ in range(100):
                    tasks.start_soon(one)
            self.assertEqual(results, [Done((None,))] * 100)

        anyio.run(run)
        self.assertEqual(table.calls, 1)

    def test_read_after_a_write_sees_the_write(self):
        """
        A read is on its way when the process writes the row and reads it
        again. Joining the older read would show the row without the write.
        """

        class SlowFirstRead(MemoryTable):
            first = True

            async def read(self, keys, *, timeout_s):
                result = await super().read(keys, timeout_s=timeout_s)
                if self.first:
                    self.first = False
                    await anyio.sleep(0.1)
                return result

        async def run():
            guard = guarded(SlowFirstRead())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: guard.read((KEY,), timeout_s=1))
                await anyio.sleep(0.02)
                await guard.transact(WRITE, timeout_s=1)
                ((row,),) = [(await guard.read((KEY,), timeout_s=1)).value]
                self.assertEqual(row.version, 1)

        anyio.run(run)

    def test_weight_store_that_limits_its_rate_is_asked_when_it_says(self):
        """
        Two sidecars want to load at the same moment, and the store turns one
        away for a moment. The load must not fail for it.
        """

        class Limited:
            calls = []

            async def size_bytes(self, name, *, timeout_s):
                self.calls.append(anyio.current_time())
                if len(self.calls) == 1:
                    return Refused(Reason.THROTTLED, "", 0.2)
                return Done(7)

        async def run():
            weights = GuardedWeightStore(Limited(), random_source=random.Random(1))
            return await weights.size_bytes("m", timeout_s=2)

        self.assertEqual(anyio.run(run), Done(7))
        first, second = Limited.calls
        self.assertGreaterEqual(second - first, 0.19)

    def test_cancelled_reader_leaves_no_one_waiting(self):
        """
        The request whose read others share is cancelled. The others must
        get an answer of their own.
        """
        table = ScriptedTable(delay_s=0.05)

        async def run():
            guard = guarded(table)
            results = []

            async def impatient():
                with anyio.move_on_after(0.01):
                    await guard.read((KEY,), timeout_s=1)

            async def patient():
                await anyio.sleep(0.005)
                results.append(await guard.read((KEY,), timeout_s=1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(impatient)
                tasks.start_soon(patient)
            self.assertEqual(results, [Done((None,))])

        anyio.run(run)
