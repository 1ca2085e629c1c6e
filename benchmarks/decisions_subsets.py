"""Compare ways to choose which targets a router sees.

``python -m benchmarks.decisions_subsets`` prints how evenly targets are seen
at 370 routers and 650 targets, and what callers get of a tenth of that fleet.
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from typing import Callable, Sequence

from benchmarks.decisions import DEFAULT_SEED, makers
from benchmarks.decisions_loads import BOTH, Load, TargetSpec
from benchmarks.decisions_outcomes import summarise
from benchmarks.decisions_streams import ENGINE, arrivals, constant, mixed_streams
from benchmarks.decisions_world import World

from endivegw.decisions import Policy, SubsetPolicy, choose_subset
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["by_hash", "by_ring"]

Zones = dict[TargetName, AvailabilityZone]
Choose = Callable[[int, str, list[str], Zones], Sequence[TargetName]]

ZONE_COUNT = 7


def by_ring(
    count: int, router: str, routers: list[str], zones: Zones
) -> Sequence[TargetName]:
    """Take an arc of the ring."""
    policy = SubsetPolicy(targets=count, cover=1)
    return choose_subset(policy, router, routers, zones)


def by_hash(
    count: int, router: str, routers: list[str], zones: Zones
) -> Sequence[TargetName]:
    """Take the first by a hash of both names (rendezvous hashing)."""

    def rank(target: TargetName) -> bytes:
        return hashlib.sha256(f"{router}\n{target}".encode()).digest()

    return sorted(zones, key=rank)[:count]


def fleet(routers: int, targets: int) -> tuple[list[str], Zones]:
    """Return the names of a fleet."""
    zones = {
        TargetName(f"engine-{n}"): AvailabilityZone(f"zone-{n % ZONE_COUNT}")
        for n in range(targets)
    }
    return [f"router-{n}" for n in range(routers)], zones


def coverage(choose: Choose, count: int) -> str:
    """Return how evenly targets are seen, and what one departure moves."""
    routers, zones = fleet(370, 650)
    chosen = {r: set(choose(count, r, routers, zones)) for r in routers}
    seen = Counter(target for subset in chosen.values() for target in subset)
    counts = [seen[target] for target in zones]
    fewer = {t: z for t, z in zones.items() if t != "engine-17"}
    moved = sum(len(set(choose(count, r, routers, fewer)) - chosen[r]) for r in routers)
    unseen = counts.count(0)
    return f"seen by {min(counts)} to {max(counts)}, {unseen} unseen, {moved} moved"


def served(choose: Choose, count: int, offered: float, seed: int) -> str:
    """Return what callers get at 37 routers and 65 targets."""
    routers, zones = fleet(37, 65)
    targets = tuple(TargetSpec(t, z, BOTH, ENGINE) for t, z in zones.items())
    rng = random.Random(f"subsets/{seed}")
    streams = mixed_streams(len(targets) * ENGINE.slots, constant(offered), offered)
    duration_s = 30.0
    load = Load(
        "subsets",
        targets,
        len(routers),
        duration_s,
        arrivals(streams, duration_s, len(routers), rng),
        offered,
        subsets=tuple(tuple(choose(count, r, routers, zones)) for r in routers),
        report_interval_s=2.5,
    )
    world = World(load, makers(Policy(), len(routers))["endivegw"], seed)
    world.run()
    summary = summarise(world)
    return (
        f"good {summary.good:.4f}, first token p95 {summary.first_p95_s:.2f} s, "
        f"refused or given up {summary.refused + summary.expired:.4f}, "
        f"false refusals {summary.false_refusals:.5f}"
    )


def main() -> None:
    """Print both comparisons."""
    ways: dict[str, Choose] = {"ring": by_ring, "hash": by_hash}
    for count in (8, 18):
        for name, choose in ways.items():
            print(f"{count:3} targets, {name}: {coverage(choose, count)}")
    for count in (8, 18):
        for name, choose in ways.items():
            for offered in (0.7, 0.85):
                line = served(choose, count, offered, DEFAULT_SEED)
                print(f"{count:3} targets, {name}, {offered}: {line}")


if __name__ == "__main__":
    main()
