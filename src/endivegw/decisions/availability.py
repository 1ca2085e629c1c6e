"""Which targets take work now, by their own word to this router."""

from __future__ import annotations

import math
from typing import Iterable, Mapping

from attrs import define

from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.types import TargetName

__all__ = ["Availability", "back_in_s", "is_held_off"]


def is_held_off(state: TargetState, now_s: float) -> bool:
    """Return whether a target wants nothing now."""
    return state.held_off_until_s > now_s


def back_in_s(members: Iterable[TargetState], now_s: float) -> float:
    """Return when the first target takes work again; infinity where there is none."""
    first_s = math.inf
    for state in members:
        if not is_held_off(state, now_s):
            return 0.0
        first_s = min(first_s, state.held_off_until_s - now_s)
    return first_s


@define
class Availability:
    """Answer what requests ask about targets between two placements.

    :param targets: the dispatcher's own, by name.
    :param pools: the dispatcher's own, by model.
    """

    targets: Mapping[TargetName, TargetState]
    pools: Mapping[str, Pool]

    def has_untried(
        self, model: str, excluded: frozenset[TargetName], now_s: float
    ) -> bool:
        """Return whether some target takes work of a model and is not ruled out."""
        return any(
            state.view.target not in excluded and not is_held_off(state, now_s)
            for state in self._members(model)
        )

    def hold_off(
        self, target: TargetName, started_ms: int | None, until_s: float
    ) -> None:
        """Send one start of a target nothing more for a while."""
        state = self.targets.get(target)
        if state is not None and state.view.started_ms == started_ms:
            state.held_off_until_s = max(state.held_off_until_s, until_s)

    def back_in_s(self, model: str, now_s: float) -> float:
        """Return when a target of a model takes work; infinity where there is none."""
        return back_in_s(self._members(model), now_s)

    def takes_work(self, target: TargetName, now_s: float) -> bool:
        """Return whether a target may be sent what was placed there."""
        state = self.targets.get(target)
        if state is None or state.view.draining:
            return False
        return not is_held_off(state, now_s)

    def _members(self, model: str) -> list[TargetState]:
        pool = self.pools.get(model)
        return pool.members if pool is not None else []
