"""Records of which software version began a stream, in fleets of any size."""

from __future__ import annotations

import json
import random
import unittest
from typing import Awaitable, Callable

import anyio

from endivegw.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    BroadcastMessage,
    StreamQuery,
    StreamResponse,
    StreamsBegun,
    VersionQuery,
    VersionResponse,
    decode,
    encode,
    stream_datagrams,
)
from endivegw.platform.configuration import DecodeError, decode_target
from endivegw.platform.wire import PlatformWire
from endivegw.results import Refused
from endivegw.streams import (
    SoleVersion,
    StreamRecord,
    StreamRecords,
    VersionHistory,
    VersionSeen,
    stream_key,
)
from endivegw.streams.rows import (
    RECORDS_TABLE,
    VERSIONS_TABLE,
    decode_records,
    decode_versions,
    encode_records,
    encode_versions,
)
from endivegw.types import ClientAccountName, InstanceId
from endivegw_standins.platform_target import TARGET_ENTRY
from endivegw_standins.stream_world import SERVICE, StreamWorld
from endivegw_standins.virtual_time import VirtualLoop

#: Numbers of routers.
SIZES = (4, 26, 68, 300)

#: Streams of one fleet.
STREAMS = 40

TABLES = (VERSIONS_TABLE, RECORDS_TABLE)

#: Seconds after which a stream's record survives the loss of all routers.
SAVED_WITHIN_S = 1.5

#: Maximum size of a row of records.
MAX_ROW_BYTES = 32 * 1024

#: Maximum datagrams for one stream: one to each keeper.
MAX_RECORD_DATAGRAMS = 3

#: Writes of the only version of a service, one for each of the routers that write it.
MAX_VERSION_WRITES = 2

Scenario = Callable[[StreamWorld], Awaitable[None]]


def run_world(body: Scenario, routers: int, loss: float = 0.0) -> StreamWorld:
    """Run a scenario on a fleet in virtual time and return the fleet."""
    worlds: list[StreamWorld] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            world = StreamWorld(random.Random(routers), tasks)
            world.network.loss = loss
            worlds.append(world)
            for number in range(routers):
                world.start(f"vm-{number}")
            await anyio.sleep(0.5)
            await body(world)
            tasks.cancel_scope.cancel()

    anyio.run(run, backend_options={"loop_factory": VirtualLoop})
    return worlds[0]


async def begin_and_resume(
    world: StreamWorld, version: str, pause_s: float, streams: int = STREAMS
) -> None:
    """Begin each stream at a router that is killed, and resume it at another one."""
    rng = world.rng
    for _ in range(streams):
        vm, other = rng.sample(sorted(world.routers), 2)
        attempt_id = world.begin(vm, version)
        await anyio.sleep(0.005)
        world.kill(vm)
        await anyio.sleep(pause_s)
        await world.resume(other, attempt_id, version)
        world.start(vm)
        await anyio.sleep(0.05)


class FleetTests(unittest.TestCase):
    """Callers resume streams of routers that were killed."""

    def test_streams_of_killed_routers_go_on_at_their_version(self) -> None:
        """Guards against streams that no other router can continue."""

        async def scenario(world: StreamWorld) -> None:
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            for version in ("v1", "v2"):
                await begin_and_resume(world, version, 0.05, STREAMS // 4)
                await begin_and_resume(world, version, 2.0, 2)

        for routers in SIZES:
            with self.subTest(routers=routers):
                world = run_world(scenario, routers)
                self.assertEqual(set(world.outcomes), {"continued"})

    def test_streams_are_never_joined_although_datagrams_are_lost(self) -> None:
        """Guards against a guess where the record of a stream was lost."""

        async def scenario(world: StreamWorld) -> None:
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            await begin_and_resume(world, "v2", 0.05)

        for routers in SIZES[:3]:
            with self.subTest(routers=routers):
                world = run_world(scenario, routers, loss=0.3)
                self.assertEqual(world.outcomes["joined"], 0)
                self.assertGreater(world.outcomes["continued"], STREAMS / 2)

    def test_streams_that_began_before_a_second_version_go_on(self) -> None:
        """Guards against streams that are refused because a rollout has begun."""

        async def scenario(world: StreamWorld) -> None:
            vms = sorted(world.routers)[: len(world.routers) // 2]
            streams = [(vm, world.begin(vm, "v1")) for vm in vms]
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            for vm in vms:
                world.kill(vm)
            others = sorted(world.routers)
            for _, attempt_id in streams:
                await world.resume(world.rng.choice(others), attempt_id, "v1")

        for routers in SIZES:
            with self.subTest(routers=routers):
                outcomes = run_world(scenario, routers).outcomes
                self.assertEqual(outcomes["joined"], 0)
                self.assertGreater(outcomes["continued"], outcomes["refused"])

    def test_nothing_is_guessed_after_the_loss_of_all_routers(self) -> None:
        """Guards against a version that is gone and that no router remembers."""

        async def scenario(world: StreamWorld) -> None:
            vms = sorted(world.routers)
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            attempt_ids = [world.begin(vm, "v1") for vm in vms]
            world.set_versions("v2")
            await anyio.sleep(1.0)
            for vm in vms:
                world.kill(vm)
            for vm in vms:
                world.start(f"{vm}-new")
            await anyio.sleep(0.5)
            for vm, attempt_id in zip(vms, attempt_ids):
                await world.resume(f"{vm}-new", attempt_id, "v1")

        world = run_world(scenario, 4)
        self.assertEqual(world.outcomes, {"refused": 4})

    def test_streams_go_on_after_the_loss_of_all_routers(self) -> None:
        """Guards against records that are lost with the processes that hold them."""

        async def scenario(world: StreamWorld) -> None:
            rng, vms = world.rng, sorted(world.routers)
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            versions = {}
            for _ in range(STREAMS):
                version = rng.choice(("v1", "v2"))
                versions[world.begin(rng.choice(vms), version)] = version
            await anyio.sleep(SAVED_WITHIN_S)
            for vm in vms:
                world.kill(vm)
            await anyio.sleep(1.0)
            for vm in vms:
                world.start(vm)
                await anyio.sleep(rng.random() * 2.0 / len(vms))
            await anyio.sleep(0.5)
            for attempt_id, version in versions.items():
                await world.resume(rng.choice(vms), attempt_id, version)

        for routers in (1, *SIZES[:2]):
            with self.subTest(routers=routers):
                outcomes = run_world(scenario, routers).outcomes
                self.assertEqual(outcomes, {"continued": STREAMS})

    def test_records_are_saved_after_writes_that_were_not_answered(self) -> None:
        """Guards against a row that is never written again after a store outage."""

        async def scenario(world: StreamWorld) -> None:
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            for faults in (world.store.unanswered, world.store.cut, world.store.late):
                world.begin("vm-0", "v1")
                faults.add("vm-0")
                await anyio.sleep(3.0)
                faults.clear()
            attempt_id = world.begin("vm-0", "v2")
            await anyio.sleep(2 * SAVED_WITHIN_S)
            world.kill("vm-0")
            world.start("vm-0")
            await anyio.sleep(0.5)
            await world.resume("vm-0", attempt_id, "v2")

        self.assertEqual(run_world(scenario, 1).outcomes, {"continued": 1})

    def test_a_row_is_written_at_intervals_and_is_bounded(self) -> None:
        """Guards against writes and rows that grow with the number of streams."""

        async def scenario(world: StreamWorld) -> None:
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            for _ in range(10):
                revision = world.store.revision
                for _ in range(500):
                    world.begin("vm-0", "v1")
                await anyio.sleep(SAVED_WITHIN_S)
                self.assertLessEqual(world.store.revision - revision, 2)

        rows = run_world(scenario, 1).store.rows
        value = rows[RECORDS_TABLE, "vm-0"].value
        self.assertLessEqual(len(value), MAX_ROW_BYTES)
        self.assertEqual(len(decode_records(value)), 1500)

    def test_streams_of_the_only_version_go_on_after_the_loss_of_all(self) -> None:
        """Guards against refusals where no other version has served."""

        async def scenario(world: StreamWorld) -> None:
            vms = sorted(world.routers)
            attempt_ids = [world.begin(vm, "v1") for vm in vms]
            for vm in vms:
                world.kill(vm)
            for vm in vms:
                world.start(vm)
            await anyio.sleep(0.5)
            for vm, attempt_id in zip(vms, attempt_ids):
                await world.resume(vm, attempt_id, "v1")

        world = run_world(scenario, 4)
        self.assertEqual(world.outcomes, {"continued": 4})
        # Nothing about streams, and the version only when it changes.
        rows = [key for key in world.store.rows if key[0] in TABLES]
        self.assertEqual(rows, [(VERSIONS_TABLE, SERVICE)])
        self.assertLessEqual(world.store.revision, MAX_VERSION_WRITES)

    # Guards against streams of the only version that go on at another one, which took
    # its place while no router ran.
    def test_a_version_that_changes_while_no_router_runs_joins_no_streams(self) -> None:
        async def scenario(world: StreamWorld) -> None:
            vms = sorted(world.routers)
            attempt_ids = [world.begin(vm, "v1") for vm in vms]
            for vm in vms:
                world.kill(vm)
            world.set_versions("v2")
            for vm in vms:
                world.start(vm)
            await anyio.sleep(0.5)
            for vm, attempt_id in zip(vms, attempt_ids):
                await world.resume(vm, attempt_id, "v1")

        self.assertEqual(run_world(scenario, 4).outcomes, {"refused": 4})

    # Guards against a version that is forgotten because its successor's first entry
    # and the loss of all routers fell together.
    def test_a_loss_at_the_moment_of_a_second_version_joins_no_streams(self) -> None:
        async def scenario(world: StreamWorld) -> None:
            vms = sorted(world.routers)
            attempt_ids = [world.begin(vm, "v1") for vm in vms]
            world.store.cut.update(vms)
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            for vm in vms:
                world.kill(vm)
            world.store.cut.clear()
            world.set_versions("v2")
            for vm in vms:
                world.start(vm)
            await anyio.sleep(0.5)
            for vm, attempt_id in zip(vms, attempt_ids):
                await world.resume(vm, attempt_id, "v1")

        self.assertEqual(run_world(scenario, 4).outcomes, {"refused": 4})

    def test_a_router_without_registry_and_peers_does_not_guess(self) -> None:
        """Guards against a router out of touch that does not know of a version."""

        async def scenario(world: StreamWorld) -> None:
            attempt_id = world.begin("vm-0", "v2")
            world.routers["vm-1"].unavailable_s = 3.0
            world.network.groups["vm-1"] = 1
            await anyio.sleep(2.0)
            await world.resume("vm-1", attempt_id, "v2")

        self.assertEqual(run_world(scenario, 4).outcomes, {"refused": 1})

    def test_a_router_without_registry_learns_of_versions_from_its_peers(self) -> None:
        """Guards against a router that resumes at the only version it has read."""

        async def scenario(world: StreamWorld) -> None:
            cut = world.routers.pop("vm-1")
            world.set_versions("v1", "v2")
            await anyio.sleep(0.5)
            world.routers["vm-1"] = cut
            attempt_id = world.begin("vm-0", "v2")
            await anyio.sleep(0.05)
            await world.resume("vm-1", attempt_id, "v2")

        self.assertEqual(run_world(scenario, 4).outcomes, {"continued": 1})

    def test_the_cost_of_a_stream_does_not_grow_with_the_fleet(self) -> None:
        """Guards against records that go to all routers, or that are sent in vain."""

        async def count(world: StreamWorld) -> int:
            before = world.network.sent
            await anyio.sleep(0.001)
            idle = world.network.sent - before
            before = world.network.sent
            for _ in range(STREAMS):
                world.begin("vm-0", "v1")
            await anyio.sleep(0.001)
            return world.network.sent - before - idle

        for routers in (26, 300):
            counts: list[int] = []

            async def scenario(world: StreamWorld) -> None:
                # Between two of the reports that routers send regularly.
                await anyio.sleep(0.0005)
                counts.append(await count(world))
                world.set_versions("v1", "v2")
                await anyio.sleep(0.8005)
                counts.append(await count(world))

            run_world(scenario, routers)
            with self.subTest(routers=routers, counts=counts):
                self.assertLessEqual(counts[0], 0)
                self.assertGreater(counts[1], 0)
                self.assertLessEqual(counts[1], MAX_RECORD_DATAGRAMS * STREAMS)


class HistoryTests(unittest.TestCase):
    """Versions that may have begun a stream which a caller resumes."""

    def test_a_version_counts_until_its_streams_cannot_be_resumed(self) -> None:
        """Guards against a version that is forgotten as soon as it is gone."""
        history = VersionHistory(60.0)
        history.register(SERVICE, frozenset({"v1"}), 0.0)
        self.assertEqual(history.sole_version(SERVICE, 0.0), "v1")
        history.register(SERVICE, frozenset({"v1", "v2"}), 10.0)
        self.assertIsNone(history.sole_version(SERVICE, 10.0))
        history.register(SERVICE, frozenset({"v2"}), 20.0)
        self.assertIsNone(history.sole_version(SERVICE, 79.0))
        self.assertEqual(history.sole_version(SERVICE, 81.0), "v2")

    def test_versions_of_a_service_are_bounded(self) -> None:
        """Guards against memory that grows with the versions that ever served."""
        history = VersionHistory(60.0)
        for number in range(1000):
            history.register(SERVICE, frozenset({f"v{number}"}), number * 0.01)
        self.assertLess(len(history.versions(SERVICE, 10.0)), 100)

    def test_records_expire_and_are_bounded(self) -> None:
        """Guards against memory that grows with the streams that ever began."""
        records = StreamRecords(60.0)
        for number in range(20_000):
            key = stream_key(None, f"s-{number}")
            records.add(StreamRecord(key, SERVICE, "v1"), 0.0)
        self.assertLess(len(records), 20_000)
        self.assertIsNotNone(records.find(stream_key(None, "s-19999"), 59.0))
        self.assertIsNone(records.find(stream_key(None, "s-19999"), 61.0))

    def test_accounts_do_not_find_streams_of_each_other(self) -> None:
        """Guards against an account that learns of the streams of another."""
        names = [ClientAccountName("a"), ClientAccountName("b"), None]
        self.assertEqual(len({stream_key(name, "s-1") for name in names}), 3)


class CodecTests(unittest.TestCase):
    """Datagrams, rows and header fields."""

    def test_messages_are_decoded_as_they_were_encoded(self) -> None:
        """Guards against messages that routers of one version do not understand."""
        sender, key = InstanceId("vm-1"), stream_key(None, "s-1")
        for message in (
            StreamsBegun(sender, (StreamRecord(key, SERVICE, "v1"),)),
            StreamQuery(sender, 7, key),
            VersionQuery(sender, 7, SERVICE),
            VersionResponse(sender, 7, SoleVersion("v1", True)),
            VersionResponse(sender, 7, SoleVersion(None)),
            StreamResponse(sender, 7, None),
            StreamResponse(sender, 7, "v1"),
            BroadcastMessage(sender, VersionSeen(SERVICE, "v1")),
        ):
            self.assertEqual(decode(encode(message)), message)
        self.assertIsNone(decode(b'["began","vm-1",[["x"]]]'))
        self.assertIsNone(decode(b'["began","vm-1",7]'))

    def test_datagrams_are_not_fragmented(self) -> None:
        """Guards against records that are lost because their datagram is too large."""
        records = [
            StreamRecord(stream_key(None, f"s-{number}"), "é" * 40, "v" * 64)
            for number in range(100)
        ]
        datagrams = stream_datagrams(InstanceId("vm-1"), records)
        self.assertLessEqual(max(map(len, datagrams)), MAX_DATAGRAM_BYTES)
        decoded = [decode(datagram) for datagram in datagrams]
        found = [record for part in decoded for record in part.records]
        self.assertEqual(found, records)

    def test_rows_are_decoded_as_they_were_encoded(self) -> None:
        """Guards against a row that stops a router from starting."""
        versions = {"v1": 12, "v2": None}
        self.assertEqual(decode_versions(encode_versions(versions)), versions)
        for value in (b"", b"[]", b"7", b'{"v1": "x"}', b'{"v1": []}'):
            with self.assertRaises(ValueError):
                decode_versions(value)
        records = [
            StreamRecord(stream_key(None, f"s-{number}"), SERVICE, f"v{number % 2}")
            for number in range(4)
        ]
        found = decode_records(encode_records(records))
        self.assertCountEqual(found, records)
        for value in (b"", b"[]", b"7", b'{"a": "x"}', b'{"a": {"v1": 7}}'):
            with self.assertRaises(ValueError):
                decode_records(value)

    def test_the_attempt_that_is_resumed_is_read(self) -> None:
        """Guards against field values that stop a router or are taken for an id."""

        def resumes(*values: bytes) -> object:
            fields = [(b"resumes", value) for value in values]
            found = PlatformWire().read_caller_fields(fields)
            return found if isinstance(found, Refused) else found.resumes

        self.assertEqual(resumes(b"s-1"), "s-1")
        self.assertEqual(resumes(b"s-1", b" s-1"), "s-1")
        self.assertIsNone(resumes())
        self.assertIsNone(resumes(b" "))
        self.assertIsInstance(resumes(b"s-1", b"s-2"), Refused)
        long = b"\xff" * 10_000
        found = resumes(long)
        self.assertEqual(len(stream_key(None, str(found))), 16)

    def test_the_version_of_an_entry_is_bounded(self) -> None:
        """Guards against an entry that makes records of streams too large to send."""

        def version(value: object) -> str:
            entry = {**TARGET_ENTRY, "Service": "s", "Zone": "z", "born": 1}
            entry |= {"Address": "10.0.0.1:1", "Version": value}
            return decode_target("t", json.dumps(entry).encode()).software_version

        self.assertEqual(version("v1.2"), "v1.2")
        self.assertEqual(len(version("v" * 10_000)), 64)
        self.assertNotEqual(version("v" * 10_000), version("v" * 9_999))
        for value in ("", None, 7):
            with self.assertRaises(DecodeError):
                version(value)


if __name__ == "__main__":
    unittest.main()
