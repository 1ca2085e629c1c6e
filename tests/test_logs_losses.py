"""``endivegw logs losses``: what callers lost, by cause and time."""

from __future__ import annotations

import json
import unittest

from click.testing import CliRunner

from endivegw.cli import main
from endivegw.telemetry.losses import Aims, Loss, WindowEnds, losses_of
from endivegw.telemetry.story import read_lines

ENOUGH, NONE = 9_000, 0


def line(second: float, event: int, **fields: object) -> str:
    """Return a line as a router writes it."""
    at = f"2026-01-29T21:58:{second:06.3f}+00:00"
    return json.dumps({"time": at, "event": event, "vm": "front-1", **fields})


def ended(second: float, request_id: str, outcome: str, **more: object) -> str:
    """Return the line that ends a request."""
    fields = {"service": "engine", "first_s": 0.1, "longest_gap_s": 0.05, **more}
    return line(second, 9104, request_id=request_id, outcome=outcome, **fields)


def refused(second: float, request_id: str, **more: object) -> list[str]:
    """Return the lines of a request that got no tokens."""
    short = {
        "tokens": 9_000,
        "shortage": "tokens",
        "hand_tokens": NONE,
        "spare_tokens": NONE,
        "left_tokens": NONE,
        "exhausted": False,
        "waited_s": 0.0,
        **more,
    }
    return [
        line(second, 9004, request_id=request_id, **short),
        ended(second, request_id, "budget_unavailable"),
    ]


def losses(lines: list[str], **aims: float) -> tuple[list[Loss], dict[str, WindowEnds]]:
    """Return the causes and the windows of two seconds."""
    found = losses_of(read_lines(lines), 2.0, Aims(**aims))
    return list(found.causes), dict(found.windows)


class LossesTests(unittest.TestCase):
    """
    A day's callers were refused by the hundred, and each log line by itself looks
    right. Which of the causes cost most, and when, is what decides the next mend.
    """

    def test_refusals_for_tokens_are_told_by_where_the_tokens_were(self) -> None:
        """All of them are 503 to their callers."""
        cases = {
            "tokens: none known elsewhere, nobody asked": {},
            "tokens: in the store, nobody asked": {"left_tokens": ENOUGH},
            "tokens: at peers, in vain": {"spare_tokens": ENOUGH, "waited_s": 0.1},
            "tokens: too few known elsewhere, nobody asked": {"spare_tokens": 1},
            "tokens: the budget is spent": {"exhausted": True},
            "tokens: held, the limit does not cover them yet": {"shortage": "limit"},
        }
        for cause, fields in cases.items():
            with self.subTest(cause=cause):
                causes, _ = losses(refused(1.0, "r-1", **fields))
                self.assertEqual(causes, [Loss("engine", cause, 1, 9_000)])

    def test_answers_are_late_by_the_aims_alone(self) -> None:
        """A stream that stood still is late although it began in time."""
        lines = [
            ended(1.0, "r-1", "answered", first_s=0.7, reserved_tokens=500),
            ended(1.1, "r-2", "answered", longest_gap_s=0.4, reserved_tokens=300),
            ended(1.2, "r-3", "answered"),
        ]
        self.assertEqual(losses(lines)[0], [])
        causes, windows = losses(lines, first_s=0.6, pause_s=0.3)
        first = Loss("engine", "late: first part", 1, 500)
        self.assertEqual(causes, [first, Loss("engine", "late: pause", 1, 300)])
        self.assertEqual(windows, {"21:58:00.0": WindowEnds(served=1, late=2)})

    def test_windows_tell_when(self) -> None:
        """Who left by itself has lost nothing; the dearest cause comes first."""
        lines = [
            *refused(0.5, "r-1"),
            ended(1.0, "r-2", "answered"),
            ended(2.5, "r-3", "answer_lost"),
            ended(2.6, "r-4", "answer_lost"),
            ended(2.7, "r-5", "caller-left"),
        ]
        causes, windows = losses(lines)
        self.assertEqual([loss.requests for loss in causes], [2, 1])
        first, second = WindowEnds(served=1, refused=1), WindowEnds(failed=2)
        self.assertEqual(windows, {"21:58:00.0": first, "21:58:02.0": second})

    def test_the_command_reads_standard_input(self) -> None:
        """Tables for people, one object for programs."""
        text = "\n".join(refused(0.5, "r-1")) + "\n"
        runner = CliRunner()
        shown = runner.invoke(main, ["logs", "losses"], input=text)
        self.assertEqual(shown.exit_code, 0)
        self.assertIn("none known elsewhere", shown.output)
        command = ["logs", "losses", "--output", "json"]
        found = json.loads(runner.invoke(main, command, input=text).output)
        self.assertEqual(found["windows"]["21:58:00.0"]["refused"], 1)


if __name__ == "__main__":
    unittest.main()
