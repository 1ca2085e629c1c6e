"""Validation of settings; errors name file, section and key."""

import pathlib
import tempfile
import unittest

from endivegw.exceptions import EXIT_USAGE, SettingsError
from endivegw.settings import load_router_settings, load_sidecar_settings
from endivegw.settings.direct import load_direct_router_settings
from endivegw.settings.mechanisms import Mechanisms

ROUTER = """
[process]
vm = entry-1
availability_zone = Erie
[http]
listen = 127.0.0.1:8080
[peers]
listen = 127.0.0.1:7401
plain = yes
[platform]
table_url = http://127.0.0.1:9000
object_store_url = http://127.0.0.1:9001
vm_list_url = http://127.0.0.1:9002/vms
"""


class SettingsTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.ini"

    def load(self, text):
        self.path.write_text(text)
        return load_router_settings(self.path)

    def assert_problem(self, text, *parts):
        with self.assertRaises(SettingsError) as caught:
            self.load(text)
        message = caught.exception.message
        self.assertEqual(caught.exception.exit_code, EXIT_USAGE)
        self.assertNotIn("\n", message)
        for part in (str(self.path), *parts):
            self.assertIn(part, message)

    def test_limits_on_callers_are_read(self):
        limits = self.load(ROUTER).http
        self.assertEqual(
            (limits.held_mb, limits.max_connections, limits.head_timeout_s),
            (96.0, None, 10.0),
        )
        more = "held_mb = 32\nmax_connections = 500\nhead_timeout_s = 3\n[peers]"
        limits = self.load(ROUTER.replace("[peers]", more)).http
        self.assertEqual(
            (limits.held_mb, limits.max_connections, limits.head_timeout_s),
            (32.0, 500, 3.0),
        )

    def test_values_that_are_no_limits_are_refused(self):
        for key in ("held_mb", "max_connections", "head_timeout_s"):
            for value in ("0", "-1", "much"):
                more = f"{key} = {value}\n[peers]"
                self.assert_problem(ROUTER.replace("[peers]", more), f"[http] {key}")

    def test_complete_file_loads(self):
        """A complete file loads as typed values with the documented defaults."""
        settings = self.load(ROUTER)
        self.assertEqual(str(settings.listen), "127.0.0.1:8080")
        self.assertEqual(settings.process.drain_bound_s, 600.0)
        self.assertIs(settings.peers.plain, True)

    def test_misspelt_key_is_named(self):
        """An unknown key is refused rather than ignored."""
        text = ROUTER.replace("vm = entry-1", "vm = entry-1\ndrain_bounds = 3")
        self.assert_problem(text, "[process] drain_bounds", "not a known setting")

    def test_value_with_unit_is_refused(self):
        """A duration with a unit is refused; the error names the expected unit."""
        text = ROUTER.replace("vm = entry-1", "vm = entry-1\ndrain_bound_s = 10min")
        self.assert_problem(text, "[process] drain_bound_s", "seconds", "10min")

    def test_host_name_is_not_an_address(self):
        """Addresses are IP addresses; a host name is refused."""
        text = ROUTER.replace("listen = 127.0.0.1:8080", "listen = entry:8080")
        self.assert_problem(text, "[http] listen", "IP:PORT")

    def test_missing_key_is_named(self):
        """The error for a missing required key names the key and its section."""
        self.assert_problem(
            ROUTER.replace("availability_zone = Erie", ""),
            "[process] availability_zone",
            "missing",
        )

    def test_unauthenticated_peers_require_an_explicit_setting(self):
        """Without TLS files, a shared key or ``plain = yes``, no daemon starts."""
        self.assert_problem(ROUTER.replace("plain = yes", ""), "[peers] plain")

    def test_unspecified_peer_address_is_refused(self):
        """A process that listens on all addresses needs an explicit peer address.

        Peers that were given 0.0.0.0 would send claims and heartbeats to themselves.
        """
        text = ROUTER.replace("listen = 127.0.0.1:7401", "listen = 0.0.0.0:7401")
        self.assert_problem(text, "[peers] address")
        with_address = text.replace(
            "plain = yes", "plain = yes\naddress = 10.0.0.7:7401"
        )
        self.assertEqual(str(self.load(with_address).peers.address), "10.0.0.7:7401")

    def test_sidecar_without_a_target_is_refused(self):
        """The settings of a sidecar must name its target."""
        self.path.write_text(ROUTER)
        with self.assertRaises(SettingsError) as caught:
            load_sidecar_settings(self.path)
        self.assertIn("[target] name", caught.exception.message)


DIRECT = """
[process]
vm = entry-1
availability_zone = Erie
[listen]
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
peers = 127.0.0.1:7401
[store]
address = 127.0.0.1:9000
"""


class MechanismTests(unittest.TestCase):
    """Single mechanisms can be disabled, to measure their effect."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "router.ini"

    def load(self, section):
        self.path.write_text(DIRECT + section)
        return load_direct_router_settings(self.path)

    def test_mechanisms_are_enabled_by_default(self):
        """All are enabled by default; disabling one leaves the others enabled."""
        self.assertEqual(self.load("").mechanisms, Mechanisms())
        found = self.load("[mechanisms]\ncopies = no\n").mechanisms
        self.assertEqual(found, Mechanisms(copies=False))

    def test_the_limit_on_answers_is_read(self):
        """A limit that would refuse every answer, or none, is refused."""
        self.assertEqual(self.load("").max_answer_mb, 16.0)
        self.assertEqual(self.load("[answers]\nmax_mb = 40\n").max_answer_mb, 40.0)
        for value in ("0", "-1", "inf", "much"):
            with self.subTest(value=value), self.assertRaises(SettingsError):
                self.load(f"[answers]\nmax_mb = {value}\n")

    def test_invalid_switches_are_refused_in_one_line(self):
        """A misspelt switch would otherwise leave its mechanism enabled."""
        for section, part in (
            ("[mechanisms]\ncopys = no\n", "[mechanisms] copys: is not a known"),
            ("[mechanisms]\ncopies = off-ish\n", "[mechanisms] copies: expected yes"),
        ):
            with self.assertRaises(SettingsError) as caught:
                self.load(section)
            self.assertIn(f"{self.path}: {part}", caught.exception.message)
            self.assertNotIn("\n", caught.exception.message)
            self.assertEqual(caught.exception.exit_code, EXIT_USAGE)
