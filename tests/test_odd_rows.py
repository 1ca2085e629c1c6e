"""Rows of other writers that no decoder expects."""

from __future__ import annotations

import json
import random
import unittest
from typing import Callable

import anyio
import logbook

from endivegw.allowances.rows import decode_budget, decode_holder
from endivegw.documents import parse_document
from endivegw.gossip import PeerEntry
from endivegw.gossip.messages import decode
from endivegw.platform.configuration import decode_configuration, decode_target
from endivegw.quarantine.rows import decode_record
from endivegw.services.http_vm_list import decode_vm_list
from endivegw.services.row_store import StoredRow
from endivegw.services.unreadable_rows import UnreadableRows
from endivegw.streams.rows import decode_records, decode_versions
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events
from endivegw.types import InstanceId
from tests.odd_values import (
    ODD_VALUES,
    ROW_DOCUMENTS,
    TARGET_DOCUMENT,
    odd_documents,
    odd_rows,
)
from tests.platform_fleet import CONFIGURATION, ClientFleet, platform_fleet

_SEED = 1
_ROUTERS = 2
_REQUESTS = 20

#: Number of times that odd rows are written while routers run, and the time between.
_WRITES = 30
_WRITE_INTERVAL_S = 0.03

#: Time for which a router sends to an address that closes its socket, longer than it
#: takes until others count as unresponsive.
_BROKEN_S = 1.5

_DECODERS: dict[str, Callable[[bytes], object]] = {
    "servers": lambda value: decode_target("i-1", value),
    "router-addresses": lambda value: PeerEntry.decode("vm-9", value),
    "token-budgets": lambda value: decode_budget(value, 1),
    "token-holders": decode_holder,
    "quarantined-requests": lambda value: decode_record("k", value),
    "software-versions": decode_versions,
    "stream-records": decode_records,
}


class DecoderTests(unittest.TestCase):
    """Each decoder returns a value, or says that there is none."""

    # Guards against a row that ends a task, and with it the process.
    def test_any_row_is_decoded_or_rejected(self) -> None:
        documents = {"op": CONFIGURATION, **ROW_DOCUMENTS}
        decoders = {"op": decode_configuration, **_DECODERS}
        for table, decoder in decoders.items():
            decoder(json.dumps(documents[table]).encode())
            for value in [*ODD_VALUES, *odd_documents(documents[table])]:
                with self.subTest(table=table, value=value[:60], size=len(value)):
                    try:
                        decoder(value)
                    except ValueError as error:
                        self.assertLess(len(str(error)), 400)

    # Guards against an address to which no datagram can be sent.
    def test_an_address_of_a_router_can_be_sent_to(self) -> None:
        document = ROW_DOCUMENTS["router-addresses"]
        for host in ("", "localhost", "a\x00b", "10.0.0.256", "10.0.0.1\n", 7, None):
            with self.subTest(host=host), self.assertRaises(ValueError):
                PeerEntry.decode("vm", json.dumps({**document, "host": host}).encode())
        for port in (-1, 0, 65536, 99999, 10**400, True, "9", 9.0, None):
            with self.subTest(port=port), self.assertRaises(ValueError):
                PeerEntry.decode("vm", json.dumps({**document, "port": port}).encode())

    # Guards against a budget that seems to have more tokens than were paid for.
    def test_no_budget_has_drawn_less_than_nothing(self) -> None:
        for drawn in (-1, -(10**9), True, "1", 0.5):
            with self.subTest(drawn=drawn), self.assertRaises(ValueError):
                decode_budget(json.dumps({"drawn": drawn}).encode(), 1)

    # Guards against a datagram that is not handled like one that is malformed.
    def test_any_datagram_is_decoded_or_ignored(self) -> None:
        for message in (
            ["state", "vm", 1, {"hotel": 5}, {"e-1": [1, 2]}, 0.1, None, True],
            ["limits", "vm", 1, 10, {"hotel": 5}, False],
            ["version", "vm", "engine", "v1"],
            ["began", "vm", [["k", "engine", "v1"]]],
            ["limit", "vm", ["e-1", 1], 2.5, 1],
            ["zone", "vm", "z", True, 1],
        ):
            self.assertIsNotNone(decode(json.dumps(message).encode()), message)
            for value in [*ODD_VALUES, *odd_documents(message)]:
                decode(value)


class VmListTests(unittest.TestCase):
    """Entries of the platform's list of vms."""

    # Guards against processes that stop following the list because of one odd entry.
    def test_an_odd_entry_leaves_the_others(self) -> None:
        entry = {
            "vm": "vm-1",
            "address": "10.0.0.1",
            "availability_zone": "z",
            "role": "router",
            "state": "live",
        }
        sound = json.dumps(entry).encode()
        for odd in [*odd_documents(entry), *ODD_VALUES[3:]]:
            with self.subTest(odd=odd[:60], size=len(odd)):
                body = b'{"vms": [%b, %b, %b]}' % (odd, odd, sound)
                try:
                    vms = decode_vm_list(body)
                except ValueError:
                    # Not even the text around the entry is a document.
                    self.assertRaises(ValueError, parse_document, odd)
                    continue
                self.assertEqual(vms[-1].vm, "vm-1")


class LogTests(unittest.TestCase):
    """Rows that do not decode are logged."""

    # Guards against a log that an odd row fills, a line whenever its table is read.
    def test_a_row_is_logged_once_until_it_decodes(self) -> None:
        log = EventLog("test")
        with logbook.TestHandler() as handler:
            rows = UnreadableRows(log, events.CONFIGURATION_UNREADABLE)
            for revision in range(1, 4):
                row = StoredRow("servers", "odd", b"", revision)
                rows.record(row, ValueError("malformed"))
            self.assertEqual(len(handler.records), 1)
            rows.clear(row)
            rows.record(row, ValueError("malformed"))
            self.assertEqual(len(handler.records), 2)
            for number in range(5000):
                row = StoredRow("servers", f"odd-{number}", b"", 1)
                rows.record(row, ValueError("malformed"))
            self.assertLess(len(handler.records), 2000)


class FleetTests(unittest.TestCase):
    """Odd rows in all tables that routers read."""

    # Guards against routers that end, or are not ready, for as long as an odd row is
    # there.
    def test_routers_start_beside_odd_rows_of_each_table(self) -> None:
        async def scenario() -> None:
            for table in ROW_DOCUMENTS:
                with self.subTest(table=table):
                    async with platform_fleet(0) as fleet:
                        self.write_rows(fleet, table, odd_rows(table))
                        for _ in range(_ROUTERS):
                            fleet.start_router()
                        await fleet.wait_ready()
                        await self.check_serves(fleet)

        anyio.run(scenario)

    # Guards against routers that end, or stop following a table, when an odd row is
    # written while they run.
    def test_routers_go_on_beside_odd_rows_that_are_written(self) -> None:
        async def scenario() -> None:
            rng = random.Random(_SEED)
            values = {table: odd_rows(table) for table in ROW_DOCUMENTS}
            async with platform_fleet(_ROUTERS) as fleet:
                for _ in range(_WRITES):
                    for table, odd in values.items():
                        self.write_rows(fleet, table, rng.sample(odd, 3))
                    await anyio.sleep(_WRITE_INTERVAL_S)
                await self.check_serves(fleet)
                await self.check_follows(fleet)

        anyio.run(scenario)

    # Guards against a router that ends, or hears of no other, once a send has closed
    # its socket.
    def test_a_router_replaces_a_socket_that_breaks(self) -> None:
        async def scenario() -> None:
            async with platform_fleet(_ROUTERS) as fleet:
                link = fleet.routers[0]._parts.link
                unusable = PeerEntry("vm-9", InstanceId("vm-9-1"), "127.0.0.1", 99999)
                link.peers.put(unusable)
                await anyio.sleep(_BROKEN_S)
                link.peers.remove(unusable.vm)
                with anyio.fail_after(5.0):
                    while not link.peers.live(link._clock()):
                        await anyio.sleep(0.02)
                await self.check_serves(fleet)

        anyio.run(scenario)

    def write_rows(self, fleet: ClientFleet, table: str, values: list[bytes]) -> None:
        """Write odd rows under keys that no process uses."""
        for number, value in enumerate(values):
            fleet.store.put_value(table, f"odd-{number}", value)

    async def check_serves(self, fleet: ClientFleet) -> None:
        """Check that all routers are ready and serve requests and streams."""
        await self.wait_for_target(fleet, "p-1")
        self.assertTrue(fleet.ready)
        for number in range(_REQUESTS):
            for route, tokens in (("print", None), ("resumable", (20, 8))):
                answer = await fleet.send_request(
                    route, router=number % _ROUTERS, tokens=tokens
                )
                self.assertEqual(answer.status, 200, (route, answer.body))

    async def check_follows(self, fleet: ClientFleet) -> None:
        """Check that the routers read a target that is registered now."""
        fleet.store.put("servers", "new-1", TARGET_DOCUMENT)
        await self.wait_for_target(fleet, "new-1")

    async def wait_for_target(self, fleet: ClientFleet, name: str) -> None:
        """Wait until all routers have read a target's entry."""
        with anyio.fail_after(5.0):
            for router in fleet.routers:
                while name not in router._parts.targets.view.targets:
                    await anyio.sleep(0.02)


if __name__ == "__main__":
    unittest.main()
