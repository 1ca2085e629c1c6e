"""Keep long prompts on few targets, apart from the answers that they would delay.

A target reads prompts one after the other, between the tokens of its answers. A chat
that arrives behind a long prompt gets its first token late, and answers beside one
pause. Routers learn of each other's long prompts only after these have been read, so
none can avoid them one by one. They agree on an order of the targets instead, without
messages: long prompts prefer the first targets of that order, as many as their reading
needs, and all other requests prefer the rest. Assigning sizes of work to servers of
their own is known from task assignment (Harchol-Balter, Crovella and Murta, 1999).
"""

from __future__ import annotations

import math
from typing import Iterable

from attrs import define, field

from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import WorkItem
from endivegw.rendezvous import rendezvous_order
from endivegw.types import TargetName

__all__ = ["PromptSeparation"]

#: A prompt is long if reading it takes more than this share of the shortest objective
#: for a first token or a pause.
_LONG_SHARE = 0.25

#: Minimum number of targets; with fewer, a target more or less is too large a step.
_MIN_TARGETS = 8

#: Share of their time that the targets of long prompts may spend reading them. Above
#: it, long prompts wait for each other.
_READING_SHARE = 0.5

#: Maximum share of the targets that long prompts prefer.
_MAX_SHARE = 0.75

#: Weight of one sample of the prompts in progress, of which there are two a second.
_SAMPLE_WEIGHT = 0.4

#: Weight of one prompt in the average time until its first token.
_READ_TIME_WEIGHT = 0.1

#: Time until the first token of a long prompt, until one was measured.
_PRIOR_READ_S = 0.3

#: How long requests of one kind are remembered. Without the other kind in that time
#: there is nothing to separate. A router with few callers sees some kinds rarely.
_RECENT_S = 30.0


@define
class PromptSeparation:
    """Choose the targets of one model that long prompts prefer.

    :ivar long_targets: these targets; empty while nothing is separated.
    """

    long_targets: frozenset[TargetName] = frozenset()
    _objective_s: float = math.inf
    _last_long_s: float = -math.inf
    _last_short_s: float = -math.inf
    _unread_tokens: float = 0.0
    _read_time_s: float | None = None
    _members: frozenset[TargetName] = frozenset()
    _order: tuple[str, ...] = field(default=())

    def add(self, item: WorkItem, s_per_token: float, now_s: float) -> None:
        """Record a request.

        :param s_per_token: time to read a token of a prompt.
        """
        for objective_s in (item.objective_s, item.pause_objective_s):
            if objective_s is not None:
                self._objective_s = min(self._objective_s, objective_s)
        if self.is_long(item, s_per_token):
            self._last_long_s = now_s
        else:
            self._last_short_s = now_s

    def is_long(self, item: WorkItem, s_per_token: float) -> bool:
        """Return whether a prompt takes long to read, compared with the objectives."""
        return item.prompt_tokens * s_per_token > _LONG_SHARE * self._objective_s

    def learn_read(self, item: WorkItem, s_per_token: float, took_s: float) -> None:
        """Record the time from the placement of a prompt to its first token."""
        if not self.is_long(item, s_per_token):
            return
        known_s = took_s if self._read_time_s is None else self._read_time_s
        self._read_time_s = known_s + _READ_TIME_WEIGHT * (took_s - known_s)

    def update(
        self,
        model: str,
        members: Iterable[TargetState],
        s_per_token: float,
        now_s: float,
    ) -> None:
        """Choose the targets anew from the prompts that are being read now.

        By Little's law the tokens that arrive per second are those in progress divided
        by the time for which a prompt is in progress.
        """
        states = list(members)
        unread = sum(state.unread_tokens() for state in states)
        self._unread_tokens += _SAMPLE_WEIGHT * (unread - self._unread_tokens)
        if len(states) < _MIN_TARGETS or not self._has_both(now_s):
            self.long_targets = frozenset()
            return
        self._update_order(model, states)
        read_time_s = self._read_time_s or _PRIOR_READ_S
        reading = self._unread_tokens * s_per_token / max(read_time_s, 1e-3)
        count = math.ceil(reading / _READING_SHARE)
        count = max(1, min(count, int(_MAX_SHARE * len(states))))
        self.long_targets = frozenset(TargetName(name) for name in self._order[:count])

    def _has_both(self, now_s: float) -> bool:
        oldest_s = now_s - _RECENT_S
        return self._last_long_s >= oldest_s and self._last_short_s >= oldest_s

    def _update_order(self, model: str, states: list[TargetState]) -> None:
        names = frozenset(state.view.target for state in states)
        if names != self._members:
            self._members = names
            self._order = rendezvous_order(f"long-prompts/{model}", names)
