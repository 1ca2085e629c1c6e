"""Compare methods that choose a subset of targets for each router.

``python -m benchmarks.decisions_subsets`` prints how evenly targets are covered with
370 routers and 650 targets, and the outcomes for callers with a tenth of that fleet.
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from typing import Callable, Sequence

from benchmarks.decisions import DEFAULT_SEED, router_factories
from benchmarks.decisions_loads import BOTH, Load, TargetSpec
from benchmarks.decisions_outcomes import summarise
from benchmarks.decisions_streams import ENGINE, arrivals, constant, mixed_streams
from benchmarks.decisions_world import World

from endivegw.decisions import Policy, SubsetPolicy, choose_subset
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["by_hash", "by_ring"]

Zones = dict[TargetName, AvailabilityZone]
SubsetChooser = Callable[[int, str, list[str], Zones], Sequence[TargetName]]

ZONE_COUNT = 7


def by_ring(
    count: int, router: str, routers: list[str], zones: Zones
) -> Sequence[TargetName]:
    """Choose consecutive targets on the ring."""
    policy = SubsetPolicy(targets=count, cover=1)
    return choose_subset(policy, router, routers, zones)


def by_hash(
    count: int, router: str, routers: list[str], zones: Zones
) -> Sequence[TargetName]:
    """Choose targets by a hash of router and target (rendezvous hashing)."""

    def rank(target: TargetName) -> bytes:
        return hashlib.sha256(f"{router}\n{target}".encode()).digest()

    return sorted(zones, key=rank)[:count]


def fleet(routers: int, targets: int) -> tuple[list[str], Zones]:
    """Return the router names of a fleet, and its targets with their zones."""
    zones = {
        TargetName(f"engine-{n}"): AvailabilityZone(f"zone-{n % ZONE_COUNT}")
        for n in range(targets)
    }
    return [f"router-{n}" for n in range(routers)], zones


def measure_coverage(chooser: SubsetChooser, count: int) -> str:
    """Describe how evenly targets are covered, and the effect of a removal."""
    routers, zones = fleet(370, 650)
    chosen = {r: set(chooser(count, r, routers, zones)) for r in routers}
    router_counts = Counter(target for subset in chosen.values() for target in subset)
    counts = [router_counts[target] for target in zones]
    remaining_zones = {t: z for t, z in zones.items() if t != "engine-17"}
    moved = sum(
        len(set(chooser(count, r, routers, remaining_zones)) - chosen[r])
        for r in routers
    )
    uncovered = counts.count(0)
    return f"seen by {min(counts)} to {max(counts)}, {uncovered} unseen, {moved} moved"


def measure_outcomes(
    chooser: SubsetChooser, count: int, offered: float, seed: int
) -> str:
    """Describe the outcomes for callers with 37 routers and 65 targets."""
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
        subsets=tuple(tuple(chooser(count, r, routers, zones)) for r in routers),
        report_interval_s=2.5,
    )
    world = World(load, router_factories(Policy(), len(routers))["endivegw"], seed)
    world.run()
    summary = summarise(world)
    return (
        f"good {summary.good:.4f}, first token p95 {summary.first_p95_s:.2f} s, "
        f"refused or expired {summary.refused + summary.expired:.4f}, "
        f"false refusals {summary.false_refusals:.5f}"
    )


def main() -> None:
    """Print both comparisons."""
    choosers: dict[str, SubsetChooser] = {"ring": by_ring, "hash": by_hash}
    for count in (8, 18):
        for name, chooser in choosers.items():
            print(f"{count:3} targets, {name}: {measure_coverage(chooser, count)}")
    for count in (8, 18):
        for name, chooser in choosers.items():
            for offered in (0.7, 0.85):
                line = measure_outcomes(chooser, count, offered, DEFAULT_SEED)
                print(f"{count:3} targets, {name}, {offered}: {line}")


if __name__ == "__main__":
    main()
