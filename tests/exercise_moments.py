"""Run the exercise with its faults at random times, by seed; not part of the suite.

``python -m tests.exercise_moments SEED...`` prints the invariants that each seed
violated. Seeds that revealed a fault are listed in KNOWN-RED.txt.
"""

from __future__ import annotations

import random
import sys

import anyio

from endivegw.dev.exercise import run_exercise
from endivegw.dev.faults import FaultPlan

_EXERCISE_S = 8.0


def random_fault_plan(seed: int) -> FaultPlan:
    """Return a plan with a random start and duration of each fault."""
    rng = random.Random(seed)

    def span(
        latest_start: float, min_length: float, max_length: float
    ) -> tuple[float, float]:
        start = rng.uniform(0.05, latest_start)
        return start, min(0.98, start + rng.uniform(min_length, max_length))

    return FaultPlan(
        router_killed=span(0.8, 0.03, 0.2),
        table_outage=span(0.8, 0.05, 0.2),
        router_partitioned=span(0.8, 0.05, 0.2),
        target_drained=span(0.8, 0.05, 0.2),
        answers_lost=span(0.7, 0.1, 0.3),
        target_slow=span(0.7, 0.1, 0.3),
        sidecar_killed=span(0.8, 0.02, 0.1),
        top_up_at=rng.uniform(0.1, 0.9),
    )


def main() -> int:
    """Return 0 if no seed violated an invariant."""
    failed = 0
    for seed in (int(text) for text in sys.argv[1:]):
        figures = anyio.run(run_exercise, _EXERCISE_S, seed, random_fault_plan(seed))
        print(seed, figures.requests, "requests", figures.violations, figures.faults)
        failed += bool(figures.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
