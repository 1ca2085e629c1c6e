"""The most tokens that one request may consume, without the engine's tokenizer.

A bound that is too low lets an answer be cut; one that is too high refuses
requests near the end of a budget and strands tokens while they run.
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

#: What a chat template adds for each message: role, separators, end mark. The
#: common templates use 3 to 7 tokens.
CHAT_MESSAGE_TOKENS = 8

#: What a prompt is wrapped in: begin mark, and for a chat the opening of the
#: answer and the default system text's marks.
PROMPT_FRAME_TOKENS = 16


@frozen
class RequestBound:
    """Hold a request's upper bound.

    :param prompt_tokens: the engine never counts more for the prompt.
    :param completion_tokens: where generation must stop.
    """

    prompt_tokens: int
    completion_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return what to reserve."""
        return self.prompt_tokens + self.completion_tokens


def prompt_bound_tokens(
    texts: Sequence[str], known_prompt_tokens: int | None = None
) -> int:
    """Return an upper bound of the prompt's tokens.

    Tokenizers that fall back to bytes, as those of the engines at hand do, give
    each byte of the text at most one token, and nothing less holds for every
    text: rare scripts and random strings do reach one token a byte.

    :param texts: the prompt, or the text of each message of a chat.
    :param known_prompt_tokens: the engine's own count, where there is one.
    """
    if known_prompt_tokens is not None:
        return known_prompt_tokens
    size_bytes = sum(len(text.encode()) for text in texts)
    return size_bytes + CHAT_MESSAGE_TOKENS * len(texts) + PROMPT_FRAME_TOKENS


def completion_clamp_tokens(
    asked_tokens: int | None, account_limit_tokens: int, choices: int = 1
) -> int:
    """Return how many tokens may be generated for all choices together.

    :param asked_tokens: what the caller set, None where it set nothing.
    :param account_limit_tokens: the account's largest output for one choice.
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
    """Return what one attempt of a request may consume at most."""
    return RequestBound(
        prompt_bound_tokens(texts, known_prompt_tokens),
        completion_clamp_tokens(asked_tokens, account_limit_tokens, choices),
    )
