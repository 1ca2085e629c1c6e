"""The stand-in engine's answers: they depend on the prompt alone."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

from attrs import frozen

__all__ = ["Prompt", "answer_pieces", "answer_text", "read_prompt"]

#: A prompt that holds ``len=N`` gets an answer of N pieces.
_LENGTH = re.compile(r"\blen=(\d+)\b")

#: Words of a prompt that share one block of the prefix cache.
PREFIX_BLOCK_WORDS = 16


@frozen
class Prompt:
    """Hold what the engine reads of one request.

    :param text: the whole prompt; each word counts as one token.
    :param max_tokens: where the answer is cut.
    """

    text: str
    model: str
    max_tokens: int
    priority: int
    chat: bool

    @property
    def tokens(self) -> int:
        """Return the size of the prompt."""
        return max(1, len(self.text.split()))

    def prefix_digests(self) -> list[bytes]:
        """Return one digest for each whole block of the prompt, from its start."""
        words = self.text.split()
        ends = range(PREFIX_BLOCK_WORDS, len(words) + 1, PREFIX_BLOCK_WORDS)
        return [
            hashlib.sha256(" ".join(words[:end]).encode()).digest()[:8] for end in ends
        ]


def read_prompt(body: bytes, *, chat: bool) -> Prompt:
    """Return the prompt of a completions request; ValueError for a bad one."""
    fields: dict[str, Any] = json.loads(body)
    if chat:
        text = " ".join(str(message["content"]) for message in fields["messages"])
    else:
        text = str(fields["prompt"])
    max_tokens = int(fields.get("max_tokens", 16))
    model = str(fields["model"])
    return Prompt(text, model, max_tokens, int(fields.get("priority", 1)), chat)


def answer_pieces(text: str) -> list[str]:
    """Return the uncut answer to a prompt, one piece for each token."""
    digest = hashlib.sha256(text.encode()).hexdigest()
    match = _LENGTH.search(text)
    length = int(match.group(1)) if match else 4 + int(digest[:2], 16) % 29
    return [f"{digest[:6]}-{number} " for number in range(length)]


def answer_text(text: str, max_tokens: int) -> str:
    """Return the whole answer that a caller must get, for tests to compare."""
    return "".join(answer_pieces(text)[:max_tokens])
