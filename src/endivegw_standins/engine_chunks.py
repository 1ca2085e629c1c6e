"""Chunks of the completions protocol, as the stand-in engine streams them."""

from __future__ import annotations

import json
from typing import Protocol

from endivegw_standins.engine_text import Prompt

__all__ = ["ChunkSource", "text_chunk", "usage_chunk"]


class ChunkSource(Protocol):
    """Data of a generation from which chunks are built."""

    attempt_id: str
    prompt: Prompt
    chunks: list[str]


def text_chunk(generation: ChunkSource, piece: str, reason: str | None) -> str:
    """Return the chunk of one piece, or the final chunk if a reason is given."""
    choice: dict[str, object] = {"index": 0, "finish_reason": reason}
    if generation.prompt.chat:
        choice["delta"] = {"content": piece} if piece else {}
    else:
        choice["text"] = piece
    return _chunk(generation, [choice], None)


def usage_chunk(generation: ChunkSource) -> str:
    """Return the chunk with the token usage of the answer."""
    completion_tokens = len(generation.chunks) - 1
    usage = {
        "prompt_tokens": generation.prompt.tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": generation.prompt.tokens + completion_tokens,
    }
    return _chunk(generation, [], usage)


def _chunk(
    generation: ChunkSource,
    choices: list[object] | list[dict[str, object]],
    usage: object,
) -> str:
    chat = generation.prompt.chat
    fields: dict[str, object] = {
        "id": generation.attempt_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": generation.prompt.model,
        "choices": choices,
    }
    if usage is not None:
        fields["usage"] = usage
    return json.dumps(fields, separators=(",", ":"))
