"""The adapters of the platform's services against the stand-in, over sockets."""

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
    def test_each_kind_of_write_keeps_its_condition(self):
        """Put, add, check and delete act as the in-memory table does."""

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

    def test_field_that_was_never_written_counts_as_zero(self):
        """An addition to an absent field starts at zero, also with a minimum."""

        async def run():
            async with table_service() as (platform, table):
                await write(table, Put(KEY, {}, None))
                await write(table, Add(KEY, {"settled": 3}, {"settled": 0}))
                self.assertEqual(platform.table.get(KEY).fields, {"settled": 3})
                refused = await write(table, Add(KEY, {}, {"absent": 1}))
                self.assertEqual(refused.reason, Reason.CONFLICT)

        anyio.run(run)

    def test_pages_of_a_listing_join_up(self):
        """A listing in pages returns each row once, and only of its prefix."""

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

    def test_nothing_listening_is_refused(self):
        """
        The table's machine is gone, and connections to it are refused. No
        byte of the write left, so the operator may safely try again.
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
        The write takes effect and its answer is lost on the way back. A caller
        that took it for refused would repeat it, and a top-up would count twice.
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
        The service answers with internal errors. It does not say whether a
        write came before the error; a read changes nothing and is refused.
        """

        async def run():
            async with table_service() as (platform, table):
                platform.faults.table.outage = True
                result = await write(table, Put(KEY, {}, 0))
                self.assertIsInstance(result, Unknown)
                read = await table.read((KEY,), timeout_s=1)
                self.assertEqual(read.reason, Reason.UNREACHABLE)

        anyio.run(run)

    def test_cut_off_client_times_out_while_others_are_served(self):
        """
        A partition separates one daemon from the table. Its calls end within
        their time, and the daemons on the other side notice nothing.
        """

        async def run():
            async with table_service(client_name="router-1") as (platform, table):
                platform.faults.table.cut_off.add("router-1")
                read = await table.read((KEY,), timeout_s=0.2)
                self.assertEqual(read.reason, Reason.TIMEOUT)
                platform.faults.table.cut_off.clear()
                read = await table.read((KEY,), timeout_s=1)
                self.assertEqual(read, Done((None,)))

        anyio.run(run)

    def test_answer_that_is_not_the_tables_is_refused(self):
        """
        A proxy in between answers 200 with a page of its own. A daemon that
        fell over it would end the answers in progress.
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

    def test_read_of_many_rows_ends_within_its_time(self):
        """
        A read of 250 rows takes three calls of a slow table. The caller's
        time is for all of them together.
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
    def test_objects_are_written_under_their_tag(self):
        """A writer with an old tag is refused and the newer object stays."""

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

    def test_list_of_machines_and_sizes_of_weights_are_read(self):
        """The list comes back typed; the weight store limits its rate."""

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
