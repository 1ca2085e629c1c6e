"""``endivegw explain`` and ``logs summary``: traces and outcomes of requests."""

from __future__ import annotations

import json
import unittest

from click.testing import CliRunner

from endivegw.cli import main
from endivegw.telemetry.request_trace import (
    count_outcomes,
    read_log_lines,
    trace_request,
)


def line(second: float, event: int, **fields: object) -> str:
    """Return a log line of a router, with a prefix as log collectors add it."""
    at = f"2026-01-29T21:58:{second:06.3f}+00:00"
    document = {"time": at, "event": event, "vm": "front-1", "message": "m", **fields}
    return "front-1 " + json.dumps(document) + "\n"


def ended(second: float, request_id: str, outcome: str, **more: object) -> str:
    """Return the line for the end of a request."""
    fields = {
        "client_account": "hotel",
        "target": "",
        "sends": 0,
        "events": 0,
        "first_s": None,
        "longest_gap_s": 0.0,
        "took_s": 0.01,
        "charged_tokens": 0,
        "cut": False,
    }
    fields.update(more)
    return line(second, 9104, request_id=request_id, outcome=outcome, **fields)


TOKENS_REFUSED = [
    line(2.0, 9007, reason="timeout"),
    line(
        2.5,
        9004,
        request_id="r-1",
        client_account="hotel",
        tokens=1667,
        shortage="tokens",
        hand_tokens=1188,
        reserved_tokens=0,
        spare_tokens=900,
        left_tokens=0,
        exhausted=False,
        store_age_s=1.2,
        waited_s=0.1,
    ),
    ended(2.6, "r-1", "budget_unavailable"),
]

TRUNCATED = [
    line(
        3.0,
        9102,
        request_id="r-2",
        target="e-1",
        why="least-loaded",
        load=0.2,
        cached_tokens=0,
        queued_s=0.0,
        finish_s=0.4,
    ),
    line(
        3.4,
        9103,
        request_id="r-2",
        target="e-1",
        address="10.0.0.1:80",
        end="lost",
        detail="the connection ended",
        events=3,
    ),
    ended(3.4, "r-2", "answer_lost", target="e-1", sends=1, events=3, cut=True),
]

PAUSED = [
    ended(
        5.0,
        "r-3",
        "answered",
        target="e-1",
        sends=1,
        events=9,
        first_s=0.04,
        longest_gap_s=0.346,
        took_s=1.5,
    )
]

WAITING = [
    line(6.0, 9133, request_id="r-4", target="e-1", events=2, beside=None),
    line(
        6.5,
        9132,
        cause="cancelled",
        by_caller=False,
        request_ids=["r-4", "r-5"],
        unanswered=2,
        answer_bytes=40,
        unparsed_bytes=0,
        age_s=3.2,
        idle_s=None,
        version=14,
        version_age_s=1.6,
        draining=True,
    ),
]

NOISE = ["no json\n", "{broken\n", '{"event": 1}\n', line(2.1, 9005, tokens=5)]


class ExplainTests(unittest.TestCase):
    """The causes of three kinds of failures are found from log lines alone."""

    def explain(self, request_id: str, *arguments: str, code: int = 0) -> str:
        """Run the command on all lines, which are not in order of time."""
        lines = PAUSED + WAITING + TRUNCATED + NOISE + TOKENS_REFUSED
        text = "".join(lines)
        result = CliRunner().invoke(main, ["explain", request_id, *arguments], text)
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def test_refused_for_lack_of_tokens(self) -> None:
        """The store was unavailable, and peers' tokens did not arrive in time.

        The caller was refused although its budget had tokens left.
        """
        output = self.explain("r-1")
        self.assertIn("The store does not answer (timeout)", output)
        cause = output.splitlines()[-1]
        self.assertIn("could not be reached in time", cause)
        self.assertIn("1667 tokens were needed", cause)
        self.assertNotIn("Borrowed 5", output)

    def test_truncated_answer(self) -> None:
        """The connection to the target ended during the answer."""
        cause = self.explain("r-2").splitlines()[-1]
        self.assertIn("the connection ended; 3 events", cause)

    def test_answered_late(self) -> None:
        """An answer paused because its target processed another, long prompt."""
        cause = self.explain("r-3").splitlines()[-1]
        self.assertIn("longest pause was 0.346 s", cause)

    def test_request_that_was_read_and_never_handled(self) -> None:
        """A request waited behind another one on a connection that ended."""
        output = self.explain("r-5")
        self.assertNotIn("sent nothing", output)
        cause = output.splitlines()[-1]
        self.assertIn("The router ended the connection (cancelled)", cause)
        self.assertIn("Configuration 14 had been in force for 1.6 s", cause)
        self.assertIn("e-1 sent nothing for some time", self.explain("r-4"))

    def test_request_without_end_is_attributed_to_its_router(self) -> None:
        """A router was killed during the request, so that no line shows its end."""
        trace = trace_request("r-2", read_log_lines(TRUNCATED[:1]))
        self.assertIn("its router ended", trace.cause)

    def test_json_output_and_unknown_id(self) -> None:
        """JSON output lists the steps; an id that no line has is an error."""
        trace = json.loads(self.explain("r-2", "--output", "json"))
        events = [step["event"] for step in trace["steps"]]
        self.assertEqual(events, [9007, 9102, 9103, 9104])
        self.assertIn("no line bears", self.explain("nobody", code=1))

    def test_summary_counts_by_reason_and_window(self) -> None:
        """Windows show when refusals started."""
        lines = TOKENS_REFUSED + TRUNCATED + PAUSED + [ended(31.0, "r-4", "answered")]
        counts = count_outcomes(read_log_lines(lines), 10.0)
        self.assertEqual(counts.outcomes["answered"], 2)
        self.assertEqual(counts.windows["2026-01-29T21:58:30"], {"answered": 1})
        result = CliRunner().invoke(main, ["logs", "summary"], "".join(lines))
        self.assertIn("budget_unavailable", result.output)


class StreamTests(unittest.TestCase):
    """Traces of streams that a caller resumes at another router."""

    def test_all_tries_at_a_stream_are_shown(self) -> None:
        """Guards against a trace that ends where the first router was killed."""
        lines = [
            ended(1.0, "r-1", "caller-left", events=3, software_version="v1"),
            ended(2.0, "r-2", "answered", resumes="r-1", software_version="v1"),
            ended(3.0, "r-3", "answered", resumes="r-0", software_version="v2"),
        ]
        for request_id in ("r-1", "r-2"):
            trace = trace_request(request_id, read_log_lines(lines))
            self.assertEqual(len(trace.steps), 2)
            self.assertIn("began at software version v1", trace.steps[1].text)
            self.assertIn("complete answer", trace.cause)


if __name__ == "__main__":
    unittest.main()
