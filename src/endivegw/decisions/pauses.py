"""Prediction of pauses that a long prompt causes in the answers beside it.

It is meant for chats beside long prompts on engines that differ in speed. An engine
reads a prompt in chunks between the tokens of its other answers, which slow down until
the prompt is read. On an engine a third slower than its peers, this takes each answer
beyond its objective: one long prompt makes ten callers late, where on the other engines
it makes none late. Five routers that learnt this target by target would need as many
late answers as there are pairs of router and target. The pause is therefore predicted:
every answer shows how fast its target is, and any target shows how long answers pause
beside a long prompt.
"""

from __future__ import annotations

from typing import Iterable

from attrs import define

from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import AttemptEnd

__all__ = ["PauseModel"]

#: Number of unread tokens from which on a prompt delays several tokens of an answer in
#: a row; a shorter prompt delays proportionally fewer.
FULL_PAUSE_TOKENS = 6144

#: Weight of one answer in the moving averages of a target's token interval and of the
#: common pause; about ten answers count.
_STEP = 0.1

#: Share of the objective from which on a predicted pause counts as too long; the rest
#: allows for variation of the measured intervals.
_MARGIN = 0.9


@define
class PauseModel:
    """Learn how long the answers of one model pause.

    :ivar pause_s: pause of answers beside a long prompt on the fastest target; 0 until
        one was measured.
    :ivar objective_s: shortest pause objective among the answers so far; 0 before the
        first.
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
        """Update the model from an answer that ended."""
        objective_s = attempt.item.pause_objective_s
        if objective_s is None or end.usual_pause_s is None:
            return
        if end.longest_pause_s is None or end.usual_pause_s <= 0.0:
            return
        shortest_s = self.objective_s or objective_s
        self.objective_s = min(shortest_s, objective_s)
        previous_s = state.token_interval_s or end.usual_pause_s
        state.token_interval_s = previous_s + _STEP * (end.usual_pause_s - previous_s)
        if attempt.concurrent_unread_tokens < FULL_PAUSE_TOKENS:
            return
        observed_s = end.longest_pause_s / self._slowness(members, state)
        previous_s = self.pause_s or observed_s
        self.pause_s = previous_s + _STEP * (observed_s - previous_s)

    def exceeds_objective(
        self, members: Iterable[TargetState], state: TargetState, unread_tokens: int
    ) -> bool:
        """Return whether a prompt would make the answers beside it late."""
        if self.pause_s <= 0.0 or state.token_interval_s <= 0.0:
            return False
        fraction = min(1.0, unread_tokens / FULL_PAUSE_TOKENS)
        predicted_s = self.pause_s * self._slowness(members, state) * fraction
        return predicted_s > _MARGIN * self.objective_s

    @staticmethod
    def _slowness(members: Iterable[TargetState], state: TargetState) -> float:
        """Return a target's token interval as a multiple of the fastest target's."""
        intervals_s = [
            member.token_interval_s
            for member in members
            if member.token_interval_s > 0.0
        ]
        return max(
            1.0,
            state.token_interval_s / min(intervals_s, default=state.token_interval_s),
        )
