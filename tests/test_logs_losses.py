"""``endivegw logs losses``: lost and late requests by cause and time window."""

from __future__ import annotations

import json
import unittest

from click.testing import CliRunner

from endivegw.cli import main
from endivegw.telemetry.losses import (
    LatencyThresholds,
    Loss,
    WindowCounts,
    count_losses,
)
from endivegw.telemetry.request_trace import read_log_lines

ENOUGH_TOKENS, NO_TOKENS = 9_000, 0


def line(second: float, event: int, **fields: object) -> str:
    """Return a log line in the format of a router."""
    at = f"2026-01-29T21:58:{second:06.3f}+00:00"
    return json.dumps({"time": at, "event": event, "vm": "front-1", **fields})


def ended(second: float, request_id: str, outcome: str, **more: object) -> str:
    """Return the line for the end of a request."""
    fields = {"service": "engine", "first_s": 0.1, "longest_gap_s": 0.05, **more}
    return line(second, 9104, request_id=request_id, outcome=outcome, **fields)


def refused(second: float, request_id: str, **more: object) -> list[str]:
    """Return the lines of a request that was refused for lack of tokens."""
    token_fields = {
        "tokens": 9_000,
        "shortage": "tokens",
        "hand_tokens": NO_TOKENS,
        "spare_tokens": NO_TOKENS,
        "left_tokens": NO_TOKENS,
        "exhausted": False,
        "waited_s": 0.0,
        **more,
    }
    return [
        line(second, 9004, request_id=request_id, **token_fields),
        ended(second, request_id, "budget_unavailable"),
    ]


def losses(
    lines: list[str], **thresholds: float
) -> tuple[list[Loss], dict[str, WindowCounts]]:
    """Return the losses by cause, and the results in windows of two seconds."""
    result = count_losses(read_log_lines(lines), 2.0, LatencyThresholds(**thresholds))
    return list(result.causes), dict(result.windows)


class LossesTests(unittest.TestCase):
    """Losses are counted by cause and time window.

    Single log lines do not show which cause lost the most requests, and when.
    """

    def test_token_refusals_are_grouped_by_where_the_tokens_were(self) -> None:
        """Callers get the same status 503 for each of these causes."""
        cases = {
            "tokens: none known elsewhere, nobody asked": {},
            "tokens: in the store, nobody asked": {"left_tokens": ENOUGH_TOKENS},
            "tokens: at peers, in vain": {
                "spare_tokens": ENOUGH_TOKENS,
                "waited_s": 0.1,
            },
            "tokens: too few known elsewhere, nobody asked": {"spare_tokens": 1},
            "tokens: the budget is spent": {"exhausted": True},
            "tokens: held, the limit does not cover them yet": {"shortage": "limit"},
        }
        for cause, fields in cases.items():
            with self.subTest(cause=cause):
                causes, _ = losses(refused(1.0, "r-1", **fields))
                self.assertEqual(causes, [Loss("engine", cause, 1, 9_000)])

    def test_answers_are_late_only_by_the_thresholds(self) -> None:
        """A stream with a long pause is late even if its first part was in time."""
        lines = [
            ended(1.0, "r-1", "answered", first_s=0.7, reserved_tokens=500),
            ended(1.1, "r-2", "answered", longest_gap_s=0.4, reserved_tokens=300),
            ended(1.2, "r-3", "answered"),
        ]
        self.assertEqual(losses(lines)[0], [])
        causes, windows = losses(lines, first_s=0.6, pause_s=0.3)
        first = Loss("engine", "late: first part", 1, 500)
        self.assertEqual(causes, [first, Loss("engine", "late: pause", 1, 300)])
        self.assertEqual(windows, {"21:58:00.0": WindowCounts(served=1, late=2)})

    def test_windows_show_when_requests_were_lost(self) -> None:
        """Callers that disconnected are not counted; the largest cause comes first."""
        lines = [
            *refused(0.5, "r-1"),
            ended(1.0, "r-2", "answered"),
            ended(2.5, "r-3", "answer_lost"),
            ended(2.6, "r-4", "answer_lost"),
            ended(2.7, "r-5", "caller-left"),
        ]
        causes, windows = losses(lines)
        self.assertEqual([loss.requests for loss in causes], [2, 1])
        first, second = WindowCounts(served=1, refused=1), WindowCounts(failed=2)
        self.assertEqual(windows, {"21:58:00.0": first, "21:58:02.0": second})

    def test_command_reads_standard_input(self) -> None:
        """The output is text tables or one JSON object."""
        text = "\n".join(refused(0.5, "r-1")) + "\n"
        runner = CliRunner()
        shown = runner.invoke(main, ["logs", "losses"], input=text)
        self.assertEqual(shown.exit_code, 0)
        self.assertIn("none known elsewhere", shown.output)
        command = ["logs", "losses", "--output", "json"]
        result = json.loads(runner.invoke(main, command, input=text).output)
        self.assertEqual(result["windows"]["21:58:00.0"]["refused"], 1)


if __name__ == "__main__":
    unittest.main()
