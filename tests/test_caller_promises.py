"""Which ends of requests and connections break the promise that callers have."""

from __future__ import annotations

import unittest
from typing import Any

from attrs import evolve

from tests.caller_promises import (
    Evidence,
    IdleClose,
    Outcome,
    SentRequest,
    Span,
    find_early_close,
    find_violation,
)

_ROUTER = "0.1"

#: A request sent at 100 s that ran at one target and got nothing 1 s later.
_REQUEST = SentRequest(
    "print-1", "print", _ROUTER, 100.0, 100.0, outcome=Outcome.NOTHING, ended_s=101.0
)
_ENDS = (Outcome.NOTHING, Outcome.CUT)


def _evidence(**changes: Any) -> Evidence:
    """Return the evidence of a fleet without faults."""
    evidence = Evidence(
        targets={"print": {"p-1", "s-1"}},
        ran_at={"print-1": {"p-1"}},
        time_outs=[(0.0, {"print": 4.0})],
        idle_limits=[(0.0, 4.0)],
    )
    return evolve(evidence, **changes)


class RequestEndTests(unittest.TestCase):
    """Each end of a request without an answer needs its own excuse."""

    def assert_kept(self, request: SentRequest, **changes: Any) -> None:
        """Check that a request breaks no promise, but would without the evidence."""
        self.assertIsNone(find_violation(request, _evidence(**changes)))
        if changes:
            self.assertIsNotNone(find_violation(request, _evidence()))

    def assert_broken(self, request: SentRequest, **changes: Any) -> None:
        """Check that a request breaks the promise."""
        self.assertIsNotNone(find_violation(request, _evidence(**changes)))

    def test_whole_answers_and_refusals_keep_the_promise(self) -> None:
        for status in (200, 402, 404, 429, 503):
            request = evolve(_REQUEST, outcome=Outcome.WHOLE, status=status)
            self.assert_kept(request)

    # Guards against checks that overlook an end without any excuse.
    def test_ends_without_an_excuse_break_the_promise(self) -> None:
        for outcome in _ENDS:
            self.assert_broken(evolve(_REQUEST, outcome=outcome))
        for status in (500, 502, 504):
            request = evolve(_REQUEST, outcome=Outcome.WHOLE, status=status)
            self.assert_broken(request)

    def test_a_request_that_was_not_sent_whole_does_not_count(self) -> None:
        self.assert_kept(evolve(_REQUEST, whole_s=None))

    def test_only_requests_sent_after_a_closing_answer_do_not_count(self) -> None:
        first = evolve(_REQUEST, request_id="print-0", outcome=Outcome.WHOLE)
        self.assert_kept(evolve(_REQUEST, behind_close=True))
        self.assert_broken(evolve(_REQUEST, before=first))

    def test_nothing_can_follow_an_answer_that_is_not_whole(self) -> None:
        first = evolve(_REQUEST, request_id="print-0", outcome=Outcome.CUT)
        self.assert_kept(evolve(_REQUEST, before=first))

    def test_the_loss_of_the_router_is_an_excuse_for_its_requests(self) -> None:
        for outcome in _ENDS:
            request = evolve(_REQUEST, outcome=outcome)
            self.assert_kept(request, losses={_ROUTER: [Span(100.9, 100.9)]})
            self.assert_kept(request, losses={_ROUTER: [Span(99.0, 100.5)]})
            self.assert_broken(request, losses={_ROUTER: [Span(98.0, 99.0)]})
            self.assert_broken(request, losses={"0.2": [Span(100.9, 100.9)]})

    def test_a_stop_is_an_excuse_at_the_end_of_its_grace_period(self) -> None:
        self.assert_kept(_REQUEST, stops={_ROUTER: [93.5]})
        self.assert_broken(_REQUEST, stops={_ROUTER: [100.5]})
        self.assert_broken(_REQUEST, stops={_ROUTER: [80.0]})

    def test_the_end_of_a_target_excuses_a_cut_and_a_failure(self) -> None:
        cut = evolve(_REQUEST, outcome=Outcome.CUT)
        failure = evolve(_REQUEST, outcome=Outcome.WHOLE, status=502)
        for request in (cut, failure):
            self.assert_kept(request, broken_off={"print-1"})
            self.assert_kept(request, target_ends={"p-1": [100.9]})
            self.assert_kept(request, target_faults={"p-1": [Span(100.5, 102.0)]})
            self.assert_broken(request, target_ends={"s-1": [100.9]})
            self.assert_broken(request, target_ends={"p-1": [99.5]})
            self.assert_broken(request, target_faults={"p-1": [Span(98.0, 99.0)]})

    def test_a_request_on_its_way_may_meet_a_target_that_starts(self) -> None:
        failure = evolve(_REQUEST, outcome=Outcome.WHOLE, status=502)
        for target in ("p-1", "s-1"):
            self.assert_kept(failure, ran_at={}, target_ends={target: [99.5]})
        self.assert_broken(failure, ran_at={}, target_ends={"e-1": [99.5]})

    # Guards against a target's end as an excuse for a router that answers nothing.
    def test_the_end_of_a_target_excuses_no_missing_answer(self) -> None:
        self.assert_broken(_REQUEST, target_ends={"p-1": [100.9]})

    def test_the_time_of_a_request_is_an_excuse(self) -> None:
        answer = evolve(_REQUEST, outcome=Outcome.WHOLE, status=504)
        for request in (_REQUEST, answer):
            self.assert_kept(evolve(request, ended_s=103.0))
            self.assert_broken(evolve(request, ended_s=102.0))
            self.assert_kept(
                evolve(request, ended_s=102.0), time_outs=[(0.0, {"print": 2.0})]
            )

    def test_the_time_out_before_counts_until_the_next_one_has_spread(self) -> None:
        request = evolve(_REQUEST, ended_s=102.0)
        short, long = {"print": 2.0}, {"print": 4.0}
        self.assert_kept(request, time_outs=[(0.0, short), (99.0, long)])
        self.assert_broken(request, time_outs=[(0.0, short), (97.0, long)])
        self.assert_kept(
            request,
            time_outs=[(0.0, short), (97.0, long)],
            store_faults=[Span(96.5, 98.5)],
        )
        self.assert_broken(request, time_outs=[(0.0, long), (103.0, short)])

    def test_a_request_has_an_end_soon_after_its_time(self) -> None:
        request = evolve(_REQUEST, outcome=Outcome.NO_END, ended_s=105.0)
        self.assert_broken(request)
        self.assert_kept(request, losses={_ROUTER: [Span(102.0, 104.0)]})
        self.assert_kept(evolve(request, ended_s=104.0))

    def test_a_request_may_cross_the_close_of_its_connection(self) -> None:
        request = evolve(_REQUEST, ended_s=100.1)
        self.assert_kept(request, ran_at={})
        self.assert_broken(request)
        self.assert_broken(_REQUEST, ran_at={})
        first = evolve(_REQUEST, request_id="print-0", outcome=Outcome.WHOLE)
        self.assert_broken(evolve(request, before=first), ran_at={})
        self.assert_broken(evolve(request, outcome=Outcome.CUT), ran_at={})


class IdleCloseTests(unittest.TestCase):
    """Idle connections stay open for as long as the configuration allows."""

    def is_early(self, idle_s: float, **changes: Any) -> bool:
        """Return whether the close of a connection idle since 100 s is too early."""
        close = IdleClose(_ROUTER, 100.0, 100.0 + idle_s)
        return find_early_close(close, _evidence(**changes)) is not None

    def test_a_connection_is_closed_at_the_limit(self) -> None:
        self.assertTrue(self.is_early(3.0))
        self.assertFalse(self.is_early(4.0))

    def test_a_longer_limit_applies_once_it_has_spread(self) -> None:
        limits = [(0.0, 4.0), (101.0, 8.0)]
        self.assertTrue(self.is_early(4.0, idle_limits=limits))
        self.assertFalse(self.is_early(4.0, idle_limits=[(0.0, 4.0), (102.5, 8.0)]))
        self.assertFalse(
            self.is_early(4.0, idle_limits=limits, store_faults=[Span(100.5, 102.0)])
        )

    def test_a_shorter_limit_may_apply_at_once(self) -> None:
        limits = [(0.0, 4.0), (100.5, 2.0)]
        self.assertFalse(self.is_early(2.0, idle_limits=limits))
        self.assertTrue(self.is_early(1.5, idle_limits=limits))

    def test_a_router_that_stops_or_is_lost_may_close(self) -> None:
        self.assertFalse(self.is_early(1.0, stops={_ROUTER: [100.9]}))
        self.assertTrue(self.is_early(1.0, stops={_ROUTER: [101.5]}))
        self.assertTrue(self.is_early(1.0, stops={"0.2": [100.9]}))
        self.assertFalse(self.is_early(1.0, losses={_ROUTER: [Span(101.0, 101.0)]}))


if __name__ == "__main__":
    unittest.main()
