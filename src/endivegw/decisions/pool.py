"""Pool of the targets that serve one model, sampled at constant cost."""

from __future__ import annotations

import random
from typing import Iterable

from attrs import define, field

from endivegw.decisions.estimates import Average
from endivegw.decisions.fair_queue import FairQueue
from endivegw.decisions.pauses import PauseModel
from endivegw.decisions.prompt_separation import PromptSeparation
from endivegw.decisions.shares import Shares
from endivegw.decisions.target_state import TargetState
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["Pool", "model_groups"]


@define(eq=False)
class Pool:
    """Hold the targets of one model and the queue of its requests.

    :param same_zone: members in the router's own availability zone.
    :param free_targets: targets that recently had a free slot; the next queued requests
        try them before drawing others.
    :param mean_remote_work: mean number of other routers' requests per member, used for
        members without a current report.
    :param peer_ratio: reported time per token as a multiple of the measured one, over
        all members. It is not 1, because reports count streams that are still reading
        their prompt.
    :param probe_due: shed members that are due for a probe request.
    :param limited: members that limit their requests.
    :param permits_wanted: whether a request arrived since permits were last asked for.
    :param limit_retries_until_s: latest time to retry that was given to callers while
        all members limited their requests.
    :param pauses: predicts the pauses that long prompts cause.
    :param separation: chooses the targets that long prompts prefer.
    """

    model: str
    queue: FairQueue
    members: list[TargetState] = field(factory=list)
    same_zone: list[TargetState] = field(factory=list)
    free_targets: dict[TargetName, TargetState] = field(factory=dict)
    mean_remote_work: float = 0.0
    peer_ratio: Average = field(factory=lambda: Average(1.0))
    probe_due: list[TargetState] = field(factory=list)
    pauses: PauseModel = field(factory=PauseModel)
    separation: PromptSeparation = field(factory=PromptSeparation)
    limited: list[TargetState] = field(factory=list)
    permits_wanted: bool = False
    limit_retries_until_s: float = 0.0

    def set_members(self, members: list[TargetState], zone: AvailabilityZone) -> None:
        """Replace the members."""
        self.members = members
        self.same_zone = [m for m in members if m.view.availability_zone == zone]
        self.limited = [m for m in members if m.view.limit is not None]
        names = {member.view.target for member in members}
        self.free_targets = {n: s for n, s in self.free_targets.items() if n in names}
        self.probe_due = [s for s in self.probe_due if s.view.target in names]

    def draw(self, count: int, rng: random.Random) -> list[TargetState]:
        """Draw targets, the first half of them from the router's own zone.

        Every member can be drawn, so that no target depends on the routers of its own
        availability zone. Half of the draws stay in the zone, which finds a target
        there whenever one has a free slot.
        """
        members = self.members
        if len(members) <= count:
            # All members are compared, and the first of equals is taken. In a fixed
            # order, all routers would send requests that arrive while the fleet is idle
            # to the same target.
            first = int(rng.random() * len(members))
            return members[first:] + members[:first]
        same_zone = self.same_zone or members
        drawn = []
        for number in range(count):
            source = same_zone if 2 * number < count else members
            drawn.append(source[int(rng.random() * len(source))])
        return drawn

    def regroup(self, shares: Shares) -> None:
        """Replace the fair shares after the models of targets changed."""
        queue = FairQueue(shares, self.queue.tolerance_s)
        for entry in self.queue.entries():
            queue.push(
                entry.item,
                entry.service_time_s,
                entry.latest_start_s,
                entry.last_chance_s,
            )
        self.queue = queue


def model_groups(models_of_targets: Iterable[frozenset[str]]) -> dict[str, int]:
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
