"""Targets that want nothing for a while, by their own word to this router."""

from __future__ import annotations

import math
from typing import Iterable

from endivegw.decisions.target_state import TargetState

__all__ = ["back_in_s", "is_held_off"]


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
