"""Measure the CPU time of a placement by fleet size and number of accounts.

Run with ``python -m benchmarks.decisions_cost``. The figures are CPU times and vary
between runs by some tenths.
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
    result = draw_arrivals(streams, REQUESTS / (len(streams) * 40.0), 1, rng)
    return result[:REQUESTS]


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


def measure(targets: int, accounts: int, concurrent: int) -> tuple[float, float]:
    """Return the microseconds per placement and per complete request.

    A complete request comprises its placement, first token, end and a poll.

    :param concurrent: number of concurrent requests.
    """
    placement_us: list[float] = []
    request_us: list[float] = []
    for _ in range(ROUNDS):
        dispatcher = _dispatcher(targets)
        running: list[Placement] = []
        submit_s = 0.0
        placed = 0
        started_s = time.process_time()
        for arrival in _requests(accounts):
            now_s = arrival.at_s
            before_s = time.process_time()
            decided = dispatcher.submit(arrival.item, now_s)
            submit_s += time.process_time() - before_s
            if not isinstance(decided, Placement):
                raise SystemExit(f"request was not placed: {decided}")
            placed += 1
            running.append(decided)
            dispatcher.first_token(decided.item.request_id, now_s)
            if len(running) > concurrent:
                oldest = running.pop(0)
                end = AttemptEnd(AttemptKind.OK, oldest.item.prompt_tokens, 60)
                dispatcher.ended(oldest.item.request_id, oldest.target, end, now_s)
                dispatcher.poll(now_s)
        request_us.append((time.process_time() - started_s) / placed * 1e6)
        placement_us.append(submit_s / placed * 1e6)
    return min(placement_us), min(request_us)


def slope(points: list[tuple[int, float]]) -> float:
    """Return the slope of the least-squares line."""
    xs = [float(x) for x, _ in points]
    ys = [y for _, y in points]
    return statistics.linear_regression(xs, ys).slope


def main() -> None:
    """Print the cost table and the slope over the number of targets."""
    print("targets accounts placement_us request_us placements_per_s")
    points = []
    for targets, accounts in ((12, 10), (24, 280), (100, 280), (325, 280), (650, 280)):
        placement_us, request_us = measure(targets, accounts, min(400, 8 * targets))
        line = f"{targets:7} {accounts:8} {placement_us:12.1f} {request_us:10.1f}"
        print(f"{line} {1e6 / request_us:16.0f}")
        if accounts == 280:
            points.append((targets, placement_us))
    print(f"slope {slope(points) * 100:.2f} microseconds per 100 targets")


if __name__ == "__main__":
    main()
