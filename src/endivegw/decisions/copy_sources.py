"""Choose the target from which the cached part of a prompt is copied.

It is meant for prompts that share long beginnings and are spread over targets by load.
If the beginning is cached only on a busy target, another target reads it again, which
takes the engine tens of milliseconds in which all its other answers pause. Engines copy
cached tokens from each other many times faster than they read them. With copies, a
prompt can go to the least loaded target, which then reads only the rest of it. Under
moderate load, half of the tokens that would be read again are copied.
"""

from __future__ import annotations

from typing import Mapping

from attrs import frozen

from endivegw.decisions.target_state import TargetState
from endivegw.types import TargetName

__all__ = ["NO_COPY", "Copy", "CopySources"]

#: Maximum time of a copy as a share of the time that reading takes. A copy may queue
#: behind other copies, and its source may have evicted the tokens by then.
_MAX_READ_TIME_SHARE = 0.5

#: Minimum number of tokens to copy. Reading fewer takes a few milliseconds, which is as
#: long as it takes to start a copy.
_MIN_TOKENS = 256

#: Minimum health weight of a source. A target below it answers late or not at all.
_MIN_WEIGHT = 0.5


@frozen
class Copy:
    """Hold what a target copies before it reads the rest of a prompt.

    :param address: address of the target to copy from; None for no copy.
    :param tokens: cached tokens that the source has beyond those of the reading target.
    :param duration_s: how long the copy takes.
    """

    address: str | None = None
    tokens: int = 0
    duration_s: float = 0.0


NO_COPY = Copy()


@frozen
class CopySources:
    """Hold the targets from which a prompt's cached beginning can be copied.

    :param targets: targets that have read the beginning, with their cached tokens; the
        most tokens come first.
    """

    targets: tuple[tuple[TargetState, int], ...] = ()

    @classmethod
    def among(
        cls,
        states: Mapping[TargetName, TargetState],
        read: Mapping[TargetName, int],
        model: str,
    ) -> CopySources:
        """Return the healthy targets that can serve as sources.

        :param read: cached tokens by target, only of prompts that were read to their
            end.
        :param model: model of the prompt; targets without it are left out, because
            cached tokens of another model cannot be used.
        """
        found = []
        for target, tokens in read.items():
            state = states.get(target)
            if state is None or model not in state.view.models:
                continue
            if state.view.draining or state.weight < _MIN_WEIGHT:
                continue
            found.append((state, tokens))
        return cls(tuple(found))

    def copy_to(
        self, state: TargetState, cached_tokens: int, read_s_per_token: float
    ) -> Copy:
        """Return the copy to a target, or :data:`NO_COPY` if none is worthwhile.

        :param cached_tokens: tokens of the prompt that the target has cached itself.
        :param read_s_per_token: time that the target takes to read one token.
        """
        copy_s_per_token = state.view.copy_s_per_token
        if copy_s_per_token is None:
            return NO_COPY
        if copy_s_per_token > _MAX_READ_TIME_SHARE * read_s_per_token:
            return NO_COPY
        for source, tokens in self.targets:
            lacking = tokens - cached_tokens
            if lacking < _MIN_TOKENS:
                break
            if source is not state:
                return Copy(source.view.address, lacking, lacking * copy_s_per_token)
        return NO_COPY
