"""Upper bound of a prompt's tokens, without the engine's tokenizer."""

from __future__ import annotations

__all__ = ["prompt_bound_tokens"]

_TOKENS_PER_MESSAGE = 8


def prompt_bound_tokens(prompt: str, messages: int) -> int:
    """Return the most tokens that a prompt can take."""
    return len(prompt.encode()) + _TOKENS_PER_MESSAGE * messages + 1
