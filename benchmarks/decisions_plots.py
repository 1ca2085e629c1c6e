"""Draw one plot per load: ``python -m benchmarks.decisions_plots``.

Requires matplotlib from the extra ``plots``. Each plot shows the outcomes of requests
by the second of their submission in virtual time, with the seed. The settings are
written to a JSON file.
"""

from __future__ import annotations

import argparse
import importlib
import json
import pathlib
import sys
from collections import Counter
from typing import Any

from attrs import asdict
from benchmarks.decisions import DEFAULT_SEED, router_factories
from benchmarks.decisions_loads import LOADS, make_load
from benchmarks.decisions_world import Outcome, Record, World

from endivegw.decisions import Policy

__all__ = ["main", "outcomes_by_second"]

OUTCOMES = (
    Outcome.GOOD,
    Outcome.LATE,
    Outcome.EXPIRED,
    Outcome.REFUSED,
    Outcome.FAILED,
)

ROUTERS = ("endivegw", "least-outstanding", "oracle")


def outcomes_by_second(
    records: list[Record], duration_s: float
) -> dict[str, list[int]]:
    """Return the number of requests submitted in each second, by outcome."""
    counts = Counter((int(r.submitted_s), r.outcome) for r in records)
    seconds = range(int(duration_s))
    return {o: [counts[second, o] for second in seconds] for o in OUTCOMES}


def _draw(pyplot: Any, name: str, seed: int, folder: pathlib.Path) -> None:
    load = make_load(name, seed)
    figure, axes = pyplot.subplots(len(ROUTERS), 1, sharex=True, figsize=(8, 8))
    for axis, router in zip(axes, ROUTERS):
        factory = router_factories(Policy(), load.routers)[router]
        world = World(load, factory, seed, oracle=router == "oracle")
        series = outcomes_by_second(world.run(), load.duration_s)
        seconds = range(int(load.duration_s))
        axis.stackplot(seconds, *series.values(), labels=list(series))
        axis.set_title(router)
        axis.set_ylabel("requests a second")
    axes[0].legend(loc="upper right", fontsize="small")
    axes[-1].set_xlabel(f"second of submission ({name}, seed {seed})")
    figure.savefig(folder / f"decisions-{name}.svg")
    pyplot.close(figure)


def main() -> int:
    """Draw the named loads; return 1 if matplotlib is not installed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--loads", default=",".join(LOADS))
    parser.add_argument("--folder", default="results")
    options = parser.parse_args()
    try:
        matplotlib = importlib.import_module("matplotlib")
        matplotlib.use("svg")
        pyplot = importlib.import_module("matplotlib.pyplot")
    except ImportError:
        message = "matplotlib is not installed; run: pip install endivegw[plots]"
        print(message, file=sys.stderr)
        return 1
    folder = pathlib.Path(options.folder)
    folder.mkdir(parents=True, exist_ok=True)
    settings = {"seed": options.seed, "policy": asdict(Policy())}
    (folder / "decisions-plots.json").write_text(json.dumps(settings, indent=1))
    for name in options.loads.split(","):
        _draw(pyplot, name, options.seed, folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
