"""Choose which targets a router watches and gives work to.

Made for 370 routers before 650 targets. A router that watched them all would
send 260 heartbeats a second, where its limits allow four or five. Pure.
"""

from __future__ import annotations

import hashlib
from typing import Iterable

from attrs import define, field

from endivegw.membership.peer import Peer
from endivegw.membership.ports import PeerAddress
from endivegw.types import AvailabilityZone

__all__ = ["TargetSubset"]

#: How many watched targets a model needs: with one, its loss or its drain would
#: refuse callers of that model until another one is found.
_LEAST_PER_MODEL = 3

#: How many unknown targets are asked for each one that a model lacks. With
#: three models every third target has the right one.
_ASKED_PER_MISSING = 3

#: By how much the choice may outgrow ``count`` to cover every model.
_MOST_OF_COUNT = 2

_LOST_FAILURES = 2


@define
class TargetSubset:
    """Rank targets for one router, by a hash of both names.

    The order is the same in every reading of a lagging list, and a target that
    comes or goes moves no other one: connections and what is known of prompt
    caches last. Different routers have different orders, so that targets get
    about equally many routers.

    :param router: a name that is this router's own.
    :param count: how many to watch where nothing else is needed.
    :param watch_all: up to how many targets all of them are watched.
    """

    router: str
    availability_zone: AvailabilityZone
    count: int
    watch_all: int
    _ranks: dict[str, bytes] = field(factory=dict, init=False)

    def choose(
        self, peers: tuple[Peer, ...], wanted_models: Iterable[str]
    ) -> tuple[PeerAddress, ...]:
        """Return the targets to watch now.

        :param wanted_models: models that callers may ask for. Which target has
            which is known only once it was asked, so that the choice grows by
            unknown targets until each model has enough, and then drops those
            that were of no use.
        """
        if len(peers) <= self.watch_all:
            return tuple(peer.address for peer in peers)
        ranked = sorted(peers, key=self._rank)
        near = [p for p in ranked if p.availability_zone == self.availability_zone]
        # Half from the own zone saves the hop; the other half is there when the
        # zone is full or gone.
        chosen = dict.fromkeys(peer.address for peer in near[: self.count // 2])
        for peer in ranked:
            if len(chosen) >= self.count:
                break
            chosen.setdefault(peer.address)
        for model in sorted(set(wanted_models)):
            self._cover(model, ranked, chosen)
        # A long list of adapters must not undo the limit.
        return tuple(chosen)[: _MOST_OF_COUNT * self.count]

    def _cover(
        self, model: str, ranked: list[Peer], chosen: dict[PeerAddress, None]
    ) -> None:
        """Add targets until enough of the chosen ones have a model."""
        having = [peer for peer in ranked if _has(peer, model)]
        have = sum(1 for peer in having if peer.address in chosen)
        missing = max(0, _LEAST_PER_MODEL - have)
        known = [peer for peer in having if peer.address not in chosen][:missing]
        chosen.update(dict.fromkeys(peer.address for peer in known))
        missing -= len(known)
        asked = [
            peer
            for peer in ranked
            if peer.heartbeat is None
            and peer.failures < _LOST_FAILURES
            and peer.address not in chosen
        ]
        for peer in asked[: missing * _ASKED_PER_MISSING]:
            chosen.setdefault(peer.address)

    def _rank(self, peer: Peer) -> bytes:
        vm = peer.address.vm
        rank = self._ranks.get(vm)
        if rank is None:
            rank = hashlib.sha256(f"{self.router}\n{vm}".encode()).digest()
            self._ranks[vm] = rank
        return rank


def _has(peer: Peer, model: str) -> bool:
    heartbeat = peer.heartbeat
    if heartbeat is None or heartbeat.load is None or peer.failures >= _LOST_FAILURES:
        return False
    refuses = heartbeat.draining or heartbeat.leaving or peer.list_leaving
    return not refuses and model in heartbeat.load.models
