"""Decide which target a prompt's cached parts are copied from.

The load it is made for is prompts that share long beginnings, dealt over targets by
load. Where a prompt's beginning is cached on a target that is busy, it is read again on
another one, which takes the engine tens of milliseconds in which all answers there
pause. Engines copy cached tokens from each other many times faster than they read
them. With copies, a prompt may go to the emptiest target and reads only its own end;
on a calm day of such a load, half of what was read again is copied.
"""

from __future__ import annotations

from typing import Mapping

from attrs import frozen

from endivegw.decisions.target_state import TargetState
from endivegw.types import TargetName

__all__ = ["NO_COPY", "Copy", "CopySources"]

#: A copy must take at most this share of the time that reading takes. It is queued
#: behind other copies, and its source may have dropped the tokens by now.
_WORTH_SHARE = 0.5

#: Fewer tokens are read in some milliseconds; a copy's own start takes as long.
_LEAST_TOKENS = 256

#: A source that health has taken this far out of work answers late or not at all.
_LEAST_WEIGHT = 0.5


@frozen
class Copy:
    """Hold what is copied to a target before it reads the rest of a prompt.

    :param address: of the target that the tokens are copied from; None for no copy.
    :param tokens: how many cached tokens it has more than the reading target.
    :param takes_s: how long the copy takes.
    """

    address: str | None = None
    tokens: int = 0
    takes_s: float = 0.0


NO_COPY = Copy()


@frozen
class CopySources:
    """Hold the targets that a prompt's cached beginning may be copied from.

    :param targets: those that have read it, with the tokens, the most first.
    """

    targets: tuple[tuple[TargetState, int], ...] = ()

    @classmethod
    def among(
        cls,
        states: Mapping[TargetName, TargetState],
        read: Mapping[TargetName, int],
        model: str,
    ) -> CopySources:
        """Return the sources among targets that are well.

        :param read: cached tokens by target, of prompts that were read to their end.
        :param model: tokens of another model are of no use.
        """
        found = []
        for target, tokens in read.items():
            state = states.get(target)
            if state is None or model not in state.view.models:
                continue
            if state.view.draining or state.weight < _LEAST_WEIGHT:
                continue
            found.append((state, tokens))
        return cls(tuple(found))

    def copy_to(
        self, state: TargetState, cached_tokens: int, read_s_per_token: float
    ) -> Copy:
        """Return what to copy to a target that has some of the prompt itself.

        :param read_s_per_token: how long the target reads a token.
        """
        copy_s_per_token = state.view.copy_s_per_token
        if copy_s_per_token is None:
            return NO_COPY
        if copy_s_per_token > _WORTH_SHARE * read_s_per_token:
            return NO_COPY
        for source, tokens in self.targets:
            lacking = tokens - cached_tokens
            if lacking < _LEAST_TOKENS:
                break
            if source is not state:
                return Copy(source.view.address, lacking, lacking * copy_s_per_token)
        return NO_COPY
