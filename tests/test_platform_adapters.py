"""Tests of the platform service clients against the stand-in, over sockets."""

import unittest
from contextlib import asynccontextmanager

import anyio

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services import (
    Add,
    Check,
    Delete,
    ListedVm,
    Put,
    RowKey,
    Transaction,
    VmState,
)
from endivegw.services.dynamo_table import DynamoTable
from endivegw.services.http_vm_list import HttpVmList
from endivegw.services.s3_objects import S3Objects
from endivegw.services.signing import Credentials
from endivegw.services.weight_store import HttpWeightStore
from endivegw_standins.http_exchange import Reply, send_reply
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served

KEY = RowKey("budget", "lobby/main")
OTHER = RowKey("budget", "gate/main")


@asynccontextmanager
async def table_service(client_name="endivegw", credentials=None):
    platform = StandinPlatform()
    async with served(platform, lifespan=False) as url:
        table = DynamoTable(
            f"{url}/table", client_name=client_name, credentials=credentials
        )
        try:
            yield platform, table
        finally:
            await table.close()


async def write(table, *writes, timeout_s=2.0):
    return await table.transact(Transaction(writes), timeout_s=timeout_s)


class DynamoTableTests(unittest.TestCase):
    def test_each_kind_of_write_enforces_its_condition(self):
        """Put, add, check and delete behave as on the in-memory table."""

        async def run():
            credentials = Credentials("key", "secret")
            async with table_service(credentials=credentials) as (_, table):
                put = Put(KEY, {"available": 5, "unit": "token"}, 0)
                self.assertEqual(await write(table, put), Done(None))
                again = await write(table, put)
                self.assertEqual(again.reason, Reason.CONFLICT)
                draw = Add(KEY, {"available": -4, "granted": 4}, {"available": 4})
                self.assertEqual(await write(table, draw), Done(None))
                refused = await write(table, draw, Put(OTHER, {}, 0))
                self.assertEqual(refused.reason, Reason.CONFLICT)
                rows = (await table.read((KEY, OTHER), timeout_s=2)).value
                self.assertEqual(
                    rows[0].fields, {"available": 1, "granted": 4, "unit": "token"}
                )
                self.assertEqual(rows[0].version, 2)
                self.assertIsNone(rows[1])
                self.assertIsInstance(await write(table, Check(KEY, 1)), Refused)
                self.assertEqual(await write(table, Check(KEY, 2)), Done(None))
                self.assertIsInstance(await write(table, Delete(KEY, 1)), Refused)
                self.assertEqual(await write(table, Delete(KEY, 2)), Done(None))
                rows = (await table.read((KEY,), timeout_s=2)).value
                self.assertEqual(rows, (None,))

        anyio.run(run)

    def test_absent_field_counts_as_zero(self):
        """An addition to an absent field starts at zero, also with a minimum."""

        async def run():
            async with table_service() as (platform, table):
                await write(table, Put(KEY, {}, None))
                await write(table, Add(KEY, {"settled": 3}, {"settled": 0}))
                self.assertEqual(platform.table.get(KEY).fields, {"settled": 3})
                refused = await write(table, Add(KEY, {}, {"absent": 1}))
                self.assertEqual(refused.reason, Reason.CONFLICT)

        anyio.run(run)

    def test_paged_scan_returns_each_row_once(self):
        """A scan in pages returns each row with the prefix once, and no others."""

        async def run():
            async with table_service() as (platform, table):
                for number in range(7):
                    key = RowKey("p", f"a{number}")
                    platform.table.transact_now(Transaction((Put(key, {}, 0),)))
                await write(table, Put(RowKey("p", "b0"), {}, 0))
                names, after = [], None
                while True:
                    page = await table.scan(
                        "p", prefix="a", after=after, limit=3, timeout_s=2
                    )
                    names += [row.key.sort for row in page.value.rows]
                    after = page.value.next_sort
                    if after is None:
                        break
                self.assertEqual(names, [f"a{number}" for number in range(7)])

        anyio.run(run)

    def test_refused_connection_is_reported_as_refused(self):
        """
        The table's machine was removed and connections to it are refused. No byte
        of the write was sent, so the operator may safely retry it.
        """

        async def run():
            async with table_service() as (_, table):
                pass
            result = await write(table, Put(KEY, {}, 0))
            self.assertEqual(result.reason, Reason.UNREACHABLE)
            self.assertIsInstance(result, Refused)

        anyio.run(run)

    def test_lost_answer_is_unknown_and_took_effect(self):
        """
        A write takes effect and its response is lost. If the write were reported as
        refused, the caller would retry it and a top-up would be added twice.
        """

        async def run():
            async with table_service() as (platform, table):
                platform.faults.table.lost_answer_share = 1.0
                result = await write(
                    table, Put(KEY, {"topped_up": 9}, 0), timeout_s=0.2
                )
                self.assertEqual(result, Unknown(Reason.TIMEOUT, "no answer in 0.2 s"))
                self.assertEqual(platform.table.get(KEY).fields, {"topped_up": 9})

        anyio.run(run)

    def test_outage_leaves_writes_unknown_and_reads_refused(self):
        """
        The service returns internal errors, which do not state whether a write took
        effect. A read modifies no data and is reported as refused.
        """

        async def run():
            async with table_service() as (platform, table):
                platform.faults.table.outage = True
                result = await write(table, Put(KEY, {}, 0))
                self.assertIsInstance(result, Unknown)
                read = await table.read((KEY,), timeout_s=1)
                self.assertEqual(read.reason, Reason.UNREACHABLE)

        anyio.run(run)

    def test_partitioned_client_times_out_and_recovers(self):
        """
        A network partition isolates one daemon from the table. Its calls end within
        their timeout, and succeed after the partition has healed.
        """

        async def run():
            async with table_service(client_name="router-1") as (platform, table):
                platform.faults.table.partitioned.add("router-1")
                read = await table.read((KEY,), timeout_s=0.2)
                self.assertEqual(read.reason, Reason.TIMEOUT)
                platform.faults.table.partitioned.clear()
                read = await table.read((KEY,), timeout_s=1)
                self.assertEqual(read, Done((None,)))

        anyio.run(run)

    def test_malformed_response_is_refused(self):
        """
        An intermediate proxy responds 200 with its own HTML page. A daemon that
        crashed on the page would truncate all responses in progress.
        """

        async def page(scope, receive, send):
            await send_reply(send, Reply(200, b"<html>maintenance</html>"))

        async def run():
            async with served(page, lifespan=False) as url:
                table = DynamoTable(url)
                read = await table.read((KEY,), timeout_s=1)
                scan = await table.scan("p", timeout_s=1)
                await table.close()
                return read, scan

        for result in anyio.run(run):
            self.assertEqual(result.reason, Reason.UNREACHABLE)

    def test_read_of_many_rows_ends_within_its_timeout(self):
        """
        A read of 250 rows takes three calls to a slow table. The caller's timeout
        applies to all of them together.
        """

        async def run():
            async with table_service() as (platform, table):
                platform.faults.table.latency_s = 0.2
                keys = tuple(RowKey("p", f"{number}") for number in range(250))
                with anyio.fail_after(1.0):
                    result = await table.read(keys, timeout_s=0.5)
                self.assertEqual(result.reason, Reason.TIMEOUT)
                result = await table.read(keys, timeout_s=2.0)
                self.assertEqual(result, Done((None,) * 250))

        anyio.run(run)


class OtherServicesTests(unittest.TestCase):
    def test_conditional_object_writes(self):
        """A write with an outdated tag is refused and the newer object remains."""

        async def run():
            platform = StandinPlatform()
            async with served(platform, lifespan=False) as url:
                store = S3Objects(f"{url}/objects", credentials=Credentials("k", "s"))
                missing = await store.get("a/b", timeout_s=1)
                self.assertEqual(missing.reason, Reason.NOT_FOUND)
                first = await store.put("a/b", b"1", expected_tag="", timeout_s=1)
                again = await store.put("a/b", b"2", expected_tag="", timeout_s=1)
                self.assertEqual(again.reason, Reason.CONFLICT)
                tag = first.value
                second = await store.put("a/b", b"3", expected_tag=tag, timeout_s=1)
                self.assertIsInstance(second, Done)
                old = await store.put("a/b", b"4", expected_tag=tag, timeout_s=1)
                self.assertEqual(old.reason, Reason.CONFLICT)
                stored = await store.get("a/b", timeout_s=1)
                self.assertEqual(stored.value.body, b"3")
                await store.close()

        anyio.run(run)

    def test_vm_list_and_weight_sizes_are_read(self):
        """The VM list is parsed, and throttling by the weight store is reported."""

        async def run():
            vm = ListedVm("vm-1", "10.0.0.1", "erie", "router", VmState.LEAVING)
            platform = StandinPlatform(
                vms=[vm], weight_sizes_bytes={"m": 7}, weight_calls_per_s=1
            )
            async with served(platform, lifespan=False) as url:
                vms = HttpVmList(f"{url}/vms")
                self.assertEqual(await vms.list_vms(timeout_s=1), Done((vm,)))
                weights = HttpWeightStore(f"{url}/weights")
                self.assertEqual(await weights.size_bytes("m", timeout_s=1), Done(7))
                second = await weights.size_bytes("m", timeout_s=1)
                self.assertEqual(second.reason, Reason.THROTTLED)
                self.assertGreater(second.retry_after_s, 0)
                await vms.close()
                await weights.close()

        anyio.run(run)
