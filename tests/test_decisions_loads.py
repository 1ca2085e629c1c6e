"""What callers observe under load, in virtual time with a fixed seed."""

import unittest
from functools import cache

from benchmarks.decisions import router_factories
from benchmarks.decisions_loads import make_load
from benchmarks.decisions_outcomes import summarise
from benchmarks.decisions_world import Outcome, World

from endivegw.decisions import Policy
from endivegw.types import Priority

SEED = 11


@cache
def world(name, router):
    """Return a simulation after its run."""
    load = make_load(name, SEED)
    simulation = World(load, router_factories(Policy(), load.routers)[router], SEED)
    simulation.run()
    return simulation


def run(name, router="endivegw"):
    """Return the summary of one run."""
    return summarise(world(name, router))


def records(name):
    """Return the record of each request of one load."""
    return world(name, "endivegw").records


class LoadTests(unittest.TestCase):
    def test_no_false_refusals_below_capacity(self):
        """At 0.85 of capacity no request is refused and first tokens arrive in time."""
        summary = run("steady-0.85")
        self.assertEqual(summary.refused + summary.expired + summary.failed, 0.0)
        self.assertEqual(summary.false_refusals, 0.0)
        self.assertLess(summary.first_p95_s, 0.97)
        self.assertGreater(summary.good, 0.99)

    def test_prompts_go_to_cached_prefixes(self):
        """Prompts are placed where their prefix is cached more often than by chance."""
        chance = run("steady-0.85", "least-outstanding").hit_share
        self.assertGreater(run("steady-0.85").hit_share, chance + 0.05)

    def test_bursts_are_served_better_than_without_admission(self):
        """A burst of seconds does less harm than with first-in, first-out order.

        A burst fills the queue with requests close to their deadlines. In order of
        arrival, requests that arrive after the burst are late too, and callers see
        failures for seconds after the burst has ended.
        """
        self.assertGreater(run("bursts").good, run("bursts", "fifo").good)
        self.assertGreater(run("bursts").good, 0.90)
        late = [r.outcome for r in records("bursts") if 22.0 < r.submitted_s < 31.0]
        self.assertGreater(late.count(Outcome.GOOD) / len(late), 0.97)

    def test_one_large_account_does_not_starve_the_others(self):
        """An account with a demand of twice the capacity leaves the others their share.

        The account's batch job fills every queue. Without fair shares, the requests of
        all other accounts wait behind it until their deadlines.
        """
        other_accounts = [
            record.outcome
            for record in records("skewed-accounts")
            if record.arrival.item.client_account != "account-large"
            if 10.0 <= record.submitted_s < 45.0
        ]
        self.assertGreater(
            other_accounts.count(Outcome.GOOD) / len(other_accounts), 0.85
        )
        self.assertGreater(run("skewed-accounts").fairness, 0.8)
        self.assertLess(run("skewed-accounts", "least-outstanding").fairness, 0.4)

    def test_load_is_shed_from_a_slow_target(self):
        """One target at a fifth of its speed makes few requests late.

        A hardware fault slows the target down, but it still answers. Requests that are
        placed there miss their deadlines.
        """
        self.assertGreater(run("slow-target").good, 0.975)
        self.assertGreater(run("slow-target").good, run("slow-target", "random").good)

    def test_a_target_that_fails_fast_fails_no_caller(self):
        """Retries and load shedding hide a target that fails every request.

        Its engine answers each request with an error at once, so that it always looks
        the least loaded. Without detection it attracts a quarter of all requests.
        """
        self.assertEqual(run("fail-fast-target").failed, 0.0)
        self.assertGreater(run("fail-fast-target").good, 0.97)
        self.assertGreater(run("fail-fast-target", "fifo").failed, 0.1)

    def test_frozen_reports_of_a_slow_target(self):
        """A slow target whose reports are frozen gets few requests."""
        self.assertGreater(run("frozen-reports").good, 0.96)

    def test_a_draining_target_gets_no_requests(self):
        """Once a drain starts, nothing is placed there, and no request is refused."""
        placed = [
            record
            for record in records("drain")
            if record.target == "engine-3" and record.placed_s > 15.0
        ]
        self.assertEqual(placed, [])
        self.assertEqual(run("drain").refused + run("drain").failed, 0.0)

    def test_long_requests_do_not_delay_short_ones(self):
        """Batch requests that take a minute do not delay interactive callers."""
        self.assertGreater(run("long-and-short").good, 0.96)

    def test_goodput_does_not_collapse_in_an_overload(self):
        """At five times the capacity, goodput stays close to that at the capacity."""
        peak = run("saturation-1x").good_tokens_per_s
        for load in ("saturation-2x", "saturation-5x"):
            with self.subTest(load):
                self.assertGreater(run(load).good_tokens_per_s, 0.9 * peak)
                least = run(load, "least-outstanding")
                self.assertGreater(run(load).good, 1.5 * least.good)

    def test_urgent_callers_keep_their_latency(self):
        """Urgent latency hardly rises between one and two times the capacity.

        Strict priorities in the queue would not help if other requests with a long
        remaining time held all slots.
        """
        at_capacity = run("saturation-1x").urgent_p95_s
        self.assertLess(run("saturation-2x").urgent_p95_s, 1.25 * at_capacity)
        urgent = [
            record.outcome
            for record in records("saturation-2x")
            if record.arrival.item.priority is Priority.URGENT
        ]
        self.assertGreater(urgent.count(Outcome.GOOD) / len(urgent), 0.9)

    def test_a_retry_storm_does_not_sustain_an_overload(self):
        """After a burst, new requests are served while refused ones are retried.

        Requests that are refused or late are retried twice. If all are asked to retry
        at the same time, or queue behind requests that are already too late, the
        retries sustain the overload after its cause has ended.
        """
        self.assertEqual(make_load("retry-storm", SEED).caller_retries, 2)
        shares = {}
        for router in ("endivegw", "least-outstanding"):
            new = [
                record.outcome
                for record in world("retry-storm", router).records
                if not record.retry_number and 26.0 <= record.submitted_s < 45.0
            ]
            shares[router] = new.count(Outcome.GOOD) / len(new)
        self.assertGreater(shares["endivegw"], 0.75)
        self.assertGreater(shares["endivegw"], shares["least-outstanding"] + 0.1)
        self.assertGreater(run("retry-storm").comebacks_served, 0.4)

    def test_runs_repeat_exactly(self):
        """The same seed gives the same outcome for every request."""
        load = make_load("lobby-opening", SEED)
        make = router_factories(Policy(), load.routers)["endivegw"]
        first, second = World(load, make, SEED), World(load, make, SEED)
        first.run()
        second.run()
        self.assertEqual(str(summarise(first)), str(summarise(second)))
