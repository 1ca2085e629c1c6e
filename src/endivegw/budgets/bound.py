"""Bound the tokens that a request may consume without the engine's tokenizer.

A bound that is too low truncates answers; one that is too high refuses requests near
the end of a budget and strands tokens while requests run.
"""

from __future__ import annotations

from typing import Sequence

from attrs import frozen

__all__ = [
    "RequestBound",
    "completion_clamp_tokens",
    "prompt_bound_tokens",
    "request_bound",
]

#: Tokens that a chat template adds per message for the role, separators and end mark.
#: Common templates use 3 to 7.
CHAT_MESSAGE_TOKENS = 8

#: Tokens that enclose the prompt: the begin mark and, for a chat, the start of the
#: answer and the marks of the default system message.
PROMPT_FRAME_TOKENS = 16


@frozen
class RequestBound:
    """Represent the upper bound of a request.

    :param prompt_tokens: the engine never counts more tokens for the prompt.
    :param completion_tokens: generation must stop at this many tokens.
    """

    prompt_tokens: int
    completion_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return how many tokens to reserve."""
        return self.prompt_tokens + self.completion_tokens


def prompt_bound_tokens(
    texts: Sequence[str], known_prompt_tokens: int | None = None
) -> int:
    """Return an upper bound of the prompt's tokens.

    Tokenizers with byte fallback, which the supported engines use, produce at most one
    token per byte of text. No lower bound holds for every text: rare scripts and random
    strings do reach one token per byte.

    :param texts: the prompt, or the text of each message of a chat.
    :param known_prompt_tokens: the token count of the engine, if known.
    """
    if known_prompt_tokens is not None:
        return known_prompt_tokens
    size_bytes = sum(len(text.encode()) for text in texts)
    return size_bytes + CHAT_MESSAGE_TOKENS * len(texts) + PROMPT_FRAME_TOKENS


def completion_clamp_tokens(
    asked_tokens: int | None, account_limit_tokens: int, choices: int = 1
) -> int:
    """Return how many tokens may be generated for all choices together.

    :param asked_tokens: the limit set by the caller, or None.
    :param account_limit_tokens: the account's maximum output per choice.
    """
    one_tokens = account_limit_tokens
    if asked_tokens is not None:
        one_tokens = min(max(asked_tokens, 1), account_limit_tokens)
    return one_tokens * max(choices, 1)


def request_bound(
    texts: Sequence[str],
    asked_tokens: int | None,
    account_limit_tokens: int,
    *,
    choices: int = 1,
    known_prompt_tokens: int | None = None,
) -> RequestBound:
    """Return the maximum number of tokens that one attempt of a request may consume."""
    return RequestBound(
        prompt_bound_tokens(texts, known_prompt_tokens),
        completion_clamp_tokens(asked_tokens, account_limit_tokens, choices),
    )
