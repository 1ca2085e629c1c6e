"""Choice of the targets that each router uses, without coordination."""

from __future__ import annotations

import hashlib
import math
from typing import Iterable, Mapping, Sequence

from attrs import frozen

from endivegw.types import AvailabilityZone, TargetName

__all__ = ["SubsetPolicy", "choose_subset", "subset_size"]


@frozen
class SubsetPolicy:
    """Hold how many targets each router uses.

    With 370 routers and 650 targets, each router would exchange heartbeats with 650
    targets and each target with 370 routers. At one heartbeat every two seconds this is
    about 100 KB per second for each router, of which it may spend 6 KB.

    :param targets: number of targets of one kind that a router needs. It is large
        enough that two random choices find a good target and that some remain if an
        availability zone is lost.
    :param cover: minimum number of routers that use each target, so that no target
        idles because a single router does.
    """

    targets: int = 18
    cover: int = 4


def subset_size(policy: SubsetPolicy, routers: int, targets: int) -> int:
    """Return how many of ``targets`` each of ``routers`` uses."""
    covering = math.ceil(policy.cover * targets / max(1, routers))
    return min(targets, max(policy.targets, covering))


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _interleave(
    zones: Mapping[TargetName, AvailabilityZone],
) -> list[TargetName]:
    """Order targets so that neighbours are in different availability zones."""
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
    """Return the targets of one kind that a router uses.

    Routers and targets are placed on a ring in the order of a hash of their names;
    router ``i`` of ``n`` takes the arc that starts at ``i / n``. The arcs are spaced
    evenly, so each target is used by the same number of routers, give or take one. If
    each router hashed its choice independently, some targets would get a third of the
    routers of others, and so a third of the load.

    No agreement is needed: processes whose membership differs temporarily choose arcs
    that differ by a neighbour.

    :param routers: names of all routers; this one may be missing.
    :param zones: the targets with their availability zones.
    """
    ring = _interleave(zones)
    if not ring:
        return ()
    names = sorted({*routers, router}, key=_rank)
    size = subset_size(policy, len(names), len(ring))
    if size == len(ring):
        return ring
    first = names.index(router) * len(ring) // len(names)
    return [ring[(first + step) % len(ring)] for step in range(size)]
