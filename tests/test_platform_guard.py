"""Guarded calls end within their timeout and do not overload a failing service."""

import random
import unittest

import anyio

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import Put, RowKey, Transaction
from endivegw.services.circuit import (
    Admitted,
    CircuitBreaker,
    CircuitBreakerSettings,
    Rejected,
)
from endivegw.services.guarded import GuardedTable, GuardedWeightStore
from endivegw.services.rate_cap import RateLimiter, TableShares
from endivegw_standins.memory_table import MemoryTable

KEY = RowKey("config", "revision")
WRITE = Transaction((Put(KEY, {"revision": 1}, 0),))


class ScriptedTable(MemoryTable):
    """Return results from a list, and the in-memory table's results after its end."""

    def __init__(self, results=(), delay_s=0.0):
        super().__init__()
        self.results = list(results)
        self.delay_s = delay_s
        self.calls = 0

    async def _scripted(self, call):
        self.calls += 1
        await anyio.sleep(self.delay_s)
        if self.results:
            result = self.results.pop(0)
            if result is not None:
                return result
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
        self.settings = CircuitBreakerSettings()
        self.circuit = CircuitBreaker(self.settings, random=random.Random(5))

    def open_circuit(self, now_s):
        for _ in range(self.settings.failures_to_open):
            self.circuit.record_failure(now_s)

    def test_few_failures_do_not_open(self):
        """One answered call between failures resets the count."""
        for _ in range(20):
            for _ in range(self.settings.failures_to_open - 1):
                self.assertIs(self.circuit.record_failure(0), False)
            self.circuit.record_success(0)
        self.assertEqual(self.circuit.admit(0), Admitted())

    def test_one_probe_at_a_time_is_admitted(self):
        """
        The table is unavailable while a thousand requests need it. Callers are
        refused immediately, and the recovering table receives a single call.
        """
        self.open_circuit(100)
        self.assertIsInstance(self.circuit.admit(100.01), Rejected)
        admitted = [self.circuit.admit(101) for _ in range(1000)]
        self.assertEqual(admitted.count(Admitted(probe=True)), 1)
        self.assertIs(self.circuit.record_success(101.2), True)
        self.assertEqual(self.circuit.admit(101.2), Admitted())

    def test_probe_delay_grows_to_its_maximum(self):
        """In a long outage one daemon probes every 2 to 4 s, and not less often."""
        self.open_circuit(0)
        probes, now_s = [], 0.0
        while now_s < 600:
            if self.circuit.admit(now_s) == Admitted(probe=True):
                probes.append(now_s)
                self.circuit.record_failure(now_s)
            now_s += 0.05
        gaps = [b - a for a, b in zip(probes[5:], probes[6:])]
        self.assertGreaterEqual(min(gaps), 1.95)
        self.assertLessEqual(max(gaps), 4.1)

    def test_abandoned_probe_expires(self):
        """
        The caller cancels the request that carried the probe, and no outcome is
        recorded. Without a timeout for probes the circuit would stay open indefinitely.
        """
        self.open_circuit(0)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))
        self.assertIsInstance(self.circuit.admit(15), Rejected)
        self.assertEqual(self.circuit.admit(20.1), Admitted(probe=True))

    def test_withdrawn_probe_lets_the_next_call_probe(self):
        """A probe that was never sent must not delay the next one."""
        self.open_circuit(0)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))
        self.circuit.record_withdrawal(10)
        self.assertEqual(self.circuit.admit(10), Admitted(probe=True))


class RateCapTests(unittest.TestCase):
    def test_read_loop_is_limited_to_the_share(self):
        """
        A fault makes a daemon read in a loop. In a fleet of 1,020 daemons, all of
        them together stay within four times the table's capacity in any ten seconds
        after the first burst.
        """
        share = TableShares.of_fleet(1020)
        limiter = RateLimiter(share.reads_per_s)
        now_s, calls = 0.0, 0
        while now_s < 100:
            wait_s = limiter.wait_s(now_s, 5.0)
            if wait_s is None:
                now_s += 0.5
                continue
            calls += 1
            now_s += wait_s
        self.assertLessEqual(calls, share.reads_per_s * 111 + 1)
        self.assertGreaterEqual(calls, share.reads_per_s * 90)


class GuardTests(unittest.TestCase):
    def test_unknown_write_is_not_retried(self):
        """
        The response to a write is lost. A retry could apply the write twice, so the
        caller gets "unknown" after one attempt.
        """
        table = ScriptedTable([Unknown(Reason.ANSWER_LOST)])

        async def run():
            return await guarded(table).transact(WRITE, timeout_s=1)

        self.assertIsInstance(anyio.run(run), Unknown)
        self.assertEqual(table.calls, 1)

    def test_unsent_write_is_retried(self):
        """A restarting machine refuses one connection; the caller sees no error."""
        table = ScriptedTable([Refused(Reason.UNREACHABLE)])

        async def run():
            return await guarded(table).transact(WRITE, timeout_s=1)

        self.assertEqual(anyio.run(run), Done(None))
        self.assertEqual(table.calls, 2)

    def test_conflict_is_not_a_failure(self):
        """A conflict is returned without a retry and never opens the circuit."""
        table = ScriptedTable([Refused(Reason.CONFLICT)] * 30)

        async def run():
            guard = guarded(table)
            for _ in range(30):
                result = await guard.transact(WRITE, timeout_s=1)
                self.assertEqual(result.reason, Reason.CONFLICT)

        anyio.run(run)
        self.assertEqual(table.calls, 30)

    def test_unresponsive_service_opens_the_circuit(self):
        """
        The service accepts calls and never responds. The first callers wait for
        their timeout, later callers are refused immediately.
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

    def test_concurrent_equal_reads_share_one_call(self):
        """A hundred requests that miss the same row cause one read."""
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
        A read is in progress when the process writes the row and reads it again.
        Joining the older read would return the row without the write.
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

    def test_throttled_weight_store_call_is_retried(self):
        """
        Two sidecars load at the same time, and the store throttles one of them with
        a retry delay. The load must not fail because of it.
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

    def test_cancelled_shared_read_is_repeated(self):
        """
        The request whose read others share is cancelled. The other requests must
        still get a result.
        """
        table = ScriptedTable(delay_s=0.05)

        async def run():
            guard = guarded(table)
            results = []

            async def cancelled_reader():
                with anyio.move_on_after(0.01):
                    await guard.read((KEY,), timeout_s=1)

            async def waiting_reader():
                await anyio.sleep(0.005)
                results.append(await guard.read((KEY,), timeout_s=1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancelled_reader)
                tasks.start_soon(waiting_reader)
            self.assertEqual(results, [Done((None,))])

        anyio.run(run)
