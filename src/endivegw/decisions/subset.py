"""Which targets a router talks to, the same in every process that computes it."""

from __future__ import annotations

import hashlib
import math
from typing import Iterable, Mapping, Sequence

from attrs import frozen

from endivegw.types import AvailabilityZone, TargetName

__all__ = ["SubsetPolicy", "choose_subset", "subset_size"]


@frozen
class SubsetPolicy:
    """Hold how many targets a router sees.

    At 370 routers and 650 targets, each router would exchange heartbeats with
    650 targets and each target with 370 routers: some 100 KB a second for a
    router at one heartbeat in two seconds, of 6 KB that it may spend.

    :param targets: most targets of one kind that a router needs: enough that
        two choices find a good one, and that the loss of an availability zone
        leaves some.
    :param cover: routers that see each target at the least, so that a target
        is not idle because one router is.
    """

    targets: int = 18
    cover: int = 4


def subset_size(policy: SubsetPolicy, routers: int, targets: int) -> int:
    """Return how many of ``targets`` each of ``routers`` sees."""
    covering = math.ceil(policy.cover * targets / max(1, routers))
    return min(targets, max(policy.targets, covering))


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _interleave(
    zones: Mapping[TargetName, AvailabilityZone],
) -> list[TargetName]:
    """Order targets so that neighbours lie in different availability zones."""
    by_zone: dict[AvailabilityZone, list[TargetName]] = {}
    for target in sorted(zones, key=_rank):
        by_zone.setdefault(zones[target], []).append(target)
    placed: list[tuple[float, str, TargetName]] = []
    for zone, targets in by_zone.items():
        for number, target in enumerate(targets):
            placed.append(((number + 0.5) / len(targets), zone, target))
    return [target for _, _, target in sorted(placed)]


def choose_subset(
    policy: SubsetPolicy,
    router: str,
    routers: Iterable[str],
    zones: Mapping[TargetName, AvailabilityZone],
) -> Sequence[TargetName]:
    """Return the targets of one kind that a router sees.

    Routers and targets stand on a ring in the order of a hash of their names;
    router ``i`` of ``n`` takes the arc that begins at ``i / n``. Arcs are
    spaced evenly, so each target is seen by the same number of routers, give
    or take one; hashing each router's choice for itself would leave some
    targets with a third of the routers of others, and so of the load.

    Nothing is agreed upon: processes whose membership differs for a moment
    choose arcs that differ by a neighbour.

    :param routers: names of all routers, this one included or not.
    :param zones: the targets, with their availability zones.
    """
    ring = _interleave(zones)
    if not ring:
        return ()
    names = sorted({*routers, router}, key=_rank)
    size = subset_size(policy, len(names), len(ring))
    if size == len(ring):
        return ring
    begin = names.index(router) * len(ring) // len(names)
    return [ring[(begin + step) % len(ring)] for step in range(size)]
