"""Foresee which answers would pause for too long beside a long prompt.

The load it is made for is chats beside long prompts on engines that are not equally
fast. An engine reads a prompt in pieces between the tokens of its other answers, so
that these come slower until it is read. Where the engine is a third slower than its
peers, that takes each answer there beyond its objective, and one long prompt makes
ten callers late; on the others it makes none late. Five routers that each learn it
target by target need as many spoilt answers as there are pairs. So it is foreseen:
how fast a target is shows in any answer, and how long answers pause beside a long
prompt shows on any target.
"""

from __future__ import annotations

from typing import Iterable

from attrs import define

from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import AttemptEnd

__all__ = ["PauseModel"]

#: Prompts of this many unread tokens and more hold each token of several in a row;
#: shorter ones hold fewer tokens of one piece of an answer.
FULL_TOKENS = 6144

#: Weight of one answer in a target's pace and in the common pause: ten count.
_STEP = 0.1

#: Share of the objective from which on a foreseen pause counts as too long; the
#: rest is for the scatter of the measured paces.
_MARGIN = 0.9


@define
class PauseModel:
    """Learn the pauses of one model's answers.

    :ivar pause_s: what answers pause beside a long prompt, on the fastest target;
        0 before any was seen.
    :ivar objective_s: the shortest objective of answers seen; 0 before any.
    """

    pause_s: float = 0.0
    objective_s: float = 0.0

    def learn(
        self,
        members: Iterable[TargetState],
        state: TargetState,
        attempt: Outstanding,
        end: AttemptEnd,
    ) -> None:
        """Learn from an answer that ended."""
        objective_s = attempt.item.pause_objective_s
        if objective_s is None or end.usual_pause_s is None:
            return
        if end.longest_pause_s is None or end.usual_pause_s <= 0.0:
            return
        shortest_s = self.objective_s or objective_s
        self.objective_s = min(shortest_s, objective_s)
        known_s = state.pace_s or end.usual_pause_s
        state.pace_s = known_s + _STEP * (end.usual_pause_s - known_s)
        if attempt.beside_tokens < FULL_TOKENS:
            return
        seen_s = end.longest_pause_s / self._slowness(members, state)
        known_s = self.pause_s or seen_s
        self.pause_s = known_s + _STEP * (seen_s - known_s)

    def too_long(
        self, members: Iterable[TargetState], state: TargetState, unread_tokens: int
    ) -> bool:
        """Return whether a prompt would make the answers beside it late."""
        if self.pause_s <= 0.0 or state.pace_s <= 0.0:
            return False
        held = min(1.0, unread_tokens / FULL_TOKENS)
        foreseen_s = self.pause_s * self._slowness(members, state) * held
        return foreseen_s > _MARGIN * self.objective_s

    @staticmethod
    def _slowness(members: Iterable[TargetState], state: TargetState) -> float:
        """Return a target's time between pieces as a multiple of the fastest's."""
        paces = [member.pace_s for member in members if member.pace_s > 0.0]
        return max(1.0, state.pace_s / min(paces, default=state.pace_s))
