"""The targets that serve one model, drawn from at a cost that does not grow."""

from __future__ import annotations

import random
from typing import Iterable

from attrs import define, field

from endivegw.decisions.estimates import Average
from endivegw.decisions.fair_queue import FairQueue
from endivegw.decisions.pauses import PauseModel
from endivegw.decisions.shares import Shares
from endivegw.decisions.target_state import TargetState
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["Pool", "groups"]


@define(eq=False)
class Pool:
    """Hold the targets of one model and the work that waits for them.

    :param near: members in the router's own availability zone.
    :param room: targets that were seen to have room; the next queued work
        looks there first in place of drawing until it finds one.
    :param mean_others: mean work of other routers per member, for members
        whose own reports say nothing.
    :param peer_ratio: reported time per token as a multiple of the measured
        one, over all members; reports count streams that are still reading.
    :param pauses: what long prompts do to the answers beside them.
    :param probe_due: shed members that should get one piece of work.
    """

    model: str
    queue: FairQueue
    members: list[TargetState] = field(factory=list)
    near: list[TargetState] = field(factory=list)
    room: dict[TargetName, TargetState] = field(factory=dict)
    mean_others: float = 0.0
    peer_ratio: Average = field(factory=lambda: Average(1.0))
    probe_due: list[TargetState] = field(factory=list)
    pauses: PauseModel = field(factory=PauseModel)

    def set_members(self, members: list[TargetState], zone: AvailabilityZone) -> None:
        """Replace the members."""
        self.members = members
        self.near = [m for m in members if m.view.availability_zone == zone]
        names = {member.view.target for member in members}
        self.room = {n: s for n, s in self.room.items() if n in names}
        self.probe_due = [s for s in self.probe_due if s.view.target in names]

    def draw(self, count: int, rng: random.Random) -> list[TargetState]:
        """Draw targets, the first half of them from the near ones.

        All members can be drawn, so that no target depends on routers in its
        own availability zone; half of the draws stay near, which finds a near
        target whenever one has room.
        """
        members = self.members
        if len(members) <= count:
            # All are compared, and the first of equals is taken: from a fixed order
            # all routers would send the work of an idle moment to the same target.
            first = int(rng.random() * len(members))
            return members[first:] + members[:first]
        near = self.near or members
        drawn = []
        for number in range(count):
            source = near if 2 * number < count else members
            drawn.append(source[int(rng.random() * len(source))])
        return drawn

    def regroup(self, shares: Shares) -> None:
        """Queue under other shares, after the targets' models changed."""
        queue = FairQueue(shares, self.queue.tolerance_s)
        for entry in self.queue.entries():
            queue.push(entry.item, entry.held_s, entry.latest_s, entry.last_s)
        self.queue = queue


def groups(models_of_targets: Iterable[frozenset[str]]) -> dict[str, int]:
    """Return a group number for each model; models that share targets share it."""
    found: dict[str, str] = {}

    def root(model: str) -> str:
        while found.setdefault(model, model) != model:
            model = found[model]
        return model

    for models in models_of_targets:
        names = sorted(models)
        for name in names[1:]:
            found[root(name)] = root(names[0])
        if names:
            root(names[0])
    numbers: dict[str, int] = {}
    return {m: numbers.setdefault(root(m), len(numbers)) for m in sorted(found)}
