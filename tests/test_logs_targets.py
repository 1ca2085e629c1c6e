"""``endivegw logs targets``: evacuated zones and targets that warm up."""

from __future__ import annotations

import json
import unittest

from click.testing import CliRunner

from endivegw.cli import main
from endivegw.telemetry.request_trace import read_log_lines
from endivegw.telemetry.software_versions import side_by_side
from endivegw.telemetry.target_limits import TargetLimit, current_limits


def line(second: float, event: int, vm: str = "front-1", **fields: object) -> str:
    """Return a log line in the format of a router."""
    at = f"2026-01-29T21:58:{second:06.3f}+00:00"
    return json.dumps({"time": at, "event": event, "vm": vm, **fields})


def zone(second: float, evacuated: bool, vm: str = "front-1") -> str:
    """Return the line of a zone that was evacuated or put back into use."""
    return line(second, 9118, vm, availability_zone="z-1", evacuated=evacuated)


def warm_up(second: float, left_s: float) -> str:
    """Return the line of a target that warms up."""
    return line(second, 9117, target="e-1", left_s=left_s)


def limits(*lines: str) -> list[TargetLimit]:
    """Return the limits in force after the lines."""
    return current_limits(read_log_lines(lines))


class TargetLimitTests(unittest.TestCase):
    """What an operator sees of targets that get no requests, or few."""

    def test_an_evacuated_zone_is_shown_until_it_is_back(self) -> None:
        """The number of routers shows whether all of them have learned of it."""
        lines = [zone(1, True), zone(2, True, "front-2")]
        (found,) = limits(*lines)
        self.assertEqual((found.name, found.routers), ("z-1", 2))
        self.assertIn("58:01", found.since)
        self.assertEqual(limits(*lines, zone(3, False))[0].routers, 1)

    def test_a_warm_up_is_shown_until_it_ends(self) -> None:
        """The end of a warm-up has no line of its own."""
        (found,) = limits(warm_up(1, 3.0), line(3, 9104))
        self.assertEqual((found.kind, found.name), ("warming up", "e-1"))
        self.assertEqual(limits(warm_up(1, 3.0), line(5, 9104)), [])

    def test_a_limit_is_shown_until_its_target_states_none(self) -> None:
        """Guards against operators who do not see why a target gets few requests."""
        lines = [
            line(1, 9125, target="e-1", limit_per_s=2.0),
            line(2, 9125, "front-2", target="e-1", limit_per_s=1.0),
            line(3, 9125, target="e-1", limit_per_s=1.0),
        ]
        (found,) = limits(*lines)
        self.assertEqual((found.kind, found.name), ("limited", "e-1"))
        self.assertEqual(found.routers, 2)
        self.assertIn("58:01", found.since)
        ended = [
            line(4, 9125, vm, target="e-1", limit_per_s=None)
            for vm in ("front-1", "front-2")
        ]
        self.assertEqual(limits(*lines, *ended), [])

    def test_a_restarted_router_has_no_limits(self) -> None:
        """Guards against limits of a process that has ended."""
        self.assertEqual(limits(zone(1, True), line(2, 9120)), [])

    def test_the_command_prints_a_table(self) -> None:
        """The command reads logs from standard input."""
        text = zone(1, True) + "\n" + warm_up(1, 3.0) + "\n"
        result = CliRunner().invoke(main, ["logs", "targets"], text)
        self.assertEqual(result.exit_code, 0)
        self.assertIn("evacuated zone", result.output)
        self.assertIn("warming up", result.output)


class SoftwareVersionTests(unittest.TestCase):
    """What an operator sees of software versions that serve side by side."""

    def _line(self, second: float, target: str, version: str, change: str) -> str:
        return line(
            second,
            9112,
            target=target,
            service="engine",
            software_version=version,
            change=change,
        )

    def test_versions_are_shown_while_there_are_several(self) -> None:
        """Guards against operators who do not see why streams wait or are refused."""
        lines = [
            self._line(1, "e-1", "v1", "added"),
            self._line(2, "e-2", "v2", "added"),
            self._line(3, "e-3", "v2", "added"),
        ]
        served = side_by_side(read_log_lines(lines))
        found = [(entry.software_version, entry.targets) for entry in served]
        self.assertEqual(found, [("v1", 1), ("v2", 2)])
        gone = self._line(4, "e-1", "v1", "removed")
        self.assertEqual(side_by_side(read_log_lines([*lines, gone])), [])
        result = CliRunner().invoke(main, ["logs", "targets"], input="\n".join(lines))
        self.assertIn("engine v2, 2 targets", result.output)


if __name__ == "__main__":
    unittest.main()
