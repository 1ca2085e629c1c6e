"""What one placement costs, by size of the fleet and number of accounts.

Run by ``python -m benchmarks.decisions_cost``; it measures processor time, so
that its figures vary from run to run, by some tenths.
"""

from __future__ import annotations

import random
import statistics
import time

from benchmarks.decisions_streams import (
    EXPLAIN,
    KIOSK,
    PLAN,
    Arrival,
    Stream,
    arrivals as draw_arrivals,
    constant,
)

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    LoadFigures,
    Placement,
    Policy,
    TargetView,
)
from endivegw.types import AvailabilityZone, InstanceId, TargetName

__all__ = ["measure"]

ZONES = 7
ROUNDS = 5
REQUESTS = 4000


def _requests(accounts: int) -> tuple[Arrival, ...]:
    rng = random.Random(1)
    streams = [
        Stream(f"account-{number}", kind, constant(40.0), 40.0)
        for number in range(accounts)
        for kind in (KIOSK, EXPLAIN, PLAN)
    ]
    found = draw_arrivals(streams, REQUESTS / (len(streams) * 40.0), 1, rng)
    return found[:REQUESTS]


def _dispatcher(targets: int) -> Dispatcher:
    dispatcher = Dispatcher(Policy(), AvailabilityZone("z0"), random.Random(1))
    views = [
        TargetView(
            TargetName(f"t{number}"),
            InstanceId("1"),
            "",
            AvailabilityZone(f"z{number % ZONES}"),
            frozenset({"badge", "plan"}),
            64,
        )
        for number in range(targets)
    ]
    dispatcher.set_targets(views, 0.0)
    figures = LoadFigures(20, 0, 64, 800.0, 0.5)
    for view in views:
        dispatcher.report(view.target, figures, 0.0)
    return dispatcher


def measure(targets: int, accounts: int, held: int) -> tuple[float, float]:
    """Return microseconds for a placement, and for a whole request.

    A whole request is its placement, first token, end and the polls between.

    :param held: requests that run at the same time.
    """
    placing: list[float] = []
    whole: list[float] = []
    for _ in range(ROUNDS):
        dispatcher = _dispatcher(targets)
        running: list[Placement] = []
        spent_s = 0.0
        placed = 0
        began_s = time.process_time()
        for arrival in _requests(accounts):
            now_s = arrival.at_s
            before_s = time.process_time()
            decided = dispatcher.submit(arrival.item, now_s)
            spent_s += time.process_time() - before_s
            if not isinstance(decided, Placement):
                raise SystemExit(f"not placed: {decided}")
            placed += 1
            running.append(decided)
            dispatcher.first_token(decided.item.request_id, now_s)
            if len(running) > held:
                old = running.pop(0)
                end = AttemptEnd(AttemptKind.OK, old.item.prompt_tokens, 60)
                dispatcher.ended(old.item.request_id, old.target, end, now_s)
                dispatcher.poll(now_s)
        whole.append((time.process_time() - began_s) / placed * 1e6)
        placing.append(spent_s / placed * 1e6)
    return min(placing), min(whole)


def slope(points: list[tuple[int, float]]) -> float:
    """Return the least-squares slope."""
    xs = [float(x) for x, _ in points]
    ys = [y for _, y in points]
    return statistics.linear_regression(xs, ys).slope


def main() -> None:
    """Print the cost table and the slope over the fleet's size."""
    print("targets accounts placement_us request_us placements_per_s")
    points = []
    for targets, accounts in ((12, 10), (24, 280), (100, 280), (325, 280), (650, 280)):
        placing, whole = measure(targets, accounts, min(400, 8 * targets))
        line = f"{targets:7} {accounts:8} {placing:12.1f} {whole:10.1f}"
        print(f"{line} {1e6 / whole:16.0f}")
        if accounts == 280:
            points.append((targets, placing))
    print(f"slope {slope(points) * 100:.2f} microseconds per 100 targets")


if __name__ == "__main__":
    main()
