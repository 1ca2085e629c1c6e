"""Play the exercise with its faults at other moments, by hand and by seed.

``python -m tests.exercise_moments SEED...`` prints what each seed broke. Seeds that
showed a fault stand in KNOWN-RED.txt.
"""

from __future__ import annotations

import random
import sys

import anyio

from endivegw.dev.exercise import run_exercise
from endivegw.dev.faults import FaultPlan

_EXERCISE_S = 8.0


def moments(seed: int) -> FaultPlan:
    """Return a plan in which each fault begins and lasts as chance has it."""
    rng = random.Random(seed)

    def span(latest: float, least: float, most: float) -> tuple[float, float]:
        begins = rng.uniform(0.05, latest)
        return begins, min(0.98, begins + rng.uniform(least, most))

    return FaultPlan(
        router_killed=span(0.8, 0.03, 0.2),
        table_away=span(0.8, 0.05, 0.2),
        router_cut_off=span(0.8, 0.05, 0.2),
        target_drained=span(0.8, 0.05, 0.2),
        answers_lost=span(0.7, 0.1, 0.3),
        target_slow=span(0.7, 0.1, 0.3),
        sidecar_killed=span(0.8, 0.02, 0.1),
        top_up_at=rng.uniform(0.1, 0.9),
    )


def main() -> int:
    """Return 0 when no seed broke a promise."""
    broken = 0
    for seed in (int(text) for text in sys.argv[1:]):
        figures = anyio.run(run_exercise, _EXERCISE_S, seed, moments(seed))
        print(seed, figures.requests, "requests", figures.violations, figures.faults)
        broken += bool(figures.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
