"""Answers of the stand-in engine, which depend on the prompt alone."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

from attrs import frozen

__all__ = ["Prompt", "answer_pieces", "answer_text", "read_prompt"]

#: A prompt that contains ``len=N`` gets an answer of N pieces.
_LENGTH = re.compile(r"\blen=(\d+)\b")

#: Number of words per block of the prefix cache.
PREFIX_BLOCK_WORDS = 16


@frozen
class Prompt:
    """Fields of a request that the engine uses.

    :param text: the complete prompt; each word counts as one token.
    :param max_tokens: length at which the answer is truncated.
    """

    text: str
    model: str
    max_tokens: int
    priority: int
    chat: bool

    @property
    def tokens(self) -> int:
        """Return the number of prompt tokens."""
        return max(1, len(self.text.split()))

    def prefix_digests(self) -> list[bytes]:
        """Return the digest of each prefix that ends with a complete block."""
        words = self.text.split()
        ends = range(PREFIX_BLOCK_WORDS, len(words) + 1, PREFIX_BLOCK_WORDS)
        return [
            hashlib.sha256(" ".join(words[:end]).encode()).digest()[:8] for end in ends
        ]


def read_prompt(body: bytes, *, chat: bool) -> Prompt:
    """Parse the prompt of a completions request.

    :raises ValueError: if the body is not JSON or a number is malformed.
    :raises KeyError: if a field is missing.
    """
    fields: dict[str, Any] = json.loads(body)
    if chat:
        text = " ".join(str(message["content"]) for message in fields["messages"])
    else:
        text = str(fields["prompt"])
    max_tokens = int(fields.get("max_tokens", 16))
    model = str(fields["model"])
    return Prompt(text, model, max_tokens, int(fields.get("priority", 1)), chat)


def answer_pieces(text: str) -> list[str]:
    """Return the untruncated answer to a prompt, one piece per token."""
    digest = hashlib.sha256(text.encode()).hexdigest()
    match = _LENGTH.search(text)
    length = int(match.group(1)) if match else 4 + int(digest[:2], 16) % 29
    return [f"{digest[:6]}-{number} " for number in range(length)]


def answer_text(text: str, max_tokens: int) -> str:
    """Return the complete answer that a caller must get, for comparison in tests."""
    return "".join(answer_pieces(text)[:max_tokens])
