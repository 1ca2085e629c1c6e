"""Benchmark placement decisions under load: ``make bench-decisions``.

Simulations run in virtual time and depend on the seed only, so that two runs print the
same results.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import pathlib
import random
import time

import attrs
from attrs import asdict, frozen
from benchmarks.decisions_baselines import (
    Fifo,
    LeastOutstanding,
    Oracle,
    RandomChoice,
    RoundRobin,
)
from benchmarks.decisions_loads import LOADS, make_load
from benchmarks.decisions_outcomes import Summary, summarise
from benchmarks.decisions_world import RouterFactory, World

from endivegw.decisions import Dispatcher, Policy
from endivegw.types import AvailabilityZone

__all__ = ["DEFAULT_SEED", "router_factories", "run_one"]

DEFAULT_SEED = 7

#: Number of worker processes.
PROCESSES = 3


def router_factories(policy: Policy, routers: int) -> dict[str, RouterFactory]:
    """Return the factory of each kind of router, by its name in the tables."""

    def dispatcher(zone: AvailabilityZone, rng: random.Random) -> Dispatcher:
        return Dispatcher(policy, zone, rng)

    return {
        "endivegw": dispatcher,
        "oracle": lambda zone, rng: Oracle(rng),
        "oracle-blind": lambda zone, rng: Oracle(rng, blind=True),
        "round-robin": lambda zone, rng: RoundRobin(rng),
        "random": lambda zone, rng: RandomChoice(rng),
        "least-outstanding": lambda zone, rng: LeastOutstanding(rng),
        "fifo": lambda zone, rng: Fifo(rng, routers=routers),
    }


@frozen
class Run:
    """Parameters of one run.

    :param import_tokens_per_s: see :class:`EngineSpec`.
    """

    load: str
    router: str
    seed: int
    policy: Policy
    report_with_answers: bool = False
    import_tokens_per_s: float = 0.0


def run_one(run: Run) -> Summary:
    """Run one load with one kind of router."""
    load = make_load(run.load, run.seed)
    targets = tuple(
        attrs.evolve(
            target,
            spec=attrs.evolve(target.spec, import_tokens_per_s=run.import_tokens_per_s),
        )
        for target in load.targets
    )
    load = attrs.evolve(
        load, targets=targets, report_with_answers=run.report_with_answers
    )
    factory = router_factories(run.policy, load.routers)[run.router]
    world = World(load, factory, run.seed, oracle=run.router.startswith("oracle"))
    world.run()
    return summarise(world)


COLUMNS = (
    ("good", "good", "{:.4f}"),
    ("good_tokens", "tokens", "{:.4f}"),
    ("late", "late", "{:.4f}"),
    ("refused", "refused", "{:.4f}"),
    ("expired", "expired", "{:.4f}"),
    ("failed", "failed", "{:.4f}"),
    ("false_refusals", "false", "{:.5f}"),
    ("p50_s", "p50", "{:.2f}"),
    ("p95_s", "p95", "{:.2f}"),
    ("p99_s", "p99", "{:.2f}"),
    ("first_p95_s", "first95", "{:.2f}"),
    ("urgent_p95_s", "urg95", "{:.2f}"),
    ("told_p95_s", "told95", "{:.2f}"),
    ("fairness", "fair", "{:.2f}"),
    ("hit_share", "hit", "{:.2f}"),
    ("comebacks_served", "back", "{:.2f}"),
)


def print_table(runs: list[Run], summaries: list[Summary]) -> None:
    """Print a table with one line for each run."""
    print(f"{'load':18}{'router':18}" + "".join(f"{c[1]:>9}" for c in COLUMNS))
    for run, summary in zip(runs, summaries):
        cells = "".join(f"{f.format(getattr(summary, n)):>9}" for n, _, f in COLUMNS)
        print(f"{run.load:18}{run.router:18}{cells}")


def main() -> None:
    """Run the loads and routers named on the command line and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--loads", default="", help="names, comma separated")
    parser.add_argument("--routers", default="", help="names, comma separated")
    parser.add_argument("--set", action="append", default=[], help="policy field=value")
    parser.add_argument(
        "--report-with-answers",
        action="store_true",
        help="report the current load of the target at the end of each answer",
    )
    parser.add_argument(
        "--import-tokens-per-s",
        type=float,
        default=0.0,
        help="speed at which engines import cached blocks from each other",
    )
    parser.add_argument("--json", default="", help="write the figures to this file")
    options = parser.parse_args()
    policy = Policy()
    for setting in options.set:
        name, _, value = setting.partition("=")
        policy = attrs.evolve(
            policy, **{name: type(getattr(policy, name))(float(value))}
        )
    loads = [n for n in options.loads.split(",") if n] or list(LOADS)
    routers = [n for n in options.routers.split(",") if n] or list(
        router_factories(policy, 1)
    )
    report_with_answers = options.report_with_answers
    runs = [
        Run(
            load,
            router,
            options.seed,
            policy,
            report_with_answers,
            options.import_tokens_per_s,
        )
        for load in loads
        for router in routers
    ]
    started_s = time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(PROCESSES) as pool:
        summaries = pool.map(run_one, runs, chunksize=1)
    print(f"seed {options.seed}, policy {policy}")
    print_table(runs, summaries)
    print(f"{len(runs)} runs in {time.perf_counter() - started_s:.1f} s")
    if options.json:
        path = pathlib.Path(options.json)
        path.parent.mkdir(parents=True, exist_ok=True)
        lines = [{**asdict(r), **asdict(s)} for r, s in zip(runs, summaries)]
        path.write_text(json.dumps(lines, indent=1))


if __name__ == "__main__":
    main()
