"""Tests of the capacity that a router's settings state, and that routers state."""

from __future__ import annotations

import math
import pathlib
import tempfile
import unittest

from endivegw.capacity import Headroom, RouterCapacity, ZoneRouter
from endivegw.exceptions import SettingsError
from endivegw.gossip.messages import PeerState, decode, encode
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.settings.direct import (
    DirectRouterSettings,
    load_direct_router_settings,
)
from endivegw.types import AvailabilityZone, InstanceId

_SETTINGS = """
[process]
vm = vm-1
availability_zone = a
[listen]
callers = 127.0.0.1:7000
ready = 127.0.0.1:7001
peers = 127.0.0.1:7002
[store]
address = 127.0.0.1:7003
"""


class CapacitySettingsTests(unittest.TestCase):
    """The section ``[capacity]`` of a direct router's settings."""

    def _load(self, section: str) -> RouterCapacity | None:
        return self._load_settings(section).capacity

    def _load_settings(self, section: str) -> DirectRouterSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "router.ini"
            path.write_text(_SETTINGS + section)
            return load_direct_router_settings(path)

    def test_capacity_is_optional(self) -> None:
        self.assertIsNone(self._load(""))
        self.assertIsNone(self._load("[capacity]\nlink_mbps =\n"))

    def test_capacity_is_read(self) -> None:
        section = (
            "[capacity]\nprocessor_share = 0.5\nprocessor_cores = 3\nlink_mbps = 5.0\n"
            "memory_mb = 200\ndescriptors = 4200\n"
        )
        self.assertEqual(self._load(section), RouterCapacity(1.5, 5.0, 200.0, 4200))

    def test_limits_on_callers_are_read(self) -> None:
        settings = self._load_settings("")
        self.assertEqual(
            (settings.max_body_s, settings.max_connections, settings.held_share),
            (120.0, None, 0.25),
        )
        section = (
            "[callers]\nmax_body_s = 30\nmax_connections = 500\n"
            "[capacity]\nheld_share = 0.2\nmemory_mb = 200\n"
        )
        settings = self._load_settings(section)
        self.assertEqual(
            (settings.max_body_s, settings.max_connections, settings.held_share),
            (30.0, 500, 0.2),
        )

    # Guards against limits that would refuse every caller.
    def test_values_that_are_no_limits_are_refused(self) -> None:
        for section, key in (
            ("callers", "max_body_s"),
            ("callers", "max_connections"),
            ("capacity", "held_share"),
        ):
            for value in ("0", "-1", "much", "nan"):
                with self.subTest(key=key, value=value):
                    with self.assertRaises(SettingsError) as caught:
                        self._load_settings(f"[{section}]\n{key} = {value}\n")
                    self.assertIn(f"[{section}] {key}", str(caught.exception))

    # Guards against a capacity that would refuse every request, or none.
    def test_values_that_are_no_capacity_are_refused(self) -> None:
        for key in ("processor_share", "link_mbps", "memory_mb", "descriptors"):
            for value in ("0", "-1", "much", "nan", "inf"):
                with self.subTest(key=key, value=value):
                    with self.assertRaises(SettingsError) as caught:
                        self._load(f"[capacity]\n{key} = {value}\n")
                    self.assertIn(
                        "router.ini: [capacity] " + key, str(caught.exception)
                    )


class HeadroomMessageTests(unittest.TestCase):
    """Routers state what they can carry beyond their load."""

    def test_headroom_is_decoded_unchanged(self) -> None:
        for headroom in (
            Headroom(5000.0, 0.25, in_rotation=False),
            Headroom(math.inf, math.inf),
        ):
            state = PeerState(InstanceId("a"), 3, headroom=headroom)
            self.assertEqual(decode(encode(state)), state)

    # Guards against a message that older routers or other deployments cannot read.
    def test_message_without_capacity_is_as_before(self) -> None:
        data = encode(PeerState(InstanceId("a"), 3, interval_s=0.1))
        self.assertEqual(data, b'["state","a",3,{},{},0.1]')

    def test_routers_of_the_own_zone_are_returned(self) -> None:
        peers = PeerTable("vm-0", AvailabilityZone("z"))
        headroom = Headroom(5000.0, 0.25)
        for vm, zone in (("vm-1", "z"), ("vm-2", "z"), ("vm-3", "other")):
            entry = PeerEntry(
                vm, InstanceId(f"i-{vm}"), "10.0.0.1", 7000, AvailabilityZone(zone)
            )
            peers.put(entry)
        peers.receive_state(PeerState(InstanceId("i-vm-1"), 1, headroom=headroom), 1.0)
        self.assertEqual(
            peers.zone_routers(1.5),
            [
                ZoneRouter("vm-1", headroom, responsive=True),
                ZoneRouter("vm-2", None, responsive=False),
            ],
        )


if __name__ == "__main__":
    unittest.main()
