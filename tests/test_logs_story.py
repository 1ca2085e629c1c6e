"""``endivegw explain`` and ``logs summary``: from a request's id to its cause."""

from __future__ import annotations

import json
import unittest

from click.testing import CliRunner

from endivegw.cli import main
from endivegw.telemetry.story import read_lines, story_of, totals


def line(second: float, event: int, **fields: object) -> str:
    """Return a line as a router writes it, behind a prefix as collectors add one."""
    at = f"2026-01-29T21:58:{second:06.3f}+00:00"
    document = {"time": at, "event": event, "vm": "front-1", "message": "m", **fields}
    return "front-1 " + json.dumps(document) + "\n"


def ended(second: float, request_id: str, outcome: str, **more: object) -> str:
    """Return the line that ends a request."""
    found = {
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
    found.update(more)
    return line(second, 9104, request_id=request_id, outcome=outcome, **found)


REFUSED_FOR_MONEY = [
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

CUT = [
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

LATE = [
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

NOISE = ["no json\n", "{broken\n", '{"event": 1}\n', line(2.1, 9005, tokens=5)]


class ExplainTests(unittest.TestCase):
    """Find the cause of three kinds of failed request, from log lines alone."""

    def explain(self, request_id: str, *arguments: str, code: int = 0) -> str:
        """Run the command on all lines at once, out of order."""
        text = "".join(LATE + CUT + NOISE + REFUSED_FOR_MONEY)
        result = CliRunner().invoke(main, ["explain", request_id, *arguments], text)
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def test_refused_for_money(self) -> None:
        """The store was away, and the peers' tokens did not come in time.

        The caller was refused although its budget had some left.
        """
        told = self.explain("r-1")
        self.assertIn("The store does not answer (timeout)", told)
        cause = told.splitlines()[-1]
        self.assertIn("could not be reached in time", cause)
        self.assertIn("1667 tokens were needed", cause)
        self.assertNotIn("Borrowed 5", told)

    def test_cut_in_the_middle(self) -> None:
        """A target's connection ended within the answer."""
        cause = self.explain("r-2").splitlines()[-1]
        self.assertIn("the connection ended; 3 events", cause)

    def test_answered_late(self) -> None:
        """A long prompt beside it made an answer pause."""
        cause = self.explain("r-3").splitlines()[-1]
        self.assertIn("longest pause was 0.346 s", cause)

    def test_a_router_that_died_says_so(self) -> None:
        """A router is killed with the request in progress; no line ends it."""
        story = story_of("r-2", read_lines(CUT[:1]))
        self.assertIn("its router ended", story.cause)

    def test_json_and_an_unknown_id(self) -> None:
        """Programs read JSON; an id that no line bears is an error."""
        story = json.loads(self.explain("r-2", "--output", "json"))
        found = [step["event"] for step in story["steps"]]
        self.assertEqual(found, [9007, 9102, 9103, 9104])
        self.assertIn("no line bears", self.explain("nobody", code=1))

    def test_summary_counts_by_reason_and_window(self) -> None:
        """An operator sees when refusals began."""
        lines = REFUSED_FOR_MONEY + CUT + LATE + [ended(31.0, "r-4", "answered")]
        found = totals(read_lines(lines), 10.0)
        self.assertEqual(found.outcomes["answered"], 2)
        self.assertEqual(found.windows["2026-01-29T21:58:30"], {"answered": 1})
        result = CliRunner().invoke(main, ["logs", "summary"], "".join(lines))
        self.assertIn("budget_unavailable", result.output)


if __name__ == "__main__":
    unittest.main()
