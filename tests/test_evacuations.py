"""Availability zones that the operator evacuates and puts back into use."""

from __future__ import annotations

import random
import types
import unittest

import anyio
import logbook

from endivegw.daemons.evacuation_reader import EvacuationReader
from endivegw.daemons.target_reader import TargetReader
from endivegw.daemons.unknown_rows import UnknownRows
from endivegw.decisions import Dispatcher, Placement, Policy, SendQuota, WarmUpLimits
from endivegw.gossip.messages import BroadcastMessage, decode, encode
from endivegw.platform.command import PlatformDecoder
from endivegw.relay.target_pool import TargetPool
from endivegw.relay.termination_detector import TerminationDetector
from endivegw.results import Refused
from endivegw.routing import FleetConfiguration, RoutingTable, ZoneChange
from endivegw.routing.evacuations import ZoneEvacuations
from endivegw.services.row_store import StoredRow
from endivegw.telemetry import EventLog
from endivegw.types import AvailabilityZone, InstanceId
from tests.platform_fleet import ClientFleet, platform_fleet
from tests.test_target_entries import ENTRY, row, work

ENGINE = "service:engine"

WARM_UP_S = 3.0


def zone_row(zone: str, revision: int, deleted: bool = False) -> StoredRow:
    """Return a row of the operator's table that evacuates a zone."""
    return StoredRow("op", f"evacuate/{zone}", b"{}", revision, deleted)


class ZoneCase(unittest.TestCase):
    """One router with a target in each of three zones."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.dispatcher = Dispatcher(
            Policy(choices=8), AvailabilityZone("z-1"), random.Random(1)
        )
        queue = types.SimpleNamespace(dispatcher=self.dispatcher, wake=lambda: None)
        pool = TargetPool(self.clock)
        log = EventLog("router", vm="vm-0")
        terminations = TerminationDetector(
            pool, lambda start, names: None, self.clock, log
        )
        limits = {"engine": WarmUpLimits(WARM_UP_S, 12.0)}
        configuration = FleetConfiguration(1, (), {}, (), warm_ups=limits)
        context = types.SimpleNamespace(
            table=RoutingTable(configuration),
            queue=queue,
            pool=pool,
            terminations=terminations,
        )
        self.evacuations = ZoneEvacuations()
        self.targets = TargetReader(
            context,
            PlatformDecoder(),
            self.clock,
            log,
            self.evacuations,
            lambda target, rate_per_s: SendQuota(1, 1.0),
        )
        self.sent: list[ZoneChange] = []
        self.reader = EvacuationReader(
            self.evacuations,
            PlatformDecoder(),
            self.targets.on_zone_change,
            self.sent.append,
            lambda zone: len(self.targets.targets_in(zone)),
            log,
        )
        rows = [
            row(f"e-{number}", {**ENTRY, "Zone": f"z-{number}"}, number)
            for number in (1, 2, 3)
        ]
        self.targets.on_listing(tuple(rows), 3)
        self.placed = 0

    def clock(self) -> float:
        """Return the time of the test."""
        return self.now_s

    def place(self, count: int = 30) -> set[str]:
        """Place and send requests; return the targets that got any."""
        found = set()
        for _ in range(count):
            self.placed += 1
            result = self.dispatcher.submit(work(self.placed), self.now_s)
            if isinstance(result, Placement):
                name = result.item.request_id
                availability = self.dispatcher.availability
                if availability.start_send(name, result.target, self.now_s):
                    found.add(str(result.target))
        return found


class ReaderTests(ZoneCase):
    """What a router learns from the operator's table."""

    def test_an_evacuated_zone_gets_no_requests_until_its_row_is_gone(self) -> None:
        """Guards against requests to targets that are about to be shut down."""
        self.reader.on_row(zone_row("z-2", 10))
        self.assertEqual(self.place(), {"e-1", "e-3"})
        self.reader.on_row(zone_row("z-2", 11, deleted=True))
        self.assertIn("e-2", self.place())

    def test_a_listing_after_a_gap_replaces_the_known_zones(self) -> None:
        """Guards against zones that stay evacuated, or in use, after a cut feed."""
        self.reader.on_row(zone_row("z-2", 10))
        self.reader.on_listing((zone_row("z-3", 12),), 13)
        self.assertEqual(self.evacuations.evacuated(), ("z-3",))

    def test_an_older_listing_changes_nothing(self) -> None:
        """Guards against reads from a part of the store that lags behind."""
        self.reader.on_row(zone_row("z-2", 10))
        self.reader.on_listing((), 9)
        self.assertEqual(self.evacuations.evacuated(), ("z-2",))
        self.reader.on_row(zone_row("z-2", 14, deleted=True))
        self.reader.on_listing((zone_row("z-2", 10),), 12)
        self.assertEqual(self.evacuations.evacuated(), ())

    def test_several_zones_are_evacuated_at_once(self) -> None:
        """Guards against a zone that replaces another one in the router's state."""
        self.reader.on_row(zone_row("z-1", 10))
        self.reader.on_row(zone_row("z-2", 11))
        self.assertEqual(self.place(), {"e-3"})

    def test_a_restart_in_an_evacuation_learns_of_it(self) -> None:
        """Guards against a new process that uses a zone evacuated before it started."""
        self.reader.on_listing((zone_row("z-1", 10),), 20)
        self.assertEqual(self.place(), {"e-2", "e-3"})

    def test_targets_that_join_an_evacuated_zone_get_no_requests(self) -> None:
        """Guards against an evacuation that binds only the targets known then."""
        self.reader.on_row(zone_row("z-2", 10))
        self.targets.on_row(row("e-4", {**ENTRY, "Zone": "z-2"}, 12))
        self.assertEqual(self.place(), {"e-1", "e-3"})

    def test_other_rows_and_unknown_zones_change_nothing(self) -> None:
        """Guards against the operator's other rows, and against a misspelt zone."""
        with logbook.TestHandler() as lines:
            self.reader.on_row(StoredRow("op", "config", b"{}", 10))
            self.reader.on_row(StoredRow("op", "evacuate", b"{}", 11))
            self.reader.on_row(zone_row("z-9", 12))
            logged = [line.extra["targets"] for line in lines.records]
        self.assertEqual(self.place(), {"e-1", "e-2", "e-3"})
        self.assertEqual(logged, [0])

    def test_the_value_of_the_row_does_not_matter(self) -> None:
        """Guards against an evacuation ignored for a value that does not decode."""
        for number, value in enumerate((b"", b"[]", b"\xff", b"null")):
            self.reader.on_row(StoredRow("op", "evacuate/z-2", value, 10 + number))
            self.assertNotIn("e-2", self.place())

    def test_changes_are_passed_on_once(self) -> None:
        """Guards against gossip about one evacuation that never ends."""
        self.reader.on_row(zone_row("z-2", 10))
        change = ZoneChange(AvailabilityZone("z-2"), True, 10)
        self.reader.apply(change, "peer")
        self.assertEqual(self.sent, [change])
        message = BroadcastMessage(InstanceId("vm-1"), change)
        self.assertEqual(decode(encode(message)), message)


class SendTests(ZoneCase):
    """Requests that are already under way when a zone is evacuated."""

    def test_a_placed_request_is_held_back(self) -> None:
        """Guards against sends after the evacuation on connections opened before."""
        placement = self.dispatcher.submit(work(1), 0.0)
        assert isinstance(placement, Placement)
        zone = f"z-{str(placement.target)[-1]}"
        self.reader.on_row(zone_row(zone, 10))
        availability = self.dispatcher.availability
        self.assertFalse(availability.start_send("r-1", placement.target, 0.1))

    def test_callers_are_refused_at_once_if_all_zones_are_evacuated(self) -> None:
        """Guards against requests that wait for targets the operator took away."""
        for number in (1, 2, 3):
            self.reader.on_row(zone_row(f"z-{number}", 10 + number))
        refused = self.dispatcher.submit(work(1), 0.0)
        assert isinstance(refused, Refused)
        self.assertIsNotNone(refused.retry_after_s)
        self.assertIn("evacuated", refused.detail)

    def test_targets_are_cold_when_their_zone_is_back(self) -> None:
        """Guards against a herd to targets that were idle, before their next entry."""
        self.reader.on_row(zone_row("z-2", 10))
        self.now_s = 5.0
        self.reader.on_row(zone_row("z-2", 11, deleted=True))
        # An entry that the target wrote while it was still warm arrives late.
        self.targets.on_row(row("e-2", {**ENTRY, "Zone": "z-2", "Sequence": 9}, 12))
        before = self._local_count("e-2")
        self.place()
        self.assertEqual(self._local_count("e-2") - before, 1)
        self.now_s += WARM_UP_S
        self.assertIn("e-2", self.place())

    def test_a_target_whose_entry_lapsed_in_an_outage_stays_cold(self) -> None:
        """Guards against a warm-up forgotten with an entry that will be renewed."""
        cold = {**ENTRY, "Zone": "z-2", "ColdRemainingMs": 3000}
        self.targets.on_row(row("e-2", cold, 10))
        self.targets.on_unavailable()
        self.now_s = 0.5
        self.targets.on_response()
        self.targets.on_row(row("e-2", None, 11))
        self.place()
        self.assertEqual(self._local_count("e-2"), 1)

    def test_a_change_between_two_reads_counts_as_a_warm_up(self) -> None:
        """Guards against a zone whose evacuation began and ended unseen."""
        self.reader.on_row(zone_row("z-2", 11, deleted=True))
        self.place()
        self.assertEqual(self._local_count("e-2"), 1)

    def _local_count(self, target: str) -> int:
        return self.dispatcher.local_load()[target].running


class FleetTests(unittest.TestCase):
    """Evacuations of a fleet on loopback."""

    ZONES = {"e-1": "z-1", "e-2": "z-2"}

    async def _runs(self, fleet: ClientFleet, name: str, router: int = 0) -> int:
        """Return how many of some requests a target ran."""
        before = len(fleet.workers[name].runs)
        for _ in range(10):
            answer = await fleet.send_request(
                "resumable", router=router, tokens=(50, 20)
            )
            self.assertEqual(answer.status, 200)
        return len(fleet.workers[name].runs) - before

    def test_streams_go_on_and_new_requests_go_elsewhere(self) -> None:
        """Guards against an evacuation that cuts what runs in the zone."""

        async def scenario() -> None:
            async with platform_fleet(zones=self.ZONES) as fleet:
                fleet.workers["e-1"].event_pause_s = 0.1
                fleet.workers["e-2"].event_pause_s = 0.1
                statuses: list[tuple[int, bool]] = []

                async def stream() -> None:
                    answer = await fleet.send_request("chat", tokens=(50, 20))
                    statuses.append((answer.status, answer.complete))

                async with anyio.create_task_group() as tasks:
                    for _ in range(8):
                        tasks.start_soon(stream)
                    await anyio.sleep(0.2)
                    fleet.store.put("op", "evacuate/z-1", {})
                self.assertEqual(statuses, [(200, True)] * 8)
                for name in self.ZONES:
                    fleet.workers[name].event_pause_s = 0.0
                self.assertEqual(await self._runs(fleet, "e-1"), 0)
                fleet.store.drop("op", "evacuate/z-1")
                fleet.store.put("op", "evacuate/z-2", {})
                await anyio.sleep(1.2)
                self.assertEqual(await self._runs(fleet, "e-1"), 10)

        anyio.run(scenario)

    def test_a_router_without_the_store_learns_from_its_peers(self) -> None:
        """Guards against a cut-off router that goes on using the zone."""

        async def scenario() -> None:
            async with platform_fleet(routers=2, zones=self.ZONES) as fleet:
                reader = fleet.routers[1]._parts.feeds[0]
                reader._reader.on_row = lambda row: None
                reader._reader.on_listing = lambda rows, revision: None
                fleet.store.put("op", "evacuate/z-1", {})
                await anyio.sleep(0.5)
                self.assertEqual(await self._runs(fleet, "e-1", router=1), 0)

        anyio.run(scenario)

    def test_a_cold_target_survives_a_burst_of_all_routers(self) -> None:
        """Guards against a herd that crashes targets in their warm-up."""

        async def scenario() -> None:
            async with platform_fleet(routers=3, zones=self.ZONES) as fleet:
                target = fleet.targets["e-2"]
                target.warm_up_s = 1.0
                target.worker.cold_rate_per_s = 12.0
                fleet.workers["e-1"].event_pause_s = 0.05
                target.worker.terminated.set()
                await anyio.sleep(0.4)
                with anyio.move_on_after(1.0):
                    async with anyio.create_task_group() as tasks:
                        for number in range(120):
                            tasks.start_soon(self._send, fleet, number % 3)
                            await anyio.sleep(0.005)
                self.assertEqual(target.worker.cold_crashes, 0)
                self.assertGreater(len(target.worker.runs), 0)

        anyio.run(scenario)

    async def _send(self, fleet: ClientFleet, router: int) -> None:
        await fleet.send_request("resumable", router=router, tokens=(50, 20))


class UnknownRowTests(unittest.TestCase):
    """Rows of the operator that this version does not read."""

    def test_rows_that_are_not_read_are_logged_once(self) -> None:
        """Guards against an instruction of the operator that is ignored unnoticed."""
        with logbook.TestHandler() as handler:
            rows = UnknownRows(PlatformDecoder(), EventLog("router", vm="vm-0"))
            known = StoredRow("op", "config", b"{}", 1, False)
            unknown = StoredRow("op", "pause/all", b"{}", 2, False)
            rows.on_listing((known, zone_row("z-1", 1), unknown), 2)
            rows.on_row(unknown)
            logged = [record.message for record in handler.records]
        self.assertEqual(logged, ["relay-row-unknown"])


if __name__ == "__main__":
    unittest.main()
