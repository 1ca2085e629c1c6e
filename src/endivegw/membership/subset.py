"""Select the targets that a router watches and sends requests to.

Designed for 370 routers and 650 targets. A router that watched all of them would
send 260 heartbeats per second, while its limits allow four or five. This module
performs no I/O.
"""

from __future__ import annotations

import hashlib
from typing import Iterable

from attrs import define, field

from endivegw.membership.peer import Peer
from endivegw.membership.ports import PeerAddress
from endivegw.types import AvailabilityZone

__all__ = ["TargetSubset"]

#: Minimum number of watched targets per model. With a single one, its loss or drain
#: would cause requests for that model to be refused until another target is found.
_MIN_TARGETS_PER_MODEL = 3

#: Number of targets with unknown models to probe for each target that a model lacks.
#: With three models, every third target serves the required one.
_PROBES_PER_MISSING_TARGET = 3

#: Factor by which the selection may exceed ``count`` to cover every model.
_MAX_GROWTH_FACTOR = 2

#: Consecutive failed heartbeats from which a target is not selected for its models.
_UNRESPONSIVE_FAILURES = 2


@define
class TargetSubset:
    """Rank targets for one router by a hash of the router's and the target's name.

    The order does not depend on the order of the list, and adding or removing a
    target does not move any other, so that connections and the state of prompt
    caches stay valid. Each router has a different order, so that targets are watched
    by about the same number of routers.

    :param router: unique name of this router.
    :param count: number of targets to watch if all models are covered.
    :param watch_all: largest number of targets for which all are watched.
    """

    router: str
    availability_zone: AvailabilityZone
    count: int
    watch_all: int
    _ranks: dict[str, bytes] = field(factory=dict, init=False)

    def choose(
        self, peers: tuple[Peer, ...], wanted_models: Iterable[str]
    ) -> tuple[PeerAddress, ...]:
        """Return the targets to watch.

        :param wanted_models: models that callers may request. The models of a target
            are known only after its first response. The selection therefore grows by
            targets with unknown models until each model has enough targets, and
            then drops the targets that are not needed.
        """
        if len(peers) <= self.watch_all:
            return tuple(peer.address for peer in peers)
        ranked = sorted(peers, key=self._rank)
        near = [p for p in ranked if p.availability_zone == self.availability_zone]
        # Half of the targets are in the local zone, which avoids traffic between
        # zones; the other half serves when the local zone is full or unavailable.
        chosen = dict.fromkeys(peer.address for peer in near[: self.count // 2])
        for peer in ranked:
            if len(chosen) >= self.count:
                break
            chosen.setdefault(peer.address)
        for model in sorted(set(wanted_models)):
            self._cover(model, ranked, chosen)
        # A long list of adapters must not exceed the limit.
        return tuple(chosen)[: _MAX_GROWTH_FACTOR * self.count]

    def _cover(
        self, model: str, ranked: list[Peer], chosen: dict[PeerAddress, None]
    ) -> None:
        """Add targets until enough of the chosen ones serve a model."""
        serving = [peer for peer in ranked if _serves_model(peer, model)]
        covered = sum(1 for peer in serving if peer.address in chosen)
        missing = max(0, _MIN_TARGETS_PER_MODEL - covered)
        known = [peer for peer in serving if peer.address not in chosen][:missing]
        chosen.update(dict.fromkeys(peer.address for peer in known))
        missing -= len(known)
        unprobed = [
            peer
            for peer in ranked
            if peer.heartbeat is None
            and peer.failures < _UNRESPONSIVE_FAILURES
            and peer.address not in chosen
        ]
        for peer in unprobed[: missing * _PROBES_PER_MISSING_TARGET]:
            chosen.setdefault(peer.address)

    def _rank(self, peer: Peer) -> bytes:
        vm = peer.address.vm
        rank = self._ranks.get(vm)
        if rank is None:
            rank = hashlib.sha256(f"{self.router}\n{vm}".encode()).digest()
            self._ranks[vm] = rank
        return rank


def _serves_model(peer: Peer, model: str) -> bool:
    heartbeat = peer.heartbeat
    if (
        heartbeat is None
        or heartbeat.load is None
        or peer.failures >= _UNRESPONSIVE_FAILURES
    ):
        return False
    unavailable = heartbeat.draining or heartbeat.leaving or peer.list_leaving
    return not unavailable and model in heartbeat.load.models
